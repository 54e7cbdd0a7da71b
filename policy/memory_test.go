package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// clerk keeps one customer's token bucket as the platform does, and so knows what a
// gateway lets in beyond it.
type clerk struct {
	plan   Plan
	store  float64
	at     time.Duration
	beyond float64
}

func (c *clerk) take(now time.Duration, units float64) {
	c.store = min(c.plan.Burst, c.store+c.plan.Rate*(now-c.at).Seconds())
	c.at = now
	if c.store < units-1e-6 { // sums of fractions
		c.beyond += units
		return
	}
	c.store -= units
}

// outage plays a gateway that keeps snapshots, ends at a moment drawn anew, by a
// crash or a planned stop, and starts again from the last of them. It returns the
// units let in and those beyond the quota.
func outage(t testing.TB, seed uint64, crash, kept bool, hunger float64) (in, beyond float64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	s := base()
	s.Gateways = 1
	book := &clerk{plan: s.Plans[1], store: s.Plans[1].Burst, at: time.Second}
	w := newWorld(t, s, fleet(8))
	stop := w.now + time.Duration(rng.Int64N(int64(4*time.Second))) + time.Second
	down := time.Duration(rng.Int64N(int64(2 * time.Second)))
	var last SavedState
	var lastAt, ended time.Duration
	for end := stop + down + 5*time.Second; w.now < end; w.now += 10 * ms {
		if ended == 0 && w.now >= stop {
			ended = w.now
			if !crash {
				last, lastAt = w.g.SaveState(w.now, true), w.now
			}
			ids := w.ids
			w.now += down
			now := w.now
			w = newWorld(t, s, nil)
			w.ids, w.now = ids, now
			g, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			w.g = g
			w.do(ServerListUpdate{Kind: StoredList, Servers: fleet(8)})
			if kept {
				w.do(Restore{SavedState: last, Elapsed: w.now - lastAt, Clean: !crash})
			}
		}
		if ended == 0 && (w.now/ms)%1000 == 0 {
			last, lastAt = w.g.SaveState(w.now, true), w.now
		}
		if (w.now/ms)%20 == 0 {
			w.do(Timer{Token: "tick"})
		}
		if rng.Float64() < hunger/100 {
			_, acts := w.ask("safe", "rate", "c", 1)
			for _, x := range of[Send](acts) {
				book.take(w.now, 1)
				in++
				w.end(x, 0, OK)
			}
		}
	}
	return in, book.beyond
}

// What is restored never lets in more than a process that had not ended: whenever
// the end comes, of whichever kind, nothing goes beyond the quota. Without a
// snapshot it does, which shows that the test can fail.
func TestRestoredStoreGrantsNothingTwice(t *testing.T) {
	for _, crash := range []bool{true, false} {
		without := 0.0
		for seed := range uint64(100) {
			for _, hunger := range []float64{3, 12, 50} {
				if _, beyond := outage(t, seed, crash, true, hunger); beyond > 0 {
					t.Fatalf("seed %d, crash %v, %v a second asked: %v units beyond the quota", seed, crash, hunger, beyond)
				}
				_, beyond := outage(t, seed, crash, false, hunger)
				without += beyond
			}
		}
		if without == 0 {
			t.Error("nothing goes beyond the quota without a snapshot either")
		}
	}
}

// A planned stop hands the token buckets on whole: what was left may be used at once,
// and the time since fills it, up to the burst; a clock that went backwards fills
// nothing.
func TestStoreAfterPlannedStop(t *testing.T) {
	s := base()
	s.Gateways = 1
	for _, c := range []struct {
		elapsed time.Duration
		want    int
	}{{0, 4}, {200 * ms, 6}, {time.Hour, 10}, {-time.Hour, 4}} {
		w := newWorld(t, s, fleet(8))
		w.do(Restore{SavedState: SavedState{Tokens: map[uint64]float64{customerKey("c"): 4}}, Elapsed: c.elapsed, Clean: true})
		if n := w.spend(20, "rate"); n != c.want {
			t.Errorf("%d units at once after %v, want %d", n, c.elapsed, c.want)
		}
		w.ids++
		if acts := w.do(Request{ID: w.ids, Customer: "other", Plan: "rate", Class: "safe", Units: 10, Remaining: time.Second, Spread: 1}); len(of[Send](acts)) != 1 {
			t.Errorf("%v for a customer whose store was full", acts)
		}
	}
}

// A customer that is new after a crash may have been new before it too.
func TestUnknownCustomerAfterCrash(t *testing.T) {
	s := base()
	s.Gateways = 1
	w := newWorld(t, s, fleet(8))
	w.do(Restore{})
	if n := w.spend(5, "rate"); n != 0 {
		t.Errorf("%d units at once", n)
	}
	w.pass(500 * ms)
	if n := w.spend(20, "rate"); n != 5 {
		t.Errorf("%d units after half a second at 10 a second", n)
	}
	w.pass(2 * time.Second)
	w.ids++
	if acts := w.do(Request{ID: w.ids, Customer: "late", Plan: "rate", Class: "safe", Units: 10, Remaining: time.Second, Spread: 1}); len(of[Send](acts)) != 1 {
		t.Errorf("%v for a customer that is new once a store has had time to fill", acts)
	}
}

// What was known of a server is worn by its age and void for another process;
// figures that can't have been are held to what can.
func TestServersRemembered(t *testing.T) {
	started := fleet(3)
	for i := range started {
		started[i].HasStart, started[i].Start = true, time.Duration(i+1)*ms
	}
	known := func(start time.Duration, slow float64) []SavedServer {
		return []SavedServer{{ID: 1, HasStart: true, Start: start, RelativeLatency: slow, MonitoredLatency: slow,
			Health: []SavedHealth{{Class: "safe", FailureAverage: 0.8, OutOfUseFor: 3 * time.Second}, {Class: "gone", FailureAverage: 1}}}}
	}
	for _, c := range []struct {
		name     string
		mem      []SavedServer
		elapsed  time.Duration
		low, top float64
		bad      bool
	}{
		{"at once", known(ms, 4), 0, 4, 4, true},
		{"a while later", known(ms, 4), 5 * time.Second, 2, 3.5, false},
		{"far later", known(ms, 4), 10 * time.Minute, 1, 1, false},
		{"another process", known(7*ms, 4), 0, 1, 1, false},
		{"clock back", known(ms, 4), -time.Hour, 4, 4, true},
		{"not a number", known(ms, math.NaN()), 0, 1, 1, true},
		{"huge", known(ms, math.Inf(1)), 0, maxRelativeLatency, maxRelativeLatency, true},
		{"another server", []SavedServer{{ID: 9, RelativeLatency: 5}}, 0, 1, 1, false},
	} {
		w := newWorld(t, base(), started)
		w.do(Restore{SavedState: SavedState{Servers: c.mem}, Elapsed: c.elapsed})
		s := w.g.trackedByID[1]
		if s.relativeLatency < c.low || s.relativeLatency > c.top || s.monitoredLatency < c.low || s.monitoredLatency > c.top || s.health[0].outOfUse != c.bad {
			t.Errorf("%s: slow %v, pace %v, bad %v", c.name, s.relativeLatency, s.monitoredLatency, s.health[0].outOfUse)
		}
	}
}

// SaveState returns a copy: what the gateway does next does not show in it.
func TestMemoryIsACopy(t *testing.T) {
	w := newWorld(t, base(), fleet(3))
	w.spend(3, "rate")
	w.g.trackedByID[2].health[0] = classHealth{failureAverage: 0.5, outOfUse: true, outOfUseUntil: w.now + time.Second}
	m := w.g.SaveState(w.now, true)
	before := fmt.Sprintf("%+v", m)
	w.spend(3, "rate")
	w.g.trackedByID[2].health[0].failureAverage = 1
	if after := fmt.Sprintf("%+v", m); after != before || len(m.Tokens) != 1 || len(m.Servers) != 3 {
		t.Errorf("%s\n%s", before, after)
	}
	if m := w.g.SaveState(w.now, false); m.Tokens != nil {
		t.Errorf("%v", m.Tokens)
	}
}

// The token buckets that were kept are let go once they could tell nothing more.
func TestKeptStoresAreLetGo(t *testing.T) {
	w := newWorld(t, base(), fleet(3))
	w.do(Restore{SavedState: SavedState{Tokens: map[uint64]float64{1: 2}}, Clean: true})
	w.pass(900 * ms)
	if w.g.restoredTokens == nil {
		t.Error("let go while a store may not be full")
	}
	w.pass(2 * time.Second)
	if w.g.restoredTokens != nil {
		t.Error("kept for good")
	}
}

// BenchmarkReconfigure is the longest stop of the loop at a reload: 10,000
// customers known, 200 servers, and tables that change each time.
func BenchmarkReconfigure(b *testing.B) {
	for _, gateways := range []int{1, 300} {
		b.Run(fmt.Sprint(gateways, " gateways"), func(b *testing.B) {
			s := base()
			s.Gateways = gateways
			g, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			g.Handle(time.Second, ServerListUpdate{Kind: StoredList, Servers: fleet(200)}, nil)
			for i := range 10000 {
				g.newCustomer(uint64(i)<<20, g.plans["rate"], i%gateways, min(gateways, 4))
			}
			n := newer(s)
			b.ReportAllocs()
			for i := range b.N {
				set := s
				if i%2 == 0 {
					set = n
				}
				g.Handle(time.Second+time.Duration(i), Reconfigure{set}, nil)
			}
		})
	}
}

// BenchmarkMemory is what the loop spends on a copy of its state.
func BenchmarkMemory(b *testing.B) {
	for _, stores := range []bool{false, true} {
		b.Run(fmt.Sprint("stores ", stores), func(b *testing.B) {
			s := base()
			s.Gateways = 1
			g, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			g.Handle(time.Second, ServerListUpdate{Kind: StoredList, Servers: fleet(200)}, nil)
			for i := range 10000 {
				g.newCustomer(uint64(i)<<20, g.plans["rate"], 0, 1).tokens = 1
			}
			b.ReportAllocs()
			for range b.N {
				g.SaveState(time.Second, stores)
			}
		})
	}
}

// BenchmarkOutage tells the units let in, and those beyond the quota, over an end
// at a random moment, by what the next start knows.
func BenchmarkOutage(b *testing.B) {
	for _, c := range []struct {
		name        string
		crash, kept bool
	}{{"crash without", true, false}, {"crash with", true, true}, {"stop without", false, false}, {"stop with", false, true}} {
		for _, hunger := range []float64{6, 50} {
			b.Run(fmt.Sprintf("%s/asked %v a second", c.name, hunger), func(b *testing.B) {
				in, beyond, worst := 0.0, 0.0, 0.0
				for i := range b.N {
					n, x := outage(b, uint64(i), c.crash, c.kept, hunger)
					in, beyond, worst = in+n, beyond+x, max(worst, x)
				}
				b.ReportMetric(in/float64(b.N), "units")
				b.ReportMetric(beyond/float64(b.N), "units-beyond")
				b.ReportMetric(worst, "units-beyond-worst")
			})
		}
	}
}
