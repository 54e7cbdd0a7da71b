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
	if !g.sendHeld(c, 1<<30) || len(g.waitingCustomers) == 0 {
		return
	}
	rest := slices.SortedStableFunc(slices.Values(g.waitingCustomers), func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrivedAt, b.held[0].arrivedAt)
	})
	for _, w := range rest {
		if w != c && !g.sendHeld(w, 1) {
			return
		}
	}
}

// onAskTimer repeats asks that were not answered in time, or sends them to the deputy. It refuses requests
// that a root has held for too long.
func (g *Gateway) onAskTimer() {
	list := g.pendingAsks
	g.pendingAsks = nil
	for _, r := range list {
		switch {
		case r.closed || r.granted || g.asksByTag[r.tag] != r:
		case g.now+g.settings.Resolution <= r.answerDue: // rounding can make a timer fire early
			g.pendingAsks = append(g.pendingAsks, r)
		case r.heldAtRoot:
			g.learnGrant(r, 0)
			g.refuse(r)
		default:
			g.unansweredAsks++
			g.askRoot(r)
		}
	}
}

// Messages to peers, and those received from them.

// sendReports sends each peer the counts that have changed.
func (g *Gateway) sendReports() {
	g.seq++
	var list []*customer
	for _, c := range g.customerList {
		if c.needsReport() {
			c.reportUrgency = g.reportUrgency(c)
			list = append(list, c)
		}
	}
	if g.largeFleet && len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b *customer) int {
		return cmp.Compare(b.reportUrgency, a.reportUrgency)
	})
	for _, p := range g.peers {
		if p == nil || p.num == g.settings.Self {
			continue
		}
		if m := g.newReport(p, list); !g.largeFleet || len(m.customers) > 0 {
			g.emit(SendMessage{To: p.num, Data: m.encode()})
		}
	}
	for _, c := range list {
		if c.lastReportTick == g.tickCount {
			c.reportTicksLeft, c.reportedUnits = max(0, c.reportTicksLeft-1), c.admittedUnits
		}
	}
}

// retryAdvice returns the time after which a retry may find room: once the token bucket has refilled to what
// a retry needs, and not before two ticks have passed.
func (g *Gateway) retryAdvice(r *request) time.Duration {
	c, wait := r.customer, 2*g.tick.Seconds()
	if c.plan.Rate > 0 {
		need := r.units + retryReserve*c.plan.Burst - g.allowance(c)
		wait = max(wait, need/c.plan.Rate)
	}
	return min(g.settings.MaxRetryAfter, time.Duration(wait*float64(time.Second)))
}

// notifyMonitors passes an outcome to the monitors of the server. Unless it is the active one, the second
// monitor gets only failures to connect.
func (g *Gateway) notifyMonitors(s *server, cl *class, code Code, latency time.Duration) {
	if cl.Name == "" || cl.index < 0 {
		return // the class is not in the settings
	}
	for i, w := range s.monitors {
		if i > 0 && !g.largeFleet || w != g.activeMonitor(s) && (i == 0 || code != ConnectFailed) {
			continue
		}
		if w == g.settings.Self {
			g.observeOutcome(s, cl.index, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.emit(SendMessage{To: w,
			Data: encode(g.withMark(observation{uint32(s.ID), byte(cl.index), byte(code), ms}))})
	}
}

// onVerdict applies a health verdict on a server.
func (g *Gateway) onVerdict(m verdictMessage, outOfUse byte) {
	s := g.trackForPeer(ServerID(m.Server))
	if s == nil {
		return
	}
	for i := range s.health {
		s.health[i].outOfUse, s.health[i].outOfUseUntil = outOfUse>>i&1 == 1, g.now+verdictLifetime
	}
	s.relativeLatency = decodeRelativeLatency(m.RelativeLatency)
}

// monitors returns the gateways that monitor a server's health; in a small fleet each gateway monitors for
// itself. The second is far from the first by number, since gateways of one machine, or of one step of a
// rollout, have adjacent numbers and shut down together. Where zones are assigned to the numbers in turn it
// is also in another zone, since a network partition takes a whole zone.
func (g *Gateway) monitors(id ServerID) [2]int {
	if !g.largeFleet {
		return [2]int{g.settings.Self, g.settings.Self}
	}
	h, n := serverHash(id), uint32(g.settings.Gateways)
	if n <= 1<<serverBits { // same as in older versions; with more, some would monitor no server
		h >>= 32 - serverBits
	}
	distance := n/2 - n/2%zoneMultiple + 1
	return [2]int{int(h % n), int((h + distance) % n)}
}

// activeMonitor returns the monitor whose verdicts on a server are in force: the first or, while that one is
// absent after it announced its shutdown, the second.
func (g *Gateway) activeMonitor(s *server) int {
	if g.isAbsent(s.monitors[0]) {
		return s.monitors[1]
	}
	return s.monitors[0]
}

// adoptMonitorState takes over the other monitor's state of a server. The worse of both states counts: the
// higher failure average, and the longer time out of use, which is at most a verdict's lifetime. The relative
// latency is the other monitor's, since that one has observed more.
func (g *Gateway) adoptMonitorState(s *server, m monitorState) {
	s.relativeLatency = clampLatency(decodeRelativeLatency(m.RelativeLatency))
	s.monitoredLatency = s.relativeLatency
	for i := range m.FailureAverages {
		at := g.localClass(byte(i), true, m.Mark)
		if at < 0 {
			continue
		}
		v := &s.health[at]
		v.failureAverage = max(v.failureAverage, min(1, float64(m.FailureAverages[i])/250))
		if until := g.now + min(verdictLifetime,
			time.Duration(m.OutOfUseFor[i])*outOfUseStep); m.OutOfUseFor[i] > 0 && until > v.outOfUseUntil {
			v.outOfUse, v.outOfUseUntil = true, until
		}
	}
}
