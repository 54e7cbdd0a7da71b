package policy

import (
	"math"
	"testing"
	"time"
)

// sharing returns a gateway that goes by a list which others use too.
func sharing(t testing.TB, l *serverList, me, gateways int) *Gateway {
	t.Helper()
	set := base()
	set.Self, set.Gateways = me, gateways
	g, err := New(set, uint64(me))
	if err != nil {
		t.Fatal(err)
	}
	g.allServers, g.runningServers, g.meanWeight = l, l.running, l.meanWeight()
	g.chooseSubset()
	return g
}

// listOf is a list with the given lines.
func listOf(servers []Server) *serverList {
	l := newServerList()
	for _, s := range servers {
		l.put(s)
	}
	return l
}

var fleetSizes = []struct{ gateways, servers, zones int }{
	{40, 60, 1}, {80, 60, 3}, {300, 200, 4}, {6200, 2000, 18}, {plannedGateways, plannedServers, plannedZones},
}

// All servers are in as many sets, and no set is in one zone alone.
func TestWorkingSetsAreBalanced(t *testing.T) {
	for _, size := range fleetSizes {
		l := listOf(spreadOut(size.servers, size.zones))
		sets := map[ServerID]int{}
		least, most := math.MaxInt, 0
		for me := range size.gateways {
			g := sharing(t, l, me, size.gateways)
			zones := map[string]bool{}
			for _, s := range g.subset {
				sets[s.ID]++
				zones[s.Zone] = true
			}
			least, most = min(least, len(g.subset)), max(most, len(g.subset))
			if len(zones) < min(size.zones, 2) {
				t.Fatalf("%+v: set of gateway %d in %d zones", size, me, len(zones))
			}
		}
		fewest, maxSets := math.MaxInt, 0
		for _, n := range sets {
			fewest, maxSets = min(fewest, n), max(maxSets, n)
		}
		want := sharing(t, l, 0, size.gateways).subsetSize() * float64(size.gateways) / float64(size.servers)
		t.Logf("%+v: sets of %d to %d servers, each server in %d to %d sets, evenly in %.1f", size, least, most, fewest, maxSets, want)
		if len(sets) != size.servers || float64(fewest) < want-3 || float64(maxSets) > want+3 {
			t.Errorf("%+v: %d servers in %d to %d sets, evenly they would be in %.1f", size, len(sets), fewest, maxSets, want)
		}
	}
}

// members are the IDs of a gateway's set.
func members(g *Gateway) map[ServerID]bool {
	ids := map[ServerID]bool{}
	for _, s := range g.subset {
		ids[s.ID] = true
	}
	return ids
}

// newcomers counts the members of a set that were not in it before.
func newcomers(before, after map[ServerID]bool) (n int) {
	for id := range after {
		if !before[id] {
			n++
		}
	}
	return n
}

// One server that comes, goes, drains or is replaced moves a few members of any set. A zone
// that is lost takes its own members, and its place is taken by more of the others.
func TestWorkingSetsMoveLittle(t *testing.T) {
	const maxMoved = 2
	for _, size := range fleetSizes[1:] {
		servers := spreadOut(size.servers, size.zones)
		g := sharing(t, listOf(servers), size.gateways/3, size.gateways)
		change := func(m Server) int {
			before := members(g)
			g.Handle(time.Second, ServerListUpdate{Kind: Changes, Servers: []Server{m}}, nil)
			return newcomers(before, members(g))
		}
		most, sum := 0, 0
		for i := range 400 {
			m := servers[i*7919%size.servers]
			switch i % 4 {
			case 0:
				m.State = Removed
			case 1:
				m.State = Draining
			case 2:
				m.ID += ServerID(size.servers) // another in its place
			}
			n := change(m)
			most, sum = max(most, n), sum+n
		}
		t.Logf("%+v: %d members moved in 400 changes, %d at most in one", size, sum, most)
		if most > maxMoved {
			t.Errorf("%+v: %d members moved at one change", size, most)
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
				t.Errorf("%+v: server %d of %s has left the set with zone 1", size, id, s.Zone)
			}
		}
		if moved := newcomers(before, after); float64(moved) > g.subsetSize()/float64(size.zones)+float64(size.zones) {
			t.Errorf("%+v: %d newcomers for a zone lost", size, moved)
		}
	}
}

// looked counts the servers that a gateway looks at while something is done.
func looked(g *Gateway, do func()) (n int) {
	g.onInspect = func(servers int) { n += servers }
	defer func() { g.onInspect = nil }()
	do()
	return n
}

// entries is how many entries of its orders a list has looked at.
func (l *serverList) entries() (n int) {
	for _, z := range l.zones {
		n += z.running.visits
	}
	for _, cell := range l.cells {
		n += cell.visits
	}
	return n
}

// What a request, a tick and a change of the list look at does not grow with the fleet.
func TestWorkOfALargeFleetIsBounded(t *testing.T) {
	for _, n := range []int{200, 2000, plannedServers} {
		set := base()
		set.Gateways = plannedGateways
		servers := spreadOut(n, plannedZones)
		w := newWorld(t, set, servers)
		request := looked(w.g, func() { w.ask("safe", "free", "c", 1) })
		tick := looked(w.g, func() { w.pass(w.g.tick) })
		before := w.g.allServers.entries()
		changed := servers[n/2]
		changed.State = Draining
		w.do(ServerListUpdate{Kind: Changes, Servers: []Server{changed}})
		entries := w.g.allServers.entries() - before
		t.Logf("%d servers: %d for a request, %d for a tick, %d entries for a change", n, request, tick, entries)
		if request == 0 || request > maxSubsetSize || tick > 2*maxSubsetSize {
			t.Errorf("%d servers: %d looked at for a request, %d for a tick", n, request, tick)
		}
		if most := maxSubsetSize * 5 * math.Log2(float64(n)); float64(entries) > most {
			t.Errorf("%d servers: %d entries looked at for a change, %.0f at most", n, entries, most)
		}
	}
}

// condemned has a verdict against each server of the set, as it is then.
func condemned(w *world) {
	for _, s := range w.g.subset {
		condemn(w, s.ID)
	}
}

// condemn has a verdict against a server.
func condemn(w *world, id ServerID) {
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: uint32(id), OutOfUse: 0xff, RelativeLatency: encodeRelativeLatency(1)})})
}

// While so many servers are out of use that they are used all the same, a gateway uses all of its
// set. In a release of six in ten servers, when their connections come up late, verdicts had most
// of the fleet out of use for the class with the shortest latency target. A gateway that went by its own set
// alone saw a few left in it, while none left would have been needed, and sent them all it had: on
// join+mass 592 to 718 of 2,065 to 2,377 choices a second were among three servers or fewer (250 of
// 2,200 before gateways kept to sets), these timed out, and verdicts took them out of use as well.
func TestLastFewOfASetAreNotOverrun(t *testing.T) {
	for _, c := range []struct {
		outOfUse float64 // of the fleet
		all      bool    // are used
	}{{0.85, true}, {0.5, false}} {
		set := base()
		set.Gateways, set.CanCancel = 300, false
		servers := fleet(200)
		w := newWorld(t, set, servers)
		for i, s := range servers {
			if float64(i*37%100) < c.outOfUse*100 {
				condemn(w, s.ID)
			}
		}
		sent := map[ServerID]int{}
		for range 400 {
			w.now += 2 * ms
			id, acts := w.ask("safe", "free", "c", 1)
			for _, s := range of[Send](acts) {
				sent[s.Server]++
				w.do(Outcome{ID: id, Server: s.Server, Code: OK, Latency: 50 * ms, Answered: true})
			}
		}
		most, usedOutOfUse := 0, 0
		for id, n := range sent {
			most = max(most, n)
			if w.g.outOfUse(w.g.trackedByID[id], w.g.classes["safe"]) {
				usedOutOfUse++
			}
		}
		if c.all && (most > 60 || len(sent) < 18) || !c.all && usedOutOfUse > 0 {
			t.Errorf("%v out of use: %d servers got requests, %d of them out of use, one %d of 400", c.outOfUse, len(sent), usedOutOfUse, most)
		}
	}
}

// Where none of the set can be used, whyever, a request goes elsewhere, in bounded work; the set
// stays as it is, and what was looked at beyond it is forgotten.
func TestRequestGoesBeyondABadSet(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(w *world)
	}{
		{"out of use", condemned},
		{"turning a plan away", func(w *world) {
			for _, s := range w.g.subset {
				s.fullUntil[w.g.plans["free"]] = w.now + time.Hour
			}
		}},
		{"cold, with nothing left of the budget", func(w *world) {
			for _, s := range w.g.subset {
				s.HasStart, s.Start = true, w.now
				for range 100 {
					s.recentSends = append(s.recentSends, w.now)
				}
			}
		}},
	} {
		set := base()
		set.Gateways = plannedGateways
		w := newWorld(t, set, spreadOut(plannedServers, plannedZones))
		inner := members(w.g)
		c.bad(w)
		var sends []Send
		if n := looked(w.g, func() {
			_, acts := w.ask("safe", "free", "c", 1)
			sends = of[Send](acts)
		}); n > maxSubsetSize*(widerSubsetFactor+1) {
			t.Errorf("%s: %d looked at", c.name, n)
		}
		if len(sends) != 1 || inner[sends[0].Server] || newcomers(inner, members(w.g)) != 0 {
			t.Errorf("%s: %v sent, %d others in the set", c.name, sends, newcomers(inner, members(w.g)))
		}
		w.now += 30 * time.Second // verdicts have lapsed
		for _, s := range w.g.subset {
			clear(s.fullUntil)
			s.HasStart, s.recentSends = false, nil
		}
		for range 20 {
			w.pass(500 * ms)
			w.ask("safe", "free", "c", 1)
		}
		if _, acts := w.ask("safe", "free", "c", 1); len(of[Send](acts)) != 1 || !inner[of[Send](acts)[0].Server] {
			t.Errorf("%s: %v with all of the set good again", c.name, acts)
		}
		if newcomers(inner, members(w.g)) != 0 {
			t.Errorf("%s: %d of %d others in the set", c.name, newcomers(inner, members(w.g)), len(inner))
		}
		if len(w.g.tracked) > 2*maxSubsetSize {
			t.Errorf("%s: state of %d servers is kept", c.name, len(w.g.tracked))
		}
	}
}

// With all of the wider set out of use, the servers of the set are used all the same, and no more
// is looked at; a set that drains is another at once.
func TestNoWalkOverABadFleet(t *testing.T) {
	set := base()
	set.Gateways = plannedGateways
	servers := spreadOut(plannedServers, plannedZones)
	w := newWorld(t, set, servers)
	for _, s := range w.g.widerSubset() {
		condemn(w, s.ID)
	}
	n := looked(w.g, func() {
		if _, acts := w.ask("safe", "free", "c", 1); len(of[Send](acts)) != 1 || !members(w.g)[of[Send](acts)[0].Server] {
			t.Errorf("%v with all of the set and more out of use", acts)
		}
	})
	if n > maxSubsetSize*(widerSubsetFactor+1) {
		t.Errorf("%d looked at", n)
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
			t.Errorf("server %d drains and is in the set", id)
		}
	}
}

// A repeat of a request that may have run goes where its class lets it: among 56,000 servers
// the few others of a cell, or of a zone, are found without a walk.
func TestRepeatStaysInItsGroup(t *testing.T) {
	for _, class := range []string{"cell", "zone"} {
		set := base()
		set.Gateways = plannedGateways
		set.Classes = append(set.Classes, Class{Name: "zone", LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed, Group: GroupZone,
			Window: 2 * time.Second})
		servers := spreadOut(plannedServers, plannedZones)
		for i := range servers {
			// four of a zone
			servers[i].Cell = i%plannedZones + plannedZones*(i/plannedZones/4)
		}
		w := newWorld(t, set, servers)
		id, acts := w.ask(class, "free", "c", 1)
		first := of[Send](acts)[0]
		n := looked(w.g, func() { acts = w.do(Outcome{ID: id, Server: first.Server, Code: Error, Latency: 5 * ms}) })
		again := of[Send](acts)
		if len(again) != 1 || again[0].Server == first.Server {
			t.Fatalf("%s: %v after server %d", class, acts, first.Server)
		}
		a, b := servers[first.Server-1], servers[again[0].Server-1]
		if a.Zone != b.Zone || class == "cell" && a.Cell != b.Cell {
			t.Errorf("%s: sent to %+v after %+v", class, b, a)
		}
		if n > maxSubsetSize {
			t.Errorf("%s: %d looked at", class, n)
		}
		// With the whole group out of use, and no server of it left, nothing goes elsewhere.
		gone := ServerListUpdate{Kind: Changes}
		for _, s := range servers {
			if class == "cell" && s.Cell == a.Cell || class == "zone" && s.Zone == a.Zone {
				s.State = Removed
				gone.Servers = append(gone.Servers, s)
			}
		}
		w.do(gone)
		if acts = w.do(Outcome{ID: id, Attempt: 1, Server: again[0].Server, Code: Error, Latency: 5 * ms}); len(of[Send](acts)) != 0 {
			t.Errorf("%s: %v with its group gone", class, acts)
		}
	}
}

// State of a server outside the set is kept while it is of use: an attempt is out, a verdict
// holds, or it is known to be slow; and dropped then.
func TestStateOutsideTheSetIsDropped(t *testing.T) {
	set := base()
	set.Gateways = plannedGateways
	w := newWorld(t, set, spreadOut(plannedServers, plannedZones))
	var outside ServerID
	for id := ServerID(1); outside == 0; id++ {
		if !members(w.g)[id] {
			outside = id
		}
	}
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: uint32(outside), OutOfUse: 1, RelativeLatency: encodeRelativeLatency(4)})})
	if s := w.g.trackedByID[outside]; s == nil || !s.health[0].outOfUse {
		t.Fatalf("%+v of a server under a verdict", s)
	}
	w.pass(verdictLifetime - time.Second)
	if w.g.trackedByID[outside] == nil {
		t.Error("state dropped under a verdict")
	}
	w.pass(2 * time.Minute)
	if s := w.g.trackedByID[outside]; s != nil {
		t.Errorf("%+v kept for nothing", s)
	}
	w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: plannedServers + 1, OutOfUse: 1, RelativeLatency: encodeRelativeLatency(4)})})
	if len(w.g.trackedByID) > maxSubsetSize {
		t.Errorf("state of %d servers, one of none in the list", len(w.g.trackedByID))
	}
}

// However many gateways there are, servers are watched by all of them alike.
func TestWatchersAreSpread(t *testing.T) {
	for _, gateways := range []int{300, plannedGateways} {
		g := sharing(t, listOf(nil), 0, gateways)
		watched := make([]int, gateways)
		for _, s := range spreadOut(plannedServers, 1) {
			w := g.monitors(s.ID)
			watched[w[0]]++
			if w[0] == w[1] {
				t.Fatalf("server %d has one watcher twice", s.ID)
			}
		}
		mean := plannedServers / gateways
		for me, n := range watched {
			if n < mean/2 || n > mean*2 {
				t.Fatalf("%d gateways: number %d watches %d servers, the mean is %d", gateways, me, n, mean)
			}
		}
	}
}
