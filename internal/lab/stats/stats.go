// Package stats compares the results of paired runs: two variants with the same world and seed.
package stats

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Diff is the difference between the medians of paired results, with its 95% bootstrap confidence interval.
type Diff struct {
	Pairs           int
	A, B            float64 // medians
	Diff            float64 // B - A
	Low, High       float64
	Better, Worse   int // pairs in which B is above A, below A
	Least, Greatest float64
}

// Number of bootstrap samples, and the fraction outside the interval at each end.
const (
	resamples    = 4000
	tailFraction = 0.025
)

// Significant reports whether the difference is significant: there are at least three pairs and the interval
// excludes zero.
func (d Diff) Significant() bool { return d.Pairs >= 3 && (d.Low > 0 || d.High < 0) }

// Median returns the median of a list; 0 if it is empty.
func Median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}

// Paired compares b with a, pair by pair. The bootstrap's seed is fixed, so that equal values give an equal
// interval.
func Paired(a, b []float64) Diff {
	d := Diff{Pairs: len(a), A: Median(a), B: Median(b)}
	if len(a) == 0 {
		return d
	}
	d.Diff = d.B - d.A
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i] - a[i]
		if differences[i] > 0 {
			d.Better++
		} else if differences[i] < 0 {
			d.Worse++
		}
	}
	d.Least, d.Greatest = slices.Min(differences), slices.Max(differences)
	rng := rand.New(rand.NewPCG(1, uint64(len(a))))
	sample := make([]float64, resamples)
	x, y := make([]float64, len(a)), make([]float64, len(a))
	for i := range sample {
		for k := range x {
			j := rng.IntN(len(a))
			x[k], y[k] = a[j], b[j]
		}
		sample[i] = Median(y) - Median(x)
	}
	slices.Sort(sample)
	d.Low, d.High = stat.Quantile(tailFraction, stat.Empirical, sample, nil), stat.Quantile(1-tailFraction,
		stat.Empirical, sample, nil)
	return d
}
