package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// setFleet configures a fleet of that many edge nodes and a known list of that many servers.
// All listed servers share the addresses of the test servers; the other edge nodes don't exist.
func (s *deployment) setFleet(nodes, servers int) {
	peers := []string{strconv.Quote(s.listen)}
	for i := 1; i < nodes; i++ {
		peers = append(peers, fmt.Sprintf(`"127.77.%d.%d:7946"`, i>>8, i&255))
	}
	lines := append([]string(nil), *s.serverLines.Load()...)
	for i := len(lines); i < servers; i++ {
		lines = append(lines, s.servers[i%len(s.servers)].line(i+1, 0))
	}
	s.nodes = nodes
	s.extraFields = fmt.Sprintf(`"admin":"10.0.0.1:9901","peer_listen":%q,"peers":[%s],"known":{"rev":1,"all":true,"targets":[%s]},`,
		s.listen, strings.Join(peers, ","), strings.Join(lines, ","))
}

// descriptors returns the number of descriptors that the program holds.
func (s *deployment) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(list)
}

// Limits for a program without load: its own descriptors and goroutines, and those of some idle
// connections to servers and discovery.
const (
	idleDescriptors = 24
	idleGoroutines  = 40
)

// checkReleased checks that the program has released all resources of the load, and ends the
// program.
func (s *deployment) checkReleased() {
	s.t.Helper()
	testkit.Eventually(s.t, "the descriptors being closed", func() bool {
		return s.descriptors() <= idleDescriptors
	})
	s.signal(syscall.SIGQUIT) // the runtime writes all stacks and ends
	_ = s.cmd.Wait()
	log := s.log.String()
	if n := strings.Count(log, "\ngoroutine "); n == 0 || n > idleGoroutines {
		s.t.Errorf("%d goroutines left:\n%s", n, log)
	}
	for _, bad := range []string{"panic:", "fatal error:"} {
		if strings.Contains(log, bad) {
			s.t.Errorf("%s in the log:\n%s", bad, log)
		}
	}
}

// finish ends the load and the program, and checks that no resources are left over.
func (c *clients) finish() {
	c.s.t.Helper()
	c.stop()
	c.s.checkSentOnce()
	c.s.checkReleased()
}

// Edge nodes of the largest described fleet and of one ten times as large start while discovery
// is silent or refuses calls, serve with the known list, and use a new list once it comes.
func TestLargestStart(t *testing.T) {
	for _, size := range [][2]int{{300, 200}, {3000, 2000}} {
		for _, discovery := range []string{"silent", "refusing"} {
			t.Run(fmt.Sprintf("%d edge nodes, %d servers, discovery %s", size[0], size[1], discovery), func(t *testing.T) {
				s := newDeployment(t)
				s.setFleet(size[0], size[1])
				s.write(`{"name":"dasar"}`)
				hold := make(chan struct{})
				if discovery == "silent" {
					s.discoveryHold.Store(&hold)
				} else {
					s.discoveryDown.Store(true)
				}
				s.start()
				c := s.startClients(4)
				c.awaitServed(50)
				fresh := newTestServer(s)
				s.setServers([]string{fresh.line(1<<20, 0)})
				s.discoveryHold.Store(nil)
				s.discoveryDown.Store(false)
				close(hold)
				testkit.Eventually(t, "requests to a server of discovery's list", func() bool {
					return fresh.requests.Load() > 0
				})
				c.awaitServed(50)
				c.finish()
			})
		}
	}
}

// An edge node that knows no server is not ready while discovery is silent, and becomes ready
// once discovery answers.
func TestReadyOnceDiscoveryAnswers(t *testing.T) {
	s := newDeployment(t)
	s.extraFields = `"known":{"rev":0,"all":true,"targets":[]},`
	s.write(`{"name":"dasar"}`)
	hold := make(chan struct{})
	s.discoveryHold.Store(&hold)
	s.launch()
	s.awaitLog("discovery does not answer")
	if code := s.health(); code != 503 {
		t.Errorf("%d with nothing known", code)
	}
	s.discoveryHold.Store(nil)
	close(hold)
	testkit.Eventually(t, "ready", func() bool { return s.health() == 200 })
	c := s.startClients(2)
	c.awaitServed(10)
	c.stop()
	s.checkReleased()
}

// A configuration with too many edge nodes ends the program with a one-line error.
func TestTooLargeStart(t *testing.T) {
	s := newDeployment(t)
	s.nodes = 1 << 20
	s.write(`{"name":"dasar"}`)
	s.launch()
	err := s.cmd.Wait()
	log := strings.TrimSpace(s.log.String())
	if err == nil || s.cmd.ProcessState.ExitCode() != exitConfig || strings.Contains(log, "\n") || !strings.Contains(log, "settings.balancers: ") {
		t.Errorf("%v:\n%s", err, log)
	}
}

// With fewer descriptors than configured and more clients than fit, an edge node continues to
// serve, and it serves all clients again once there are fewer.
func TestDescriptorsAtTheirLimit(t *testing.T) {
	s := newDeployment(t)
	s.maxDescriptors = 32
	s.write(`{"name":"dasar"}`)
	s.start()
	var silent []net.Conn
	for range 2 * s.maxDescriptors {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	c := s.startClientsLike(&clients{deadline: 2000, serversFail: true, descriptorsShort: true},
		2*s.maxDescriptors)
	c.awaitServed(200)
	c.stop()
	s.awaitLog("fewer descriptors than the configuration says")
	for _, c := range silent {
		c.Close()
	}
	c = s.startClients(2)
	c.awaitServed(50)
	c.finish()
}

// checkLoopRuns checks that the event loop makes progress: it waits until the loop has made that
// many more checks for disconnected clients.
func (s *deployment) checkLoopRuns(looks int64) {
	s.t.Helper()
	checks := func() int64 {
		_, st, _ := s.tryAdmin("GET", "/status") // 0 if no descriptor was left for the call
		return st.Loop.Looks
	}
	var first int64
	testkit.Eventually(s.t, "a status", func() bool { first = checks(); return first > 0 })
	testkit.Eventually(s.t, "more turns of the event loop", func() bool { return checks() >= first+looks })
}

// TestLiveness puts an edge node through a series of faults. Under load and at the descriptor
// limit, a zone falls silent with its connections open, resets them all at once and returns cold
// under new ids. The process is killed fifty times, and restarted at once each time, while
// discovery refuses calls and a fleet of 300 is configured. Signals arrive at any moment of a
// start. Every request is answered, none with oncePrefix reaches servers twice, each start serves,
// the event loop makes progress, and no resources are left over.
func TestLiveness(t *testing.T) {
	const (
		zoneServers = 4
		kills       = 50
		starts      = 30
	)
	s := newDeployment(t)
	var zone []*testServer
	otherLines := *s.serverLines.Load()
	lines := otherLines
	for i := range zoneServers {
		l := newTestServer(s)
		zone = append(zone, l)
		lines = append(lines, l.line(100+i, 0))
	}
	s.setServers(lines)
	s.maxDescriptors = 48
	s.write(`{"name":"dasar"}`)
	s.start()
	c := s.startClientsLike(&clients{deadline: 2000, serversFail: true, descriptorsShort: true},
		s.maxDescriptors)
	for _, l := range zone {
		testkit.Eventually(t, "requests to the zone", func() bool { return l.requests.Load() > 0 })
	}
	for _, l := range zone {
		l.block()
	}
	c.awaitServed(50)
	for _, l := range zone {
		l.reset()
	}
	c.awaitServed(50)
	s.setServers(otherLines)
	c.awaitServed(50)
	lines = otherLines
	boot := time.Now().UnixMilli()
	var before []int64
	for i, l := range zone {
		l.unblock()
		before = append(before, l.requests.Load())
		lines = append(lines, l.line(200+i, boot))
	}
	s.setServers(lines)
	for i, l := range zone {
		testkit.Eventually(t, "requests to the zone after its return", func() bool {
			return l.requests.Load() > before[i]
		})
	}
	s.checkLoopRuns(20)
	c.stop()
	c = s.startClients(2)
	c.awaitServed(20)
	c.finish()

	s.maxDescriptors = 0
	s.setFleet(300, 200)
	s.discoveryDown.Store(true)
	s.write(`{"name":"dasar"}`)
	s.start()
	c = s.startClientsLike(&clients{deadline: 2000, serversFail: true}, 4)
	for range kills {
		c.kill()
	}
	c.awaitServed(10)
	s.checkLoopRuns(20)
	c.finish()

	for seed := range uint64(starts) {
		rng := rand.New(rand.NewPCG(seed, 1))
		// hits any moment of a start
		randomPause := func() { time.Sleep(time.Duration(rng.IntN(15_000)) * time.Microsecond) }
		s.launch()
		randomPause()
		s.write(fmt.Sprintf(`{"name":"dasar"},{"name":"p%d"}`, seed))
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			_ = s.cmd.Process.Signal(sig) // the process may already have exited
			randomPause()
		}
		_ = s.cmd.Wait()
		status := s.cmd.ProcessState.Sys().(syscall.WaitStatus)
		// A signal that arrives before the program has installed its handlers ends the process.
		if beforeHandlers := status.Signaled() && status.Signal() != syscall.SIGKILL &&
			s.log.String() == ""; !beforeHandlers && status.ExitStatus() != 0 {
			t.Errorf("seed %d: %v\n%s", seed, s.cmd.ProcessState, s.log)
		}
	}
}

// The program waits for an address that the previous process still holds, and a SIGTERM during
// the wait leads to an orderly shutdown.
func TestAddressStillTaken(t *testing.T) {
	for _, term := range []bool{false, true} {
		s := newDeployment(t)
		s.write(`{"name":"dasar"}`)
		ln, err := net.Listen("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		s.launch()
		s.awaitLog("can't be had yet")
		if term {
			s.signal(syscall.SIGTERM)
		}
		ln.Close()
		if term {
			if err := s.cmd.Wait(); err != nil {
				t.Errorf("%v\n%s", err, s.log)
			}
			continue
		}
		testkit.Eventually(t, "ready", func() bool { return s.health() == 200 })
		c := s.startClients(2)
		c.awaitServed(10)
		c.finish()
	}
}

// A log whose reader stalls, and then closes, delays nothing.
func TestLogReaderStalls(t *testing.T) {
	s := newDeployment(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const minPipeBytes = 4096 // the smallest size of a pipe
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), syscall.F_SETPIPE_SZ,
		minPipeBytes); errno != 0 {
		t.Fatal(errno)
	}
	s.logFile = w
	s.write(`{"name":"dasar"}`)
	s.start()
	w.Close()
	c := s.startClients(2)
	generation := 1
	reload := func(times int) {
		for range times {
			generation++
			s.write(fmt.Sprintf(`{"name":"dasar"},{"name":"p%d"}`, generation))
			s.signal(syscall.SIGHUP)
			testkit.Eventually(t, "the new generation", func() bool { return s.generation() == generation })
		}
		c.awaitServed(10)
	}
	reload(40) // fills the pipe: each reload logs a line of over 150 bytes
	r.Close()
	reload(5)
	c.stop()
	s.signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// Reloads and shutdowns work before an edge node is ready: it knows no server, and discovery
// is silent.
func TestSignalsBeforeReady(t *testing.T) {
	s := newDeployment(t)
	s.write(`{"name":"dasar"}`)
	hold := make(chan struct{})
	defer close(hold)
	s.discoveryHold.Store(&hold)
	s.launch()
	testkit.Eventually(t, "the listener", func() bool { return s.health() == 503 })
	s.write(`{"name":"dasar"},{"name":"madya"}`)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the new generation", func() bool { return s.generation() == 2 })
	if code := s.health(); code != 503 {
		t.Errorf("status %d after a reload without a list", code)
	}
	s.signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("%v\n%s", err, s.log)
	}
}
