package sweep

import (
	"fmt"
	"time"

	"valvering.example/valvering/policy"
)

// The edge nodes of a pair.
const (
	member         = 0 // receives the requests
	root           = 1 // of all tenants
	nodesPerTenant = 2 // edge nodes of each tenant
)

// tickInterval is the module's tick in a fleet of the planned size.
const tickInterval = 250 * time.Millisecond

// minSentShare is the share of requests that must be sent to a server. With fewer, the time would
// not be that of admitted requests.
const minSentShare = 0.9

// pair runs a member and the root of its tenants. Messages between them arrive without delay.
type pair struct {
	now        time.Duration
	member     *policy.Gateway
	root       *policy.Gateway
	tenants    map[string][]string // by plan; a tenant keeps the plan of its first request
	nextID     policy.RequestID
	skipPauses bool // no service time and no ticks, so that no tenant is forgotten
}

// newPair makes a pair in a fleet of the given size, with the given number of tenants on each plan.
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
	p := &pair{now: startTime, member: m, root: r, tenants: map[string][]string{}}
	for i, plan := range plans {
		p.tenants[plan] = names[i*tenants : (i+1)*tenants]
	}
	return p, nil
}

// tenantsOf finds names of n tenants whose counts are summed by root. It uses a temporary member.
func tenantsOf(nodes, n int) ([]string, error) {
	probe, err := newGateway(member, nodes, serverList(1))
	if err != nil {
		return nil, err
	}
	var names []string
	for i := 0; len(names) < n; i++ {
		if i > 10*n+100 {
			return nil, fmt.Errorf("found only %d of %d tenants with the wanted root", len(names), n)
		}
		name := tenantName(i)
		acts := probe.Handle(startTime, request(policy.RequestID(i+1), name, planRate), nil)
		if list := datagramsOfKind(acts, kindAsk); len(list) == 1 && list[0].To == root {
			names = append(names, name)
		}
	}
	return names, nil
}

// request returns a request of a tenant for one unit.
func request(id policy.RequestID, tenant, plan string) policy.Request {
	return policy.Request{ID: id, Customer: tenant, Plan: plan, Class: className, Units: 1,
		Remaining: time.Second, First: 0, Spread: nodesPerTenant}
}

// batchCost is the processor time of the steps of a batch of requests.
type batchCost struct {
	request, answer, outcome stopwatch // at the member
	ask, ended               stopwatch // at the root
	tick                     stopwatch // at the member, with one batch a tick
}

// memberMicros returns the time of a request at the member in microseconds.
func (c *batchCost) memberMicros() float64 {
	return c.request.meanMicros() + c.answer.meanMicros() + c.outcome.meanMicros()
}

// rootMicros returns the time of a request at the root in microseconds.
func (c *batchCost) rootMicros() float64 { return c.ask.meanMicros() + c.ended.meanMicros() }

// batch runs n requests of as many tenants under a plan, one step for all requests at a time.
func (p *pair) batch(plan string, n int, cost *batchCost) error {
	var asks, answers, ends []policy.SendMessage
	var attempts []policy.Send
	collect := func(acts []policy.Action) {
		asks = append(asks, datagramsOfKind(acts, kindAsk)...)
		answers = append(answers, datagramsOfKind(acts, kindAnswer)...)
		ends = append(ends, datagramsOfKind(acts, kindEnded)...)
		attempts = append(attempts, sendActions(acts)...)
	}
	feed := func(w *stopwatch, g *policy.Gateway, events []policy.Event) {
		p.now += time.Millisecond
		all := make([]policy.Action, 0, 8*len(events))
		w.run(len(events), func() {
			for _, ev := range events {
				all = g.Handle(p.now, ev, all)
			}
		})
		collect(all)
	}
	var events []policy.Event
	names := p.tenants[plan]
	for range n {
		p.nextID++
		events = append(events, request(p.nextID, names[int(p.nextID)%len(names)], plan))
	}
	feed(&cost.request, p.member, events)
	feed(&cost.ask, p.root, peerMessages(member, asks))
	if plan != planFree && float64(len(asks)) < minSentShare*float64(n) {
		return fmt.Errorf("plan %s: the root was asked for only %d of %d requests", plan, len(asks), n)
	}
	feed(&cost.answer, p.member, peerMessages(root, answers))
	if float64(len(attempts)) < minSentShare*float64(n) {
		return fmt.Errorf("plan %s: only %d of %d requests were sent to a server", plan, len(attempts), n)
	}
	events = nil
	for _, s := range attempts {
		events = append(events, policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.OK, Latency: latency,
			Answered: true})
	}
	if !p.skipPauses {
		p.now += latency
	}
	feed(&cost.outcome, p.member, events)
	feed(&cost.ended, p.root, peerMessages(member, ends))
	if p.skipPauses {
		return nil
	}
	p.now += tickInterval
	feed(&cost.tick, p.member, []policy.Event{policy.Timer{Token: "tick"}})
	p.root.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	return nil
}

// peerMessages returns the events of datagrams received from an edge node.
func peerMessages(from int, list []policy.SendMessage) (events []policy.Event) {
	for _, t := range list {
		events = append(events, policy.PeerMessage{From: from, Data: t.Data})
	}
	return events
}

// batches runs batches until the member has used minTotalTime or maxBatches is reached.
func (p *pair) batches(plan string, n int) (*batchCost, error) {
	cost := &batchCost{}
	for i := 0; i < maxBatches &&
		cost.request.spent+cost.answer.spent+cost.outcome.spent < minTotalTime; i++ {
		if err := p.batch(plan, n, cost); err != nil {
			return nil, err
		}
	}
	return cost, nil
}

// idleTickTime returns the time of a tick of an edge node without requests.
func (p *pair) idleTickTime(g *policy.Gateway) float64 {
	return timeOperation(func() {
		p.now += tickInterval
		g.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	})
}
