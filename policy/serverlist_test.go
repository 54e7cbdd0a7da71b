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

// spreadOut returns the lines of n servers in so many zones, two to a cell.
func spreadOut(n, zones int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Zone: fmt.Sprint("zone ", i%zones), Cell: i / 2, Weight: 1}
	}
	return list
}

// ranked holds what a sorted slice holds, at the same ranks, whatever was inserted and removed
// before, and looks at a number of entries that grows with the logarithm.
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

func TestRankedVisitsFewEntries(t *testing.T) {
	for _, n := range []int{200, 2000, plannedServers} {
		set := newRanked()
		for i := range n {
			set.insert(ServerID(i + 1))
		}
		most := 5 * math.Log2(float64(n))
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
			if mean := float64(set.visits-before) / 1000; mean > most {
				t.Errorf("%s visits %.0f of %d entries, %.0f at most", op.name, mean, n, most)
			}
		}
	}
}

// recount works out by a walk what a list keeps as sums and orders.
func recount(t *testing.T, l *serverList, model map[ServerID]Server) {
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
			t.Fatalf("line %+v, want %+v", got, s)
		}
	}
	if l.len() != len(model) || l.running != running || math.Abs(l.weight-weight) > 1e-6 || len(l.zones) != len(listed) {
		t.Fatalf("%d lines, %d running, weight %v, %d zones; want %d, %d, %v, %d", l.len(), l.running, l.weight,
			len(l.zones), len(model), running, weight, len(listed))
	}
	same := func(set *ranked, want []ServerID) {
		slices.Sort(want)
		if set.len() != len(want) {
			t.Fatalf("%d servers in order, want %d", set.len(), len(want))
		}
		for rank, id := range want {
			if set.at(rank) != id {
				t.Fatalf("%d at rank %d, want %d", set.at(rank), rank, id)
			}
		}
	}
	for _, z := range l.zones {
		if z.servers != listed[z.name] {
			t.Fatalf("zone %s: %d lines, want %d", z.name, z.servers, listed[z.name])
		}
		same(z.running, zones[z.name])
	}
	if len(l.cells) != len(cells) {
		t.Fatalf("%d cells, want %d", len(l.cells), len(cells))
	}
	for cell, want := range cells {
		same(l.cells[cell], want)
	}
}

// After any events the list's sums and orders are those that a walk over all servers finds, and
// a gateway's working set is what is worked out from all servers in one go.
func TestServerListAgainstAWalk(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := base()
		set.Gateways, set.Self = 300, rng.IntN(300)
		w := newWorld(t, set, nil)
		model := map[ServerID]Server{}
		draw := func() Server {
			id := ServerID(rng.IntN(400) + 1)
			return Server{ID: id, Zone: fmt.Sprint(rng.IntN(4)), Cell: rng.IntN(30), State: State(rng.IntN(3)), HasStart: rng.IntN(2) == 0,
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
			recount(t, w.g.allServers, model)
			if w.g.runningServers != w.g.allServers.running || w.g.meanWeight != w.g.allServers.meanWeight() {
				t.Fatalf("the gateway goes by %d running of weight %v", w.g.runningServers, w.g.meanWeight)
			}
			checkWorkingSet(t, w.g)
			if rng.IntN(4) == 0 {
				checkWiderRuns(t, w.g)
				checkWorkingSet(t, w.g)
			}
			if rng.IntN(4) == 0 {
				w.pass(time.Second)
				checkWorkingSet(t, w.g)
			}
		}
	}
}

// walkedRuns works a set so many times as large as a gateway's out from all running servers.
func walkedRuns(g *Gateway, times float64) (want []ServerID) {
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
		part := g.subsetSize() * n / float64(g.runningServers) * times
		for i := int(first); i < min(int(first+part), int(first)+len(ids)); i++ {
			want = append(want, ids[i%len(ids)])
		}
	}
	slices.Sort(want)
	return want
}

// checkWiderRuns sees that a wider set is the working set's runs made longer, without the
// cold servers that others keep to.
func checkWiderRuns(t *testing.T, g *Gateway) {
	t.Helper()
	var got []ServerID
	for _, s := range g.widerSubset() {
		got = append(got, s.ID)
	}
	want := slices.DeleteFunc(walkedRuns(g, widerSubsetFactor), func(id ServerID) bool {
		s := g.trackedByID[id]
		return g.warmUpFraction(s) < 1 && !slices.Contains(g.subset, s)
	})
	if !slices.Equal(got, want) {
		t.Fatalf("wider set %v, want %v", got, want)
	}
}

// checkWorkingSet works a gateway's set out from all running servers, sorted anew, and sees
// that the state here is the set's and what is of use beyond.
func checkWorkingSet(t *testing.T, g *Gateway) {
	t.Helper()
	want := walkedRuns(g, 1)
	var got []ServerID
	for _, s := range g.subset {
		got = append(got, s.ID)
		if g.trackedByID[s.ID] != s || s.State != Running {
			t.Fatalf("server %d of the set is not known, or in state %v", s.ID, s.State)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("set %v, want %v", got, want)
	}
	if len(g.tracked) != len(g.trackedByID) || !slices.IsSortedFunc(g.tracked, func(a, b *server) int { return int(a.ID) - int(b.ID) }) {
		t.Fatalf("%d servers in order, %d by ID", len(g.tracked), len(g.trackedByID))
	}
}

// A line costs some tens of bytes, and state is made for the working set alone.
func TestBytesOfAServer(t *testing.T) {
	set := base()
	set.Gateways = plannedGateways
	list := spreadOut(plannedServers, plannedZones)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newWorld(t, set, list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(after.HeapAlloc-before.HeapAlloc) / plannedServers
	t.Logf("%.0f bytes a server", each)
	if each > 200 {
		t.Errorf("%.0f bytes a server, 200 at most", each)
	}
	if n := len(w.g.tracked); n > maxSubsetSize {
		t.Errorf("state of %d servers", n)
	}
	runtime.KeepAlive(list)
}
