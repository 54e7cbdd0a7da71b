package sim

import (
	"maps"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/policy"
)

// way draws the one-way latency between two zones.
func (s *Sim) way(a, b int) time.Duration {
	mean := s.w.Net.Near.D()
	if a != b {
		mean = s.w.Net.Far.D()
	}
	return mean/2 + draw(s.net, mean/2)
}

// passes reports whether packets get from one zone to another.
func (s *Sim) passes(from, to int) bool {
	return from == to || !s.cutBoth[from] && !s.cutBoth[to] && !s.cutOut[from]
}

// carry sends an attempt to its server on an idle connection or on a new one.
func (s *Sim) carry(n *node, a *attempt) {
	srv := a.srv
	if n.take(srv) {
		s.write(n, a, s.way(n.zone, srv.zone))
		return
	}
	a.fresh = true
	both := s.passes(n.zone, srv.zone) && s.passes(srv.zone, n.zone)
	trip := s.way(n.zone, srv.zone) + s.way(srv.zone, n.zone)
	switch {
	case !both || srv.silent:
		s.after(s.w.Net.Dial.D(), func() { s.fail(a, policy.ConnectFailed, false) })
	case srv.dead:
		s.after(trip, func() { s.fail(a, policy.ConnectFailed, false) })
	case srv.conns >= s.w.Server.Connections:
		s.after(trip, func() { s.fail(a, policy.Full, false) })
	default:
		srv.conns++
		s.Book.Handshakes++
		inc := srv.inc
		// The handshake costs a round trip and work.
		s.after(trip+s.w.Server.Handshake.D(), func() {
			if srv.inc != inc || !n.up { // the server or the edge node died meanwhile
				s.fail(a, policy.ConnectFailed, false)
				return
			}
			if a.over {
				srv.conns--
				return
			}
			s.write(n, a, s.way(n.zone, srv.zone))
		})
	}
}

// write sends an attempt on an established connection.
func (s *Sim) write(n *node, a *attempt, way time.Duration) {
	srv, inc := a.srv, a.srv.inc
	if s.reset > 0 && s.net.Float64() < s.reset {
		s.after(way, func() {
			if srv.inc == inc && !a.over {
				srv.receive(a) // it runs, but its answer is lost
			}
			s.fail(a, policy.Reset, false)
		})
		return
	}
	s.after(way, func() {
		switch {
		case a.over:
			s.shut(a)
		case srv.inc != inc || srv.dead:
			s.after(way, func() { s.fail(a, policy.Reset, false) })
		case srv.silent || !s.passes(n.zone, srv.zone):
			// No answer comes; the connection stays open.
		default:
			srv.receive(a)
		}
	})
}

// shut closes the connection of an attempt.
func (s *Sim) shut(a *attempt) {
	if !a.gone && a.srv.inc == a.inc {
		a.srv.conns--
	}
	a.gone = true
	if a.job != nil {
		a.job.Gone = true
	}
}

// back delivers a server's answer to the edge node. The connection is reused if whole is true.
func (s *Sim) back(a *attempt, code policy.Code, whole bool) {
	srv, n := a.srv, a.t.n
	s.after(s.way(srv.zone, n.zone), func() {
		if srv.silent || !s.passes(srv.zone, n.zone) {
			return // the answer is lost
		}
		s.fail(a, code, whole)
	})
}

// fail ends an attempt with the outcome that its edge node observes, which may be a success.
func (s *Sim) fail(a *attempt, code policy.Code, whole bool) {
	t, n := a.t, a.t.n
	if a.over {
		return
	}
	a.over = true
	if t.inc != n.inc || !n.up {
		s.shut(a)
		return
	}
	if whole && a.inc == a.srv.inc {
		n.keep(a.srv, a.inc)
		a.gone = true // the connection went back to the idle pool
	} else if a.whole || !a.fresh {
		s.shut(a)
	} else if code == policy.TimedOut || code == policy.Cancelled {
		a.gone = a.srv.inc != a.inc
	}
	t.out = nil
	s.uncount(t, a)
	if !code.NeverRan() && a.whole {
		s.ran(t, a)
	}
	if code == policy.TimedOut && !a.whole {
		s.ran(t, a) // the edge node can't rule it out
	}
	s.note(t.w, n.no, trace.Outcome, "attempt %d at server %d: %s after %v", a.no, a.srv.no, codeNames[code], s.now-a.sent)
	if t.answered {
		n.handle(policy.Outcome{ID: t.id, Attempt: a.no, Server: a.srv.id, Code: code, Latency: s.now - a.sent, Answered: true})
		return
	}
	over := code == policy.OK
	if over {
		s.answer(t, tally.Served, 0)
	}
	n.handle(policy.Outcome{ID: t.id, Attempt: a.no, Server: a.srv.id, Code: code, Latency: s.now - a.sent, Answered: over})
}

var codeNames = [...]string{"ok", "error", "turned away", "timed out", "could not connect", "reset", "cancelled", "moot"}

// ran records that an attempt may have run.
func (s *Sim) ran(t *try, a *attempt) {
	if !t.ran {
		t.ran, t.ranAt, t.ranZone, t.ranCell = true, a.sent, a.srv.zone, a.srv.cell
	}
	if t.w.ranAt == 0 {
		t.w.ranAt = a.sent
	}
}

// count charges a try's units when its first attempt has arrived whole, and counts the attempt under the
// cap.
func (s *Sim) count(a *attempt) {
	t, acc := a.t, a.t.w.c.account
	if !t.charged {
		t.charged = true
		inside, over := acc.Send(t.w.units, s.now)
		s.Book.FirstSends++
		if win := s.Book.Window(s.since()); win != nil {
			if win.Sent++; !inside {
				win.Beyond++
			}
		}
		if !inside {
			s.Book.Beyond++
			t.w.end.Beyond = true
		}
		if over > s.w.Rules.Tolerance && acc.Plan.HardRate > 0 {
			s.Book.Broken(tally.Ceiling, name(t.id), t.n.no, s.since(), "customer %s is %.2f units over its ceiling", t.w.c.key, over)
		}
	}
	acc.Out(1)
	s.out++
	if win := s.Book.Window(s.since()); win != nil {
		win.Out = max(win.Out, s.out)
	}
}

// uncount removes an attempt from the count under the cap.
func (s *Sim) uncount(t *try, a *attempt) {
	if a.whole {
		t.w.c.account.Out(-1)
		s.out--
	}
}

const mostMessage = 256 // bytes of a datagram

// post sends a datagram to one other edge node, or to all.
func (n *node) post(a policy.SendMessage, because policy.Event) {
	s := n.s
	if len(a.Data) > mostMessage {
		s.Book.Broken(tally.Datagram, "-", n.no, s.since(), "a datagram of %d bytes", len(a.Data))
	}
	if s.Trace != nil {
		n.traceAsk(a, because)
	}
	for to := range s.nodes {
		if to != n.no && (to == a.To || a.To < 0) {
			s.letter(n, s.nodes[to], a.Data)
		}
	}
}

// letter puts a datagram on the network, which may lose, delay or duplicate it.
func (s *Sim) letter(from, to *node, data []byte) {
	copies := 1
	if s.w.Net.Duplicate > 0 && s.mail.Float64() < s.w.Net.Duplicate {
		copies = 2
	}
	for range copies {
		if s.mail.Float64() < s.loss || !s.passes(from.zone, to.zone) || s.deaf[to.no] {
			s.Book.MailLost++
			continue
		}
		s.after(s.w.Net.Peer.D()+draw(s.mail, s.w.Net.PeerMore.D()), func() { to.hear(from.no, data) })
	}
}

// hear receives a datagram unless the node has used up its datagram budget of this second.
func (n *node) hear(from int, data []byte) {
	s := n.s
	if sec := int(s.since() / time.Second); sec != n.mailAt {
		n.mailAt, n.mailIn = sec, 0
	}
	if !n.up || float64(n.mailIn) >= s.w.Net.Mail {
		s.Book.MailLost++
		return
	}
	n.mailIn++
	n.mailPeak = max(n.mailPeak, n.mailIn)
	s.Book.Mail++
	s.Book.MailBytes += int64(len(data))
	if win := s.Book.Window(s.since()); win != nil {
		win.Mail++
	}
	if s.Trace != nil {
		n.traceAnswer(from, data)
	}
	n.handle(policy.PeerMessage{From: from, Data: data})
}

// traceAsk records the request that a message to a root asks units for.
func (n *node) traceAsk(a policy.SendMessage, because policy.Event) {
	m, ok := policy.ReadAsk(a.Data)
	if !ok {
		return
	}
	w := n.asked[m.Tag]
	if r, came := because.(policy.Request); came && n.open[r.ID] != nil {
		w = n.open[r.ID].w
	}
	for _, id := range slices.Sorted(maps.Keys(n.open)) { // a repeat under another tag: match by deadline and units
		if w != nil {
			break
		}
		t := n.open[id]
		left := (t.deadline - n.s.now).Milliseconds()
		if d := left - m.Remaining.Milliseconds(); d >= -1 && d <= 1 && t.w.units == m.Units {
			w = t.w
		}
	}
	if w != nil {
		n.asked[m.Tag] = w
		n.s.note(w, n.no, trace.Askroot, "edge node %d", a.To)
	}
}

// traceAnswer records the answer of a root.
func (n *node) traceAnswer(from int, data []byte) {
	m, ok := policy.ReadAnswer(data)
	if !ok || n.asked[m.Tag] == nil {
		return
	}
	what := trace.Granted
	switch {
	case m.Held:
		what = trace.Waits
	case !m.Granted:
		what = trace.Denied
	}
	n.s.note(n.asked[m.Tag], n.no, what, "edge node %d", from)
}
