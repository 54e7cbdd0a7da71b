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

// node is an edge node's machine: its addresses, and a process that comes and goes.
type node struct {
	f     *fleet
	no    int
	zone  int
	at    *loopback.Address
	addr  string // at: where clients connect and datagrams arrive
	agent *agent
	pool  pool

	mu      sync.Mutex
	cmd     *exec.Cmd
	over    chan struct{} // closed when the process has ended
	log     tailLog
	up      bool
	leaving bool // it has been told to stop
	shunned bool // the front sends nothing there
	closed  bool
	inc     int
	starts  map[int]time.Duration // of servers, as it was told
	told    map[int]telling       // of a server that drains or is gone
}

// telling is when and how an edge node was told of something.
type telling struct {
	at  time.Duration
	how string
}

func newNode(f *fleet, no int) (*node, error) {
	n := &node{f: f, no: no, zone: f.w.ZoneOf(no), starts: map[int]time.Duration{}, told: map[int]telling{}, shunned: true}
	var err error
	if n.at, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	n.addr = n.at.String()
	n.pool.addr = n.addr
	n.agent, err = newAgent(f, n)
	return n, err
}

// launch starts a process, with a new seed.
func (n *node) launch() error {
	n.mu.Lock()
	clear(n.told) // another process knows nothing of it
	clear(n.starts)
	n.mu.Unlock()
	known := n.agent.known()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errClosed
	}
	n.inc++
	f := n.f
	config := map[string]any{
		"name": fmt.Sprintf("n%d", n.no), "listen": n.addr, "discovery": n.agent.addr(), "seed": fmt.Sprintf("%016x", f.Seed<<20+uint64(n.no)<<8+uint64(n.inc)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 256, "sockets": 2048}, "peer_listen": n.addr, "peers": f.relay.addrs,
		"peers_all": f.relay.all, "known": known, "settings": f.w.Facts(n.no),
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("n%d.json", n.no))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(f.Program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = &n.log, &n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("edge node %d: %w", n.no, err)
	}
	over := make(chan struct{})
	n.cmd, n.over, n.up, n.leaving = cmd, over, true, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if n.cmd == cmd {
			if n.up && (err != nil || !n.leaving) {
				f.book.Broken(tally.Crash, "-", n.no, f.since(), "process %d ended by itself: %v: %s", n.inc, cmd.ProcessState, n.log.tail())
			}
			n.up = false
		}
		n.mu.Unlock()
		n.pool.drop()
		close(over)
	}()
	return nil
}

// ready asks the process whether it takes requests; the front takes it in then.
func (n *node) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.addr + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	ok := resp.StatusCode == http.StatusOK
	if ok {
		n.mu.Lock()
		n.shunned = false
		n.mu.Unlock()
	}
	return ok
}

func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.over
}

func (n *node) tail() string { return n.log.tail() }

// isUp tells whether the process runs, and which one it is.
func (n *node) isUp() (bool, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up, n.inc
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up && n.cmd.Process != nil {
		n.leaving = true
		n.up = s != os.Kill         // what it was killed for is no fault of its own
		_ = n.cmd.Process.Signal(s) // one that has just ended needs none
	}
}

// crash kills the process; another comes up after a time, and the front notices late.
func (n *node) crash(down time.Duration) {
	n.mu.Lock()
	up, inc := n.up, n.inc
	if up {
		n.up = false // from now on its clients' connections break because of this
		_ = n.cmd.Process.Kill()
	}
	n.mu.Unlock()
	if !up {
		return
	}
	time.AfterFunc(n.f.w.Client.Notice.D(), func() {
		if up, now := n.isUp(); !up && now == inc {
			n.shun()
		}
	})
	time.AfterFunc(down, func() { n.again() })
}

func (n *node) shun() {
	n.mu.Lock()
	n.shunned = true
	n.mu.Unlock()
}

// again starts another process and waits until it is ready.
func (n *node) again() {
	<-n.exited()
	if n.launch() != nil {
		return // the run is over
	}
	over := n.exited()
	for !n.ready() {
		select {
		case <-over:
			return
		case <-time.After(pollReady):
		}
	}
}

// restart is a planned one: the front is told by readiness.
func (n *node) restart() {
	if up, _ := n.isUp(); !up {
		return
	}
	n.signal(syscall.SIGTERM)
	time.AfterFunc(noticeStop, n.shun)
	go func() {
		select {
		case <-n.exited():
		case <-time.After(stopWithin):
			n.signal(syscall.SIGKILL)
		}
		n.again()
	}()
}

// noticeStop is how long the front goes on sending to one that stops as planned.
const noticeStop = 300 * time.Millisecond

// stop stops the process for good.
func (n *node) stop(within time.Duration) {
	n.mu.Lock()
	n.closed = true
	up, over := n.up, n.over
	n.mu.Unlock()
	if !up {
		return
	}
	n.signal(syscall.SIGTERM)
	select {
	case <-over:
	case <-time.After(within):
		n.signal(syscall.SIGKILL)
		<-over
	}
}

func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	over := n.over
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if over != nil {
		<-over
	}
	n.pool.drop()
	if n.agent != nil {
		n.agent.close()
	}
	n.at.Close()
}

// tailLog keeps the end of what a process writes.
type tailLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

const mostTail = 16 << 10

func (t *tailLog) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b.Write(p)
	if over := t.b.Len() - mostTail; over > 0 {
		t.b.Next(over)
	}
	return len(p), nil
}

func (t *tailLog) tail() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(t.b.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}
