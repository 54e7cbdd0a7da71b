// Package store keeps the results of an experiment in a folder: a manifest that says
// what was played by which build, a line of JSON for each run, and the stories of
// requests where they are kept. A line is written whole or is passed over when the
// folder is read again, so that a run that was killed half way can be resumed.
package store

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
)

// Manifest says what a folder holds.
type Manifest struct {
	Name    string    `json:"name"`
	Command []string  `json:"command"`
	File    string    `json:"file,omitempty"` // the experiment's text
	Digest  string    `json:"digest"`         // of that text, or of the command
	Engine  string    `json:"engine"`
	Runs    int       `json:"runs"`
	Arms    []string  `json:"arms,omitempty"` // the variants, in the order of the file
	Build   string    `json:"build"`
	Go      string    `json:"go"`
	CPUs    int       `json:"cpus"`
	Begun   time.Time `json:"begun"`
}

// Line is one run's.
type Line struct {
	Key    string        `json:"key"`
	World  *world.World  `json:"world"`
	Took   float64       `json:"took_s"`
	Result *tally.Result `json:"result"`
	Error  string        `json:"error,omitempty"`
}

// Folder is an open folder of results. Add may be called by several goroutines.
type Folder struct {
	Dir      string
	Manifest Manifest
	Lines    []Line // those that were there already
	mu       sync.Mutex
	out      *os.File
	size     int64 // of the whole lines
	broken   error // why no further line is written
}

const (
	manifestFile = "manifest.json"
	runsFile     = "runs.jsonl"
	storiesDir   = "stories"
	// ReportFile is the report for people.
	ReportFile = "report.html"
)

// Build says which build this is.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	return strings.TrimSpace(info.Main.Version + " " + rev + dirty)
}

// Create makes a folder, or opens it again to resume: then the experiment must be the
// same. A folder that holds something else is left alone.
func Create(dir string, m Manifest, resume bool) (*Folder, error) {
	m.Build, m.Go, m.CPUs, m.Begun = Build(), runtime.Version(), runtime.NumCPU(), time.Now().UTC().Truncate(time.Second)
	if m.Digest = fmt.Sprintf("%016x", xxhash.Sum64String(m.File)); m.File == "" {
		m.Digest = fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(m.Command, "\x00")))
	}
	f := &Folder{Dir: dir, Manifest: m}
	old, err := Open(dir)
	switch {
	case err == nil && !resume:
		return nil, fmt.Errorf("%s holds results already; resume them or name another folder", dir)
	case err == nil && old.Manifest.Digest != m.Digest:
		return nil, fmt.Errorf("%s holds the results of another experiment (%s, this is %s)", dir, old.Manifest.Digest, m.Digest)
	case err == nil:
		f.Manifest, f.Lines = old.Manifest, old.Lines
	case !errors.Is(err, os.ErrNotExist):
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(f.Manifest, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := replace(filepath.Join(dir, manifestFile), append(data, '\n')); err != nil {
		return nil, err
	}
	f.out, err = os.OpenFile(filepath.Join(dir, runsFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return f, f.mend()
}

// replace puts a file in place whole, or leaves what is there.
func replace(path string, data []byte) error {
	part := path + ".part"
	err := os.WriteFile(part, data, 0o644)
	if err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		_ = os.Remove(part) // the disc may be full of it
	}
	return err
}

// mend cuts off a last line that was not written whole.
func (f *Folder) mend() error {
	data, err := io.ReadAll(f.out)
	if err != nil {
		return err
	}
	f.size = int64(bytes.LastIndexByte(data, '\n') + 1)
	if f.size < int64(len(data)) {
		return f.out.Truncate(f.size)
	}
	return nil
}

// Add writes a run's line. One that can't be written whole is taken back, and none comes
// behind it: the folder can be resumed.
func (f *Folder) Add(l Line) error {
	data, err := json.Marshal(l)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken != nil {
		return f.broken
	}
	n, err := f.out.Write(append(data, '\n'))
	if err != nil {
		f.broken = fmt.Errorf("results: %w", errors.Join(err, f.out.Truncate(f.size)))
		return f.broken
	}
	f.size += int64(n)
	f.Lines = append(f.Lines, l)
	return nil
}

// Close makes sure that what was added is kept.
func (f *Folder) Close() error {
	if f.out == nil {
		return nil
	}
	return errors.Join(f.out.Sync(), f.out.Close())
}

// storyFile is where the stories of a run are.
func (f *Folder) storyFile(key string) string {
	return filepath.Join(f.Dir, storiesDir, strings.ReplaceAll(key, "/", "_")+".jsonl.gz")
}

// Stories writes what happened to the requests of a run.
func (f *Folder) Stories(key string, log *trace.Log) error {
	if err := os.MkdirAll(filepath.Join(f.Dir, storiesDir), 0o755); err != nil {
		return err
	}
	out, err := os.Create(f.storyFile(key))
	if err != nil {
		return err
	}
	return errors.Join(log.Write(out), out.Close())
}

// EachStory calls each for the stories of all runs, until it is false.
func (f *Folder) EachStory(each func(run string, s *trace.Story) bool) error {
	list, err := os.ReadDir(filepath.Join(f.Dir, storiesDir))
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s holds no stories of requests: play it with stories kept", f.Dir)
	}
	if err != nil {
		return err
	}
	more := true
	for _, e := range list {
		in, err := os.Open(filepath.Join(f.Dir, storiesDir, e.Name()))
		if err != nil {
			return err
		}
		run := strings.TrimSuffix(e.Name(), ".jsonl.gz")
		err = trace.Read(in, func(s *trace.Story) bool {
			more = each(run, s)
			return more
		})
		in.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", e.Name(), err)
		}
		if !more {
			return nil
		}
	}
	return nil
}

const mostLine = 64 << 20

// Open reads a folder of results.
func Open(dir string) (*Folder, error) {
	f := &Folder{Dir: dir}
	data, err := os.ReadFile(filepath.Join(dir, manifestFile))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &f.Manifest); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, manifestFile), err)
	}
	in, err := os.Open(filepath.Join(dir, runsFile))
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	defer in.Close()
	r := bufio.NewReaderSize(in, 1<<20)
	for no := 1; ; no++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return f, nil // a last line that is not whole is none
		}
		if err != nil {
			return nil, err
		}
		var l Line
		if err := json.Unmarshal(line, &l); err != nil || len(line) > mostLine || l.Result == nil && l.Error == "" {
			return nil, fmt.Errorf("%s, line %d: no result of a run", filepath.Join(dir, runsFile), no)
		}
		f.Lines = append(f.Lines, l)
	}
}
