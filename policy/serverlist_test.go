package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// plannedServers, plannedGateways and plannedZones are the planned size of the fleet.
const plannedServers, plannedGateways, plannedZones = 56000, 6200, 18

// zonedServers returns n servers spread over the zones, two in each cell.
func zonedServers(n, zones int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: fmt.Sprint("zone ", i%zones), Cell: i / 2, Weight: 1}
	}
	return list
}

// After any insertions and removals, ranked holds the same IDs at the same ranks as a sorted slice.
func TestRankedAgainstASortedSlice(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set, model := newRanked(), map[ServerID]bool{}
		for range 3000 {
			id := ServerID(rng.IntN(500))
			if model[id] {
				set.remove(id)
				delete(model, id)
			} else {
				set.insert(id)
				model[id] = true
			}
			if set.len() != len(model) {
				t.Fatalf("seed %d: %d of %d servers", seed, set.len(), len(model))
			}
		}
		var sorted []ServerID
		for id := range model {
			sorted = append(sorted, id)
		}
		slices.Sort(sorted)
		for rank, id := range sorted {
			if got := set.at(rank); got != id {
				t.Fatalf("seed %d: %d at rank %d, want %d", seed, got, rank, id)
			}
		}
		if len(set.entries) > 501 {
			t.Errorf("seed %d: %d entries for 500 servers", seed, len(set.entries))
		}
	}
}

// The number of entries that an operation of ranked visits grows with the logarithm of their number.
func TestRankedVisitsFewEntries(t *testing.T) {
	for _, n := range []int{200, 2000, plannedServers} {
		set := newRanked()
		for i := range n {
			set.insert(ServerID(i + 1))
		}
		maxVisits := 5 * math.Log2(float64(n))
		for _, op := range []struct {
			name string
			do   func(i int)
		}{
			{"at", func(i int) { set.at(i * 7919 % n) }},
			{"remove and insert", func(i int) {
				id := ServerID(i*7919%n + 1)
				set.remove(id)
				set.insert(id)
			}},
		} {
			before := set.visits
			for i := range 1000 {
				op.do(i)
			}
			if mean := float64(set.visits-before) / 1000; mean > maxVisits {
				t.Errorf("%s visits %.0f of %d entries, want at most %.0f", op.name, mean, n, maxVisits)
			}
		}
	}
}

// compareWithRecount compares a list's sums and ranked sets with those computed from all servers.
func compareWithRecount(t *testing.T, l *serverList, model map[ServerID]Server) {
	t.Helper()
	running, weight := 0, 0.0
	zones, cells := map[string][]ServerID{}, map[int][]ServerID{}
	listed := map[string]int{}
	for id, s := range model {
		weight += s.Weight
		listed[s.Zone]++
		if s.State == Running {
			running++
			zones[s.Zone] = append(zones[s.Zone], id)
			cells[s.Cell] = append(cells[s.Cell], id)
		}
		if got, ok := l.find(id); !ok || got != s {
			t.Fatalf("entry %+v, want %+v", got, s)
		}
	}
	if l.len() != len(model) || l.running != running || math.Abs(l.weight-weight) > 1e-6 ||
		len(l.zones) != len(listed) {
		t.Fatalf("%d entries, %d running, weight %v, %d zones; want %d, %d, %v, %d", l.len(), l.running,
			l.weight, len(l.zones), len(model), running, weight, len(listed))
	}
	compareRanked := func(set *ranked, want []ServerID) {
		slices.Sort(want)
		if set.len() != len(want) {
			t.Fatalf("%d servers in a ranked set, want %d", set.len(), len(want))
		}
		for rank, id := range want {
			if set.at(rank) != id {
				t.Fatalf("%d at rank %d, want %d", set.at(rank), rank, id)
			}
		}
	}
	for _, z := range l.zones {
		if z.servers != listed[z.name] {
			t.Fatalf("zone %s: %d servers, want %d", z.name, z.servers, listed[z.name])
		}
		compareRanked(z.running, zones[z.name])
	}
	if len(l.cells) != len(cells) {
		t.Fatalf("%d cells, want %d", len(l.cells), len(cells))
	}
	for cell, want := range cells {
		compareRanked(l.cells[cell], want)
	}
}

// After any updates, the list's sums and ranked sets, and a gateway's subset, equal those computed from all
// servers at once.
func TestServerListAgainstRecount(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := baseSettings()
		set.Gateways, set.Self = 300, rng.IntN(300)
		w := newHarness(t, set, nil)
		model := map[ServerID]Server{}
		draw := func() Server {
			id := ServerID(rng.IntN(400) + 1)
			return Server{ID: id, Zone: fmt.Sprint(rng.IntN(4)), Cell: rng.IntN(30),
				State: State(rng.IntN(3)), HasStart: rng.IntN(2) == 0,
				Start: time.Duration(rng.IntN(5)) * time.Second, Weight: float64(rng.IntN(9)) / 4}
		}
		for round := range 300 {
			w.now += 10 * ms
			ev := ServerListUpdate{Kind: Changes}
			if round%50 == 0 {
				ev.Kind = FullList
				clear(model)
			}
			for range 1 + rng.IntN(20)*(1+10*int(ev.Kind)) {
				s := draw()
				ev.Servers = append(ev.Servers, s)
				if s.State == Removed {
					delete(model, s.ID)
				} else {
					model[s.ID] = s
				}
			}
			w.do(ev)
			compareWithRecount(t, w.g.allServers, model)
			if w.g.runningServers != w.g.allServers.running || w.g.meanWeight != w.g.allServers.meanWeight() {
				t.Fatalf("the gateway counts %d running servers of mean weight %v", w.g.runningServers,
					w.g.meanWeight)
			}
			checkSubset(t, w.g)
			if rng.IntN(4) == 0 {
				checkWiderSubset(t, w.g)
				checkSubset(t, w.g)
			}
			if rng.IntN(4) == 0 {
				w.advance(time.Second)
				checkSubset(t, w.g)
			}
		}
	}
}

// expectedSubset computes a gateway's subset, enlarged by a factor, from all running servers.
func expectedSubset(g *Gateway, factor float64) (want []ServerID) {
	zones := map[string][]ServerID{}
	for id := range g.allServers.entryByID {
		if s, _ := g.allServers.find(id); s.State == Running {
			zones[s.Zone] = append(zones[s.Zone], id)
		}
	}
	for name, ids := range zones {
		slices.Sort(ids)
		n := float64(len(ids))
		first := g.ringPosition(g.allServers.byZone[name].offset) * n
		part := g.subsetSize() * n / float64(g.runningServers) * factor
		for i := int(first); i < min(int(first+part), int(first)+len(ids)); i++ {
			want = append(want, ids[i%len(ids)])
		}
	}
	slices.Sort(want)
	return want
}

// checkWiderSubset checks that the wider set is the enlarged subset, without the cold servers outside
// the subset.
func checkWiderSubset(t *testing.T, g *Gateway) {
	t.Helper()
	var got []ServerID
	for _, s := range g.widerSubset() {
		got = append(got, s.ID)
	}
	want := slices.DeleteFunc(expectedSubset(g, widerSubsetFactor), func(id ServerID) bool {
		s := g.trackedByID[id]
		return g.warmUpFraction(s) < 1 && !slices.Contains(g.subset, s)
	})
	if !slices.Equal(got, want) {
		t.Fatalf("wider set %v, want %v", got, want)
	}
}

// checkSubset compares a gateway's subset with one computed from all running servers, and checks that its
// servers are tracked and that the tracked servers are in order.
func checkSubset(t *testing.T, g *Gateway) {
	t.Helper()
	want := expectedSubset(g, 1)
	var got []ServerID
	for _, s := range g.subset {
		got = append(got, s.ID)
		if g.trackedByID[s.ID] != s || s.State != Running {
			t.Fatalf("server %d of the subset is not tracked, or is in state %v", s.ID, s.State)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("subset %v, want %v", got, want)
	}
	if len(g.tracked) != len(g.trackedByID) || !slices.IsSortedFunc(g.tracked,
		func(a, b *server) int { return int(a.ID) - int(b.ID) }) {
		t.Fatalf("%d servers in tracked, %d in trackedByID, or tracked is not sorted", len(g.tracked),
			len(g.trackedByID))
	}
}

// An entry of the list takes some tens of bytes, and only servers of the subset are tracked.
func TestBytesOfAServer(t *testing.T) {
	set := baseSettings()
	set.Gateways = plannedGateways
	list := zonedServers(plannedServers, plannedZones)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newHarness(t, set, list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perServer := float64(after.HeapAlloc-before.HeapAlloc) / plannedServers
	t.Logf("%.0f bytes a server", perServer)
	if perServer > 200 {
		t.Errorf("%.0f bytes a server, want at most 200", perServer)
	}
	if n := len(w.g.tracked); n > maxSubsetSize {
		t.Errorf("%d servers tracked", n)
	}
	runtime.KeepAlive(list)
}
