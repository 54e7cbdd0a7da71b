package policy

import (
	"math"
	"testing"
	"time"
)

// newGatewayWithList returns a gateway that uses a server list which it shares with others.
func newGatewayWithList(t testing.TB, l *serverList, self, gateways int) *Gateway {
	t.Helper()
	set := baseSettings()
	set.Self, set.Gateways = self, gateways
	g, err := New(set, uint64(self))
	if err != nil {
		t.Fatal(err)
	}
	g.allServers, g.runningServers, g.meanWeight = l, l.running, l.meanWeight()
	g.chooseSubset()
	return g
}

// listOf returns a list of the servers.
func listOf(servers []Server) *serverList {
	l := newServerList()
	for _, s := range servers {
		l.put(s)
	}
	return l
}

var fleetSizes = []struct{ gateways, servers, zones int }{
	{40, 60, 1}, {80, 60, 3}, {300, 200, 4}, {6200, 2000, 18},
	{plannedGateways, plannedServers, plannedZones},
}

// Each server is in about as many gateways' subsets, and no subset lies in a single zone.
func TestSubsetsAreBalanced(t *testing.T) {
	for _, size := range fleetSizes {
		l := listOf(zonedServers(size.servers, size.zones))
		userCounts := map[ServerID]int{}
		minSize, maxSize := math.MaxInt, 0
		for self := range size.gateways {
			g := newGatewayWithList(t, l, self, size.gateways)
			zones := map[string]bool{}
			for _, s := range g.subset {
				userCounts[s.ID]++
				zones[s.Zone] = true
			}
			minSize, maxSize = min(minSize, len(g.subset)), max(maxSize, len(g.subset))
			if len(zones) < min(size.zones, 2) {
				t.Fatalf("%+v: subset of gateway %d in %d zones", size, self, len(zones))
			}
		}
		minUsers, maxUsers := math.MaxInt, 0
		for _, n := range userCounts {
			minUsers, maxUsers = min(minUsers, n), max(maxUsers, n)
		}
		want := newGatewayWithList(t, l, 0, size.gateways).subsetSize() * float64(size.gateways) /
			float64(size.servers)
		t.Logf("%+v: subsets of %d to %d servers, each server in %d to %d subsets, mean %.1f", size, minSize,
			maxSize, minUsers, maxUsers, want)
		if len(userCounts) != size.servers || float64(minUsers) < want-3 || float64(maxUsers) > want+3 {
			t.Errorf("%+v: %d servers in %d to %d subsets, mean %.1f", size, len(userCounts), minUsers,
				maxUsers, want)
		}
	}
}

// members returns the IDs of a gateway's subset.
func members(g *Gateway) map[ServerID]bool {
	ids := map[ServerID]bool{}
	for _, s := range g.subset {
		ids[s.ID] = true
	}
	return ids
}

// countAdded counts the members of a subset that were not in it before.
func countAdded(before, after map[ServerID]bool) (n int) {
	for id := range after {
		if !before[id] {
			n++
		}
	}
	return n
}

// When one server is added, removed, drained or replaced, few members of any subset change. When a zone is
// lost, a subset loses that zone's servers only, and gets more servers of the other zones.
func TestSubsetsChangeLittle(t *testing.T) {
	const maxChanged = 2
	for _, size := range fleetSizes[1:] {
		servers := zonedServers(size.servers, size.zones)
		g := newGatewayWithList(t, listOf(servers), size.gateways/3, size.gateways)
		change := func(m Server) int {
			before := members(g)
			g.Handle(time.Second, ServerListUpdate{Kind: Changes, Servers: []Server{m}}, nil)
			return countAdded(before, members(g))
		}
		maxAdded, totalAdded := 0, 0
		for i := range 400 {
			m := servers[i*7919%size.servers]
			switch i % 4 {
			case 0:
				m.State = Removed
			case 1:
				m.State = Draining
			case 2:
				m.ID += ServerID(size.servers) // a replacement
			}
			n := change(m)
			maxAdded, totalAdded = max(maxAdded, n), totalAdded+n
		}
		t.Logf("%+v: %d members changed in 400 updates, at most %d in one", size, totalAdded, maxAdded)
		if maxAdded > maxChanged {
			t.Errorf("%+v: %d members changed in one update", size, maxAdded)
		}
		lost := ServerListUpdate{Kind: Changes}
		for _, s := range servers {
			if s.Zone == "zone 1" {
				s.State = Removed
				lost.Servers = append(lost.Servers, s)
			}
		}
		before := members(g)
		g.Handle(2*time.Second, lost, nil)
		after := members(g)
		for id := range before {
			if s, listed := g.allServers.find(id); listed && s.Zone != "zone 1" && !after[id] {
				t.Errorf("%+v: server %d of %s left the subset when zone 1 was lost", size, id, s.Zone)
			}
		}
		if n := countAdded(before, after); float64(n) >
			g.subsetSize()/float64(size.zones)+float64(size.zones) {
			t.Errorf("%+v: %d new members after a zone was lost", size, n)
		}
	}
}

// countInspectedBy counts the servers that a gateway inspects while do runs.
func countInspectedBy(g *Gateway, do func()) (n int) {
	g.onInspect = func(servers int) { n += servers }
	defer func() { g.onInspect = nil }()
	do()
	return n
}

// visits returns the number of entries that the list's ranked sets have visited.
func (l *serverList) visits() (n int) {
	for _, z := range l.zones {
		n += z.running.visits
	}
	for _, cell := range l.cells {
		n += cell.visits
	}
	return n
}

// The number of servers that a request, a tick or a change of the list inspects doesn't grow with the
// fleet.
func TestWorkOfALargeFleetIsBounded(t *testing.T) {
	for _, n := range []int{200, 2000, plannedServers} {
		set := baseSettings()
		set.Gateways = plannedGateways
		servers := zonedServers(n, plannedZones)
		w := newHarness(t, set, servers)
		request := countInspectedBy(w.g, func() { w.request("safe", "free", "c", 1) })
		tick := countInspectedBy(w.g, func() { w.advance(w.g.tick) })
		before := w.g.allServers.visits()
		changed := servers[n/2]
		changed.State = Draining
		w.do(ServerListUpdate{Kind: Changes, Servers: []Server{changed}})
		entries := w.g.allServers.visits() - before
		t.Logf("%d servers: %d for a request, %d for a tick, %d entries for a change", n, request, tick,
			entries)
		if request == 0 || request > maxSubsetSize || tick > 2*maxSubsetSize {
			t.Errorf("%d servers: %d inspected for a request, %d for a tick", n, request, tick)
		}
		if maxEntries := maxSubsetSize * 5 * math.Log2(float64(n)); float64(entries) > maxEntries {
			t.Errorf("%d servers: %d entries visited for a change, want at most %.0f", n, entries, maxEntries)
		}
	}
}

// takeSubsetOutOfUse takes all servers of the subset out of use.
func takeSubsetOutOfUse(w *harness) {
	for _, s := range w.g.subset {
		takeOutOfUse(w, s.ID)
	}
}

// takeOutOfUse takes a server out of use by a verdict.
func takeOutOfUse(w *harness, id ServerID) {
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: uint32(id), OutOfUse: 0xff,
		RelativeLatency: encodeRelativeLatency(1)})})
}

// While so many servers of the fleet are out of use that verdicts are ignored, a gateway uses its whole
// subset, not only the few servers of it that are in use. The failure occurred in a rollout that
// restarted six in ten servers, whose connections came up late: verdicts had most of the fleet out of
// use for the class with the shortest latency target. Gateways that considered only their own subsets
// would have ignored the verdicts if no server had been left there. With a few left, they sent all
// requests to these: in the fault join+mass, 592 to 718 of 2,065 to 2,377 choices a second were among
// three servers or fewer (250 of 2,200 before there were subsets). These servers timed out, and verdicts
// took them out of use too.
func TestLastFewOfASetAreNotOverrun(t *testing.T) {
	for _, c := range []struct {
		outOfUse float64 // share of the fleet
		all      bool    // the whole subset is used
	}{{0.85, true}, {0.5, false}} {
		set := baseSettings()
		set.Gateways, set.CanCancel = 300, false
		servers := testServers(200)
		w := newHarness(t, set, servers)
		for i, s := range servers {
			if float64(i*37%100) < c.outOfUse*100 {
				takeOutOfUse(w, s.ID)
			}
		}
		sent := map[ServerID]int{}
		for range 400 {
			w.now += 2 * ms
			id, acts := w.request("safe", "free", "c", 1)
			for _, s := range of[Send](acts) {
				sent[s.Server]++
				w.do(Outcome{ID: id, Server: s.Server, Code: OK, Latency: 50 * ms, Answered: true})
			}
		}
		maxSends, usedOutOfUse := 0, 0
		for id, n := range sent {
			maxSends = max(maxSends, n)
			if w.g.outOfUse(w.g.trackedByID[id], w.g.classes["safe"]) {
				usedOutOfUse++
			}
		}
		if c.all && (maxSends > 60 || len(sent) < 18) || !c.all && usedOutOfUse > 0 {
			t.Errorf("share %v out of use: %d servers got requests, %d of them out of use, one got %d of 400",
				c.outOfUse, len(sent), usedOutOfUse, maxSends)
		}
	}
}

// Where no server of the subset can be used, a request goes to another server, with bounded work. The
// subset stays the same, and the state of the other servers that were inspected is dropped.
func TestRequestLeavesUnusableSubset(t *testing.T) {
	for _, c := range []struct {
		name         string
		makeUnusable func(w *harness)
	}{
		{"out of use", takeSubsetOutOfUse},
		{"full for the plan", func(w *harness) {
			for _, s := range w.g.subset {
				s.fullUntil[w.g.plans["free"]] = w.now + time.Hour
			}
		}},
		{"cold, with no slow start slot left", func(w *harness) {
			for _, s := range w.g.subset {
				s.HasStart, s.Start = true, w.now
				for range 100 {
					s.recentSends = append(s.recentSends, w.now)
				}
			}
		}},
	} {
		set := baseSettings()
		set.Gateways = plannedGateways
		w := newHarness(t, set, zonedServers(plannedServers, plannedZones))
		subset := members(w.g)
		c.makeUnusable(w)
		var sends []Send
		if inspected := countInspectedBy(w.g, func() {
			_, acts := w.request("safe", "free", "c", 1)
			sends = of[Send](acts)
		}); inspected > maxSubsetSize*(widerSubsetFactor+1) {
			t.Errorf("%s: %d servers inspected", c.name, inspected)
		}
		if len(sends) != 1 || subset[sends[0].Server] || countAdded(subset, members(w.g)) != 0 {
			t.Errorf("%s: %v sent, %d new members of the subset", c.name, sends,
				countAdded(subset, members(w.g)))
		}
		w.now += 30 * time.Second // verdicts have expired
		for _, s := range w.g.subset {
			clear(s.fullUntil)
			s.HasStart, s.recentSends = false, nil
		}
		for range 20 {
			w.advance(500 * ms)
			w.request("safe", "free", "c", 1)
		}
		if _, acts := w.request("safe", "free", "c", 1); len(of[Send](acts)) != 1 ||
			!subset[of[Send](acts)[0].Server] {
			t.Errorf("%s: %v with the whole subset usable again", c.name, acts)
		}
		if countAdded(subset, members(w.g)) != 0 {
			t.Errorf("%s: %d of %d members of the subset are new", c.name, countAdded(subset, members(w.g)),
				len(subset))
		}
		if len(w.g.tracked) > 2*maxSubsetSize {
			t.Errorf("%s: %d servers tracked", c.name, len(w.g.tracked))
		}
	}
}

// With the whole wider set out of use, the servers of the subset are used nevertheless, and no further
// servers are inspected. When the whole subset drains, it is replaced at once.
func TestWorkIsBoundedWhenWiderSetIsOutOfUse(t *testing.T) {
	set := baseSettings()
	set.Gateways = plannedGateways
	servers := zonedServers(plannedServers, plannedZones)
	w := newHarness(t, set, servers)
	for _, s := range w.g.widerSubset() {
		takeOutOfUse(w, s.ID)
	}
	inspected := countInspectedBy(w.g, func() {
		if _, acts := w.request("safe", "free", "c", 1); len(of[Send](acts)) != 1 ||
			!members(w.g)[of[Send](acts)[0].Server] {
			t.Errorf("%v with the whole wider set out of use", acts)
		}
	})
	if inspected > maxSubsetSize*(widerSubsetFactor+1) {
		t.Errorf("%d servers inspected", inspected)
	}
	before := members(w.g)
	drained := ServerListUpdate{Kind: Changes}
	for id := range before {
		m := servers[id-1]
		m.State = Draining
		drained.Servers = append(drained.Servers, m)
	}
	w.do(drained)
	for id := range members(w.g) {
		if before[id] {
			t.Errorf("draining server %d is in the subset", id)
		}
	}
}

// A further attempt of a request that may have run stays in the group of servers that drops repetitions.
// Among 56,000 servers, the few others of a cell or a zone are found without visiting all.
func TestFurtherAttemptStaysInGroup(t *testing.T) {
	for _, class := range []string{"cell", "zone"} {
		set := baseSettings()
		set.Gateways = plannedGateways
		set.Classes = append(set.Classes, Class{Name: "zone", LatencyTarget: 800 * ms,
			Deadline: 3 * time.Second, Effect: Keyed, Group: GroupZone, Window: 2 * time.Second})
		servers := zonedServers(plannedServers, plannedZones)
		for i := range servers {
			// four servers of a zone
			servers[i].Cell = i%plannedZones + plannedZones*(i/plannedZones/4)
		}
		w := newHarness(t, set, servers)
		id, acts := w.request(class, "free", "c", 1)
		first := of[Send](acts)[0]
		inspected := countInspectedBy(w.g, func() {
			acts = w.do(Outcome{ID: id, Server: first.Server, Code: Error, Latency: 5 * ms})
		})
		again := of[Send](acts)
		if len(again) != 1 || again[0].Server == first.Server {
			t.Fatalf("%s: %v after server %d", class, acts, first.Server)
		}
		a, b := servers[first.Server-1], servers[again[0].Server-1]
		if a.Zone != b.Zone || class == "cell" && a.Cell != b.Cell {
			t.Errorf("%s: sent to %+v after %+v", class, b, a)
		}
		if inspected > maxSubsetSize {
			t.Errorf("%s: %d servers inspected", class, inspected)
		}
		// With the whole group removed, no further attempt is sent to another group.
		removed := ServerListUpdate{Kind: Changes}
		for _, s := range servers {
			if class == "cell" && s.Cell == a.Cell || class == "zone" && s.Zone == a.Zone {
				s.State = Removed
				removed.Servers = append(removed.Servers, s)
			}
		}
		w.do(removed)
		if acts = w.do(Outcome{ID: id, Attempt: 1, Server: again[0].Server, Code: Error,
			Latency: 5 * ms}); len(of[Send](acts)) != 0 {
			t.Errorf("%s: %v with its group removed", class, acts)
		}
	}
}

// The state of a server outside the subset is kept while an attempt is in flight there, a verdict is in
// force, or the server is known to be slow, and is dropped afterwards.
func TestStateOutsideSubsetIsDropped(t *testing.T) {
	set := baseSettings()
	set.Gateways = plannedGateways
	w := newHarness(t, set, zonedServers(plannedServers, plannedZones))
	var outside ServerID
	for id := ServerID(1); outside == 0; id++ {
		if !members(w.g)[id] {
			outside = id
		}
	}
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: uint32(outside), OutOfUse: 1,
		RelativeLatency: encodeRelativeLatency(4)})})
	if s := w.g.trackedByID[outside]; s == nil || !s.health[0].outOfUse {
		t.Fatalf("state %+v of a server under a verdict", s)
	}
	w.advance(verdictLifetime - time.Second)
	if w.g.trackedByID[outside] == nil {
		t.Error("state dropped while a verdict was in force")
	}
	w.advance(2 * time.Minute)
	if s := w.g.trackedByID[outside]; s != nil {
		t.Errorf("state %+v is still kept", s)
	}
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: plannedServers + 1, OutOfUse: 1,
		RelativeLatency: encodeRelativeLatency(4)})})
	if len(w.g.trackedByID) > maxSubsetSize {
		t.Errorf("%d servers tracked, one of them not in the list", len(w.g.trackedByID))
	}
}

// At any number of gateways, each of them monitors about as many servers.
func TestMonitorsAreSpread(t *testing.T) {
	for _, gateways := range []int{300, plannedGateways} {
		g := newGatewayWithList(t, listOf(nil), 0, gateways)
		monitored := make([]int, gateways)
		for _, s := range zonedServers(plannedServers, 1) {
			w := g.monitors(s.ID)
			monitored[w[0]]++
			if w[0] == w[1] {
				t.Fatalf("both monitors of server %d are the same", s.ID)
			}
		}
		mean := plannedServers / gateways
		for num, n := range monitored {
			if n < mean/2 || n > mean*2 {
				t.Fatalf("%d gateways: number %d monitors %d servers, the mean is %d", gateways, num, n, mean)
			}
		}
	}
}
