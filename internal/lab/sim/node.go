package sim

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/policy"
)

// node is an edge node: a machine whose process can stop, crash and restart.
type node struct {
	s        *Sim
	no       int
	zone     int
	rng      *rand.Rand
	up       bool
	inc      int  // incarnation of the process; increases when a process ends
	shunned  bool // the front-end load balancer sends it no requests
	stopping bool // a planned shutdown is in progress
	dec      Decider
	acts     []policy.Action
	busy     bool           // its decider is handling an event
	backlog  []policy.Event // events that arrived meanwhile
	open     map[policy.RequestID]*try
	conns    map[int][]conn                    // idle, by server, newest last
	list     map[policy.ServerID]policy.Server // as last received
	told     map[policy.ServerID]time.Duration // when it learned that a server is draining or removed
	starts   map[policy.ServerID]time.Duration // start times of servers that it knows
	listAt   time.Duration                     // last scheduled list delivery; keeps their order
	watching bool

	mailAt   int // the second that mailIn counts
	mailIn   int
	mailPeak int
	asked    map[uint32]*want // requests by the tag of the ask for them; only if a trace is kept
}

// conn is an idle connection to a process of a server.
type conn struct {
	used time.Duration
	inc  int
}

// start starts the process: first with the list that it remembers, then with the whole current list.
func (n *node) start() {
	s := n.s
	dec, err := s.make(n.no, s.w, n.rng.Uint64(), &s.Truth)
	if err != nil {
		s.err = cmp.Or(s.err, err)
		return
	}
	n.dec, n.up, n.stopping, n.watching, n.listAt = dec, true, false, false, s.now
	n.open, n.conns = map[policy.RequestID]*try{}, map[int][]conn{}
	n.told, n.starts, n.asked = map[policy.ServerID]time.Duration{}, map[policy.ServerID]time.Duration{}, map[uint32]*want{}
	if n.list == nil {
		n.list = s.listed()
	}
	n.tell(policy.StoredList, slices.SortedFunc(maps.Values(n.list), func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) }))
	s.listTo(n)
	inc := n.inc
	s.after(readyAfter, func() { // the front-end load balancer adds the node
		if n.up && n.inc == inc && !n.stopping {
			n.shunned = false
		}
	})
}

// Times of an edge node's process, as measured on the real program.
const (
	readyAfter = 20 * time.Millisecond // from the start until it gets requests
	restart    = 100 * time.Millisecond
	leaveFor   = 550 * time.Millisecond // of a planned shutdown, during which requests still arrive
	handFor    = time.Second            // limit for the hand-over at shutdown
)

// handle passes an event to the decider and carries out the actions it returns.
func (n *node) handle(ev policy.Event) {
	if !n.up {
		return
	}
	if n.busy { // an action completed at once; its event follows the current one
		n.backlog = append(n.backlog, ev)
		return
	}
	n.busy = true
	for {
		n.acts = n.dec.Handle(n.s.now, ev, n.acts[:0])
		for _, a := range n.acts {
			n.do(a, ev)
		}
		if len(n.backlog) == 0 || !n.up {
			break
		}
		ev, n.backlog = n.backlog[0], n.backlog[1:]
	}
	n.busy = false
}

// do carries out an action; because is the event that led to it.
func (n *node) do(a policy.Action, because policy.Event) {
	s := n.s
	switch a := a.(type) {
	case policy.Send:
		n.send(a)
	case policy.Cancel:
		if t := n.open[a.ID]; t != nil && t.out != nil && t.out.no == a.Attempt {
			s.fail(t.out, policy.Cancelled, false)
		}
	case policy.Refuse:
		if t := n.open[a.ID]; t != nil {
			s.answer(t, tally.Refused, a.RetryAfter)
		}
	case policy.Fail:
		if t := n.open[a.ID]; t != nil {
			s.answer(t, tally.Failed, 0)
		}
	case policy.SetTimer:
		inc, token := n.inc, a.Token
		s.after(a.After, func() {
			if n.inc == inc {
				n.handle(policy.Timer{Token: token})
			}
		})
	case policy.SendMessage:
		n.post(a, because)
	case policy.Watch:
		s.call(n)
	case policy.ShutdownDone:
		n.end()
	}
}

// send sends an attempt and checks the rules on attempts.
func (n *node) send(a policy.Send) {
	s := n.s
	t, srv := n.open[a.ID], s.byID[a.Server]
	if t == nil || srv == nil {
		s.after(0, func() { n.handle(policy.Outcome{ID: a.ID, Server: a.Server, Code: policy.NotSent, Answered: true}) })
		return
	}
	no := t.attempts
	t.attempts++
	t.w.sends++
	id := name(t.id)
	class := t.w.classOf(s)
	effect, group := class.Kind()
	broken := func(r tally.Rule, format string, args ...any) { s.Book.Broken(r, id, n.no, s.since(), format, args...) }
	if t.out != nil {
		broken(tally.Overlap, "attempt %d while attempt %d is out", no, t.out.no)
	}
	if t.attempts > s.w.Rules.Attempts {
		broken(tally.Attempts, "attempt %d of %d", t.attempts, s.w.Rules.Attempts)
	}
	switch {
	case !t.ran:
	case effect == policy.Unsafe:
		broken(tally.SecondCopy, "%s sent again though it may have run", class.Name)
	case effect == policy.Keyed && s.now-t.ranAt > class.Window.D():
		broken(tally.SecondCopy, "%s sent again %v after the first, outside its window", class.Name, s.now-t.ranAt)
	case effect == policy.Keyed && (group == policy.GroupZone && srv.zone != t.ranZone || group == policy.GroupCell && srv.cell != t.ranCell):
		broken(tally.SecondCopy, "%s sent again outside its group", class.Name)
	}
	if told, gone := n.told[srv.id]; gone && s.now-told > s.w.Rules.Grace.D() {
		broken(tally.Drain, "sent to server %d, %v after it was told that this drains or is gone", srv.id, s.now-told)
	}
	at := &attempt{t: t, no: no, srv: srv, inc: srv.inc, sent: s.now, until: t.deadline}
	if a.Timeout > 0 {
		at.until = min(at.until, s.now+a.Timeout)
	}
	t.out = at
	s.Book.Sends++
	s.note(t.w, n.no, trace.Sent, "attempt %d to server %d in %s", no, srv.no, zoneName(srv.zone))
	if at.until < t.deadline {
		s.at(at.until, func() { s.fail(at, policy.TimedOut, false) })
	}
	s.carry(n, at)
}

// keep returns a connection to the idle pool.
func (n *node) keep(srv *server, inc int) {
	n.conns[srv.no] = append(n.conns[srv.no], conn{n.s.now, inc})
}

// take removes an idle connection to the server's current process from the pool, if there is one.
func (n *node) take(srv *server) bool {
	list := n.conns[srv.no]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		n.conns[srv.no] = list
		if c.inc == srv.inc {
			return true
		}
	}
	return false
}

// kill ends the process at once: clients' connections are reset and attempts in flight are abandoned.
func (n *node) kill() {
	if !n.up {
		return
	}
	s := n.s
	n.up = false
	n.inc++
	n.backlog = nil
	for _, id := range slices.Sorted(maps.Keys(n.open)) {
		t := n.open[id]
		if a := t.out; a != nil {
			a.over, t.out = true, nil
			s.shut(a)
			s.uncount(t, a)
		}
		s.note(t.w, n.no, trace.Crashed, "")
		t.w.end.Node = n.no
		w := t.w
		s.after(s.w.Net.Near.D(), func() { s.again(w, tally.Failed, 0, false) })
	}
	for no, list := range n.conns {
		srv := s.servers[no]
		for _, c := range list {
			if c.inc == srv.inc {
				srv.conns--
			}
		}
	}
	n.open, n.conns = nil, nil
}

// crash kills the process and starts another after the time down. The front-end load balancer notices the
// crash after a delay.
func (n *node) crash(down time.Duration) {
	if !n.up {
		return
	}
	n.kill()
	inc := n.inc
	n.s.after(n.s.w.Client.Notice.D(), func() {
		if !n.up && n.inc == inc {
			n.shunned = true
		}
	})
	n.s.after(down, n.start)
}

// stop is a planned shutdown: the front-end load balancer is notified, open requests are answered, the
// state that other nodes depend on is handed over, and then another process starts.
func (n *node) stop() {
	if !n.up || n.stopping {
		return
	}
	s := n.s
	n.stopping = true
	s.after(200*time.Millisecond+time.Duration(n.rng.Int64N(int64(200*time.Millisecond))), func() { n.shunned = true })
	var finish func()
	inc := n.inc
	finish = func() {
		switch {
		case n.inc != inc:
		case len(n.open) > 0:
			s.after(10*time.Millisecond, finish)
		default:
			s.after(handFor, func() {
				if n.inc == inc {
					n.end()
				}
			})
			n.handle(policy.Shutdown{})
		}
	}
	s.after(leaveFor, finish)
}

// end completes a planned shutdown.
func (n *node) end() {
	if !n.up || !n.stopping {
		return
	}
	n.s.after(0, func() { // after its last messages are sent
		if n.up && n.stopping {
			n.kill()
			n.s.after(restart, n.start)
		}
	})
}
