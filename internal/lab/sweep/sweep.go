// Package sweep measures, in one process, the costs of the parts of an edge node as one quantity of
// the planned fleet grows and all others stay fixed: processor time, memory, datagrams and bytes.
// It fits a straight line to the medians of each measure, so that the cost at the planned size is
// derived from a measured slope (docs/CAPACITY.md).
//
// Package policy, called the module here, is used through its exported API: the sweeps pass events
// to it and perform its actions as a network and servers without faults would. Only the measures of
// a datagram and of the operators' address open sockets, on loopback.
//
// Processor time is that of the whole process with one processor for Go code, so it includes
// garbage collection. Times are in microseconds, memory and messages in bytes.
package sweep

import (
	"context"
	"fmt"
	"runtime"
	"slices"

	"valvering.example/valvering/internal/lab/stats"
)

// Quantity is a quantity that grows in a sweep.
type Quantity string

// The quantities.
const (
	Servers Quantity = "servers" // servers in the list
	Nodes   Quantity = "nodes"   // edge nodes in the fleet
	Tenants Quantity = "tenants" // tenants that one edge node knows
	Rate    Quantity = "rate"    // requests a second to one edge node
	Cut     Quantity = "cut"     // seconds of a network partition between two halves of a tenant's edge nodes
)

// Quantities lists all quantities in the order of a report.
var Quantities = []Quantity{Servers, Nodes, Tenants, Rate, Cut}

// The planned and the current size of the fleet.
const (
	PlannedNodes   = 6200
	PlannedServers = 56000
	PlannedTenants = 300000
	PlannedRate    = 127 // requests a second and edge node: 790,000 over all edge nodes
	TodayNodes     = 300
	TodayServers   = 200
)

// Options configures the sweeps.
type Options struct {
	Quantities  []Quantity
	Repetitions int   // of each point
	Servers     []int // points of each quantity
	Nodes       []int
	Tenants     []int
	Rate        []int
	Cut         []int
	Seconds     int // simulated time of each point of Rate
}

// Defaults returns the options of the sweeps in docs/CAPACITY.md.
func Defaults() Options {
	return Options{Quantities: Quantities, Repetitions: 3, Seconds: 4,
		Servers: []int{TodayServers, 2000, 8000, 20000, PlannedServers},
		Nodes:   []int{TodayNodes, 1000, 2500, 4000, PlannedNodes},
		Tenants: []int{300, 3000, 10000, 30000},
		Rate:    []int{16, 32, 64, PlannedRate, 200},
		Cut:     []int{10, 20, 40}}
}

// Point holds the values of a measure at one size.
type Point struct {
	X      int       `json:"x"`
	Values []float64 `json:"values"` // one for each repetition
	Median float64   `json:"median"`
}

// Series is a measure at all sizes of one quantity.
type Series struct {
	Quantity Quantity `json:"quantity"`
	Measure  string   `json:"measure"`
	Unit     string   `json:"unit"`
	Points   []Point  `json:"points"`
	Fit      Fit      `json:"fit"`
}

// Result holds the measurements of all sweeps.
type Result struct {
	Repetitions int      `json:"repetitions"`
	Processors  int      `json:"processors"` // for Go code during the measurement
	Go          string   `json:"go"`
	Series      []Series `json:"series"`
	Partial     bool     `json:"partial"` // interrupted before the end
}

// sample is one value of one measure.
type sample struct {
	measure, unit string
	value         float64
}

// sweeper collects the samples of one sweep.
type sweeper struct {
	quantity Quantity
	index    map[string]int
	series   []Series
}

func newSweeper(q Quantity) *sweeper { return &sweeper{quantity: q, index: map[string]int{}} }

// add adds samples at a size to their series.
func (s *sweeper) add(x int, samples ...sample) {
	for _, v := range samples {
		i, known := s.index[v.measure]
		if !known {
			i = len(s.series)
			s.index[v.measure] = i
			s.series = append(s.series, Series{Quantity: s.quantity, Measure: v.measure, Unit: v.unit})
		}
		points := &s.series[i].Points
		if n := len(*points); n == 0 || (*points)[n-1].X != x {
			*points = append(*points, Point{X: x})
		}
		last := &(*points)[len(*points)-1]
		last.Values = append(last.Values, v.value)
	}
}

// finish computes the medians and fits the lines.
func (s *sweeper) finish() []Series {
	for i := range s.series {
		line := &s.series[i]
		var x, y []float64
		for k := range line.Points {
			p := &line.Points[k]
			p.Median = stats.Median(p.Values)
			x, y = append(x, float64(p.X)), append(y, p.Median)
		}
		line.Fit = fitLine(x, y)
	}
	return s.series
}

// measureFunc adds the samples of all repetitions at one size.
type measureFunc func(ctx context.Context, s *sweeper, x, repetitions int) error

// Run runs the sweeps. When ctx ends it returns the measurements so far, marked as partial.
func Run(ctx context.Context, o Options) (*Result, error) {
	before := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(before)
	r := &Result{Repetitions: o.Repetitions, Processors: 1, Go: runtime.Version()}
	for _, q := range Quantities {
		if !slices.Contains(o.Quantities, q) {
			continue
		}
		points, measure := o.sweepOf(q)
		s := newSweeper(q)
		for _, x := range points {
			if ctx.Err() != nil {
				r.Partial = true
				break
			}
			if err := measure(ctx, s, x, o.Repetitions); err != nil {
				return nil, fmt.Errorf("%s %d: %w", q, x, err)
			}
		}
		r.Series = append(r.Series, s.finish()...)
	}
	return r, nil
}

// sweepOf returns the points of a quantity and the function that measures them.
func (o *Options) sweepOf(q Quantity) ([]int, measureFunc) {
	switch q {
	case Servers:
		return o.Servers, measureServers
	case Nodes:
		return o.Nodes, measureNodes
	case Tenants:
		return o.Tenants, measureTenants
	case Cut:
		return o.Cut, measureCut
	}
	return o.Rate, measureRate(o.Seconds)
}

// Find returns a series by quantity and measure, or nil if it was not measured.
func (r *Result) Find(q Quantity, measure string) *Series {
	for i := range r.Series {
		if s := &r.Series[i]; s.Quantity == q && s.Measure == measure {
			return s
		}
	}
	return nil
}
