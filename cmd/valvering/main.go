// Command valvering is one edge node on real sockets. It takes its settings
// from the environment (GW_CONFIG and its like), takes over a new configuration
// file on SIGHUP, and stops on SIGTERM once all that it has taken is answered.
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
	"valvering.example/valvering/internal/node"
	"valvering.example/valvering/internal/snapshot"
)

const (
	exitConfig = 2
	exitServe  = 1

	memoryPart = 0.7 // of the memory limit, from where on garbage is collected harder
)

const usage = `usage: valvering             serve, with the configuration file that GW_CONFIG names
       valvering check FILE  tell every fault in a configuration file

check ends with 0 if the file can be used and with 2 if not. The GW_ and VALVERING_
variables count for it as they do at a start; a fault in a field that they set is theirs.
`

func main() { os.Exit(start(os.Args[1:], os.Stdout, os.Stderr)) }

// start does what the arguments ask for.
func start(args []string, out, errs io.Writer) int {
	switch {
	case len(args) == 0:
		return run()
	case len(args) == 1 && slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]):
		fmt.Fprint(out, usage)
		return 0
	case len(args) == 2 && args[0] == "check" && !strings.HasPrefix(args[1], "-"):
		return check(args[1], out, errs)
	}
	fmt.Fprint(errs, usage)
	return exitConfig
}

// check tells what is wrong with a file, a line for each fault.
func check(path string, out, errs io.Writer) int {
	raw, err := config.ReadFile(path)
	var f *config.File
	if err == nil {
		f, err = config.Source{Getenv: os.Getenv}.Parse(raw)
	}
	var faults config.Faults
	switch {
	case errors.As(err, &faults):
		for _, fault := range faults {
			fmt.Fprintf(errs, "%s: %s\n", path, fault)
		}
		return exitConfig
	case err != nil:
		fmt.Fprintf(errs, "%s: %v\n", path, err)
		return exitConfig
	}
	for _, w := range f.Warnings {
		fmt.Fprintf(errs, "%s: warning: %s\n", path, w)
	}
	fmt.Fprintf(out, "%s: good, digest %s\n", path, config.DigestOf(raw))
	return 0
}

// recall reads the configuration, and what is kept where that or the environment
// names a state directory. A directory that can't be used is no reason not to
// serve: the edge node starts without it.
func recall(src config.Source) (*config.History, *node.Snapshots, error) {
	loaded := src.Load()
	path, name := src.Getenv(config.StateDirEnv), src.Getenv("GW_NAME")
	if loaded.Err == nil {
		path, name = loaded.File.StateDir, loaded.File.Name
	}
	if !filepath.IsAbs(path) || name == "" {
		h, err := config.Start(loaded, time.Now())
		return h, nil, err
	}
	kept, err := open(path, name)
	if err != nil {
		slog.Error("the state directory can't be used; no snapshots are kept", "err", err)
		h, err := config.Start(loaded, time.Now())
		return h, nil, err
	}
	found := kept.Found
	for _, p := range found.Problems {
		slog.Warn("snapshot passed over", "why", p)
	}
	if found.State == nil {
		h, err := config.Start(loaded, time.Now())
		return h, kept, err
	}
	h, notes, err := config.Resume(loaded, found.State.Current, found.State.Previous, found.State.RolledBackDigest, time.Now())
	for _, n := range notes {
		slog.Warn("configuration", "note", n)
	}
	return h, kept, err
}

// openWait is how long the state directory may take: a disk may hang.
const openWait = 5 * time.Second

// open reads what is kept in a state directory.
func open(path, name string) (*node.Snapshots, error) {
	kept, err := bounded.Do(openWait, func() (*node.Snapshots, error) {
		dir, err := snapshot.OpenDir(path)
		if err != nil {
			return nil, err
		}
		store, found := snapshot.Open(dir, name)
		return &node.Snapshots{Store: store, Found: found}, nil
	})
	if errors.Is(err, bounded.ErrLate) {
		return nil, fmt.Errorf("%s: not read within %v", path, openWait)
	}
	return kept, err
}

func run() int {
	// Caught from the start: by default they would end the process, and one that comes while
	// it starts is to find a planned stop. A log that nobody reads any more ends nothing.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 2) // a second SIGTERM hastens
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	errs := newTape(os.Stderr)
	defer errs.End()
	slog.SetDefault(slog.New(slog.NewTextHandler(errs, nil)))
	runtime.GOMAXPROCS(1) // an edge node has one core
	history, kept, err := recall(config.Source{Getenv: os.Getenv})
	if err != nil {
		fmt.Fprintln(errs, "valvering: configuration:", err)
		return exitConfig
	}
	cfg := history.Current().File
	collecting, endCollecting := context.WithCancel(context.Background())
	defer endCollecting()
	go paceGC(collecting)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	n, err := node.New(history, kept)
	if err != nil {
		fmt.Fprintln(errs, "valvering:", err)
		return exitConfig
	}
	if cfg.Admin.IsValid() {
		ctx, end := context.WithCancel(context.Background()) // a planned stop can be looked at too
		defer end()
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
