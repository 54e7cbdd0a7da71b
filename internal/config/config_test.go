package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testSettings = `{"me":0,"balancers":1,"zone":"a","tick_ms":1,"discovery":"push",
 "caps":{"max_attempts":3,"peers":true,"cancel":true,"retry_after":true,"max_retry_after_ms":1500.0,"dial_timeout_ms":250.0,"conn_idle_ms":15000.0},
 "family_info":{"largest":6,"mail_per_s":60},"report":{"names":["cpu","rps"]},"rules":{"drain_grace_ms":250,"cold_share":0.2},
 "classes":[{"name":"lookup","aim_ms":400.0,"hard_limit_ms":10000.0,"semantics":"repeatable","group":"all"},
  {"name":"loan","aim_ms":1000,"hard_limit_ms":10000,"semantics":"by_key","group":"cell","window_ms":2500}],
 "plans":[{"name":"town"},{"name":"tiny","rate":0.5,"store_size":4}]}`

const testFile = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:5"],
 "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"new_field":{"of":"the platform"},"settings":` + testSettings + `}`

func noEnv(string) string { return "" }

func parse(text string) (*File, error) { return Source{noEnv}.Parse([]byte(text)) }

// Each fault names its field, and Parse reports all faults at once.
func TestFaults(t *testing.T) {
	if f, err := parse(testFile); err != nil || len(f.Warnings) > 0 || f.Sockets != 1024 || len(f.Settings.Plans) != 2 {
		t.Fatal(f, err)
	}
	changes := []struct{ field, from, to string }{
		{"listen", `"listen":"127.0.0.1:0"`, `"listen":"here"`},
		{"discovery", `"127.0.0.1:1"`, `""`},
		{"name", `"name":"n0"`, `"name":7`},
		{"peers[0]", `"127.0.0.1:5"`, `"five"`},
		{"peers", `["127.0.0.1:5"]`, `[]`},
		{"peer_listen", `"peer_listen":"127.0.0.1:0"`, `"peer_listen":"x"`},
		{"limits.sockets", `"sockets":1024`, `"sockets":3`},
		{"limits.sockets", `"sockets":1024`, `"sockets":"many"`},
		{"limits.memory_mb", `"memory_mb":192`, `"memory_mb":-1`},
		{"valvering", `"limits"`, `"valvering":7,"limits"`},
		{"valvering.admin", `"limits"`, `"valvering":{"admin":"10.0.0.1:80"},"limits"`},
		{"valvering.admin", `"limits"`, `"valvering":{"admin":"localhost"},"limits"`},
		{"valvering.admin", `"limits"`, `"valvering":{"admin":{"at":1}},"limits"`},
		{"valvering.duties[0]", `"limits"`, `"valvering":{"duties":["a b"]},"limits"`},
		{"valvering.duties[1]", `"limits"`, `"valvering":{"duties":["a","a"]},"limits"`},
		{"valvering.duties", `"limits"`, `"valvering":{"duties":"a"},"limits"`},
		{"valvering.state_dir", `"limits"`, `"valvering":{"state_dir":"here"},"limits"`},
		{"settings", `"settings":{`, `"settings":{},"x":{`},
		{"settings", `"settings":{`, `"x":{`},
		{"settings.me", `"me":0`, `"me":1`},
		{"settings.balancers", `"balancers":1`, `"balancers":0`},
		{"settings.balancers", `"balancers":1`, `"balancers":1e300`},
		{"settings.tick_ms", `"tick_ms":1`, `"tick_ms":0`},
		{"settings.caps.cancel", `"cancel":true`, `"cancel":"often"`},
		{"settings.caps.max_attempts", `"max_attempts":3`, `"max_attempts":-3`},
		{"settings.caps.dial_timeout_ms", `"dial_timeout_ms":250.0`, `"dial_timeout_ms":-1`},
		{"settings.rules.cold_share", `"cold_share":0.2`, `"cold_share":2`},
		{"settings.family_info.largest", `"largest":6`, `"largest":70000`},
		{"settings.family_info.mail_per_s", `"mail_per_s":60`, `"mail_per_s":-1`},
		{"settings.classes.0.semantics", `"repeatable"`, `"often"`},
		{"settings.classes.0.group", `"group":"all"`, `"group":"some"`},
		{"settings.classes.0.aim_ms", `"aim_ms":400.0`, `"aim_ms":"long"`},
		{"settings.classes.0.hard_limit_ms", `"hard_limit_ms":10000.0`, `"hard_limit_ms":0`},
		{"settings.classes.1.window_ms", `"window_ms":2500`, `"window_ms":-2`},
		{"settings.classes.1.name", `"name":"loan"`, `"name":"lookup"`},
		{"settings.classes.0.name", `"name":"lookup"`, `"name":""`},
		{"settings.plans.1.name", `"name":"tiny"`, `"name":"town"`},
		{"settings.plans.1.rate", `"rate":0.5`, `"rate":-0.5`},
		{"settings.plans.1.store_size", `"store_size":4`, `"store_size":0`},
		{"settings.plans", `"plans":[{"name":"town"},{"name":"tiny","rate":0.5,"store_size":4}]`, `"plans":[]`},
	}
	for _, c := range changes {
		text := strings.Replace(testFile, c.from, c.to, 1)
		if text == testFile {
			t.Fatalf("%s: nothing changed", c.field)
		}
		_, err := parse(text)
		var faults Faults
		if !errors.As(err, &faults) || len(faults) != 1 || faults[0].Field != c.field {
			t.Errorf("%s: %v", c.field, err)
		}
	}
	duplicate := strings.Replace(testFile, `["127.0.0.1:5"]`, `["127.0.0.1:5","127.0.0.1:5"]`, 1)
	if _, err := parse(duplicate); err == nil ||
		!strings.Contains(err.Error(), "peers[1]: 127.0.0.1:5 is a duplicate") {
		t.Errorf("%v, want a fault of peers[1]", err)
	}
	all := strings.NewReplacer(`"listen":"127.0.0.1:0"`, `"listen":"here"`, `"sockets":1024`, `"sockets":3`,
		`"aim_ms":400.0`, `"aim_ms":-1`, `"rate":0.5`, `"rate":"x"`, `"repeatable"`, `"often"`).Replace(testFile)
	var faults Faults
	if _, err := parse(all); !errors.As(err, &faults) || len(faults) != 5 {
		t.Errorf("%v, want five faults", err)
	}
	for _, text := range []string{``, `{`, `null`, `[]`, `{"name":"n0"} more`, testFile[:len(testFile)-2]} {
		if _, err := parse(text); !errors.Is(err, ErrUnreadable) {
			t.Errorf("%q: %v", text[:min(len(text), 30)], err)
		}
	}
}

// foreign lists names that the platform may use for its own fields: former names of this
// program's fields, names that differ from known ones in case, and names that look like a
// path.
var foreign = []string{"admin", "state_dir", "duties", "VALVERING", "Valvering", "Name", "LISTEN", "Discovery", "Settings", "Peers",
	"Sockets", "MEMORY_MB", "Me", "Balancers", "UID", "Endpoint", "State", "BOOT_MS", "Rev", "All", "Targets", "", ".", "a.b", "me=7",
	"me", "caps.max_attempts", "classes.0.aim_ms", "classes.count", "plans.0.rate", "0", "count", "x y", "\u00e9", "__proto__"}

// randomValue returns a random JSON value.
func randomValue(rng *rand.Rand, depth int) any {
	switch rng.IntN(9 - depth) {
	case 0:
		return nil
	case 1:
		return rng.IntN(2) == 0
	case 2:
		return []any{0, -1, 1e18, 0.5, 1e300}[rng.IntN(5)]
	case 3:
		return []any{"", "10.0.0.1:9901", "127.0.0.1:9901", "/var/lib/x", "run", "0", "a b", "\n"}[rng.IntN(8)]
	case 4:
		return strings.Repeat("x", rng.IntN(3000))
	case 5:
		return []any{"nightly", "a"}
	case 6:
		return []any{randomValue(rng, depth+1), randomValue(rng, depth+1)}
	}
	if depth == 2 {
		return 7
	}
	return map[string]any{foreign[rng.IntN(len(foreign))]: randomValue(rng, depth+1),
		"listen": randomValue(rng, depth+1)}
}

// addUnknownFields adds random fields with unused names to all objects in a value. The name "me" is
// unused everywhere but in the settings.
func addUnknownFields(rng *rand.Rand, v any, at string) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) { // sorted, so that a seed always gives the same file
			addUnknownFields(rng, v[k], at+"/"+k)
		}
		for range rng.IntN(3) {
			name := foreign[rng.IntN(len(foreign))]
			if _, read := v[name]; !read && (name != "me" || at != "/settings") {
				v[name] = randomValue(rng, 0)
			}
		}
	case []any:
		for _, e := range v {
			addUnknownFields(rng, e, at)
		}
	}
}

// Fields and variables that the platform adds, with any name and value, must not affect
// this program. A field "admin" that the platform added once prevented starts of whole
// fleets.
func TestPlatformMayAddAnything(t *testing.T) {
	text := strings.Replace(testFile, `"limits"`, `"known":{"rev":3,"all":true,"targets":[
		{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":2,"state":"SERVING","capacity_hint":1.5,"boot_ms":7},
		{"uid":"s-2","state":"DELETED"}]},"valvering":{"admin":"127.0.0.1:7"},"limits"`, 1)
	want, err := parse(text)
	if err != nil || len(want.Warnings) > 0 || len(want.KnownServers.Targets) != 2 || want.Admin.Port() != 7 {
		t.Fatal(err, want)
	}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var v map[string]any
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			t.Fatal(err)
		}
		own := v["valvering"]
		delete(v, "valvering") // the platform adds nothing to this program's object
		addUnknownFields(rng, v, "")
		v["valvering"] = own
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Source{func(key string) string {
			if !strings.HasPrefix(key, "GW_") || slices.Contains([]string{"GW_NAME", "GW_LISTEN", "GW_DISCOVERY"}, key) {
				return ""
			}
			return fmt.Sprint(randomValue(rng, 0)) // the platform may set any other variable
		}}.Parse(raw)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, raw)
		}
		if len(got.Warnings) > 1 {
			t.Errorf("seed %d: %q", seed, got.Warnings)
		}
		if got.Warnings = nil; !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: %+v\nwant %+v\n%s", seed, got, want, raw)
		}
	}
}

// This program's fields are read from its own object and variables only. In their former
// places they are ignored, and a single warning names the new place.
func TestOwnFields(t *testing.T) {
	former := `"admin":"127.0.0.1:8","state_dir":"/var/former","duties":["former"],`
	own := `"valvering":{"admin":"127.0.0.1:7","state_dir":"/var/s","duties":["nightly"],"later":1},`
	with := func(env map[string]string, more string) (*File, error) {
		return Source{func(key string) string { return env[key] }}.Parse([]byte(strings.Replace(testFile, `"limits"`, more+`"limits"`, 1)))
	}
	f, err := with(map[string]string{"GW_STATE_DIR": "/var/env"}, former)
	if err != nil || f.Admin.IsValid() || f.StateDir != "" || f.Duties != nil || len(f.Warnings) != 1 ||
		!strings.HasPrefix(f.Warnings[0], "admin, state_dir, duties, GW_STATE_DIR: ") || !strings.Contains(f.Warnings[0], `"valvering"`) {
		t.Errorf("former places: %+v, %v", f, err)
	}
	f, err = with(nil, former+own)
	if err != nil || f.Admin.Port() != 7 || f.StateDir != "/var/s" || f.Duties[0] != "nightly" || len(f.Warnings) != 2 {
		t.Errorf("own: %+v, %v", f, err)
	}
	f, err = with(map[string]string{StateDirEnv: "/run/s"}, own)
	if err != nil || f.StateDir != "/run/s" || f.Admin.Port() != 7 {
		t.Errorf("environment: %+v, %v", f, err)
	}
	var faults Faults
	if _, err = with(map[string]string{StateDirEnv: "run"}, own); !errors.As(err, &faults) || len(faults) != 1 || faults[0].Field != StateDirEnv {
		t.Errorf("invalid environment: %v", err)
	}
}

// An invalid list of known servers must not prevent a start, since discovery provides
// the current list.
func TestInvalidKnownListIsWarning(t *testing.T) {
	for known, want := range map[string]int{`null`: 0, `{"rev":3,"targets":[]}`: 0, `7`: 1,
		`{"targets":[{"uid":"s-1","state":"DELETED"},{"uid":"s-1","state":"DELETED"}]}`: 1,
		`{"targets":[{"uid":"s-1","state":"ASLEEP"}]}`:                                  1, `{"targets":[{"uid":"s-1","state":"DELETED"},{}]}`: 1} {
		f, err := parse(strings.Replace(testFile, `"limits"`, `"known":`+known+`,"limits"`, 1))
		if err != nil || len(f.Warnings) != want {
			t.Errorf("%s: %v, %v", known, err, f)
		}
	}
}

// Reading a file that blocks, as on a disk that hangs, ends with a fault.
func TestFileThatHangs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := readWithTimeout(path, time.Millisecond)
	var faults Faults
	if !errors.As(err, &faults) || faults[0].Field != "file" || errors.Is(err, ErrUnreadable) {
		t.Errorf("%v", err)
	}
	w, err := os.OpenFile(path, os.O_RDWR, 0) // unblocks the goroutine that still reads
	if err != nil {
		t.Fatal(err)
	}
	w.Close()
}

// testHistory is a History with its file and clock.
type testHistory struct {
	*History
	t    *testing.T
	path string
	now  time.Time
}

func newTestHistory(t *testing.T) *testHistory {
	t.Helper()
	b := &testHistory{t: t, path: filepath.Join(t.TempDir(), "config.json"), now: time.Unix(1e9, 0)}
	b.write(testFile)
	h, err := Start(Source{func(key string) string { return map[string]string{"GW_CONFIG": b.path}[key] }}.Load(), b.now)
	if err != nil {
		t.Fatal(err)
	}
	b.History = h
	return b
}

func (b *testHistory) write(text string) {
	b.t.Helper()
	if err := os.WriteFile(b.path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

// offer writes a changed file, proposes it and accepts it if it is valid.
func (b *testHistory) offer(from, to string) error {
	b.t.Helper()
	b.write(strings.Replace(testFile, from, to, 1))
	b.now = b.now.Add(time.Second)
	g, err := b.Propose(b.now, false)
	if err == nil {
		b.Accept(g)
	}
	return err
}

// A rejected file between two valid ones changes nothing, and Refused returns it.
func TestRejectedFileBetweenValidOnes(t *testing.T) {
	b := newTestHistory(t)
	if err := b.offer(`"127.0.0.1:1"`, `"127.0.0.1:2"`); err != nil {
		t.Fatal(err)
	}
	if err := b.offer(`"127.0.0.1:1"`, `"no port"`); err == nil || b.Refused() == nil || b.Current().Number != 2 ||
		b.Current().File.Discovery != "127.0.0.1:2" {
		t.Errorf("%v, %v, %+v", err, b.Refused(), b.Current())
	}
	if err := b.offer(`"127.0.0.1:1"`, `"127.0.0.1:3"`); err != nil || b.Current().Number != 3 ||
		b.Current().File.Discovery != "127.0.0.1:3" || b.Previous().Number != 2 || b.Refused() != nil {
		t.Errorf("%v, %+v, %+v", err, b.Current(), b.Previous())
	}
}

// A file that changes a fixed field is rejected as a whole, and the fault names the field.
func TestFixedFields(t *testing.T) {
	b := newTestHistory(t)
	for _, c := range []struct{ field, from, to string }{
		{"name", `"name":"n0"`, `"name":"n1"`},
		{"listen", `"listen":"127.0.0.1:0"`, `"listen":"127.0.0.1:9"`},
		{"peer_listen", `"peer_listen":"127.0.0.1:0"`, `"peer_listen":"127.0.0.1:9"`},
		{"peers", `["127.0.0.1:5"]`, `["127.0.0.1:6"]`},
		{"peers_all", `"limits"`, `"peers_all":"127.0.0.1:7","limits"`},
		{"valvering.admin", `"limits"`, `"valvering":{"admin":"127.0.0.1:7"},"limits"`},
		{"valvering.duties", `"limits"`, `"valvering":{"duties":["a"]},"limits"`},
		{"settings.zone", `"zone":"a"`, `"zone":"b"`},
		{"settings.tick_ms", `"tick_ms":1`, `"tick_ms":2`},
		{"settings.discovery", `"discovery":"push"`, `"discovery":"ask"`},
		{"settings.caps.peers", `"peers":true`, `"peers":false`},
		{"settings.family_info.mail_per_s", `"mail_per_s":60`, `"mail_per_s":61`},
		{"settings.report.names", `["cpu","rps"]`, `["cpu"]`},
	} {
		err := b.offer(c.from, c.to)
		var faults Faults
		if !errors.As(err, &faults) || !strings.Contains(faults.Error(), c.field+": can't change without a restart") {
			t.Errorf("%s: %v", c.field, err)
		}
	}
	// Fields that only matter at the start and unknown fields may change.
	if err := b.offer(`"seed":"8c1f30d27a5be964"`, `"seed":"1","known":{"rev":9,"targets":[]},"more":1`); err != nil {
		t.Error(err)
	}
	if b.Current().Number != 2 {
		t.Errorf("generation %d", b.Current().Number)
	}
}

// A second rollback in a row is rejected. The file that was rolled back from is put in
// force again by an operator's command or once it has changed, but not by a signal.
func TestRollBack(t *testing.T) {
	b := newTestHistory(t)
	if _, err := b.RollBack(b.now); !errors.Is(err, ErrNoPrevious) {
		t.Errorf("%v with one generation", err)
	}
	if err := b.offer(`"127.0.0.1:1"`, `"127.0.0.1:2"`); err != nil {
		t.Fatal(err)
	}
	g, err := b.RollBack(b.now)
	if err != nil || b.Current().Number != 2 {
		t.Fatal(err, b.Current())
	}
	b.Accept(g)
	if b.Current().Number != 3 || b.Current().File.Discovery != "127.0.0.1:1" {
		t.Errorf("%+v", b.Current())
	}
	if _, err := b.RollBack(b.now); !errors.Is(err, ErrNoPrevious) {
		t.Errorf("%v at the second rollback", err)
	}
	if _, err := b.Propose(b.now, false); !errors.Is(err, ErrUnchanged) {
		t.Errorf("%v for the file that was rolled back from", err)
	}
	if g, err = b.Propose(b.now, true); err != nil || g.File.Discovery != "127.0.0.1:2" {
		t.Errorf("%v for the same file by an operator's command", err)
	}
	if err := b.offer(`"127.0.0.1:1"`, `"127.0.0.1:3"`); err != nil || b.RolledBackDigest() != "" {
		t.Errorf("%v for another file", err)
	}
	if err := b.offer(`"127.0.0.1:1"`, `"127.0.0.1:3"`); !errors.Is(err, ErrUnchanged) {
		t.Errorf("%v for the file in force", err)
	}
}

// A proposed generation is not in force until it is accepted.
func TestProposedIsNotInForce(t *testing.T) {
	b := newTestHistory(t)
	b.write(strings.Replace(testFile, `"127.0.0.1:1"`, `"127.0.0.1:2"`, 1))
	if _, err := b.Propose(b.now, false); err != nil || b.Current().Number != 1 || b.Previous() != nil {
		t.Error(err, b.Current())
	}
}

// A file is untrusted: any input gives a File, Faults or ErrUnreadable. A valid file has no
// changed fields when compared with itself.
func FuzzParse(f *testing.F) {
	f.Add([]byte(testFile))
	f.Add([]byte(`{"settings":{"classes":[{"name":1e999}],"plans":{"count":1e18}}}`))
	f.Add([]byte(`{"limits":{"sockets":1e40},"peers":[null],"known":{"targets":[{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Source{noEnv}.Parse(data)
		var faults Faults
		if err != nil && !errors.Is(err, ErrUnreadable) && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("%T %v", err, err)
		}
		if err == nil && (c == nil || fixedFieldFaults(c, c) != nil ||
			fmt.Sprint(c.Settings.Classes) == "[]") {
			t.Fatalf("accepted as %+v", c)
		}
	})
}

// A restarted process continues from the stored generations, which are as untrusted as
// the file.
func TestResume(t *testing.T) {
	alter := func(port string) string { return strings.Replace(testFile, `"127.0.0.1:1"`, `"127.0.0.1:`+port+`"`, 1) }
	kept := func(n uint64, text string) StoredGeneration {
		return StoredGeneration{Number: n, Digest: DigestOf([]byte(text)), Time: time.Unix(int64(n), 0), Raw: []byte(text)}
	}
	broken := kept(5, alter("5"))
	broken.Raw = broken.Raw[:40]
	faulty := strings.Replace(testFile, `"tick_ms":1`, `"tick_ms":0`, 1)
	for _, c := range []struct {
		name            string
		file            string
		current, before StoredGeneration
		rolledBack      string
		number          uint64 // in force; 0: the start fails
		port            string // of discovery
		previous        uint64 // previous generation; 0: none
		refused         bool
		notes           int
	}{
		{"the same file", alter("5"), kept(5, alter("5")), kept(4, alter("4")), "", 5, "5", 4, false, 0},
		{"a newer file", alter("6"), kept(5, alter("5")), kept(4, alter("4")), "", 6, "6", 5, false, 0},
		{"a faulty file", faulty, kept(5, alter("5")), kept(4, alter("4")), "", 5, "5", 4, true, 1},
		{"half a file", alter("6")[:50], kept(5, alter("5")), StoredGeneration{}, "", 5, "5", 0, true, 1},
		{"rolled back from", alter("6"), kept(7, alter("5")), StoredGeneration{}, DigestOf([]byte(alter("6"))), 7, "5", 0, false, 1},
		{"stored one damaged", alter("6"), broken, kept(4, alter("4")), "", 6, "6", 0, false, 1},
		{"stored one faulty", alter("6"), kept(5, faulty), StoredGeneration{}, "", 6, "6", 0, false, 1},
		{"previous one damaged", alter("5"), kept(5, alter("5")), broken, "", 5, "5", 0, false, 1},
		{"nothing valid", faulty, broken, StoredGeneration{}, "", 0, "", 0, false, 0},
		{"nothing stored", faulty, StoredGeneration{}, StoredGeneration{}, "", 0, "", 0, false, 0},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
			t.Fatal(err)
		}
		src := Source{func(key string) string { return map[string]string{"GW_CONFIG": path}[key] }}
		h, notes, err := Resume(src.Load(), c.current, c.before, c.rolledBack, time.Unix(99, 0))
		if (err != nil) != (c.number == 0) {
			t.Errorf("%s: %v", c.name, err)
		}
		if err != nil {
			continue
		}
		previous := uint64(0)
		if h.Previous() != nil {
			previous = h.Previous().Number
		}
		if h.Current().Number != c.number || h.Current().File.Discovery != "127.0.0.1:"+c.port ||
			previous != c.previous || (h.Refused() != nil) != c.refused || len(notes) != c.notes {
			t.Errorf("%s: generation %d, %s, back to %d, refused %v, %v", c.name, h.Current().Number, h.Current().File.Discovery,
				previous, h.Refused(), notes)
		}
	}
}

// A rollback is rejected if the previous generation is from before a restart and differs
// in a fixed field.
func TestRollBackOverRestart(t *testing.T) {
	b := newTestHistory(t)
	other := strings.Replace(testFile, `["127.0.0.1:5"]`, `["127.0.0.1:6"]`, 1)
	h, _, err := Resume(Source{func(key string) string { return map[string]string{"GW_CONFIG": b.path}[key] }}.Load(),
		StoredGeneration{1, DigestOf([]byte(other)), b.now, []byte(other)}, StoredGeneration{}, "", b.now)
	if err == nil {
		_, err = h.RollBack(b.now)
	}
	if err == nil || !strings.Contains(err.Error(), "peers: can't change") {
		t.Error(err)
	}
}
