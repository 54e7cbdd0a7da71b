package policy

import (
	"math"
	"time"
)

// What a gateway that starts anew may be told of the time before.

// Memory is what is worth keeping of a gateway's state.
type Memory struct {
	Servers []ServerMemory
	Tokens  map[uint64]float64 // units, by customer, of those that are not full
}

// ServerMemory is what is known of a process of a server.
type ServerMemory struct {
	ID         ServerID
	HasStart   bool
	Start      time.Duration
	Slow, Pace float64
	Faults     []FaultMemory
}

// FaultMemory is what is known of it for a class.
type FaultMemory struct {
	Class string
	Errs  float64
	Bad   time.Duration // it stays out of use for so long
}

// Restore tells a gateway that has just started what one before it knew.
type Restore struct {
	Memory
	Elapsed time.Duration // at least so long ago
	Clean   bool          // that one let in nothing after Memory was taken
}

// Memory is a copy that shares nothing with the gateway. The token buckets are only
// worth keeping once nothing more is let in: what comes after is not in them.
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

// restore takes in what the gateway before knew. What it knew of a server is
// worn by the time since, and void for another process of that server.
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

// within holds a remembered figure to what it can have been.
func within(pace float64) float64 {
	if !(pace > 0) { // NaN is not
		return 1
	}
	return min(max(pace, 1/maxPace), maxPace)
}

// letGo drops what was kept of the token buckets once a fresh start would come to the
// same.
func (g *Gateway) letGo() {
	for _, q := range g.plans {
		if q.Rate > 0 && (g.now-g.start).Seconds() < q.Burst/q.Rate {
			return
		}
	}
	g.kept = nil
}
