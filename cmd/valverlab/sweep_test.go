package main

import (
	"encoding/json"
	"strings"
	"testing"

	"valvering.example/valvering/internal/lab/sweep"
)

// TestSweep checks that a sweep prints the series of the requested quantity as one JSON object or
// as a table. An invalid flag is rejected with an error that names it.
func TestSweep(t *testing.T) {
	code, out, warn := runCLI("sweep", "--small", "--repetitions", "1", "--what", "rate", "--json")
	var r sweep.Result
	if err := json.Unmarshal([]byte(out), &r); code != exitOK || err != nil {
		t.Fatalf("exit %d, %v: %s%s", code, err, out, warn)
	}
	if s := r.Find(sweep.Rate, "plan rate: all kinds"); s == nil || len(s.Points) != 3 ||
		len(s.Points[0].Values) != 1 {
		t.Errorf("%+v", s)
	}
	for _, s := range r.Series {
		if s.Quantity != sweep.Rate {
			t.Errorf("%s was not asked for", s.Quantity)
		}
	}
	if code, out, warn = runCLI("sweep", "--small", "--repetitions", "1", "--what",
		"tenants"); code != exitOK || !strings.Contains(out, "| tenants | unit | 100 |") {
		t.Errorf("exit %d: %s%s", code, out, warn)
	}
	for _, args := range [][]string{{"--what", "everything"}, {"--repetitions", "0"},
		{"--repetitions", "1000"}} {
		if code, _, warn := runCLI(append([]string{"sweep"}, args...)...); code != exitFailure ||
			!strings.Contains(warn, args[0]) {
			t.Errorf("%v: exit %d, %s", args, code, warn)
		}
	}
}
