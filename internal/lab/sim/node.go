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
	sim           *Sim
	index         int
	zone          int
	rng           *rand.Rand
	up            bool
	incarnation   int  // of the process; increases when a process ends
	outOfRotation bool // the front-end load balancer sends it no requests
	shuttingDown  bool // a planned shutdown is in progress
	decider       Decider
	actions       []policy.Action
	handling      bool           // its decider is handling an event
	pending       []policy.Event // events that arrived meanwhile
	openTries     map[policy.RequestID]*try
	idleConns     map[int][]conn                    // idle, by server, newest last
	servers       map[policy.ServerID]policy.Server // as last received
	drainKnownAt  map[policy.ServerID]time.Duration // when it learned that a server is draining or removed
	knownStarts   map[policy.ServerID]time.Duration // start times of servers that it knows
	lastDelivery  time.Duration                     // last scheduled list delivery; keeps their order
	watching      bool

	datagramSecond int // the second that datagramsIn counts
	datagramsIn    int
	datagramPeak   int
	askedFor       map[uint32]*clientRequest // requests by the tag of their ask; only for traces
}

// conn is an idle connection to a process of a server.
type conn struct {
	idleSince   time.Duration
	incarnation int
}

// start starts the process: first with the list that it remembers, then with the whole current list.
func (n *node) start() {
	s := n.sim
	decider, err := s.make(n.index, s.world, n.rng.Uint64(), &s.Truth)
	if err != nil {
		s.err = cmp.Or(s.err, err)
		return
	}
	n.decider, n.up, n.shuttingDown, n.watching, n.lastDelivery = decider, true, false, false, s.now
	n.openTries, n.idleConns = map[policy.RequestID]*try{}, map[int][]conn{}
	n.drainKnownAt, n.knownStarts, n.askedFor =
		map[policy.ServerID]time.Duration{}, map[policy.ServerID]time.Duration{}, map[uint32]*clientRequest{}
	if n.servers == nil {
		n.servers = s.serverList()
	}
	n.receiveEntries(policy.StoredList, slices.SortedFunc(maps.Values(n.servers),
		func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) }))
	s.pushList(n)
	inc := n.incarnation
	s.after(readyDelay, func() { // the front-end load balancer adds the node
		if n.up && n.incarnation == inc && !n.shuttingDown {
			n.outOfRotation = false
		}
	})
}

// Times of an edge node's process, the same as those of the real program.
const (
	readyDelay          = 20 * time.Millisecond // from the start until the node gets requests
	restartDelay        = 100 * time.Millisecond
	acceptAfterShutdown = 550 * time.Millisecond // of a planned shutdown, while requests still arrive
	handOverTimeout     = time.Second            // limit for the hand-over at shutdown
)

// handle passes an event to the decider and carries out the actions it returns.
func (n *node) handle(ev policy.Event) {
	if !n.up {
		return
	}
	if n.handling { // an action completed at once; its event follows the current one
		n.pending = append(n.pending, ev)
		return
	}
	n.handling = true
	for {
		n.actions = n.decider.Handle(n.sim.now, ev, n.actions[:0])
		for _, a := range n.actions {
			n.execute(a, ev)
		}
		if len(n.pending) == 0 || !n.up {
			break
		}
		ev, n.pending = n.pending[0], n.pending[1:]
	}
	n.handling = false
}

// execute carries out an action; cause is the event that led to it.
func (n *node) execute(a policy.Action, cause policy.Event) {
	s := n.sim
	switch a := a.(type) {
	case policy.Send:
		n.send(a)
	case policy.Cancel:
		if t := n.openTries[a.ID]; t != nil && t.inFlight != nil && t.inFlight.number == a.Attempt {
			s.endAttempt(t.inFlight, policy.Cancelled, false)
		}
	case policy.Refuse:
		if t := n.openTries[a.ID]; t != nil {
			s.deliverAnswer(t, tally.Refused, a.RetryAfter)
		}
	case policy.Fail:
		if t := n.openTries[a.ID]; t != nil {
			s.deliverAnswer(t, tally.Failed, 0)
		}
	case policy.SetTimer:
		inc, token := n.incarnation, a.Token
		s.after(a.After, func() {
			if n.incarnation == inc {
				n.handle(policy.Timer{Token: token})
			}
		})
	case policy.SendMessage:
		n.sendDatagram(a, cause)
	case policy.Watch:
		s.handleListCall(n)
	case policy.ShutdownDone:
		n.completeShutdown()
	}
}

// send sends an attempt and checks the rules on attempts.
func (n *node) send(a policy.Send) {
	s := n.sim
	t, srv := n.openTries[a.ID], s.byID[a.Server]
	if t == nil || srv == nil {
		s.after(0, func() {
			n.handle(policy.Outcome{ID: a.ID, Server: a.Server, Code: policy.NotSent, Answered: true})
		})
		return
	}
	number := t.attempts
	t.attempts++
	t.request.attempts++
	id := formatID(t.id)
	class := t.request.classOf(s)
	effect, group := class.Kind()
	reportBreach := func(r tally.Rule, format string, args ...any) {
		s.Book.Broken(r, id, n.index, s.elapsed(), format, args...)
	}
	if t.inFlight != nil {
		reportBreach(tally.Overlap, "attempt %d while attempt %d is out", number, t.inFlight.number)
	}
	if t.attempts > s.world.Rules.Attempts {
		reportBreach(tally.Attempts, "attempt %d of %d", t.attempts, s.world.Rules.Attempts)
	}
	switch {
	case !t.mayHaveRun:
	case effect == policy.Unsafe:
		reportBreach(tally.SecondCopy, "%s sent again though it may have run", class.Name)
	case effect == policy.Keyed && s.now-t.ranAt > class.Window.D():
		reportBreach(tally.SecondCopy, "%s sent again %v after the first, outside its window", class.Name,
			s.now-t.ranAt)
	case effect == policy.Keyed && (group == policy.GroupZone && srv.zone != t.ranZone || group == policy.GroupCell && srv.cell != t.ranCell):
		reportBreach(tally.SecondCopy, "%s sent again outside its group", class.Name)
	}
	if knownAt, draining := n.drainKnownAt[srv.id]; draining && s.now-knownAt > s.world.Rules.Grace.D() {
		reportBreach(tally.Drain, "sent to server %d, %v after it was told that this drains or is gone",
			srv.id, s.now-knownAt)
	}
	newAttempt := &attempt{try: t, number: number, srv: srv, incarnation: srv.incarnation, sent: s.now,
		until: t.deadline}
	if a.Timeout > 0 {
		newAttempt.until = min(newAttempt.until, s.now+a.Timeout)
	}
	t.inFlight = newAttempt
	s.Book.Sends++
	s.addNote(t.request, n.index, trace.Sent, "attempt %d to server %d in %s", number, srv.index,
		zoneName(srv.zone))
	if newAttempt.until < t.deadline {
		s.at(newAttempt.until, func() { s.endAttempt(newAttempt, policy.TimedOut, false) })
	}
	s.connectAndSend(n, newAttempt)
}

// putIdleConn returns a connection to the idle pool.
func (n *node) putIdleConn(srv *server, inc int) {
	n.idleConns[srv.index] = append(n.idleConns[srv.index], conn{n.sim.now, inc})
}

// takeIdleConn removes an idle connection to the server's current process from the pool, if there is one.
func (n *node) takeIdleConn(srv *server) bool {
	list := n.idleConns[srv.index]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		n.idleConns[srv.index] = list
		if c.incarnation == srv.incarnation {
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
	s := n.sim
	n.up = false
	n.incarnation++
	n.pending = nil
	for _, id := range slices.Sorted(maps.Keys(n.openTries)) {
		t := n.openTries[id]
		if a := t.inFlight; a != nil {
			a.done, t.inFlight = true, nil
			s.closeConn(a)
			s.uncountAttempt(t, a)
		}
		s.addNote(t.request, n.index, trace.Crashed, "")
		t.request.end.Node = n.index
		req := t.request
		s.after(s.world.Net.Near.D(), func() { s.retryOrClose(req, tally.Failed, 0, false) })
	}
	for index, list := range n.idleConns {
		srv := s.servers[index]
		for _, c := range list {
			if c.incarnation == srv.incarnation {
				srv.conns--
			}
		}
	}
	n.openTries, n.idleConns = nil, nil
}

// crash kills the process and starts another one after the duration down. The front-end load balancer
// notices the crash after a delay.
func (n *node) crash(down time.Duration) {
	if !n.up {
		return
	}
	n.kill()
	inc := n.incarnation
	n.sim.after(n.sim.world.Client.Notice.D(), func() {
		if !n.up && n.incarnation == inc {
			n.outOfRotation = true
		}
	})
	n.sim.after(down, n.start)
}

// beginShutdown starts a planned shutdown: the front-end load balancer is notified, open requests are
// answered, the state that other nodes depend on is handed over, and then another process starts.
func (n *node) beginShutdown() {
	if !n.up || n.shuttingDown {
		return
	}
	s := n.sim
	n.shuttingDown = true
	s.after(200*time.Millisecond+time.Duration(n.rng.Int64N(int64(200*time.Millisecond))),
		func() { n.outOfRotation = true })
	var finish func()
	inc := n.incarnation
	finish = func() {
		switch {
		case n.incarnation != inc:
		case len(n.openTries) > 0:
			s.after(10*time.Millisecond, finish)
		default:
			s.after(handOverTimeout, func() {
				if n.incarnation == inc {
					n.completeShutdown()
				}
			})
			n.handle(policy.Shutdown{})
		}
	}
	s.after(acceptAfterShutdown, finish)
}

// completeShutdown completes a planned shutdown.
func (n *node) completeShutdown() {
	if !n.up || !n.shuttingDown {
		return
	}
	n.sim.after(0, func() { // after its last messages are sent
		if n.up && n.shuttingDown {
			n.kill()
			n.sim.after(restartDelay, n.start)
		}
	})
}
