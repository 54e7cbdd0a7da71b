// Command machine runs the edge nodes of one machine, one for each configuration
// file in a folder. It restarts edge nodes that crash, forwards SIGHUP, and on
// SIGTERM drains all of them within a time budget. It is not part of an edge node.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitLost  = 1
	exitUsage = 2

	tickInterval = 20 * time.Millisecond
	maxLineBytes = 4 << 10 // longer log lines of an edge node are split

	defaultBudget = 90 * time.Second // enough for eight drains in sequence with requests of up to 6 s
	minBudget     = time.Second
)

const usage = `usage: machine [-program PATH] [-budget DURATION] FOLDER

Runs an edge node for each *.json file in FOLDER, with GW_CONFIG naming the file.
  SIGHUP   starts one for each new file, drains those whose file is gone, and has
           the others read theirs again
  SIGTERM  drains all of them, one after another while there is time for it, and
           ends; a second one hurries
The exit code is 0 if nothing was lost in the drain, 1 if anything was (the last
line says where), and 2 where the arguments can't be used.
`

func main() {
	// An edge node receives SIGTERM when the thread that started it ends (Pdeathsig).
	// All edge nodes are therefore started by the locked main thread, which never ends.
	runtime.LockOSThread()
	os.Exit(run(os.Args[1:], os.Stderr))
}

// exitEvent reports that an edge node's process has ended.
type exitEvent struct {
	name   string
	status string
	clean  bool
}

// machine executes the supervisor's orders on real processes.
type machine struct {
	folder     string
	program    string
	log        io.Writer
	mu         sync.Mutex // guards log
	supervisor *supervisor
	procs      map[string]*os.Process
	exits      chan exitEvent
	startedAt  time.Time
}

// run runs the machine until its drain is finished and returns the exit code.
func run(args []string, log io.Writer) int {
	flags := flag.NewFlagSet("machine", flag.ContinueOnError)
	flags.SetOutput(log)
	flags.Usage = func() { fmt.Fprint(log, usage) }
	program := flags.String("program", siblingPath("valvering"), "")
	budget := flags.Duration("budget", defaultBudget, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return exitUsage
	case flags.NArg() != 1:
		flags.Usage()
		return exitUsage
	case *budget < minBudget:
		fmt.Fprintf(log, "machine: -budget: %v is below the minimum of %v\n", *budget, minBudget)
		return exitUsage
	}
	m := &machine{folder: flags.Arg(0), program: *program, log: log, procs: map[string]*os.Process{},
		exits: make(chan exitEvent), startedAt: time.Now()}
	if _, err := exec.LookPath(m.program); err != nil {
		fmt.Fprintln(log, "machine: -program:", err)
		return exitUsage
	}
	names, err := m.configNames()
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("%s: no configuration file", m.folder)
	}
	if err != nil {
		fmt.Fprintln(log, "machine:", err)
		return exitUsage
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(m, nil)))
	m.supervisor = newSupervisor(names, *budget, rand.Uint64())
	line, lost := m.serve()
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprintln(log, "machine:", line)
	if lost {
		return exitLost
	}
	return 0
}

// siblingPath returns the path of a program in the folder of this program.
func siblingPath(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// configNames lists the names of the edge nodes: their configuration files without the extension.
func (m *machine) configNames() ([]string, error) {
	entries, err := os.ReadDir(m.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), ".json"); ok && !e.IsDir() && name != "" && !strings.HasPrefix(name, ".") {
			names = append(names, name)
		}
	}
	return names, nil
}

func (m *machine) now() time.Duration { return time.Since(m.startedAt) }

// serve runs until the drain is finished.
func (m *machine) serve() (line string, lost bool) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for !m.supervisor.finished() {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				m.reload()
			} else {
				slog.Info("drain", "hurry", m.supervisor.drainStarted)
				m.supervisor.drain(m.now())
			}
		case e := <-m.exits:
			delete(m.procs, e.name)
			if u := m.supervisor.edgeNodes[e.name]; u.state == running {
				slog.Error("crashed", "edge node", e.name, "how", e.status)
			} else {
				slog.Info("ended", "edge node", e.name, "how", e.status)
			}
			m.supervisor.exited(e.name, m.now(), e.status, e.clean)
		case <-tick.C:
		}
		m.execute(m.supervisor.tick(m.now()))
	}
	return m.supervisor.report(m.now())
}

// reload reads the folder again and updates the edge nodes accordingly.
func (m *machine) reload() {
	names, err := m.configNames()
	if err != nil { // an unreadable folder doesn't mean that its files were removed
		slog.Error("cannot read the folder; the edge nodes are left unchanged", "err", err)
		return
	}
	m.execute(m.supervisor.updateFiles(names, m.now()))
}

// execute executes orders of the supervisor.
func (m *machine) execute(orders []order) {
	for _, o := range orders {
		if o.action == start {
			m.start(o.name)
			continue
		}
		sig := map[action]syscall.Signal{reload: syscall.SIGHUP, stop: syscall.SIGTERM,
			kill: syscall.SIGKILL}[o.action]
		if p := m.procs[o.name]; p != nil {
			if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
				slog.Error("cannot signal the edge node", "edge node", o.name, "signal", sig, "err", err)
			}
		}
	}
}

// start starts an edge node. A failed start counts as a crash.
func (m *machine) start(name string) {
	cmd := exec.Command(m.program)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "GW_") || strings.HasPrefix(v, "VALVERING_")
	})
	cmd.Env = append(cmd.Env, "GW_CONFIG="+filepath.Join(m.folder, name+".json"))
	out := &prefixWriter{m: m, name: name}
	cmd.Stdout, cmd.Stderr = out, out
	// Signals from the terminal reach this program only. If this program is killed,
	// the edge nodes get a SIGTERM and drain.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		go func() { m.exits <- exitEvent{name, err.Error(), false} }()
		return
	}
	slog.Info("started", "edge node", name, "pid", cmd.Process.Pid)
	m.procs[name] = cmd.Process
	go func() {
		err := cmd.Wait()
		out.flush()
		m.exits <- exitEvent{name, cmd.ProcessState.String(), err == nil}
	}()
}

// Write writes p to the log without interleaving it with other writes.
func (m *machine) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Write(p)
}

// prefixWriter passes an edge node's log lines on, each prefixed with the edge node's name.
type prefixWriter struct {
	m       *machine
	name    string
	pending []byte
}

func (p *prefixWriter) Write(b []byte) (int, error) {
	p.pending = append(p.pending, b...)
	for {
		n := bytes.IndexByte(p.pending, '\n') + 1
		if n == 0 && len(p.pending) < maxLineBytes {
			return len(b), nil
		}
		if n == 0 || n > maxLineBytes {
			n = maxLineBytes
		}
		p.writeLine(p.pending[:n])
		p.pending = p.pending[:copy(p.pending, p.pending[n:])]
	}
}

// flush writes an incomplete last line.
func (p *prefixWriter) flush() {
	if len(p.pending) > 0 {
		p.writeLine(p.pending)
	}
}

func (p *prefixWriter) writeLine(line []byte) {
	text := append([]byte(p.name+": "), bytes.TrimSuffix(line, []byte("\n"))...)
	_, _ = p.m.Write(append(text, '\n')) // log errors must not stop the machine
}
