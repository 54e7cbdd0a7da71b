package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// referenceBucket is a reference for one customer's token bucket. It counts the units that a gateway
// admits beyond it.
type referenceBucket struct {
	plan   Plan
	tokens float64
	at     time.Duration
	excess float64
}

func (c *referenceBucket) take(now time.Duration, units float64) {
	c.tokens = min(c.plan.Burst, c.tokens+c.plan.Rate*(now-c.at).Seconds())
	c.at = now
	if c.tokens < units-1e-6 { // tolerates rounding errors
		c.excess += units
		return
	}
	c.tokens -= units
}

// outage simulates a gateway that saves snapshots, ends at a random time by a crash or a planned stop,
// and restarts, from the last snapshot if restore is true. requestRate is in requests a second. It
// returns the units admitted and those admitted beyond the quota.
func outage(t testing.TB, seed uint64, crash, restore bool, requestRate float64) (admitted, excess float64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	s := baseSettings()
	s.Gateways = 1
	reference := &referenceBucket{plan: s.Plans[1], tokens: s.Plans[1].Burst, at: time.Second}
	w := newHarness(t, s, testServers(8))
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
			lastID := w.lastID
			w.now += down
			now := w.now
			w = newHarness(t, s, nil)
			w.lastID, w.now = lastID, now
			g, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			w.g = g
			w.do(ServerListUpdate{Kind: StoredList, Servers: testServers(8)})
			if restore {
				w.do(Restore{SavedState: last, Elapsed: w.now - lastAt, Clean: !crash})
			}
		}
		if ended == 0 && (w.now/ms)%1000 == 0 {
			last, lastAt = w.g.SaveState(w.now, true), w.now
		}
		if (w.now/ms)%20 == 0 {
			w.do(Timer{Token: "tick"})
		}
		if rng.Float64() < requestRate/100 {
			_, acts := w.request("safe", "rate", "c", 1)
			for _, x := range of[Send](acts) {
				reference.take(w.now, 1)
				admitted++
				w.end(x, 0, OK)
			}
		}
	}
	return admitted, reference.excess
}

// A gateway that restores a snapshot admits nothing beyond the quota, whenever and however the process
// before ended. Without a snapshot it does, which shows that the test can fail.
func TestRestoredTokensAreGrantedOnce(t *testing.T) {
	for _, crash := range []bool{true, false} {
		excessWithout := 0.0
		for seed := range uint64(100) {
			for _, requestRate := range []float64{3, 12, 50} {
				if _, excess := outage(t, seed, crash, true, requestRate); excess > 0 {
					t.Fatalf("seed %d, crash %v, %v requests a second: %v units beyond the quota", seed,
						crash, requestRate, excess)
				}
				_, excess := outage(t, seed, crash, false, requestRate)
				excessWithout += excess
			}
		}
		if excessWithout == 0 {
			t.Error("no units beyond the quota without a snapshot either")
		}
	}
}

// A planned stop saves the token buckets completely. The units left can be used at once, and the time since
// refills the bucket up to the burst. A clock that went backwards refills nothing.
func TestTokensAfterPlannedStop(t *testing.T) {
	s := baseSettings()
	s.Gateways = 1
	for _, c := range []struct {
		elapsed time.Duration
		want    int
	}{{0, 4}, {200 * ms, 6}, {time.Hour, 10}, {-time.Hour, 4}} {
		w := newHarness(t, s, testServers(8))
		w.do(Restore{SavedState: SavedState{Tokens: map[uint64]float64{customerKey("c"): 4}},
			Elapsed: c.elapsed, Clean: true})
		if n := w.countAdmitted(20, "rate"); n != c.want {
			t.Errorf("%d units at once after %v, want %d", n, c.elapsed, c.want)
		}
		w.lastID++
		if acts := w.do(Request{ID: w.lastID, Customer: "other", Plan: "rate", Class: "safe", Units: 10,
			Remaining: time.Second, Spread: 1}); len(of[Send](acts)) != 1 {
			t.Errorf("%v for a customer whose token bucket was full", acts)
		}
	}
}

// A customer that is new after a crash may have emptied its token bucket before it, so the bucket starts
// empty.
func TestUnknownCustomerAfterCrash(t *testing.T) {
	s := baseSettings()
	s.Gateways = 1
	w := newHarness(t, s, testServers(8))
	w.do(Restore{})
	if n := w.countAdmitted(5, "rate"); n != 0 {
		t.Errorf("%d units at once", n)
	}
	w.advance(500 * ms)
	if n := w.countAdmitted(20, "rate"); n != 5 {
		t.Errorf("%d units after half a second at 10 a second", n)
	}
	w.advance(2 * time.Second)
	w.lastID++
	if acts := w.do(Request{ID: w.lastID, Customer: "late", Plan: "rate", Class: "safe", Units: 10,
		Remaining: time.Second, Spread: 1}); len(of[Send](acts)) != 1 {
		t.Errorf("%v for a customer that is new after a token bucket's fill time", acts)
	}
}

// Restored state of a server decays with its age and is ignored for another process of the server.
// Values out of range are limited to the valid range.
func TestRestoredServerState(t *testing.T) {
	started := testServers(3)
	for i := range started {
		started[i].HasStart, started[i].Start = true, time.Duration(i+1)*ms
	}
	known := func(start time.Duration, latency float64) []SavedServer {
		return []SavedServer{{ID: 1, HasStart: true, Start: start, RelativeLatency: latency,
			MonitoredLatency: latency,
			Health: []SavedHealth{{Class: "safe", FailureAverage: 0.8, OutOfUseFor: 3 * time.Second},
				{Class: "gone", FailureAverage: 1}}}}
	}
	for _, c := range []struct {
		name                   string
		saved                  []SavedServer
		elapsed                time.Duration
		minLatency, maxLatency float64
		outOfUse               bool
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
		w := newHarness(t, baseSettings(), started)
		w.do(Restore{SavedState: SavedState{Servers: c.saved}, Elapsed: c.elapsed})
		s := w.g.trackedByID[1]
		if s.relativeLatency < c.minLatency || s.relativeLatency > c.maxLatency ||
			s.monitoredLatency < c.minLatency || s.monitoredLatency > c.maxLatency ||
			s.health[0].outOfUse != c.outOfUse {
			t.Errorf("%s: relative latency %v, monitored latency %v, out of use %v", c.name,
				s.relativeLatency, s.monitoredLatency, s.health[0].outOfUse)
		}
	}
}

// SaveState returns a copy, which later events at the gateway don't change.
func TestSavedStateIsACopy(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(3))
	w.countAdmitted(3, "rate")
	w.g.trackedByID[2].health[0] = classHealth{failureAverage: 0.5, outOfUse: true,
		outOfUseUntil: w.now + time.Second}
	m := w.g.SaveState(w.now, true)
	before := fmt.Sprintf("%+v", m)
	w.countAdmitted(3, "rate")
	w.g.trackedByID[2].health[0].failureAverage = 1
	if after := fmt.Sprintf("%+v", m); after != before || len(m.Tokens) != 1 || len(m.Servers) != 3 {
		t.Errorf("%s\n%s", before, after)
	}
	if m := w.g.SaveState(w.now, false); m.Tokens != nil {
		t.Errorf("%v", m.Tokens)
	}
}

// Restored token buckets are dropped once every bucket has had time to fill.
func TestRestoredTokensAreDropped(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(3))
	w.do(Restore{SavedState: SavedState{Tokens: map[uint64]float64{1: 2}}, Clean: true})
	w.advance(900 * ms)
	if w.g.restoredTokens == nil {
		t.Error("dropped while a token bucket may not be full")
	}
	w.advance(2 * time.Second)
	if w.g.restoredTokens != nil {
		t.Error("never dropped")
	}
}

// BenchmarkReconfigure measures the longest pause of the event loop at a reload: 10,000 customers, 200
// servers, and tables that change each time.
func BenchmarkReconfigure(b *testing.B) {
	for _, gateways := range []int{1, 300} {
		b.Run(fmt.Sprint(gateways, " gateways"), func(b *testing.B) {
			s := baseSettings()
			s.Gateways = gateways
			g, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			g.Handle(time.Second, ServerListUpdate{Kind: StoredList, Servers: testServers(200)}, nil)
			for i := range 10000 {
				g.newCustomer(uint64(i)<<20, g.plans["rate"], i%gateways, min(gateways, 4))
			}
			n := reorderTables(s)
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

// BenchmarkMemory measures the time that the event loop spends on a copy of its state.
func BenchmarkMemory(b *testing.B) {
	for _, withTokens := range []bool{false, true} {
		b.Run(fmt.Sprint("stores ", withTokens), func(b *testing.B) {
			s := baseSettings()
			s.Gateways = 1
			g, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			g.Handle(time.Second, ServerListUpdate{Kind: StoredList, Servers: testServers(200)}, nil)
			for i := range 10000 {
				g.newCustomer(uint64(i)<<20, g.plans["rate"], 0, 1).tokens = 1
			}
			b.ReportAllocs()
			for range b.N {
				g.SaveState(time.Second, withTokens)
			}
		})
	}
}

// BenchmarkOutage measures the units admitted, and those beyond the quota, over a crash or a planned
// stop at a random time, with and without a snapshot.
func BenchmarkOutage(b *testing.B) {
	for _, c := range []struct {
		name           string
		crash, restore bool
	}{{"crash without", true, false}, {"crash with", true, true}, {"stop without", false, false},
		{"stop with", false, true}} {
		for _, requestRate := range []float64{6, 50} {
			b.Run(fmt.Sprintf("%s/asked %v a second", c.name, requestRate), func(b *testing.B) {
				admitted, excess, maxExcess := 0.0, 0.0, 0.0
				for i := range b.N {
					units, extra := outage(b, uint64(i), c.crash, c.restore, requestRate)
					admitted, excess, maxExcess = admitted+units, excess+extra, max(maxExcess, extra)
				}
				b.ReportMetric(admitted/float64(b.N), "units")
				b.ReportMetric(excess/float64(b.N), "units-beyond")
				b.ReportMetric(maxExcess, "units-beyond-worst")
			})
		}
	}
}
