package node

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	overbookedSeeds = flag.Uint64("overbooked-seeds", 0, "seeds to play of each day in the measurement of overbooked services")
	overbookedFirst = flag.Uint64("overbooked-first", 0, "the first of them")
)

// Measures how late changes are heard from a service that works on two calls and swallows all
// others, and how many calls that takes; docs/MEASUREMENTS.md has the figures.
func TestMeasureServiceThatSwallows(t *testing.T) {
	if *overbookedSeeds == 0 {
		t.Skip("a measurement: -overbooked-seeds")
	}
	for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second} {
		t.Run(fmt.Sprintf("outage of %v", outage), func(t *testing.T) {
			t.Parallel()
			var all []time.Duration
			calls, late := 0, 0
			for seed := *overbookedFirst; seed < *overbookedFirst+*overbookedSeeds; seed++ {
				synctest.Test(t, func(t *testing.T) {
					s := &overbooked{beyond: drops, workers: 2, work: 50 * time.Millisecond, rev: 1, turn: make(chan struct{})}
					for _, took := range overbookedDay(t, s, 24, outage, seed) {
						if all = append(all, took); took > toldWithin {
							late++
							t.Logf("seed %d: %v", seed, took)
						}
					}
					calls += s.calls
				})
			}
			slices.Sort(all)
			at := func(part float64) time.Duration { return all[int(part*float64(len(all)-1))] }
			t.Logf("%d changes, %d late; half by %v, 99 in 100 by %v, 999 in 1,000 by %v, all by %v; %.0f calls a day",
				len(all), late, at(0.5), at(0.99), at(0.999), at(1), float64(calls)/float64(*overbookedSeeds))
		})
	}
}
