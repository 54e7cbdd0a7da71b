package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// smallConfig returns the configuration of a run without processes that takes a few seconds.
func smallConfig() Config {
	return Config{Nodes: 600, Servers: 540, Tenants: 30_000, Rate: 40, Hollow: 6, For: time.Second, Seed: 1}
}

// TestRunSmall checks that a run goes through all phases. Only counts are checked, so the result
// does not depend on the machine's speed.
func TestRunSmall(t *testing.T) {
	c := smallConfig()
	r, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Phases) != 6 || r.Interrupted || r.Hollow.Count != c.Hollow ||
		r.Hollow.Ready.Count != c.Hollow || r.Real.Count != 0 {
		t.Errorf("phases %v, interrupted %v, hollow %+v", r.Phases, r.Interrupted, r.Hollow.Ready)
	}
	q := r.Hollow.Requests
	if q.Asked == 0 || q.Served+q.Refused+q.Failed+q.Lost > q.Asked ||
		r.Hollow.Added.Count != int64(q.Served) {
		t.Errorf("requests %+v, added %+v", q, r.Hollow.Added)
	}
	if r.TenantsHere != c.Tenants*c.Hollow/c.Nodes || r.LongDatagrams != 0 || r.Sink.Datagrams == 0 ||
		r.Hollow.Memory.HeapMB <= 0 {
		t.Errorf("tenants %d, long %d, sink %+v, memory %+v", r.TenantsHere, r.LongDatagrams, r.Sink,
			r.Hollow.Memory)
	}
	kinds := map[string]bool{}
	for _, k := range r.Hollow.Datagrams.Kinds {
		kinds[k.Kind] = true
	}
	if !kinds["ask"] || !kinds["answer"] || !kinds["sight"] {
		t.Errorf("kinds of datagram: %v", kinds)
	}
	wantLines := map[string]int{"one line": 1, "a zone's lines leave": c.Servers / zones,
		"a zone's lines come back": c.Servers / zones}
	for _, change := range r.Changes {
		if change.Lines != wantLines[change.What] || change.Hollow.Of != c.Hollow*change.Count ||
			change.Hollow.Applied > change.Hollow.Of || change.Hollow.Applied == 0 {
			t.Errorf("%+v", change)
		}
		delete(wantLines, change.What)
	}
	if len(wantLines) > 0 {
		t.Errorf("changes missing: %v", wantLines)
	}
	var page bytes.Buffer
	if err := WritePage(&page, r, []string{"a <command>"}); err != nil ||
		bytes.Count(page.Bytes(), []byte("<svg")) != 4 ||
		bytes.Contains(page.Bytes(), []byte("src=")) || bytes.Contains(page.Bytes(), []byte("a <command>")) {
		t.Errorf("error %v, page of %d bytes", err, page.Len())
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}

// TestRunInterrupted checks that a run that is interrupted returns what was measured until then.
func TestRunInterrupted(t *testing.T) {
	for _, test := range []struct {
		at          Phase
		played      int
		wantInvalid bool
	}{{PhaseStart, 0, true}, {PhaseLoad, 3, false}, {PhaseZone, 4, false}} {
		ctx, end := context.WithCancel(t.Context())
		c := smallConfig()
		c.Step = func(phase string) {
			if Phase(phase) == test.at {
				end()
			}
		}
		r, err := Run(ctx, c)
		end()
		if err != nil {
			t.Fatal(err)
		}
		if !r.Interrupted || len(r.Phases) != test.played || test.wantInvalid && r.Invalid == "" {
			t.Errorf("ended at %s: %v, %q", test.at, r.Phases, r.Invalid)
		}
		if got := r.Hollow.Requests.Asked > 0; got != (test.played > 3) {
			t.Errorf("ended at %s: %d requests", test.at, r.Hollow.Requests.Asked)
		}
	}
}

// TestCheck checks that an invalid configuration is refused with the name of the flag.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		field string
		edit  func(*Config)
	}{
		{"nodes", func(c *Config) { c.Nodes = 0 }},
		{"nodes", func(c *Config) { c.Nodes = maxNodes + 1 }},
		{"servers", func(c *Config) { c.Servers = 0 }},
		{"servers", func(c *Config) { c.Servers = maxServers + 1 }},
		{"tenants", func(c *Config) { c.Tenants = -1 }},
		{"rate", func(c *Config) { c.Rate = 0 }},
		{"for", func(c *Config) { c.For = time.Millisecond }},
		{"real", func(c *Config) { c.Real = -1 }},
		{"real", func(c *Config) { c.Real = maxProcesses }},
		{"hollow", func(c *Config) { c.Hollow = -1 }},
		{"hollow", func(c *Config) { c.Hollow = 0 }},
		{"hollow", func(c *Config) { c.Hollow = c.Nodes + 1 }},
	} {
		c := smallConfig()
		test.edit(&c)
		var problem Problem
		if err := c.Check(); !errors.As(err, &problem) || problem.Field != test.field ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want a problem of field %s", c, err, test.field)
		}
	}
	c := smallConfig()
	if err := c.Check(); err != nil {
		t.Error(err)
	}
}

// TestMemoryIsBounded checks that a run that needs over half of the machine's memory is refused
// with the number of edge nodes that fit.
func TestMemoryIsBounded(t *testing.T) {
	machine, err := machineMemory()
	if err != nil {
		t.Fatal(err)
	}
	need := memoryNeed{lab: machine / 100, real: machine / 100, hollow: machine / 10}
	var problem Problem
	if err := need.check(&Config{Real: 1, Hollow: 5}); !errors.As(err, &problem) ||
		problem.Field != "hollow" ||
		!strings.Contains(problem.What, ": 4 hollow ones fit beside 1 real ones") {
		t.Error(err)
	}
	if err := need.check(&Config{Real: 60}); !errors.As(err, &problem) || problem.Field != "real" {
		t.Error(err)
	}
	if err := need.check(&Config{Real: 1, Hollow: 4}); err != nil {
		t.Error(err)
	}
}

// TestInvalidRun checks that requests that were made or handled late and edge nodes that were not
// ready make a run invalid.
func TestInvalidRun(t *testing.T) {
	f := &fleet{Config: Config{Real: 1, Hollow: 1}}
	valid := func() *Result {
		r := &Result{}
		r.Real.Ready.Count, r.Hollow.Ready.Count = 1, 1
		r.Real.Requests.Asked, r.Hollow.Requests.Asked = 1000, 1000
		r.Real.Requests.Late, r.Hollow.Requests.Late, r.Hollow.Requests.Starved = 10, 10, 10
		return r
	}
	if f.invalidReason(valid()) == "" {
		t.Error("a run without a load is sound")
	}
	f.measured.load = &span{}
	if why := f.invalidReason(valid()); why != "" {
		t.Error(why)
	}
	for i, edit := range []func(*Result){
		func(r *Result) { r.Real.Requests.Late++ },
		func(r *Result) { r.Hollow.Requests.Late++ },
		func(r *Result) { r.Hollow.Requests.Starved++ },
		func(r *Result) { r.Hollow.Ready.Count = 0 },
	} {
		r := valid()
		edit(r)
		if f.invalidReason(r) == "" {
			t.Errorf("edit %d does not make the run invalid", i)
		}
	}
}

// TestTenantsLieAmongExisting checks that the sets of all tenants lie among the existing edge
// nodes, and that each of these has tenants.
func TestTenantsLieAmongExisting(t *testing.T) {
	for _, hollow := range []int{1, 2, 7, 200} {
		c := smallConfig()
		c.Hollow = hollow
		w := plannedWorld(&c)
		drawn := drawTenants(&c, w)
		for _, p := range drawn.customers {
			if p.First < 0 || p.Spread < 1 || p.First+p.Spread > hollow {
				t.Fatalf("%d edge nodes exist: a tenant has a set of %d from %d", hollow, p.Spread, p.First)
			}
		}
		for no := range hollow {
			if drawn.count(no) == 0 {
				t.Errorf("%d edge nodes exist: edge node %d has no tenants", hollow, no)
			}
		}
	}
}

// TestWaitForMachineIsCounted checks that only the wait of a request beyond the work of its own
// edge node is attributed to the machine.
func TestWaitForMachineIsCounted(t *testing.T) {
	b := newLoadStats()
	b.addWait(lateThreshold, 0)
	b.addWait(10*lateThreshold, 9*lateThreshold+lateThreshold/2)
	b.addWait(10*lateThreshold, lateThreshold)
	if c := b.takePhase(); c.handledLate != 2 || c.starved != 1 {
		t.Errorf("%d handled late, %d of them due to the machine", c.handledLate, c.starved)
	}
}
