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
	measuredSeeds = flag.Uint64("overbooked-seeds", 0,
		"seeds to play of each day in the measurement of overbooked services")
	firstMeasuredSeed = flag.Uint64("overbooked-first", 0, "the first of them")
)

// TestMeasureServiceThatSwallows measures how late edge nodes receive changes from a service that processes
// two calls at once and drops all others, and how many calls they make. docs/MEASUREMENTS.md has the
// figures.
func TestMeasureServiceThatSwallows(t *testing.T) {
	if *measuredSeeds == 0 {
		t.Skip("a measurement: -overbooked-seeds")
	}
	for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second} {
		t.Run(fmt.Sprintf("outage of %v", outage), func(t *testing.T) {
			t.Parallel()
			var delays []time.Duration
			calls, late := 0, 0
			for seed := *firstMeasuredSeed; seed < *firstMeasuredSeed+*measuredSeeds; seed++ {
				synctest.Test(t, func(t *testing.T) {
					s := &overloadedService{onOverload: dropCalls, workers: 2,
						callDuration: 50 * time.Millisecond, rev: 1, changed: make(chan struct{})}
					for _, took := range runOverloadScenario(t, s, 24, outage, seed) {
						if delays = append(delays, took); took > maxChangeDelay {
							late++
							t.Logf("seed %d: %v", seed, took)
						}
					}
					calls += s.calls
				})
			}
			slices.Sort(delays)
			quantile := func(fraction float64) time.Duration { return delays[int(fraction*float64(len(delays)-1))] }
			t.Logf("%d changes, %d late; half by %v, 99 in 100 by %v, 999 in 1,000 by %v, all by %v; %.0f calls per run",
				len(delays), late, quantile(0.5), quantile(0.99), quantile(0.999), quantile(1),
				float64(calls)/float64(*measuredSeeds))
		})
	}
}
