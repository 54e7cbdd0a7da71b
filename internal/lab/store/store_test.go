package store

import (
	"os"
	"path/filepath"
	"testing"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
)

// A folder whose writer was killed within a line is read as far as it is whole, and
// goes on from there; another experiment's is left alone.
func TestResume(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	m := Manifest{Name: "x", File: "name = 'x'", Runs: 3}
	f, err := Create(dir, m, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"a", "b"} {
		if err := f.Add(Line{Key: key, Result: &tally.Result{Seed: 1}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, runsFile)
	data, _ := os.ReadFile(path)
	if err := os.WriteFile(path, data[:len(data)-5], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(dir, m, false); err == nil {
		t.Error("results were about to be mixed with others")
	}
	if _, err := Create(dir, Manifest{File: "name = 'y'"}, true); err == nil {
		t.Error("another experiment's folder was taken")
	}
	f, err = Create(dir, m, true)
	if err != nil || len(f.Lines) != 1 || f.Lines[0].Key != "a" {
		t.Fatalf("%v, %+v", err, f)
	}
	if err := f.Add(Line{Key: "b", Result: &tally.Result{Seed: 2}}); err != nil {
		t.Fatal(err)
	}
	l := trace.Log{Most: 3}
	s := l.Begin(trace.Story{ID: "w1"})
	for range 5 {
		l.Add(s, 1, 2, trace.Sent, "to %d", 3)
	}
	if err := f.Stories("b", &l); err != nil || l.Dropped != 2 {
		t.Errorf("%v, %d dropped", err, l.Dropped)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	f, err = Open(dir)
	if err != nil || len(f.Lines) != 2 || f.Lines[1].Result.Seed != 2 {
		t.Fatalf("%v, %+v", err, f.Lines)
	}
	seen := 0
	if err := f.EachStory(func(run string, s *trace.Story) bool {
		seen += len(s.Notes)
		return run == "b"
	}); err != nil || seen != 3 {
		t.Errorf("%v, %d notes", err, seen)
	}
	if err := os.WriteFile(path, []byte("{\"key\":3}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); err == nil {
		t.Error("a line that is no result passed")
	}
}
