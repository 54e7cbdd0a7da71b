package sweep

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

// A small set of edge nodes that are configured for the planned size of the fleet. Each tenant
// sends requests to all of the set, so the set contains all roots and deputies. Health monitors of
// servers may lie outside the set, where nothing responds. Datagrams to them are counted as sent.
const (
	setNodes          = 16
	setServers        = 64
	requestsPerTenant = 2.63                 // requests a second of a tenant: 790,000 of 300,000 tenants
	step              = time.Millisecond     // simulated time
	networkDelay      = 5 * time.Millisecond // of a datagram in the network
	warmupSeconds     = 1
)

// datagram is a datagram in transit.
type datagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

// attempt is an attempt in flight.
type attempt struct {
	at   time.Duration
	node int
	send policy.Send
}

// traffic counts the requests and datagrams of the set.
type traffic struct {
	requests, sent, refused int
	count                   map[kind]int // datagrams to one edge node
	toAll                   int          // datagrams to all others
	bytes                   int
}

// fleet simulates a set of edge nodes.
type fleet struct {
	now       time.Duration
	rng       *rand.Rand
	nodes     []*policy.Gateway
	plan      string
	tenants   int
	nextID    policy.RequestID
	inTransit []datagram
	attempts  []attempt
	timers    [][]timer
	counting  bool
	cut       func(from, to int) bool // reports whether a datagram is lost; nil: no loss
	traffic   traffic
	crashed   int // the edge node that has crashed; negative: none
	arrivedAt map[policy.RequestID]time.Duration
	waits     []float64 // milliseconds from a request to its attempt
}

// timer is a timer set by the policy module of an edge node.
type timer struct {
	at    time.Duration
	token string
}

func newFleet(plan string, rate int, seed uint64) (*fleet, error) {
	return newFleetOfSize(PlannedNodes, plan, rate, seed)
}

// newFleetOfSize makes a set that is configured for a fleet of the given size.
func newFleetOfSize(nodes int, plan string, rate int, seed uint64) (*fleet, error) {
	f := &fleet{now: startTime, rng: rand.New(rand.NewPCG(seed, 1)), plan: plan,
		timers:  make([][]timer, setNodes),
		tenants: max(1, int(float64(setNodes*rate)/requestsPerTenant)),
		traffic: traffic{count: map[kind]int{}},
		crashed: -1, arrivedAt: map[policy.RequestID]time.Duration{}}
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

// handle passes an event to an edge node and performs the resulting actions.
func (f *fleet) handle(i int, ev policy.Event) {
	if i == f.crashed {
		return
	}
	for _, a := range f.nodes[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case policy.Send:
			f.traffic.sent += f.increment()
			f.recordWait(a.ID)
			f.attempts = append(f.attempts, attempt{f.now + latency, i, a})
		case policy.Refuse, policy.Fail:
			f.traffic.refused += f.increment()
		case policy.SetTimer:
			f.timers[i] = append(f.timers[i], timer{f.now + max(step, a.After), a.Token})
		case policy.SendMessage:
			f.send(i, a)
		}
	}
}

// sortedWaits returns the waits in ascending order, or a single 0 without waits.
func (f *fleet) sortedWaits() []float64 {
	if len(f.waits) == 0 {
		return []float64{0}
	}
	return slices.Sorted(slices.Values(f.waits))
}

// recordWait records how long a request has waited for its attempt.
func (f *fleet) recordWait(id policy.RequestID) {
	if at, known := f.arrivedAt[id]; known && f.counting {
		f.waits = append(f.waits, float64(f.now-at)/float64(time.Millisecond))
	}
	delete(f.arrivedAt, id)
}

// increment returns 1 after the warm-up, before that 0.
func (f *fleet) increment() int {
	if f.counting {
		return 1
	}
	return 0
}

// send counts a datagram and puts it in transit.
func (f *fleet) send(from int, t policy.SendMessage) {
	if t.To < 0 {
		f.traffic.toAll += f.increment()
		return
	}
	f.traffic.count[kindOf(t.Data)] += f.increment()
	f.traffic.bytes += f.increment() * len(t.Data)
	if t.To < len(f.nodes) && (f.cut == nil || !f.cut(from, t.To)) {
		f.inTransit = append(f.inTransit, datagram{f.now + networkDelay, from, t.To, t.Data})
	}
}

// advance simulates a span of time with requests in an open loop at the given rate at each edge
// node.
func (f *fleet) advance(d time.Duration, rate int) {
	for end := f.now + d; f.now < end; {
		f.now += step
		for len(f.inTransit) > 0 && f.inTransit[0].at <= f.now {
			m := f.inTransit[0]
			f.inTransit = f.inTransit[1:]
			f.handle(m.to, policy.PeerMessage{From: m.from, Data: m.data})
		}
		for len(f.attempts) > 0 && f.attempts[0].at <= f.now {
			a := f.attempts[0]
			f.attempts = f.attempts[1:]
			f.handle(a.node, policy.Outcome{ID: a.send.ID, Server: a.send.Server, Code: policy.OK,
				Latency: latency, Answered: true})
		}
		for i := range f.nodes {
			f.runTimers(i)
			if f.rng.Float64() < float64(rate)*step.Seconds() {
				f.startRequest(i)
			}
		}
	}
}

// runTimers runs the expired timers of an edge node.
func (f *fleet) runTimers(i int) {
	pending := f.timers[i]
	f.timers[i] = nil
	for _, t := range pending {
		if t.at > f.now {
			f.timers[i] = append(f.timers[i], t)
			continue
		}
		f.handle(i, policy.Timer{Token: t.token})
	}
}

// startRequest passes a request of a random tenant to an edge node.
func (f *fleet) startRequest(i int) {
	f.nextID++
	f.traffic.requests += f.increment()
	r := request(f.nextID, tenantName(f.rng.IntN(f.tenants)), f.plan)
	r.Spread = setNodes
	f.arrivedAt[r.ID] = f.now
	f.handle(i, r)
}

// measureRate measures the datagrams of the set by plan.
func measureRate(seconds int) measureFunc {
	return func(ctx context.Context, s *sweeper, rate, repetitions int) error {
		for seed := range repetitions {
			for _, plan := range []string{planFree, planRate, planCap} {
				if ctx.Err() != nil {
					return nil
				}
				list, err := runRate(plan, rate, seconds, uint64(seed)+1)
				if err != nil {
					return err
				}
				s.add(rate, list...)
			}
		}
		return nil
	}
}

// runRate simulates one plan at one rate. All figures are per edge node and second.
func runRate(plan string, rate, seconds int, seed uint64) ([]sample, error) {
	f, err := newFleet(plan, rate, seed)
	if err != nil {
		return nil, err
	}
	f.advance(warmupSeconds*time.Second, rate)
	f.counting = true
	began := processorTime()
	f.advance(time.Duration(seconds)*time.Second, rate)
	spent := processorTime() - began
	t, per := &f.traffic, float64(setNodes*seconds)
	if float64(t.sent) < minSentShare*float64(t.requests) {
		return nil, fmt.Errorf("plan %s: only %d of %d requests were sent to a server", plan, t.sent,
			t.requests)
	}
	name := "plan " + plan + ": "
	all := 0
	var list []sample
	for _, k := range []kind{kindAsk, kindAnswer, kindEnded, kindStillInFlight, kindObservation, kindReport} {
		all += t.count[k]
		list = append(list, sample{name + string(k), "datagrams/s", float64(t.count[k]) / per})
	}
	all += t.count[kindOther]
	return append(list, sample{name + "all kinds", "datagrams/s", float64(all) / per},
		sample{name + "verdicts to all", "sent/s", float64(t.toAll) / per},
		sample{name + "payload", "B/s", float64(t.bytes) / per},
		sample{name + "refused", "requests/s", float64(t.refused) / per},
		sample{name + "processor time of module and play, 64 servers", "us/s",
			float64(spent.Microseconds()) / per}), nil
}
