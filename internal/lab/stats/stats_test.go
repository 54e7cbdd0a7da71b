package stats

import (
	"math/rand/v2"
	"testing"
)

// TestIntervalsHold checks that the interval contains the true difference in about 95 of 100
// experiments, and that a difference is seldom reported where there is none.
func TestIntervalsHold(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	const experiments, pairs = 60, 12
	containing, significant := 0, 0
	for range experiments {
		var a, b, c []float64
		for range pairs {
			base := rng.NormFloat64()
			a = append(a, base)
			b = append(b, base+0.5+0.1*rng.NormFloat64())
			c = append(c, base+0.1*rng.NormFloat64())
		}
		if d := Paired(a, b); d.Low <= 0.5 && 0.5 <= d.High && d.Pairs == pairs {
			containing++
		}
		if Paired(a, c).Significant() {
			significant++
		}
	}
	if containing < experiments*85/100 || significant > experiments*15/100 {
		t.Errorf("of %d experiments, %d intervals contain the difference, %d report one that does not exist",
			experiments, containing, significant)
	}
	if d := Paired([]float64{1, 2}, []float64{3, 4}); d.Significant() || d.Diff != 2 {
		t.Errorf("two pairs: %+v", d)
	}
	if d := Paired(nil, nil); d.Pairs != 0 || d.Significant() {
		t.Errorf("none: %+v", d)
	}
}
