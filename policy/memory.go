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
func (g *Gateway) Memory(now time.Duration, stores bool) Memory {
	var m Memory
	for _, s := range g.fleet {
		if s.State == Removed {
			continue
		}
		k := ServerMemory{ID: s.ID, HasStart: s.HasStart, Start: s.Start, Slow: s.slow, Pace: s.pace}
		for name, cl := range g.classes {
			if v := s.by[cl.no]; v.errs > 0 || v.bad && v.until > now {
				f := FaultMemory{Class: name, Errs: v.errs}
				if v.bad {
					f.Bad = max(0, v.until-now)
				}
				k.Faults = append(k.Faults, f)
			}
		}
		m.Servers = append(m.Servers, k)
	}
	if !stores {
		return m
	}
	g.now = max(g.now, now)
	m.Tokens = map[uint64]float64{}
	for key, c := range g.customers {
		if g.advance(c); c.plan.Rate > 0 && c.tokens < c.plan.Burst && (len(c.ask) == 0 || c.sums) {
			m.Tokens[key] = c.tokens
		}
	}
	return m
}

// restore applies what the process before knew. What it knew of a server decays over the time
// since, and is ignored if another process of that server runs now.
func (g *Gateway) restore(ev Restore) {
	g.restored, g.clean, g.keptFor = true, ev.Clean, max(0, ev.Elapsed)
	if ev.Clean {
		g.kept = ev.Tokens
	}
	part := 1 - math.Exp(-g.keptFor.Seconds()/slowSpan.Seconds())
	for _, k := range ev.Servers {
		s := g.meet(k.ID)
		if s == nil || s.HasStart != k.HasStart || s.Start != k.Start {
			continue
		}
		s.slow, s.pace = within(k.Slow), within(k.Pace)
		for _, f := range k.Faults {
			cl := g.classes[f.Class]
			if cl == nil {
				continue
			}
			v := &s.by[cl.no]
			v.errs = min(max(f.Errs, 0), 1)
			if left := min(f.Bad, verdictLife) - g.keptFor; left > 0 {
				v.bad, v.until = true, g.now+left
			}
		}
		s.pace += (1 - s.pace) * part
		s.wear(part)
	}
}

// clampLatency limits a restored relative latency to the range that it can have.
func within(pace float64) float64 {
	if !(pace > 0) { // true for NaN too
		return 1
	}
	return min(max(pace, 1/maxPace), maxPace)
}

// dropRestoredTokens drops the restored token buckets once a fresh start gives the same state.
func (g *Gateway) letGo() {
	for _, q := range g.plans {
		if q.Rate > 0 && (g.now-g.start).Seconds() < q.Burst/q.Rate {
			return
		}
	}
	g.kept = nil
}
