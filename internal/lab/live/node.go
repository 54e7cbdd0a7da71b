package live

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/loopback"
)

// node is an edge node: its addresses, which stay, and its current process.
type node struct {
	fleet   *fleet
	index   int
	zone    int
	address *loopback.Address
	addr    string // address as a string, for client connections and datagrams
	agent   *agent
	pool    pool

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{} // closed when the process has exited
	output        tailLog
	running       bool
	shuttingDown  bool // a signal to stop was sent
	outOfRotation bool // the front sends it no requests
	closed        bool
	incarnation   int
	knownStarts   map[int]time.Duration // start times that it received, by server
	drainNotices  map[int]drainNotice   // notices that a server drains or is removed, by server
}

// drainNotice is when and how an edge node received a notice.
type drainNotice struct {
	at  time.Duration
	how string
}

func newNode(f *fleet, index int) (*node, error) {
	n := &node{fleet: f, index: index, zone: f.world.ZoneOf(index), knownStarts: map[int]time.Duration{},
		drainNotices: map[int]drainNotice{}, outOfRotation: true}
	var err error
	if n.address, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	n.addr = n.address.String()
	n.pool.addr = n.addr
	n.agent, err = newAgent(f, n)
	return n, err
}

// launch starts a process with a new seed.
func (n *node) launch() error {
	n.mu.Lock()
	clear(n.drainNotices) // the new process has received nothing yet
	clear(n.knownStarts)
	n.mu.Unlock()
	list := n.agent.initialList()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errClosed
	}
	n.incarnation++
	f := n.fleet
	config := map[string]any{
		"name": fmt.Sprintf("n%d", n.index), "listen": n.addr, "discovery": n.agent.addr(),
		"seed":   fmt.Sprintf("%016x", f.Seed<<20+uint64(n.index)<<8+uint64(n.incarnation)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 256, "sockets": 2048}, "peer_listen": n.addr,
		"peers":     f.relay.addrs,
		"peers_all": f.relay.broadcastAddr, "known": list, "settings": f.world.NestedSettings(n.index),
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("n%d.json", n.index))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(f.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=",
		"GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = &n.output, &n.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("edge node %d: %w", n.index, err)
	}
	done := make(chan struct{})
	n.cmd, n.done, n.running, n.shuttingDown = cmd, done, true, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			if n.running && (err != nil || !n.shuttingDown) {
				f.book.Broken(tally.Crash, "-", n.index, f.elapsed(), "process %d ended by itself: %v: %s",
					n.incarnation, cmd.ProcessState, n.output.tail())
			}
			n.running = false
		}
		n.mu.Unlock()
		n.pool.closeIdle()
		close(done)
	}()
	return nil
}

// ready asks the process whether it accepts requests. If so, the front starts to use it.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond,
		Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.addr + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	ready := resp.StatusCode == http.StatusOK
	if ready {
		n.mu.Lock()
		n.outOfRotation = false
		n.mu.Unlock()
	}
	return ready
}

func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

func (n *node) tail() string { return n.output.tail() }

// isRunning returns whether the process runs, and its incarnation.
func (n *node) isRunning() (bool, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running, n.incarnation
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running && n.cmd.Process != nil {
		n.shuttingDown = true
		n.running = s != os.Kill    // a process that the lab killed doesn't count as crashed
		_ = n.cmd.Process.Signal(s) // fails only if the process has just exited
	}
}

// crash kills the process and starts another one after a time. The front notices the
// crash with a delay.
func (n *node) crash(downtime time.Duration) {
	n.mu.Lock()
	running, incarnation := n.running, n.incarnation
	if running {
		n.running = false // connections that break from now on count as broken by the crash
		_ = n.cmd.Process.Kill()
	}
	n.mu.Unlock()
	if !running {
		return
	}
	time.AfterFunc(n.fleet.world.Client.Notice.D(), func() {
		if running, current := n.isRunning(); !running && current == incarnation {
			n.removeFromRotation()
		}
	})
	time.AfterFunc(downtime, func() { n.relaunch() })
}

func (n *node) removeFromRotation() {
	n.mu.Lock()
	n.outOfRotation = true
	n.mu.Unlock()
}

// relaunch waits for the exit of the process, starts another one and waits until it is
// ready.
func (n *node) relaunch() {
	<-n.exited()
	if n.launch() != nil {
		return // the run is over
	}
	done := n.exited()
	for !n.ready() {
		select {
		case <-done:
			return
		case <-time.After(readyPollInterval):
		}
	}
}

// restart restarts the process in the planned way. The front stops sending requests after
// drainNoticeDelay and resumes when the new process is ready.
func (n *node) restart() {
	if running, _ := n.isRunning(); !running {
		return
	}
	n.signal(syscall.SIGTERM)
	time.AfterFunc(drainNoticeDelay, n.removeFromRotation)
	go func() {
		select {
		case <-n.exited():
		case <-time.After(stopTimeout):
			n.signal(syscall.SIGKILL)
		}
		n.relaunch()
	}()
}

// drainNoticeDelay is how long the front keeps sending requests to an edge node after its
// planned shutdown began.
const drainNoticeDelay = 300 * time.Millisecond

// stop shuts the process down, and kills it if it has not exited within a time. It can't
// be launched again.
func (n *node) stop(timeout time.Duration) {
	n.mu.Lock()
	n.closed = true
	running, done := n.running, n.done
	n.mu.Unlock()
	if !running {
		return
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(timeout):
		n.signal(syscall.SIGKILL)
		<-done
	}
}

func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	n.pool.closeIdle()
	if n.agent != nil {
		n.agent.close()
	}
	n.address.Close()
}

// tailLog retains the last bytes of a process's output.
type tailLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const maxTailBytes = 16 << 10

func (t *tailLog) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.Write(p)
	if excess := t.buf.Len() - maxTailBytes; excess > 0 {
		t.buf.Next(excess)
	}
	return len(p), nil
}

func (t *tailLog) tail() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(t.buf.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}
