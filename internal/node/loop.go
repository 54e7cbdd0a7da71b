package node

import (
	"container/heap"
	"log/slog"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
)

// clock is the monotonic clock of an edge node. It counts from the Unix epoch, so that start times in
// discovery's list need no conversion; later changes of the system's time don't affect it.
type clock struct{ anchor time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.anchor.UnixNano()) + time.Since(c.anchor)
}

func (c clock) time(d time.Duration) time.Time {
	return c.anchor.Add(d - time.Duration(c.anchor.UnixNano()))
}

const (
	eventQueue = 4096
	// answerMargin is the time before a client's deadline at which its response is decided. It covers the
	// network delay of the request and of the response.
	answerMargin = 10 * time.Millisecond
	backstop     = 3 * time.Millisecond  // after the margin, before a request that policy left open is failed
	lookEvery    = 50 * time.Millisecond // between two checks for disconnected clients
	soon         = time.Millisecond      // Retry-After of a shortened shutdown: others may have room
	minTimer     = time.Microsecond      // a timer of policy fires strictly after the event that set it

	statusBadRequest, statusConflict = 400, 409
)

// call is an open request of a client. The goroutine of the client's connection waits for commands and
// carries them out one at a time. The loop owns all other fields.
type call struct {
	policy.Request
	name    string             // X-Request-Id
	gen     *config.Generation // the generation that the request was parsed with
	req     *clientRequest     // the connection's buffer, unchanged until the response
	class   *policy.Class
	client  *clientConn // nil in tests of the loop alone
	arrived time.Duration
	budget  time.Duration // X-Deadline-Ms
	cmd     chan command  // capacity 1: the next is sent once the last is carried out

	due      time.Duration // the client's deadline less answerMargin
	backstop *timer
	attempts int
	ranAt    time.Duration // start of the first attempt that the server may have run; 0: none
	out      *attempt      // in flight; nil: none is
	final    *command      // sent once the attempt in flight has ended; nil: not decided
}

// command is an attempt to carry out or, if attempt is nil, the final answer to the client.
type command struct {
	attempt    *attempt
	refuse     bool
	bad        int // status of the answer to an invalid request; 0: the request is valid
	retryAfter time.Duration
}

// outcome is the event that an attempt has ended.
type outcome struct {
	c *call
	a *attempt
	result
}

// apply is the event that puts a generation in force. The loop closes done afterwards.
type apply struct {
	gen  *config.Generation
	done chan struct{}
}

// shutdown is the event that ends the loop. Policy first hands its counts to other edge nodes. Once it
// reports ShutdownDone the loop handles no further event, so that the last messages and the last snapshot are
// complete. With now set the loop ends at once.
type shutdown struct{ now bool }

// giveUp is the event that turns on or off that all requests without an attempt in flight are answered at
// once, so that their clients can send them to another edge node.
type giveUp bool

// loop owns the policy.Gateway and the state of all open requests. Other goroutines post events to it.
// It never waits for a socket.
type loop struct {
	clock   clock
	gateway *policy.Gateway
	up      *upstream
	tell    func(to int, data []byte)
	mustAsk bool
	onList  func(kind policy.MembersKind)
	gen     *config.Generation           // in force
	onApply func(gen *config.Generation) // applies its limits outside the loop
	reread  func(c *call) error          // parses a request again with the generation in force

	hasty       bool            // set by giveUp
	ended       bool            // policy has completed its shutdown
	keep        *snapshotWriter // nil: no snapshots are written
	over        chan struct{}   // closed when run returns
	events      chan any
	nextID      policy.RequestID
	calls       map[policy.RequestID]*call
	names       map[string]*call // by X-Request-Id
	heartbeat   heartbeat
	disconnects disconnectCounts
	timers      timerHeap
	timer       *time.Timer
	wake        time.Duration // time that the timer is set to; 0: not set
	queue       []policy.Event
	acts        []policy.Action
}

func newLoop(c clock, g *policy.Gateway, up *upstream) *loop {
	return &loop{clock: c, gateway: g, up: up, events: make(chan any, eventQueue), over: make(chan struct{}),
		calls: map[policy.RequestID]*call{}, names: map[string]*call{}, timer: time.NewTimer(time.Hour)}
}

// post queues an event. It blocks while the queue is full, unless the loop has ended.
func (l *loop) post(ev any) {
	select {
	case l.events <- ev:
	case <-l.over:
	}
}

// run handles events until done is closed or policy has completed its shutdown.
func (l *loop) run(done <-chan struct{}) {
	defer close(l.over)
	defer l.timer.Stop()
	l.look()
	for {
		l.arm()
		select {
		case <-done:
			return
		case ev := <-l.events:
			l.handle(ev)
		case <-l.timer.C:
			l.wake = 0
		}
		if l.fire(); l.ended {
			if l.keep != nil {
				l.keep.writer.Offer(l.keep.nextState(l, true))
			}
			return
		}
	}
}

// arm sets the timer to the earliest entry of the heap.
func (l *loop) arm() {
	if len(l.timers) == 0 || l.wake != 0 && l.wake <= l.timers[0].at {
		return
	}
	l.wake = l.timers[0].at
	l.timer.Reset(max(0, l.wake-l.clock.now()))
}

// fire handles the timers that have expired. Timers set meanwhile wait for the next call, however short they
// are, so that events are handled in between.
func (l *loop) fire() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		t := heap.Pop(&l.timers).(*timer)
		switch {
		case t.call != nil:
			l.overdue(t.call)
		case t.look:
			l.look()
		default:
			l.decide(policy.Timer{Token: t.token})
		}
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *call:
		l.arrive(ev)
	case outcome:
		l.end(ev)
	case policy.PeerMessage:
		l.decide(ev)
	case listUpdate:
		l.members(ev)
	case barrier:
		close(ev.done)
	case apply:
		l.apply(ev)
	case policy.Restore:
		l.decide(ev)
	case shutdown:
		if l.ended = l.ended || ev.now; !ev.now {
			l.decide(policy.Shutdown{})
		}
	case giveUp:
		l.hasty = bool(ev)
	case captureState:
		if st := l.keep.nextState(l, false); st != nil {
			l.keep.writer.Offer(st)
		}
	}
	if l.hasty {
		l.giveUp()
	}
}

// apply is the only place where a new generation comes into force. A request that was parsed with the
// previous generation and arrives later is parsed again, so that no decision mixes two generations.
func (l *loop) apply(ev apply) {
	l.gen = ev.gen
	l.decide(policy.Reconfigure{Settings: ev.gen.File.Settings})
	l.onApply(ev.gen)
	close(ev.done)
}

// giveUp refuses all requests without an attempt in flight. A request that may have run and is not safe to
// repeat is failed instead, since a refusal invites the client to retry.
func (l *loop) giveUp() {
	for id, c := range l.calls {
		if c.out != nil {
			continue
		}
		l.finish(c, command{refuse: c.ranAt == 0 || c.class.Effect == policy.Safe, retryAfter: soon})
		l.decide(policy.Gone{ID: id})
	}
}

func (l *loop) arrive(c *call) {
	if c.gen != l.gen && l.reread(c) != nil {
		c.cmd <- command{bad: statusBadRequest}
		return
	}
	if l.names[c.name] != nil {
		c.cmd <- command{bad: statusConflict} // the open request with this id continues
		return
	}
	l.nextID++
	c.ID = l.nextID
	c.due = c.arrived + max(0, c.budget-answerMargin)
	c.Remaining = max(0, c.due-l.clock.now())
	l.calls[c.ID], l.names[c.name] = c, c
	c.backstop = &timer{at: c.due + backstop, call: c}
	heap.Push(&l.timers, c.backstop)
	l.decide(c.Request)
}

// end handles the end of an attempt. The connection's goroutine has already begun to write a successful
// response to the client.
func (l *loop) end(o outcome) {
	c, ev := o.c, policy.Outcome{ID: o.a.id, Attempt: o.a.num, Server: o.a.server, Code: o.code,
		Latency: l.clock.now() - o.a.startedAt, Load: o.load}
	c.out = nil
	switch {
	case o.a.num > 0:
	case o.a.clientDisconnected:
		l.disconnects.writing.Add(1)
	case o.a.disconnectHidden:
		l.disconnects.hidden.Add(1)
	}
	if c.ranAt == 0 && !o.code.NeverRan() {
		c.ranAt = o.a.startedAt
	}
	switch {
	case o.code == policy.OK:
		l.forget(c)
	case o.badRequest && c.final == nil:
		l.answer(c, command{bad: statusBadRequest})
	case c.final != nil:
		l.answer(c, *c.final)
	}
	ev.Over = l.calls[c.ID] == nil
	l.decide(ev)
}

// overdue fails a request that policy has not answered by its deadline.
func (l *loop) overdue(c *call) {
	if l.calls[c.ID] == nil {
		return
	}
	l.finish(c, command{})
	l.decide(policy.Gone{ID: c.ID})
}

// look finds the clients that have disconnected. Their requests get no further attempts, and an attempt that
// still waits for its connection is withdrawn. An attempt that may have been written continues, since the
// server would not stop working on it either.
func (l *loop) look() {
	for id, c := range l.calls {
		if c.client == nil || !c.client.disconnected() {
			continue
		}
		if c.out == nil {
			if c.attempts == 0 {
				l.disconnects.held.Add(1)
			}
			l.answer(c, command{})
		} else {
			if c.out.withdraw() && c.out.num == 0 {
				l.disconnects.dialing.Add(1)
			}
			l.forget(c)
			c.final = &command{}
		}
		l.decide(policy.Gone{ID: id})
	}
	now := l.clock.now()
	heap.Push(&l.timers, &timer{at: now + lookEvery, look: true})
	l.heartbeat.beat(now, now+lookEvery)
}

// finish gives a request its final answer. If an attempt is in flight, it cancels the attempt, and the answer
// follows at the attempt's end.
func (l *loop) finish(c *call, cmd command) {
	if c.out == nil {
		l.answer(c, cmd)
		return
	}
	if c.final == nil {
		// The attempt may run, so the answer can't be a refusal.
		c.final = &command{}
		c.out.cancel()
	}
}

func (l *loop) answer(c *call, cmd command) {
	l.forget(c)
	c.cmd <- cmd
}

// forget removes a request from the loop once its answer is decided.
func (l *loop) forget(c *call) {
	delete(l.calls, c.ID)
	if l.names[c.name] == c {
		delete(l.names, c.name)
	}
	if c.backstop != nil && c.backstop.place >= 0 {
		heap.Remove(&l.timers, c.backstop.place)
	}
}

// members handles a list of servers, changes to it, or a failed call to discovery.
func (l *loop) members(m listUpdate) {
	if m.done != nil {
		defer close(m.done)
	}
	if m.list == nil {
		if l.mustAsk {
			l.decide(policy.Members{Kind: policy.AskFailed})
		}
		if l.onList != nil {
			l.onList(policy.AskFailed)
		}
		return
	}
	l.up.directory.SetPartial(m.more)
	if l.keep != nil && !m.more {
		l.keep.listChanged = true
	}
	l.up.update(m.list, m.kind != policy.Changes)
	if len(m.list.Targets) > 0 || m.kind != policy.Changes {
		l.decide(policy.Members{Kind: m.kind, Servers: servers(m.list.Targets)})
	}
	if !m.more && l.onList != nil {
		l.onList(m.listKind)
	}
}

// servers converts lines of discovery's list for policy.
func servers(lines []target) []policy.Server {
	out := make([]policy.Server, 0, len(lines))
	for i := range lines {
		out = append(out, lines[i].Server())
	}
	return out
}

// decide has policy handle an event and carries out the resulting actions.
func (l *loop) decide(ev policy.Event) {
	l.queue = append(l.queue[:0], ev)
	for i := 0; i < len(l.queue); i++ {
		l.acts = l.gateway.Handle(l.clock.now(), l.queue[i], l.acts[:0])
		for _, a := range l.acts {
			l.act(a)
		}
	}
}

func (l *loop) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.send(a)
	case policy.Cancel:
		if c := l.calls[a.ID]; c != nil && c.out != nil && c.out.num == a.Attempt {
			c.out.cancel()
		}
	case policy.Refuse:
		if c := l.calls[a.ID]; c != nil {
			l.finish(c, command{refuse: true, retryAfter: a.RetryAfter})
		}
	case policy.Fail:
		if c := l.calls[a.ID]; c != nil {
			l.finish(c, command{})
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{at: l.clock.now() + max(minTimer, a.After), token: a.Token})
	case policy.Tell:
		if l.tell != nil {
			l.tell(a.To, a.Data)
		}
	case policy.Watch:
		// Package node watches the list from the start.
	case policy.ShutdownDone:
		l.ended = true
	case policy.Log:
		slog.Info(a.Text)
	}
}

// send starts an attempt. If that is no longer possible, policy gets the outcome Moot.
func (l *loop) send(s policy.Send) {
	c, now := l.calls[s.ID], l.clock.now()
	moot := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.Moot, Over: c == nil}
	if c != nil {
		moot.Attempt = c.attempts
		c.attempts++
	}
	if c == nil || c.out != nil || c.final != nil || now >= c.due {
		l.queue = append(l.queue, moot)
		return
	}
	a := &attempt{id: s.ID, num: c.attempts - 1, server: s.Server, startedAt: now, deadline: c.due}
	if c.client != nil {
		a.client = c.client
	}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.writeDeadline = a.deadline
	if c.ranAt > 0 && c.class.Effect == policy.Keyed {
		a.writeDeadline = min(a.writeDeadline, c.ranAt+c.class.Window-answerMargin) // network delay
	}
	c.out = a
	c.cmd <- command{attempt: a}
}

// timer is a timer of policy, the backstop of a request, or the next check for disconnected clients.
type timer struct {
	at    time.Duration
	token string
	call  *call
	look  bool // check for disconnected clients
	place int  // index in the heap; -1: removed
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.place = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1], t.place = nil, -1
	*h = old[:len(old)-1]
	return t
}
