package node

import (
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// newTestUpstream returns an upstream whose directory lists one server, with id 1.
func newTestUpstream(addr string) *upstream {
	u := newUpstream(clock{time.Now()}, roster.NewDirectory(), []string{"cpu", "rps"})
	u.dialer, u.idleTimeout, u.maxOpen, u.drainGrace, u.reuseDelay = net.Dialer{Timeout: clientTimeout},
		time.Minute, 10, 250*time.Millisecond, 0
	u.update(&serverList{Targets: []target{servingTarget("s-00000001", addr)}}, true)
	return u
}

func (u *upstream) newAttempt(deadline time.Duration) (*attempt, func() (result, string)) {
	now := u.clock.now()
	a := &attempt{id: 7, server: 1, startedAt: now, deadline: now + deadline, writeDeadline: now + deadline}
	return a, func() (result, string) {
		in := clientConn{input: stream{src: strings.NewReader("GET /lookup?q=1 HTTP/1.1\r\nHost: app.svc\r\n" +
			"X-Request-Id: 9b1f03aa5c7e2d41\r\n\r\n")}}
		if err := in.readRequest(); err != nil {
			panic(err)
		}
		r := u.do(a, &in.request)
		return r, string(r.body)
	}
}

// The outcome of an attempt decides whether the request may be retried or refused. An outcome that wrongly
// says that the request never ran would let it run twice.
func TestOutcomes(t *testing.T) {
	writeAndClose := func(text string) func(net.Conn, *http.Request, string) bool {
		return func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write([]byte(text))
			return false
		}
	}
	writeAndStayOpen := func(text string) func(net.Conn, *http.Request, string) bool {
		return func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write([]byte(text))
			return true
		}
	}
	writeAndReset := func(text string) func(net.Conn, *http.Request, string) bool {
		return func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write([]byte(text))
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
	}
	for name, c := range map[string]struct {
		handle   func(net.Conn, *http.Request, string) bool
		want     policy.Code
		reusable bool // the connection can be reused
	}{
		"served":              {respondWith("200 OK", "", "hits"), policy.OK, true},
		"served, then closed": {respondWith("200 OK", "Connection: close\r\n", "hits"), policy.OK, false},
		"served in chunks": {func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n0\r\n\r\n"))
			return true
		}, policy.OK, true},
		"error":        {respondWith("500 No", "", ""), policy.Error, true},
		"not run: 503": {respondWith("503 No", "X-Not-Run: 1\r\n", ""), policy.Full, true},
		"not run: 504": {respondWith("504 No", "X-Not-Run: 1\r\n", ""), policy.Full, true},
		"not run, reset": {writeAndReset("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nConnection: close\r\n\r\nno"),
			policy.Full, false},
		"503 may have run":  {respondWith("503 No", "", ""), policy.Error, true},
		"504 may have run":  {respondWith("504 No", "X-Not-Run: 0\r\n", ""), policy.Error, true},
		"another 2xx":       {respondWith("202 Later", "", ""), policy.Error, true},
		"closed":            {writeAndClose(""), policy.Reset, false},
		"closed in headers": {writeAndClose("HTTP/1.1 200 OK\r\nContent-Le"), policy.Reset, false},
		"closed in body": {writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhits"),
			policy.Reset, false},
		"closed in chunks": {writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n"),
			policy.Reset, false},
		"length unspecified": {writeAndClose("HTTP/1.1 200 OK\r\n\r\nhits"), policy.Reset, false},
		"body ends at close": {writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhits"), policy.OK,
			false},
		"reset, no length": {writeAndReset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhits"),
			policy.Reset, false},
		"oversized body": {writeAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
			strings.Repeat("h", maxBodyBytes+1)), policy.Reset, false},
		"stalled, no length": {writeAndStayOpen("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhits"),
			policy.Reset, false},
		"not HTTP": {writeAndClose("hello\r\n\r\n"), policy.Reset, false},
		// Invalid responses on connections that stay open: the attempt must fail before its deadline.
		"random bytes": {writeAndStayOpen("\x88\xdb\xce@>4"), policy.Reset, false},
		"invalid status": {writeAndStayOpen("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nhits"),
			policy.Reset, false},
		"swapped status": {writeAndStayOpen("HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nhits"),
			policy.Reset, false},
		"4-digit status": {writeAndStayOpen("HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nhits"),
			policy.Reset, false},
		"another protocol": {writeAndStayOpen("ICY 200 OK\r\nContent-Length: 4\r\n\r\nhits"), policy.Reset,
			false},
		"no colon": {writeAndStayOpen("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nhits"),
			policy.Reset, false},
		"oversized head": {writeAndStayOpen("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 4<<10)),
			policy.Reset, false},
		"two lengths": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhits"),
			policy.Reset, false},
		"negative length": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhits"),
			policy.Reset, false},
		"3 GB": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhits"),
			policy.Reset, false},
		"length and chunks": {writeAndStayOpen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nhits\r\n0\r\n\r\n"),
			policy.Reset, false},
		"bad chunk": {writeAndStayOpen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"),
			policy.Reset, false},
		"body too short": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhits"),
			policy.Reset, false},
		"partial head": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Le"), policy.Reset, false},
		"only interim": {writeAndStayOpen(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)),
			policy.Reset, false},
		"status 101": {writeAndStayOpen("HTTP/1.1 101 Switching\r\n\r\n"), policy.Reset, false},
		// Valid responses with additional bytes.
		"interim response": {writeAndStayOpen("HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits"),
			policy.OK, true},
		"duplicate follows": {writeAndStayOpen(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits", 2)),
			policy.OK, false},
		"random bytes follow": {writeAndStayOpen("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits\x88\xdb"),
			policy.OK, false},
		"invalid load report": {writeAndStayOpen("HTTP/1.1 200 OK\r\nX-Load: \xff=,NaN\r\nContent-Length: 4\r\n\r\nhits"),
			policy.OK, true},
		"bad request": {respondWith("400 No", "", ""), policy.NotSent, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestServer(t, c.handle)
			u := newTestUpstream(a.addr())
			_, do := u.newAttempt(time.Minute)
			r, body := do()
			if r.code != c.want || r.code == policy.OK && body != "hits" {
				t.Errorf("code %d, body %q, want code %d", r.code, body, c.want)
			}
			if reusable := len(u.idle[1]) == 1; reusable != c.reusable || u.open != len(u.idle[1]) {
				t.Errorf("connection reusable %v, want %v; %d counted as open", reusable, c.reusable, u.open)
			}
			if n := a.requests.Load(); n != 1 {
				t.Errorf("written %d times", n)
			}
		})
	}
}

// After a refused connection the request has certainly not run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	u := newTestUpstream(unusedAddr(t))
	_, do := u.newAttempt(clientTimeout)
	if r, _ := do(); r.code != policy.ConnectFailed || u.open != 0 {
		t.Errorf("code %d, %d open", r.code, u.open)
	}
}

// A request that was written but not answered may still be running. Its connection must be closed before
// the timeout is reported, or two attempts would be in flight.
func TestTimeoutClosesFirst(t *testing.T) {
	a := newTestServer(t, neverRespond)
	u := newTestUpstream(a.addr())
	_, do := u.newAttempt(50 * time.Millisecond)
	r, _ := do()
	if r.code != policy.TimedOut || u.open != 0 {
		t.Errorf("code %d, %d open", r.code, u.open)
	}
	testkit.Eventually(t, "the connection closed", func() bool { return a.closedByNode.Load() == 1 })
}

// The connection of a cancelled attempt must be closed before its end is reported, as after a timeout.
func TestCancelClosesFirst(t *testing.T) {
	a := newTestServer(t, neverRespond)
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(time.Hour)
	go func() {
		for a.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		at.cancel()
	}()
	r, _ := do()
	if r.code != policy.Cancelled || u.open != 0 {
		t.Errorf("code %d, %d open", r.code, u.open)
	}
	testkit.Eventually(t, "the connection closed", func() bool { return a.closedByNode.Load() == 1 })
}

// An attempt that is cancelled before the write has not run.
func TestCancelBeforeWriting(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", ""))
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(time.Hour)
	at.cancel()
	if r, _ := do(); !r.code.NeverRan() || a.requests.Load() != 0 {
		t.Errorf("code %d after %d requests", r.code, a.requests.Load())
	}
}

// Servers close idle connections. A request written on such a connection would end with a reset, after
// which a keyed request can't be retried elsewhere.
func TestNoticesCloseWhileIdle(t *testing.T) {
	var answers atomic.Int32
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		respondWith("200 OK", "", "hits")(c, r, b)
		return answers.Add(1) > 1
	})
	u := newTestUpstream(a.addr())
	_, do := u.newAttempt(clientTimeout)
	do()
	testkit.Eventually(t, "the idle connection closed by the server", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.idle[1]) == 1 && !alive(u.idle[1][0])
	})
	_, do = u.newAttempt(clientTimeout)
	if r, _ := do(); r.code != policy.OK || a.conns.Load() != 2 {
		t.Errorf("code %d, %d connections", r.code, a.conns.Load())
	}
}

// Connections are reused, most recently used first, and closed before the server's idle timeout.
func TestPoolReusesAndExpires(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	for range 3 {
		_, do := u.newAttempt(clientTimeout)
		do()
	}
	if a.conns.Load() != 1 {
		t.Errorf("%d connections for sequential requests", a.conns.Load())
	}
	u.idleTimeout = 0
	u.sweep()
	if u.open != 0 || len(u.idle[1]) != 0 {
		t.Errorf("%d open after the idle timeout", u.open)
	}
}

// A duplicate of a response may arrive when its connection is idle again. It must not be read as the
// response to the next request.
func TestLateDuplicateResponse(t *testing.T) {
	copied := make(chan struct{})
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		respondWith("200 OK", "", "hits")(c, r, b)
		<-copied
		return respondWith("200 OK", "", "copy")(c, r, b)
	})
	u := newTestUpstream(a.addr())
	u.reuseDelay = time.Hour
	for i := range 2 {
		_, do := u.newAttempt(clientTimeout)
		if r, body := do(); r.code != policy.OK || body != "hits" || int(a.conns.Load()) != i+1 {
			t.Errorf("code %d, %q, %d connections: an idle one was reused before the delay", r.code, body,
				a.conns.Load())
		}
	}
	close(copied)
	u.reuseDelay = 0
	testkit.Eventually(t, "the duplicates", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !alive(u.idle[1][0]) && !alive(u.idle[1][1])
	})
	_, do := u.newAttempt(clientTimeout)
	if _, body := do(); body != "hits" || a.conns.Load() != 3 {
		t.Errorf("%q, %d connections", body, a.conns.Load())
	}
}

// Servers may drop idle connections earlier than configured, and each request written on such a connection
// fails. The upstream learns the age at which that happens, and forgets it once it no longer happens.
func TestLearnsHowLongConnectionsLast(t *testing.T) {
	var x idleAgeStats
	for range 40 {
		x.record(20*time.Millisecond, time.Millisecond, policy.OK, true)
		x.record(150*time.Millisecond, time.Millisecond, policy.OK, true)
		// reset while the request was processed
		x.record(150*time.Millisecond, time.Second, policy.Reset, false)
		x.record(150*time.Millisecond, time.Millisecond, policy.Reset, true)
	}
	if got := x.maxIdleAge(time.Minute); got != time.Minute {
		t.Fatalf("%v though no connection was reset for its age", got)
	}
	for range 40 {
		x.record(150*time.Millisecond, time.Millisecond, policy.Reset, false)
	}
	if got := x.maxIdleAge(time.Minute); got != 128*time.Millisecond {
		t.Fatalf("%v, want 128ms: connections of 150ms are reset", got)
	}
	for range 300 {
		x.decay()
	}
	if got := x.maxIdleAge(time.Minute); got != time.Minute {
		t.Errorf("%v long after the last reset", got)
	}
}

// A connection above the learned maximum age is not reused, even if it appears to be alive.
func TestLearnedMaxAgeLimitsReuse(t *testing.T) {
	served := atomic.Int32{}
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		if served.Add(1)%2 == 0 { // the second request on a connection resets it
			return false
		}
		return respondWith("200 OK", "", "hits")(c, r, b)
	})
	u := newTestUpstream(a.addr())
	for range 1000 {
		_, do := u.newAttempt(clientTimeout)
		do()
		u.mu.Lock()
		for _, c := range u.idle[1] {
			c.lastUsed -= 200 * time.Millisecond // makes the connection that much older
		}
		learned := u.ages.maxIdleAge(u.idleTimeout) < u.idleTimeout
		u.mu.Unlock()
		if learned {
			break
		}
	}
	if u.ages.maxIdleAge(u.idleTimeout) > 200*time.Millisecond {
		t.Fatalf("learned a maximum age of %v though connections of 200ms are reset",
			u.ages.maxIdleAge(u.idleTimeout))
	}
	before := a.conns.Load()
	_, do := u.newAttempt(clientTimeout)
	do()
	if a.conns.Load() != before+1 {
		t.Error("an old connection was reused")
	}
}

// An idle connection stays usable after the deadline of the previous attempt. Otherwise most requests would
// need a new connection, which costs the server work.
func TestReusesAfterPreviousDeadline(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(time.Second)
	if r, _ := do(); r.code != policy.OK {
		t.Fatalf("code %d", r.code)
	}
	testkit.Eventually(t, "the deadline", func() bool { return u.clock.now() > at.deadline })
	u.sweep()
	_, do = u.newAttempt(clientTimeout)
	if r, _ := do(); r.code != policy.OK || a.conns.Load() != 1 {
		t.Errorf("code %d, %d connections", r.code, a.conns.Load())
	}
}

// The map of idle connections holds only servers that have some, so that sweeps don't iterate over the
// whole list.
func TestIdleHoldsOnlyServersWithConnections(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	large := &serverList{}
	for i := range 5000 {
		large.Targets = append(large.Targets, servingTarget(fmt.Sprintf("s-%08x", i+1), a.addr()))
	}
	u.update(large, true)
	_, do := u.newAttempt(clientTimeout)
	if do(); len(u.idle) != 1 || u.directory.Len() != 5000 {
		t.Errorf("%d servers in the idle map, of %d listed", len(u.idle), u.directory.Len())
	}
	if c, _, ok := u.acquire(1); !ok || c.Conn == nil {
		t.Error("the idle connection was not reused")
	}
	if u.sweep(); len(u.idle) != 0 {
		t.Errorf("%d servers without idle connections stay in the idle map", len(u.idle))
	}
}

// A draining server gets no requests after its grace period: an attempt that was decided before, but whose
// dial took long, must not be written.
func TestDrainedServerGetsNoRequests(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	drains := servingTarget("s-00000001", a.addr())
	drains.State = "DRAINING"
	u.update(&serverList{Targets: []target{drains}}, false)
	s, _ := u.directory.Find(1)
	if u.closedToRequests(1, s.Incarnation) {
		t.Error("closed to requests before the end of the grace period")
	}
	u.update(&serverList{Targets: []target{servingTarget("s-00000001", a.addr())}}, false)
	// as if the drain had been announced then
	u.directory.Update(&serverList{Targets: []target{drains}}, false, u.clock.now()-u.drainGrace, u.closeIdle)
	_, do := u.newAttempt(clientTimeout)
	if r, _ := do(); r.code != policy.ConnectFailed || a.requests.Load() != 0 {
		t.Errorf("code %d after %d requests", r.code, a.requests.Load())
	}
}

// Idle connections of a removed server are closed. A server with another address or start time gets none of
// the old ones.
func TestClosesConnectionsOfReplacedServer(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	for name, l := range map[string]*serverList{
		"removed": {Targets: nil},
		"restarted": {Targets: []target{{UID: "s-00000001", Endpoint: a.addr(), State: "SERVING",
			BootMS: 5}}},
		"moved": {Targets: []target{servingTarget("s-00000001", "127.0.0.1:1")}},
	} {
		u := newTestUpstream(a.addr())
		_, do := u.newAttempt(clientTimeout)
		do()
		if u.open != 1 {
			t.Fatalf("%s: %d open before", name, u.open)
		}
		u.update(l, true)
		if u.open != 0 {
			t.Errorf("%s: %d open after", name, u.open)
		}
	}
}

// A keyed retry that is written after the server has forgotten the first attempt would run twice. A slow
// dial can delay the write that long.
func TestRetryIsNotWrittenAfterItsWindow(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(clientTimeout)
	at.writeDeadline = at.startedAt
	if r, _ := do(); r.code != policy.ConnectFailed || a.requests.Load() != 0 {
		t.Errorf("code %d after %d requests", r.code, a.requests.Load())
	}
}

// The number of connections is limited: idle connections to other servers are closed first.
func TestConnectionLimit(t *testing.T) {
	a, b := newTestServer(t, respondWith("200 OK", "", "hits")), newTestServer(t, neverRespond)
	u := newTestUpstream(a.addr())
	u.maxOpen = 1
	u.update(&serverList{Targets: []target{servingTarget("s-00000002", b.addr())}}, false)
	_, do := u.newAttempt(clientTimeout)
	do()
	at, do := u.newAttempt(time.Hour)
	at.server = 2
	done := make(chan result)
	go func() { r, _ := do(); done <- r }()
	testkit.Eventually(t, "the request at the second server", func() bool { return b.requests.Load() == 1 })
	_, do = u.newAttempt(clientTimeout)
	if r, _ := do(); r.code != policy.ConnectFailed {
		t.Errorf("code %d above the limit", r.code)
	}
	at.cancel()
	<-done
}

// The values of a load report are parsed in the order of the settings, with either spelling of the field
// names. An incomplete report is rejected.
func TestLoadReport(t *testing.T) {
	u := newTestUpstream("127.0.0.1:1")
	for text, want := range map[string][]float64{
		"TEXT util=NaN, qps=1":              nil,
		"TEXT util=0.61, qps=+Inf":          nil,
		"TEXT util=-0.61, qps=140":          nil,
		"TEXT util=0.61, qps=1e300":         nil,
		"TEXT util=0.61, qps=140":           {0.61, 140},
		"TEXT rps=140,inflight=3,cpu=0.61":  {0.61, 140},
		"TEXT util=0.61":                    nil,
		"TEXT util=much, qps=1":             nil,
		"":                                  nil,
		"TEXT":                              nil,
		fmt.Sprintf("TEXT %0300d=,,,=,", 1): nil,
	} {
		var h head
		h.addField("X-Load", text)
		if got := u.parseLoad(&h); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// Idle connections to a draining server are closed, since its connections are scarce. The connection of an
// attempt in flight is closed when the attempt ends. When the server is back, a new connection is opened.
func TestIdleConnectionsCloseOnDrain(t *testing.T) {
	hold := make(chan struct{})
	a := newTestServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		<-hold
		return respondWith("200 OK", "", "hits")(c, r, "")
	})
	u := newTestUpstream(a.addr())
	state := func(s string) {
		tg := servingTarget("s-00000001", a.addr())
		tg.State = s
		u.update(&serverList{Targets: []target{tg}}, false)
	}
	_, first := u.newAttempt(clientTimeout)
	done := make(chan result)
	go func() {
		r, _ := first()
		done <- r
	}()
	testkit.Eventually(t, "the first attempt in flight", func() bool { return a.requests.Load() == 1 })
	state("DRAINING")
	close(hold)
	if r := <-done; r.code != policy.OK {
		t.Errorf("%v for the attempt in flight", r.code)
	}
	testkit.Eventually(t, "the connection of the attempt closed",
		func() bool { return a.closedByNode.Load() == 1 })
	state("SERVING")
	if _, again := u.newAttempt(clientTimeout); true {
		if r, _ := again(); r.code != policy.OK || a.conns.Load() != 2 {
			t.Errorf("%v on connection %d", r.code, a.conns.Load())
		}
	}
	state("DRAINING")
	testkit.Eventually(t, "the idle connection closed", func() bool { return a.closedByNode.Load() == 2 })
	if u.open != 0 {
		t.Errorf("%d open", u.open)
	}
}
