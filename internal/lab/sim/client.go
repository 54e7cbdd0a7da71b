package sim

import (
	"fmt"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// want is one request of a client, over all its tries.
type want struct {
	c      *customer
	class  int
	units  float64
	at     time.Duration // scheduled time of the first try
	until  time.Duration // the client stops waiting at this time
	tries  int
	sends  int
	ranAt  time.Duration // when the first attempt that may have run was sent; 0: none
	end    tally.End
	closed bool
	story  *trace.Story
}

// try is one request of a client to one edge node, with its own id.
type try struct {
	id       policy.RequestID
	w        *want
	n        *node
	inc      int // incarnation of the edge node's process
	at       time.Duration
	deadline time.Duration
	answered bool
	attempts int
	out      *attempt // in flight; nil: none
	ran      bool     // an attempt may have run
	ranAt    time.Duration
	ranZone  int
	ranCell  int
	charged  bool // its units are charged to the customer's quota
}

// name formats a request id as clients send it.
func name(id policy.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func (w *want) classOf(s *Sim) *world.Class { return &s.w.Classes[w.class] }

// ask starts a new request of a client.
func (s *Sim) ask(c *customer) {
	w := &want{c: c, class: s.w.ClassOf(s.clients), units: float64(1 + s.clients.IntN(max(1, s.w.Load.Units))), at: s.now}
	w.until = s.now + w.classOf(s).Deadline.D()
	if s.clients.Float64() < s.w.Client.Leave {
		w.until = s.now + time.Duration((0.3+0.6*s.clients.Float64())*float64(w.classOf(s).Deadline))
	}
	w.end = tally.End{Class: w.class, Plan: c.plan, Node: -1, Units: w.units, At: s.since(), How: tally.Failed, Inside: c.account.Fits(w.units, s.now)}
	s.open++
	if s.Trace != nil {
		s.nextWant++
		w.story = s.Trace.Begin(trace.Story{ID: fmt.Sprintf("w%07d", s.nextWant), Class: w.classOf(s).Name, Plan: s.w.Plans[c.plan].Name, Key: c.key,
			Worth: s.Book.Worth(w.class, c.plan, w.units)})
	}
	s.note(w, -1, trace.Asked, "%s, %g units, waits %v", w.classOf(s).Name, w.units, w.until-s.now)
	s.try(w)
}

// try lets the front-end load balancer send a request to one of the customer's edge nodes that it
// believes are up.
func (s *Sim) try(w *want) {
	up := make([]*node, 0, w.c.spread)
	for i := range w.c.spread {
		if n := s.nodes[(w.c.first+i)%len(s.nodes)]; !n.shunned {
			up = append(up, n)
		}
	}
	if w.tries++; len(up) == 0 {
		s.again(w, tally.Failed, 0, true)
		return
	}
	n := up[s.clients.IntN(len(up))]
	s.nextID++
	t := &try{id: s.nextID, w: w, n: n, inc: n.inc, at: s.now, deadline: w.until}
	s.after(s.w.Net.Near.D(), func() { s.come(t) })
}

// come handles the arrival of a request at its edge node's machine.
func (s *Sim) come(t *try) {
	n := t.n
	if !n.up {
		s.note(t.w, n.no, trace.Untaken, "")
		s.again(t.w, tally.Failed, 0, true)
		return
	}
	t.inc = n.inc
	n.open[t.id] = t
	w := t.w
	s.note(w, n.no, trace.Came, "as %s, try %d", name(t.id), w.tries)
	s.at(t.deadline, func() { s.deadline(t) })
	n.handle(policy.Request{ID: t.id, Customer: w.c.key, Plan: s.w.Plans[w.c.plan].Name, Class: w.classOf(s).Name, Units: w.units,
		Remaining: t.deadline - s.now, First: w.c.first, Spread: w.c.spread, Retry: w.tries > 1})
}

// deadline handles the end of a client's wait. An attempt in flight times out. A request without an
// answer at the end of the slack after the deadline counts as lost.
func (s *Sim) deadline(t *try) {
	n := t.n
	if t.answered || n.inc != t.inc || !n.up {
		return
	}
	if a := t.out; a != nil {
		s.fail(a, policy.TimedOut, false)
	}
	s.at(t.deadline+s.w.Rules.Slack.D(), func() {
		if t.answered || n.inc != t.inc || !n.up {
			return
		}
		s.Book.Broken(tally.AnswerLost, name(t.id), n.no, s.since(), "%s not answered %v after its client's deadline", t.w.classOf(s).Name, s.w.Rules.Slack.D())
		s.answer(t, tally.Lost, 0)
		n.handle(policy.ClientDisconnected{ID: t.id})
	})
}

// answer delivers the final answer of an edge node to a try.
func (s *Sim) answer(t *try, how tally.How, retryAfter time.Duration) {
	if t.answered {
		s.Book.Broken(tally.AnswerTwice, name(t.id), t.n.no, s.since(), "%v behind another answer", how)
		return
	}
	t.answered = true
	delete(t.n.open, t.id)
	w := t.w
	w.end.Node = t.n.no
	s.note(w, t.n.no, trace.Answered, "%v after %v", how, s.now-t.at)
	if how == tally.Refused || how == tally.Failed {
		if t.ran && how == tally.Refused && !w.classOf(s).MayRepeat() {
			s.Book.Broken(tally.SecondCopy, name(t.id), t.n.no, s.since(), "refused, but an attempt may have run")
		}
		w.end.HeldBack = t.attempts == 0 && s.now-t.at > (t.deadline-t.at)/2
	}
	s.after(s.w.Net.Near.D(), func() { s.again(w, how, retryAfter, false) })
}

// again retries a request if the client may retry and has time left; otherwise it ends the request.
func (s *Sim) again(w *want, how tally.How, advice time.Duration, untaken bool) {
	if w.closed {
		return
	}
	if how == tally.Served || how == tally.Late {
		if s.now-w.at > w.classOf(s).Aim.D() {
			how = tally.Late
		} else {
			how = tally.Served
		}
		s.close(w, how)
		return
	}
	wait, again := s.w.Again(s.clients, world.Retry{Class: w.classOf(s), Harmless: how == tally.Refused || untaken, MayRan: w.ranAt != 0,
		RanSince: s.now - w.ranAt, Tries: w.tries, Advice: advice, Left: w.until - s.now, Eager: s.eager})
	if !again || how == tally.Lost {
		s.close(w, how)
		return
	}
	s.after(wait, func() { s.try(w) })
}

// close ends a client's request.
func (s *Sim) close(w *want, how tally.How) {
	w.closed = true
	s.open--
	w.end.How, w.end.Latency, w.end.Tries, w.end.Sends = how, s.now-w.at, w.tries, w.sends
	s.Book.Close(w.end)
	s.note(w, w.end.Node, trace.Ended, "%v after %v and %d tries", how, s.now-w.at, w.tries)
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

// note adds an entry to the trace of a request.
func (s *Sim) note(w *want, node int, what trace.What, format string, args ...any) {
	if w.story != nil {
		s.Trace.Add(w.story, s.since(), node, what, format, args...)
	}
}
