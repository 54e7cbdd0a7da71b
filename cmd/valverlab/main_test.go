package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"valvering.example/valvering/internal/lab/explain"
	"valvering.example/valvering/internal/lab/tally"
)

// runCLI runs a command within the test process.
func runCLI(args ...string) (code int, out, warn string) {
	var o, w bytes.Buffer
	code = runCommand(args, &o, &w)
	return code, o.String(), w.String()
}

// TestDemo checks that the demo runs real edge nodes on loopback under load and yields a complete
// result as JSON, stories and a report. A machine that is too slow for the load changes only the
// exit code.
func TestDemo(t *testing.T) {
	program := filepath.Join(t.TempDir(), programName)
	if out, err := exec.Command("go", "build", "-o", program,
		"../"+programName).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dir := filepath.Join(t.TempDir(), "out")
	code, out, warn := runCLI("demo", "--for", "3s", "--node", program, "--out", dir, "--json", "--fault",
		"crash-wave")
	if code != exitOK && code != exitLoadNotSustained {
		t.Fatalf("exit %d\n%s%s", code, out, warn)
	}
	var r tally.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if r.Requests == 0 || r.Served == 0 || r.Engine != "live" ||
		r.Requests != r.Served+r.Refused+r.Failed+r.Lost {
		t.Errorf("%+v", r)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) < 5 || bytes.Contains(page, []byte("src=")) {
		t.Errorf("report: %v, %d bytes", err, len(page))
	}
	if code, out, warn := runCLI("explain", dir, "w0000001"); code != 0 ||
		!strings.Contains(out, "comes in") {
		t.Errorf("exit %d: %s%s", code, out, warn)
	}
}

// TestDemoReportsCrash checks that an edge node process that exits unexpectedly breaks a rule; the
// breach names the edge node and the signal.
func TestDemoReportsCrash(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, programName)
	if out, err := exec.Command("go", "build", "-o", program,
		"../"+programName).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	fragile := filepath.Join(dir, "fragile") // a background child kills the process of the second edge node
	text := "#!/bin/sh\ncase $GW_CONFIG in */n1.json) (sleep 1; kill -9 $$) >/dev/null 2>&1 & ;; esac\nexec " +
		program + "\n"
	if err := os.WriteFile(fragile, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	code, out, warn := runCLI("demo", "--for", "3s", "--node", fragile, "--json")
	var r tally.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("exit %d, %v: %s%s", code, err, out, warn)
	}
	if code != exitRuleBroken || r.Rules[tally.Crash] != 1 {
		t.Errorf("exit %d, %v", code, r.Rules)
	}
	for _, b := range r.Breaches {
		if b.Rule == tally.Crash && (b.Node != 1 || !strings.Contains(b.What, "signal: killed")) {
			t.Errorf("%v", b)
		}
	}
}

// TestSimAndExplain checks that a simulated run is repeatable, and that explain and ledger
// account for all of its loss.
func TestSimAndExplain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	args := []string{"sim", "--nodes", "45", "--servers", "20", "--for", "4s", "--seed", "3", "--fault",
		"zone-cut"}
	code, one, warn := runCLI(append(args, "--json", "--out", dir)...)
	if code != exitOK {
		t.Fatalf("exit %d: %s%s", code, one, warn)
	}
	var keys map[string]any
	if err := json.Unmarshal([]byte(one), &keys); err != nil {
		t.Fatal(err)
	}
	for _, k := range []string{"requests", "served", "refused", "failed", "lost", "rules", "worth", "seed",
		"digest"} {
		if _, ok := keys[k]; !ok {
			t.Errorf("the result has no key %q", k)
		}
	}
	if _, two, _ := runCLI(append(args, "--json")...); two != one {
		t.Error("the same run without --out printed another result")
	}
	code, out, warn := runCLI("explain", dir, "--worst", "2", "--json")
	var worst struct {
		Lost   float64
		Causes []struct {
			Lost    float64
			Dearest []struct{ ID string }
		}
	}
	if err := json.Unmarshal([]byte(out), &worst); err != nil || code != 0 || len(worst.Causes) == 0 {
		t.Fatalf("exit %d, %v: %s%s", code, err, out, warn)
	}
	sum := 0.0
	for _, c := range worst.Causes {
		sum += c.Lost
	}
	if d := sum - worst.Lost; d > 1e-6*sum || -d > 1e-6*sum || worst.Lost <= 0 {
		t.Errorf("causes sum to %v of %v", sum, worst.Lost)
	}
	for _, by := range []string{"", "class", "plan", "second"} {
		code, out, warn := runCLI("ledger", dir, "--by", by, "--json")
		var ledger struct{ Accounts []explain.Account }
		if err := json.Unmarshal([]byte(out), &ledger); err != nil || code != 0 || len(ledger.Accounts) == 0 {
			t.Fatalf("by %q: exit %d, %v: %s%s", by, code, err, out, warn)
		}
		lost := 0.0
		for _, a := range ledger.Accounts {
			rest := a.Asked - a.Earned
			for _, v := range a.Lost {
				rest, lost = rest-v, lost+v
			}
			if rest > 1e-6*a.Asked || -rest > 1e-6*a.Asked {
				t.Errorf("by %q: earned and lost value of %s differ by %v from %v asked for", by, a.Name,
					rest, a.Asked)
			}
		}
		if d := lost - worst.Lost; d > 1e-6*lost || -d > 1e-6*lost {
			t.Errorf("by %q: the ledger lost %v, explain lost %v", by, lost, worst.Lost)
		}
	}
	if code, out, _ := runCLI("ledger", dir, "--by", "class"); code != 0 ||
		!strings.Contains(out, "katalog") {
		t.Errorf("exit %d: %s", code, out)
	}
	if code, out, _ := runCLI("explain", dir, worst.Causes[0].Dearest[0].ID); code != 0 ||
		!strings.Contains(out, "client asks") {
		t.Errorf("exit %d: %s", code, out)
	}
	if code, _, warn := runCLI("sim", "--out", dir); code != exitFailure ||
		!strings.Contains(warn, "holds results already") {
		t.Errorf("exit %d: %s", code, warn)
	}
}

// TestExperiment checks that an experiment with a baseline and an adapter can be run, resumed
// after a truncated results file, and compared with another. An adapter that crashes is reported
// with its stderr.
func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "adapter"),
		"../adapter").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text := `name = "arms"
[matrix]
sizes = [[12, 6]]
faults = ["none"]
seeds = [1, 2, 3]
[world]
for = "3s"
warm = "300ms"
[[variant]]
name = "module"
[[variant]]
name = "wire"
adapter = "adapter"
[[variant]]
name = "random"
baseline = "all"
`
	file := write("arms.toml", text)
	if code, out, warn := runCLI("check", file); code != 0 || !strings.Contains(out, "9 runs") {
		t.Errorf("exit %d: %s%s", code, out, warn)
	}
	out := filepath.Join(dir, "a")
	code, table, warn := runCLI("run", file, "--out", out, "--workers", "3")
	if code != exitOK {
		t.Fatalf("exit %d: %s%s", code, table, warn)
	}
	// The adapter hosts the same module, so the two arms differ only by the rounding of
	// times on the wire.
	if !strings.Contains(table, "random") || !strings.Contains(table, "wire") {
		t.Errorf("%s", table)
	}
	data, _ := os.ReadFile(filepath.Join(out, "runs.jsonl"))
	// as after a kill in the middle of a write
	if err := os.WriteFile(filepath.Join(out, "runs.jsonl"), data[:len(data)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	if code, _, warn := runCLI("run", file, "--out", out); code != exitFailure {
		t.Errorf("exit %d: %s", code, warn)
	}
	if code, again, warn := runCLI("run", file, "--out", out, "--resume"); code != 0 || again != table {
		t.Errorf("exit %d: %s\n%s\nwas\n%s", code, warn, again, table)
	}
	other := filepath.Join(dir, "b")
	if code, _, warn := runCLI("run", write("arms2.toml", strings.Replace(text, `warm = "300ms"`, `warm = "300ms"
[world.net]
loss = 0.4`, 1)), "--out", other); code != 0 {
		t.Fatalf("exit %d: %s", code, warn)
	}
	if code, out, warn := runCLI("compare", out, other); code != 0 || strings.Count(out, "3 pairs") != 3 {
		t.Errorf("exit %d: %s%s", code, out, warn)
	}
	// The error of an adapter that exits early includes its stderr.
	dead := write("dead.sh", "#!/bin/sh\necho it hurts >&2\nexit 7\n")
	if err := os.Chmod(dead, 0o755); err != nil {
		t.Fatal(err)
	}
	code, _, warn = runCLI("run", write("dead.toml", strings.Replace(text, `"adapter"`, `"dead.sh"`, 1)),
		"--out", filepath.Join(dir, "c"))
	if code != exitFailure || !strings.Contains(warn, "it hurts") {
		t.Errorf("exit %d: %s", code, warn)
	}
}

// TestNoRoomForResults checks that the command fails with the system's error when the results
// file can't grow, and that resuming the run keeps the lines that were written in full.
func TestNoRoomForResults(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "valverlab")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file := filepath.Join(dir, "x.toml")
	if err := os.WriteFile(file, []byte("name = \"room\"\n[matrix]\nsizes = [[6, 4]]\nfaults = [\"none\"]\nseeds = [1, 2, 3, 4, 5, 6]\n"+
		"[world]\nfor = \"2s\"\nwarm = \"200ms\"\n[[variant]]\nname = \"module\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(dir, "out")
	// in blocks of 512 or 1,024 bytes, depending on the shell
	cmd := exec.Command("/bin/sh", "-c", `ulimit -f 24; exec "$0" "$@"`, program, "run", file, "--out", out)
	text, err := cmd.CombinedOutput()
	if err == nil || cmd.ProcessState.ExitCode() != exitFailure ||
		!strings.Contains(string(text), "file too large") {
		t.Fatalf("%v: %s", err, text)
	}
	lines, err := os.ReadFile(filepath.Join(out, "runs.jsonl"))
	if n := bytes.Count(lines, []byte("\n")); err != nil || n == 0 || n >= 6 || lines[len(lines)-1] != '\n' {
		t.Fatalf("%v: %d lines of 6, %d bytes", err, n, len(lines))
	}
	if code, table, warn := runCLI("run", file, "--out", out, "--resume"); code != exitOK ||
		!strings.Contains(table, "module") {
		t.Errorf("exit %d: %s%s", code, table, warn)
	}
	if code, _, warn := runCLI("report", out); code != exitOK {
		t.Errorf("exit %d: %s", code, warn)
	}
}

// TestInvalidInput checks that invalid input is rejected with an error that names the flag or the
// file at fault.
func TestInvalidInput(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"sim", "--nodes", "0"}, "--nodes: 0 is not from 1 to 3000"},
		{[]string{"sim", "--fault", "flood"}, `--fault: "flood" is not one of`},
		{[]string{"sim", "--for", "1ms"}, "for:"},
		{[]string{"sim", "--baseline", "best"}, "--baseline:"},
		{[]string{"demo", "--node", "/no/such"}, "no edge node's program /no/such"},
		{[]string{"run", "/no/such.toml"}, "/no/such.toml"},
		{[]string{"explain", t.TempDir(), "x"}, "manifest.json"},
		{[]string{"explain", t.TempDir()}, "either a request's id or --worst"},
		{[]string{"compare", t.TempDir(), t.TempDir()}, "manifest.json"},
		{[]string{"sing"}, "unexpected argument sing"},
	} {
		code, _, warn := runCLI(c.args...)
		if code != exitFailure || !strings.Contains(warn, c.want) {
			t.Errorf("%v: exit %d: %s", c.args, code, warn)
		}
	}
	if code, out, _ := runCLI("list"); code != 0 || !strings.Contains(out, "zone-cut") {
		t.Errorf("list: exit %d: %s", code, out)
	}
	if code, _, _ := runCLI("-h"); code != 0 {
		t.Errorf("-h: exit %d", code)
	}
}
