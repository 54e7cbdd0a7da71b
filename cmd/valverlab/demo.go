package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"valvering.example/valvering/internal/lab/experiment"
	"valvering.example/valvering/internal/lab/live"
	"valvering.example/valvering/internal/lab/run"
)

type demoCmd struct {
	sizeFlags `embed:""`
	Node      string `help:"The edge node's program; default: the one beside this program." placeholder:"PATH" type:"path"`
}

func (c *demoCmd) Run(a *app) error {
	w, err := c.world()
	if err != nil {
		return err
	}
	r := experiment.Run{Fault: c.Fault, Seed: c.Seed,
		Variant: experiment.Variant{Name: "module", Program: c.Node}, World: w}
	folder, err := c.folder("live", r.Key())
	if err != nil {
		return err
	}
	table := newTable(a.warn, !c.JSON, int(c.For/time.Second))
	d := playLive(a, r, folder != nil, table.show)
	if d.Err != nil {
		return d.Err
	}
	return finishRun(a, folder, d, c.JSON)
}

// playLive runs a world in real time.
func playLive(a *app, r experiment.Run, stories bool, step func(live.Status)) run.Done {
	start := time.Now()
	d := run.Done{Run: r}
	program, err := edgeNode(r.Variant.Program)
	if err != nil {
		d.Err = err
		return d
	}
	if r.Variant.Adapter != "" || r.Variant.Baseline != "" {
		d.Err = fmt.Errorf("variant %s: the live engine plays programs of the edge node, no adapters and no baselines",
			r.Variant.Name)
		return d
	}
	d.Result, d.Log, d.Err = live.Run(a.ctx, live.Config{World: r.World, Seed: r.Seed, Program: program,
		Stories: stories, Step: step})
	if d.Result != nil {
		d.Result.Variant, d.Result.Fault = r.Variant.Name, r.Fault
	}
	d.Duration = time.Since(start)
	return d
}

// programName is the file name of the edge node's program.
const programName = "valvering"

// edgeNode returns the path of the edge node's program: the given path, or the program
// beside this one if the path is empty.
func edgeNode(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), programName)
	}
	if st, err := os.Stat(path); err != nil || st.IsDir() {
		return "", fmt.Errorf("there is no edge node's program %s: build both with `go build -o bin/ ./cmd/...`",
			path)
	}
	return path, nil
}

// table shows the progress of a run: updated in place on a terminal, line by line elsewhere.
type table struct {
	w            io.Writer
	inPlace      bool
	totalSeconds int
	printedLines int
	totals       live.Status
}

func newTable(w io.Writer, shown bool, totalSeconds int) *table {
	t := &table{w: w, totalSeconds: totalSeconds}
	if !shown {
		t.w = io.Discard
	}
	if f, ok := w.(*os.File); ok && shown {
		info, err := f.Stat()
		t.inPlace = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return t
}

const tableHeader = "  second  requests    served   refused  failed  lost   median ms    99th ms  edge nodes  servers  fault"

func (t *table) show(s live.Status) {
	line := fmt.Sprintf("%4d/%-3d %9d %9d %9d %7d %5d %11.1f %10.1f %11d %8d  %s", s.Second, t.totalSeconds,
		s.Requests, s.Served, s.Refused, s.Failed, s.Lost,
		s.P50, s.P99, s.Up, s.Serving, cmp.Or(strings.Join(s.Faults, ", "), "-"))
	t.totals.Requests, t.totals.Served, t.totals.Refused = t.totals.Requests+s.Requests,
		t.totals.Served+s.Served, t.totals.Refused+s.Refused
	t.totals.Failed, t.totals.Lost = t.totals.Failed+s.Failed, t.totals.Lost+s.Lost
	if !t.inPlace {
		if t.printedLines == 0 {
			fmt.Fprintln(t.w, tableHeader)
		}
		t.printedLines++
		fmt.Fprintln(t.w, line)
		return
	}
	if t.printedLines > 0 {
		fmt.Fprint(t.w, "\x1b[3A") // move the cursor to the top of the table
	}
	t.printedLines = 3
	totals := &t.totals
	fmt.Fprintf(t.w, "\x1b[2K%s\n\x1b[2K%s\n\x1b[2K%9s %9d %9d %9d %7d %5d\n", tableHeader, line, "all",
		totals.Requests, totals.Served, totals.Refused, totals.Failed, totals.Lost)
}
