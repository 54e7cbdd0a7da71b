package scale

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/world"
)

// A load is not kept when more than this share of its requests came later than so much.
const (
	lateBy   = 50 * time.Millisecond
	mostLate = 0.01
)

// openLoop calls back at each time of a Poisson stream of an edge node's own, on the
// clock of unixNow, until ctx ends. It does not wait for what becomes of a request.
func (f *fleet) openLoop(ctx context.Context, no int, come func(at time.Duration)) {
	source, err := load.New(&world.Load{Rate: f.Rate, Shape: "poisson"}, f.Seed<<16+uint64(no), nil)
	if err != nil {
		panic(err) // only a trace can fail
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
		come(at)
	}
}

// ending is what became of a request.
type ending int

const (
	endServed ending = iota
	endRefused
	endFailed
	endLost // no answer, or one that no lending server made
	endings
)

// Range of the histograms of added time, in microseconds, and their digits.
const (
	leastAdded  = 1
	mostAdded   = 120_000_000
	addedDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastAdded, mostAdded, addedDigits)
}

// loadBook counts the requests of one sort of edge node.
type loadBook struct {
	mu     sync.Mutex
	phase  loadCount
	second loadCount
}

// loadCount is what came during a time.
type loadCount struct {
	asked, late          int
	handledLate, starved int
	ends                 [endings]int
	lostWhy              error                   // of the first that was lost
	added                *hdrhistogram.Histogram // microseconds
}

func newLoadCount() loadCount { return loadCount{added: newHistogram()} }

func newLoadBook() *loadBook { return &loadBook{phase: newLoadCount(), second: newLoadCount()} }

// asked notes a request that came so much later than it was meant to.
func (b *loadBook) asked(late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase.asked++
	b.second.asked++
	if late > lateBy {
		b.phase.late++
	}
}

// handled notes how long a request waited for a hollow edge node's loop, and for how much
// of that its module was at work. The rest of a long wait is the machine's.
func (b *loadBook) handled(wait, work time.Duration) {
	if wait <= lateBy {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase.handledLate++
	if wait-work > lateBy {
		b.phase.starved++
	}
}

// end notes an end; added is the time over what the server took, where it was served.
func (b *loadBook) end(how ending, added time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range []*loadCount{&b.phase, &b.second} {
		c.ends[how]++
		if how == endServed {
			_ = c.added.RecordValue(min(mostAdded, max(leastAdded, added.Microseconds()))) // in range
		}
	}
}

// lost notes why a request was lost, where it is the first.
func (b *loadBook) lost(why error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.phase.lostWhy == nil {
		b.phase.lostWhy = why
	}
}

// takePhase returns what came since the last call.
func (b *loadBook) takePhase() loadCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.phase
	b.phase = newLoadCount()
	return c
}

// takeSecond is the same for the seconds.
func (b *loadBook) takeSecond() loadCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.second
	b.second = newLoadCount()
	return c
}

// addedMS is a quantile of the added time, in milliseconds; 0 of none.
func (c *loadCount) addedMS(percent float64) float64 {
	return float64(c.added.ValueAtQuantile(percent)) / 1000
}
