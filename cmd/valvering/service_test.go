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

// service is the real program with what stands round it: discovery, lending
// servers, clients and an operator.
type service struct {
	t       testing.TB
	program string
	config  string
	state   string
	listen  string
	admin   string
	disc    *httptest.Server
	down    atomic.Bool                   // discovery refuses
	silent  atomic.Pointer[chan struct{}] // discovery says nothing until it is closed; nil: it answers
	rev     atomic.Int64
	list    atomic.Pointer[[]string] // the list's lines
	lenders []*lender
	id      atomic.Int64 // of the requests
	more    string       // further fields of the configuration
	nodes   int          // of the tier
	most    int          // descriptors that the system allows the program; 0: as many as it allows the test
	ran     sync.Map     // how often a lending server was sent each request

	cmd *exec.Cmd
	log *testkit.Log
	out *os.File // where the program writes instead; nil: to log
}

func newService(t testing.TB) *service {
	t.Helper()
	s := &service{t: t, nodes: 1, config: filepath.Join(t.TempDir(), "config.json"), state: filepath.Join(t.TempDir(), "state"),
		listen: testkit.FreeAddr(t), admin: testkit.FreeAddr(t)}
	s.program = built(t)
	var lines []string
	for i := range 2 {
		l := newLender(s)
		s.lenders = append(s.lenders, l)
		lines = append(lines, l.line(i+1, 0))
	}
	s.tellList(lines)
	s.disc = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hold := s.silent.Load(); hold != nil {
			select {
			case <-r.Context().Done():
				return
			case <-*hold:
			}
		}
		if s.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if since := r.URL.Query().Get("since"); since == fmt.Sprint(s.rev.Load()) {
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
			fmt.Fprintf(w, `{"rev":%s,"all":false,"targets":[]}`, since)
			return
		}
		rev, list := s.rev.Load(), s.list.Load()
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(*list, ","))
	}))
	t.Cleanup(s.disc.Close)
	return s
}

// tellList has discovery tell another list.
func (s *service) tellList(lines []string) {
	s.list.Store(&lines)
	s.rev.Add(1)
}

// lender is a lending server. While it is dark it takes nothing in and answers nothing,
// and open connections stay open.
type lender struct {
	net.Listener
	s    *service
	http *httptest.Server
	dark atomic.Pointer[chan struct{}]
	ran  atomic.Int64

	mu    sync.Mutex
	conns []net.Conn // accepted, some of them closed since
}

func newLender(s *service) *lender {
	l := &lender{s: s}
	l.http = httptest.NewUnstartedServer(l)
	l.Listener = l.http.Listener
	l.http.Listener = l
	l.http.Start()
	s.t.Cleanup(func() { l.light(); l.http.Close() })
	return l
}

// line is what discovery tells of it.
func (l *lender) line(uid int, boot int64) string {
	return fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","state":"SERVING","capacity_hint":1,"boot_ms":%d}`, uid, l.Addr(), boot)
}

func (l *lender) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if dark := l.dark.Load(); dark != nil {
		<-*dark
	}
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// reset breaks all its connections at once, as a machine does that is back and knows none
// of them.
func (l *lender) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it may be closed
		}
		c.Close()
	}
	l.conns = nil
}

func (l *lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if dark := l.dark.Load(); dark != nil {
		<-*dark
		panic(http.ErrAbortHandler) // it has lost what it was asked
	}
	id := r.Header.Get("X-Request-Id")
	n, _ := l.s.ran.LoadOrStore(id, new(atomic.Int32))
	n.(*atomic.Int32).Add(1)
	l.ran.Add(1)
	fmt.Fprint(w, id)
}

func (l *lender) darken() {
	dark := make(chan struct{})
	l.dark.Store(&dark)
}

func (l *lender) light() {
	if dark := l.dark.Swap(nil); dark != nil {
		close(*dark)
	}
}

// write puts a configuration in place by rename. Its list of plans is what the
// test changes.
func (s *service) write(plans string) {
	s.t.Helper()
	peers := ""
	if s.nodes > 1 {
		peers = `"peers":true,`
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",%s"valvering":{"admin":%q,"state_dir":%q},
		"limits":{"cores":1,"memory_mb":192,"sockets":512},
		"settings":{"me":0,"balancers":%d,"zone":"a","tick_ms":1,"discovery":"push",
		"caps":{%s"max_attempts":6,"cancel":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":2000},
		"family_info":{"largest":6,"mail_per_s":100},"rules":{"drain_grace_ms":2000},
		"classes":[{"name":"katalog","aim_ms":300,"hard_limit_ms":10000,"semantics":"repeatable","group":"all"},
		{"name":"perpanjang","aim_ms":1500,"hard_limit_ms":10000,"semantics":"once"}],
		"plans":[%s]}}`, s.listen, s.disc.Listener.Addr(), s.more, s.admin, s.state, s.nodes, peers, plans)
	if err := os.WriteFile(s.config+".new", []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		s.t.Fatal(err)
	}
}

// start runs the program until it is ready.
func (s *service) start() {
	s.t.Helper()
	s.begin()
	testkit.Eventually(s.t, "ready", func() bool { return s.health() == 200 })
}

// begin runs the program.
func (s *service) begin() {
	s.t.Helper()
	s.log = &testkit.Log{}
	s.cmd = exec.Command(s.program)
	if s.most > 0 {
		s.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", s.most, s.program))
	}
	s.cmd.Env = []string{"GW_CONFIG=" + s.config, "PATH=" + os.Getenv("PATH")}
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	if s.out != nil {
		s.cmd.Stdout, s.cmd.Stderr = s.out, s.out
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd := s.cmd
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// health is the answer to the question for readiness; 0: none.
func (s *service) health() int {
	resp, err := http.Get("http://" + s.listen + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// says waits until the program's log has something in it: it is written beside the work.
func (s *service) says(want string) {
	s.t.Helper()
	testkit.Eventually(s.t, fmt.Sprintf("%q in the log", want), func() bool { return strings.Contains(s.log.String(), want) })
}

func (s *service) signal(sig syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// operate calls the operators' address.
func (s *service) operate(method, path string) (int, adminStatus) {
	s.t.Helper()
	code, st, err := s.tryToOperate(method, path)
	if err != nil {
		s.t.Fatal(err)
	}
	return code, st
}

// tryToOperate does so where descriptors may be short.
func (s *service) tryToOperate(method, path string) (code int, st adminStatus, err error) {
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

func (s *service) generation() int {
	_, st := s.operate("GET", "/status")
	return st.Generation.Number
}

// once begins the ids of requests that must not run twice. Others may be sent on
// again when an answer takes long.
const once = "once-"

// clients ask for what they can until stop is called. As the front does, each
// sends one request at a time on a connection it keeps, and sends a request again
// that crossed the closing of its connection by the edge node.
type clients struct {
	s    *service
	done chan struct{}
	wg   sync.WaitGroup

	served atomic.Int64
	died   atomic.Int64 // connections that ended with a request open: the process was killed
	kills  atomic.Int64 // that were about to come
	dying  atomic.Bool  // between a kill and the process's end
	errs   chan string

	deadline int  // ms
	lossy    bool // servers fail: an answer may be a failure
	crowded  bool // descriptors are short: a new connection may be closed
}

func (s *service) load(n int) *clients {
	return s.loadOf(&clients{deadline: 10000}, n)
}

func (s *service) loadOf(c *clients, n int) *clients {
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
		id := fmt.Sprintf("%x", c.s.id.Add(1))
		class, method, length := "katalog", "GET", ""
		if i%2 == 1 {
			class, method, length = "perpanjang", "POST", "Content-Length: 0\r\n"
			id = once + id
		}
		text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: dasar\r\n"+
			"Cookie: key=%016x\r\nX-Deadline-Ms: %d\r\n%sX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", method, class, id, class, i, c.deadline, length)
		kills, dying := c.kills.Load(), c.dying.Load()
		kill := func() bool { return dying || c.kills.Load() != kills } // the request may have met one
		for try := 0; ; try++ {
			fresh := conn == nil
			if fresh {
				var err error
				if conn, err = net.Dial("tcp", c.s.listen); err != nil {
					conn = nil
					time.Sleep(5 * time.Millisecond) // it is being restarted
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
				if !fresh && try == 0 && !kill() {
					continue // it crossed the closing of an idle connection
				}
				c.died.Add(1)
				if !kill() && !(c.crowded && fresh) {
					c.errs <- fmt.Sprintf("%s: %v", id, err)
				}
				break
			}
			body, err := io.ReadAll(resp.Body)
			switch {
			case err == nil && resp.StatusCode == 200 && string(body) == id:
				c.served.Add(1)
			case err == nil && c.lossy && resp.StatusCode >= 500:
			case err != nil || resp.StatusCode != 429: // one that took too long on a slow machine
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

// kill ends the process as a crash does, and starts it again.
func (c *clients) kill() {
	c.s.t.Helper()
	// In this order: a client that reads the new count must not read that nothing dies.
	c.dying.Store(true)
	c.kills.Add(1)
	c.s.signal(syscall.SIGKILL)
	_ = c.s.cmd.Wait()
	c.dying.Store(false)
	c.s.start()
}

func (c *clients) stop() {
	c.s.t.Helper()
	close(c.done)
	c.wg.Wait()
	close(c.errs)
	for e := range c.errs {
		c.s.t.Error(e)
	}
}

// more waits until so many further requests have been served.
func (c *clients) more(n int64) {
	c.s.t.Helper()
	from := c.served.Load()
	testkit.Eventually(c.s.t, "further requests served", func() bool { return c.served.Load() >= from+n })
}

// The real program serves through reloads, refusals, a roll back, a kill and
// planned stops: each request is answered, none is sent on twice, and what was in
// force and known comes back.
func TestService(t *testing.T) {
	const dasar, madya, tiga = `{"name":"dasar"}`, `{"name":"dasar"},{"name":"madya"}`, `{"name":"tiga"},{"name":"dasar"}`
	s := newService(t)
	s.write(dasar)
	s.start()
	c := s.load(4)
	c.more(50)

	for n := 2; n <= 11; n++ { // good files, one after another
		s.write([]string{dasar, madya}[n%2] + fmt.Sprintf(`,{"name":"p%d"}`, n))
		s.signal(syscall.SIGHUP)
		testkit.Eventually(t, "the new generation", func() bool { return s.generation() == n })
		c.more(10)
	}
	s.write(`{"name":"dasar","rate":-1}`)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the refusal", func() bool {
		_, st := s.operate("GET", "/status")
		return st.Refused != nil && len(st.Refused.Faults) == 1 && st.Refused.Faults[0].Field == "settings.plans.0.rate"
	})
	if n := s.generation(); n != 11 {
		t.Errorf("generation %d after a refusal", n)
	}
	s.write(tiga)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the good file behind it", func() bool { return s.generation() == 12 })
	if code, st := s.operate("POST", "/rollback"); code != 200 || st.Generation.Number != 13 {
		t.Errorf("%d, generation %d after a roll back", code, st.Generation.Number)
	}
	if code, _ := s.operate("POST", "/rollback"); code != 409 {
		t.Errorf("%d for a second roll back", code)
	}
	c.more(50)
	testkit.Eventually(t, "what is in force on disk", func() bool {
		_, st := s.operate("GET", "/status")
		return st.Snapshots.Written > 2 && st.Snapshots.Failed == 0 && strings.Contains(string(s.newest()), `{"name":"p11"}`)
	})

	// A kill under load, and discovery refuses when it starts again.
	s.down.Store(true)
	c.kill()
	c.more(50)
	if n := s.generation(); n != 13 {
		t.Errorf("generation %d after the kill, 13 was in force", n)
	}
	for _, want := range []string{"the file was rolled back from", "snapshot found", "discovery does not answer"} {
		s.says(want)
	}
	s.down.Store(false)
	if code, st := s.operate("POST", "/apply"); code != 200 || st.Generation.Number != 14 {
		t.Errorf("%d, generation %d applied by hand", code, st.Generation.Number)
	}
	c.more(50)
	c.stop()

	// Planned stops lose nothing, and the next start knows that it was one.
	for range 2 {
		c = s.load(4)
		c.more(50)
		s.signal(syscall.SIGTERM)
		testkit.Eventually(t, "the front told to go elsewhere", func() bool {
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
			t.Fatalf("did not end\n%s", s.log)
		}
		s.start()
		s.says(`"planned stop"=true`)
	}
	s.onlyOnce()
}

// onlyOnce checks that nothing that must not run twice was sent on twice.
func (s *service) onlyOnce() {
	s.t.Helper()
	n := 0
	s.ran.Range(func(id, times any) bool {
		if strings.HasPrefix(id.(string), once) {
			if n++; times.(*atomic.Int32).Load() != 1 {
				s.t.Errorf("%v was sent on %d times", id, times.(*atomic.Int32).Load())
			}
		}
		return true
	})
	if n == 0 {
		s.t.Error("nothing that must not run twice was sent on")
	}
}

// newest is what both snapshots hold, as bytes.
func (s *service) newest() (all []byte) {
	for _, name := range []string{"snapshot-0", "snapshot-1"} {
		b, err := os.ReadFile(filepath.Join(s.state, name))
		if err == nil {
			all = append(all, b...)
		}
	}
	return all
}

// keeps tells whether a snapshot that is whole lists a server at the address.
func (s *service) keeps(addr string) bool {
	for _, name := range []string{"snapshot-0", "snapshot-1"} {
		b, err := os.ReadFile(filepath.Join(s.state, name))
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

// Killed again and again under load, at any step of a write: each start finds a
// whole snapshot and serves, and nothing is sent on twice.
func TestKillLoop(t *testing.T) {
	s := newService(t)
	s.write(`{"name":"dasar"}`)
	s.start()
	testkit.Eventually(t, "the list on disk", func() bool { return s.keeps(s.lenders[1].Addr().String()) })
	s.down.Store(true) // from now on it is there alone
	c := s.load(4)
	for i := range 12 {
		if i%3 == 0 {
			c.more(20)
		}
		time.Sleep(time.Duration(i*i) * time.Millisecond) // not waited for: the kill is to come anywhere
		c.kill()
		s.says("snapshot found") // and ahead of it what was passed over
		if log := s.log.String(); strings.Contains(log, "passed over") {
			t.Fatalf("start %d:\n%s", i, log)
		}
	}
	c.more(20)
	c.stop()
	s.onlyOnce()
}
