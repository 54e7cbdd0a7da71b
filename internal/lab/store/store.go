// Package store stores the results of an experiment in a folder: a manifest that names the experiment
// and the build, a JSON line for each run, and the traces of requests if they are recorded. An
// incomplete last line is ignored when the folder is read, so that an experiment that was killed can be
// resumed.
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

// Manifest describes the contents of a folder.
type Manifest struct {
	Name     string    `json:"name"`
	Command  []string  `json:"command"`
	File     string    `json:"file,omitempty"` // text of the experiment's file
	Digest   string    `json:"digest"`         // of that text, or of the command
	Engine   string    `json:"engine"`
	Runs     int       `json:"runs"`
	Variants []string  `json:"arms,omitempty"` // the variants, in the order of the file
	Build    string    `json:"build"`
	Go       string    `json:"go"`
	CPUs     int       `json:"cpus"`
	Begun    time.Time `json:"begun"`
}

// Line is the stored record of one run.
type Line struct {
	Key      string        `json:"key"`
	World    *world.World  `json:"world"`
	Duration float64       `json:"took_s"`
	Result   *tally.Result `json:"result"`
	Error    string        `json:"error,omitempty"`
}

// Folder is an open folder of results. Add is safe for concurrent use.
type Folder struct {
	Dir           string
	Manifest      Manifest
	Lines         []Line // all complete lines, including those of earlier sessions
	mu            sync.Mutex
	file          *os.File
	completeBytes int64 // bytes of all complete lines
	writeErr      error // first write error; no line is written after it
}

const (
	manifestFile = "manifest.json"
	runsFile     = "runs.jsonl"
	storiesDir   = "stories"
	// ReportFile is the name of the HTML report.
	ReportFile = "report.html"
)

// Build returns the version and revision of this program.
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

// Create creates a folder, or opens an existing one to resume its experiment. It returns an error and
// changes nothing if the folder holds results and resume is false, or results of another experiment.
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
	if err := replaceFile(filepath.Join(dir, manifestFile), append(data, '\n')); err != nil {
		return nil, err
	}
	f.file, err = os.OpenFile(filepath.Join(dir, runsFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return f, f.truncatePartialLine()
}

// replaceFile replaces a file atomically.
func replaceFile(path string, data []byte) error {
	part := path + ".part"
	err := os.WriteFile(part, data, 0o644)
	if err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		_ = os.Remove(part) // it may have filled the disk
	}
	return err
}

// truncatePartialLine truncates an incomplete last line.
func (f *Folder) truncatePartialLine() error {
	data, err := io.ReadAll(f.file)
	if err != nil {
		return err
	}
	f.completeBytes = int64(bytes.LastIndexByte(data, '\n') + 1)
	if f.completeBytes < int64(len(data)) {
		return f.file.Truncate(f.completeBytes)
	}
	return nil
}

// Add writes the line of a run. If the write fails, Add truncates the file to its complete lines and every
// later call returns the same error, so that the folder can be resumed.
func (f *Folder) Add(l Line) error {
	data, err := json.Marshal(l)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return f.writeErr
	}
	n, err := f.file.Write(append(data, '\n'))
	if err != nil {
		f.writeErr = fmt.Errorf("results: %w", errors.Join(err, f.file.Truncate(f.completeBytes)))
		return f.writeErr
	}
	f.completeBytes += int64(n)
	f.Lines = append(f.Lines, l)
	return nil
}

// Close syncs the added lines to disk and closes the file.
func (f *Folder) Close() error {
	if f.file == nil {
		return nil
	}
	return errors.Join(f.file.Sync(), f.file.Close())
}

// storyFile returns the path of a run's stories.
func (f *Folder) storyFile(key string) string {
	return filepath.Join(f.Dir, storiesDir, strings.ReplaceAll(key, "/", "_")+".jsonl.gz")
}

// Stories writes the traces of a run.
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

// EachStory calls each for the stories of all runs until each returns false.
func (f *Folder) EachStory(each func(run string, s *trace.Story) bool) error {
	list, err := os.ReadDir(filepath.Join(f.Dir, storiesDir))
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s holds no traces of requests: run the experiment with stories enabled", f.Dir)
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

const maxLineBytes = 64 << 20 // bytes of a run's line

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
			return f, nil // an incomplete last line is ignored
		}
		if err != nil {
			return nil, err
		}
		var l Line
		if err := json.Unmarshal(line, &l); err != nil || len(line) > maxLineBytes || l.Result == nil &&
			l.Error == "" {
			return nil, fmt.Errorf("%s, line %d: not a result of a run", filepath.Join(dir, runsFile), no)
		}
		f.Lines = append(f.Lines, l)
	}
}
