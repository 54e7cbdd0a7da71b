package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"valvering.example/valvering/internal/lab/scale"
	"valvering.example/valvering/internal/lab/store"
)

// scaleCmd measures a few edge nodes that are configured as part of a large fleet.
type scaleCmd struct {
	Nodes   int           `help:"Edge nodes that all are told of." default:"6200"`
	Servers int           `help:"Lending servers on discovery's list." default:"56000"`
	Tenants int           `help:"Tenants of the whole fleet." default:"300000"`
	Rate    float64       `help:"Requests a second that each edge node gets." default:"127"`
	Real    int           `help:"Processes of the edge node." default:"3"`
	Hollow  int           `help:"Edge nodes inside the lab's process, without client and server sockets." default:"200"`
	For     time.Duration `help:"How long the load lasts." default:"30s"`
	Seed    uint64        `help:"All chance comes from it." default:"1"`
	Out     string        `help:"Keep the result and its page in this folder." placeholder:"DIR"`
	JSON    bool          `help:"Print one JSON object."`
	Node    string        `help:"The edge node's program; default: the one beside this program." placeholder:"PATH" type:"path"`
}

// resultFile is the file name of a scale result within its folder.
const resultFile = "scale.json"

// Run implements the command for kong.
func (c *scaleCmd) Run(a *app) error {
	config := scale.Config{Nodes: c.Nodes, Servers: c.Servers, Tenants: c.Tenants, Rate: c.Rate, Real: c.Real,
		Hollow: c.Hollow, For: c.For, Seed: c.Seed}
	if err := config.Check(); err != nil {
		return flagError(err)
	}
	if c.Real > 0 {
		var err error
		if config.Program, err = edgeNode(c.Node); err != nil {
			return err
		}
	}
	if !c.JSON {
		config.Step = func(phase string) { fmt.Fprintln(a.warn, "phase:", phase) }
	}
	folder, err := c.folder()
	if err != nil {
		return err
	}
	result, err := scale.Run(a.ctx, config)
	if err != nil {
		return flagError(err)
	}
	if folder != nil {
		if err := storeScale(folder, result); err != nil {
			return err
		}
	}
	if err := c.show(a.out, result); err != nil {
		return err
	}
	if result.Invalid != "" {
		return errLoadNotSustained
	}
	return nil
}

// flagError adds the dashes of the flag to an error about a configuration field.
func flagError(err error) error {
	var problem scale.Problem
	if errors.As(err, &problem) {
		return fmt.Errorf("--%w", problem)
	}
	return err
}

// folder creates the folder of the result, or returns nil without --out.
func (c *scaleCmd) folder() (*store.Folder, error) {
	if c.Out == "" {
		return nil, nil
	}
	return store.Create(c.Out, store.Manifest{Name: "scale", Command: os.Args, Engine: "scale", Runs: 1},
		false)
}

// storeScale writes a result and its page to a folder.
func storeScale(folder *store.Folder, r *scale.Result) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder.Dir, resultFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(folder.Dir, store.ReportFile))
	if err != nil {
		return err
	}
	return errors.Join(scale.WritePage(page, r, folder.Manifest.Command), page.Close(), folder.Close())
}

// show prints a result as JSON or as tables.
func (c *scaleCmd) show(w io.Writer, r *scale.Result) error {
	if !c.JSON {
		return printScale(w, r)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

// printScale prints a result as tables.
func printScale(w io.Writer, r *scale.Result) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	line("told: %d edge nodes, %d lending servers, %d tenants; here: %d real, %d hollow, %d tenants; %g requests a second each for %g s; load average %s",
		r.Nodes, r.Servers, r.Tenants, r.Real.Count, r.Hollow.Count, r.TenantsHere, r.Rate, r.ForS,
		r.LoadAverage)
	for _, g := range []struct {
		name string
		*scale.Group
	}{{"real", &r.Real}, {"hollow", &r.Hollow}} {
		if g.Count == 0 {
			continue
		}
		line("%-6s  ready %d of %d, median %.2f s, most %.2f s", g.name, g.Ready.Count, g.Count, g.Ready.P50S,
			g.Ready.MaxS)
		line("        processor: at rest %.2f%%, load %.1f%%, request %.1f us, datagram %.1f us, line %.2f ms, zone left %.1f ms, back %.1f ms",
			g.CPU.RestPercent,
			g.CPU.LoadPercent, g.CPU.RequestUS, g.CPU.DatagramUS, g.CPU.LineChangeMS, g.CPU.ZoneLostMS,
			g.CPU.ZoneBackMS)
		line("        memory: resident %.1f MB, most %.1f MB, heap %.2f MB", g.Memory.ResidentMB,
			g.Memory.ResidentMaxMB, g.Memory.HeapMB)
		line("        requests: %+v", g.Requests)
		line("        added ms: 50 %.2f  99 %.2f  99.9 %.2f  most %.1f; while a zone changes: 50 %.2f  99 %.2f  99.9 %.2f  most %.1f",
			g.Added.P50MS, g.Added.P99MS,
			g.Added.P999MS, g.Added.MaxMS, g.ZoneAdded.P50MS, g.ZoneAdded.P99MS, g.ZoneAdded.P999MS,
			g.ZoneAdded.MaxMS)
		line("        datagrams a second: in %.1f (%.0f bytes, peak %d), out %.1f (%.0f bytes), in scaled %.1f (%.0f bytes): %.2f and %.2f of the bounds",
			g.Datagrams.In.Datagrams,
			g.Datagrams.In.Bytes, g.Datagrams.InPeak, g.Datagrams.Out.Datagrams, g.Datagrams.Out.Bytes,
			g.Datagrams.InScaled.Datagrams, g.Datagrams.InScaled.Bytes,
			g.Datagrams.BoundPart, g.Datagrams.BytesPart)
		for _, k := range g.Datagrams.Kinds {
			line("          %-16s in %8.2f (%6.0f bytes)  out %8.2f (%6.0f bytes)", k.Kind, k.In.Datagrams,
				k.In.Bytes, k.Out.Datagrams, k.Out.Bytes)
		}
		for _, k := range g.CPU.Causes {
			line("          module, %-18s %8d times, %9.2f us", k.Cause, k.Count, k.MeanUS)
		}
	}
	for _, k := range r.Changes {
		line("change: %s (%d lines, %d times): real %d of %d, median %.1f ms, most %.1f ms; hollow %d of %d, median %.1f ms, most %.1f ms",
			k.What, k.Lines, k.Count,
			k.Real.Applied, k.Real.Of, k.Real.P50MS, k.Real.MaxMS, k.Hollow.Applied, k.Hollow.Of,
			k.Hollow.P50MS, k.Hollow.MaxMS)
	}
	line("list: %d bytes decoded in %.0f ms; the lab took %.0f%% of a core at rest, %.0f%% under load; reckoned need %.0f of %.0f MB",
		r.Decode.Bytes, r.Decode.MS,
		r.LabRestPercent, r.LabLoadPercent, r.NeedMB, r.MachineMB)
	for _, s := range r.Scaled {
		line("scaled: %s", s)
	}
	if r.Interrupted {
		line("INTERRUPTED: played whole: %v", r.Phases)
	}
	if r.Invalid != "" {
		line("UNSOUND: %s", r.Invalid)
	}
	return err
}
