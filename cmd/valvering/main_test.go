package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The test binary acts as the program if VALVERING_TEST_RUN is set.
func TestMain(m *testing.M) {
	if os.Getenv("VALVERING_TEST_RUN") != "" {
		os.Exit(start(nil, os.Stdout, os.Stderr))
	}
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

var buildDir string // where build put the program; empty: not built yet

// build compiles the real program once for all tests that run it.
var build = sync.OnceValues(func() (path string, err error) {
	if buildDir, err = os.MkdirTemp("", "valvering-"); err != nil {
		return "", err
	}
	path = filepath.Join(buildDir, "valvering")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

// buildProgram returns the path of the compiled program.
func buildProgram(t testing.TB) string {
	t.Helper()
	path, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// testCommand returns a command that runs the test binary as the program with the given configuration,
// and the buffer for its standard error.
func testCommand(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "VALVERING_TEST_RUN=1", "GW_CONFIG="+path, "GW_LISTEN=", "GW_DISCOVERY=", "GW_NAME=")
	cmd.Stderr = &out
	return cmd, &out
}

// A broken configuration ends the program with exitConfig, so that the platform notices that the
// edge node did not start, and the log shows operators what is wrong.
func TestBrokenConfiguration(t *testing.T) {
	for config, want := range map[string]string{
		`{`:                        "unexpected end of JSON",
		`{"listen":"127.0.0.1:0"}`: "discovery",
	} {
		cmd, out := testCommand(t, config)
		var exit *exec.ExitError
		if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != exitConfig || !strings.Contains(out.String(), want) {
			t.Errorf("%s: %v, %q, want exit code %d and %q", config, err, out, exitConfig, want)
		}
	}
}

// SIGTERM ends the program with code 0 once all requests are answered; SIGHUP
// doesn't end it.
func TestTerminates(t *testing.T) {
	discoveryCalled := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case discoveryCalled <- struct{}{}:
		default:
		}
		_, _ = w.Write([]byte(`{"rev":1,"all":true,"targets":[]}`))
	}))
	defer discovery.Close()
	cmd, out := testCommand(t, `{"listen":"127.0.0.1:0","discovery":"`+discovery.Listener.Addr().String()+`","settings":
		{"me":0,"balancers":1,"tick_ms":1,"classes":[{"name":"c","aim_ms":1,"hard_limit_ms":2,"semantics":"once"}],
		"plans":[{"name":"p"}]}}`)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	<-discoveryCalled // the program runs and catches signals by now
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%v: %s", err, out)
		}
	case <-time.After(20 * time.Second):
		_ = cmd.Process.Kill()
		t.Error("the program did not exit")
	}
}

// check prints every fault with its field and reports failure by its exit code.
func TestCheckCommand(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const good = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"me":0,"balancers":1,"tick_ms":1,
		"classes":[{"name":"c","aim_ms":1,"hard_limit_ms":2,"semantics":"once"}],"plans":[{"name":"p"}]}}`
	var out, errs bytes.Buffer
	if code := start([]string{"check", write(good)}, &out, &errs); code != 0 || errs.Len() > 0 || !strings.Contains(out.String(), "good") {
		t.Errorf("%d, %q, %q", code, out.String(), errs.String())
	}
	bad := strings.NewReplacer(`"127.0.0.1:2"`, `"nowhere"`, `"aim_ms":1`, `"aim_ms":-4`, `"name":"p"`, `"name":"p","rate":"x"`).Replace(good)
	errs.Reset()
	if code := start([]string{"check", write(bad)}, &out, &errs); code != exitConfig || strings.Count(errs.String(), "\n") != 3 {
		t.Errorf("%d, %q, want three lines", code, errs.String())
	}
	for _, field := range []string{"discovery", "settings.classes.0.aim_ms", "settings.plans.0.rate"} {
		if !strings.Contains(errs.String(), field+": ") {
			t.Errorf("%q does not name %s", errs.String(), field)
		}
	}
	for args, want := range map[string]int{"-h": 0, "check": exitConfig, "check -x": exitConfig, "serve": exitConfig, "check /nowhere": exitConfig} {
		if code := start(strings.Fields(args), &out, &errs); code != want {
			t.Errorf("%s: %d", args, code)
		}
	}
}
