package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/snapshot"
	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// The harness for docs/MEASUREMENTS.md runs the real program under a fixed load.

var otherProgram = flag.String("program", "", "measure this program instead of one built from here")

// benchSetup is one edge node with the servers and customers of a large deployment.
type benchSetup struct {
	b             *testing.B
	program       string
	dir           string
	listen        string
	admin         string
	targets       string
	server        *httptest.Server
	discovery     *httptest.Server
	discoveryMode string // at once, slow, refuses or silent
	lastID        int    // number in the last request id
}

const (
	benchServers   = 200
	benchCustomers = 10000
)

func newBenchSetup(b *testing.B) *benchSetup {
	b.Helper()
	m := &benchSetup{b: b, program: *otherProgram, dir: b.TempDir(), listen: testkit.FreeAddr(b),
		admin: testkit.FreeAddr(b), discoveryMode: "at once"}
	if m.program == "" {
		m.program = buildProgram(b)
	}
	m.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	b.Cleanup(m.server.Close)
	var lines []string
	for i := range benchServers {
		lines = append(lines, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","state":"SERVING","capacity_hint":1,"boot_ms":0}`,
			i+1, m.server.Listener.Addr()))
	}
	m.targets = strings.Join(lines, ",")
	m.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch m.discoveryMode {
		case "slow":
			time.Sleep(700 * time.Millisecond)
		case "refuses":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "silent":
			<-r.Context().Done()
			return
		}
		if r.URL.Query().Get("since") != "" {
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			fmt.Fprint(w, `{"rev":7,"all":false,"targets":[]}`)
			return
		}
		fmt.Fprintf(w, `{"rev":7,"all":true,"targets":[%s]}`, m.targets)
	}))
	b.Cleanup(m.discovery.Close)
	return m
}

// write writes the configuration with extraFields and returns its path.
func (m *benchSetup) write(extraFields string) string {
	path := filepath.Join(m.dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1",%s
		"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":{"me":0,"balancers":1,"zone":"a","tick_ms":2,"discovery":"push",
		"caps":{"max_attempts":6,"cancel":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":15000},
		"family_info":{"largest":6},"rules":{"drain_grace_ms":2000},
		"classes":[{"name":"katalog","aim_ms":300,"hard_limit_ms":1000,"semantics":"repeatable","group":"all"}],
		"plans":[{"name":"dasar","rate":1000,"store_size":5000}]}}`, m.listen, m.discovery.Listener.Addr(), extraFields)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		m.b.Fatal(err)
	}
	return path
}

// start runs the program and returns the times until it was ready and until its
// first request was served; a time over limit is -1.
func (m *benchSetup) start(config string, limit time.Duration) (cmd *exec.Cmd, ready, served time.Duration) {
	cmd = exec.Command(m.program)
	cmd.Env = []string{"GW_CONFIG=" + config}
	began := time.Now()
	if err := cmd.Start(); err != nil {
		m.b.Fatal(err)
	}
	ready, served = -1, -1
	for time.Since(began) < limit {
		resp, err := http.Get("http://" + m.listen + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				ready = time.Since(began)
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
	for id := 0; ready > 0 && time.Since(began) < limit; id++ {
		c, err := net.Dial("tcp", m.listen)
		if err != nil {
			continue
		}
		code, err := m.exchange(c, bufio.NewReader(c), fmt.Sprintf("first-%d", id), 1)
		c.Close()
		if err == nil && code == 200 {
			served = time.Since(began)
			break
		}
	}
	http.DefaultClient.CloseIdleConnections()
	return cmd, ready, served
}

// exchange sends a request, reads the answer and returns its status code.
func (m *benchSetup) exchange(c net.Conn, br *bufio.Reader, id string, customer int) (int, error) {
	if _, err := fmt.Fprintf(c, "GET /katalog HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: katalog\r\nX-Tier: dasar\r\n"+
		"Cookie: key=%016x\r\nX-Deadline-Ms: 1000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", id, customer); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// cpuTime returns the processor time that a process has used, by the kernel's count.
func cpuTime(b *testing.B, pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// newID returns a request id that was not used before.
func (m *benchSetup) newID() string {
	m.lastID++
	return fmt.Sprintf("r-%d", m.lastID)
}

// sendRequests sends n requests of changing customers at a fixed interval and returns the
// process's processor time for them.
func (m *benchSetup) sendRequests(cmd *exec.Cmd, n int, interval time.Duration) time.Duration {
	c, err := net.Dial("tcp", m.listen)
	if err != nil {
		m.b.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	before, next := cpuTime(m.b, cmd.Process.Pid), time.Now()
	for i := range n {
		if code, err := m.exchange(c, br, m.newID(), i%benchCustomers+1); err != nil ||
			code != 200 {
			m.b.Fatalf("request %d: status %d, %v", i, code, err)
		}
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	return cpuTime(m.b, cmd.Process.Pid) - before
}

func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// BenchmarkRequest measures the processor time of a request without optional settings. To
// compare two programs, run it alternately with -program and without.
func BenchmarkRequest(b *testing.B) {
	m := newBenchSetup(b)
	cmd, _, served := m.start(m.write(""), 5*time.Second)
	defer killProcess(cmd)
	if served < 0 {
		b.Fatal("never served")
	}
	m.sendRequests(cmd, 2000, 0)
	b.ResetTimer()
	used := m.sendRequests(cmd, b.N, 0)
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/request")
}

// BenchmarkStart measures the times from start to ready and to the first served request, by
// what the edge node knows and how discovery answers.
func BenchmarkStart(b *testing.B) {
	const limit = 4 * time.Second
	for _, answer := range []string{"at once", "slow", "refuses", "silent"} {
		for _, known := range []string{"nothing", "known list", "snapshot"} {
			b.Run(answer+"/"+known, func(b *testing.B) {
				m := newBenchSetup(b)
				m.discoveryMode = answer
				var ready, served []float64
				for range b.N {
					extraFields := ""
					switch known {
					case "known list":
						extraFields = fmt.Sprintf(`"known":{"rev":6,"all":true,"targets":[%s]},`, m.targets)
					case "snapshot":
						state := filepath.Join(b.TempDir(), "state")
						extraFields = fmt.Sprintf(`"valvering":{"state_dir":%q},`, state)
						m.writeSnapshot(state, m.write(extraFields))
					}
					cmd, r, s := m.start(m.write(extraFields), limit)
					killProcess(cmd)
					ready, served = append(ready, r.Seconds()*1e3), append(served, s.Seconds()*1e3)
				}
				slices.Sort(ready)
				slices.Sort(served)
				b.ReportMetric(ready[len(ready)/2], "ms-ready")
				b.ReportMetric(served[len(served)/2], "ms-served")
				b.ReportMetric(served[len(served)-1], "ms-served-worst")
			})
		}
	}
}

// writeSnapshot writes the snapshot that an edge node would have written at its shutdown.
func (m *benchSetup) writeSnapshot(path, file string) {
	dir, err := snapshot.OpenDir(path)
	if err != nil {
		m.b.Fatal(err)
	}
	defer dir.Close()
	raw, err := os.ReadFile(file)
	if err != nil {
		m.b.Fatal(err)
	}
	st := &snapshot.State{Taken: snapshot.Now(), Clean: true, List: &roster.List{Rev: 7, All: true},
		Current: config.StoredGeneration{Number: 1, Digest: config.DigestOf(raw), Time: time.Now(), Raw: raw},
		Memory:  policy.SavedState{Tokens: map[uint64]float64{}}}
	for i := range benchServers {
		uid := fmt.Sprintf("s-%08x", i+1)
		st.List.Targets = append(st.List.Targets, roster.Target{UID: uid, Endpoint: m.server.Listener.Addr().String(),
			Zone: "a", State: "SERVING", Weight: 1})
		st.Memory.Servers = append(st.Memory.Servers, policy.SavedServer{ID: roster.ID(uid), RelativeLatency: 1.2, MonitoredLatency: 1.2,
			Health: []policy.SavedHealth{{Class: "katalog", FailureAverage: 0.1}}})
	}
	for i := range benchCustomers {
		st.Memory.Tokens[uint64(i)] = float64(i % 5000)
	}
	store, _ := snapshot.Open(dir, "n0")
	n, err := store.Write(st)
	if err != nil {
		m.b.Fatal(err)
	}
	m.b.ReportMetric(float64(n), "snapshot-bytes")
}

// BenchmarkSnapshots measures what snapshots cost beside a steady load of b.N requests at
// 500 requests a second from 10,000 customers.
func BenchmarkSnapshots(b *testing.B) {
	for _, snapshots := range []string{"off", "on"} {
		b.Run(snapshots, func(b *testing.B) {
			m := newBenchSetup(b)
			extraFields := fmt.Sprintf(`"valvering":{"admin":%q},`, m.admin)
			if snapshots == "on" {
				extraFields = fmt.Sprintf(`"valvering":{"admin":%q,"state_dir":%q},`, m.admin,
					filepath.Join(b.TempDir(), "state"))
			}
			cmd, _, served := m.start(m.write(extraFields), 5*time.Second)
			defer killProcess(cmd)
			if served < 0 {
				b.Fatal("never served")
			}
			m.sendRequests(cmd, benchCustomers, 0)
			s := &deployment{t: b, admin: m.admin}
			_, before := s.callAdmin("GET", "/status")
			began := time.Now()
			b.ResetTimer()
			used := m.sendRequests(cmd, b.N, 2*time.Millisecond)
			b.StopTimer()
			took := time.Since(began).Seconds()
			b.ReportMetric(used.Seconds()*1e3/took, "cpu-ms/s")
			if _, after := s.callAdmin("GET", "/status"); snapshots == "on" {
				b.ReportMetric(float64(after.Snapshots.Bytes-before.Snapshots.Bytes)/took, "bytes/s")
				b.ReportMetric(2*float64(after.Snapshots.Written-before.Snapshots.Written)/took, "syncs/s")
			}
		})
	}
}
