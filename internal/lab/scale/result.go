package scale

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Result holds the measurements of a run. Figures of phases that were not reached are 0. Phases
// names the phases that ran to their end.
type Result struct {
	Nodes       int      `json:"nodes"`
	Servers     int      `json:"servers"`
	Tenants     int      `json:"tenants"`
	Rate        float64  `json:"rate"`
	ForS        float64  `json:"for_s"`
	Seed        uint64   `json:"seed"`
	CPUs        int      `json:"cpus"`
	LoadAverage string   `json:"load_average"` // of the machine at the end, over 1, 5 and 15 minutes
	TookS       float64  `json:"took_s"`
	Phases      []Phase  `json:"phases"`
	Interrupted bool     `json:"interrupted"`
	Invalid     string   `json:"unsound,omitempty"`
	Scaled      []string `json:"scaled"` // notes on figures that are extrapolated or simplified

	TenantsHere     int        `json:"tenants_here"`     // with sets among the existing edge nodes
	TenantsPerNode  float64    `json:"tenants_per_node"` // mean number of tenants of an edge node
	Real            Group      `json:"real"`
	Hollow          Group      `json:"hollow"`
	Changes         []Change   `json:"changes"`
	Sink            Flow       `json:"sink"` // datagrams a second to edge nodes that don't exist
	Decode          DecodeCost `json:"decode"`
	LabRestPercent  float64    `json:"lab_rest_percent"` // of a core: the lab and all hollow edge nodes
	LabLoadPercent  float64    `json:"lab_load_percent"`
	NeedMB          float64    `json:"need_mb"` // estimated before the run
	MachineMB       float64    `json:"machine_mb"`
	LongDatagrams   int64      `json:"long_datagrams"` // over the limit of 256 bytes
	DiscoveryErrors int64      `json:"discovery_errors"`
	Windows         []Window   `json:"windows"`
}

// Group is one kind of edge node. Figures are means for one edge node unless stated otherwise.
type Group struct {
	Count     int       `json:"count"`
	Ready     Ready     `json:"ready"`
	CPU       CPU       `json:"cpu"`
	Memory    Memory    `json:"memory"`
	Requests  Requests  `json:"requests"`
	Added     Added     `json:"added"`
	ZoneAdded Added     `json:"zone_added"` // while a zone's servers were removed and restored
	Datagrams Datagrams `json:"datagrams"`
}

// Ready is the time from an edge node's start until it is ready.
type Ready struct {
	Count int     `json:"count"`
	P50S  float64 `json:"p50_s"`
	P90S  float64 `json:"p90_s"`
	MaxS  float64 `json:"most_s"`
}

// CPU is the processor time of a real edge node's process, or of the policy module of a hollow one.
type CPU struct {
	RestPercent  float64     `json:"rest_percent"` // of a core
	LoadPercent  float64     `json:"load_percent"`
	RequestUS    float64     `json:"request_us"` // above rest, with all work that a request causes
	DatagramUS   float64     `json:"datagram_us"`
	LineChangeMS float64     `json:"line_change_ms"` // above rest; 0 if no edge node applied the change
	ZoneLostMS   float64     `json:"zone_lost_ms"`   // above load
	ZoneBackMS   float64     `json:"zone_back_ms"`
	Causes       []CauseCost `json:"causes,omitempty"` // of hollow edge nodes under load
}

// CauseCost is the processor time of the module for one cause.
type CauseCost struct {
	Cause  string  `json:"cause"`
	Count  int64   `json:"count"`
	MeanUS float64 `json:"mean_us"`
}

// Memory is the memory of an edge node in MB: medians and the maximum of real ones, means of hollow
// ones.
type Memory struct {
	ResidentMB    float64 `json:"resident_mb"`
	ResidentMaxMB float64 `json:"resident_most_mb"`
	HeapMB        float64 `json:"heap_mb"`
}

// Requests counts the requests of the load, over all edge nodes of a kind.
type Requests struct {
	Asked       int    `json:"asked"`
	Late        int    `json:"late"`         // made over 50 ms after their scheduled time
	HandledLate int    `json:"handled_late"` // waited over 50 ms for the loop of a hollow edge node
	Starved     int    `json:"starved"`      // over 50 ms of this wait were due to the machine
	Served      int    `json:"served"`
	Refused     int    `json:"refused"`
	Failed      int    `json:"failed"`
	Lost        int    `json:"lost"`
	LostWhy     string `json:"lost_why,omitempty"` // error of the first lost request
}

// Added is the time of requests above the service time, in milliseconds.
type Added struct {
	Count  int64   `json:"count"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
	MaxMS  float64 `json:"most_ms"`
}

// Flow is the datagrams and bytes of a second.
type Flow struct {
	Datagrams float64 `json:"datagrams"`
	Bytes     float64 `json:"bytes"`
}

// Limits on the datagrams that an edge node receives in a second.
const (
	MaxDatagramsPerSecond = 100
	MaxBytesPerSecond     = 12 << 10 // bytes
)

// Datagrams are the datagrams of one edge node in a second of the load.
type Datagrams struct {
	In           Flow       `json:"in"`
	Out          Flow       `json:"out"`
	InPeak       int        `json:"in_peak"`       // maximum that one edge node received in a second
	InScaled     Flow       `json:"in_scaled"`     // extrapolated to the whole fleet
	BoundPart    float64    `json:"bound_part"`    // InScaled as a part of 100 datagrams a second
	BytesPart    float64    `json:"bytes_part"`    // InScaled as a part of 12 KB a second
	DroppedFull  int64      `json:"dropped_full"`  // by hollow edge nodes with a full event queue
	PerRequestIn float64    `json:"in_a_request"`  // received per request of the edge node
	PerRequest   float64    `json:"out_a_request"` // sent per request of the edge node
	Kinds        []KindFlow `json:"kinds"`
}

// KindFlow is the flow of one kind of datagram.
type KindFlow struct {
	Kind string `json:"kind"`
	In   Flow   `json:"in"`
	Out  Flow   `json:"out"`
}

// Change is a change of discovery's list and the time until edge nodes applied it.
type Change struct {
	What   string    `json:"what"`
	Lines  int       `json:"lines"`
	Count  int       `json:"count"` // number of such changes
	Real   ApplyTime `json:"real"`
	Hollow ApplyTime `json:"hollow"`
}

// ApplyTime is the time from a change until edge nodes applied it.
type ApplyTime struct {
	Applied int     `json:"taken"` // edge nodes that applied it, summed over all such changes
	Of      int     `json:"of"`
	P50MS   float64 `json:"p50_ms"`
	MaxMS   float64 `json:"most_ms"`
}

// DecodeCost is the processor time to decode the largest response of discovery.
type DecodeCost struct {
	Bytes int     `json:"bytes"`
	MS    float64 `json:"ms"`
}

// Window is one second of a run.
type Window struct {
	Second float64  `json:"second"`
	Phase  Phase    `json:"phase"`
	Real   WindowOf `json:"real"`
	Hollow WindowOf `json:"hollow"`
}

// WindowOf is one second of one kind of edge node.
type WindowOf struct {
	Requests   int     `json:"requests"`
	CPUPercent float64 `json:"cpu_percent"`
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
}

// result builds the result from the measurements.
func (f *fleet) result() *Result {
	m := &f.measured
	r := &Result{Nodes: f.Nodes, Servers: f.Servers, Tenants: f.Tenants, Rate: f.Rate, ForS: f.For.Seconds(),
		Seed: f.Seed, CPUs: runtime.NumCPU(),
		LoadAverage: loadAverage(), TookS: time.Since(m.startedAt).Seconds(), Phases: m.phases,
		Interrupted: m.interrupted, TenantsHere: len(f.tenants.customers),
		Decode: f.decoder.cost(), LongDatagrams: f.network.oversized.Load(),
		DiscoveryErrors: f.discoveryErrors.Load(), Windows: m.windows}
	r.NeedMB = (f.need.lab + f.need.real*float64(f.Real) + f.need.hollow*float64(f.Hollow)) / megabyte
	if machine, err := machineMemory(); err == nil {
		r.MachineMB = machine / megabyte
	}
	for no := range f.existing() {
		r.TenantsPerNode += float64(f.tenants.count(no)) / float64(f.existing())
	}
	lab := func(s *span) time.Duration { return s.lab }
	r.LabRestPercent, r.LabLoadPercent = cpuPercent(m.rest, lab, 1), cpuPercent(m.load, lab, 1)
	r.Scaled = f.scaled()
	f.realGroup(&r.Real)
	f.hollowGroup(&r.Hollow)
	for nodeKind, g := range []*Group{realNode: &r.Real, hollowNode: &r.Hollow} {
		f.fillLoad(g, nodeKind)
		f.fillDatagrams(g, nodeKind)
	}
	if t := m.traffic; t != nil && t.length > 0 {
		r.Sink = Flow{float64(t.sink.datagrams) / t.length.Seconds(),
			float64(t.sink.bytes) / t.length.Seconds()}
	}
	r.Changes = f.changes()
	r.Invalid = f.invalidReason(r)
	return r
}

// scaled returns notes on the figures that are extrapolated or simplified.
func (f *fleet) scaled() []string {
	return []string{
		fmt.Sprintf("%d of %d edge nodes exist; datagrams to the others end in sinks", f.existing(), f.Nodes),
		fmt.Sprintf("%d of %d tenants: those whose sets lie among the edge nodes that exist; quotas are scaled to the demand",
			len(f.tenants.customers), f.Tenants),
		"in_scaled: sights and verdicts taken in grow by the part of the edge nodes that exists, other kinds are as measured",
		"hollow edge nodes share the decoding of a list; its cost is told once",
		"every server serves every attempt, also one that has left the list",
	}
}

// aboveBaseline returns the processor time of an edge node in a span above the rate of a baseline
// span.
func aboveBaseline(s, base *span, sum func(*span) time.Duration, nodes int) time.Duration {
	if s == nil || nodes == 0 {
		return 0
	}
	total := sum(s)
	if base != nil && base.length > 0 {
		total -= time.Duration(float64(sum(base)) * s.length.Seconds() / base.length.Seconds())
	}
	return total / time.Duration(nodes)
}

func cpuPercent(s *span, sum func(*span) time.Duration, nodes int) float64 {
	if s == nil || nodes == 0 || s.length <= 0 {
		return 0
	}
	return 100 * sum(s).Seconds() / s.length.Seconds() / float64(nodes)
}

// fillCPU sets the processor times that both kinds of edge node have.
func (f *fleet) fillCPU(g *Group, sum func(*span) time.Duration, nodeKind int) {
	m, n := &f.measured, g.Count
	g.CPU.RestPercent, g.CPU.LoadPercent = cpuPercent(m.rest, sum, n), cpuPercent(m.load, sum, n)
	if asked := m.loadCounts[nodeKind].asked; asked > 0 && n > 0 {
		g.CPU.RequestUS = microseconds(aboveBaseline(m.load, m.rest, sum, n)) * float64(n) / float64(asked)
	}
	if len(m.lineRevs) > 0 && f.anyApplied(m.lineRevs[0], nodeKind) {
		g.CPU.LineChangeMS = milliseconds(aboveBaseline(m.lines, m.rest, sum, n)) / float64(len(m.lineRevs))
	}
	if m.zoneRemoved != nil && f.anyApplied(m.zoneRemoved.rev, nodeKind) {
		g.CPU.ZoneLostMS = milliseconds(aboveBaseline(m.zoneRemoved.span, m.load, sum, n))
	}
	if m.zoneRestored != nil && f.anyApplied(m.zoneRestored.rev, nodeKind) {
		g.CPU.ZoneBackMS = milliseconds(aboveBaseline(m.zoneRestored.span, m.load, sum, n))
	}
}

// anyApplied reports whether an edge node of a kind has applied a version. Otherwise the cost of
// the version is unknown.
func (f *fleet) anyApplied(rev int64, nodeKind int) bool {
	for no := range f.applied.latencies(rev) {
		if f.isReal(no) == (nodeKind == realNode) {
			return true
		}
	}
	return false
}

func (f *fleet) realGroup(g *Group) {
	m := &f.measured
	g.Count = f.Real
	f.fillCPU(g, (*span).realTime, realNode)
	if m.flood != nil && m.flooded > 0 {
		g.CPU.DatagramUS = microseconds(aboveBaseline(m.flood, m.rest, (*span).realTime, f.Real)) /
			float64(m.flooded)
	}
	var ready []time.Duration
	for _, p := range f.reals {
		ready = append(ready, p.readiness())
	}
	g.Ready = readyStats(ready)
	if len(m.resident) > 0 {
		column := func(i int) (list []float64) {
			for _, row := range m.resident {
				list = append(list, row[i])
			}
			slices.Sort(list)
			return list
		}
		g.Memory = Memory{median(column(0)), slices.Max(column(1)), median(column(2))}
	}
}

func (f *fleet) hollowGroup(g *Group) {
	m := &f.measured
	g.Count = f.Hollow
	f.fillCPU(g, (*span).hollowTime, hollowNode)
	if m.load != nil {
		sum := m.load.byCause()
		for c := range sum.count {
			if n := sum.count[c]; n > 0 {
				g.CPU.Causes = append(g.CPU.Causes, CauseCost{causeNames[c], n,
					microseconds(sum.time[c]) / float64(n)})
			}
		}
		if n := sum.count[causeDatagram]; n > 0 {
			g.CPU.DatagramUS = microseconds(sum.time[causeDatagram]) / float64(n)
		}
	}
	var ready []time.Duration
	for _, h := range f.hollows {
		_, at, dropped := h.stats()
		ready = append(ready, at)
		g.Datagrams.DroppedFull += dropped
	}
	g.Ready = readyStats(ready)
	if f.Hollow > 0 {
		g.Memory.HeapMB = max(0, m.heap[1]-m.heap[0]) / megabyte / float64(f.Hollow)
	}
}

func readyStats(times []time.Duration) (r Ready) {
	var list []float64
	for _, t := range times {
		if t > 0 {
			list = append(list, t.Seconds())
		}
	}
	if r.Count = len(list); r.Count == 0 {
		return r
	}
	slices.Sort(list)
	r.P50S, r.P90S, r.MaxS = median(list), stat.Quantile(0.9, stat.Empirical, list, nil), list[len(list)-1]
	return r
}

// median returns the median of a sorted list that is not empty.
func median(sorted []float64) float64 { return stat.Quantile(0.5, stat.Empirical, sorted, nil) }

func (f *fleet) fillLoad(g *Group, nodeKind int) {
	c := &f.measured.loadCounts[nodeKind]
	g.Requests = Requests{Asked: c.asked, Late: c.late, HandledLate: c.handledLate, Starved: c.starved,
		Served: c.outcomes[outcomeServed], Refused: c.outcomes[outcomeRefused],
		Failed: c.outcomes[outcomeFailed], Lost: c.outcomes[outcomeLost]}
	if c.lossCause != nil {
		g.Requests.LostWhy = c.lossCause.Error()
	}
	g.Added = addedStats(c)
	g.ZoneAdded = addedStats(&f.measured.zoneCounts[nodeKind])
}

func addedStats(c *loadCount) Added {
	if c.added == nil {
		return Added{}
	}
	return Added{c.added.TotalCount(), c.addedMS(50), c.addedMS(99), c.addedMS(99.9),
		float64(c.added.Max()) / 1000}
}

func (f *fleet) fillDatagrams(g *Group, nodeKind int) {
	t := f.measured.traffic
	if t == nil || g.Count == 0 || t.length <= 0 {
		return
	}
	d := &g.Datagrams
	per := func(v int64) float64 { return float64(v) / t.length.Seconds() / float64(g.Count) }
	for k, name := range kindNames {
		in, out := t.flows[nodeKind][directionIn][k], t.flows[nodeKind][directionOut][k]
		if in.datagrams+out.datagrams == 0 {
			continue
		}
		row := KindFlow{name, Flow{per(in.datagrams), per(in.bytes)},
			Flow{per(out.datagrams), per(out.bytes)}}
		d.Kinds = append(d.Kinds, row)
		d.In, d.Out, d.InScaled = d.In.plus(row.In, 1), d.Out.plus(row.Out, 1),
			d.InScaled.plus(f.scaledIn(name, row), 1)
	}
	d.InPeak = t.peak[nodeKind]
	d.BoundPart, d.BytesPart = d.InScaled.Datagrams/MaxDatagramsPerSecond, d.InScaled.Bytes/MaxBytesPerSecond
	if rate := float64(g.Requests.Asked) / t.length.Seconds() / float64(g.Count); rate > 0 {
		d.PerRequestIn, d.PerRequest = d.In.Datagrams/rate, d.Out.Datagrams/rate
	}
}

// scaledIn extrapolates the received datagrams of a kind to the whole fleet. Failure observations
// and health verdicts come from all edge nodes equally, of which only a part exists. The other
// kinds come from the sets of tenants, all of whose edge nodes exist.
func (f *fleet) scaledIn(name string, row KindFlow) Flow {
	if others := f.existing() - 1; others > 0 &&
		(strings.Contains(name, "sight") || strings.Contains(name, "verdict")) {
		return Flow{}.plus(row.In, float64(f.Nodes-1)/float64(others))
	}
	return row.In
}

func (v Flow) plus(other Flow, factor float64) Flow {
	return Flow{v.Datagrams + factor*other.Datagrams, v.Bytes + factor*other.Bytes}
}

func (f *fleet) changes() (list []Change) {
	m := &f.measured
	if len(m.lineRevs) > 0 {
		list = append(list, f.changeOf("one line", 1, m.lineRevs))
	}
	for _, z := range []struct {
		what string
		zone *zoneChange
	}{{"a zone's lines leave", m.zoneRemoved}, {"a zone's lines come back", m.zoneRestored}} {
		if z.zone != nil {
			list = append(list, f.changeOf(z.what, z.zone.lines, []int64{z.zone.rev}))
		}
	}
	return list
}

func (f *fleet) changeOf(what string, lines int, revs []int64) Change {
	c := Change{What: what, Lines: lines, Count: len(revs)}
	var times [nodeKinds][]float64
	for _, rev := range revs {
		for no, d := range f.applied.latencies(rev) {
			nodeKind := hollowNode
			if f.isReal(no) {
				nodeKind = realNode
			}
			times[nodeKind] = append(times[nodeKind], milliseconds(d))
		}
	}
	c.Real, c.Hollow = applyTimeStats(times[realNode], f.Real*len(revs)),
		applyTimeStats(times[hollowNode], f.Hollow*len(revs))
	return c
}

func applyTimeStats(times []float64, total int) ApplyTime {
	t := ApplyTime{Applied: len(times), Of: total}
	if len(times) > 0 {
		slices.Sort(times)
		t.P50MS, t.MaxMS = median(times), times[len(times)-1]
	}
	return t
}

// invalidReason returns the reason why a run is invalid, or "" if its load was generated on time.
func (f *fleet) invalidReason(r *Result) string {
	if f.measured.load == nil {
		return "it was ended before its load was played"
	}
	if n := r.Real.Ready.Count + r.Hollow.Ready.Count; n < f.existing() {
		return fmt.Sprintf("%d of %d edge nodes were ready within %v", n, f.existing(), readyTimeout)
	}
	for _, s := range []struct {
		name string
		late int
		of   int
	}{
		{"requests to real edge nodes were made", r.Real.Requests.Late, r.Real.Requests.Asked},
		{"requests to hollow edge nodes were made", r.Hollow.Requests.Late, r.Hollow.Requests.Asked},
		{"requests at hollow edge nodes were kept waiting by the machine", r.Hollow.Requests.Starved,
			r.Hollow.Requests.Asked},
	} {
		if part := float64(s.late) / max(1, float64(s.of)); part > maxLateShare {
			return fmt.Sprintf("%.1f%% of the %s, over %v late", 100*part, s.name, lateThreshold)
		}
	}
	return ""
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	words := strings.Fields(string(text))
	return strings.Join(words[:min(3, len(words))], " ")
}
