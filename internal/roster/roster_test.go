package roster

import (
	"encoding/json"
	"strings"
	"testing"
)

// All edge nodes must derive the same ID from a uid, since messages between them contain
// these IDs.
func TestServerID(t *testing.T) {
	if id := ID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("%x", id)
	}
	if a, b := ID("loan-7"), ID("loan-8"); a == b || a != ID("loan-7") {
		t.Errorf("%x %x", a, b)
	}
}

const validLine = `{"uid":"s-00000001","endpoint":"127.0.0.1:1","az":"a","pod_group":3,"state":"SERVING","capacity_hint":1.5,"boot_ms":9}`

// Lists are untrusted. Invalid lines are counted and don't affect the other lines.
func TestInvalidLines(t *testing.T) {
	want := Target{UID: "s-00000001", Endpoint: "127.0.0.1:1", Zone: "a", Cell: 3, State: "SERVING", Weight: 1.5, BootMS: 9}
	for why, c := range map[string]struct {
		from, to string
		valid    bool
	}{
		"no uid":              {`"s-00000001"`, `""`, false},
		"uid null":            {`"s-00000001"`, `null`, false},
		"uid of another kind": {`"s-00000001"`, `7`, false},
		"unknown state":       {`"SERVING"`, `"ASLEEP"`, false},
		"no address":          {`"127.0.0.1:1"`, `"here"`, false},
		"cell of another":     {`"pod_group":3`, `"pod_group":"three"`, false},
		"other names":         {`"pod_group":3`, `"pod_group":3,"UID":8,"State":"DRAINING","BOOT_MS":{},"endPoint":"x","more":[]`, true},
	} {
		line := strings.Replace(validLine, c.from, c.to, 1)
		var l List
		err := json.Unmarshal([]byte(`{"rev":4,"Rev":"x","ALL":7,"all":true,"targets":[`+line+`,`+validLine+`,{"uid":"s-2","state":"DELETED"}]}`), &l)
		if n := len(l.Targets); err != nil || l.Rev != 4 || !l.All || (n == 3) != c.valid ||
			l.Invalid != 3-n || (l.InvalidErr == nil) != c.valid || l.Targets[0] != want {
			t.Errorf("%s: %+v, %v", why, l, err)
		}
	}
	line := strings.NewReplacer("1.5", "-1", ":9}", ":1e300}").Replace(validLine)
	var l List
	if err := json.Unmarshal([]byte(`{"targets":[`+line+`]}`), &l); err != nil || l.Targets[0].Weight != 0 || l.Targets[0].Server().HasStart {
		t.Errorf("%+v, %v: invalid numbers were not replaced by 0", l, err)
	}
	for _, text := range []string{`7`, `[]`, `{"rev":"new"}`, `{"targets":{}}`, `{"targets":[{}]}`, `{"targets":[null,7]}`, `{"rev":1.5}`} {
		if err := json.Unmarshal([]byte(text), &List{}); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

// Any list is rejected or converts to valid servers of package policy.
func FuzzList(f *testing.F) {
	f.Add([]byte(`{"rev":3,"all":true,"targets":[` + validLine + `]}`))
	f.Add([]byte(`{"targets":[{"uid":"x","state":"DELETED","boot_ms":1e308}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l List
		if json.Unmarshal(data, &l) != nil {
			return
		}
		for i := range l.Targets {
			s := l.Targets[i].Server()
			if s.Weight < 0 || s.Start < 0 || s.HasStart != (s.Start > 0) && l.Targets[i].BootMS >= 1e-6 {
				t.Fatalf("%+v", s)
			}
		}
	})
}
