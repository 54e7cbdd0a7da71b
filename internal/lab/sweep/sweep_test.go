package sweep

import (
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/policy"
)

// smallOptions returns sweeps with few and small points.
func smallOptions(what ...Quantity) Options {
	return Options{Quantities: what, Repetitions: 2, Seconds: 1,
		Servers: []int{40, 80, 120}, Nodes: []int{300, 400, 500}, Tenants: []int{80, 120, 160},
		Rate: []int{4, 8, 12}, Cut: []int{2, 4, 6}}
}

func runSmall(t *testing.T, what ...Quantity) *Result {
	t.Helper()
	r, err := Run(context.Background(), smallOptions(what...))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestAllMeasures checks that each measure has a value for each repetition at each size, and
// that all measures used by the capacity page exist.
func TestAllMeasures(t *testing.T) {
	r := runSmall(t, Quantities...)
	want := map[Quantity][]string{
		Servers: {memberFree, memberRate, memberBoth, rootRate, rootBoth, tickAtRest, oneLine, zoneLines,
			wholeList, firstList, newSettings, copyServers,
			heapModule, verdictsPerMinute, "list: text", "list: decoded and checked", "list: heap",
			"snapshot: encoded", "snapshot: file"},
		Nodes: {memberFree, rootRate, tickAtRest, heapModule, "edge nodes that watch a server",
			"datagram: sight", "one root of 16 gone: their wait, median", "datagram: verdict",
			"datagram: report", "configuration: parsed and checked", "configuration: heap",
			"peers: table of addresses",
			"lease: choice of voters", "lease: a message at a voter", "operators: GET /status, both ends",
			"a datagram over loopback, sent and received"},
		Tenants: {memberTick, rootTick, newSettings, memberRate, rootRate, heapRoot, heapMember, routeTable,
			busiestMixed, busiestNumbered},
		Rate: {"plan free: sight", "plan rate: ask", "plan rate: answer", "plan cap: ended",
			"plan cap: all kinds", "plan cap: payload"},
		Cut: {"root and deputy on two sides: admitted", "root and deputy on one side: admitted"},
	}
	once := []string{heapRoot, heapMember, busiestMixed, busiestNumbered} // measured once at the end
	for q, names := range want {
		for _, name := range names {
			s := r.Find(q, name)
			if s == nil {
				t.Errorf("%s: no series %q", q, name)
				continue
			}
			for _, p := range s.Points {
				if len(p.Values) != r.Repetitions && !(slices.Contains(once, name) && len(p.Values) == 1) {
					t.Errorf("%s %d, %s: %d values", q, p.X, name, len(p.Values))
				}
			}
			if len(s.Points) != 3 {
				t.Errorf("%s, %s: %d points", q, name, len(s.Points))
			}
		}
	}
	if r.Partial || r.Find(Servers, "no such measure") != nil {
		t.Error("the result is partial, or has a series for an unknown measure")
	}
}

// TestDatagramsAreCounted checks that counts in simulated time are reproducible, and that the kinds
// add up to the total.
func TestDatagramsAreCounted(t *testing.T) {
	a, b := runSmall(t, Rate), runSmall(t, Rate)
	for _, s := range a.Series {
		if s.Unit != "datagrams/s" {
			continue
		}
		other := b.Find(Rate, s.Measure)
		for i, p := range s.Points {
			if !slices.Equal(p.Values, other.Points[i].Values) {
				t.Errorf("%s: %v in the first run, %v in the second", s.Measure, p.Values,
					other.Points[i].Values)
			}
		}
	}
	value := func(measure string, i int) float64 { return a.Find(Rate, measure).Points[1].Values[i] }
	for i := range a.Repetitions {
		if asks := value("plan rate: ask", i); asks == 0 || value("plan free: ask", i) != 0 {
			t.Errorf("%v asks under a rate, %v without quota", asks, value("plan free: ask", i))
		}
		sum := 0.0
		for _, k := range []kind{kindAsk, kindAnswer, kindEnded, kindStillInFlight, kindObservation,
			kindReport} {
			sum += value("plan cap: "+string(k), i)
		}
		if all := value("plan cap: all kinds", i); math.Abs(sum-all) > 1e-9 {
			t.Errorf("%v datagrams by kind, %v in all", sum, all)
		}
		if value("plan cap: ended", i) == 0 || value("plan rate: ended", i) != 0 {
			t.Error("no datagrams on the end of attempts under a cap, or some under a rate")
		}
	}
}

// TestCutGrantsTwiceAtMost checks that during a partition each tenant gets at most twice its
// quota: at its root and at its deputy.
func TestCutGrantsTwiceAtMost(t *testing.T) {
	r := runSmall(t, Cut)
	for _, h := range partitions {
		for _, p := range r.Find(Cut, h.name+": admitted").Points {
			for _, v := range p.Values {
				if burst := 2 * 12 / tightRate; v > 2*float64(p.X)+burst {
					t.Errorf("%s: admitted %v s of the quota in %d s", h.name, v, p.X)
				}
			}
		}
	}
	if two := r.Find(Cut, partitions[0].name+": admitted").Fit.Slope; two < 1.5 {
		t.Errorf("admitted %v times the quota: the demand on the two sides is too low", two)
	}
}

// TestCrashedRootDelaysItsTenants checks that after a root has crashed, some requests of its
// tenants wait for its deputy. Without a crash none does.
func TestCrashedRootDelaysItsTenants(t *testing.T) {
	list, err := measureRootCrash(300, 1)
	if err != nil {
		t.Fatal(err)
	}
	longest, part, wait := list[0].value, list[1].value, list[2].value
	if trip := 2 * float64(networkDelay/time.Millisecond); longest < trip || part <= 0 || part > 0.5 ||
		wait <= longest {
		t.Errorf("waits of at most %v ms without a crash; with a crashed root a part of %v waits %v ms",
			longest, part, wait)
	}
}

// TestInterruptedSweepIsPartial checks that an interrupted run is marked as partial and measures
// nothing after the interruption.
func TestInterruptedSweepIsPartial(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	end()
	r, err := Run(ctx, smallOptions(Quantities...))
	if err != nil || !r.Partial || len(r.Series) != 0 {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestFitLine(t *testing.T) {
	f := fitLine([]float64{0, 1, 2, 3}, []float64{1, 3, 5, 7})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-1) > 1e-9 || math.Abs(f.High-f.Low) > 1e-6 ||
		math.Abs(f.At(10)-21) > 1e-9 {
		t.Errorf("points on a line: %+v", f)
	}
	// Computed by hand: slope 1.4, residuals 0.2 over 2 degrees of freedom, spread 5, t 4.303.
	f = fitLine([]float64{1, 2, 3, 4}, []float64{1, 3, 4, 5.4})
	residuals := 0.0
	for i, y := range []float64{1, 3, 4, 5.4} {
		residuals += math.Pow(y-f.At(float64(i+1)), 2)
	}
	margin := 4.302652729911275 * math.Sqrt(residuals/2/5)
	if math.Abs(f.High-f.Slope-margin) > 1e-9 || math.Abs(f.Slope-f.Low-margin) > 1e-9 {
		t.Errorf("interval %+v, want a margin of %v", f, margin)
	}
	if f := fitLine([]float64{1, 2}, []float64{1, 1}); f.Slope != 0 || f.Low != 0 || f.High != 0 ||
		f.R2 != 0 {
		t.Errorf("two points with equal values: %+v", f)
	}
	if f := fitLine([]float64{1}, []float64{1}); f != (Fit{}) {
		t.Errorf("one point: %+v", f)
	}
}

func TestKindOf(t *testing.T) {
	for _, c := range []struct {
		data string
		want kind
	}{{"", kindOther}, {"\x03", kindOther}, {"\x03\x00", kindAsk}, {"\x03\x04rest", kindVerdict},
		{"\x03\x63", kindOther},
		{"\x06", kindReport}, {"\x4c\x00", kindOther}} {
		if got := kindOf([]byte(c.data)); got != c.want {
			t.Errorf("%q: %s, want %s", c.data, got, c.want)
		}
	}
}

// TestKindsMatchPolicy checks that the kinds match the encoding of package policy, which also
// reads the ask.
func TestKindsMatchPolicy(t *testing.T) {
	names, err := tenantsOf(300, 1)
	if err != nil {
		t.Fatal(err)
	}
	g, err := newGateway(member, 300, serverList(1))
	if err != nil {
		t.Fatal(err)
	}
	asks := datagramsOfKind(g.Handle(startTime, request(1, names[0], planRate), nil), kindAsk)
	if len(asks) != 1 {
		t.Fatalf("%d asks, want 1", len(asks))
	}
	if _, ok := policy.ReadAsk(asks[0].Data); !ok {
		t.Error("package policy does not read the datagram as an ask")
	}
}

// TestWrite checks that Write creates a directory with the result, its tables and a plot for each
// measure.
func TestWrite(t *testing.T) {
	r, dir := runSmall(t, Rate), filepath.Join(t.TempDir(), "new")
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, resultFile))
	if err != nil {
		t.Fatal(err)
	}
	var back Result
	if err := json.Unmarshal(data, &back); err != nil || len(back.Series) != len(r.Series) {
		t.Errorf("%d series of %d, %v", len(back.Series), len(r.Series), err)
	}
	table, err := os.ReadFile(filepath.Join(dir, tableFile))
	if err != nil || strings.Count(string(table), "\n| ") != len(r.Series)+2 { // plus the header and the rule
		t.Errorf("%v:\n%s", err, table)
	}
	if plots, err := filepath.Glob(filepath.Join(dir, "*.svg")); err != nil || len(plots) != len(r.Series) {
		t.Errorf("%d plots of %d, %v", len(plots), len(r.Series), err)
	}
}
