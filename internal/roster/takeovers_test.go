package roster

import (
	"fmt"
	"testing"

	"valvering.example/valvering/policy"
)

// A server stays current unless another one that is listed came up at its address later.
func TestFindCurrent(t *testing.T) {
	line := func(uid, addr string, boot float64) Target {
		return Target{UID: uid, Endpoint: addr, State: "SERVING", BootMS: boot}
	}
	const addr, other = "127.0.0.1:1000", "127.0.0.1:1001"
	first, second := ID("s-00000001"), ID("s-00000002")
	for name, c := range map[string]struct {
		changes []Target
		current bool
	}{
		"later start":             {[]Target{line("s-00000002", addr, 7)}, false},
		"same start":              {[]Target{line("s-00000002", addr, 5)}, true},
		"earlier start":           {[]Target{line("s-00000002", addr, 3)}, true},
		"unknown start":           {[]Target{line("s-00000002", addr, 0)}, true},
		"another address":         {[]Target{line("s-00000002", other, 7)}, true},
		"moved there":             {[]Target{line("s-00000002", other, 7), line("s-00000002", addr, 7)}, false},
		"moved away":              {[]Target{line("s-00000002", addr, 7), line("s-00000002", other, 7)}, true},
		"removed again":           {[]Target{line("s-00000002", addr, 7), {UID: "s-00000002", State: Removed}}, true},
		"the first restarted":     {[]Target{line("s-00000002", addr, 7), line("s-00000001", addr, 9)}, true},
		"the first moved":         {[]Target{line("s-00000002", addr, 7), line("s-00000001", other, 5)}, true},
		"a third came up earlier": {[]Target{line("s-00000003", addr, 6), line("s-00000002", addr, 7)}, false},
	} {
		d := NewDirectory()
		d.Update(&List{Targets: []Target{line("s-00000001", addr, 5)}}, true, 0, func(policy.ServerID) {})
		d.Update(&List{Targets: c.changes}, false, 0, func(policy.ServerID) {})
		if _, current := d.FindCurrent(first); current != c.current {
			t.Errorf("%s: current %v", name, current)
		}
		_, listed := d.Find(second)
		replaced := name == "earlier start" || name == "unknown start" // by the first
		if _, current := d.FindCurrent(second); current != (listed && !replaced) {
			t.Errorf("%s: the second server is listed %v and current %v", name, listed, current)
		}
	}
}

// Guards against memory that grows with the number of servers that have come and gone.
func TestTakeoversAreBounded(t *testing.T) {
	d := NewDirectory()
	for i := range 3 * maxTakeovers {
		uid := fmt.Sprintf("s-%08x", i+1)
		d.Update(&List{Targets: []Target{{UID: uid, Endpoint: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255),
			State: "SERVING", BootMS: 1}, {UID: uid, State: Removed}}}, false, 0, func(policy.ServerID) {})
		if n := len(d.takeovers.recent) + len(d.takeovers.older); n > maxTakeovers {
			t.Fatalf("%d addresses kept", n)
		}
	}
}
