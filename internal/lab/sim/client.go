package sim

import (
	"fmt"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// clientRequest is one request of a client, over all its tries.
type clientRequest struct {
	customer   *customer
	class      int
	units      float64
	scheduled  time.Duration // scheduled time of the first try
	waitsUntil time.Duration // the client stops waiting at this time
	tries      int
	attempts   int
	ranAt      time.Duration // when the first attempt that may have run was sent; 0: none
	end        tally.End
	closed     bool
	story      *trace.Story
}

// try is one request of a client to one edge node, with its own id.
type try struct {
	id          policy.RequestID
	request     *clientRequest
	node        *node
	incarnation int // incarnation of the edge node's process
	at          time.Duration
	deadline    time.Duration
	answered    bool
	attempts    int
	inFlight    *attempt // in flight; nil: none
	mayHaveRun  bool     // an attempt may have run
	ranAt       time.Duration
	ranZone     int
	ranCell     int
	charged     bool // its units are charged to the customer's quota
}

// formatID formats a request id as clients send it.
func formatID(id policy.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func (w *clientRequest) classOf(s *Sim) *world.Class { return &s.world.Classes[w.class] }

// startRequest starts a new request of a client.
func (s *Sim) startRequest(c *customer) {
	w := &clientRequest{customer: c, class: s.world.ClassOf(s.clientRand), units: float64(1 + s.clientRand.IntN(max(1, s.world.Load.Units))), scheduled: s.now}
	w.waitsUntil = s.now + w.classOf(s).Deadline.D()
	if s.clientRand.Float64() < s.world.Client.Leave {
		w.waitsUntil = s.now + time.Duration((0.3+0.6*s.clientRand.Float64())*float64(w.classOf(s).Deadline))
	}
	w.end = tally.End{Class: w.class, Plan: c.plan, Node: -1, Units: w.units, At: s.elapsed(), How: tally.Failed, Inside: c.account.Fits(w.units, s.now)}
	s.openRequests++
	if s.Trace != nil {
		s.requestCount++
		w.story = s.Trace.Begin(trace.Story{ID: fmt.Sprintf("w%07d", s.requestCount), Class: w.classOf(s).Name, Plan: s.world.Plans[c.plan].Name, Key: c.key,
			Worth: s.Book.Worth(w.class, c.plan, w.units)})
	}
	s.addNote(w, -1, trace.Asked, "%s, %g units, waits %v", w.classOf(s).Name, w.units, w.waitsUntil-s.now)
	s.startTry(w)
}

// startTry lets the front-end load balancer send a request to one of the customer's edge nodes that it
// believes are up.
func (s *Sim) startTry(w *clientRequest) {
	up := make([]*node, 0, w.customer.spread)
	for i := range w.customer.spread {
		if n := s.nodes[(w.customer.first+i)%len(s.nodes)]; !n.outOfRotation {
			up = append(up, n)
		}
	}
	if w.tries++; len(up) == 0 {
		s.retryOrClose(w, tally.Failed, 0, true)
		return
	}
	n := up[s.clientRand.IntN(len(up))]
	s.lastID++
	t := &try{id: s.lastID, request: w, node: n, incarnation: n.incarnation, at: s.now, deadline: w.waitsUntil}
	s.after(s.world.Net.Near.D(), func() { s.arrive(t) })
}

// arrive handles the arrival of a request at its edge node's machine.
func (s *Sim) arrive(t *try) {
	n := t.node
	if !n.up {
		s.addNote(t.request, n.index, trace.Untaken, "")
		s.retryOrClose(t.request, tally.Failed, 0, true)
		return
	}
	t.incarnation = n.incarnation
	n.openTries[t.id] = t
	w := t.request
	s.addNote(w, n.index, trace.Came, "as %s, try %d", formatID(t.id), w.tries)
	s.at(t.deadline, func() { s.expire(t) })
	n.handle(policy.Request{ID: t.id, Customer: w.customer.key, Plan: s.world.Plans[w.customer.plan].Name, Class: w.classOf(s).Name, Units: w.units,
		Remaining: t.deadline - s.now, First: w.customer.first, Spread: w.customer.spread, Retry: w.tries > 1})
}

// expire handles the end of a client's wait. An attempt in flight times out. A request without an
// answer at the end of the slack after the expire counts as lost.
func (s *Sim) expire(t *try) {
	n := t.node
	if t.answered || n.incarnation != t.incarnation || !n.up {
		return
	}
	if a := t.inFlight; a != nil {
		s.endAttempt(a, policy.TimedOut, false)
	}
	s.at(t.deadline+s.world.Rules.Slack.D(), func() {
		if t.answered || n.incarnation != t.incarnation || !n.up {
			return
		}
		s.Book.Broken(tally.AnswerLost, formatID(t.id), n.index, s.elapsed(), "%s not answered %v after its client's deadline", t.request.classOf(s).Name, s.world.Rules.Slack.D())
		s.deliverAnswer(t, tally.Lost, 0)
		n.handle(policy.ClientDisconnected{ID: t.id})
	})
}

// deliverAnswer delivers the final deliverAnswer of an edge node to a try.
func (s *Sim) deliverAnswer(t *try, how tally.How, retryAfter time.Duration) {
	if t.answered {
		s.Book.Broken(tally.AnswerTwice, formatID(t.id), t.node.index, s.elapsed(), "%v behind another answer", how)
		return
	}
	t.answered = true
	delete(t.node.openTries, t.id)
	w := t.request
	w.end.Node = t.node.index
	s.addNote(w, t.node.index, trace.Answered, "%v after %v", how, s.now-t.at)
	if how == tally.Refused || how == tally.Failed {
		if t.mayHaveRun && how == tally.Refused && !w.classOf(s).MayRepeat() {
			s.Book.Broken(tally.SecondCopy, formatID(t.id), t.node.index, s.elapsed(), "refused, but an attempt may have run")
		}
		w.end.HeldBack = t.attempts == 0 && s.now-t.at > (t.deadline-t.at)/2
	}
	s.after(s.world.Net.Near.D(), func() { s.retryOrClose(w, how, retryAfter, false) })
}

// retryOrClose retries a request if the client may retry and has time left; otherwise it ends the request.
func (s *Sim) retryOrClose(w *clientRequest, how tally.How, retryAfter time.Duration, notAccepted bool) {
	if w.closed {
		return
	}
	if how == tally.Served || how == tally.Late {
		if s.now-w.scheduled > w.classOf(s).Aim.D() {
			how = tally.Late
		} else {
			how = tally.Served
		}
		s.close(w, how)
		return
	}
	wait, retry := s.world.Again(s.clientRand, world.Retry{Class: w.classOf(s), Harmless: how == tally.Refused || notAccepted, MayRan: w.ranAt != 0,
		RanSince: s.now - w.ranAt, Tries: w.tries, Advice: retryAfter, Left: w.waitsUntil - s.now, Eager: s.eagerness})
	if !retry || how == tally.Lost {
		s.close(w, how)
		return
	}
	s.after(wait, func() { s.startTry(w) })
}

// close ends a client's request.
func (s *Sim) close(w *clientRequest, how tally.How) {
	w.closed = true
	s.openRequests--
	w.end.How, w.end.Latency, w.end.Tries, w.end.Sends = how, s.now-w.scheduled, w.tries, w.attempts
	s.Book.Close(w.end)
	s.addNote(w, w.end.Node, trace.Ended, "%v after %v and %d tries", how, s.now-w.scheduled, w.tries)
	if st := w.story; st != nil {
		st.How, st.Inside = how.String(), w.end.Inside
		if w.end.Inside && how != tally.Served {
			st.Lost = st.Worth
			if how == tally.Late {
				st.Lost *= 1 - w.classOf(s).Late
			}
		}
	}
}

// addNote adds an entry to the trace of a request.
func (s *Sim) addNote(w *clientRequest, node int, what trace.What, format string, args ...any) {
	if w.story != nil {
		s.Trace.Add(w.story, s.elapsed(), node, what, format, args...)
	}
}
