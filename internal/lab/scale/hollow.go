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

// What a hollow edge node takes over from a real one.
const (
	eventQueue   = 4096
	answerMargin = 10 * time.Millisecond // before a client's deadline its answer is decided
	watchWait    = 20 * time.Second
	callLimit    = 30 * time.Second // behind the end of a watch's wait
	callPause    = 100 * time.Millisecond
	mostList     = 64 << 20 // bytes
	listsAtOnce  = 4        // whole lists that are read at the same moment
)

// cause is what an event of the module is about.
type cause int

const (
	causeRequest cause = iota
	causeOutcome
	causeTick
	causeTimer
	causeDatagram
	causeList
	causeGone
	causes
)

var causeNames = [causes]string{"request", "outcome", "tick", "other timer", "datagram", "list", "request given up"}

// tickToken is the module's regular timer.
const tickToken = "tick"

// spending sums up processor time by cause.
type spending struct {
	count [causes]int64
	time  [causes]time.Duration
}

func (s *spending) total() (sum time.Duration) {
	for _, t := range s.time {
		sum += t
	}
	return sum
}

// minus is what was spent since an earlier reading.
func (s spending) minus(before spending) spending {
	for i := range s.count {
		s.count[i] -= before.count[i]
		s.time[i] -= before.time[i]
	}
	return s
}

// Events of a hollow edge node's loop, beside a policy.PeerMessage.
type (
	arrival struct {
		at      time.Duration // when it was meant to come
		tenant  *world.Person
		class   int
		units   int
		latency time.Duration // that the server's model will take for each attempt
		spent   time.Duration // by the module of this edge node when it came
	}
	listing struct {
		list *decodedList
		kind policy.UpdateKind
	}
)

// hollowTimer is a timer of the module, the end of an attempt or the end of a request's time.
type hollowTimer struct {
	at      time.Duration
	token   string
	outcome *policy.Outcome
	overdue policy.RequestID
}

type hollowTimers []hollowTimer

func (h hollowTimers) Len() int           { return len(h) }
func (h hollowTimers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h hollowTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is heap's.
func (h *hollowTimers) Push(x any) { *h = append(*h, x.(hollowTimer)) }

// Pop is heap's.
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
	due      time.Duration
	attempts int
	out      bool
	sent     time.Duration // the attempt that is out
	class    *world.Class
}

// hollow is an edge node without client and server sockets. Its loop owns the module and
// the requests.
type hollow struct {
	no      int
	fleet   *fleet
	gateway *policy.Gateway
	events  chan any
	over    chan struct{} // closed when the loop has ended
	timers  hollowTimers
	open    map[policy.RequestID]*hollowRequest
	nextID  policy.RequestID
	queue   []policy.Event
	acts    []policy.Action

	mu      sync.Mutex
	spent   spending
	began   time.Time
	ready   time.Duration // from its start to a whole list in force; 0: not yet
	dropped int64         // datagrams, for want of room
}

func newHollow(f *fleet, no int) (*hollow, error) {
	settings, err := f.world.Settings(no)
	if err != nil {
		return nil, err
	}
	g, err := policy.New(settings, f.Seed<<20+uint64(no))
	if err != nil {
		return nil, fmt.Errorf("settings of edge node %d: %w", no, err)
	}
	return &hollow{no: no, fleet: f, gateway: g, events: make(chan any, eventQueue), over: make(chan struct{}), open: map[policy.RequestID]*hollowRequest{}}, nil
}

// start begins its loop, its peers' datagrams and its watch of discovery.
func (h *hollow) start(ctx context.Context) {
	h.mu.Lock()
	h.began = time.Now()
	h.mu.Unlock()
	go h.run(ctx)
	go h.fleet.network.read(h.fleet.network.conns[h.no], h.hear)
	go h.follow(ctx)
}

// hear takes in a datagram; one that finds no room is lost.
func (h *hollow) hear(from sender, data []byte) {
	n := h.fleet.network
	n.noteIn(h.no, data)
	n.noteFirst(from, data)
	select {
	case h.events <- policy.PeerMessage{From: from.no, Data: append([]byte(nil), data...)}:
	default:
		h.mu.Lock()
		h.dropped++
		h.mu.Unlock()
	}
}

// post hands the loop an event; it is false once the loop has ended.
func (h *hollow) post(ev any) bool {
	select {
	case h.events <- ev:
		return true
	case <-h.over:
		return false
	}
}

func (h *hollow) run(ctx context.Context) {
	defer close(h.over)
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
		h.fire()
	}
}

func (h *hollow) fire() {
	for now := unixNow(); len(h.timers) > 0 && h.timers[0].at <= now; {
		t := heap.Pop(&h.timers).(hollowTimer)
		switch {
		case t.outcome != nil:
			h.end(*t.outcome)
		case t.overdue != 0:
			h.giveUp(t.overdue)
		case t.token == tickToken:
			h.decide(causeTick, policy.Timer{Token: t.token})
		default:
			h.decide(causeTimer, policy.Timer{Token: t.token})
		}
	}
}

func (h *hollow) handle(ev any) {
	switch ev := ev.(type) {
	case arrival:
		h.arrive(ev)
	case policy.PeerMessage:
		h.decide(causeDatagram, ev)
	case listing:
		h.takeList(ev)
	}
}

func (h *hollow) arrive(a arrival) {
	w := h.fleet.world
	h.nextID++
	class := &w.Classes[a.class]
	r := &hollowRequest{arrival: a, class: class, due: a.at + class.Deadline.D() - answerMargin}
	now := unixNow()
	h.fleet.hollowLoad.handled(now-a.at, h.spentTime()-a.spent)
	h.open[h.nextID] = r
	heap.Push(&h.timers, hollowTimer{at: r.due, overdue: h.nextID})
	h.decide(causeRequest, policy.Request{ID: h.nextID, Customer: a.tenant.Key, Plan: w.Plans[a.tenant.Plan].Name, Class: class.Name,
		Units: float64(a.units), Remaining: max(0, r.due-now), First: a.tenant.First, Spread: a.tenant.Spread})
}

// takeList puts a list in force and tells when it is.
func (h *hollow) takeList(l listing) {
	h.decide(causeList, policy.ServerListUpdate{Kind: l.kind, Servers: l.list.servers})
	h.fleet.takes.note(h.no, l.list.rev, time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ready == 0 && l.kind == policy.FullList {
		h.ready = time.Since(h.began)
	}
}

// end tells of an attempt's end. What ends well is the answer.
func (h *hollow) end(o policy.Outcome) {
	r := h.open[o.ID]
	if r != nil {
		r.out = false
		o.Latency = unixNow() - r.sent
		if o.Code == policy.OK {
			h.close(o.ID, endServed, r.sent-r.at)
		}
	}
	o.Answered = h.open[o.ID] == nil
	h.decide(causeOutcome, o)
}

// giveUp ends a request whose time is over.
func (h *hollow) giveUp(id policy.RequestID) {
	if h.open[id] == nil {
		return
	}
	h.close(id, endFailed, 0)
	h.decide(causeGone, policy.ClientDisconnected{ID: id})
}

func (h *hollow) close(id policy.RequestID, how ending, added time.Duration) {
	delete(h.open, id)
	h.fleet.hollowLoad.end(how, added)
}

// decide hands an event to the module and carries out what it wants done.
func (h *hollow) decide(why cause, ev policy.Event) {
	h.queue = append(h.queue[:0], ev)
	for i := 0; i < len(h.queue); i++ {
		spent := onThread(func() { h.acts = h.gateway.Handle(unixNow(), h.queue[i], h.acts[:0]) })
		h.mu.Lock()
		h.spent.count[why]++
		h.spent.time[why] += spent
		h.mu.Unlock()
		for _, a := range h.acts {
			h.act(a)
		}
		why = causeOutcome // what an action brings about at once
	}
}

func (h *hollow) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		h.send(a)
	case policy.Cancel:
		h.cancel(a)
	case policy.Refuse:
		h.final(a.ID, endRefused)
	case policy.Fail:
		h.final(a.ID, endFailed)
	case policy.SetTimer:
		heap.Push(&h.timers, hollowTimer{at: unixNow() + max(time.Microsecond, a.After), token: a.Token})
	case policy.SendMessage:
		h.fleet.network.tell(h.no, a.To, a.Data)
	}
}

// send begins an attempt. The model of the server serves it in any case.
func (h *hollow) send(s policy.Send) {
	r := h.open[s.ID]
	outcome := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.NotSent, Answered: r == nil}
	if r != nil {
		outcome.Attempt = r.attempts
		r.attempts++
	}
	if r == nil || r.out {
		h.queue = append(h.queue, outcome)
		return
	}
	r.out, r.sent = true, unixNow()
	latency := r.latency
	outcome.Code = policy.OK
	if s.Timeout > 0 && latency > s.Timeout {
		latency, outcome.Code = s.Timeout, policy.TimedOut
	}
	heap.Push(&h.timers, hollowTimer{at: r.sent + latency, outcome: &outcome})
}

// cancel ends an attempt that is out.
func (h *hollow) cancel(c policy.Cancel) {
	r := h.open[c.ID]
	if r == nil || !r.out || r.attempts-1 != c.Attempt {
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

// final answers a request that is not served.
func (h *hollow) final(id policy.RequestID, how ending) {
	if h.open[id] != nil {
		h.close(id, how, 0)
	}
}

// follow fetches the whole list and watches it until ctx ends.
func (h *hollow) follow(ctx context.Context) {
	rev, have := int64(0), false
	for ctx.Err() == nil {
		list, err := h.fetch(ctx, rev, have)
		if err != nil {
			h.fleet.discoveryErrors.Add(1)
			select {
			case <-time.After(callPause):
			case <-ctx.Done():
			}
			continue
		}
		kind := policy.Changes
		if list.all || !have {
			kind = policy.FullList
		}
		if (kind == policy.FullList || len(list.servers) > 0) && !h.post(listing{list, kind}) {
			return
		}
		rev, have = list.rev, true
	}
}

// fetch asks for the whole list, or waits for what changes after a version.
func (h *hollow) fetch(ctx context.Context, rev int64, have bool) (*decodedList, error) {
	url, limit := "http://"+h.fleet.hollowDiscovery+"/v1/servers", callLimit
	if have {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", rev, watchWait.Milliseconds())
		limit += watchWait
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
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostList))
	if err != nil {
		return nil, err
	}
	return h.fleet.decoder.take(body)
}

// ask has requests come, open-loop, until ctx ends.
func (h *hollow) ask(ctx context.Context) {
	w, rng := h.fleet.world, rand.New(rand.NewPCG(h.fleet.Seed, uint64(h.no)+1))
	model := latencyModel{w}
	h.fleet.openLoop(ctx, h.no, func(at time.Duration) {
		class := w.ClassOf(rng)
		a := arrival{at: at, tenant: h.fleet.tenants.at(h.no, rng), class: class, units: 1 + rng.IntN(max(1, w.Load.Units)), latency: model.draw(class, rng), spent: h.spentTime()}
		h.post(a)
		h.fleet.hollowLoad.asked(unixNow() - at)
	})
}

// spentTime is the processor time that its module has taken.
func (h *hollow) spentTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.spent.total()
}

// reading is what it has spent and lost until now.
func (h *hollow) reading() (spent spending, ready time.Duration, dropped int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.spent, h.ready, h.dropped
}
