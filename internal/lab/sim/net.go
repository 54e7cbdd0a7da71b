package sim

import (
	"maps"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/policy"
)

// oneWayLatency draws the one-way latency between two zones.
func (s *Sim) oneWayLatency(from, to int) time.Duration {
	mean := s.world.Net.Near.D()
	if from != to {
		mean = s.world.Net.Far.D()
	}
	return mean/2 + exponential(s.netRand, mean/2)
}

// reachable reports whether packets get from one zone to another.
func (s *Sim) reachable(from, to int) bool {
	return from == to || !s.cutBoth[from] && !s.cutBoth[to] && !s.cutOut[from]
}

// connectAndSend sends an attempt to its server on an idle connection or on a new one.
func (s *Sim) connectAndSend(n *node, a *attempt) {
	srv := a.srv
	if n.takeIdleConn(srv) {
		s.writeAttempt(n, a, s.oneWayLatency(n.zone, srv.zone))
		return
	}
	a.newConn = true
	bothWays := s.reachable(n.zone, srv.zone) && s.reachable(srv.zone, n.zone)
	roundTrip := s.oneWayLatency(n.zone, srv.zone) + s.oneWayLatency(srv.zone, n.zone)
	switch {
	case !bothWays || srv.unresponsive:
		s.after(s.world.Net.Dial.D(), func() { s.endAttempt(a, policy.ConnectFailed, false) })
	case srv.crashed:
		s.after(roundTrip, func() { s.endAttempt(a, policy.ConnectFailed, false) })
	case srv.conns >= s.world.Server.Connections:
		s.after(roundTrip, func() { s.endAttempt(a, policy.Full, false) })
	default:
		srv.conns++
		s.Book.Handshakes++
		inc := srv.incarnation
		// The handshake costs a round trip and work.
		s.after(roundTrip+s.world.Server.Handshake.D(), func() {
			if srv.incarnation != inc || !n.up { // either process has ended meanwhile
				s.endAttempt(a, policy.ConnectFailed, false)
				return
			}
			if a.done {
				srv.conns--
				return
			}
			s.writeAttempt(n, a, s.oneWayLatency(n.zone, srv.zone))
		})
	}
}

// writeAttempt sends an attempt on an established connection.
func (s *Sim) writeAttempt(n *node, a *attempt, latency time.Duration) {
	srv, inc := a.srv, a.srv.incarnation
	if s.resetRate > 0 && s.netRand.Float64() < s.resetRate {
		s.after(latency, func() {
			if srv.incarnation == inc && !a.done {
				srv.receive(a) // it runs, but its answer is lost
			}
			s.endAttempt(a, policy.Reset, false)
		})
		return
	}
	s.after(latency, func() {
		switch {
		case a.done:
			s.closeConn(a)
		case srv.incarnation != inc || srv.crashed:
			s.after(latency, func() { s.endAttempt(a, policy.Reset, false) })
		case srv.unresponsive || !s.reachable(n.zone, srv.zone):
			// No answer comes; the connection stays open.
		default:
			srv.receive(a)
		}
	})
}

// closeConn closes the connection of an attempt.
func (s *Sim) closeConn(a *attempt) {
	if !a.connReleased && a.srv.incarnation == a.incarnation {
		a.srv.conns--
	}
	a.connReleased = true
	if a.job != nil {
		a.job.Abandoned = true
	}
}

// returnAnswer delivers a server's answer to the edge node. The connection is reused if reuse is true.
func (s *Sim) returnAnswer(a *attempt, code policy.Code, reuse bool) {
	srv, n := a.srv, a.try.node
	s.after(s.oneWayLatency(srv.zone, n.zone), func() {
		if srv.unresponsive || !s.reachable(srv.zone, n.zone) {
			return // the answer is lost
		}
		s.endAttempt(a, code, reuse)
	})
}

// endAttempt ends an attempt with the outcome that its edge node observes, which may be a success.
func (s *Sim) endAttempt(a *attempt, code policy.Code, reuse bool) {
	t, n := a.try, a.try.node
	if a.done {
		return
	}
	a.done = true
	if t.incarnation != n.incarnation || !n.up {
		s.closeConn(a)
		return
	}
	if reuse && a.incarnation == a.srv.incarnation {
		n.putIdleConn(a.srv, a.incarnation)
		a.connReleased = true // the connection went back to the idle pool
	} else if a.received || !a.newConn {
		s.closeConn(a)
	} else if code == policy.TimedOut || code == policy.Cancelled {
		a.connReleased = a.srv.incarnation != a.incarnation
	}
	t.inFlight = nil
	s.uncountAttempt(t, a)
	if !code.NeverRan() && a.received {
		s.recordMayHaveRun(t, a)
	}
	if code == policy.TimedOut && !a.received {
		s.recordMayHaveRun(t, a) // the edge node can't rule it out
	}
	s.addNote(t.request, n.index, trace.Outcome, "attempt %d at server %d: %s after %v", a.number,
		a.srv.index, outcomeNames[code], s.now-a.sent)
	if t.answered {
		n.handle(policy.Outcome{ID: t.id, Attempt: a.number, Server: a.srv.id, Code: code,
			Latency: s.now - a.sent, Answered: true})
		return
	}
	succeeded := code == policy.OK
	if succeeded {
		s.deliverAnswer(t, tally.Served, 0)
	}
	n.handle(policy.Outcome{ID: t.id, Attempt: a.number, Server: a.srv.id, Code: code,
		Latency: s.now - a.sent, Answered: succeeded})
}

var outcomeNames = [...]string{"ok", "error", "turned away", "timed out", "could not connect", "reset",
	"cancelled", "moot"}

// recordMayHaveRun records that an attempt may have run.
func (s *Sim) recordMayHaveRun(t *try, a *attempt) {
	if !t.mayHaveRun {
		t.mayHaveRun, t.ranAt, t.ranZone, t.ranCell = true, a.sent, a.srv.zone, a.srv.cell
	}
	if t.request.ranAt == 0 {
		t.request.ranAt = a.sent
	}
}

// countAttempt charges a try's units when its first attempt has arrived whole, and counts the attempt
// under the cap.
func (s *Sim) countAttempt(a *attempt) {
	t, account := a.try, a.try.request.customer.account
	if !t.charged {
		t.charged = true
		withinQuota, excess := account.Charge(t.request.units, s.now)
		s.Book.FirstSends++
		if win := s.Book.Window(s.elapsed()); win != nil {
			if win.Sent++; !withinQuota {
				win.Beyond++
			}
		}
		if !withinQuota {
			s.Book.Beyond++
			t.request.end.BeyondQuota = true
		}
		if excess > s.world.Rules.Tolerance && account.Plan.HardRate > 0 {
			s.Book.Broken(tally.Ceiling, formatID(t.id), t.node.index, s.elapsed(),
				"customer %s is %.2f units over its ceiling", t.request.customer.key, excess)
		}
	}
	account.AddInFlight(1)
	s.inFlight++
	if win := s.Book.Window(s.elapsed()); win != nil {
		win.InFlight = max(win.InFlight, s.inFlight)
	}
}

// uncountAttempt removes an attempt from the count under the cap.
func (s *Sim) uncountAttempt(t *try, a *attempt) {
	if a.received {
		t.request.customer.account.AddInFlight(-1)
		s.inFlight--
	}
}

const maxDatagramBytes = 256

// sendDatagram sends a datagram to one other edge node, or to all.
func (n *node) sendDatagram(a policy.SendMessage, cause policy.Event) {
	s := n.sim
	if len(a.Data) > maxDatagramBytes {
		s.Book.Broken(tally.Datagram, "-", n.index, s.elapsed(), "a datagram of %d bytes", len(a.Data))
	}
	if s.Trace != nil {
		n.traceAsk(a, cause)
	}
	for to := range s.nodes {
		if to != n.index && (to == a.To || a.To < 0) {
			s.transmit(n, s.nodes[to], a.Data)
		}
	}
}

// transmit puts a datagram on the network, which may lose, delay or duplicate it.
func (s *Sim) transmit(from, to *node, data []byte) {
	copies := 1
	if s.world.Net.Duplicate > 0 && s.datagramRand.Float64() < s.world.Net.Duplicate {
		copies = 2
	}
	for range copies {
		if s.datagramRand.Float64() < s.datagramLoss || !s.reachable(from.zone, to.zone) ||
			s.receivesNone[to.index] {
			s.Book.DatagramsLost++
			continue
		}
		s.after(s.world.Net.Peer.D()+exponential(s.datagramRand, s.world.Net.PeerMore.D()),
			func() { to.receive(from.index, data) })
	}
}

// receive receives a datagram unless the node has used up its datagram budget of this second.
func (n *node) receive(from int, data []byte) {
	s := n.sim
	if sec := int(s.elapsed() / time.Second); sec != n.datagramSecond {
		n.datagramSecond, n.datagramsIn = sec, 0
	}
	if !n.up || float64(n.datagramsIn) >= s.world.Net.Mail {
		s.Book.DatagramsLost++
		return
	}
	n.datagramsIn++
	n.datagramPeak = max(n.datagramPeak, n.datagramsIn)
	s.Book.DatagramsReceived++
	s.Book.DatagramBytes += int64(len(data))
	if win := s.Book.Window(s.elapsed()); win != nil {
		win.DatagramsReceived++
	}
	if s.Trace != nil {
		n.traceAnswer(from, data)
	}
	n.handle(policy.PeerMessage{From: from, Data: data})
}

// traceAsk records the request that a message to a root asks units for.
func (n *node) traceAsk(a policy.SendMessage, cause policy.Event) {
	m, ok := policy.ReadAsk(a.Data)
	if !ok {
		return
	}
	req := n.askedFor[m.Tag]
	if r, isRequest := cause.(policy.Request); isRequest && n.openTries[r.ID] != nil {
		req = n.openTries[r.ID].request
	}
	// A repeated ask has another tag: match it by deadline and units.
	for _, id := range slices.Sorted(maps.Keys(n.openTries)) {
		if req != nil {
			break
		}
		t := n.openTries[id]
		remaining := (t.deadline - n.sim.now).Milliseconds()
		if difference := remaining - m.Remaining.Milliseconds(); difference >= -1 && difference <= 1 &&
			t.request.units == m.Units {
			req = t.request
		}
	}
	if req != nil {
		n.askedFor[m.Tag] = req
		n.sim.addNote(req, n.index, trace.RootAsked, "edge node %d", a.To)
	}
}

// traceAnswer records the answer of a root.
func (n *node) traceAnswer(from int, data []byte) {
	m, ok := policy.ReadAnswer(data)
	if !ok || n.askedFor[m.Tag] == nil {
		return
	}
	what := trace.Granted
	switch {
	case m.Held:
		what = trace.Held
	case !m.Granted:
		what = trace.Denied
	}
	n.sim.addNote(n.askedFor[m.Tag], n.index, what, "edge node %d", from)
}
