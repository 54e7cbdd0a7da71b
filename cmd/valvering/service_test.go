package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/snapshot"
	"valvering.example/valvering/internal/testkit"
)

// deployment is the real program with everything it needs: discovery, servers, clients and
// an operator.
type deployment struct {
	t              testing.TB
	program        string
	config         string
	stateDir       string
	listen         string
	admin          string
	discovery      *httptest.Server
	discoveryDown  atomic.Bool                   // discovery refuses calls
	discoveryHold  atomic.Pointer[chan struct{}] // discovery answers once it is closed; nil: at once
	revision       atomic.Int64
	serverLines    atomic.Pointer[[]string] // discovery's list, one line a server
	servers        []*testServer
	lastID         atomic.Int64 // number in the last request id
	extraFields    string       // further fields of the configuration
	nodes          int          // edge nodes in the fleet
	memoryMB       int          // limit in the configuration
	sockets        int          // likewise
	maxDescriptors int          // the program's descriptor limit; 0: the limit of the test process
	attempts       sync.Map     // request id → attempts that reached a server

	cmd     *exec.Cmd
	log     *testkit.Log
	logFile *os.File // the program writes here instead of to log, unless nil
}

func newDeployment(t testing.TB) *deployment {
	t.Helper()
	s := &deployment{t: t, nodes: 1, memoryMB: 192, sockets: 512, config: filepath.Join(t.TempDir(), "config.json"),
		stateDir: filepath.Join(t.TempDir(), "state"),
		listen:   testkit.FreeAddr(t), admin: testkit.FreeAddr(t)}
	s.program = buildProgram(t)
	var lines []string
	for i := range 2 {
		l := newTestServer(s)
		s.servers = append(s.servers, l)
		lines = append(lines, l.line(i+1, 0))
	}
	s.setServers(lines)
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold := s.discoveryHold.Load(); hold != nil {
			select {
			case <-r.Context().Done():
				return
			case <-*hold:
			}
		}
		if s.discoveryDown.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if since := r.URL.Query().Get("since"); since == fmt.Sprint(s.revision.Load()) {
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
			fmt.Fprintf(w, `{"rev":%s,"all":false,"targets":[]}`, since)
			return
		}
		rev, list := s.revision.Load(), s.serverLines.Load()
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(*list, ","))
	}))
	t.Cleanup(s.discovery.Close)
	return s
}

// setServers changes discovery's list.
func (s *deployment) setServers(lines []string) {
	s.serverLines.Store(&lines)
	s.revision.Add(1)
}

// testServer is a server that can be blocked: it then accepts and answers nothing, while
// open connections stay open.
type testServer struct {
	net.Listener
	s        *deployment
	http     *httptest.Server
	blocked  atomic.Pointer[chan struct{}]
	requests atomic.Int64 // answered

	swallows  atomic.Bool // keeps the requests that come now, and never answers them
	swallowed atomic.Int64
	stopped   chan struct{}

	mu    sync.Mutex
	conns []net.Conn // accepted connections; some may be closed
}

func newTestServer(s *deployment) *testServer {
	l := &testServer{s: s, stopped: make(chan struct{})}
	l.http = httptest.NewUnstartedServer(l)
	l.Listener = l.http.Listener
	l.http.Listener = l
	l.http.Start()
	s.t.Cleanup(func() { l.unblock(); close(l.stopped); l.http.Close() })
	return l
}

// line is discovery's description of the server.
func (l *testServer) line(uid int, boot int64) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","state":"SERVING","capacity_hint":1,"boot_ms":%d}`, uid, l.Addr(), boot)
}

func (l *testServer) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if blocked := l.blocked.Load(); blocked != nil {
		<-*blocked
	}
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// reset resets all connections at once, as a rebooted machine does that doesn't know them.
func (l *testServer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection may already be closed
		}
		c.Close()
	}
	l.conns = nil
}

func (l *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if blocked := l.blocked.Load(); blocked != nil {
		<-*blocked
		panic(http.ErrAbortHandler) // the request is lost
	}
	if l.swallows.Load() {
		l.swallowed.Add(1)
		<-l.stopped
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	n, _ := l.s.attempts.LoadOrStore(id, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
	l.requests.Add(1)
	fmt.Fprint(w, id)
}

// block makes the server accept and answer nothing.
func (l *testServer) block() {
	blocked := make(chan struct{})
	l.blocked.Store(&blocked)
}

// unblock ends a block.
func (l *testServer) unblock() {
	if blocked := l.blocked.Swap(nil); blocked != nil {
		close(*blocked)
	}
}

// write replaces the configuration by rename. Tests vary the list of plans.
func (s *deployment) write(plans string) {
	s.t.Helper()
	peers := ""
	if s.nodes > 1 {
		peers = `"peers":true,`
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",%s"valvering":{"admin":%q,"state_dir":%q},
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"settings":{"me":0,"balancers":%d,"zone":"a","tick_ms":1,"discovery":"push",
		"caps":{%s"max_attempts":6,"cancel":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":2000},
		"family_info":{"largest":6,"mail_per_s":100},"rules":{"drain_grace_ms":2000},
		"classes":[{"name":"katalog","aim_ms":300,"hard_limit_ms":10000,"semantics":"repeatable","group":"all"},
		{"name":"perpanjang","aim_ms":1500,"hard_limit_ms":10000,"semantics":"once"}],
		"plans":[%s]}}`, s.listen, s.discovery.Listener.Addr(), s.extraFields, s.admin, s.stateDir,
		s.memoryMB, s.sockets, s.nodes, peers, plans)
	if err := os.WriteFile(s.config+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		s.t.Fatal(err)
	}
}

// start launches the program and waits until it is ready.
func (s *deployment) start() {
	s.t.Helper()
	s.launch()
	testkit.Eventually(s.t, "ready", func() bool { return s.health() == 200 })
}

// launch starts the program.
func (s *deployment) launch() {
	s.t.Helper()
	s.log = &testkit.Log{}
	s.cmd = exec.Command(s.program)
	if s.maxDescriptors > 0 {
		s.cmd = exec.Command("/bin/sh", "-c",
			fmt.Sprintf("ulimit -n %d; exec %s", s.maxDescriptors, s.program))
	}
	s.cmd.Env = []string{"GW_CONFIG=" + s.config, "PATH=" + os.Getenv("PATH")}
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	if s.logFile != nil {
		s.cmd.Stdout, s.cmd.Stderr = s.logFile, s.logFile
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd := s.cmd
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// health returns the status code of the readiness check; 0: no answer.
func (s *deployment) health() int {
	resp, err := http.Get("http://" + s.listen + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitLog waits until the log contains want: the program writes it asynchronously.
func (s *deployment) awaitLog(want string) {
	s.t.Helper()
	testkit.Eventually(s.t, fmt.Sprintf("%q in the log", want), func() bool { return strings.Contains(s.log.String(), want) })
}

func (s *deployment) signal(sig syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// callAdmin calls the admin server.
func (s *deployment) callAdmin(method, path string) (int, adminStatus) {
	s.t.Helper()
	code, st, err := s.tryAdmin(method, path)
	if err != nil {
		s.t.Fatal(err)
	}
	return code, st
}

// tryAdmin is callAdmin for tests in which descriptors may run short.
func (s *deployment) tryAdmin(method, path string) (code int, st adminStatus, err error) {
	r, err := http.NewRequest(method, "http://"+s.admin+path, nil)
	if err != nil {
		return 0, st, err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, st, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&st)
	return resp.StatusCode, st, err
}

type adminStatus struct {
	Generation, Before *struct{ Number int }
	Refused            *struct{ Faults []struct{ Field string } }
	Snapshots          *struct{ Written, Failed, Bytes int }
	Loop               struct{ Looks int64 }
}

func (s *deployment) generation() int {
	_, st := s.callAdmin("GET", "/status")
	return st.Generation.Number
}

// oncePrefix begins the ids of requests that must not run twice. The edge node may repeat
// others when an answer takes long.
const oncePrefix = "once-"

// clients send requests until stop is called. Like the platform's load balancer, each sends
// one request at a time on a persistent connection, and repeats a request that raced with
// the closing of its connection by the edge node.
type clients struct {
	s    *deployment
	done chan struct{}
	wg   sync.WaitGroup

	served    atomic.Int64
	brokenOff atomic.Int64 // connections that ended with a request open, as after a kill
	kills     atomic.Int64 // kills of the process, also those about to happen
	killing   atomic.Bool  // between a kill and the exit of the process
	errs      chan string

	deadline         int  // in ms
	serversFail      bool // so answers may be failures
	descriptorsShort bool // so new connections may be closed
}

func (s *deployment) startClients(n int) *clients {
	return s.startClientsLike(&clients{deadline: 10000}, n)
}

func (s *deployment) startClientsLike(c *clients, n int) *clients {
	c.s, c.done, c.errs = s, make(chan struct{}), make(chan string, 100)
	for i := range n {
		c.wg.Add(1)
		go c.run(i)
	}
	return c
}

func (c *clients) run(i int) {
	defer c.wg.Done()
	var conn net.Conn
	var br *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		id := fmt.Sprintf("%x", c.s.lastID.Add(1))
		class, method, length := "katalog", "GET", ""
		if i%2 == 1 {
			class, method, length = "perpanjang", "POST", "Content-Length: 0\r\n"
			id = oncePrefix + id
		}
		text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: dasar\r\n"+
			"Cookie: key=%016x\r\nX-Deadline-Ms: %d\r\n%sX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", method, class, id, class, i, c.deadline, length)
		kills, killing := c.kills.Load(), c.killing.Load()
		// the request may have raced with a kill
		metKill := func() bool { return killing || c.kills.Load() != kills }
		for try := 0; ; try++ {
			fresh := conn == nil
			if fresh {
				var err error
				if conn, err = net.Dial("tcp", c.s.listen); err != nil {
					conn = nil
					time.Sleep(5 * time.Millisecond) // the program is being restarted
					break
				}
				br = bufio.NewReader(conn)
			}
			_, err := io.WriteString(conn, text)
			var resp *http.Response
			if err == nil {
				resp, err = http.ReadResponse(br, nil)
			}
			if err != nil {
				conn.Close()
				conn = nil
				if !fresh && try == 0 && !metKill() {
					continue // the request raced with the closing of an idle connection
				}
				c.brokenOff.Add(1)
				if !metKill() && !(c.descriptorsShort && fresh) {
					c.errs <- fmt.Sprintf("%s: %v", id, err)
				}
				break
			}
			body, err := io.ReadAll(resp.Body)
			switch {
			case err == nil && resp.StatusCode == 200 && string(body) == id:
				c.served.Add(1)
			case err == nil && c.serversFail && resp.StatusCode >= 500:
			case err != nil || resp.StatusCode != 429: // 429: the request took too long on a slow machine
				c.errs <- fmt.Sprintf("%s: %d %q %v", id, resp.StatusCode, body, err)
			}
			if resp.Close {
				conn.Close()
				conn = nil
			}
			break
		}
	}
}

// kill kills the process, as a crash does, and starts it again.
func (c *clients) kill() {
	c.s.t.Helper()
	// The order matters: a client that reads the new count must also see that a kill is going on.
	c.killing.Store(true)
	c.kills.Add(1)
	c.s.signal(syscall.SIGKILL)
	_ = c.s.cmd.Wait()
	c.killing.Store(false)
	c.s.start()
}

// stop ends the load and reports all errors of the clients.
func (c *clients) stop() {
	c.s.t.Helper()
	close(c.done)
	c.wg.Wait()
	close(c.errs)
	for e := range c.errs {
		c.s.t.Error(e)
	}
}

// awaitServed waits until n more requests are served.
func (c *clients) awaitServed(n int64) {
	c.s.t.Helper()
	from := c.served.Load()
	testkit.Eventually(c.s.t, "further requests served", func() bool { return c.served.Load() >= from+n })
}

// The real program serves through reloads, refused configurations, a rollback, a kill and
// shutdowns: every request is answered, none with oncePrefix reaches servers twice, and each
// restart restores the configuration and the snapshot.
func TestService(t *testing.T) {
	const dasar, madya, tiga = `{"name":"dasar"}`, `{"name":"dasar"},{"name":"madya"}`, `{"name":"tiga"},{"name":"dasar"}`
	s := newDeployment(t)
	s.write(dasar)
	s.start()
	c := s.startClients(4)
	c.awaitServed(50)

	for n := 2; n <= 11; n++ { // valid files, one after another
		s.write([]string{dasar, madya}[n%2] + fmt.Sprintf(`,{"name":"p%d"}`, n))
		s.signal(syscall.SIGHUP)
		testkit.Eventually(t, "the new generation", func() bool { return s.generation() == n })
		c.awaitServed(10)
	}
	s.write(`{"name":"dasar","rate":-1}`)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the refusal", func() bool {
		_, st := s.callAdmin("GET", "/status")
		return st.Refused != nil && len(st.Refused.Faults) == 1 && st.Refused.Faults[0].Field == "settings.plans.0.rate"
	})
	if n := s.generation(); n != 11 {
		t.Errorf("generation %d after a refusal", n)
	}
	s.write(tiga)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the valid file after the refused one", func() bool { return s.generation() == 12 })
	if code, st := s.callAdmin("POST", "/rollback"); code != 200 || st.Generation.Number != 13 {
		t.Errorf("%d, generation %d after a rollback", code, st.Generation.Number)
	}
	if code, _ := s.callAdmin("POST", "/rollback"); code != 409 {
		t.Errorf("%d for a second rollback", code)
	}
	c.awaitServed(50)
	testkit.Eventually(t, "the current configuration on disk", func() bool {
		_, st := s.callAdmin("GET", "/status")
		return st.Snapshots.Written > 2 && st.Snapshots.Failed == 0 &&
			strings.Contains(string(s.snapshotBytes()), `{"name":"p11"}`)
	})

	// The process is killed under load, and discovery refuses calls when it starts again.
	s.discoveryDown.Store(true)
	c.kill()
	c.awaitServed(50)
	if n := s.generation(); n != 13 {
		t.Errorf("generation %d after the kill, 13 was in force", n)
	}
	for _, want := range []string{"the file was rolled back from", "snapshot found", "discovery does not answer"} {
		s.awaitLog(want)
	}
	s.discoveryDown.Store(false)
	if code, st := s.callAdmin("POST", "/apply"); code != 200 || st.Generation.Number != 14 {
		t.Errorf("%d, generation %d after /apply", code, st.Generation.Number)
	}
	c.awaitServed(50)
	c.stop()

	// A shutdown loses no request, and the next start recognizes that it was one.
	for range 2 {
		c = s.startClients(4)
		c.awaitServed(50)
		s.signal(syscall.SIGTERM)
		testkit.Eventually(t, "the readiness check reporting the shutdown", func() bool {
			return s.health() == 503
		})
		c.stop()
		ended := make(chan error, 1)
		cmd := s.cmd
		go func() { ended <- cmd.Wait() }()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("%v\n%s", err, s.log)
			}
		case <-time.After(testkit.WaitTimeout):
			t.Fatalf("the program did not exit\n%s", s.log)
		}
		s.start()
		s.awaitLog(`"planned stop"=true`)
	}
	s.checkSentOnce()
}

// checkSentOnce checks that no request with oncePrefix reached servers twice.
func (s *deployment) checkSentOnce() {
	s.t.Helper()
	n := 0
	s.attempts.Range(func(id, times any) bool {
		if strings.HasPrefix(id.(string), oncePrefix) {
			if n++; times.(*atomic.Int32).Load() != 1 {
				s.t.Errorf("%v reached servers %d times", id, times.(*atomic.Int32).Load())
			}
		}
		return true
	})
	if n == 0 {
		s.t.Error("no request with oncePrefix reached a server")
	}
}

// snapshotBytes returns the raw bytes of both snapshot files.
func (s *deployment) snapshotBytes() (all []byte) {
	for _, name := range []string{"snapshot-0", "snapshot-1"} {
		b, err := os.ReadFile(filepath.Join(s.stateDir, name))
		if err == nil {
			all = append(all, b...)
		}
	}
	return all
}

// snapshotLists reports whether a valid snapshot lists a server at addr.
func (s *deployment) snapshotLists(addr string) bool {
	for _, name := range []string{"snapshot-0", "snapshot-1"} {
		b, err := os.ReadFile(filepath.Join(s.stateDir, name))
		if err != nil {
			continue
		}
		st, err := snapshot.Decode(b, "n0")
		if err == nil && st.List != nil && slices.ContainsFunc(st.List.Targets, func(t roster.Target) bool { return t.Endpoint == addr }) {
			return true
		}
	}
	return false
}

// The process is killed repeatedly under load, at any step of a snapshot write: each start
// finds a whole snapshot and serves, and no request with oncePrefix reaches servers twice.
func TestKillLoop(t *testing.T) {
	s := newDeployment(t)
	s.write(`{"name":"dasar"}`)
	s.start()
	testkit.Eventually(t, "the list on disk", func() bool {
		return s.snapshotLists(s.servers[1].Addr().String())
	})
	s.discoveryDown.Store(true) // from now on only the snapshot has the list
	c := s.startClients(4)
	for i := range 12 {
		if i%3 == 0 {
			c.awaitServed(20)
		}
		// a fixed pause, not a condition, so that the kill may hit any step
		time.Sleep(time.Duration(i*i) * time.Millisecond)
		c.kill()
		s.awaitLog("snapshot found") // logged after any snapshot that was passed over
		if log := s.log.String(); strings.Contains(log, "passed over") {
			t.Fatalf("start %d:\n%s", i, log)
		}
	}
	c.awaitServed(20)
	c.stop()
	s.checkSentOnce()
}
