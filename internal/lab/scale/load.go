package scale

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/world"
)

// A run is invalid when more than maxLateShare of its requests are later than lateThreshold.
const (
	lateThreshold = 50 * time.Millisecond
	maxLateShare  = 0.01
)

// openLoop calls onArrival at each arrival of an edge node's own Poisson process, on the clock of
// unixNow, until ctx ends. It does not wait for the outcome of a request.
func (f *fleet) openLoop(ctx context.Context, no int, onArrival func(at time.Duration)) {
	source, err := load.New(&world.Load{Rate: f.Rate, Shape: "poisson"}, f.Seed<<16+uint64(no), nil)
	if err != nil {
		panic(err) // only a load read from a trace can fail
	}
	start := unixNow()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		after, _ := source.Next()
		at := start + after
		if wait := at - unixNow(); wait > 0 {
			wake.Reset(wait)
			select {
			case <-wake.C:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		onArrival(at)
	}
}

// requestOutcome is the outcome of a request.
type requestOutcome int

const (
	outcomeServed requestOutcome = iota
	outcomeRefused
	outcomeFailed
	outcomeLost // no response, or one that no server made
	outcomeCount
)

// Range and precision of the histograms of added time.
const (
	minAddedMicros = 1           // microseconds
	maxAddedMicros = 120_000_000 // microseconds
	addedDigits    = 3           // significant decimal digits
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minAddedMicros, maxAddedMicros, addedDigits)
}

// loadStats counts the requests of one kind of edge node, for the phase and for the current second.
type loadStats struct {
	mu     sync.Mutex
	phase  loadCount
	second loadCount
}

// loadCount counts the requests of an interval.
type loadCount struct {
	asked, late          int
	handledLate, starved int
	outcomes             [outcomeCount]int
	lossCause            error                   // error of the first lost request
	added                *hdrhistogram.Histogram // microseconds
}

func newLoadCount() loadCount { return loadCount{added: newHistogram()} }

func newLoadStats() *loadStats { return &loadStats{phase: newLoadCount(), second: newLoadCount()} }

// addRequest counts a request that was made late by the given time.
func (b *loadStats) addRequest(late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase.asked++
	b.second.asked++
	if late > lateThreshold {
		b.phase.late++
	}
}

// addWait counts how long a request waited for the loop of a hollow edge node, and how much of this
// wait the policy module of that edge node was at work. The rest of a long wait is due to the
// machine.
func (b *loadStats) addWait(wait, work time.Duration) {
	if wait <= lateThreshold {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase.handledLate++
	if wait-work > lateThreshold {
		b.phase.starved++
	}
}

// addOutcome counts an outcome. For a served request, added is the time above the service time.
func (b *loadStats) addOutcome(outcome requestOutcome, added time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range []*loadCount{&b.phase, &b.second} {
		c.outcomes[outcome]++
		if outcome == outcomeServed {
			// The value is in range, so there is no error.
			_ = c.added.RecordValue(min(maxAddedMicros, max(minAddedMicros, added.Microseconds())))
		}
	}
}

// addLoss records why a request was lost, if it is the first of the phase.
func (b *loadStats) addLoss(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase.lossCause == nil {
		b.phase.lossCause = err
	}
}

// takePhase returns the counts since the last call.
func (b *loadStats) takePhase() loadCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.phase
	b.phase = newLoadCount()
	return c
}

// takeSecond returns the counts since the last call of takeSecond.
func (b *loadStats) takeSecond() loadCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.second
	b.second = newLoadCount()
	return c
}

// addedMS returns a quantile of the added time in milliseconds, or 0 without values.
func (c *loadCount) addedMS(percent float64) float64 {
	return float64(c.added.ValueAtQuantile(percent)) / 1000
}
