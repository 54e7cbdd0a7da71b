package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"

	"valvering.example/valvering/internal/lab/baseline"
	"valvering.example/valvering/internal/lab/experiment"
	"valvering.example/valvering/internal/lab/explain"
	"valvering.example/valvering/internal/lab/report"
	"valvering.example/valvering/internal/lab/run"
	"valvering.example/valvering/internal/lab/stats"
	"valvering.example/valvering/internal/lab/store"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
)

type runCmd struct {
	File    string `arg:"" help:"The experiment." type:"path"`
	Out     string `help:"Folder of results; default: the file's name without its ending, beside it." placeholder:"DIR"`
	Engine  string `help:"sim or live; default: as the file says." placeholder:"NAME"`
	Workers int    `help:"Runs played at once, in simulated time." default:"${cpus}"`
	Resume  bool   `help:"Go on where a run was broken off."`
	JSON    bool   `help:"Print one JSON object."`
}

func (c *runCmd) Run(a *app) error {
	f, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	engine := c.Engine
	if engine == "" {
		engine = f.Engine
	}
	if engine != "sim" && engine != "live" {
		return fmt.Errorf("--engine: %q is neither sim nor live", engine)
	}
	if c.Workers < 1 || c.Workers > 1024 {
		return fmt.Errorf("--workers: %d is not from 1 to 1024", c.Workers)
	}
	runs, err := f.Runs()
	if err != nil {
		return err
	}
	dir := c.Out
	if dir == "" {
		dir = strings.TrimSuffix(c.File, filepath.Ext(c.File))
		if dir == c.File {
			dir += ".out"
		}
	}
	m := store.Manifest{Name: f.Name, Command: os.Args, File: string(f.Text()), Engine: engine,
		Runs: len(runs)}
	for _, v := range f.Variants {
		m.Variants = append(m.Variants, v.Name)
	}
	folder, err := store.Create(dir, m, c.Resume)
	if err != nil {
		return err
	}
	played := map[string]bool{}
	for _, l := range folder.Lines {
		played[l.Key] = l.Result != nil
	}
	var todo []experiment.Run
	for _, r := range runs {
		if !played[r.Key()] {
			todo = append(todo, r)
		}
	}
	bar := newProgress(a.warn, len(todo), "runs", !c.JSON)
	recorded := 0
	record := func(d run.Done) error {
		recorded++
		bar.set(recorded)
		return storeRun(folder, d)
	}
	if engine == "live" {
		for _, r := range todo {
			if err = record(playLive(a, r, f.Stories, nil)); err != nil || a.ctx.Err() != nil {
				err = errors.Join(err, a.ctx.Err())
				break
			}
		}
	} else {
		err = run.All(a.ctx, todo, c.Workers, f.Stories, record)
	}
	bar.end()
	// The report covers the finished runs even after an error.
	if err := errors.Join(writeReport(folder), folder.Close()); err != nil {
		return err
	}
	rows, rowsErr := report.Rows(folder)
	if rowsErr != nil {
		return rowsErr
	}
	if c.JSON {
		data, err := json.Marshal(map[string]any{"dir": dir, "runs": len(runs), "played": len(folder.Lines),
			"rows": rows})
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s\n", data)
	} else {
		if err := report.Table(a.out, rows); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "report: %s\n", filepath.Join(dir, store.ReportFile))
	}
	if err != nil {
		return err
	}
	return worstExitError(folder.Lines, runs)
}

// worstExitError returns the error that decides the exit code of an experiment: the worst of
// its runs.
func worstExitError(lines []store.Line, runs []experiment.Run) error {
	variants := map[string]experiment.Variant{}
	for _, r := range runs {
		variants[r.Variant.Name] = r.Variant
	}
	var worst error
	for _, l := range lines {
		if l.Error != "" {
			return fmt.Errorf("%s: %s", l.Key, l.Error)
		}
		if err := exitError(l.Result, variants[l.Result.Variant]); err != nil &&
			!errors.Is(worst, errRuleBroken) {
			worst = err
		}
	}
	return worst
}

type compareCmd struct {
	A    string `arg:"" help:"A folder of results." type:"path"`
	B    string `arg:"" help:"Another." type:"path"`
	JSON bool   `help:"Print one JSON object."`
}

// comparison compares one arm between two folders.
type comparison struct {
	Arm         string     `json:"arm"`
	Diff        stats.Diff `json:"diff"`
	Significant bool       `json:"seen"`
}

func (c *compareCmd) Run(a *app) error {
	one, err := store.Open(c.A)
	if err != nil {
		return err
	}
	two, err := store.Open(c.B)
	if err != nil {
		return err
	}
	byKey := map[string]*tally.Result{}
	for _, l := range one.Lines {
		if l.Result != nil {
			byKey[l.Key] = l.Result
		}
	}
	var arms []string
	valuesA, valuesB := map[string][]float64{}, map[string][]float64{}
	for _, l := range two.Lines {
		r := l.Result
		if r == nil || byKey[l.Key] == nil {
			continue
		}
		arm := fmt.Sprintf("%dx%d %s %s", r.Nodes, r.Servers, r.Fault, r.Variant)
		if valuesA[arm] == nil {
			arms = append(arms, arm)
		}
		valuesA[arm], valuesB[arm] = append(valuesA[arm], byKey[l.Key].Worth), append(valuesB[arm], r.Worth)
	}
	if len(arms) == 0 {
		return fmt.Errorf("%s and %s have no run in common", c.A, c.B)
	}
	list := []comparison{}
	for _, arm := range arms {
		d := stats.Paired(valuesA[arm], valuesB[arm])
		list = append(list, comparison{arm, d, d.Significant()})
	}
	if c.JSON {
		data, err := json.Marshal(map[string]any{"a": c.A, "b": c.B, "arms": list})
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s\n", data)
		return nil
	}
	for _, k := range list {
		verdict := "no difference seen"
		switch {
		case k.Diff.Pairs < 3:
			verdict = "too few pairs to tell"
		case k.Significant && k.Diff.Diff > 0:
			verdict = "better"
		case k.Significant:
			verdict = "worse"
		}
		fmt.Fprintf(a.out, "%-34s %3d pairs  %.4f -> %.4f  %+.4f (%+.4f to %+.4f)  %s\n", k.Arm, k.Diff.Pairs,
			k.Diff.A, k.Diff.B, k.Diff.Diff,
			k.Diff.Low, k.Diff.High, verdict)
	}
	return nil
}

type reportCmd struct {
	Dir string `arg:"" help:"A folder of results." type:"path"`
}

func (c *reportCmd) Run(a *app) error {
	folder, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	if err := writeReport(folder); err != nil {
		return err
	}
	rows, err := report.Rows(folder)
	if err != nil {
		return err
	}
	if err := report.Table(a.out, rows); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	return report.Latencies(a.out, rows)
}

type explainCmd struct {
	Dir   string `arg:"" help:"A folder of results with stories." type:"path"`
	ID    string `arg:"" optional:"" help:"A request, as a report or --worst names it."`
	Worst int    `help:"Group what was lost by cause, with so many of the dearest requests each." placeholder:"N"`
	JSON  bool   `help:"Print one JSON object."`
}

func (c *explainCmd) Run(a *app) error {
	if (c.ID == "") == (c.Worst <= 0) {
		return errors.New("explain takes either a request's id or --worst with a number above 0")
	}
	folder, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	if c.Worst > 0 {
		w := explain.Worst{MaxExamples: c.Worst}
		if err := folder.EachStory(func(run string, s *trace.Story) bool {
			w.Add(run, s)
			return true
		}); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(a.out, map[string]any{"lost": w.Lost, "asked": w.Asked, "causes": w.Groups()})
		}
		return w.Print(a.out)
	}
	found := false
	err = folder.EachStory(func(run string, s *trace.Story) bool {
		matches := s.ID == c.ID
		for i := 0; i < len(s.Notes) && !matches; i++ { // the id of a try identifies its request too
			matches = s.Notes[i].What == trace.Accepted && strings.Contains(s.Notes[i].Detail, c.ID)
		}
		if !matches {
			return true
		}
		found = true
		if c.JSON {
			err = printJSON(a.out, s)
		} else {
			err = explain.Print(a.out, run, s)
		}
		return false
	})
	if err == nil && !found {
		err = fmt.Errorf("%s has no story of a request %q", c.Dir, c.ID)
	}
	return err
}

type ledgerCmd struct {
	Dir  string `arg:"" help:"A folder of results with stories." type:"path"`
	By   string `help:"Break it down by class, plan or second." enum:",class,plan,second" default:""`
	JSON bool   `help:"Print one JSON object."`
}

func (c *ledgerCmd) Run(a *app) error {
	folder, err := store.Open(c.Dir)
	if err != nil {
		return err
	}
	l := explain.NewLedger(c.By)
	if err := folder.EachStory(func(_ string, s *trace.Story) bool {
		l.Add(s)
		return true
	}); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a.out, map[string]any{"by": c.By, "accounts": l.Accounts()})
	}
	return l.Print(a.out)
}

func printJSON(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

type listCmd struct{}

func (c *listCmd) Run(a *app) error {
	fmt.Fprintln(a.out, "Faults and days:")
	for _, l := range experiment.Describe() {
		fmt.Fprintln(a.out, " ", l)
	}
	fmt.Fprintln(a.out, "Baselines:", strings.Join(baseline.Names, ", "))
	fmt.Fprintln(a.out, "Loads: poisson, steady, wave, burst, trace")
	return nil
}

type checkCmd struct {
	File string `arg:"" help:"The experiment." type:"path"`
}

func (c *checkCmd) Run(a *app) error {
	f, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: %d runs\n", c.File, f.Count())
	return nil
}

// progress shows progress: as a bar on a terminal, as periodic lines elsewhere.
type progress struct {
	bar   *progressbar.ProgressBar
	w     io.Writer
	unit  string
	total int
	last  time.Time
}

const plainInterval = 10 * time.Second // interval of lines without a terminal

func newProgress(w io.Writer, total int, unit string, shown bool) *progress {
	p := &progress{w: w, unit: unit, total: total, last: time.Now()}
	f, isFile := w.(*os.File)
	if !shown {
		p.w = io.Discard
	} else if info, err := os.Stdout.Stat(); isFile && err == nil && info.Mode()&os.ModeCharDevice != 0 {
		p.bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(f),
			progressbar.OptionSetDescription(unit), progressbar.OptionShowCount(),
			progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	}
	return p
}

func (p *progress) set(n int) {
	if p.bar != nil {
		_ = p.bar.Set(n) // fails only if the terminal was closed
		return
	}
	if now := time.Now(); now.Sub(p.last) > plainInterval {
		p.last = now
		fmt.Fprintf(p.w, "%d of %d %s\n", n, p.total, p.unit)
	}
}

func (p *progress) end() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
