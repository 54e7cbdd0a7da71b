package policy

import (
	"math"
	"time"
)

// State that a gateway may get from the process before it.

// Memory is the part of a gateway's state that its next process can use.
type Memory struct {
	Servers []ServerMemory
	Tokens  map[uint64]float64 // units by customer key, of the token buckets that are not full
}

// ServerMemory is what is known of one process of a server.
type ServerMemory struct {
	ID         ServerID
	HasStart   bool
	Start      time.Duration
	Slow, Pace float64 // relative latency: as used here, and as its monitor measures it
	Faults     []FaultMemory
}

// FaultMemory is what is known of that process for one class.
type FaultMemory struct {
	Class string
	Errs  float64       // moving average of failures, 0 to 1
	Bad   time.Duration // remaining time out of use
}

// Restore tells a gateway that has just started what the process before it knew.
type Restore struct {
	Memory
	Elapsed time.Duration // since Memory was taken, at least
	Clean   bool          // the process before admitted nothing after Memory was taken
}

// Memory returns a copy that shares nothing with the gateway. The token buckets are of use only
// once nothing more is admitted, since they don't include later requests.
func (g *Gateway) Memory(now time.Duration, withTokens bool) Memory {
	var m Memory
	for _, s := range g.tracked {
		if s.State == Removed {
			continue
		}
		saved := ServerMemory{ID: s.ID, HasStart: s.HasStart, Start: s.Start, Slow: s.relativeLatency,
			Pace: s.monitoredLatency}
		for name, cl := range g.classes {
			if h := s.health[cl.index]; h.failureAverage > 0 || h.outOfUse && h.outOfUseUntil > now {
				f := FaultMemory{Class: name, Errs: h.failureAverage}
				if h.outOfUse {
					f.Bad = max(0, h.outOfUseUntil-now)
				}
				saved.Faults = append(saved.Faults, f)
			}
		}
		m.Servers = append(m.Servers, saved)
	}
	if !withTokens {
		return m
	}
	g.now = max(g.now, now)
	m.Tokens = map[uint64]float64{}
	for key, c := range g.customers {
		if g.advance(c); c.plan.Rate > 0 && c.tokens < c.plan.Burst &&
			(len(c.rootAndDeputy) == 0 || c.actsAsRoot) {
			m.Tokens[key] = c.tokens
		}
	}
	return m
}

// restore applies what the process before knew. What it knew of a server decays over the time
// since, and is ignored if another process of that server runs now.
func (g *Gateway) restore(ev Restore) {
	g.restored, g.restoredClean, g.restoredAge = true, ev.Clean, max(0, ev.Elapsed)
	if ev.Clean {
		g.restoredTokens = ev.Tokens
	}
	part := 1 - math.Exp(-g.restoredAge.Seconds()/serverStateDecayTime.Seconds())
	for _, saved := range ev.Servers {
		s := g.track(saved.ID)
		if s == nil || s.HasStart != saved.HasStart || s.Start != saved.Start {
			continue
		}
		s.relativeLatency, s.monitoredLatency = clampLatency(saved.Slow), clampLatency(saved.Pace)
		for _, f := range saved.Faults {
			cl := g.classes[f.Class]
			if cl == nil {
				continue
			}
			h := &s.health[cl.index]
			h.failureAverage = min(max(f.Errs, 0), 1)
			if left := min(f.Bad, verdictLifetime) - g.restoredAge; left > 0 {
				h.outOfUse, h.outOfUseUntil = true, g.now+left
			}
		}
		s.monitoredLatency += (1 - s.monitoredLatency) * part
		s.decay(part)
	}
}

// clampLatency limits a restored relative latency to the range that it can have.
func clampLatency(latency float64) float64 {
	if !(latency > 0) { // true for NaN too
		return 1
	}
	return min(max(latency, 1/maxRelativeLatency), maxRelativeLatency)
}

// dropRestoredTokens drops the restored token buckets once a fresh start gives the same state.
func (g *Gateway) dropRestoredTokens() {
	for _, q := range g.plans {
		if q.Rate > 0 && (g.now-g.startedAt).Seconds() < q.Burst/q.Rate {
			return
		}
	}
	g.restoredTokens = nil
}
