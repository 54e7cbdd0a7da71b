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

// tier names a tier of so many edge nodes and a known list of so many servers, which are
// all at the lenders' addresses. Nobody listens at the other edge nodes'.
func (s *service) tier(nodes, servers int) {
	peers := []string{strconv.Quote(s.listen)}
	for i := 1; i < nodes; i++ {
		peers = append(peers, fmt.Sprintf(`"127.77.%d.%d:7946"`, i>>8, i&255))
	}
	lines := append([]string(nil), *s.list.Load()...)
	for i := len(lines); i < servers; i++ {
		lines = append(lines, s.lenders[i%len(s.lenders)].line(i+1, 0))
	}
	s.nodes = nodes
	s.more = fmt.Sprintf(`"admin":"10.0.0.1:9901","peer_listen":%q,"peers":[%s],"known":{"rev":1,"all":true,"targets":[%s]},`,
		s.listen, strings.Join(peers, ","), strings.Join(lines, ","))
}

// descriptors is how many the program holds.
func (s *service) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(list)
}

// Of a program that nobody asks anything any more: what it opened for itself, with some
// idle connections to lending servers and discovery.
const (
	idleDescriptors = 24
	idleGoroutines  = 40
)

// left checks that a program which has been under load keeps nothing of it, and ends
// it.
func (s *service) left() {
	s.t.Helper()
	testkit.Eventually(s.t, "descriptors let go", func() bool { return s.descriptors() <= idleDescriptors })
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

// finish ends the load and the program, and checks what they leave behind.
func (c *clients) finish() {
	c.s.t.Helper()
	c.stop()
	c.s.onlyOnce()
	c.s.left()
}

// The largest fleet that is described, and one of ten times its size, start whatever
// discovery does, serve with the list they know, and take a new one once it comes.
func TestLargestStart(t *testing.T) {
	for _, size := range [][2]int{{300, 200}, {3000, 2000}} {
		for _, discovery := range []string{"silent", "refusing"} {
			t.Run(fmt.Sprintf("%d edge nodes, %d servers, discovery %s", size[0], size[1], discovery), func(t *testing.T) {
				s := newService(t)
				s.tier(size[0], size[1])
				s.write(`{"name":"dasar"}`)
				hold := make(chan struct{})
				if discovery == "silent" {
					s.silent.Store(&hold)
				} else {
					s.down.Store(true)
				}
				s.start()
				c := s.load(4)
				c.more(50)
				fresh := newLender(s)
				s.tellList([]string{fresh.line(1<<20, 0)})
				s.silent.Store(nil)
				s.down.Store(false)
				close(hold)
				testkit.Eventually(t, "work by discovery's list", func() bool { return fresh.ran.Load() > 0 })
				c.more(50)
				c.finish()
			})
		}
	}
}

// With nothing known an edge node is not ready, however long discovery is silent, and
// is as soon as it has answered.
func TestReadyOnceDiscoveryAnswers(t *testing.T) {
	s := newService(t)
	s.more = `"known":{"rev":0,"all":true,"targets":[]},`
	s.write(`{"name":"dasar"}`)
	hold := make(chan struct{})
	s.silent.Store(&hold)
	s.begin()
	s.says("discovery does not answer")
	if code := s.health(); code != 503 {
		t.Errorf("%d with nothing known", code)
	}
	s.silent.Store(nil)
	close(hold)
	testkit.Eventually(t, "ready", func() bool { return s.health() == 200 })
	c := s.load(2)
	c.more(10)
	c.stop()
	s.left()
}

// A configuration beyond what an edge node can number ends it with one plain line.
func TestTooLargeStart(t *testing.T) {
	s := newService(t)
	s.nodes = 1 << 20
	s.write(`{"name":"dasar"}`)
	s.begin()
	err := s.cmd.Wait()
	log := strings.TrimSpace(s.log.String())
	if err == nil || s.cmd.ProcessState.ExitCode() != exitConfig || strings.Contains(log, "\n") || !strings.Contains(log, "settings.balancers: ") {
		t.Errorf("%v:\n%s", err, log)
	}
}

// With fewer descriptors than its configuration says, and more clients than fit, an edge
// node goes on serving, and serves all as before once they are fewer.
func TestDescriptorsAtTheirLimit(t *testing.T) {
	s := newService(t)
	s.most = 32
	s.write(`{"name":"dasar"}`)
	s.start()
	var silent []net.Conn
	for range 2 * s.most {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	c := s.loadOf(&clients{deadline: 2000, lossy: true, crowded: true}, 2*s.most)
	c.more(200)
	c.stop()
	s.says("fewer descriptors than the configuration says")
	for _, c := range silent {
		c.Close()
	}
	c = s.load(2)
	c.more(50)
	c.finish()
}

// getsOn checks that the event loop turns: that so many looks for clients that have gone
// come, however long that takes here.
func (s *service) getsOn(looks int64) {
	s.t.Helper()
	now := func() int64 {
		_, st, _ := s.tryToOperate("GET", "/status") // 0 where no descriptor was left for it
		return st.Loop.Looks
	}
	var first int64
	testkit.Eventually(s.t, "a status", func() bool { first = now(); return first > 0 })
	testkit.Eventually(s.t, "the loop getting on", func() bool { return now() >= first+looks })
}

// What an edge node goes through on the worst days, in one life and then in many: under
// load, with descriptors at their limit, a zone falls silent with its connections open, is
// reset in one instant and comes back cold under new ids; the process is killed and started
// again at once, fifty times, discovery refusing and a tier of 300 known; signals come at
// any moment of a start. No request is left without its answer or sent on twice, each start
// serves, the loop gets on, and nothing is left over.
func TestLiveness(t *testing.T) {
	const (
		each   = 4 // servers of the zone
		kills  = 50
		starts = 30
	)
	s := newService(t)
	var lost []*lender
	stay := *s.list.Load()
	lines := stay
	for i := range each {
		l := newLender(s)
		lost = append(lost, l)
		lines = append(lines, l.line(100+i, 0))
	}
	s.tellList(lines)
	s.most = 48
	s.write(`{"name":"dasar"}`)
	s.start()
	c := s.loadOf(&clients{deadline: 2000, lossy: true, crowded: true}, s.most)
	for _, l := range lost {
		testkit.Eventually(t, "work for the zone", func() bool { return l.ran.Load() > 0 })
	}
	for _, l := range lost {
		l.darken()
	}
	c.more(50)
	for _, l := range lost {
		l.reset()
	}
	c.more(50)
	s.tellList(stay)
	c.more(50)
	lines = stay
	boot := time.Now().UnixMilli()
	var before []int64
	for i, l := range lost {
		l.light()
		before = append(before, l.ran.Load())
		lines = append(lines, l.line(200+i, boot))
	}
	s.tellList(lines)
	for i, l := range lost {
		testkit.Eventually(t, "work for the zone that is back", func() bool { return l.ran.Load() > before[i] })
	}
	s.getsOn(20)
	c.stop()
	c = s.load(2)
	c.more(20)
	c.finish()

	s.most = 0
	s.tier(300, 200)
	s.down.Store(true)
	s.write(`{"name":"dasar"}`)
	s.start()
	c = s.loadOf(&clients{deadline: 2000, lossy: true}, 4)
	for range kills {
		c.kill()
	}
	c.more(10)
	s.getsOn(20)
	c.finish()

	for seed := range uint64(starts) {
		rng := rand.New(rand.NewPCG(seed, 1))
		moment := func() { time.Sleep(time.Duration(rng.IntN(15_000)) * time.Microsecond) } // anywhere in a start
		s.begin()
		moment()
		s.write(fmt.Sprintf(`{"name":"dasar"},{"name":"p%d"}`, seed))
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			_ = s.cmd.Process.Signal(sig) // a process that the one before ended has no log
			moment()
		}
		_ = s.cmd.Wait()
		status := s.cmd.ProcessState.Sys().(syscall.WaitStatus)
		// Before its first instruction a process can't have caught a signal yet.
		if early := status.Signaled() && status.Signal() != syscall.SIGKILL && s.log.String() == ""; !early && status.ExitStatus() != 0 {
			t.Errorf("seed %d: %v\n%s", seed, s.cmd.ProcessState, s.log)
		}
	}
}

// An address that the process before still holds is waited for, and a planned stop that
// comes meanwhile is one.
func TestAddressStillTaken(t *testing.T) {
	for _, term := range []bool{false, true} {
		s := newService(t)
		s.write(`{"name":"dasar"}`)
		ln, err := net.Listen("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		s.begin()
		s.says("can't be had yet")
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
		c := s.load(2)
		c.more(10)
		c.finish()
	}
}

// A log that nobody takes, and then nobody can take any more, holds up nothing.
func TestLogNobodyTakes(t *testing.T) {
	s := newService(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	const least = 4096 // bytes that a pipe holds at the least
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), syscall.F_SETPIPE_SZ, least); errno != 0 {
		t.Fatal(errno)
	}
	s.out = w
	s.write(`{"name":"dasar"}`)
	s.start()
	w.Close()
	c := s.load(2)
	generation := 1
	reload := func(times int) {
		for range times {
			generation++
			s.write(fmt.Sprintf(`{"name":"dasar"},{"name":"p%d"}`, generation))
			s.signal(syscall.SIGHUP)
			testkit.Eventually(t, "the new generation", func() bool { return s.generation() == generation })
		}
		c.more(10)
	}
	reload(40) // a line of over 150 bytes each
	r.Close()
	reload(5)
	c.stop()
	s.signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A new file and a planned stop are taken before an edge node is ready, too: nothing is
// known and discovery says nothing.
func TestSignalsBeforeReady(t *testing.T) {
	s := newService(t)
	s.write(`{"name":"dasar"}`)
	hold := make(chan struct{})
	defer close(hold)
	s.silent.Store(&hold)
	s.begin()
	testkit.Eventually(t, "the door", func() bool { return s.health() == 503 })
	s.write(`{"name":"dasar"},{"name":"madya"}`)
	s.signal(syscall.SIGHUP)
	testkit.Eventually(t, "the new generation", func() bool { return s.generation() == 2 })
	if code := s.health(); code != 503 {
		t.Errorf("%d after a new file, with no list", code)
	}
	s.signal(syscall.SIGTERM)
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("%v\n%s", err, s.log)
	}
}
