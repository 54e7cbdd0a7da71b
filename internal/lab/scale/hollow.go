package scale

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// Limits of the loop, as in a real edge node.
const (
	eventQueueSize = 4096
	responseMargin = 10 * time.Millisecond // time before a client's deadline at which its response is decided
)

// Limits of the calls to discovery.
const (
	watchTimeout    = 20 * time.Second
	fetchTimeout    = 30 * time.Second // a watch may take watchTimeout longer
	fetchRetryDelay = 100 * time.Millisecond
	maxListBytes    = 64 << 20 // bytes
	maxListFetches  = 4        // whole lists that are fetched in parallel
)

// cause is the kind of event for which the policy module runs.
type cause int

const (
	causeRequest cause = iota
	causeOutcome
	causeTick
	causeTimer
	causeDatagram
	causeList
	causeExpired
	causeCount
)

var causeNames = [causeCount]string{"request", "outcome", "tick", "other timer", "datagram", "list",
	"request given up"}

// tickToken is the token of the module's periodic timer.
const tickToken = "tick"

// moduleUsage sums the processor time of the policy module by cause.
type moduleUsage struct {
	count [causeCount]int64
	time  [causeCount]time.Duration
}

func (s *moduleUsage) total() (sum time.Duration) {
	for _, t := range s.time {
		sum += t
	}
	return sum
}

// minus returns the usage since an earlier reading.
func (s moduleUsage) minus(before moduleUsage) moduleUsage {
	for i := range s.count {
		s.count[i] -= before.count[i]
		s.time[i] -= before.time[i]
	}
	return s
}

// Events of a hollow edge node's loop, besides policy.PeerMessage.
type (
	arrival struct {
		scheduledAt time.Duration
		tenant      *world.Customer
		class       int
		units       int
		latency     time.Duration // of each attempt, drawn from the model of the server
		moduleTime  time.Duration // processor time of this edge node's module at the arrival
	}
	listUpdate struct {
		list *decodedList
		kind policy.UpdateKind
	}
)

// hollowTimer is a timer of the module, the end of an attempt, or the deadline of a request.
type hollowTimer struct {
	at      time.Duration
	token   string
	outcome *policy.Outcome
	expired policy.RequestID
}

type hollowTimers []hollowTimer

func (h hollowTimers) Len() int           { return len(h) }
func (h hollowTimers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h hollowTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hollowTimers) Push(x any) { *h = append(*h, x.(hollowTimer)) }

// Pop implements heap.Interface.
func (h *hollowTimers) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = hollowTimer{}
	*h = old[:len(old)-1]
	return last
}

// hollowRequest is an open request.
type hollowRequest struct {
	arrival
	deadline time.Duration
	attempts int
	inFlight bool
	sentAt   time.Duration // start of the attempt in flight
	class    *world.Class
}

// hollow is an edge node without client and server sockets. Its loop owns the policy module and the
// requests.
type hollow struct {
	number   int
	fleet    *fleet
	gateway  *policy.Gateway
	events   chan any
	done     chan struct{} // closed when the loop returns
	timers   hollowTimers
	requests map[policy.RequestID]*hollowRequest
	nextID   policy.RequestID
	pending  []policy.Event
	actions  []policy.Action

	mu         sync.Mutex
	usage      moduleUsage
	startedAt  time.Time
	readyAfter time.Duration // time from the start until a whole list is in force; 0: not yet
	dropped    int64         // datagrams dropped because the event queue was full
}

func newHollow(f *fleet, no int) (*hollow, error) {
	settings, err := f.world.Settings(no)
	if err != nil {
		return nil, err
	}
	g, err := policy.New(settings, f.Seed<<20+uint64(no))
	if err != nil {
		return nil, fmt.Errorf("invalid settings of edge node %d: %w", no, err)
	}
	return &hollow{number: no, fleet: f, gateway: g, events: make(chan any, eventQueueSize),
		done: make(chan struct{}), requests: map[policy.RequestID]*hollowRequest{}}, nil
}

// start starts the loop, the reader of the peers' datagrams and the watch of discovery.
func (h *hollow) start(ctx context.Context) {
	h.mu.Lock()
	h.startedAt = time.Now()
	h.mu.Unlock()
	go h.run(ctx)
	go h.fleet.network.read(h.fleet.network.conns[h.number], h.receive)
	go h.followDiscovery(ctx)
}

// receive queues a datagram, or drops it if the queue is full.
func (h *hollow) receive(from sender, data []byte) {
	n := h.fleet.network
	n.countIn(h.number, data)
	n.countFirst(from, data)
	select {
	case h.events <- policy.PeerMessage{From: from.number, Data: append([]byte(nil), data...)}:
	default:
		h.mu.Lock()
		h.dropped++
		h.mu.Unlock()
	}
}

// post sends the loop an event. It returns false once the loop has ended.
func (h *hollow) post(ev any) bool {
	select {
	case h.events <- ev:
		return true
	case <-h.done:
		return false
	}
}

func (h *hollow) run(ctx context.Context) {
	defer close(h.done)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		if len(h.timers) > 0 {
			wake.Reset(max(0, h.timers[0].at-unixNow()))
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-h.events:
			h.handle(ev)
		case <-wake.C:
		}
		h.runTimers()
	}
}

func (h *hollow) runTimers() {
	for now := unixNow(); len(h.timers) > 0 && h.timers[0].at <= now; {
		t := heap.Pop(&h.timers).(hollowTimer)
		switch {
		case t.outcome != nil:
			h.finishAttempt(*t.outcome)
		case t.expired != 0:
			h.expire(t.expired)
		case t.token == tickToken:
			h.dispatch(causeTick, policy.Timer{Token: t.token})
		default:
			h.dispatch(causeTimer, policy.Timer{Token: t.token})
		}
	}
}

func (h *hollow) handle(ev any) {
	switch ev := ev.(type) {
	case arrival:
		h.startRequest(ev)
	case policy.PeerMessage:
		h.dispatch(causeDatagram, ev)
	case listUpdate:
		h.applyList(ev)
	}
}

func (h *hollow) startRequest(a arrival) {
	w := h.fleet.world
	h.nextID++
	class := &w.Classes[a.class]
	r := &hollowRequest{arrival: a, class: class,
		deadline: a.scheduledAt + class.Deadline.D() - responseMargin}
	now := unixNow()
	h.fleet.hollowLoad.addWait(now-a.scheduledAt, h.moduleTime()-a.moduleTime)
	h.requests[h.nextID] = r
	heap.Push(&h.timers, hollowTimer{at: r.deadline, expired: h.nextID})
	h.dispatch(causeRequest, policy.Request{ID: h.nextID, Customer: a.tenant.Key,
		Plan: w.Plans[a.tenant.Plan].Name, Class: class.Name,
		Units: float64(a.units), Remaining: max(0, r.deadline-now),
		First: a.tenant.First, Spread: a.tenant.Spread})
}

// applyList passes a list to the module and records when it is in force.
func (h *hollow) applyList(l listUpdate) {
	h.dispatch(causeList, policy.ServerListUpdate{Kind: l.kind, Servers: l.list.servers})
	h.fleet.applied.record(h.number, l.list.rev, time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.readyAfter == 0 && l.kind == policy.FullList {
		h.readyAfter = time.Since(h.startedAt)
	}
}

// finishAttempt reports the outcome of an attempt to the module. A successful attempt serves the
// request.
func (h *hollow) finishAttempt(o policy.Outcome) {
	r := h.requests[o.ID]
	if r != nil {
		r.inFlight = false
		o.Latency = unixNow() - r.sentAt
		if o.Code == policy.OK {
			h.close(o.ID, outcomeServed, r.sentAt-r.scheduledAt)
		}
	}
	o.Answered = h.requests[o.ID] == nil
	h.dispatch(causeOutcome, o)
}

// expire fails a request at its deadline.
func (h *hollow) expire(id policy.RequestID) {
	if h.requests[id] == nil {
		return
	}
	h.close(id, outcomeFailed, 0)
	h.dispatch(causeExpired, policy.ClientDisconnected{ID: id})
}

func (h *hollow) close(id policy.RequestID, outcome requestOutcome, added time.Duration) {
	delete(h.requests, id)
	h.fleet.hollowLoad.addOutcome(outcome, added)
}

// dispatch passes an event to the module and performs the resulting actions.
func (h *hollow) dispatch(reason cause, ev policy.Event) {
	h.pending = append(h.pending[:0], ev)
	for i := 0; i < len(h.pending); i++ {
		spent := threadTime(func() { h.actions = h.gateway.Handle(unixNow(), h.pending[i], h.actions[:0]) })
		h.mu.Lock()
		h.usage.count[reason]++
		h.usage.time[reason] += spent
		h.mu.Unlock()
		for _, a := range h.actions {
			h.perform(a)
		}
		reason = causeOutcome // events that an action causes at once
	}
}

func (h *hollow) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.startAttempt(a)
	case policy.Cancel:
		h.cancelAttempt(a)
	case policy.Refuse:
		h.reject(a.ID, outcomeRefused)
	case policy.Fail:
		h.reject(a.ID, outcomeFailed)
	case policy.SetTimer:
		heap.Push(&h.timers, hollowTimer{at: unixNow() + max(time.Microsecond, a.After), token: a.Token})
	case policy.SendMessage:
		h.fleet.network.send(h.number, a.To, a.Data)
	}
}

// startAttempt starts an attempt. The model of the server serves every attempt.
func (h *hollow) startAttempt(s policy.Send) {
	r := h.requests[s.ID]
	outcome := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.NotSent, Answered: r == nil}
	if r != nil {
		outcome.Attempt = r.attempts
		r.attempts++
	}
	if r == nil || r.inFlight {
		h.pending = append(h.pending, outcome)
		return
	}
	r.inFlight, r.sentAt = true, unixNow()
	latency := r.latency
	outcome.Code = policy.OK
	if s.Timeout > 0 && latency > s.Timeout {
		latency, outcome.Code = s.Timeout, policy.TimedOut
	}
	heap.Push(&h.timers, hollowTimer{at: r.sentAt + latency, outcome: &outcome})
}

// cancelAttempt ends an attempt in flight.
func (h *hollow) cancelAttempt(c policy.Cancel) {
	r := h.requests[c.ID]
	if r == nil || !r.inFlight || r.attempts-1 != c.Attempt {
		return
	}
	for i := range h.timers {
		o := h.timers[i].outcome
		if o != nil && o.ID == c.ID && o.Attempt == c.Attempt {
			o.Code, h.timers[i].at = policy.Cancelled, unixNow()
			heap.Fix(&h.timers, i)
			return
		}
	}
}

// reject ends a request that is refused or has failed.
func (h *hollow) reject(id policy.RequestID, outcome requestOutcome) {
	if h.requests[id] != nil {
		h.close(id, outcome, 0)
	}
}

// followDiscovery fetches the whole list and watches it until ctx ends.
func (h *hollow) followDiscovery(ctx context.Context) {
	rev, hasList := int64(0), false
	for ctx.Err() == nil {
		list, err := h.fetchList(ctx, rev, hasList)
		if err != nil {
			h.fleet.discoveryErrors.Add(1)
			select {
			case <-time.After(fetchRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		kind := policy.Changes
		if list.all || !hasList {
			kind = policy.FullList
		}
		if (kind == policy.FullList || len(list.servers) > 0) && !h.post(listUpdate{list, kind}) {
			return
		}
		rev, hasList = list.rev, true
	}
}

// fetchList requests the whole list, or waits for changes after a version.
func (h *hollow) fetchList(ctx context.Context, rev int64, hasList bool) (*decodedList, error) {
	url, limit := "http://"+h.fleet.hollowDiscoveryAddr+"/v1/servers", fetchTimeout
	if hasList {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", rev, watchTimeout.Milliseconds())
		limit += watchTimeout
	} else {
		h.fleet.listSlots <- struct{}{}
		defer func() { <-h.fleet.listSlots }()
	}
	ctx, end := context.WithTimeout(ctx, limit)
	defer end()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.fleet.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery responded with status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	return h.fleet.decoder.decode(body)
}

// generateLoad creates requests in an open loop until ctx ends.
func (h *hollow) generateLoad(ctx context.Context) {
	w, rng := h.fleet.world, rand.New(rand.NewPCG(h.fleet.Seed, uint64(h.number)+1))
	model := latencyModel{w}
	h.fleet.openLoop(ctx, h.number, func(at time.Duration) {
		class := w.ClassOf(rng)
		a := arrival{scheduledAt: at, tenant: h.fleet.tenants.pick(h.number, rng), class: class,
			units: 1 + rng.IntN(max(1, w.Load.Units)), latency: model.draw(class, rng),
			moduleTime: h.moduleTime()}
		h.post(a)
		h.fleet.hollowLoad.addRequest(unixNow() - at)
	})
}

// moduleTime returns the processor time that the module has used.
func (h *hollow) moduleTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage.total()
}

// stats returns the usage, the time until ready and the number of dropped datagrams.
func (h *hollow) stats() (usage moduleUsage, readyAfter time.Duration, dropped int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage, h.readyAfter, h.dropped
}
