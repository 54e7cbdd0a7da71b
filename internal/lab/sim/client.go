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
	incarnation int // of the edge node's process
	startedAt   time.Duration
	deadline    time.Duration
	answered    bool
	attempts    int
	inFlight    *attempt // nil: none
	mayHaveRun  bool
	ranAt       time.Duration
	ranZone     int
	ranCell     int
	charged     bool // its units are charged to the customer's quota
}

// formatID formats a request id as clients send it.
func formatID(id policy.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

// classOf returns the class of the request.
func (req *clientRequest) classOf(s *Sim) *world.Class { return &s.world.Classes[req.class] }

// startRequest starts a new request of a client.
func (s *Sim) startRequest(c *customer) {
	req := &clientRequest{customer: c, class: s.world.ClassOf(s.clientRand),
		units: float64(1 + s.clientRand.IntN(max(1, s.world.Load.Units))), scheduled: s.now}
	req.waitsUntil = s.now + req.classOf(s).Deadline.D()
	if s.clientRand.Float64() < s.world.Client.Leave {
		req.waitsUntil = s.now +
			time.Duration((0.3+0.6*s.clientRand.Float64())*float64(req.classOf(s).Deadline))
	}
	req.end = tally.End{Class: req.class, Plan: c.plan, Node: -1, Units: req.units, At: s.elapsed(),
		How: tally.Failed, WithinQuota: c.account.Fits(req.units, s.now)}
	s.openRequests++
	if s.Trace != nil {
		s.requestCount++
		req.story = s.Trace.Begin(trace.Story{ID: fmt.Sprintf("w%07d", s.requestCount),
			Class: req.classOf(s).Name, Plan: s.world.Plans[c.plan].Name, Key: c.key,
			Worth: s.Book.Worth(req.class, c.plan, req.units)})
	}
	s.addNote(req, -1, trace.Asked, "%s, %g units, waits %v", req.classOf(s).Name, req.units,
		req.waitsUntil-s.now)
	s.startTry(req)
}

// startTry lets the front-end load balancer send a request to one of the customer's edge nodes that it
// believes are up.
func (s *Sim) startTry(req *clientRequest) {
	up := make([]*node, 0, req.customer.spread)
	for i := range req.customer.spread {
		if n := s.nodes[(req.customer.first+i)%len(s.nodes)]; !n.outOfRotation {
			up = append(up, n)
		}
	}
	if req.tries++; len(up) == 0 {
		s.retryOrClose(req, tally.Failed, 0, true)
		return
	}
	n := up[s.clientRand.IntN(len(up))]
	s.lastTryID++
	t := &try{id: s.lastTryID, request: req, node: n, incarnation: n.incarnation, startedAt: s.now,
		deadline: req.waitsUntil}
	s.after(s.world.Net.Near.D(), func() { s.arrive(t) })
}

// arrive handles the arrival of a request at its edge node's machine.
func (s *Sim) arrive(t *try) {
	n := t.node
	if !n.up {
		s.addNote(t.request, n.index, trace.NotAccepted, "")
		s.retryOrClose(t.request, tally.Failed, 0, true)
		return
	}
	t.incarnation = n.incarnation
	n.openTries[t.id] = t
	req := t.request
	s.addNote(req, n.index, trace.Accepted, "as %s, try %d", formatID(t.id), req.tries)
	s.at(t.deadline, func() { s.expire(t) })
	n.handle(policy.Request{ID: t.id, Customer: req.customer.key,
		Plan: s.world.Plans[req.customer.plan].Name, Class: req.classOf(s).Name, Units: req.units,
		Remaining: t.deadline - s.now, First: req.customer.first, Spread: req.customer.spread,
		Retry: req.tries > 1})
}

// expire handles a try at its client's deadline. An attempt in flight times out. A try that has no answer
// at the end of the allowed slack after the deadline breaks a rule and counts as lost.
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
		s.Book.Broken(tally.AnswerLost, formatID(t.id), n.index, s.elapsed(),
			"%s not answered %v after its client's deadline", t.request.classOf(s).Name,
			s.world.Rules.Slack.D())
		s.deliverAnswer(t, tally.Lost, 0)
		n.handle(policy.ClientDisconnected{ID: t.id})
	})
}

// deliverAnswer delivers the final answer of an edge node to a try.
func (s *Sim) deliverAnswer(t *try, how tally.How, retryAfter time.Duration) {
	if t.answered {
		s.Book.Broken(tally.AnswerTwice, formatID(t.id), t.node.index, s.elapsed(),
			"%v behind another answer", how)
		return
	}
	t.answered = true
	delete(t.node.openTries, t.id)
	req := t.request
	req.end.Node = t.node.index
	s.addNote(req, t.node.index, trace.Answered, "%v after %v", how, s.now-t.startedAt)
	if how == tally.Refused || how == tally.Failed {
		if t.mayHaveRun && how == tally.Refused && !req.classOf(s).MayRepeat() {
			s.Book.Broken(tally.SecondCopy, formatID(t.id), t.node.index, s.elapsed(),
				"refused, but an attempt may have run")
		}
		req.end.HeldBack = t.attempts == 0 && s.now-t.startedAt > (t.deadline-t.startedAt)/2
	}
	s.after(s.world.Net.Near.D(), func() { s.retryOrClose(req, how, retryAfter, false) })
}

// retryOrClose retries a request if the client may retry and has time left; otherwise it ends the request.
func (s *Sim) retryOrClose(req *clientRequest, how tally.How, retryAfter time.Duration, notAccepted bool) {
	if req.closed {
		return
	}
	if how == tally.Served || how == tally.Late {
		if s.now-req.scheduled > req.classOf(s).Aim.D() {
			how = tally.Late
		} else {
			how = tally.Served
		}
		s.close(req, how)
		return
	}
	wait, retry := s.world.DecideRetry(s.clientRand,
		world.Retry{Class: req.classOf(s), Retryable: how == tally.Refused || notAccepted,
			MayHaveRun: req.ranAt != 0, RanSince: s.now - req.ranAt, Tries: req.tries, RetryAfter: retryAfter,
			Remaining: req.waitsUntil - s.now, Eagerness: s.eagerness})
	if !retry || how == tally.Lost {
		s.close(req, how)
		return
	}
	s.after(wait, func() { s.startTry(req) })
}

// close ends a client's request.
func (s *Sim) close(req *clientRequest, how tally.How) {
	req.closed = true
	s.openRequests--
	req.end.How, req.end.Latency, req.end.Tries, req.end.Sends =
		how, s.now-req.scheduled, req.tries, req.attempts
	s.Book.Close(req.end)
	s.addNote(req, req.end.Node, trace.Ended, "%v after %v and %d tries", how, s.now-req.scheduled, req.tries)
	if st := req.story; st != nil {
		st.How, st.WithinQuota = how.String(), req.end.WithinQuota
		if req.end.WithinQuota && how != tally.Served {
			st.Lost = st.Worth
			if how == tally.Late {
				st.Lost *= 1 - req.classOf(s).Late
			}
		}
	}
}

// addNote adds an entry to the trace of a request.
func (s *Sim) addNote(req *clientRequest, node int, what trace.What, format string, args ...any) {
	if req.story != nil {
		s.Trace.Add(req.story, s.elapsed(), node, what, format, args...)
	}
}
