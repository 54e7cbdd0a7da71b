package node

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

var (
	scheduleCount     = flag.Int("crossings", 2, "random schedules to play")
	firstScheduleSeed = flag.Uint64("crossings-seed", 1, "seed of the first")
)

const (
	maxSendAfterDisconnect = 300 * time.Millisecond // later first attempts are violations
	testDrainGrace         = 400 * time.Millisecond
	testKeyWindow          = 400 * time.Millisecond
)

const randomScheduleSettings = `{"me":0,"balancers":1,"zone":"a","zones":["a"],"tick_ms":1,"discovery":"push",
 "caps":{"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_ms":500.0,"dial_timeout_ms":1500.0,"conn_idle_ms":%d},
 "family_info":{"largest":6,"mail_per_s":60},"rules":{"drain_grace_ms":400},
 "classes":[{"name":"lookup","aim_ms":400.0,"hard_limit_ms":2000.0,"semantics":"repeatable","group":"all"},
  {"name":"loan","aim_ms":800,"hard_limit_ms":2000,"semantics":"by_key","group":"all","window_ms":400},
  {"name":"renew","aim_ms":800,"hard_limit_ms":2000,"semantics":"once","group":"all"}],
 "plans":[{"name":"town"}]}`

// recorder records what clients, servers and discovery observe during one schedule, with the times that they
// measure.
type recorder struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	drains   map[string][]drainPeriod
	lag      time.Duration // delay caused by the machine, not the edge node; added to all limits
}

type drainPeriod struct{ from, to time.Time }

type requestRecord struct {
	class               string
	sentAt              time.Time // when the last byte was sent
	disconnectedAt      time.Time // when the client closed its connection; zero: it did not
	responses           int
	wrongBody           bool // status 200 without the whole body that belongs to the request
	unanswered          bool // closed without a response, on a new or reused connection
	unansweredOnNewConn bool // closed without a response on a new connection, outside a shutdown
	attempts            []arrival
}

type arrival struct {
	server     string
	at         time.Time
	mayHaveRun bool // the server did not reject the attempt as not run
}

func newRecorder() *recorder {
	return &recorder{requests: map[string]*requestRecord{}, drains: map[string][]drainPeriod{}}
}

// violations returns all violations of the rules for a schedule.
func (b *recorder) violations() (list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.requests {
		report := func(format string, args ...any) {
			list = append(list, id+" "+s.class+": "+fmt.Sprintf(format, args...))
		}
		mayHaveRun := []arrival{}
		for i, c := range s.attempts {
			if i == 0 && !s.disconnectedAt.IsZero() &&
				c.at.Sub(s.disconnectedAt) > maxSendAfterDisconnect+b.lag {
				report("sent %v after its client disconnected", c.at.Sub(s.disconnectedAt))
			}
			for _, d := range b.drains[c.server] {
				if c.at.Sub(d.from) > testDrainGrace+b.lag && (d.to.IsZero() || c.at.Before(d.to)) {
					report("sent %v after its server began to drain", c.at.Sub(d.from))
				}
			}
			if len(mayHaveRun) > 0 && s.class == "renew" {
				report("an unsafe request was retried")
			}
			if len(mayHaveRun) > 0 && s.class == "loan" && c.at.Sub(mayHaveRun[0].at) > testKeyWindow+b.lag {
				report("a retry %v after the first attempt", c.at.Sub(mayHaveRun[0].at))
			}
			if c.mayHaveRun {
				mayHaveRun = append(mayHaveRun, c)
			}
		}
		switch {
		case len(s.attempts) > 3:
			report("%d attempts", len(s.attempts))
		case s.responses > 1:
			report("%d responses", s.responses)
		case s.wrongBody:
			report("the response to another request")
		case s.unansweredOnNewConn:
			report("closed without a response")
		case s.unanswered && len(s.attempts) > 0:
			report("processed though its connection was closed")
		}
	}
	return list
}

// The recorder detects each kind of violation in a schedule with that one alone, and none in a valid
// schedule.
func TestRecorderFindsViolations(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	for want, s := range map[string]requestRecord{
		"after its client disconnected": {class: "lookup", disconnectedAt: at,
			attempts: []arrival{{server: "s", at: after(301 * time.Millisecond)}}},
		"began to drain": {class: "lookup",
			attempts: []arrival{{server: "drains", at: after(401 * time.Millisecond)}}},
		"unsafe request": {class: "renew",
			attempts: []arrival{{server: "s", at: at, mayHaveRun: true},
				{server: "s", at: after(time.Millisecond)}}},
		"a retry": {class: "loan",
			attempts: []arrival{{server: "s", at: at, mayHaveRun: true},
				{server: "s", at: after(401 * time.Millisecond)}}},
		"4 attempts":                      {class: "lookup", attempts: make([]arrival, 4)},
		"2 responses":                     {class: "lookup", responses: 2},
		"the response to another request": {class: "lookup", responses: 1, wrongBody: true},
		"closed without a response":       {class: "lookup", unansweredOnNewConn: true},
		"its connection was closed":       {class: "lookup", unanswered: true, attempts: make([]arrival, 1)},
	} {
		b := newRecorder()
		b.drains["drains"] = []drainPeriod{{from: at}}
		b.requests["r"] = &s
		if got := b.violations(); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("%q: %v", want, got)
		}
	}
	b := newRecorder()
	b.drains["s"] = []drainPeriod{{at, after(time.Second)}}
	b.requests["r"] = &requestRecord{class: "renew", disconnectedAt: at, responses: 1,
		attempts: []arrival{{server: "s", at: after(testDrainGrace)},
			{server: "s", at: after(2 * time.Second)}}}
	b.requests["r"].disconnectedAt = time.Time{}
	if got := b.violations(); len(got) != 0 {
		t.Errorf("violations in a valid schedule: %v", got)
	}
}

// TestRandomCrossings runs the whole edge node through random schedules. Clients disconnect, pipeline data,
// send partial requests or idle. Servers respond, truncate responses, stall, reset connections, reject
// requests, drain and restart. Dials are slow, the configuration is reloaded, and the edge node shuts down.
func TestRandomCrossings(t *testing.T) {
	for i := range *scheduleCount {
		seed := *firstScheduleSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomSchedule(t, seed) })
	}
}

func runRandomSchedule(t *testing.T, seed uint64) {
	b := newRecorder()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	randomInt := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
	randomDuration := func(limit time.Duration) time.Duration { return time.Duration(randomInt(int(limit))) }

	// Measures the scheduling delay of the machine.
	quit := make(chan struct{})
	var lagMeter sync.WaitGroup
	defer func() { close(quit); lagMeter.Wait() }()
	lagMeter.Go(func() {
		const step = 5 * time.Millisecond
		for {
			from := time.Now()
			select {
			case <-quit:
				return
			case <-time.After(step):
			}
			b.mu.Lock()
			b.lag = max(b.lag, 4*(time.Since(from)-step))
			b.mu.Unlock()
		}
	})

	list := []target{}
	for i := range 4 {
		uid := fmt.Sprintf("s-%08x", i+1)
		a := newTestServer(t, func(c net.Conn, r *http.Request, _ string) bool {
			return b.serve(uid, c, r, randomInt, randomDuration)
		})
		list = append(list, servingTarget(uid, a.addr()))
	}
	g := newDiscoveryServer(t, list...)
	cfg := fileConfig(t, g.addr, "", fmt.Sprintf(randomScheduleSettings, 15000))
	descriptors, goroutines := openFiles(t), runtime.NumGoroutine()
	n := startNode(t, cfg)
	n.upstream.mu.Lock()
	n.upstream.dialer.Control = func(string, string, syscall.RawConn) error {
		if randomInt(2) == 0 {
			time.Sleep(randomDuration(time.Second))
		}
		return nil
	}
	n.upstream.mu.Unlock()

	var clients, events sync.WaitGroup
	for k := range 8 {
		clients.Go(func() { b.runClient(t, n, fmt.Sprint(seed, "-", k), randomInt, randomDuration) })
	}
	ctx, stop := context.WithCancel(t.Context())
	defer events.Wait()
	defer stop()
	events.Go(func() {
		for iteration := 0; ; iteration++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(50*time.Millisecond + randomDuration(200*time.Millisecond)):
			}
			i := randomInt(len(list))
			switch randomInt(8) {
			case 0, 1, 2:
				b.recordDrain(list[i].UID,
					func() { list[i].State = "DRAINING"; g.set(false, slices.Clone(list)...) })
			case 3, 4, 5:
				b.recordReturn(list[i].UID,
					func() { list[i].State = "SERVING"; g.set(false, slices.Clone(list)...) })
			case 6:
				b.recordReturn(list[i].UID,
					func() { list[i].State = "SERVING"; list[i].BootMS++; g.set(false, slices.Clone(list)...) })
			case 7:
				writeConfig(t, cfg.Path(), g.addr, "", fmt.Sprintf(randomScheduleSettings, 10000+iteration))
				select {
				case n.hup <- syscall.SIGHUP:
				default:
				}
			}
		}
	})
	time.Sleep(1500 * time.Millisecond)
	n.requestShutdown()
	if randomInt(2) == 0 {
		time.Sleep(randomDuration(700 * time.Millisecond))
		n.requestShutdown()
	}
	select {
	case err := <-n.done:
		if err != nil {
			t.Errorf("shutdown: %v", err)
		}
	case <-time.After(3 * clientTimeout):
		t.Fatal("the shutdown did not complete")
	}
	clients.Wait()
	stop()
	events.Wait()
	<-n.loop.done
	if len(n.loop.calls)+len(n.loop.requestIDs.claimed) != 0 {
		t.Errorf("%d requests left open, %d ids", len(n.loop.calls), len(n.loop.requestIDs.claimed))
	}
	n.upstream.update(&serverList{}, true) // closes idle connections
	if n.upstream.open != 0 {
		t.Errorf("%d connections to servers counted as open, want 0", n.upstream.open)
	}
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no goroutine and no descriptor left", func() bool {
		// one goroutine measures the lag
		return runtime.NumGoroutine() <= goroutines+1 && openFiles(t) <= descriptors
	})
	for _, s := range b.violations() {
		t.Error(s)
	}
	served, disconnected := 0, 0
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.requests {
		if s.responses > 0 {
			served++
		}
		if !s.disconnectedAt.IsZero() {
			disconnected++
		}
	}
	t.Logf("seed %d: %d requests, %d answered, %d clients disconnected, lag %v, %+v", seed, len(b.requests),
		served, disconnected, b.lag, n.Status().Disconnects)
	if served < 20 || disconnected < 5 {
		t.Error("too few responses or disconnects to be meaningful")
	}
}

func openFiles(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// recordDrain announces a drain through discovery and records it as announced from then on.
func (b *recorder) recordDrain(uid string, announce func()) {
	announce()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.drains[uid]; len(d) == 0 || !d[len(d)-1].to.IsZero() {
		b.drains[uid] = append(d, drainPeriod{from: time.Now()})
	}
}

func (b *recorder) recordReturn(uid string, announce func()) {
	b.mu.Lock()
	if d := b.drains[uid]; len(d) > 0 && d[len(d)-1].to.IsZero() {
		d[len(d)-1].to = time.Now()
	}
	b.mu.Unlock()
	announce()
}

// serve handles a request as a server with random behavior.
func (b *recorder) serve(uid string, c net.Conn, r *http.Request, randomInt func(int) int,
	randomDuration func(time.Duration) time.Duration) bool {
	id, behavior := r.Header.Get("X-Request-Id"), randomInt(20)
	b.mu.Lock()
	s := b.requests[id]
	s.attempts = append(s.attempts, arrival{server: uid, at: time.Now(), mayHaveRun: behavior != 0})
	b.mu.Unlock()
	write := func(head, body string) { fmt.Fprintf(c, "HTTP/1.1 %s\r\n\r\n%s", head, body) }
	completeHead := fmt.Sprintf("200 OK\r\nContent-Length: %d", len(id))
	reset := func() bool { _ = c.(*net.TCPConn).SetLinger(0); return false }
	switch behavior {
	case 0:
		write("503 No\r\nX-Not-Run: 1\r\nContent-Length: 0", "")
	case 1:
		write("500 No\r\nContent-Length: 0", "")
	case 2:
		return reset()
	case 3:
		write(completeHead, id[:3])
		return reset()
	case 4:
		write(completeHead, id[:3]) // the rest of the body is never sent
		time.Sleep(randomDuration(600 * time.Millisecond))
	case 5:
		write("200 OK\r\nConnection: close", id)
		return false
	case 6:
		write("200 OK\r\nConnection: close", id[:3])
		return reset()
	case 7:
		write(completeHead, id)
		write(completeHead, "copy")
	case 8:
		write(completeHead, id)
		return false // closes a connection that the edge node considers idle
	case 9:
		time.Sleep(randomDuration(time.Second))
		write(completeHead, id)
	case 10:
		write("HTTP/1.1 2", "") // an invalid response
	default:
		time.Sleep(randomDuration(100 * time.Millisecond))
		write(completeHead, id)
	}
	return true
}

// runClient sends requests one after another until the listener is closed.
func (b *recorder) runClient(t *testing.T, n *testNode, name string, randomInt func(int) int,
	randomDuration func(time.Duration) time.Duration) {
	var c net.Conn
	var br *bufio.Reader
	newConn := false
	closeConn := func() {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	defer closeConn()
	for i := 0; ; i++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", n.Addr().String()); err != nil {
				return // the listener is closed
			}
			br, newConn = bufio.NewReader(c), true
			_ = c.SetDeadline(time.Now().Add(2 * clientTimeout))
		}
		class := []string{"lookup", "lookup", "loan", "renew"}[randomInt(4)]
		r := newRequest(n.url, class, 2*time.Second)
		if class == "renew" {
			r = newRequest(n.url, "loan", 2*time.Second)
			r.URL.Path = "/renew"
			r.Header.Set("X-Class", "renew")
			r.Header.Del("Idempotency-Key")
		}
		s := &requestRecord{class: class}
		id := fmt.Sprint(name, "-", i)
		r.Header.Set("X-Request-Id", id)
		b.mu.Lock()
		b.requests[id] = s
		b.mu.Unlock()
		disconnect := func() {
			if randomInt(3) == 0 { // pipelined bytes hide the end of the connection
				_, _ = io.WriteString(c, strings.Repeat("GET /lookup HTTP/1.1\r\n", 1+randomInt(20)))
			}
			closeConn()
			b.mu.Lock()
			s.disconnectedAt = time.Now()
			b.mu.Unlock()
		}
		if randomInt(12) == 0 {
			_, _ = io.WriteString(c, "POST /loan HTTP/1.1\r\nHost: a\r\nConte") // a partial request
			disconnect()
			continue
		}
		err := r.Write(c)
		b.mu.Lock()
		s.sentAt = time.Now()
		b.mu.Unlock()
		if err == nil && randomInt(4) == 0 {
			time.Sleep(randomDuration(150 * time.Millisecond))
			disconnect()
			continue
		}
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(br, r)
		}
		if err != nil {
			b.mu.Lock()
			s.unanswered, s.unansweredOnNewConn = true, newConn && !n.server.draining.Load()
			b.mu.Unlock()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: no response", id)
			}
			closeConn()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		b.mu.Lock()
		s.responses++
		s.wrongBody = resp.StatusCode == 200 && (err != nil || string(body) != id)
		b.mu.Unlock()
		if newConn = false; resp.Close {
			if extra, _ := io.ReadAll(br); len(extra) > 0 {
				b.mu.Lock()
				s.responses++
				b.mu.Unlock()
			}
			closeConn()
		} else if randomInt(5) == 0 {
			// idle; the edge node may close the connection meanwhile
			time.Sleep(randomDuration(400 * time.Millisecond))
		}
	}
}
