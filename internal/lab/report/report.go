// Package report writes the results of a folder as one self-contained HTML page: tables
// that compare each arm with the first one, paired by seed, and plots.
package report

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"valvering.example/valvering/internal/lab/stats"
	"valvering.example/valvering/internal/lab/store"
	"valvering.example/valvering/internal/lab/tally"
)

func newCanvas(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }

// cell identifies the runs that are compared: those of the same size and fault.
type cell struct {
	nodes, servers int
	fault          string
}

// Row is the result of one arm of a cell, compared with the first arm.
type Row struct {
	Nodes, Servers  int
	Fault, Variant  string
	Against         string // name of the first arm; empty for the first arm itself
	Median          float64
	Diff            stats.Diff
	Served, Refused float64 // medians of the shares of requests
	Beyond          float64
	Lost, Broken    int
	Unsound         int
	Seeds           int
	Mail            float64
	Classes         []tally.Merged // merged over all seeds
}

// Verdict returns the result of a comparison in words.
func (r *Row) Verdict() string {
	switch {
	case r.Against == "":
		return ""
	case r.Diff.Pairs < 3:
		return "too few pairs to tell"
	case !r.Diff.Significant():
		return "no difference seen"
	case r.Diff.Diff > 0:
		return "better"
	}
	return "worse"
}

// Rows returns the arms of all cells. Arms are in the order of the experiment's file,
// independent of the order in which the runs were completed.
func Rows(f *store.Folder) ([]Row, error) {
	type arm struct {
		cell
		variant string
	}
	var cells []cell
	names := slices.Clone(f.Manifest.Variants)
	results := map[arm]map[uint64]*tally.Result{}
	for _, l := range f.Lines {
		r := l.Result
		if r == nil {
			continue
		}
		c := cell{r.Nodes, r.Servers, r.Fault}
		if !slices.Contains(cells, c) {
			cells = append(cells, c)
		}
		if !slices.Contains(names, r.Variant) {
			names = append(names, r.Variant)
		}
		a := arm{c, r.Variant}
		if results[a] == nil {
			results[a] = map[uint64]*tally.Result{}
		}
		results[a][r.Seed] = r
	}
	slices.SortStableFunc(cells, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.nodes, b.nodes), cmp.Compare(a.servers, b.servers),
			cmp.Compare(a.fault, b.fault))
	})
	var rows []Row
	for _, c := range cells {
		first := ""
		for _, name := range names {
			list := results[arm{c, name}]
			if len(list) == 0 {
				continue
			}
			row := Row{Nodes: c.nodes, Servers: c.servers, Fault: c.fault, Variant: name, Against: first,
				Seeds: len(list)}
			var runs []*tally.Result
			var values, served, refused, beyond, datagrams, baseValues, armValues []float64
			for _, seed := range slices.Sorted(maps.Keys(list)) {
				r := list[seed]
				runs = append(runs, r)
				n := float64(max(1, r.Requests))
				values, served, refused = append(values, r.Worth), append(served, float64(r.Served)/n),
					append(refused, float64(r.Refused)/n)
				beyond, datagrams = append(beyond, r.Beyond), append(datagrams, r.DatagramRate)
				row.Lost += r.Lost
				for _, k := range r.Rules {
					row.Broken += k
				}
				if r.Invalid != "" {
					row.Unsound++
				}
				if base := results[arm{c, first}][seed]; first != "" && base != nil {
					baseValues, armValues = append(baseValues, base.Worth), append(armValues, r.Worth)
				}
			}
			row.Median, row.Served, row.Refused = stats.Median(values), stats.Median(served),
				stats.Median(refused)
			row.Beyond, row.Mail = stats.Median(beyond), stats.Median(datagrams)
			var err error
			if row.Classes, err = tally.Merge(runs); err != nil {
				return nil, fmt.Errorf("%dx%d %s %s: %w", c.nodes, c.servers, c.fault, name, err)
			}
			if row.Diff = stats.Paired(baseValues, armValues); first == "" {
				first = name
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Table writes rows as a plain text table.
func Table(w io.Writer, rows []Row) error {
	_, err := fmt.Fprintf(w, "%-9s %-14s %-12s %5s %7s %8s %-19s %7s %7s %7s %7s %6s  %s\n", "size", "fault",
		"variant", "seeds", "worth", "diff",
		"95% interval", "served", "refused", "beyond", "mail/s", "rules", "")
	for i := range rows {
		r := &rows[i]
		diff, span := "", ""
		if r.Against != "" {
			diff, span = fmt.Sprintf("%+.4f", r.Diff.Diff), fmt.Sprintf("%+.4f to %+.4f", r.Diff.Low,
				r.Diff.High)
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "%-9s %-14s %-12s %5d %7.4f %8s %-19s %7.4f %7.4f %7.4f %7.1f %6d  %s\n",
				fmt.Sprintf("%dx%d", r.Nodes, r.Servers),
				r.Fault, r.Variant, r.Seeds, r.Median, diff, span, r.Served, r.Refused, r.Beyond,
				r.Mail, r.Broken, r.Verdict())
		}
	}
	return err
}

// Latencies writes the latencies of served requests by class, merged over all seeds.
func Latencies(w io.Writer, rows []Row) error {
	_, err := fmt.Fprintf(w, "%-9s %-14s %-12s %-14s %9s %10s %10s %10s\n", "size", "fault", "variant",
		"class", "served", "median ms", "99th ms", "99.9th ms")
	for i := range rows {
		r := &rows[i]
		for _, c := range r.Classes {
			if err == nil {
				_, err = fmt.Fprintf(w, "%-9s %-14s %-12s %-14s %9d %10.1f %10.1f %10.1f\n",
					fmt.Sprintf("%dx%d", r.Nodes, r.Servers), r.Fault, r.Variant,
					c.Name, c.Served, c.P50, c.P99, c.P999)
			}
		}
	}
	return err
}

// Write writes the page of a folder.
func Write(w io.Writer, f *store.Folder) error {
	rows, err := Rows(f)
	if err != nil {
		return err
	}
	page := struct {
		Manifest store.Manifest
		Rows     []Row
		Charts   []template.HTML
		Breaches []string
		Errors   []string
	}{Manifest: f.Manifest, Rows: rows}
	var charts []chart
	for _, l := range f.Lines {
		if l.Error != "" {
			page.Errors = append(page.Errors, l.Key+": "+l.Error)
			continue
		}
		for _, b := range l.Result.Breaches {
			page.Breaches = append(page.Breaches, l.Key+": "+b.String())
		}
	}
	charts = append(charts, scalingCharts(page.Rows)...)
	charts = append(charts, timelineCharts(f.Lines)...)
	for i := range charts {
		text, err := charts[i].svg()
		if err != nil {
			return err
		}
		// generated by this package, so it needs no escaping
		page.Charts = append(page.Charts, template.HTML(text))
	}
	return pageTemplate.Execute(w, page)
}

// maxTimelines is the maximum number of runs drawn second by second.
const maxTimelines = 6

// timelineCharts returns charts over the seconds of the last run of each arm.
func timelineCharts(lines []store.Line) (list []chart) {
	shown := 0
	seen := map[string]bool{}
	for i := len(lines) - 1; i >= 0 && shown < maxTimelines; i-- {
		l := &lines[i]
		if l.Result == nil || l.World == nil {
			continue
		}
		r := l.Result
		name := fmt.Sprintf("%d edge nodes, %d lending servers, %s, %s, seed %d", r.Nodes, r.Servers,
			cmp.Or(r.Fault, "no fault"), r.Variant, r.Seed)
		if arm := fmt.Sprint(r.Nodes, r.Servers, r.Fault, r.Variant); seen[arm] {
			continue
		} else {
			seen[arm] = true
		}
		shown++
		var seconds, share, served, refused, failed, p50, p99, sent, beyond, inFlight, datagrams []float64
		for _, w := range r.Windows {
			seconds = append(seconds, float64(w.Second)+0.5)
			n := float64(max(1, w.Requests))
			share = append(share, w.Earned/max(w.Asked, 1e-9))
			served, refused = append(served, float64(w.Served)/n), append(refused, float64(w.Refused)/n)
			failed = append(failed, float64(w.Failed+w.Lost)/n)
			p50, p99 = append(p50, w.P50), append(p99, w.P99)
			sent, beyond = append(sent, float64(w.Sent)), append(beyond, float64(w.Beyond))
			inFlight, datagrams = append(inFlight, float64(w.InFlight)),
				append(datagrams, float64(w.DatagramsReceived)/float64(r.Nodes))
		}
		const xLabel = "time since the run began (s)"
		list = append(list,
			chart{title: "Worth and outcomes: " + name, x: xLabel, y: "share", faults: l.World.Faults,
				hasYMin: true, lines: []line{
					{"worth earned", seconds, share}, {"served", seconds, served},
					{"refused", seconds, refused}, {"failed or lost", seconds, failed}}},
			chart{title: "Latency of what was served, from the time it was meant to be asked for", x: xLabel,
				y: "latency (ms)", faults: l.World.Faults,
				hasYMin: true, lines: []line{{"median", seconds, p50}, {"99th percentile", seconds, p99}}},
			chart{title: "First sends, and those beyond quota or cap", x: xLabel, y: "requests a second",
				faults: l.World.Faults, hasYMin: true,
				lines: []line{{"first sends", seconds, sent}, {"beyond quota or cap", seconds, beyond}}},
			chart{title: "Most attempts out at once, of all edge nodes", x: xLabel, y: "attempts",
				faults: l.World.Faults, hasYMin: true, lines: []line{{"out", seconds, inFlight}}},
			chart{title: "Datagrams that an edge node takes in", x: xLabel, y: "a second",
				faults: l.World.Faults, hasYMin: true, lines: []line{{"mean of all", seconds, datagrams}}})
	}
	return list
}

// scalingCharts returns charts of value and datagrams by size of the fleet.
func scalingCharts(rows []Row) (list []chart) {
	type arm struct{ fault, variant string }
	values, datagrams := map[arm]*line{}, map[arm]*line{}
	var arms []arm
	sizes := map[int]bool{}
	for _, r := range rows {
		sizes[r.Nodes] = true
		a := arm{r.Fault, r.Variant}
		if values[a] == nil {
			name := strings.TrimSpace(r.Variant + " " + r.Fault)
			values[a], datagrams[a] = &line{name: name}, &line{name: name}
			arms = append(arms, a)
		}
		values[a].x, values[a].y = append(values[a].x, float64(r.Nodes)), append(values[a].y, r.Median)
		datagrams[a].x, datagrams[a].y = append(datagrams[a].x, float64(r.Nodes)),
			append(datagrams[a].y, r.Mail)
	}
	if len(sizes) < 2 {
		return nil
	}
	valueChart := chart{title: "The figure by size of the fleet", x: "edge nodes", y: "worth", logX: true,
		showPoints: true, hasYMin: true}
	datagramChart := chart{title: "Datagrams by size of the fleet", x: "edge nodes",
		y: "a second and edge node", logX: true, showPoints: true, hasYMin: true}
	for _, a := range arms {
		valueChart.lines, datagramChart.lines = append(valueChart.lines, *values[a]),
			append(datagramChart.lines, *datagrams[a])
	}
	return []chart{valueChart, datagramChart}
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>valverlab: {{.Manifest.Name}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:980px;margin:2em auto;padding:0 1em;color:#111;background:#fff}
table{border-collapse:collapse;margin:1em 0;font-variant-numeric:tabular-nums}
th,td{border-bottom:1px solid #bbb;padding:.25em .6em;text-align:right}
td.t,th.t{text-align:left} svg{max-width:100%;height:auto;display:block;margin:1.2em 0}
pre{background:#f2f2f2;padding:.8em;overflow:auto} .bad{font-weight:bold}
</style></head><body>
<h1>{{.Manifest.Name}}</h1>
<p>{{.Manifest.Runs}} runs planned, engine {{.Manifest.Engine}}, build {{.Manifest.Build}}, {{.Manifest.Go}}, begun {{.Manifest.Begun}}.</p>
{{if .Errors}}<h2>Runs that could not be played</h2><pre>{{range .Errors}}{{.}}
{{end}}</pre>{{end}}
<h2>Results</h2>
<p>Worth is the figure of a run: four goals (the whole, the worst ten seconds, the worst plan, the worst class) less what is charged.
A difference is that of the medians over the seeds both arms have, against the first arm of the same size and fault, with the interval
that holds it in 95 of 100 samples drawn anew from the pairs.</p>
<table><tr><th>edge nodes</th><th>servers</th><th class="t">fault</th><th class="t">variant</th><th>seeds</th><th>worth</th><th>difference</th>
<th>interval</th><th>served</th><th>refused</th><th>beyond</th><th>lost</th><th>rules broken</th><th class="t"></th></tr>
{{range .Rows}}<tr><td>{{.Nodes}}</td><td>{{.Servers}}</td><td class="t">{{.Fault}}</td><td class="t">{{.Variant}}</td><td>{{.Seeds}}</td>
<td>{{printf "%.4f" .Median}}</td><td>{{if .Against}}{{printf "%+.4f" .Diff.Diff}}{{end}}</td>
<td>{{if .Against}}{{printf "%+.4f to %+.4f" .Diff.Low .Diff.High}}{{end}}</td><td>{{printf "%.4f" .Served}}</td><td>{{printf "%.4f" .Refused}}</td>
<td>{{printf "%.4f" .Beyond}}</td><td>{{.Lost}}</td><td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</td>
<td class="t">{{.Verdict}}{{if .Unsound}} <span class="bad">{{.Unsound}} unsound</span>{{end}}</td></tr>
{{end}}</table>
<h2>Latency of what was served</h2>
<p>From the time a request was meant to be made to its answer, over all tries; the seeds of an arm together.</p>
<table><tr><th>edge nodes</th><th>servers</th><th class="t">fault</th><th class="t">variant</th><th class="t">class</th><th>served</th>
<th>median (ms)</th><th>99th (ms)</th><th>99.9th (ms)</th></tr>
{{range $r := .Rows}}{{range .Classes}}<tr><td>{{$r.Nodes}}</td><td>{{$r.Servers}}</td><td class="t">{{$r.Fault}}</td><td class="t">{{$r.Variant}}</td>
<td class="t">{{.Name}}</td><td>{{.Served}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P99}}</td><td>{{printf "%.1f" .P999}}</td></tr>
{{end}}{{end}}</table>
{{if .Breaches}}<h2>Rules broken</h2><pre>{{range .Breaches}}{{.}}
{{end}}</pre>{{end}}
{{range .Charts}}{{.}}
{{end}}
{{if .Manifest.File}}<h2>The experiment</h2><pre>{{.Manifest.File}}</pre>{{end}}
<h2>Command</h2><pre>{{range .Manifest.Command}}{{.}} {{end}}</pre>
</body></html>
`))
