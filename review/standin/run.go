// Package standin has what the cases share: the start of the project's programs, and small stand-ins for
// discovery, lending servers and clients. It uses the standard library alone.
package standin

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Run is one run of a case.
type Run struct {
	Root    string // of the repository
	Tmp     string // temporary folder, removed at the end
	Trouble bool   // false: the disruption is left out

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Proc
}

// Begin starts a run. The first argument of the program is the folder of the case, the second the limit of the
// run: at its end all processes are ended and the case counts as not run.
func Begin(limit time.Duration) *Run {
	dir, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Run{Root: filepath.Dir(filepath.Dir(dir)), began: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	if r.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.Tmp, err = os.MkdirTemp("", "review-"); err != nil {
		r.End(NotRun, "no temporary folder: %v", err)
	}
	r.Logf("disruption: %v", r.Trouble)
	time.AfterFunc(limit, func() { r.End(NotRun, "the run took longer than %v", limit) })
	return r
}

// Logf writes a line to the record, with the seconds since the start.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// End ends all processes and the program.
func (r *Run) End(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Logf("%s: %s", map[int]string{Held: "HELD", Broken: "BROKEN", NotRun: "NOT RUN"}[code], text)
	fmt.Println(text)
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.Ended
	}
	if r.Tmp != "" {
		_ = os.RemoveAll(r.Tmp)
	}
	os.Exit(code)
}

// Check ends the run as one that could not run, if err is set.
func (r *Run) Check(err error, what string) {
	if err != nil {
		r.End(NotRun, "%s: %v", what, err)
	}
}

// FreeAddr returns a free TCP and UDP address on loopback. Its port is below those that the system gives to outgoing
// connections, so that none of them takes it while a process restarts.
func (r *Run) FreeAddr() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err == nil {
			u.Close()
			return addr
		}
	}
	r.End(NotRun, "no free port")
	return ""
}

// RunLine returns a command of the deploy file.
func (r *Run) RunLine(key string) string {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	r.Check(err, "deploy file")
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(line, " = "); ok && name == key {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	r.End(NotRun, "the deploy file has no %s", key)
	return ""
}

// Proc is a process of the project.
type Proc struct {
	Name  string
	Ended chan struct{} // closed when the process has ended
	cmd   *exec.Cmd
}

// Start starts a shell command from the root of the repository, as the platform does. The lines of its log go to
// the record.
func (r *Run) Start(name, command string, env ...string) *Proc {
	p := &Proc{Name: name, Ended: make(chan struct{}), cmd: exec.Command("/bin/sh", "-c", command)}
	p.cmd.Dir = r.Root
	p.cmd.Env = append(os.Environ(), env...)
	out := &logLines{r: r, name: name}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() { // Pdeathsig follows the thread, so the starting thread waits for the process
		runtime.LockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			_ = p.cmd.Wait()
			r.Logf("%s ended: %v", name, p.cmd.ProcessState)
			close(p.Ended)
		}
	}()
	r.Check(<-started, "start of "+name)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("%s started, process %d", name, p.cmd.Process.Pid)
	return p
}

// Signal sends a signal to a process.
func (r *Run) Signal(p *Proc, s syscall.Signal) {
	r.Logf("%s gets %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Pid is the number of the process.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }

// HasEnded reports whether the process has ended.
func (p *Proc) HasEnded() bool {
	select {
	case <-p.Ended:
		return true
	default:
		return false
	}
}

// Status tells how the process ended.
func (p *Proc) Status() string { return p.cmd.ProcessState.String() }

// logLines writes the lines of a process to the record.
type logLines struct {
	r    *Run
	name string
	rest string
}

func (l *logLines) Write(b []byte) (int, error) {
	l.rest += string(b)
	for {
		line, rest, ok := strings.Cut(l.rest, "\n")
		if !ok {
			return len(b), nil
		}
		l.rest = rest
		l.r.Logf("%s| %s", l.name, line)
	}
}
