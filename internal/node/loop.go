package node

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
	"valvering.example/valvering/policy/claims"
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
	eventQueueSize = 4096
	// responseMargin is the time before a client's deadline at which its response is decided. It covers the
	// network delay of the request and of the response.
	responseMargin    = 10 * time.Millisecond
	backstopDelay     = 3 * time.Millisecond  // from call.deadline until an open request is failed
	checkInterval     = 50 * time.Millisecond // between two checks for disconnected clients
	refusalRetryAfter = time.Millisecond      // at a shortened shutdown: another edge node may have room now
	minTimerDelay     = time.Microsecond      // timers fire strictly after the event that set them

	statusBadRequest = 400
	statusConflict   = 409
)

// applyGeneration is the event that puts a generation in force. The loop closes done afterwards.
type applyGeneration struct {
	generation *config.Generation
	done       chan struct{}
}

// endLoop is the event that ends the loop. Policy first hands its counts to other edge nodes. Once it
// reports ShutdownDone the loop handles no further event, so that the last messages and the last snapshot are
// complete. With now set the loop ends at once.
type endLoop struct{ now bool }

// refuseWaiting is the event that turns on or off that all requests without an attempt in flight are
// answered at once, so that their clients can send them to another edge node.
type refuseWaiting bool

// loop owns the policy.Gateway and the state of all open requests. Other goroutines post events to it.
// It never waits for a socket.
type loop struct {
	clock          clock
	gateway        *policy.Gateway
	upstream       *upstream
	sendToPeer     func(to int, data []byte)
	pollsDiscovery bool
	onServerList   func(kind policy.UpdateKind)
	generation     *config.Generation                  // in force
	onApply        func(generation *config.Generation) // applies its limits outside the loop
	reparse        func(c *call) error                 // parses a request again with the generation in force

	refusesWaiting bool            // set by the event refuseWaiting
	late           lateRequests    // the last event of this type
	ended          bool            // the loop must end: policy has shut down, or endLoop came with now set
	snapshots      *snapshotWriter // nil: no snapshots are written
	done           chan struct{}   // closed when run returns
	events         chan any
	nextID         policy.RequestID
	calls          map[policy.RequestID]*call
	requestIDs     *requestIDs
	claims         *claims.Claims // the ids in use at other edge nodes; nil: they send none
	idsElsewhere   atomic.Int64   // number of ids that other edge nodes have claimed
	heartbeat      heartbeat
	disconnects    disconnectCounts
	requests       *requestLog // nil in tests of the loop alone
	timers         timerHeap
	timer          *time.Timer
	timerAt        time.Duration // time that the timer is set to; 0: not set
	pending        []policy.Event
	actions        []policy.Action
}

func newLoop(c clock, g *policy.Gateway, up *upstream) *loop {
	return &loop{clock: c, gateway: g, upstream: up, events: make(chan any, eventQueueSize),
		done: make(chan struct{}), calls: map[policy.RequestID]*call{}, requestIDs: newRequestIDs(),
		timer: time.NewTimer(time.Hour)}
}

// post queues an event. It blocks while the queue is full, unless the loop has ended.
func (l *loop) post(ev any) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until stop is closed, policy has completed its shutdown, or endLoop comes with now set.
func (l *loop) run(stop <-chan struct{}) {
	defer close(l.done)
	defer l.timer.Stop()
	l.checkDisconnects()
	for {
		l.armTimer()
		select {
		case <-stop:
			return
		case ev := <-l.events:
			l.handle(ev)
		case <-l.timer.C:
			l.timerAt = 0
		}
		if l.fireTimers(); l.ended {
			if l.snapshots != nil {
				l.snapshots.writer.Offer(l.snapshots.nextState(l, true))
			}
			return
		}
	}
}

// handle handles one event from the queue.
func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *call:
		l.addCall(ev)
	case outcome:
		l.endAttempt(ev)
	case policy.PeerMessage:
		l.receivePeerMessage(ev)
	case listUpdate:
		l.updateServers(ev)
	case barrier:
		close(ev.done)
	case applyGeneration:
		l.applyGeneration(ev)
	case policy.Restore:
		l.dispatch(ev)
	case endLoop:
		if l.ended = l.ended || ev.now; !ev.now {
			l.dispatch(policy.Shutdown{})
		}
	case refuseWaiting:
		l.refusesWaiting = bool(ev)
	case lateRequests:
		l.late = ev
	case captureState:
		if st := l.snapshots.nextState(l, false); st != nil {
			l.snapshots.writer.Offer(st)
		}
	}
	if l.refusesWaiting {
		l.refuseAllWaiting()
	}
}

// applyGeneration is the only place where a new generation comes into force. A request that was parsed with
// the previous generation and arrives later is parsed again, so that no decision mixes two generations.
func (l *loop) applyGeneration(ev applyGeneration) {
	l.generation = ev.generation
	l.dispatch(policy.Reconfigure{Settings: ev.generation.File.Settings})
	l.onApply(ev.generation)
	close(ev.done)
}

// refuseAllWaiting rejects all requests without an attempt in flight.
func (l *loop) refuseAllWaiting() {
	for id, c := range l.calls {
		if c.inFlight != nil {
			continue
		}
		cmd := c.rejection()
		cmd.retryAfter = refusalRetryAfter
		l.finish(c, cmd)
		l.dispatch(policy.ClientDisconnected{ID: id})
	}
}

// addCall registers a new request, unless it is invalid, its id belongs to another request, or it arrived too late
// in a shutdown to be served.
func (l *loop) addCall(c *call) {
	if c.generation != l.generation && l.reparse(c) != nil {
		l.record(requestInvalid, c)
		c.commands <- command{badStatus: statusBadRequest}
		return
	}
	c.deadline = l.late.deadline(c.arrivedAt, c.arrivedAt+max(0, c.timeout-responseMargin))
	if l.late.mustRefuse(l.clock.now()) {
		c.lastOutcome = "arrived when the shutdown was about to end"
		l.record(requestRefused, c)
		c.commands <- command{refuse: true, retryAfter: refusalRetryAfter}
		return
	}
	if !l.claimID(c) {
		l.record(requestIDInUse, c)
		c.commands <- command{badStatus: statusConflict} // an open request with this id continues
		return
	}
	l.nextID++
	c.ID = l.nextID
	c.Remaining = max(0, c.deadline-l.clock.now())
	l.calls[c.ID] = c
	c.backstop = &timer{at: c.deadline + backstopDelay, call: c}
	heap.Push(&l.timers, c.backstop)
	l.announceID(c)
	l.dispatch(c.Request)
}

// endAttempt handles the end of an attempt. The connection's goroutine writes a successful response to the
// client without a command from the loop.
func (l *loop) endAttempt(o outcome) {
	c, ev := o.call, policy.Outcome{ID: o.attempt.id, Attempt: o.attempt.num, Server: o.attempt.server,
		Code: o.code, Latency: l.clock.now() - o.attempt.startedAt, Load: o.load}
	c.inFlight, c.lastOutcome = nil, outcomeNames[o.code]
	if o.attempt.clientDisconnected && o.attempt.num == 0 {
		l.disconnects.writing.Add(1)
	}
	if c.mayHaveRunAt == 0 && !o.code.NeverRan() {
		c.mayHaveRunAt = o.attempt.startedAt
	}
	switch {
	case o.code == policy.OK:
		l.recordEnd(requestServed, c)
		l.removeCall(c)
		l.freeID(c, false)
	case o.badRequest && c.finalCommand == nil:
		l.respond(c, command{badStatus: statusBadRequest})
	case c.finalCommand != nil:
		l.respond(c, *c.finalCommand)
	case o.attempt.disconnectHidden:
		l.disconnects.hidden.Add(1)
		c.lastOutcome = "too much pipelined to see whether the client is there"
		l.respond(c, c.rejection())
	}
	ev.Answered = l.calls[c.ID] == nil
	l.dispatch(ev)
}

// failOverdue fails a request that policy has not answered by its deadline.
func (l *loop) failOverdue(c *call) {
	if l.calls[c.ID] == nil {
		return
	}
	l.finish(c, command{})
	l.dispatch(policy.ClientDisconnected{ID: c.ID})
}

// checkDisconnects finds the clients that have disconnected. Their requests get no further attempts, and an
// attempt that still waits for its connection is withdrawn. An attempt that may have been written
// continues, since the server would not stop working on it either.
func (l *loop) checkDisconnects() {
	for id, c := range l.calls {
		if c.client == nil || !c.client.disconnected() {
			continue
		}
		l.recordEnd(requestAbandoned, c)
		c.abandoned = true
		if c.inFlight == nil {
			if c.attemptCount == 0 {
				l.disconnects.held.Add(1)
			}
			l.respond(c, command{})
		} else {
			if c.inFlight.withdraw() && c.inFlight.num == 0 {
				l.disconnects.dialing.Add(1)
			}
			l.removeCall(c)
			c.finalCommand = &command{}
		}
		l.dispatch(policy.ClientDisconnected{ID: id})
	}
	now := l.clock.now()
	heap.Push(&l.timers, &timer{at: now + checkInterval, disconnectCheck: true})
	l.heartbeat.record(now, now+checkInterval)
}

// finish gives a request its final answer. If an attempt is in flight, it cancels the attempt, and the answer
// follows at the attempt's end.
func (l *loop) finish(c *call, cmd command) {
	if c.inFlight != nil {
		cmd = command{} // the attempt may run, so the answer can't be a refusal
	}
	l.finishWith(c, cmd)
}

// finishWith gives a request the given final answer, whether or not an attempt is in flight.
func (l *loop) finishWith(c *call, cmd command) {
	switch {
	case c.inFlight == nil:
		l.respond(c, cmd)
	case c.finalCommand == nil:
		c.finalCommand = &cmd
		c.inFlight.cancel()
	}
}

func (l *loop) respond(c *call, cmd command) {
	switch {
	case cmd.badStatus == statusConflict:
		l.recordEnd(requestIDInUse, c)
	case cmd.badStatus != 0:
		l.recordEnd(requestInvalid, c)
	case cmd.refuse:
		l.recordEnd(requestRefused, c)
	default:
		l.recordEnd(requestFailed, c)
	}
	l.removeCall(c)
	l.freeID(c, cmd.refuse)
	c.commands <- cmd
}

// recordEnd records how a request ended, unless its client has disconnected, which is recorded once.
func (l *loop) recordEnd(event requestEvent, c *call) {
	if !c.abandoned {
		l.record(event, c)
	}
}

// record records an event of a request that the loop has received.
func (l *loop) record(event requestEvent, c *call) {
	l.requests.record(event, requestDetails{id: c.requestID, client: c.client, class: c.Class,
		attempts: c.attemptCount, age: l.clock.now() - c.arrivedAt, reason: c.lastOutcome})
}

// removeCall removes a request from the loop once its answer is decided or its client has disconnected. Its id
// stays claimed while it has an attempt in flight.
func (l *loop) removeCall(c *call) {
	delete(l.calls, c.ID)
	if c.backstop != nil && c.backstop.index >= 0 {
		heap.Remove(&l.timers, c.backstop.index)
	}
}

// updateServers handles a list of servers, changes to it, or a failed call to discovery.
func (l *loop) updateServers(m listUpdate) {
	if m.done != nil {
		defer close(m.done)
	}
	if m.list == nil {
		if l.pollsDiscovery {
			l.dispatch(policy.ServerListUpdate{Kind: policy.WatchFailed})
		}
		if l.onServerList != nil {
			l.onServerList(policy.WatchFailed)
		}
		return
	}
	l.upstream.directory.SetPartial(m.more)
	if l.snapshots != nil && !m.more {
		l.snapshots.listChanged = true
	}
	dropped := l.upstream.directory.Dropped()
	l.upstream.update(m.list, m.kind != policy.Changes)
	if now := l.upstream.directory.Dropped(); now > dropped {
		slog.Warn("discovery lists more servers than there is memory for", "passed over", now-dropped)
	}
	if len(m.list.Targets) > 0 || m.kind != policy.Changes {
		l.dispatch(policy.ServerListUpdate{Kind: m.kind, Servers: l.policyServers(m.list.Targets)})
	}
	if !m.more && l.onServerList != nil {
		l.onServerList(m.listKind)
	}
}

// policyServers converts lines of discovery's list for policy, except those of servers that the directory has
// no room for.
func (l *loop) policyServers(lines []target) []policy.Server {
	out := make([]policy.Server, 0, len(lines))
	for i := range lines {
		s := lines[i].Server()
		if _, listed := l.upstream.directory.Find(s.ID); listed || s.State == policy.Removed {
			out = append(out, s)
		}
	}
	return out
}

// dispatch has policy handle an event and carries out the resulting actions.
func (l *loop) dispatch(ev policy.Event) {
	l.pending = append(l.pending[:0], ev)
	for i := 0; i < len(l.pending); i++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.pending[i], l.actions[:0])
		for _, a := range l.actions {
			l.perform(a)
		}
	}
}

func (l *loop) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.startAttempt(a)
	case policy.Cancel:
		if c := l.calls[a.ID]; c != nil && c.inFlight != nil && c.inFlight.num == a.Attempt {
			c.inFlight.cancel()
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
		heap.Push(&l.timers, &timer{at: l.clock.now() + max(minTimerDelay, a.After), token: a.Token})
	case policy.SendMessage:
		if l.sendToPeer != nil {
			l.sendPolicyMessage(a)
		}
	case policy.Watch:
		// Nothing to do: discovery.run watches the list from the start.
	case policy.ShutdownDone:
		l.ended = true
	case policy.Log:
		slog.Info(a.Text)
	}
}

// startAttempt starts an attempt. If that is no longer possible, policy gets the outcome NotSent.
func (l *loop) startAttempt(s policy.Send) {
	c, now := l.calls[s.ID], l.clock.now()
	notSent := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.NotSent, Answered: c == nil}
	if c != nil {
		notSent.Attempt = c.attemptCount
		c.attemptCount++
	}
	if c == nil || c.inFlight != nil || c.finalCommand != nil || now >= c.deadline {
		l.pending = append(l.pending, notSent)
		return
	}
	a := &attempt{id: s.ID, num: c.attemptCount - 1, server: s.Server, startedAt: now, deadline: c.deadline}
	if c.client != nil {
		a.client = c.client
	}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.writeDeadline = a.deadline
	if c.mayHaveRunAt > 0 && c.class.Effect == policy.Keyed {
		a.writeDeadline = min(a.writeDeadline, c.mayHaveRunAt+c.class.Window-responseMargin) // network delay
	}
	if a.num > 0 {
		l.record(requestRetried, c)
	}
	c.inFlight = a
	c.commands <- command{attempt: a}
}
