package main

import "testing"

// A small heap may grow fivefold, a large one by a bounded amount, but at least by half.
func TestGCPercentFor(t *testing.T) {
	for live, want := range map[uint64]int{0: 400, 3 << 20: 400, 4 << 20: 400, 8 << 20: 200, 16 << 20: 100, 20 << 20: 80, 1 << 40: 50} {
		if got := gcPercentFor(live); got != want {
			t.Errorf("%d bytes live: %d, want %d", live, got, want)
		}
	}
	for _, c := range []struct {
		percent, next int
		want          bool
	}{{400, 400, false}, {400, 380, false}, {400, 200, true}, {80, 75, false}, {80, 60, true}, {390, 400, true}} {
		if got := significantChange(c.percent, c.next); got != c.want {
			t.Errorf("from %d to %d: %v", c.percent, c.next, got)
		}
	}
}
