package policy

// Release of held requests, asks that time out, and messages to peers.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// release sends held requests after an outcome: first the customer's own, while its current count and the
// reported means of the peers stay under the cap, then those of other customers that wait for a server.
func (g *Gateway) release(c *customer) {
	if !g.drain(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	rest := slices.SortedStableFunc(slices.Values(g.waiting), func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrived, b.held[0].arrived)
	})
	for _, w := range rest {
		if w != c && !g.drain(w, 1) {
			return
		}
	}
}

// onAskTimer repeats asks that were not answered in time, or sends them to the deputy.
func (g *Gateway) onAskTimer() {
	list := g.asking
	g.asking = nil
	for _, r := range list {
		switch {
		case r.over || r.granted || g.asks[r.tag] != r:
		case g.now+g.set.Resolution <= r.until: // rounding can make a timer fire early
			g.asking = append(g.asking, r)
		case r.waits:
			g.letIn(r, 0)
			g.refuse(r)
		default:
			g.unheard++
			g.ask(r)
		}
	}
}

// Messages to peers, and those received from them.

// sendReports sends each peer the counts that have changed.
func (g *Gateway) report() {
	g.seq++
	var list []*customer
	for _, c := range g.ring {
		if c.news() {
			c.urgency = g.urgent(c)
			list = append(list, c)
		}
	}
	if g.tree && len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.urgency, a.urgency) })
	for _, p := range g.peers {
		if p == nil || p.num == g.set.Me {
			continue
		}
		if m := g.message(p, list); !g.tree || len(m.customers) > 0 {
			g.do(Tell{To: p.num, Data: m.encode()})
		}
	}
	for _, c := range list {
		if c.told == g.ticks {
			c.fresh, c.toldUnits = max(0, c.fresh-1), c.passed
		}
	}
}

// retryAdvice returns after what time a retry may find room: once the token bucket has refilled to what a
// retry needs, and not before the next ticks.
func (g *Gateway) advice(r *request) time.Duration {
	c, wait := r.c, 2*g.tick.Seconds()
	if c.plan.Rate > 0 {
		need := r.units + retryReserve*c.plan.Burst - g.allowance(c)
		wait = max(wait, need/c.plan.Rate)
	}
	return min(g.set.MaxRetryAfter, time.Duration(wait*float64(time.Second)))
}

// notifyMonitors passes an outcome to the monitors of the server. Unless it is the active one, the second
// monitor gets only failures to connect.
func (g *Gateway) sight(s *server, cl *class, code Code, latency time.Duration) {
	if cl.Name == "" || cl.no < 0 {
		return // the class is not in the settings
	}
	for i, w := range s.watchers {
		if i > 0 && !g.tree || w != g.judgeOf(s) && (i == 0 || code != ConnectFailed) {
			continue
		}
		if w == g.set.Me {
			g.gather(s, cl.no, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.do(Tell{To: w, Data: encode(g.marked(sight{uint32(s.ID), byte(cl.no), byte(code), ms}))})
	}
}

// onVerdict applies a health verdict on a server.
func (g *Gateway) onVerdict(m verdict, bad byte) {
	s := g.meet(ServerID(m.Server))
	if s == nil {
		return
	}
	for i := range s.by {
		s.by[i].bad, s.by[i].until = bad>>i&1 == 1, g.now+verdictLife
	}
	s.slow = paceOf(m.Pace)
}

// monitors returns the gateways that monitor a server's health; in a small fleet each gateway monitors for
// itself. The second is far from the first by number, since gateways of one machine, or of one step of a
// rollout, have adjacent numbers and shut down together. Where zones are assigned to the numbers in turn it
// is also in another zone, since a network partition takes a whole zone.
func (g *Gateway) watchers(id ServerID) [2]int {
	if !g.tree {
		return [2]int{g.set.Me, g.set.Me}
	}
	h, n := serverHash(id), uint32(g.set.Gateways)
	if n <= 1<<serverBits { // same as in older versions; with more, some would monitor no server
		h >>= 32 - serverBits
	}
	far := n/2 - n/2%zoneTurns + 1
	return [2]int{int(h % n), int((h + far) % n)}
}

// activeMonitor returns the monitor whose verdicts on a server are in force: the first or, after that one has
// announced its shutdown, the second.
func (g *Gateway) judgeOf(s *server) int {
	if g.gone(s.watchers[0]) {
		return s.watchers[1]
	}
	return s.watchers[0]
}

// adoptServerState takes over the other monitor's state of a server: the higher error rate of the two, an
// ejection for as long as a verdict lasts, and the relative latency, since the other monitor has seen more.
func (g *Gateway) adoptJudged(s *server, m judged) {
	s.slow = within(paceOf(m.Pace))
	s.pace = s.slow
	for i := range m.Errs {
		at := g.place(byte(i), true, m.Mark)
		if at < 0 {
			continue
		}
		v := &s.by[at]
		v.errs = max(v.errs, min(1, float64(m.Errs[i])/250))
		if until := g.now + min(verdictLife, time.Duration(m.Bad[i])*judgedStep); m.Bad[i] > 0 && until > v.until {
			v.bad, v.until = true, until
		}
	}
}
