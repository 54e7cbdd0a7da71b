package policy

import (
	"math"
	"time"
)

// State that a gateway may get from the process before it.

// SavedState is the part of a gateway's state that its next process can use.
type SavedState struct {
	Servers []SavedServer
	Tokens  map[uint64]float64 // units by customer key, of the token buckets that are not full
}

// SavedServer is what is known of one process of a server.
type SavedServer struct {
	ID                                ServerID
	HasStart                          bool
	Start                             time.Duration
	RelativeLatency, MonitoredLatency float64 // as used here, and as its monitor measures it
	Health                            []SavedHealth
}

// SavedHealth is what is known of that process for one class.
type SavedHealth struct {
	Class          string
	FailureAverage float64       // moving average of failures, 0 to 1
	OutOfUseFor    time.Duration // remaining time out of use
}

// Restore tells a gateway that has just started what the process before it knew.
type Restore struct {
	SavedState
	Elapsed time.Duration // since SaveState was called, at least
	Clean   bool          // the process before admitted nothing after SaveState was called
}

// SaveState returns a copy of the state that shares no memory with the gateway. The token buckets,
// which it includes if withTokens is set, are of use only once nothing more is admitted, since they
// don't include later requests.
func (g *Gateway) SaveState(now time.Duration, withTokens bool) SavedState {
	var m SavedState
	for _, s := range g.tracked {
		if s.State == Removed {
			continue
		}
		saved := SavedServer{ID: s.ID, HasStart: s.HasStart, Start: s.Start,
			RelativeLatency: s.relativeLatency, MonitoredLatency: s.monitoredLatency}
		for name, cl := range g.classes {
			if h := s.health[cl.index]; h.failureAverage > 0 || h.outOfUse && h.outOfUseUntil > now {
				f := SavedHealth{Class: name, FailureAverage: h.failureAverage}
				if h.outOfUse {
					f.OutOfUseFor = max(0, h.outOfUseUntil-now)
				}
				saved.Health = append(saved.Health, f)
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
		s.relativeLatency, s.monitoredLatency =
			clampLatency(saved.RelativeLatency), clampLatency(saved.MonitoredLatency)
		for _, f := range saved.Health {
			cl := g.classes[f.Class]
			if cl == nil {
				continue
			}
			h := &s.health[cl.index]
			h.failureAverage = min(max(f.FailureAverage, 0), 1)
			if left := min(f.OutOfUseFor, verdictLifetime) - g.restoredAge; left > 0 {
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
