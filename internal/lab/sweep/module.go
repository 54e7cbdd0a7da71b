package sweep

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"valvering.example/valvering/policy"
)

// Quantities that stay fixed while another one grows.
const (
	fixedTenants = 40 // tenants of a batch of requests, and all tenants in the sweeps of servers and nodes
	fixedServers = TodayServers
)

// Measures of package policy. "member" and "root" denote the work of this edge node for a request.
const (
	memberFree        = "member: a request without quota"
	memberRate        = "member: a request under a rate"
	memberBoth        = "member: a request under rate and cap"
	rootRate          = "root: a request under a rate"
	rootBoth          = "root: a request under rate and cap"
	tickAtRest        = "a tick at rest"
	oneLine           = "a changed line"
	firstList         = "the first list, of an edge node that starts"
	wholeList         = "a whole list again"
	zoneLines         = "the lines of one zone in one change"
	verdictsPerMinute = "verdicts told in a minute of a server that fails all"
	newSettings       = "new settings put in force"
	copyServers       = "a copy of what is known of servers for a snapshot"
	heapModule        = "heap of the module"
	memberTick        = "member: a tick"
	rootTick          = "root: a tick"
	heapRoot          = "heap of tenants at their root"
	busiestMixed      = "tenants at the busiest root of a set of 256, names that differ throughout"
	busiestNumbered   = "tenants at the busiest root of a set of 256, numbered names"
	heapMember        = "heap of tenants at a member"
	routeTable        = "heap of a table of as many routes"
	microsUnit        = "us"
	bytesUnit         = "B"
)

// memberPlans are the plans whose requests are measured.
var memberPlans = []string{planFree, planRate, planBoth}

// requests measures a request of each plan at the member and at the root.
func (p *pair) requests(s *sweeper, x int) error {
	for _, plan := range memberPlans {
		cost, err := p.batches(plan, fixedTenants)
		if err != nil {
			return err
		}
		switch plan {
		case planFree:
			s.add(x, sample{memberFree, microsUnit, cost.memberMicros()})
		case planRate:
			s.add(x, sample{memberRate, microsUnit, cost.memberMicros()},
				sample{rootRate, microsUnit, cost.rootMicros()})
		case planBoth:
			s.add(x, sample{memberBoth, microsUnit, cost.memberMicros()},
				sample{rootBoth, microsUnit, cost.rootMicros()})
		}
	}
	return nil
}

// measureServers measures costs that grow with the number of servers, in a fleet of the planned
// number of edge nodes.
func measureServers(ctx context.Context, s *sweeper, servers, repetitions int) error {
	p, err := newPair(PlannedNodes, servers, fixedTenants, memberPlans...)
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
		s.add(servers, sample{heapModule, bytesUnit, bytes},
			sample{tickAtRest, microsUnit, p.idleTickTime(g)},
			sample{firstList, microsUnit, timeOperation(func() { mustGateway(servers) })})
		s.add(servers, p.changes(g, list)...)
		runtime.KeepAlive(g)
		parts, err := partsOfServers(servers, g.SaveState(p.now, false))
		if err != nil {
			return err
		}
		s.add(servers, parts...)
		verdicts, err := countVerdicts(servers)
		if err != nil {
			return err
		}
		s.add(servers, sample{verdictsPerMinute, "verdicts", verdicts})
	}
	return nil
}

// mustGateway returns the policy module of an edge node with the given number of servers. It panics
// on an error, since the settings are this package's own.
func mustGateway(servers int) *policy.Gateway {
	g, err := newGateway(member, PlannedNodes, serverList(servers))
	if err != nil {
		panic(err)
	}
	return g
}

// changes measures changes of the list, and the copy of the server state for a snapshot.
func (p *pair) changes(g *policy.Gateway, list []policy.Server) []sample {
	updateTime := func(kind policy.UpdateKind, lines []policy.Server) float64 {
		return timeOperation(func() {
			p.now += time.Millisecond
			g.Handle(p.now, policy.ServerListUpdate{Kind: kind, Servers: lines}, nil)
		})
	}
	change := []policy.Server{list[len(list)/2]}
	lineChange := timeOperation(func() {
		change[0].Start += time.Second // a server that restarted long ago
		p.now += time.Millisecond
		g.Handle(p.now, policy.ServerListUpdate{Kind: policy.Changes, Servers: change}, nil)
	})
	part := list[:max(1, len(list)/zones)]
	return []sample{
		{oneLine, microsUnit, lineChange},
		{zoneLines, microsUnit, updateTime(policy.Changes, part)},
		{wholeList, microsUnit, updateTime(policy.FullList, list)},
		{newSettings, microsUnit, p.reconfigure(g)},
		{copyServers, microsUnit, timeOperation(func() { g.SaveState(p.now, false) })},
	}
}

// reconfigure returns the time to apply settings in which one plan has another burst.
func (p *pair) reconfigure(g *policy.Gateway) float64 {
	s := settings(member, PlannedNodes)
	return timeOperation(func() {
		s.Plans[len(s.Plans)-1].Burst++
		p.now += time.Millisecond
		g.Handle(p.now, policy.Reconfigure{Settings: s}, nil)
	})
}

// measureNodes measures costs that grow with the number of edge nodes.
func measureNodes(ctx context.Context, s *sweeper, nodes, repetitions int) error {
	p, err := newPair(nodes, fixedServers, fixedTenants, memberPlans...)
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
		waits, err := measureRootCrash(nodes, uint64(seed)+1)
		if err != nil {
			return err
		}
		s.add(nodes, waits...)
		g, bytes := heapOf(func() *policy.Gateway {
			g, err := newGateway(member, nodes, serverList(fixedServers))
			if err != nil {
				panic(err) // the settings are valid
			}
			return g
		})
		s.add(nodes, sample{heapModule, bytesUnit, bytes}, sample{tickAtRest, microsUnit, p.idleTickTime(g)})
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

// measureTenants measures costs that grow with the tenants that one edge node knows, as a member
// and as their root.
func measureTenants(ctx context.Context, s *sweeper, tenants, repetitions int) error {
	p, err := newPair(PlannedNodes, fixedServers, tenants, planRate)
	if err != nil {
		return err
	}
	p.skipPauses = true
	if err := p.meet(); err != nil {
		return err
	}
	for _, names := range []struct {
		measure string
		of      func(int) string
	}{{busiestMixed, tenantName}, {busiestNumbered, numberedName}} {
		busiest, err := busiestRoot(tenants, names.of)
		if err != nil {
			return err
		}
		s.add(tenants, sample{names.measure, "of an even part", busiest})
	}
	for range repetitions {
		if ctx.Err() != nil {
			return nil
		}
		s.add(tenants, sample{memberTick, microsUnit, p.tickTime(p.member)},
			sample{rootTick, microsUnit, p.tickTime(p.root)},
			sample{newSettings, microsUnit, p.reconfigure(p.member)})
		cost, err := p.batches(planRate, fixedTenants)
		if err != nil {
			return err
		}
		s.add(tenants, sample{memberRate, microsUnit, cost.memberMicros()},
			sample{rootRate, microsUnit, cost.rootMicros()})
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

// busiestRoot returns the number of tenants of the busiest root in a set of setSize edge nodes,
// relative to an equal share.
func busiestRoot(tenants int, name func(int) string) (float64, error) {
	const setSize = 256
	g, err := newGateway(member, PlannedNodes, serverList(1))
	if err != nil {
		return 0, err
	}
	count, maxCount := map[int]int{}, 0
	for i := range tenants {
		r := request(policy.RequestID(i+1), name(i), planRate)
		r.Spread = setSize
		to := member
		if asks := datagramsOfKind(g.Handle(startTime, r, nil), kindAsk); len(asks) == 1 {
			to = asks[0].To
		}
		count[to]++
		maxCount = max(maxCount, count[to])
	}
	return float64(maxCount) * setSize / float64(tenants), nil
}

// meet sends one request of each tenant, so that member and root know all tenants.
func (p *pair) meet() error {
	for done := 0; done < len(p.tenants[planRate]); done += fixedTenants {
		if err := p.batch(planRate, min(fixedTenants, len(p.tenants[planRate])-done),
			&batchCost{}); err != nil {
			return err
		}
	}
	return nil
}

// tickTime returns the time of a tick that comes before any tenant is forgotten.
func (p *pair) tickTime(g *policy.Gateway) float64 {
	const step = time.Millisecond
	return timeOperation(func() {
		p.now += step
		g.Handle(p.now, policy.Timer{Token: "tick"}, nil)
	})
}

// datagrams measures the handling of one datagram of each kind at its receiver.
func datagrams(nodes int) ([]sample, error) {
	h := &datagramCosts{nodes: nodes}
	monitors, err := countMonitors(nodes)
	if err != nil {
		return nil, err
	}
	h.samples = append(h.samples, sample{"edge nodes that watch a server", "edge nodes", float64(monitors)})
	steps := []func() error{h.observations, h.verdicts, h.reports}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return h.samples, nil
}

// datagramCosts collects the costs of handling datagrams.
type datagramCosts struct {
	nodes   int
	samples []sample
	verdict policy.SendMessage
	monitor int
}

func (h *datagramCosts) add(k kind, us float64) {
	h.samples = append(h.samples, sample{"datagram: " + string(k), microsUnit, us})
}

// errNoObservation reports an edge node that sends no failure observation to a health monitor.
var errNoObservation = errors.New("an edge node sent no failure observation to a health monitor")

// failures simulates failures of one server at an edge node and returns the failure observations
// for the server's health monitor.
func failures(nodes int, server policy.Server, times int) ([]policy.SendMessage, error) {
	g, err := newGateway(member, nodes, []policy.Server{server})
	if err != nil {
		return nil, err
	}
	var observations []policy.SendMessage
	now := startTime
	for i := range times {
		now += time.Millisecond
		out := sendActions(g.Handle(now, request(policy.RequestID(i+1), "tenant", planFree), nil))
		if len(out) != 1 {
			return nil, fmt.Errorf("%d attempts for one request, want 1", len(out))
		}
		observations = append(observations, datagramsOfKind(g.Handle(now,
			policy.Outcome{ID: out[0].ID, Server: out[0].Server, Code: policy.Error,
				Latency: latency, Answered: true}, nil), kindObservation)...)
	}
	return observations, nil
}

// countMonitors counts the edge nodes that receive failure observations of any of many servers.
func countMonitors(nodes int) (int, error) {
	const every = 10
	found := map[int]bool{}
	for i := 0; i < PlannedServers; i += every {
		observations, err := failures(nodes, policy.Server{ID: policy.ServerID(i + 1), Zone: zoneName(i),
			State: policy.Running, Weight: 1}, 1)
		if err != nil {
			return 0, err
		}
		for _, t := range observations {
			found[t.To] = true
		}
	}
	if len(found) == 0 {
		return 0, errNoObservation
	}
	return len(found), nil
}

// countVerdicts counts the health verdicts that the health monitor of a server sends in a minute in
// which every attempt fails, in a fleet of the planned number of edge nodes.
func countVerdicts(servers int) (float64, error) {
	list := serverList(servers)
	observations, err := failures(PlannedNodes, list[0], 1)
	if err != nil {
		return 0, err
	}
	if len(observations) == 0 {
		return 0, errNoObservation
	}
	monitor, err := newGateway(observations[0].To, PlannedNodes, list)
	if err != nil {
		return 0, err
	}
	const between = 100 * time.Millisecond
	verdicts := 0
	for now := startTime; now < startTime+time.Minute; now += between {
		verdicts += len(datagramsOfKind(monitor.Handle(now,
			policy.PeerMessage{From: member, Data: observations[0].Data}, nil), kindVerdict))
	}
	return float64(verdicts), nil
}

// observations measures failure observations at the health monitor of a server, which then sends a
// health verdict.
func (h *datagramCosts) observations() error {
	observations, err := failures(h.nodes, serverList(1)[0], 64)
	if err != nil {
		return err
	}
	if len(observations) == 0 {
		return errNoObservation
	}
	now := startTime
	h.monitor = observations[0].To
	monitor, err := newGateway(h.monitor, h.nodes, serverList(fixedServers))
	if err != nil {
		return err
	}
	var acts []policy.Action
	var w stopwatch
	w.run(len(observations), func() {
		for _, t := range observations {
			now += time.Millisecond
			acts = monitor.Handle(now, policy.PeerMessage{From: member, Data: t.Data}, acts)
		}
	})
	verdicts := datagramsOfKind(acts, kindVerdict)
	if len(verdicts) == 0 {
		return fmt.Errorf("the health monitor of a failing server sent no health verdict")
	}
	h.verdict = verdicts[0]
	h.add(kindObservation, w.meanMicros())
	return nil
}

// verdicts measures health verdicts at an edge node that receives them.
func (h *datagramCosts) verdicts() error {
	g, err := newGateway(member, h.nodes, serverList(fixedServers))
	if err != nil {
		return err
	}
	const times = 64
	var w stopwatch
	w.run(times, func() {
		for range times {
			g.Handle(startTime, policy.PeerMessage{From: h.monitor, Data: h.verdict.Data}, nil)
		}
	})
	h.add(kindVerdict, w.meanMicros())
	return nil
}

// reports measures the reports between two roots of one tenant.
func (h *datagramCosts) reports() error {
	list := serverList(fixedServers)
	from, err := newGateway(member, h.nodes, list)
	if err != nil {
		return err
	}
	to, err := newGateway(root, h.nodes, list)
	if err != nil {
		return err
	}
	var reports []policy.SendMessage
	now := startTime
	for i := range 128 {
		now += tickInterval
		from.Handle(now, request(policy.RequestID(i+1), "tenant", planWide), nil)
		to.Handle(now, request(policy.RequestID(i+1), "tenant", planWide), nil)
		reports = append(reports, datagramsOfKind(from.Handle(now, policy.Timer{Token: "tick"}, nil),
			kindReport)...)
	}
	if len(reports) == 0 {
		return fmt.Errorf("two roots of one tenant sent no reports to each other")
	}
	var w stopwatch
	w.run(len(reports), func() {
		for _, t := range reports {
			to.Handle(now, policy.PeerMessage{From: member, Data: t.Data}, nil)
		}
	})
	h.add(kindReport, w.meanMicros())
	return nil
}
