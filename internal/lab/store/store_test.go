package store

import (
	"os"
	"path/filepath"
	"testing"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
)

// TestResume checks that a folder whose last line is incomplete because the writer was killed can be
// resumed after the last complete line, and that a folder of another experiment is not changed.
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
		t.Error("Create without resume accepted a folder with results")
	}
	if _, err := Create(dir, Manifest{File: "name = 'y'"}, true); err == nil {
		t.Error("Create accepted the folder of another experiment")
	}
	f, err = Create(dir, m, true)
	if err != nil || len(f.Lines) != 1 || f.Lines[0].Key != "a" {
		t.Fatalf("%v, %+v", err, f)
	}
	if err := f.Add(Line{Key: "b", Result: &tally.Result{Seed: 2}}); err != nil {
		t.Fatal(err)
	}
	l := trace.Log{MaxNotes: 3}
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
		t.Error("Open accepted a line that is not a result")
	}
}
