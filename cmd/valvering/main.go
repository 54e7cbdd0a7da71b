// Command valvering is one edge node on real sockets. It takes its settings from
// the environment (GW_CONFIG and related variables), reloads the configuration
// file on SIGHUP, and on SIGTERM exits after answering all accepted requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"valvering.example/valvering/internal/admin"
	"valvering.example/valvering/internal/bounded"
	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/node"
	"valvering.example/valvering/internal/snapshot"
)

const (
	exitConfig = 2
	exitServe  = 1
)

const usage = `usage: valvering             serve, with the configuration file that GW_CONFIG names
       valvering check FILE  tell every fault in a configuration file

check ends with 0 if the file can be used and with 2 if not. The GW_ and VALVERING_
variables count for it as they do at a start; a fault in a field that they set is theirs.
`

func main() { os.Exit(start(os.Args[1:], os.Stdout, os.Stderr)) }

// start runs the command that the arguments name and returns the exit code.
func start(args []string, stdout, stderr io.Writer) int {
	switch {
	case len(args) == 0:
		return run()
	case len(args) == 1 && slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]):
		fmt.Fprint(stdout, usage)
		return 0
	case len(args) == 2 && args[0] == "check" && !strings.HasPrefix(args[1], "-"):
		return check(args[1], stdout, stderr)
	}
	fmt.Fprint(stderr, usage)
	return exitConfig
}

// check validates a configuration file and prints one line for each fault.
func check(path string, stdout, stderr io.Writer) int {
	raw, err := config.ReadFile(path)
	var f *config.File
	if err == nil {
		f, err = config.Source{Getenv: os.Getenv}.Parse(raw)
	}
	var faults config.Faults
	switch {
	case errors.As(err, &faults):
		for _, fault := range faults {
			fmt.Fprintf(stderr, "%s: %s\n", path, fault)
		}
		return exitConfig
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", path, err)
		return exitConfig
	}
	for _, w := range f.Warnings {
		fmt.Fprintf(stderr, "%s: warning: %s\n", path, w)
	}
	fmt.Fprintf(stdout, "%s: good, digest %s\n", path, config.DigestOf(raw))
	return 0
}

// restore loads the configuration, and the stored snapshot if the configuration
// or the environment names a state directory. The edge node serves without
// snapshots if the state directory can't be used.
func restore(src config.Source) (*config.History, *node.Snapshots, error) {
	loaded := src.Load()
	path, name := src.Getenv(config.StateDirEnv), src.Getenv("GW_NAME")
	if loaded.Err == nil {
		path, name = loaded.File.StateDir, loaded.File.Name
	}
	if !filepath.IsAbs(path) || name == "" {
		h, err := config.Start(loaded, time.Now())
		return h, nil, err
	}
	stored, err := openState(path, name)
	if err != nil {
		slog.Error("cannot use the state directory; no snapshots will be written", "err", err)
		h, err := config.Start(loaded, time.Now())
		return h, nil, err
	}
	found := stored.Found
	for _, p := range found.Problems {
		slog.Warn("snapshot passed over", "why", p)
	}
	if found.State == nil {
		h, err := config.Start(loaded, time.Now())
		return h, stored, err
	}
	h, notes, err := config.Resume(loaded, found.State.Current, found.State.Previous, found.State.RolledBackDigest, time.Now())
	for _, n := range notes {
		slog.Warn("configuration", "note", n)
	}
	return h, stored, err
}

// openTimeout limits the time for reading the state directory: a disk may hang.
const openTimeout = 5 * time.Second

// openState opens a state directory and reads its latest snapshot.
func openState(path, name string) (*node.Snapshots, error) {
	stored, err := bounded.Do(openTimeout, func() (*node.Snapshots, error) {
		dir, err := snapshot.OpenDir(path)
		if err != nil {
			return nil, err
		}
		store, found := snapshot.Open(dir, name)
		return &node.Snapshots{Store: store, Found: found}, nil
	})
	if errors.Is(err, bounded.ErrLate) {
		return nil, fmt.Errorf("%s: reading took longer than %v", path, openTimeout)
	}
	return stored, err
}

// run serves until a shutdown signal and returns the exit code.
func run() int {
	// Signals are caught from the start. By default they would end the process, but a signal
	// during startup must lead to an orderly shutdown as well. SIGPIPE is ignored so that a log
	// that nobody reads doesn't end the process.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 2) // a second SIGTERM hastens the shutdown
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	logOutput := newLogWriter(os.Stderr)
	defer logOutput.Close()
	slog.SetDefault(slog.New(slog.NewTextHandler(logOutput, nil)))
	runtime.GOMAXPROCS(1) // an edge node has one core
	history, stored, err := restore(config.Source{Getenv: os.Getenv})
	if err != nil {
		fmt.Fprintln(logOutput, "valvering: configuration:", err)
		return exitConfig
	}
	cfg := history.Current().File
	gcContext, stopGC := context.WithCancel(context.Background())
	defer stopGC()
	go adjustGC(gcContext)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(memory.GoLimit(cfg.MemoryMB))
	}
	n, err := node.New(history, stored)
	if err != nil {
		fmt.Fprintln(logOutput, "valvering:", err)
		return exitConfig
	}
	if cfg.Admin.IsValid() {
		ctx, cancel := context.WithCancel(context.Background()) // the admin server stays up during a shutdown
		defer cancel()
		admin.Open(ctx, cfg.Admin, n)
	}
	slog.Info("serving", "name", cfg.Name, "addr", n.Addr().String())
	if err := n.Run(term, hup); err != nil {
		slog.Error("stopped", "err", err)
		return exitServe
	}
	slog.Info("stopped")
	return 0
}
