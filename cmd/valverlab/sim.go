package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"valvering.example/valvering/internal/lab/baseline"
	"valvering.example/valvering/internal/lab/experiment"
	"valvering.example/valvering/internal/lab/report"
	"valvering.example/valvering/internal/lab/run"
	"valvering.example/valvering/internal/lab/store"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/world"
)

// sizeFlags are the flags for the size, the load and the fault of a run.
type sizeFlags struct {
	Nodes   int           `help:"Edge nodes." default:"3"`
	Servers int           `help:"Lending servers." default:"9"`
	For     time.Duration `help:"How long clients ask." default:"20s"`
	Fault   string        `help:"A fault or a day by name; see list." placeholder:"NAME"`
	Seed    uint64        `help:"All chance comes from it." default:"1"`
	Rate    float64       `help:"First tries a second; 0: by the size of the fleet." placeholder:"N"`
	Out     string        `help:"Keep results, stories of requests and the report in this folder." placeholder:"DIR"`
	JSON    bool          `help:"Print one JSON object."`
}

// world returns the world that the flags describe.
func (f *sizeFlags) world() (*world.World, error) {
	if f.Nodes < 1 || f.Nodes > world.MaxNodes {
		return nil, fmt.Errorf("--nodes: %d is not from 1 to %d", f.Nodes, world.MaxNodes)
	}
	if f.Servers < 1 || f.Servers > world.MaxServers {
		return nil, fmt.Errorf("--servers: %d is not from 1 to %d", f.Servers, world.MaxServers)
	}
	w := world.Default(f.Nodes, f.Servers)
	w.For = world.Duration(f.For)
	w.Warm = min(w.Warm, w.For/5)
	if f.Rate < 0 {
		return nil, fmt.Errorf("--rate: %g is negative", f.Rate)
	}
	if f.Rate > 0 {
		w.SetRate(f.Rate)
	}
	if f.Fault != "" && f.Fault != "none" {
		if w.Faults = world.Named(f.Fault, f.For); w.Faults == nil {
			return nil, fmt.Errorf("--fault: %q is not one of %s", f.Fault, strings.Join(world.Names(), ", "))
		}
	}
	if list := w.Check(); len(list) > 0 {
		return nil, fmt.Errorf("--%w", list[0])
	}
	return w, nil
}

type simCmd struct {
	sizeFlags `embed:""`
	Baseline  string `help:"Decide by a baseline, not by the module." placeholder:"NAME"`
}

func (c *simCmd) Run(a *app) error {
	w, err := c.world()
	if err != nil {
		return err
	}
	if c.Baseline != "" && baseline.Maker(c.Baseline) == nil {
		return fmt.Errorf("--baseline: %q is not one of %s", c.Baseline, strings.Join(baseline.Names, ", "))
	}
	v := experiment.Variant{Name: "module", Baseline: c.Baseline}
	if c.Baseline != "" {
		v.Name = c.Baseline
	}
	r := experiment.Run{Fault: c.Fault, Seed: c.Seed, Variant: v, World: w}
	folder, err := c.folder("sim", r.Key())
	if err != nil {
		return err
	}
	bar := newProgress(a.warn, int(c.For/time.Second), "seconds played", !c.JSON)
	d := run.Sim(a.ctx, r, folder != nil, bar.set)
	bar.end()
	if d.Err != nil {
		return d.Err
	}
	return finishRun(a, folder, d, c.JSON)
}

// folder creates the folder of results, or returns nil without --out.
func (f *sizeFlags) folder(engine, name string) (*store.Folder, error) {
	if f.Out == "" {
		return nil, nil
	}
	return store.Create(f.Out, store.Manifest{Name: name, Command: os.Args, Engine: engine, Runs: 1}, false)
}

// finishRun stores and prints the result of a run, and returns the error that decides the
// exit code.
func finishRun(a *app, folder *store.Folder, d run.Done, asJSON bool) error {
	if folder != nil {
		if err := storeRun(folder, d); err != nil {
			return err
		}
		if err := writeReport(folder); err != nil {
			return err
		}
		if err := folder.Close(); err != nil {
			return err
		}
	}
	if asJSON {
		data, err := json.Marshal(d.Result)
		if err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%s\n", data)
	} else {
		print(a.out, d.Result, d.Duration)
		if folder != nil {
			fmt.Fprintf(a.out, "report: %s\n", filepath.Join(folder.Dir, store.ReportFile))
		}
	}
	return exitError(d.Result, d.Run.Variant)
}

// storeRun writes the stories of a run and its line to a folder.
func storeRun(folder *store.Folder, d run.Done) error {
	l := store.Line{Key: d.Run.Key(), World: d.Run.World, Duration: d.Duration.Seconds(), Result: d.Result}
	if d.Err != nil {
		l.Error = d.Err.Error()
	}
	if d.Log != nil {
		if err := folder.Stories(l.Key, d.Log); err != nil {
			return err
		}
	}
	return folder.Add(l)
}

func writeReport(folder *store.Folder) error {
	out, err := os.Create(filepath.Join(folder.Dir, store.ReportFile))
	if err != nil {
		return err
	}
	if err := report.Write(out, folder); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

// exitError returns the error that decides the exit code of a result. Rules broken by a
// baseline are printed but don't fail the run, since baselines serve only for comparison.
func exitError(r *tally.Result, v experiment.Variant) error {
	switch {
	case len(r.Rules) > 0 && v.Baseline == "":
		return errRuleBroken
	case r.Invalid != "":
		return errLoadNotSustained
	}
	return nil
}

// print prints a result as text.
func print(w io.Writer, r *tally.Result, took time.Duration) {
	fmt.Fprintf(w, "%d edge nodes, %d lending servers, seed %d, %s, %s: played in %.1f s\n", r.Nodes,
		r.Servers, r.Seed, r.Variant, r.Engine, took.Seconds())
	percent := float64(max(1, r.Requests)) / 100
	fmt.Fprintf(w, "requests %d   served %d (%.1f%%)   refused %d (%.1f%%)   failed %d   lost %d\n",
		r.Requests, r.Served, float64(r.Served)/percent,
		r.Refused, float64(r.Refused)/percent, r.Failed, r.Lost)
	fmt.Fprintf(w, "worth %.4f   whole %.3f   worst 10 s %.3f   worst plan %.3f   worst class %.3f\n",
		r.Worth, r.Goals["whole"], r.Goals["worst_window"],
		r.Goals["worst_plan"], r.Goals["worst_class"])
	fmt.Fprintf(w, "attempts a request %.2f   beyond quota or cap %.2f%%   datagrams a second and edge node %.1f, most %d, lost %.1f%%\n",
		r.Sends, 100*r.Beyond, r.DatagramRate,
		r.DatagramPeak, 100*r.DatagramLoss)
	for _, p := range r.Classes {
		fmt.Fprintf(w, "class %-12s served %.3f of its worth   median %7.1f ms   99th %7.1f ms   99.9th %7.1f ms\n",
			p.Name, p.Share, p.P50, p.P99, p.P999)
	}
	for _, p := range r.Plans {
		fmt.Fprintf(w, "plan  %-12s served %.3f of its worth\n", p.Name, p.Share)
	}
	if len(r.Rules) == 0 {
		fmt.Fprintln(w, "rules kept")
	}
	for _, b := range r.Breaches {
		fmt.Fprintln(w, "RULE BROKEN", b)
	}
	if r.Invalid != "" {
		fmt.Fprintln(w, "UNSOUND:", r.Invalid)
	}
	fmt.Fprintf(w, "digest %s\n", r.Digest)
}
