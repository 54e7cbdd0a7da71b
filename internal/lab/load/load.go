// Package load generates the arrival times of client requests. Arrivals are open-loop: they don't wait
// for earlier requests, so that a stalled edge node gets as many requests as a fast one. Equal loads and
// seeds give equal times.
package load

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Source returns arrival times in order, as durations since the start of the run. more is false when
// there are no further arrivals.
type Source interface {
	Next() (at time.Duration, more bool)
}

// New returns the arrivals that a load describes. open opens the file of a trace.
func New(l *world.Load, seed uint64, open func(name string) (io.ReadCloser, error)) (Source, error) {
	if l.Shape == "trace" {
		f, err := open(l.Trace)
		if err != nil {
			return nil, fmt.Errorf("load.trace: %w", err)
		}
		defer f.Close()
		return readTrace(l.Trace, f)
	}
	return &shapedSource{load: l, rng: rand.New(rand.NewPCG(seed, 0x10ad))}, nil
}

// shapedSource draws arrivals at a rate that changes with time.
type shapedSource struct {
	load *world.Load
	rng  *rand.Rand
	at   float64 // seconds
}

// rate returns the arrival rate per second at a time in seconds.
func (s *shapedSource) rate(at float64) float64 {
	period := s.load.Period.D().Seconds()
	switch s.load.Shape {
	case "wave":
		return s.load.Rate * (1 + s.load.Swing*math.Sin(2*math.Pi*at/period))
	case "burst": // in the last fifth of each period
		if _, part := math.Modf(at / period); part >= 0.8 {
			return s.load.Rate * (1 + s.load.Swing)
		}
	}
	return s.load.Rate
}

func (s *shapedSource) Next() (time.Duration, bool) {
	if s.load.Shape == "steady" {
		s.at += 1 / s.load.Rate
		return seconds(s.at), true
	}
	maxRate := s.load.Rate * (1 + s.load.Swing)
	for { // thinning of a Poisson process at the maximum rate
		s.at += s.rng.ExpFloat64() / maxRate
		if s.rng.Float64()*maxRate <= s.rate(s.at) {
			return seconds(s.at), true
		}
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// traceSource replays recorded times.
type traceSource struct {
	times []time.Duration
	next  int
}

func (t *traceSource) Next() (time.Duration, bool) {
	if t.next == len(t.times) {
		return 0, false
	}
	t.next++
	return t.times[t.next-1], true
}

const maxTraceArrivals = 20_000_000 // maximum arrivals in a file

// readTrace reads a time in seconds from each line. Lines that start with # are comments.
func readTrace(name string, r io.Reader) (*traceSource, error) {
	t := &traceSource{}
	lines := bufio.NewScanner(r)
	for no := 1; lines.Scan(); no++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil || !(v >= 0) || v > 1e6:
			return nil, fmt.Errorf("%s, line %d: %q is not a time in seconds", name, no, text)
		case len(t.times) > 0 && seconds(v) < t.times[len(t.times)-1]:
			return nil, fmt.Errorf("%s, line %d: %s is before the time on the previous line", name, no, text)
		case len(t.times) == maxTraceArrivals:
			return nil, fmt.Errorf("%s, line %d: over %d arrivals", name, no, maxTraceArrivals)
		}
		t.times = append(t.times, seconds(v))
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return t, nil
}
