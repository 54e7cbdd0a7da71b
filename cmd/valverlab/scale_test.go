package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"valvering.example/valvering/internal/lab/scale"
)

// TestScale checks that a run with real and hollow edge nodes prints a complete result as JSON and
// writes a page. A machine that is too slow to sustain the load changes only the exit code.
func TestScale(t *testing.T) {
	program := filepath.Join(t.TempDir(), programName)
	if out, err := exec.Command("go", "build", "-o", program,
		"../"+programName).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dir := filepath.Join(t.TempDir(), "out")
	code, out, warn := runCLI("scale", "--nodes", "600", "--servers", "560", "--tenants", "30000", "--rate",
		"40", "--real", "2", "--hollow", "4", "--for", "1s",
		"--node", program, "--out", dir, "--json")
	if code != exitOK && code != exitLoadNotSustained {
		t.Fatalf("exit %d\n%s%s", code, out, warn)
	}
	var r scale.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if (code == exitLoadNotSustained) != (r.Invalid != "") {
		t.Errorf("exit %d, unsound %q", code, r.Invalid)
	}
	if len(r.Phases) != 6 || r.Real.Count != 2 || r.Hollow.Count != 4 || r.Real.Requests.Asked == 0 ||
		r.Hollow.Requests.Asked == 0 || r.LongDatagrams != 0 {
		t.Errorf("%+v", r)
	}
	q := r.Real.Requests
	if q.Served+q.Refused+q.Failed+q.Lost != q.Asked {
		t.Errorf("requests to real edge nodes: %+v", q)
	}
	if r.Real.Memory.ResidentMB <= 0 || r.Real.CPU.LoadPercent <= 0 || r.Real.Datagrams.Out.Datagrams == 0 {
		t.Errorf("%+v, %+v, %+v", r.Real.Memory, r.Real.CPU, r.Real.Datagrams)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || bytes.Count(page, []byte("<svg")) != 4 || bytes.Contains(page, []byte("src=")) {
		t.Errorf("report: %v, %d bytes", err, len(page))
	}
	kept, err := os.ReadFile(filepath.Join(dir, resultFile))
	if err != nil || json.Unmarshal(kept, &r) != nil {
		t.Errorf("%s: %v", resultFile, err)
	}
}

// TestScaleFlags checks that an invalid flag value is rejected with one line that names the flag.
func TestScaleFlags(t *testing.T) {
	for _, args := range [][]string{
		{"--nodes", "0"}, {"--servers", "-3"}, {"--tenants", "0"}, {"--rate", "0"}, {"--rate", "NaN"},
		{"--for", "1ms"}, {"--for", "soon"}, {"--real", "50"},
		{"--real", "x"}, {"--hollow", "7000"},
	} {
		code, out, warn := runCLI(append([]string{"scale", "--node", os.Args[0]}, args...)...)
		if code != exitFailure || out != "" || strings.Count(warn, "\n") != 1 ||
			!strings.Contains(warn, args[0]+": ") {
			t.Errorf("%v: exit %d: %s%s", args, code, out, warn)
		}
	}
}
