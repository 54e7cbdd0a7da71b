package scale

import (
	"html/template"
	"io"

	"valvering.example/valvering/internal/lab/report"
)

// WritePage writes a result as a self-contained HTML page.
func WritePage(w io.Writer, r *Result, command []string) error {
	page := struct {
		*Result
		Groups  []namedGroup
		Command []string
		Charts  []template.HTML
	}{Result: r, Groups: []namedGroup{{"real", &r.Real}, {"hollow", &r.Hollow}}, Command: command}
	for _, c := range charts(r) {
		text, err := report.Plot(c.title, "time since the edge nodes were ready (s)", c.unit, c.lines)
		if err != nil {
			return err
		}
		page.Charts = append(page.Charts, template.HTML(text)) // generated here, so it needs no escaping
	}
	return pageTemplate.Execute(w, page)
}

type namedGroup struct {
	Name string
	*Group
}

type chart struct {
	title, unit string
	lines       []report.Line
}

// charts returns the charts of a run over its seconds.
func charts(r *Result) []chart {
	of := func(name string, group func(*Window) *WindowOf, figure func(*WindowOf) float64) report.Line {
		l := report.Line{Name: name}
		for i := range r.Windows {
			w := &r.Windows[i]
			l.X, l.Y = append(l.X, w.Second), append(l.Y, figure(group(w)))
		}
		return l
	}
	both := func(figure func(*WindowOf) float64) []report.Line {
		return []report.Line{
			of("real", func(w *Window) *WindowOf { return &w.Real }, figure),
			of("hollow", func(w *Window) *WindowOf { return &w.Hollow }, figure),
		}
	}
	return []chart{
		{"Processor time of an edge node: a real one's process, a hollow one's module", "% of a core",
			both(func(w *WindowOf) float64 { return w.CPUPercent })},
		{"Time over what the server took, 99th percentile of each second", "ms",
			both(func(w *WindowOf) float64 { return w.P99MS })},
		{"Time over what the server took, median of each second", "ms",
			both(func(w *WindowOf) float64 { return w.P50MS })},
		{"Requests, of all edge nodes of a sort", "a second",
			both(func(w *WindowOf) float64 { return float64(w.Requests) })},
	}
}

var pageTemplate = template.Must(template.New("scale").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Scale run</title><style>
body{font:14px/1.5 sans-serif;max-width:72em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}
.t{text-align:left}.bad{color:#b00020;font-weight:bold}pre{background:#f4f4f4;padding:1em;overflow:auto}
</style></head><body>
<h1>Scale run: {{.Nodes}} edge nodes, {{.Servers}} lending servers, {{.Tenants}} tenants told</h1>
{{if .Invalid}}<p class="bad">Unsound: {{.Invalid}}</p>{{end}}{{if .Interrupted}}<p class="bad">Ended before it was through.</p>{{end}}
<p>{{printf "%g" .Rate}} requests a second and edge node for {{printf "%g" .ForS}} s; seed {{.Seed}}; {{.CPUs}} cores, load average {{.LoadAverage}};
phases played whole: {{range .Phases}}{{.}} {{end}}</p>
<ul>{{range .Scaled}}<li>{{.}}</li>{{end}}</ul>
<table><tr><th class="t">of one edge node</th>{{range .Groups}}<th>{{.Count}} {{.Name}}</th>{{end}}</tr>
<tr><td class="t">ready: count, median, most (s)</td>{{range .Groups}}<td>{{.Ready.Count}}, {{printf "%.2f" .Ready.P50S}}, {{printf "%.2f" .Ready.MaxS}}</td>{{end}}</tr>
<tr><td class="t">processor time at rest (% of a core)</td>{{range .Groups}}<td>{{printf "%.2f" .CPU.RestPercent}}</td>{{end}}</tr>
<tr><td class="t">under load (% of a core)</td>{{range .Groups}}<td>{{printf "%.1f" .CPU.LoadPercent}}</td>{{end}}</tr>
<tr><td class="t">of a request (us)</td>{{range .Groups}}<td>{{printf "%.1f" .CPU.RequestUS}}</td>{{end}}</tr>
<tr><td class="t">of a datagram (us)</td>{{range .Groups}}<td>{{printf "%.1f" .CPU.DatagramUS}}</td>{{end}}</tr>
<tr><td class="t">of a changed line (ms)</td>{{range .Groups}}<td>{{printf "%.2f" .CPU.LineChangeMS}}</td>{{end}}</tr>
<tr><td class="t">of a zone that leaves, comes back (ms)</td>{{range .Groups}}<td>{{printf "%.1f" .CPU.ZoneLostMS}}, {{printf "%.1f" .CPU.ZoneBackMS}}</td>{{end}}</tr>
<tr><td class="t">resident, most; heap (MB)</td>{{range .Groups}}<td>{{printf "%.1f" .Memory.ResidentMB}}, {{printf "%.1f" .Memory.ResidentMaxMB}}; {{printf "%.2f" .Memory.HeapMB}}</td>{{end}}</tr>
<tr><td class="t">added: 50, 99, 99.9 in 100 (ms)</td>{{range .Groups}}<td>{{printf "%.2f" .Added.P50MS}}, {{printf "%.2f" .Added.P99MS}}, {{printf "%.2f" .Added.P999MS}}</td>{{end}}</tr>
<tr><td class="t">the same while a zone changes (ms)</td>{{range .Groups}}<td>{{printf "%.2f" .ZoneAdded.P50MS}}, {{printf "%.2f" .ZoneAdded.P99MS}}, {{printf "%.2f" .ZoneAdded.P999MS}}</td>{{end}}</tr>
<tr><td class="t">requests: asked, served, refused, failed, lost</td>{{range .Groups}}<td>{{.Requests.Asked}}, {{.Requests.Served}}, {{.Requests.Refused}}, {{.Requests.Failed}}, {{.Requests.Lost}}</td>{{end}}</tr>
<tr><td class="t">datagrams a second: in, out, in scaled</td>{{range .Groups}}<td>{{printf "%.1f" .Datagrams.In.Datagrams}}, {{printf "%.1f" .Datagrams.Out.Datagrams}}, {{printf "%.1f" .Datagrams.InScaled.Datagrams}}</td>{{end}}</tr>
<tr><td class="t">their bytes a second</td>{{range .Groups}}<td>{{printf "%.0f" .Datagrams.In.Bytes}}, {{printf "%.0f" .Datagrams.Out.Bytes}}, {{printf "%.0f" .Datagrams.InScaled.Bytes}}</td>{{end}}</tr>
</table>
{{range .Groups}}{{if .Datagrams.Kinds}}<h2>Datagrams of a {{.Name}} one, a second</h2>
<table><tr><th class="t">kind</th><th>in</th><th>bytes</th><th>out</th><th>bytes</th></tr>
{{range .Datagrams.Kinds}}<tr><td class="t">{{.Kind}}</td><td>{{printf "%.2f" .In.Datagrams}}</td><td>{{printf "%.0f" .In.Bytes}}</td><td>{{printf "%.2f" .Out.Datagrams}}</td><td>{{printf "%.0f" .Out.Bytes}}</td></tr>
{{end}}</table>{{end}}{{end}}
{{if .Hollow.CPU.Causes}}<h2>Processor time of the module in hollow ones, by cause, under load</h2>
<table><tr><th class="t">cause</th><th>count</th><th>mean (us)</th></tr>
{{range .Hollow.CPU.Causes}}<tr><td class="t">{{.Cause}}</td><td>{{.Count}}</td><td>{{printf "%.2f" .MeanUS}}</td></tr>
{{end}}</table>{{end}}
<h2>Changes of discovery's list</h2>
<table><tr><th class="t">change</th><th>lines</th><th>changes</th><th>real: taken, median, most (ms)</th><th>hollow</th></tr>
{{range .Changes}}<tr><td class="t">{{.What}}</td><td>{{.Lines}}</td><td>{{.Count}}</td><td>{{.Real.Applied}} of {{.Real.Of}}, {{printf "%.1f" .Real.P50MS}}, {{printf "%.1f" .Real.MaxMS}}</td>
<td>{{.Hollow.Applied}} of {{.Hollow.Of}}, {{printf "%.1f" .Hollow.P50MS}}, {{printf "%.1f" .Hollow.MaxMS}}</td></tr>
{{end}}</table>
{{range .Charts}}{{.}}
{{end}}
<h2>Command</h2><pre>{{range .Command}}{{.}} {{end}}</pre>
</body></html>
`))
