// Command machine runs the edge nodes of one machine: one for each configuration
// file of a folder. It starts again what crashes, passes SIGHUP on, and on SIGTERM
// drains all of them within a budget. It is never part of an edge node.
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

	tickEvery = 20 * time.Millisecond
	mostLine  = 4 << 10 // of an edge node's log that is passed on in one piece

	defaultBudget = 90 * time.Second // eight edge nodes whose longest requests take 6 s, one after another
	leastBudget   = time.Second
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
	// A child is told to stop when the thread that started it ends, so all are
	// started by one that does not: this one.
	runtime.LockOSThread()
	os.Exit(run(os.Args[1:], os.Stderr))
}

// ending is the end of an edge node's process.
type ending struct {
	name  string
	why   string
	clean bool
}

// machine carries out what the supervisor orders.
type machine struct {
	folder     string
	program    string
	log        io.Writer
	mu         sync.Mutex // of the log
	supervisor *supervisor
	procs      map[string]*os.Process
	ends       chan ending
	began      time.Time
}

func run(args []string, log io.Writer) int {
	flags := flag.NewFlagSet("machine", flag.ContinueOnError)
	flags.SetOutput(log)
	flags.Usage = func() { fmt.Fprint(log, usage) }
	program := flags.String("program", beside("valvering"), "")
	budget := flags.Duration("budget", defaultBudget, "")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return exitUsage
	case flags.NArg() != 1:
		flags.Usage()
		return exitUsage
	case *budget < leastBudget:
		fmt.Fprintf(log, "machine: -budget: %v is under %v\n", *budget, leastBudget)
		return exitUsage
	}
	m := &machine{folder: flags.Arg(0), program: *program, log: log, procs: map[string]*os.Process{},
		ends: make(chan ending), began: time.Now()}
	if _, err := exec.LookPath(m.program); err != nil {
		fmt.Fprintln(log, "machine: -program:", err)
		return exitUsage
	}
	names, err := m.files()
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

// beside is a program in this one's folder.
func beside(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// files names the edge nodes by their configuration files.
func (m *machine) files() ([]string, error) {
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

func (m *machine) now() time.Duration { return time.Since(m.began) }

// serve runs until the drain is over.
func (m *machine) serve() (line string, lost bool) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for !m.supervisor.over() {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				m.reload()
			} else {
				slog.Info("drain", "hurry", m.supervisor.drained)
				m.supervisor.drain(m.now())
			}
		case e := <-m.ends:
			delete(m.procs, e.name)
			if u := m.supervisor.units[e.name]; u.state == running {
				slog.Error("crashed", "edge node", e.name, "how", e.why)
			} else {
				slog.Info("ended", "edge node", e.name, "how", e.why)
			}
			m.supervisor.exited(e.name, m.now(), e.why, e.clean)
		case <-tick.C:
		}
		m.carryOut(m.supervisor.tick(m.now()))
	}
	return m.supervisor.report(m.now())
}

func (m *machine) reload() {
	names, err := m.files()
	if err != nil { // a folder that can't be read says of none that it is gone
		slog.Error("folder not read; the edge nodes stay as they are", "err", err)
		return
	}
	m.carryOut(m.supervisor.listed(names, m.now()))
}

func (m *machine) carryOut(orders []order) {
	for _, o := range orders {
		if o.what == start {
			m.start(o.name)
			continue
		}
		sig := map[what]syscall.Signal{reload: syscall.SIGHUP, stop: syscall.SIGTERM, kill: syscall.SIGKILL}[o.what]
		if p := m.procs[o.name]; p != nil {
			if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
				slog.Error("not told", "edge node", o.name, "signal", sig, "err", err)
			}
		}
	}
}

// start runs an edge node. One that can't be started counts as crashed.
func (m *machine) start(name string) {
	cmd := exec.Command(m.program)
	cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "GW_") || strings.HasPrefix(v, "VALVERING_")
	})
	cmd.Env = append(cmd.Env, "GW_CONFIG="+filepath.Join(m.folder, name+".json"))
	out := &prefixed{m: m, name: name}
	cmd.Stdout, cmd.Stderr = out, out
	// A signal from the terminal is for this program alone; if this one is killed the
	// edge nodes stop as planned.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		go func() { m.ends <- ending{name, err.Error(), false} }()
		return
	}
	slog.Info("started", "edge node", name, "pid", cmd.Process.Pid)
	m.procs[name] = cmd.Process
	go func() {
		err := cmd.Wait()
		out.flush()
		m.ends <- ending{name, cmd.ProcessState.String(), err == nil}
	}()
}

// Write passes a piece of a log on whole.
func (m *machine) Write(p []byte) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Write(p)
}

// prefixed passes an edge node's lines on under its name.
type prefixed struct {
	m    *machine
	name string
	rest []byte
}

func (p *prefixed) Write(b []byte) (int, error) {
	p.rest = append(p.rest, b...)
	for {
		n := bytes.IndexByte(p.rest, '\n') + 1
		if n == 0 && len(p.rest) < mostLine {
			return len(b), nil
		}
		if n == 0 || n > mostLine {
			n = mostLine
		}
		p.pass(p.rest[:n])
		p.rest = p.rest[:copy(p.rest, p.rest[n:])]
	}
}

func (p *prefixed) flush() {
	if len(p.rest) > 0 {
		p.pass(p.rest)
	}
}

func (p *prefixed) pass(line []byte) {
	text := append([]byte(p.name+": "), bytes.TrimSuffix(line, []byte("\n"))...)
	_, _ = p.m.Write(append(text, '\n')) // a log that can't be written stops nothing
}
