package sweep

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

// A small set of edge nodes that are told the planned number of them. Each tenant comes in
// through all of the set, so roots and deputies are among it; watchers of servers may lie
// outside, where nobody answers: what is told to them is counted as sent.
const (
	setNodes    = 16
	setServers  = 64
	perTenant   = 2.63                 // requests a second of a tenant: 790,000 over 300,000
	step        = time.Millisecond     // of simulated time
	travel      = 5 * time.Millisecond // of a datagram
	warmSeconds = 1
)

// datagram is one on its way.
type datagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

// attempt is one that a server works on.
type attempt struct {
	at   time.Duration
	node int
	send policy.Send
}

// traffic counts what the set sends.
type traffic struct {
	requests, sent, refused int
	count                   map[kind]int // to one edge node
	toAll                   int          // to all others
	bytes                   int
}

// fleet plays a set of edge nodes in simulated time.
type fleet struct {
	now      time.Duration
	rng      *rand.Rand
	nodes    []*policy.Gateway
	plan     string
	tenants  int
	next     policy.RequestID
	mail     []datagram
	attempts []attempt
	timers   [][]timer
	counting bool
	cut      func(from, to int) bool // tells whether a datagram is lost; nil: none is
	traffic  traffic
	gone     int // an edge node that has ended without a word; below 0: none has
	arrived  map[policy.RequestID]time.Duration
	waits    []float64 // milliseconds from a request to its attempt
}

// timer is one that an edge node's module has set.
type timer struct {
	at    time.Duration
	token string
}

func newFleet(plan string, rate int, seed uint64) (*fleet, error) {
	return newFleetOf(PlannedNodes, plan, rate, seed)
}

// newFleetOf makes a set that is told of so many edge nodes.
func newFleetOf(nodes int, plan string, rate int, seed uint64) (*fleet, error) {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), plan: plan, timers: make([][]timer, setNodes),
		tenants: max(1, int(float64(setNodes*rate)/perTenant)), traffic: traffic{count: map[kind]int{}},
		gone: -1, arrived: map[policy.RequestID]time.Duration{}}
	list := serverList(setServers)
	for i := range setNodes {
		g, err := policy.New(settings(i, nodes), seed*setNodes+uint64(i))
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, g)
		f.handle(i, policy.ServerListUpdate{Kind: policy.FullList, Servers: list})
	}
	return f, nil
}

// handle gives an edge node an event and carries out what it wants done.
func (f *fleet) handle(i int, ev policy.Event) {
	if i == f.gone {
		return
	}
	for _, a := range f.nodes[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case policy.Send:
			f.traffic.sent += f.counted()
			f.noteWait(a.ID)
			f.attempts = append(f.attempts, attempt{f.now + latency, i, a})
		case policy.Refuse, policy.Fail:
			f.traffic.refused += f.counted()
		case policy.SetTimer:
			f.timers[i] = append(f.timers[i], timer{f.now + max(step, a.After), a.Token})
		case policy.SendMessage:
			f.tell(i, a)
		}
	}
}

// sortedWaits are the waits, least first; there is at least one.
func (f *fleet) sortedWaits() []float64 {
	if len(f.waits) == 0 {
		return []float64{0}
	}
	return slices.Sorted(slices.Values(f.waits))
}

// noteWait notes how long a request has waited for its attempt.
func (f *fleet) noteWait(id policy.RequestID) {
	if at, known := f.arrived[id]; known && f.counting {
		f.waits = append(f.waits, float64(f.now-at)/float64(time.Millisecond))
	}
	delete(f.arrived, id)
}

// counted is 1 once the start is over.
func (f *fleet) counted() int {
	if f.counting {
		return 1
	}
	return 0
}

// tell counts a datagram and sends it on its way.
func (f *fleet) tell(from int, t policy.SendMessage) {
	if t.To < 0 {
		f.traffic.toAll += f.counted()
		return
	}
	f.traffic.count[kindOf(t.Data)] += f.counted()
	f.traffic.bytes += f.counted() * len(t.Data)
	if t.To < len(f.nodes) && (f.cut == nil || !f.cut(from, t.To)) {
		f.mail = append(f.mail, datagram{f.now + travel, from, t.To, t.Data})
	}
}

// play lets time go by with requests of a rate at each edge node, drawn open-loop.
func (f *fleet) play(d time.Duration, rate int) {
	for end := f.now + d; f.now < end; {
		f.now += step
		for len(f.mail) > 0 && f.mail[0].at <= f.now {
			m := f.mail[0]
			f.mail = f.mail[1:]
			f.handle(m.to, policy.PeerMessage{From: m.from, Data: m.data})
		}
		for len(f.attempts) > 0 && f.attempts[0].at <= f.now {
			a := f.attempts[0]
			f.attempts = f.attempts[1:]
			f.handle(a.node, policy.Outcome{ID: a.send.ID, Server: a.send.Server, Code: policy.OK, Latency: latency, Answered: true})
		}
		for i := range f.nodes {
			f.ring(i)
			if f.rng.Float64() < float64(rate)*step.Seconds() {
				f.arrive(i)
			}
		}
	}
}

// ring runs an edge node's timers that are due.
func (f *fleet) ring(i int) {
	due := f.timers[i]
	f.timers[i] = nil
	for _, t := range due {
		if t.at > f.now {
			f.timers[i] = append(f.timers[i], t)
			continue
		}
		f.handle(i, policy.Timer{Token: t.token})
	}
}

// arrive has a request of a tenant drawn at random come in.
func (f *fleet) arrive(i int) {
	f.next++
	f.traffic.requests += f.counted()
	r := request(f.next, tenantName(f.rng.IntN(f.tenants)), f.plan)
	r.Spread = setNodes
	f.arrived[r.ID] = f.now
	f.handle(i, r)
}

// atRate measures the datagrams of the set by kind of plan.
func atRate(seconds int) measureAt {
	return func(ctx context.Context, s *sweeper, rate, repetitions int) error {
		for seed := range repetitions {
			for _, plan := range []string{planFree, planRate, planOpen} {
				if ctx.Err() != nil {
					return nil
				}
				list, err := playRate(plan, rate, seconds, uint64(seed)+1)
				if err != nil {
					return err
				}
				s.add(rate, list...)
			}
		}
		return nil
	}
}

// playRate plays one plan at one rate; all figures are for one edge node and second.
func playRate(plan string, rate, seconds int, seed uint64) ([]sample, error) {
	f, err := newFleet(plan, rate, seed)
	if err != nil {
		return nil, err
	}
	f.play(warmSeconds*time.Second, rate)
	f.counting = true
	began := processorTime()
	f.play(time.Duration(seconds)*time.Second, rate)
	spent := processorTime() - began
	t, per := &f.traffic, float64(setNodes*seconds)
	if float64(t.sent) < leastServed*float64(t.requests) {
		return nil, fmt.Errorf("plan %s: %d of %d requests were sent on", plan, t.sent, t.requests)
	}
	name := "plan " + plan + ": "
	all := 0
	var list []sample
	for _, k := range []kind{kindAsk, kindAnswer, kindEnded, kindStill, kindSight, kindReport} {
		all += t.count[k]
		list = append(list, sample{name + string(k), "datagrams/s", float64(t.count[k]) / per})
	}
	all += t.count[kindOther]
	return append(list, sample{name + "all kinds", "datagrams/s", float64(all) / per},
		sample{name + "verdicts to all", "sent/s", float64(t.toAll) / per},
		sample{name + "payload", "B/s", float64(t.bytes) / per},
		sample{name + "refused", "requests/s", float64(t.refused) / per},
		sample{name + "processor time of module and play, 64 servers", "us/s", float64(spent.Microseconds()) / per}), nil
}
