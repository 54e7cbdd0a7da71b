package tally

import (
	"math/rand/v2"
	"testing"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// TestMerge checks that merged runs have the same quantiles as one run with all requests, that an invalid
// histogram gives an error, and that results of versions that stored no histogram are skipped.
func TestMerge(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	w := world.Default(3, 3)
	whole, parts := NewBook(w), []*Book{NewBook(w), NewBook(w), NewBook(w)}
	for i := range 3000 {
		e := End{Class: i % 2, At: w.Warm.D() + time.Second, How: Served, Units: 1, WithinQuota: true,
			Latency: time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond) * float64(1+i%3*i%3*10))}
		whole.Close(e)
		parts[i%3].Close(e)
	}
	want := whole.Result(1)
	runs := []*Result{{Classes: []Counts{{Name: "katalog"}}}}
	for i, b := range parts {
		runs = append(runs, b.Result(uint64(i)))
	}
	got, err := Merge(runs)
	if err != nil || len(got) != len(w.Classes) {
		t.Fatal(got, err)
	}
	for i, m := range got {
		c := want.Classes[i]
		if m.Name != c.Name || m.Served != int64(c.Served) || m.P50 != c.P50 || m.P99 != c.P99 || m.P999 != c.P999 {
			t.Errorf("%+v, want %+v", m, c)
		}
	}
	for _, bad := range []string{"x", "SElTVEZBQUFB", want.Classes[0].Latencies[:40]} {
		if _, err := Merge([]*Result{{Seed: 4,
			Classes: []Counts{{Name: "katalog", Latencies: bad}}}}); err == nil {
			t.Errorf("%q passed", bad)
		}
	}
}

// FuzzMerge checks that arbitrary histogram text from a file causes no panic.
func FuzzMerge(f *testing.F) {
	b := NewBook(world.Default(3, 3))
	b.Close(End{At: time.Hour, How: Served, Latency: time.Second})
	f.Add(b.Result(1).Classes[0].Latencies)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if list, err := Merge([]*Result{{Classes: []Counts{{Name: "a", Latencies: text}}}}); err == nil &&
			len(list) > 1 {
			t.Errorf("%v", list)
		}
	})
}
