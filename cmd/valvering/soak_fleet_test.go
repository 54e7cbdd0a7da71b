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
	fewSockets, manySockets          = 64, 512
)

// randomSource is a seeded source for several goroutines. The schedule of a run, each client and
// each server have their own source, so that none affects the numbers that another draws.
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

func (r *randomSource) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.intN(int(limit)))
}

// chance is true with probability 1/n.
func (r *randomSource) chance(n int) bool { return r.intN(n) == 0 }

// serverMode is how a server of the soak handles requests.
type serverMode int32

const (
	serving serverMode = iota
	hanging            // answers nothing
	resetting
)

// soakServer is a server for all nodes.
type soakServer struct {
	fleet    *soakFleet
	uid      string
	random   *randomSource
	ln       net.Listener
	mode     atomic.Int32
	draining atomic.Bool
}

func newSoakServer(f *soakFleet, number int) *soakServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &soakServer{fleet: f, uid: fmt.Sprintf("s-%08x", number+1), ln: ln,
		random: newRandomSource(f.seed, serverStreams+uint64(number))}
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
	if s.draining.Load() {
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

// answer answers by the server's mode and at random, and reports whether the connection stays open.
func (s *soakServer) answer(c net.Conn, id string) bool {
	random, mode := s.random, serverMode(s.mode.Load())
	rejected := mode == serving && random.chance(25)
	s.fleet.recordAttempt(id, attemptRecord{server: s.uid, at: time.Now(), mayHaveRun: !rejected})
	reset := func() bool { _ = c.(*net.TCPConn).SetLinger(0); return false }
	switch {
	case rejected:
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
	case random.chance(60): // breaks off in the middle of the answer
		body := servedBody(id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		return reset()
	}
	time.Sleep(random.upTo(60 * time.Millisecond))
	body := servedBody(id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// servedBody is the body of a server's answer to a request.
func servedBody(id string) string { return "served:" + id }

// discoveryMode is how a discovery agent handles calls.
type discoveryMode int32

const (
	answering discoveryMode = iota
	refusing
	silent
)

// soakAgent is the discovery agent of one node.
type soakAgent struct {
	fleet *soakFleet
	node  string
	http  *httptest.Server
	mode  atomic.Int32
}

func newSoakAgent(f *soakFleet, node string) *soakAgent {
	a := &soakAgent{fleet: f, node: node}
	a.http = httptest.NewServer(a)
	f.t.Cleanup(func() { a.mode.Store(int32(answering)); a.http.CloseClientConnections(); a.http.Close() })
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
		case mode == answering && since != strconv.Itoa(rev):
			a.writeList(w, rev)
			return
		case mode == answering && ctx.Err() != nil:
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

// writeList writes the whole list and records the draining servers that the node now knows of.
func (a *soakAgent) writeList(w http.ResponseWriter, rev int) {
	var lines []string
	var draining []string
	for _, s := range a.fleet.servers {
		if s.draining.Load() {
			draining = append(draining, s.uid)
		}
		lines = append(lines, s.line())
	}
	fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, rev, strings.Join(lines, ","))
	if err := http.NewResponseController(w).Flush(); err == nil {
		a.fleet.recordDrains(a.node, draining)
	}
}

// soakNode is an edge node of the fleet: one process of the real program after another under one name.
type soakNode struct {
	fleet  *soakFleet
	name   string
	listen string
	config string
	agent  *soakAgent

	mu        sync.Mutex
	cmd       *exec.Cmd
	log       *testkit.Log
	exited    chan struct{} // closed once the process has exited
	accepting bool          // clients open connections to it
	killedAt  time.Time     // when the last process was killed
}

// soakFleet is a small fleet of the real program with its servers and discovery agents.
type soakFleet struct {
	t                testing.TB
	program          string
	seed             uint64
	schedule         *randomSource
	observed         *observations
	servers          []*soakServer
	nodes            []*soakNode
	descriptorsShort bool

	mu             sync.Mutex
	revisionNumber int
	changed        chan struct{} // closed at the next change of the list
	lastID         int
}

const (
	soakNodes   = 3
	soakServers = 4
)

// Streams of a run's random sources.
const (
	scheduleStream = 1
	serverStreams  = 100  // plus the number of the server
	clientStreams  = 1000 // plus the number of the client over all nodes
)

func newSoakFleet(t testing.TB, seed uint64, crowded bool) *soakFleet {
	f := &soakFleet{t: t, program: buildProgram(t), seed: seed, schedule: newRandomSource(seed, scheduleStream),
		observed: newObservations(), descriptorsShort: crowded,
		revisionNumber: 1, changed: make(chan struct{})}
	for i := range soakServers {
		f.servers = append(f.servers, newSoakServer(f, i))
	}
	for i := range soakNodes {
		name := fmt.Sprint("n", i)
		f.nodes = append(f.nodes, &soakNode{fleet: f, name: name, listen: testkit.FreeAddr(t),
			config: filepath.Join(t.TempDir(), "config.json"), agent: newSoakAgent(f, name)})
	}
	for _, n := range f.nodes {
		n.write(n.settings(""))
	}
	return f
}

func (f *soakFleet) revision() (int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revisionNumber, f.changed
}

// changeList has discovery send the list again under a new revision.
func (f *soakFleet) changeList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revisionNumber++
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordDrains records which servers a node now knows to be draining, and which no longer.
func (f *soakFleet) recordDrains(node string, draining []string) {
	o := f.observed
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
			o.drains = append(o.drains, drainRecord{node: node, server: uid, from: now})
		}
	}
}

// recordAttempt records an attempt. An attempt for a request that no client sent is an error.
func (f *soakFleet) recordAttempt(id string, a attemptRecord) {
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	if r := f.observed.requests[id]; r != nil {
		r.attempts = append(r.attempts, a)
		return
	}
	f.t.Errorf("%s got a request %q that no client sent", a.server, id)
}

// settings returns a node's configuration, with a further plan unless plan is empty.
func (n *soakNode) settings(plan string) string {
	f := n.fleet
	var peers []string
	me := 0
	for i, other := range f.nodes {
		peers = append(peers, strconv.Quote(other.listen))
		if other == n {
			me = i
		}
	}
	sockets := manySockets
	if f.descriptorsShort {
		sockets = fewSockets
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

// write replaces the configuration by rename.
func (n *soakNode) write(text string) {
	if err := os.WriteFile(n.config+".new", []byte(text), 0o600); err != nil {
		n.fleet.t.Fatal(err)
	}
	if err := os.Rename(n.config+".new", n.config); err != nil {
		n.fleet.t.Fatal(err)
	}
}

// launch starts a process.
func (n *soakNode) launch() {
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

// awaitReady waits until the process is ready, has clients open connections to it, and returns
// the time taken.
func (n *soakNode) awaitReady() (took time.Duration) {
	from := time.Now()
	testkit.Eventually(n.fleet.t, n.name+" ready", func() bool {
		resp, err := http.Get("http://" + n.listen + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	n.setAccepting(true)
	return time.Since(from)
}

// setAccepting sets whether clients open connections to the node.
func (n *soakNode) setAccepting(opens bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepting = opens
}

func (n *soakNode) isAccepting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.accepting
}

// signal sends the process a signal unless it has exited.
func (n *soakNode) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.fleet.t.Fatal(err)
	}
}

// kill kills the process, as a crash does, and starts another.
func (n *soakNode) kill() {
	n.mu.Lock()
	n.killedAt, n.accepting = time.Now(), false
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	<-exited
	n.mu.Lock()
	n.killedAt = time.Now()
	n.mu.Unlock()
	n.launch()
	n.awaitReady()
}

// killedSince reports whether a process was killed, or was about to be, after a time.
func (n *soakNode) killedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killedAt.After(at)
}

// awaitExit waits until the process exits, kills it after killAfter, and records how it ended.
func (n *soakNode) awaitExit(from time.Time) stopRecord {
	n.mu.Lock()
	exited, cmd := n.exited, n.cmd
	n.mu.Unlock()
	record := stopRecord{node: n.name, signalled: from}
	select {
	case <-exited:
	case <-time.After(time.Until(from.Add(killAfter + n.fleet.observed.tolerance()))):
		record.killed = true
		n.mu.Lock()
		n.killedAt = time.Now()
		n.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
	}
	record.took, record.exitCode = time.Since(from), cmd.ProcessState.ExitCode()
	return record
}

// resources are a process's descriptors and resident memory.
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
