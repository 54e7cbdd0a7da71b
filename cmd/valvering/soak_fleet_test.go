package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// Classes and plans of the soak's settings.
const (
	safeClass, keyedClass, onceClass = "read", "loan", "renew"
	freePlan, ratePlan, ceilingPlan  = "free", "rate", "ceiling"
	longestDeadline                  = 2 * time.Second
	crowdSockets, plentySockets      = 64, 512
)

// randomSource is a seeded source that several goroutines may draw from. The schedule of a play,
// each client and each server have their own, so that none changes what another draws.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed, stream uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, stream))}
}

func (r *randomSource) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *randomSource) upTo(most time.Duration) time.Duration {
	return time.Duration(r.intN(int(most)))
}

// chance is true once in n times.
func (r *randomSource) chance(n int) bool { return r.intN(n) == 0 }

// serverMode is what a server of the soak does with a request.
type serverMode int32

const (
	serving serverMode = iota
	hanging            // it answers nothing
	resetting
)

// soakServer is a lending server.
type soakServer struct {
	fleet  *soakFleet
	uid    string
	random *randomSource
	ln     net.Listener
	mode   atomic.Int32
	drain  atomic.Bool
}

func newSoakServer(f *soakFleet, no int) *soakServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &soakServer{fleet: f, uid: fmt.Sprintf("s-%08x", no+1), ln: ln, random: newRandomSource(f.seed, serverStreams+uint64(no))}
	go s.accept()
	f.t.Cleanup(func() { ln.Close() })
	return s
}

func (s *soakServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *soakServer) line() string {
	state := "SERVING"
	if s.drain.Load() {
		state = "DRAINING"
	}
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","state":%q,"capacity_hint":1,"boot_ms":0}`, s.uid, s.ln.Addr(), state)
}

func (s *soakServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(c, r.Header.Get("X-Request-Id")) {
			return
		}
	}
}

// answer does what the server's mode and chance want; it is false when the connection is over.
func (s *soakServer) answer(c net.Conn, id string) bool {
	random, mode := s.random, serverMode(s.mode.Load())
	turnedAway := mode == serving && random.chance(25)
	s.fleet.arrived(id, attemptSeen{server: s.uid, at: time.Now(), ran: !turnedAway})
	reset := func() bool { _ = c.(*net.TCPConn).SetLinger(0); return false }
	switch {
	case turnedAway:
		_, err := io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case mode == hanging:
		time.Sleep(longestDeadline)
		return true
	case mode == resetting || random.chance(40):
		return reset()
	case random.chance(40):
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case random.chance(60): // breaks off half way
		body := servedBody(id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		return reset()
	}
	time.Sleep(random.upTo(60 * time.Millisecond))
	body := servedBody(id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// servedBody is the body that a server makes for a request.
func servedBody(id string) string { return "served:" + id }

// discoveryMode is what an agent does with a call.
type discoveryMode int32

const (
	telling discoveryMode = iota
	refusing
	silent
)

// soakAgent is discovery's agent on one node's machine.
type soakAgent struct {
	fleet *soakFleet
	node  string
	http  *httptest.Server
	mode  atomic.Int32
}

func newSoakAgent(f *soakFleet, node string) *soakAgent {
	a := &soakAgent{fleet: f, node: node}
	a.http = httptest.NewServer(a)
	f.t.Cleanup(func() { a.mode.Store(int32(telling)); a.http.CloseClientConnections(); a.http.Close() })
	return a
}

func (a *soakAgent) addr() string { return a.http.Listener.Addr().String() }

func (a *soakAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(wait, 1))*time.Millisecond)
	defer cancel()
	since := r.URL.Query().Get("since")
	for {
		rev, changed := a.fleet.revision()
		switch mode := discoveryMode(a.mode.Load()); {
		case mode == refusing:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case mode == telling && since != strconv.Itoa(rev):
			a.tell(w, rev)
			return
		case mode == telling && ctx.Err() != nil:
			fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, rev)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// tell writes the whole list, which counts as told from then on.
func (a *soakAgent) tell(w http.ResponseWriter, rev int) {
	var lines []string
	var draining []string
	for _, s := range a.fleet.servers {
		if s.drain.Load() {
			draining = append(draining, s.uid)
		}
		lines = append(lines, s.line())
	}
	fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(lines, ","))
	if err := http.NewResponseController(w).Flush(); err == nil {
		a.fleet.told(a.node, draining)
	}
}

// soakNode is an edge node of the fleet: the real program under its name, process after process.
type soakNode struct {
	fleet  *soakFleet
	name   string
	listen string
	config string
	agent  *soakAgent

	mu     sync.Mutex
	cmd    *exec.Cmd
	log    *testkit.Log
	exited chan struct{} // closed once the process has ended
	front  bool          // the front opens connections to it
	killed time.Time     // when the last process was killed
}

// soakFleet is a small fleet of the real program, with what stands round it.
type soakFleet struct {
	t        testing.TB
	program  string
	seed     uint64
	schedule *randomSource
	seen     *observations
	servers  []*soakServer
	nodes    []*soakNode
	crowded  bool

	mu      sync.Mutex
	rev     int
	changed chan struct{} // closed at the next change of the list
	ids     int
}

const (
	soakNodes   = 3
	soakServers = 4
)

// Streams of a play's random sources.
const (
	scheduleStream = 1
	serverStreams  = 100  // and one more for each server
	clientStreams  = 1000 // and one more for each client of all nodes
)

func newSoakFleet(t testing.TB, seed uint64, crowded bool) *soakFleet {
	f := &soakFleet{t: t, program: built(t), seed: seed, schedule: newRandomSource(seed, scheduleStream), seen: newObservations(), crowded: crowded,
		rev: 1, changed: make(chan struct{})}
	for i := range soakServers {
		f.servers = append(f.servers, newSoakServer(f, i))
	}
	for i := range soakNodes {
		name := fmt.Sprint("n", i)
		f.nodes = append(f.nodes, &soakNode{fleet: f, name: name, listen: testkit.FreeAddr(t),
			config: filepath.Join(t.TempDir(), "config.json"), agent: newSoakAgent(f, name)})
	}
	for _, n := range f.nodes {
		n.write(n.text(""))
	}
	return f
}

func (f *soakFleet) revision() (int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rev, f.changed
}

// change has discovery tell the list anew.
func (f *soakFleet) change() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	close(f.changed)
	f.changed = make(chan struct{})
}

// told notes which servers a node has been told to drain, and which no more.
func (f *soakFleet) told(node string, draining []string) {
	o := f.seen
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	known := map[string]bool{}
	for i := range o.drains {
		d := &o.drains[i]
		if d.node != node || !d.to.IsZero() {
			continue
		}
		known[d.server] = true
		if !slices.Contains(draining, d.server) {
			d.to = now
		}
	}
	for _, uid := range draining {
		if !known[uid] {
			o.drains = append(o.drains, drainSeen{node: node, server: uid, from: now})
		}
	}
}

// arrived notes an attempt. One for a request that nobody sent is itself a fault.
func (f *soakFleet) arrived(id string, a attemptSeen) {
	f.seen.mu.Lock()
	defer f.seen.mu.Unlock()
	if r := f.seen.requests[id]; r != nil {
		r.attempts = append(r.attempts, a)
		return
	}
	f.t.Errorf("%s got a request %q that no client sent", a.server, id)
}

// text is a node's configuration with a further plan, none if that is empty.
func (n *soakNode) text(plan string) string {
	f := n.fleet
	var peers []string
	me := 0
	for i, other := range f.nodes {
		peers = append(peers, strconv.Quote(other.listen))
		if other == n {
			me = i
		}
	}
	sockets := plentySockets
	if f.crowded {
		sockets = crowdSockets
	}
	if plan != "" {
		plan = fmt.Sprintf(`,{"name":%q}`, plan)
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x","peer_listen":%q,"peers":[%s],
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"known":{"rev":0,"all":true,"targets":[%s]},
		"settings":{"me":%d,"balancers":%d,"zone":"a","tick_ms":1,"discovery":"push",
		"caps":{"peers":true,"max_attempts":%d,"cancel":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":1500},
		"family_info":{"largest":6,"mail_per_s":100},"rules":{"drain_grace_ms":%d},
		"classes":[{"name":%q,"aim_ms":300,"hard_limit_ms":%d,"semantics":"repeatable","group":"all"},
		{"name":%q,"aim_ms":600,"hard_limit_ms":%d,"semantics":"by_key","group":"all","window_ms":%d},
		{"name":%q,"aim_ms":900,"hard_limit_ms":%d,"semantics":"once"}],
		"plans":[{"name":%q},{"name":%q,"rate":40,"store_size":40},{"name":%q,"hard_rate":%g,"hard_burst":%g}%s]}}`,
		n.name, n.listen, n.agent.addr(), f.schedule.intN(256), n.listen, strings.Join(peers, ","), sockets, f.lines(), me, len(f.nodes),
		maxAttempts, drainGrace.Milliseconds(), safeClass, longestDeadline.Milliseconds(),
		keyedClass, longestDeadline.Milliseconds(), keyedWindow.Milliseconds(), onceClass, longestDeadline.Milliseconds(),
		freePlan, ratePlan, ceilingPlan, ceilingRate, ceilingBurst, plan)
}

func (f *soakFleet) lines() string {
	var lines []string
	for _, s := range f.servers {
		lines = append(lines, s.line())
	}
	return strings.Join(lines, ",")
}

// write puts a configuration in place by rename.
func (n *soakNode) write(text string) {
	if err := os.WriteFile(n.config+".new", []byte(text), 0o600); err != nil {
		n.fleet.t.Fatal(err)
	}
	if err := os.Rename(n.config+".new", n.config); err != nil {
		n.fleet.t.Fatal(err)
	}
}

// begin starts a process.
func (n *soakNode) begin() {
	cmd, log, exited := exec.Command(n.fleet.program), &testkit.Log{}, make(chan struct{})
	cmd.Env = []string{"GW_CONFIG=" + n.config, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		n.fleet.t.Fatal(err)
	}
	n.fleet.t.Cleanup(func() { _ = cmd.Process.Kill() })
	n.mu.Lock()
	n.cmd, n.log, n.exited = cmd, log, exited
	n.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
}

// ready waits until the process says that it is ready, and has the front open connections to it.
func (n *soakNode) ready() (took time.Duration) {
	from := time.Now()
	testkit.Eventually(n.fleet.t, n.name+" ready", func() bool {
		resp, err := http.Get("http://" + n.listen + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	n.setFront(true)
	return time.Since(from)
}

func (n *soakNode) setFront(opens bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.front = opens
}

func (n *soakNode) frontOpens() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.front
}

// signal sends the process a signal; one that has ended gets none.
func (n *soakNode) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.fleet.t.Fatal(err)
	}
}

// kill ends the process as a crash does and starts another.
func (n *soakNode) kill() {
	n.mu.Lock()
	n.killed, n.front = time.Now(), false
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	<-exited
	n.mu.Lock()
	n.killed = time.Now()
	n.mu.Unlock()
	n.begin()
	n.ready()
}

// killedSince tells whether a process was killed, or was about to be, after a time.
func (n *soakNode) killedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed.After(at)
}

// ending waits for the process to end until it may be killed, and notes how it ended.
func (n *soakNode) ending(from time.Time) stopSeen {
	n.mu.Lock()
	exited, cmd := n.exited, n.cmd
	n.mu.Unlock()
	seen := stopSeen{node: n.name}
	select {
	case <-exited:
	case <-time.After(time.Until(from.Add(killAfter + n.fleet.seen.allowed()))):
		seen.killed = true
		n.mu.Lock()
		n.killed = time.Now()
		n.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
	}
	seen.after, seen.code = time.Since(from), cmd.ProcessState.ExitCode()
	return seen
}

// resources are what a process holds.
type resources struct {
	descriptors int
	residentKB  int
}

func (n *soakNode) resources() (r resources) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		r.descriptors = len(list)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		n.fleet.t.Error(err)
		return r
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			r.residentKB, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return r
}
