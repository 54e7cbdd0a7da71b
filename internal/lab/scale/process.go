package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"valvering.example/valvering/internal/loopback"
)

// Limits that a real edge node is told.
const (
	toldMemoryMB = 512
	toldSockets  = 4096
	pollReady    = 10 * time.Millisecond
	stopWithin   = 8 * time.Second
)

// process is a real edge node.
type process struct {
	no        int
	at        *loopback.Address
	discovery string
	cmd       *exec.Cmd
	over      chan struct{} // closed when it has ended
	began     time.Time

	mu    sync.Mutex
	ready time.Duration // from its start; 0: not yet
	heap  float64       // live after its last collection, in MB
	lines []string      // the last that it wrote
}

// start starts the program.
func (p *process) start(f *fleet, known any) error {
	settings := f.world.Facts(p.no)
	config := map[string]any{
		"name": fmt.Sprintf("n%d", p.no), "listen": p.at.String(), "discovery": p.discovery, "seed": fmt.Sprintf("%016x", f.Seed<<20+uint64(p.no)),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": toldMemoryMB, "sockets": toldSockets},
		"peer_listen": p.at.String(), "peers": f.network.peers, "peers_all": f.network.all.LocalAddr().String(),
		"known": known, "settings": settings,
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("n%d.json", p.no))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(f.Program)
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "GOMAXPROCS=1", "GODEBUG=gctrace=1")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // a terminal's Ctrl-C is the lab's alone
	said, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.began = time.Now()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("edge node %d: %w", p.no, err)
	}
	p.over = make(chan struct{})
	go func() {
		p.listen(said)
		_ = p.cmd.Wait() // how it ended is told by what it wrote
		close(p.over)
	}()
	return nil
}

// collection is a line of the run-time's trace of its garbage collector; the third
// figure is the live heap in MB.
var collection = regexp.MustCompile(`^gc \d+ @.* (\d+)->(\d+)->(\d+) MB`)

const mostLines = 3

// listen reads what the process writes.
func (p *process) listen(said io.Reader) {
	lines := bufio.NewScanner(said)
	for lines.Scan() {
		text := lines.Text()
		p.mu.Lock()
		if m := collection.FindStringSubmatch(text); m != nil {
			p.heap, _ = strconv.ParseFloat(m[3], 64)
		} else {
			p.lines = append(p.lines[max(0, len(p.lines)-mostLines+1):], text)
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, said) // behind a line that is too long the process must not wait for a reader
}

// await asks for readiness until the process has it, ends, or ctx ends.
func (p *process) await(ctx context.Context) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if resp, err := client.Get("http://" + p.at.String() + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.ready = time.Since(p.began)
				p.mu.Unlock()
				return
			}
		}
		select {
		case <-time.After(pollReady):
		case <-p.over:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *process) readiness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// ended tells of a process that has ended by itself.
func (p *process) ended() error {
	select {
	case <-p.over:
		p.mu.Lock()
		defer p.mu.Unlock()
		return fmt.Errorf("edge node %d ended by itself: %v: %s", p.no, p.cmd.ProcessState, strings.Join(p.lines, " | "))
	default:
		return nil
	}
}

// time is the processor time it has taken.
func (p *process) time() time.Duration {
	t, err := processTime(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return t
}

// memory is what it holds, in MB.
func (p *process) memory() (resident, peak, heap float64) {
	path := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	rss, _ := procFigure(path, "VmRSS:")
	top, _ := procFigure(path, "VmHWM:")
	p.mu.Lock()
	defer p.mu.Unlock()
	return rss / 1024, top / 1024, p.heap
}

// stop asks it to end, and ends it if it does not.
func (p *process) stop() {
	if p.cmd == nil || p.cmd.Process == nil || p.over == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // one that has ended needs none
	select {
	case <-p.over:
	case <-time.After(stopWithin):
		_ = p.cmd.Process.Kill()
		<-p.over
	}
}
