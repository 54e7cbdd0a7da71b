package sweep

import (
	"fmt"
	"time"

	"valvering.example/valvering/policy"
)

// The two edge nodes of a pair: one that takes in requests, and the root of all their
// tenants.
const (
	member = 0
	root   = 1
	pairs  = 2 // edge nodes of each tenant
)

// tickEvery is the module's tick in a fleet of the planned size.
const tickEvery = 250 * time.Millisecond

// leastServed is the part of the requests of a batch that must be sent on: else what was
// timed is not what the measure is named after.
const leastServed = 0.9

// pair drives a member and the root of its tenants, with no time between a message and its
// arrival.
type pair struct {
	now     time.Duration
	member  *policy.Gateway
	root    *policy.Gateway
	tenants map[string][]string // by plan: a tenant keeps the plan it was first met under
	next    policy.RequestID
	quick   bool // no time for servers and no ticks: nobody is forgotten meanwhile
}

// newPair makes a pair in a fleet of a size, with so many tenants on each of the plans.
func newPair(nodes, servers, tenants int, plans ...string) (*pair, error) {
	list := serverList(servers)
	m, err := newGateway(member, nodes, list)
	if err != nil {
		return nil, err
	}
	r, err := newGateway(root, nodes, list)
	if err != nil {
		return nil, err
	}
	names, err := tenantsOf(nodes, tenants*len(plans))
	if err != nil {
		return nil, err
	}
	p := &pair{now: epoch, member: m, root: r, tenants: map[string][]string{}}
	for i, plan := range plans {
		p.tenants[plan] = names[i*tenants : (i+1)*tenants]
	}
	return p, nil
}

// tenantsOf finds names of tenants whose counts the root sums, by asking a member that is
// thrown away.
func tenantsOf(nodes, n int) ([]string, error) {
	probe, err := newGateway(member, nodes, serverList(1))
	if err != nil {
		return nil, err
	}
	var names []string
	for i := 0; len(names) < n; i++ {
		if i > 10*n+100 {
			return nil, fmt.Errorf("%d of %d tenants ask the root", len(names), n)
		}
		name := tenantName(i)
		acts := probe.Handle(epoch, request(policy.RequestID(i+1), name, planRate), nil)
		if list := tells(acts, kindAsk); len(list) == 1 && list[0].To == root {
			names = append(names, name)
		}
	}
	return names, nil
}

// request is one of a tenant, of one unit.
func request(id policy.RequestID, tenant, plan string) policy.Request {
	return policy.Request{ID: id, Customer: tenant, Plan: plan, Class: class, Units: 1, Remaining: time.Second, First: 0, Spread: pairs}
}

// batchCost is the processor time of the steps of requests that go on together.
type batchCost struct {
	request, answer, outcome stopwatch // at the member
	ask, ended               stopwatch // at the root
	tick                     stopwatch // of the member, with these requests a tick
}

// memberMicros is a request's whole time at the member.
func (c *batchCost) memberMicros() float64 {
	return c.request.micros() + c.answer.micros() + c.outcome.micros()
}

// rootMicros is its time at the root.
func (c *batchCost) rootMicros() float64 { return c.ask.micros() + c.ended.micros() }

// batch plays n requests of as many tenants under a plan, step by step.
func (p *pair) batch(plan string, n int, cost *batchCost) error {
	var asks, answers, ends []policy.SendMessage
	var out []policy.Send
	take := func(acts []policy.Action) {
		asks = append(asks, tells(acts, kindAsk)...)
		answers = append(answers, tells(acts, kindAnswer)...)
		ends = append(ends, tells(acts, kindEnded)...)
		out = append(out, sends(acts)...)
	}
	feed := func(w *stopwatch, g *policy.Gateway, events []policy.Event) {
		p.now += time.Millisecond
		all := make([]policy.Action, 0, 8*len(events))
		w.run(len(events), func() {
			for _, ev := range events {
				all = g.Handle(p.now, ev, all)
			}
		})
		take(all)
	}
	var events []policy.Event
	names := p.tenants[plan]
	for range n {
		p.next++
		events = append(events, request(p.next, names[int(p.next)%len(names)], plan))
	}
	feed(&cost.request, p.member, events)
	feed(&cost.ask, p.root, messages(member, asks))
	if plan != planFree && float64(len(asks)) < leastServed*float64(n) {
		return fmt.Errorf("plan %s: the root was asked for %d of %d requests", plan, len(asks), n)
	}
	feed(&cost.answer, p.member, messages(root, answers))
	if float64(len(out)) < leastServed*float64(n) {
		return fmt.Errorf("plan %s: %d of %d requests were sent on", plan, len(out), n)
	}
	events = nil
	for _, s := range out {
		events = append(events, policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.OK, Latency: latency, Answered: true})
	}
	if !p.quick {
		p.now += latency
	}
	feed(&cost.outcome, p.member, events)
	feed(&cost.ended, p.root, messages(member, ends))
	if p.quick {
		return nil
	}
	p.now += tickEvery
	feed(&cost.tick, p.member, []policy.Event{policy.Timer{Token: "tick"}})
	p.root.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	return nil
}

// messages are datagrams as they come in from an edge node.
func messages(from int, list []policy.SendMessage) (events []policy.Event) {
	for _, t := range list {
		events = append(events, policy.PeerMessage{From: from, Data: t.Data})
	}
	return events
}

// batches plays batches until enough time was used.
func (p *pair) batches(plan string, n int) (*batchCost, error) {
	cost := &batchCost{}
	for i := 0; i < mostBatches && cost.request.spent+cost.answer.spent+cost.outcome.spent < enoughTime; i++ {
		if err := p.batch(plan, n, cost); err != nil {
			return nil, err
		}
	}
	return cost, nil
}

// rest is the time of a tick of an edge node without requests.
func (p *pair) rest(g *policy.Gateway) float64 {
	return timed(func() {
		p.now += tickEvery
		g.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	})
}
