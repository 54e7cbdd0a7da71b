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

// Limits in the configuration of a real edge node.
const (
	configuredMemoryMB = 512
	configuredSockets  = 4096
)

const (
	pollInterval = 10 * time.Millisecond // between two checks while waiting
	stopTimeout  = 8 * time.Second       // until a process that is asked to stop is killed
)

// process is the process of a real edge node.
type process struct {
	number    int
	address   *loopback.Address
	discovery string
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	startedAt time.Time

	mu         sync.Mutex
	readyAfter time.Duration // time from the start until ready; 0: not yet
	heap       float64       // live heap after the last garbage collection, in MB
	lastLines  []string      // last lines of its standard error
}

// start writes the configuration and starts the program.
func (p *process) start(f *fleet, initialList any) error {
	settings := f.world.NestedSettings(p.number)
	config := map[string]any{
		"name": fmt.Sprintf("n%d", p.number), "listen": p.address.String(), "discovery": p.discovery,
		"seed": fmt.Sprintf("%016x", f.Seed<<20+uint64(p.number)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": configuredMemoryMB,
			"sockets": configuredSockets},
		"peer_listen": p.address.String(), "peers": f.network.peers,
		"peers_all": f.network.broadcast.LocalAddr().String(),
		"known":     initialList, "settings": settings,
	}
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fmt.Sprintf("n%d.json", p.number))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(f.Program)
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=",
		"GOMAXPROCS=1", "GODEBUG=gctrace=1")
	// In its own process group the edge node does not receive the terminal's Ctrl-C.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.startedAt = time.Now()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting edge node %d: %w", p.number, err)
	}
	p.done = make(chan struct{})
	go func() {
		p.readStderr(stderr)
		_ = p.cmd.Wait() // exitError reports the state and the last lines of output
		close(p.done)
	}()
	return nil
}

// gcTraceLine matches a line of the garbage collector's trace. The third heap size is the live heap
// in MB.
var gcTraceLine = regexp.MustCompile(`^gc \d+ @.* (\d+)->(\d+)->(\d+) MB`)

const maxLastLines = 3 // of a process's standard error that are kept

// readStderr reads the standard error of the process until it is closed.
func (p *process) readStderr(stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		text := lines.Text()
		p.mu.Lock()
		if m := gcTraceLine.FindStringSubmatch(text); m != nil {
			p.heap, _ = strconv.ParseFloat(m[3], 64)
		} else {
			p.lastLines = append(p.lastLines[max(0, len(p.lastLines)-maxLastLines+1):], text)
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, stderr) // after an overlong line, so that the process does not block
}

// awaitReady polls the process until it is ready or has ended, or ctx ends.
func (p *process) awaitReady(ctx context.Context) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if resp, err := client.Get("http://" + p.address.String() + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.readyAfter = time.Since(p.startedAt)
				p.mu.Unlock()
				return
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-p.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *process) readiness() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readyAfter
}

// exitError returns an error if the process has ended by itself.
func (p *process) exitError() error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return fmt.Errorf("edge node %d exited unexpectedly: %v: %s", p.number, p.cmd.ProcessState,
			strings.Join(p.lastLines, " | "))
	default:
		return nil
	}
}

// cpuTime returns the processor time that the process has used.
func (p *process) cpuTime() time.Duration {
	t, err := processTime(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return t
}

// memory returns the resident memory, its peak and the live heap in MB.
func (p *process) memory() (resident, peak, heap float64) {
	path := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	rss, _ := procFigure(path, "VmRSS:")
	top, _ := procFigure(path, "VmHWM:")
	p.mu.Lock()
	defer p.mu.Unlock()
	return rss / 1024, top / 1024, p.heap
}

// stop asks the process to stop and kills it after stopTimeout.
func (p *process) stop() {
	if p.cmd == nil || p.cmd.Process == nil || p.done == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has already ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
