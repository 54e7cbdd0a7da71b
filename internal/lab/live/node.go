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
	f     *fleet
	no    int
	zone  int
	at    *loopback.Address
	addr  string // of at; for client connections and datagrams
	agent *agent
	pool  pool

	mu      sync.Mutex
	cmd     *exec.Cmd
	over    chan struct{} // closed when the process has exited
	log     tailLog
	up      bool
	leaving bool // a signal to stop was sent
	shunned bool // the front sends it no requests
	closed  bool
	inc     int
	starts  map[int]time.Duration // start times that it received, by server
	told    map[int]telling       // notices that a server drains or is removed, by server
}

// telling is when and how an edge node received a notice.
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

// launch starts a process with a new seed.
func (n *node) launch() error {
	n.mu.Lock()
	clear(n.told) // the new process has received nothing yet
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

// ready asks the process whether it accepts requests. If so, the front starts to use it.
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

// isUp returns whether the process runs, and its incarnation.
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
		n.up = s != os.Kill         // a process that the lab killed doesn't count as crashed
		_ = n.cmd.Process.Signal(s) // fails only if the process has just exited
	}
}

// crash kills the process and starts another one after a time. The front notices the
// crash with a delay.
func (n *node) crash(down time.Duration) {
	n.mu.Lock()
	up, inc := n.up, n.inc
	if up {
		n.up = false // connections that break from now on are blamed on the crash
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

// again waits for the exit of the process, starts another one and waits until it is ready.
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

// restart is a planned restart. The front stops sending requests after noticeStop and
// resumes when the new process is ready.
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

// noticeStop is how long the front keeps sending requests to an edge node after its
// planned shutdown began.
const noticeStop = 300 * time.Millisecond

// stop shuts the process down, and kills it if it has not exited within a time. It can't
// be launched again.
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

// tailLog retains the last bytes of a process's output.
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
