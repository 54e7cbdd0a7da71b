package sweep

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"valvering.example/valvering/policy"
)

// What the sweeps hold still while another quantity grows.
const (
	stillTenants = 40 // in a batch of requests, and all that is known in the sweeps of servers and nodes
	stillServers = TodayServers
)

// Measures of the module. What is called member or root is that edge node's part of a request.
const (
	memberFree      = "member: a request without quota"
	memberRate      = "member: a request under a rate"
	memberBoth      = "member: a request under rate and cap"
	rootRate        = "root: a request under a rate"
	rootBoth        = "root: a request under rate and cap"
	tickAtRest      = "a tick at rest"
	oneLine         = "a changed line"
	firstList       = "the first list, of an edge node that starts"
	wholeList       = "a whole list again"
	zoneLines       = "the lines of one zone in one change"
	verdictsMinute  = "verdicts told in a minute of a server that fails all"
	newSettings     = "new settings put in force"
	copyServers     = "a copy of what is known of servers for a snapshot"
	heapServer      = "heap of the module"
	memberTick      = "member: a tick"
	rootTick        = "root: a tick"
	heapRoot        = "heap of tenants at their root"
	busiestMixed    = "tenants at the busiest root of a set of 256, names that differ throughout"
	busiestNumbered = "tenants at the busiest root of a set of 256, numbered names"
	heapMember      = "heap of tenants at a member"
	routeTable      = "heap of a table of as many routes"
	micros          = "us"
	bytesUnit       = "B"
)

// memberPlans are the plans whose requests are timed.
var memberPlans = []string{planFree, planRate, planBoth}

// requests measures a request by plan, at the member and at the root.
func (p *pair) requests(s *sweeper, x int) error {
	for _, plan := range memberPlans {
		cost, err := p.batches(plan, stillTenants)
		if err != nil {
			return err
		}
		switch plan {
		case planFree:
			s.add(x, sample{memberFree, micros, cost.memberMicros()})
		case planRate:
			s.add(x, sample{memberRate, micros, cost.memberMicros()}, sample{rootRate, micros, cost.rootMicros()})
		case planBoth:
			s.add(x, sample{memberBoth, micros, cost.memberMicros()}, sample{rootBoth, micros, cost.rootMicros()})
		}
	}
	return nil
}

// atServers measures what grows with the list of servers, in a fleet of the planned number
// of edge nodes.
func atServers(ctx context.Context, s *sweeper, servers, repetitions int) error {
	p, err := newPair(PlannedNodes, servers, stillTenants, memberPlans...)
	if err != nil {
		return err
	}
	list := serverList(servers)
	for range repetitions {
		if ctx.Err() != nil {
			return nil
		}
		if err := p.requests(s, servers); err != nil {
			return err
		}
		g, bytes := heapOf(func() *policy.Gateway { return mustGateway(servers) })
		s.add(servers, sample{heapServer, bytesUnit, bytes}, sample{tickAtRest, micros, p.rest(g)},
			sample{firstList, micros, timed(func() { mustGateway(servers) })})
		s.add(servers, p.changes(g, list)...)
		runtime.KeepAlive(g)
		parts, err := partsOfServers(servers, g.SaveState(p.now, false))
		if err != nil {
			return err
		}
		s.add(servers, parts...)
		told, err := verdictsTold(servers)
		if err != nil {
			return err
		}
		s.add(servers, sample{verdictsMinute, "verdicts", told})
	}
	return nil
}

// mustGateway makes an edge node's module that knows so many servers; its settings are
// this package's own.
func mustGateway(servers int) *policy.Gateway {
	g, err := newGateway(member, PlannedNodes, serverList(servers))
	if err != nil {
		panic(err)
	}
	return g
}

// changes measures changes of the list, and the copy of it that a snapshot takes.
func (p *pair) changes(g *policy.Gateway, list []policy.Server) []sample {
	members := func(kind policy.UpdateKind, lines []policy.Server) float64 {
		return timed(func() {
			p.now += time.Millisecond
			g.Handle(p.now, policy.ServerListUpdate{Kind: kind, Servers: lines}, nil)
		})
	}
	change := []policy.Server{list[len(list)/2]}
	first := timed(func() {
		change[0].Start += time.Second // a server that has started anew, long ago
		p.now += time.Millisecond
		g.Handle(p.now, policy.ServerListUpdate{Kind: policy.Changes, Servers: change}, nil)
	})
	part := list[:max(1, len(list)/zones)]
	return []sample{
		{oneLine, micros, first},
		{zoneLines, micros, members(policy.Changes, part)},
		{wholeList, micros, members(policy.FullList, list)},
		{newSettings, micros, p.reconfigure(g)},
		{copyServers, micros, timed(func() { g.SaveState(p.now, false) })},
	}
}

// reconfigure is the time of new settings in which one plan has another burst.
func (p *pair) reconfigure(g *policy.Gateway) float64 {
	s := settings(member, PlannedNodes)
	return timed(func() {
		s.Plans[len(s.Plans)-1].Burst++
		p.now += time.Millisecond
		g.Handle(p.now, policy.Reconfigure{Settings: s}, nil)
	})
}

// atNodes measures what grows with the number of edge nodes.
func atNodes(ctx context.Context, s *sweeper, nodes, repetitions int) error {
	p, err := newPair(nodes, stillServers, stillTenants, memberPlans...)
	if err != nil {
		return err
	}
	for seed := range repetitions {
		if ctx.Err() != nil {
			return nil
		}
		if err := p.requests(s, nodes); err != nil {
			return err
		}
		waits, err := rootGone(nodes, uint64(seed)+1)
		if err != nil {
			return err
		}
		s.add(nodes, waits...)
		g, bytes := heapOf(func() *policy.Gateway {
			g, err := newGateway(member, nodes, serverList(stillServers))
			if err != nil {
				panic(err) // the settings are this package's own
			}
			return g
		})
		s.add(nodes, sample{heapServer, bytesUnit, bytes}, sample{tickAtRest, micros, p.rest(g)})
		list, err := datagrams(nodes)
		if err != nil {
			return err
		}
		s.add(nodes, list...)
		parts, err := partsOfNodes(nodes)
		if err != nil {
			return err
		}
		s.add(nodes, parts...)
	}
	return nil
}

// atTenants measures what grows with the tenants that one edge node knows, as a member and
// as their root.
func atTenants(ctx context.Context, s *sweeper, tenants, repetitions int) error {
	p, err := newPair(PlannedNodes, stillServers, tenants, planRate)
	if err != nil {
		return err
	}
	p.quick = true
	if err := p.meet(); err != nil {
		return err
	}
	for _, names := range []struct {
		measure string
		of      func(int) string
	}{{busiestMixed, tenantName}, {busiestNumbered, numberedName}} {
		uneven, err := busiestRoot(tenants, names.of)
		if err != nil {
			return err
		}
		s.add(tenants, sample{names.measure, "of an even part", uneven})
	}
	for range repetitions {
		if ctx.Err() != nil {
			return nil
		}
		s.add(tenants, sample{memberTick, micros, p.tick(p.member)}, sample{rootTick, micros, p.tick(p.root)},
			sample{newSettings, micros, p.reconfigure(p.member)})
		cost, err := p.batches(planRate, stillTenants)
		if err != nil {
			return err
		}
		s.add(tenants, sample{memberRate, micros, cost.memberMicros()}, sample{rootRate, micros, cost.rootMicros()})
		s.add(tenants, sample{routeTable, bytesUnit, routeHeap(tenants)})
	}
	both := heapInUse()
	p.root = nil
	one := heapInUse()
	p.member = nil
	s.add(tenants, sample{heapRoot, bytesUnit, both - one}, sample{heapMember, bytesUnit, one - heapInUse()})
	runtime.KeepAlive(p)
	return nil
}

// busiestRoot is how many of a number of tenants have the busiest root of a set of
// evenSet edge nodes, against an even part.
func busiestRoot(tenants int, name func(int) string) (float64, error) {
	const evenSet = 256
	g, err := newGateway(member, PlannedNodes, serverList(1))
	if err != nil {
		return 0, err
	}
	at, most := map[int]int{}, 0
	for i := range tenants {
		r := request(policy.RequestID(i+1), name(i), planRate)
		r.Spread = evenSet
		to := member
		if asks := tells(g.Handle(epoch, r, nil), kindAsk); len(asks) == 1 {
			to = asks[0].To
		}
		at[to]++
		most = max(most, at[to])
	}
	return float64(most) * evenSet / float64(tenants), nil
}

// meet has each tenant ask once, so that member and root know all.
func (p *pair) meet() error {
	for done := 0; done < len(p.tenants[planRate]); done += stillTenants {
		if err := p.batch(planRate, min(stillTenants, len(p.tenants[planRate])-done), &batchCost{}); err != nil {
			return err
		}
	}
	return nil
}

// tick is the time of a tick that comes before anybody is forgotten.
func (p *pair) tick(g *policy.Gateway) float64 {
	const step = time.Millisecond
	return timed(func() {
		p.now += step
		g.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	})
}

// datagrams measures the handling of one datagram by kind, at who takes it in.
func datagrams(nodes int) ([]sample, error) {
	h := &handling{nodes: nodes}
	watchers, err := watchersAmong(nodes)
	if err != nil {
		return nil, err
	}
	h.samples = append(h.samples, sample{"edge nodes that watch a server", "edge nodes", float64(watchers)})
	steps := []func() error{h.sights, h.verdicts, h.reports}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return h.samples, nil
}

// handling gathers the cost of datagrams.
type handling struct {
	nodes   int
	samples []sample
	verdict policy.SendMessage
	watcher int
}

func (h *handling) add(k kind, us float64) {
	h.samples = append(h.samples, sample{"datagram: " + string(k), micros, us})
}

// errNoSight is a fleet in which outcomes are not told to watchers.
var errNoSight = errors.New("an edge node told no watcher of an outcome")

// failures has one server fail at an edge node, and returns what its watcher is told.
func failures(nodes int, server policy.Server, times int) ([]policy.SendMessage, error) {
	g, err := newGateway(member, nodes, []policy.Server{server})
	if err != nil {
		return nil, err
	}
	var told []policy.SendMessage
	now := epoch
	for i := range times {
		now += time.Millisecond
		out := sends(g.Handle(now, request(policy.RequestID(i+1), "tenant", planFree), nil))
		if len(out) != 1 {
			return nil, fmt.Errorf("%d attempts for one request", len(out))
		}
		told = append(told, tells(g.Handle(now, policy.Outcome{ID: out[0].ID, Server: out[0].Server, Code: policy.Error,
			Latency: latency, Answered: true}, nil), kindSight)...)
	}
	return told, nil
}

// watchersAmong counts the edge nodes that are told of outcomes at any of many servers.
func watchersAmong(nodes int) (int, error) {
	const every = 10
	found := map[int]bool{}
	for i := 0; i < PlannedServers; i += every {
		told, err := failures(nodes, policy.Server{ID: policy.ServerID(i + 1), Zone: zone(i), State: policy.Running, Weight: 1}, 1)
		if err != nil {
			return 0, err
		}
		for _, t := range told {
			found[t.To] = true
		}
	}
	if len(found) == 0 {
		return 0, errNoSight
	}
	return len(found), nil
}

// verdictsTold counts what the watcher of a server that fails all tells in a minute, in a
// fleet of the planned number of edge nodes.
func verdictsTold(servers int) (float64, error) {
	list := serverList(servers)
	sights, err := failures(PlannedNodes, list[0], 1)
	if err != nil {
		return 0, err
	}
	if len(sights) == 0 {
		return 0, errNoSight
	}
	watcher, err := newGateway(sights[0].To, PlannedNodes, list)
	if err != nil {
		return 0, err
	}
	const between = 100 * time.Millisecond
	told := 0
	for now := epoch; now < epoch+time.Minute; now += between {
		told += len(tells(watcher.Handle(now, policy.PeerMessage{From: member, Data: sights[0].Data}, nil), kindVerdict))
	}
	return float64(told), nil
}

// sights has a server fail at an edge node until its watcher tells of it.
func (h *handling) sights() error {
	told, err := failures(h.nodes, serverList(1)[0], 64)
	if err != nil {
		return err
	}
	if len(told) == 0 {
		return errNoSight
	}
	now := epoch
	h.watcher = told[0].To
	watcher, err := newGateway(h.watcher, h.nodes, serverList(stillServers))
	if err != nil {
		return err
	}
	var acts []policy.Action
	var w stopwatch
	w.run(len(told), func() {
		for _, t := range told {
			now += time.Millisecond
			acts = watcher.Handle(now, policy.PeerMessage{From: member, Data: t.Data}, acts)
		}
	})
	verdicts := tells(acts, kindVerdict)
	if len(verdicts) == 0 {
		return fmt.Errorf("the watcher of a server that fails told of no verdict")
	}
	h.verdict = verdicts[0]
	h.add(kindSight, w.micros())
	return nil
}

// verdicts has an edge node hear a verdict.
func (h *handling) verdicts() error {
	g, err := newGateway(member, h.nodes, serverList(stillServers))
	if err != nil {
		return err
	}
	const times = 64
	var w stopwatch
	w.run(times, func() {
		for range times {
			g.Handle(epoch, policy.PeerMessage{From: h.watcher, Data: h.verdict.Data}, nil)
		}
	})
	h.add(kindVerdict, w.micros())
	return nil
}

// reports has two roots of one tenant report to each other.
func (h *handling) reports() error {
	list := serverList(stillServers)
	from, err := newGateway(member, h.nodes, list)
	if err != nil {
		return err
	}
	to, err := newGateway(root, h.nodes, list)
	if err != nil {
		return err
	}
	var told []policy.SendMessage
	now := epoch
	for i := range 128 {
		now += tickEvery
		from.Handle(now, request(policy.RequestID(i+1), "tenant", planWide), nil)
		to.Handle(now, request(policy.RequestID(i+1), "tenant", planWide), nil)
		told = append(told, tells(from.Handle(now, policy.Timer{Token: "tick"}, nil), kindReport)...)
	}
	if len(told) == 0 {
		return fmt.Errorf("two roots of one tenant told each other nothing")
	}
	var w stopwatch
	w.run(len(told), func() {
		for _, t := range told {
			to.Handle(now, policy.PeerMessage{From: member, Data: t.Data}, nil)
		}
	})
	h.add(kindReport, w.micros())
	return nil
}
