package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// largeAgent is a discovery agent for a large fleet. The benchmark makes the changes of its list.
type largeAgent struct {
	mu         sync.Mutex
	revision   int
	lastChange []string      // server lines of the change that led to revision
	changed    chan struct{} // closed at the next change
	fullList   string
	watches    chan int // revision of each watch that is opened
	servers    *httptest.Server
}

// serverLine is discovery's description of server i.
func serverLine(i int, addr, zone, state string, weight int) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":%q,"model":"m","pod_group":%d,"state":%q,"capacity_hint":%d,"boot_ms":0}`,
		i+1, addr, zone, i%1000, state, weight)
}

const largeZones = 18

func newLargeAgent(b *testing.B, servers int, addr string) *largeAgent {
	b.Helper()
	a := &largeAgent{revision: 1, changed: make(chan struct{}), watches: make(chan int, 1000)}
	lines := make([]string, servers)
	for i := range lines {
		lines[i] = serverLine(i, addr, fmt.Sprint("zone-", i%largeZones), "SERVING", 1)
	}
	a.fullList = fmt.Sprintf(`{"rev":1,"all":true,"targets":[%s]}`, strings.Join(lines, ","))
	a.servers = httptest.NewServer(a)
	b.Cleanup(a.servers.Close)
	return a
}

func (a *largeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	if since == "" {
		fmt.Fprint(w, a.fullList)
		return
	}
	a.mu.Lock()
	rev, changed := a.revision, a.changed
	a.mu.Unlock()
	n, _ := strconv.Atoi(since)
	a.watches <- n
	if n == rev {
		select {
		case <-changed:
		case <-time.After(3 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := a.lastChange
	if n == a.revision {
		lines = nil
	}
	fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[%s]}`, a.revision, strings.Join(lines, ","))
}

// change publishes lines and waits until the next watch is opened: by then the edge node's
// event loop has processed the change or has it in its queue. It returns the time this took.
func (a *largeAgent) change(b *testing.B, lines []string) time.Duration {
	b.Helper()
	began := time.Now()
	a.mu.Lock()
	a.revision++
	a.lastChange = lines
	close(a.changed)
	a.changed = make(chan struct{})
	want := a.revision
	a.mu.Unlock()
	limit := time.After(time.Minute)
	for {
		select {
		case rev := <-a.watches:
			if rev == want {
				return time.Since(began)
			}
		case <-limit:
			b.Errorf("no watch for revision %d was opened", want)
			return time.Since(began)
		}
	}
}

// memoryMB returns a memory figure of a process from /proc, in MB of 1e6 bytes.
func memoryMB(b *testing.B, pid int, field string) float64 {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == field+":" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb * 1024 / 1e6
		}
	}
	b.Fatal("no " + field)
	return 0
}

// writeLarge writes the configuration of one edge node in a fleet of that size.
func (m *benchSetup) writeLarge(nodes int, discovery, extraFields string) string {
	peers := make([]string, nodes)
	for i := range peers {
		peers[i] = fmt.Sprintf(`"127.%d.%d.%d:7946"`, 1+i>>16, i>>8&255, i&255)
	}
	path := filepath.Join(m.dir, "large.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","peer_listen":"127.0.0.1:0","peers":[%s],%s
		"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":{"me":0,"balancers":%d,"zone":"zone-0","tick_ms":2,"discovery":"push",
		"caps":{"max_attempts":6,"cancel":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":15000,"peers":true},
		"family_info":{"largest":6,"mail_per_s":100},"rules":{"drain_grace_ms":2000},
		"classes":[{"name":"katalog","aim_ms":300,"hard_limit_ms":1000,"semantics":"repeatable","group":"all"}],
		"plans":[{"name":"dasar"}]}}`, m.listen, discovery, strings.Join(peers, ","), extraFields, nodes)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		m.b.Fatal(err)
	}
	return path
}

// worstLatencyDuring sends requests one after another while do runs and returns the longest
// response time.
func (m *benchSetup) worstLatencyDuring(do func()) (worst time.Duration) {
	m.b.Helper()
	c, err := net.Dial("tcp", m.listen)
	if err != nil {
		m.b.Fatal(err)
	}
	defer c.Close()
	br, finished := bufio.NewReader(c), make(chan struct{})
	go func() { defer close(finished); do() }()
	for id := 0; ; id++ {
		select {
		case <-finished:
			return worst
		default:
		}
		began := time.Now()
		if code, err := m.exchange(c, br, fmt.Sprintf("beside-%d-%d", began.UnixNano(), id),
			id%benchCustomers+1); err != nil || code != http.StatusOK {
			m.b.Fatalf("request %d: status %d, %v", id, code, err)
		}
		worst = max(worst, time.Since(began))
	}
}

// BenchmarkLargeList measures what discovery's list costs the real program by its size: the
// time until ready, memory, and processor time at rest, for a changed line and for a changed zone.
func BenchmarkLargeList(b *testing.B) {
	for _, size := range [][2]int{{300, 200}, {6200, 56000}} {
		nodes, servers := size[0], size[1]
		for _, snapshots := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/servers=%d/snapshots=%v", nodes, servers, snapshots),
				func(b *testing.B) {
					for range b.N {
						benchmarkLargeList(b, nodes, servers, snapshots)
					}
				})
		}
	}
}

func benchmarkLargeList(b *testing.B, nodes, servers int, snapshots bool) {
	m := newBenchSetup(b)
	addr := m.server.Listener.Addr().String()
	a := newLargeAgent(b, servers, addr)
	extraFields := ""
	if snapshots {
		extraFields = fmt.Sprintf(`"valvering":{"state_dir":%q},`, filepath.Join(b.TempDir(), "state"))
	}
	cmd, ready, served := m.start(m.writeLarge(nodes, a.servers.Listener.Addr().String(), extraFields),
		30*time.Second)
	defer killProcess(cmd)
	if served < 0 {
		b.Fatalf("ready after %v, never served", ready)
	}
	pid := cmd.Process.Pid
	b.ReportMetric(ready.Seconds()*1e3, "ms-ready")
	b.ReportMetric(cpuTime(b, pid).Seconds()*1e3, "cpu-ms-ready")
	cost := func(unit string, rounds int, do func(round int)) {
		before := cpuTime(b, pid)
		for round := range rounds {
			do(round)
		}
		b.ReportMetric((cpuTime(b, pid)-before).Seconds()*1e3/float64(rounds), unit)
	}
	const restSeconds = 5
	cost("cpu-ms/s-rest", restSeconds, func(int) { time.Sleep(time.Second) })
	b.ReportMetric(memoryMB(b, pid, "VmRSS"), "MB-resident")
	cost("cpu-ms/line", 200, func(round int) {
		a.change(b, []string{serverLine(round%servers, addr, "zone-0", "SERVING", 2+round%2)})
	})
	var drainLines, serveLines []string
	for i := 3; i < servers; i += largeZones {
		drainLines = append(drainLines, serverLine(i, addr, "zone-3", "DRAINING", 1))
		serveLines = append(serveLines, serverLine(i, addr, "zone-3", "SERVING", 1))
	}
	var worst time.Duration
	cost("cpu-ms/zone", 10, func(round int) {
		lines := drainLines
		if round%2 == 1 {
			lines = serveLines
		}
		worst = max(worst, a.change(b, lines))
	})
	b.ReportMetric(worst.Seconds()*1e3, "ms-zone-worst")
	worstAtRest := m.worstLatencyDuring(func() { time.Sleep(time.Second) })
	worstDuringChanges := m.worstLatencyDuring(func() {
		for range 5 {
			a.change(b, drainLines)
			a.change(b, serveLines)
		}
	})
	b.ReportMetric(worstAtRest.Seconds()*1e3, "ms-request-worst-at-rest")
	b.ReportMetric(worstDuringChanges.Seconds()*1e3, "ms-request-worst-beside-zones")
	b.ReportMetric(memoryMB(b, pid, "VmRSS"), "MB-resident-after")
	b.ReportMetric(memoryMB(b, pid, "VmHWM"), "MB-resident-most")
}
