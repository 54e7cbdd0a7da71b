package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// holdDials has each dial to an app server wait: begun tells of one, and each value sent
// on let lets one go on.
func holdDials(u *upstream) (begun <-chan string, let chan<- struct{}) {
	b, l := make(chan string), make(chan struct{})
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer = net.Dialer{KeepAlive: -1, Control: func(_, addr string, _ syscall.RawConn) error {
		b <- addr
		<-l
		return nil
	}}
	return b, l
}

// looks waits until the loop has looked for clients that have gone, from now on.
func (r *running) looks(t *testing.T) {
	t.Helper()
	from := r.loop.heartbeat.beats.Load()
	testkit.Eventually(t, "two looks", func() bool { return r.loop.heartbeat.beats.Load() >= from+2 })
}

// alone waits until no client is connected.
func (r *running) alone(t *testing.T) {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no connection", func() bool { open, _ := r.server.activity(); return open == 0 })
}

// idle waits until the edge node has no attempt out.
func (r *running) idle(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, "no attempt out", func() bool {
		r.upstream.mu.Lock()
		defer r.upstream.mu.Unlock()
		kept := 0
		for _, idle := range r.upstream.idle {
			kept += len(idle)
		}
		return r.upstream.open == kept
	})
}

// A dial takes up to its time-out. A client that goes meanwhile has its request let go,
// and the connection that comes up then must not carry it.
func TestClientLeavesWhileItsDialIsOut(t *testing.T) {
	for name, ahead := range map[string]string{"": "", "with more sent": "GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n"} {
		if attempts, left := leaveWhileDialing(t, []byte(ahead)); attempts != 0 || left != (Disconnects{Dialing: 1}) {
			t.Errorf("%s: sent on %d times for a client that had gone, %+v", name, attempts, left)
		}
	}
}

// leaveWhileDialing has a client send a request and some bytes behind it, and go while the dial
// is out. It returns how often the request was sent on, and how its client was noticed to go.
func leaveWhileDialing(t *testing.T, ahead []byte) (attempts int32, left Disconnects) {
	t.Helper()
	a := newApp(t, answer("200 OK", "", "hits"))
	n := nodeWith(t, a.addr())
	begun, let := holdDials(n.upstream)
	c := dial(t, n)
	send(t, c, request(n.url, "loan", patience))
	<-begun
	if _, err := c.Write(ahead); err != nil {
		t.Fatal(err)
	}
	c.Close()
	n.looks(t)
	let <- struct{}{}
	n.idle(t)
	attempts, left = a.seen.Load(), n.Status().Disconnects
	n.stop()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	return attempts, left
}

// away is a client that has gone.
type away struct{}

func (away) disconnected() bool     { return true }
func (away) disconnectHidden() bool { return false }

// The loop looks now and then; between two looks, and behind a long queue, the check
// before the write is the only one.
func TestClientLeavesJustBeforeTheWrite(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "hits"))
	u := pool(a.addr())
	at, do := u.try(patience)
	at.client = away{}
	if r, _ := do(); r.code != policy.NotSent || a.seen.Load() != 0 || u.open != 0 {
		t.Errorf("code %d after %d requests, %d open", r.code, a.seen.Load(), u.open)
	}
}

// Once its request may have been written an attempt goes on: it has its effect anyway.
func TestClientLeavesOnceItIsWritten(t *testing.T) {
	a, let := held(t)
	n := nodeWith(t, a.addr())
	c := dial(t, n)
	send(t, c, request(n.url, "loan", patience))
	testkit.Eventually(t, "the request at the app server", func() bool { return a.seen.Load() == 1 })
	c.Close()
	n.looks(t)
	n.upstream.mu.Lock()
	if n.upstream.open != 1 {
		t.Error("called back though it may have run")
	}
	n.upstream.mu.Unlock()
	let()
	n.idle(t)
}

// What a client sends behind a request that waits is served after its answer, however
// much of it was read ahead; where it comes too fast, by a refusal.
func TestSentAheadOfTheAnswer(t *testing.T) {
	for _, more := range []int{1, 300} { // of 200 bytes and more each
		a, let := held(t)
		n := nodeWith(t, a.addr())
		conn := dial(t, n)
		send(t, conn, request(n.url, "loan", patience))
		testkit.Eventually(t, "the first out", func() bool { return a.seen.Load() == 1 })
		var text strings.Builder
		for i := range more {
			next := request(n.url, "lookup", patience)
			next.Header.Set("X-Request-Id", fmt.Sprint(i))
			_ = next.Write(&text)
		}
		go func() { _, _ = io.WriteString(conn, text.String()) }()
		n.looks(t)
		let()
		br := bufio.NewReader(conn)
		for i := range 1 + more {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("answer %d of %d: %v", i, 1+more, err)
			}
			if _, _ = io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 && resp.StatusCode != 429 {
				t.Errorf("answer %d of %d: %d", i, 1+more, resp.StatusCode)
			}
		}
		conn.Close()
	}
}

// Who gives an attempt up and who writes it go by one mark, whichever comes first.
func TestWithdrawnOrBegun(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "hits"))
	u := pool(a.addr())
	at, do := u.try(patience)
	at.withdraw()
	if r, _ := do(); r.code != policy.NotSent || a.seen.Load() != 0 || u.open != 0 {
		t.Errorf("withdrawn: code %d after %d requests, %d open", r.code, a.seen.Load(), u.open)
	}
	at, _ = u.try(patience)
	if at.beginWrite(nil); !at.writeBegun {
		t.Fatal("not begun")
	}
	if at.withdraw(); at.cancelled || !at.detach() {
		t.Error("withdrawn though it may have been written")
	}
}

// dialNarrow connects a client whose system takes in little that it has not read: the
// rest of a long answer waits at the edge node's.
func dialNarrow(t *testing.T, n *running) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

// Closed over bytes that nobody has read a connection is reset, and the reset takes
// along an answer that the client has not read yet. However an edge node ends a
// connection, the client that sends into the close gets all that was written, and an end.
func TestCloseOverUnreadBytes(t *testing.T) {
	const crossing = "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: crossed\r\n\r\n"
	for name, end := range map[string]func(n *running, c net.Conn){
		"over the bound": func(n *running, _ net.Conn) { n.server.setLimit(0) },
		"stopping":       func(n *running, _ net.Conn) { n.server.closeIdle(0) },
		"for another": func(n *running, _ net.Conn) {
			n.server.mu.Lock()
			n.server.closeLeastUseful()
			n.server.mu.Unlock()
		},
		"with its answer":      nil,
		"turned away":          func(_ *running, c net.Conn) { _, _ = io.WriteString(c, "NONSENSE\r\n\r\n") },
		"half a request there": func(n *running, c net.Conn) { _, _ = io.WriteString(c, crossing[:20]); n.server.closeIdle(0) },
	} {
		t.Run(name, func(t *testing.T) {
			a := newApp(t, answer("200 OK", "", strings.Repeat("h", maxBodyBytes)))
			n := nodeWith(t, a.addr())
			n.alone(t)
			c := dialNarrow(t, n)
			r := request(n.url, "lookup", patience)
			if end == nil {
				r.Header.Set("Connection", "close")
			}
			if err := r.Write(c); err != nil {
				t.Fatal(err)
			}
			is := func(want func(cc *clientConn) bool) func() bool {
				return func() bool {
					n.server.mu.Lock()
					defer n.server.mu.Unlock()
					for cc := range n.server.conns {
						return want(cc)
					}
					return want(nil)
				}
			}
			testkit.Eventually(t, "the answer written", is(func(cc *clientConn) bool {
				return cc != nil && (cc.carriedRequest && cc.state == connIdle || cc.closing)
			}))
			if end != nil {
				end(n, c)
			}
			testkit.Eventually(t, "the close", is(func(cc *clientConn) bool { return cc == nil || cc.closing }))
			// The client has read nothing yet; what it sends now crosses the close.
			if _, err := io.WriteString(c, crossing); err != nil {
				t.Errorf("sending into the close: %v", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), r)
			if err != nil {
				t.Fatalf("the answer is lost: %v", err)
			}
			if b, err := io.ReadAll(resp.Body); len(b) != maxBodyBytes || err != nil {
				t.Errorf("%d bytes of the answer, then %v", len(b), err)
			}
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Errorf("the connection ended with %v", err)
			}
			if a.seen.Load() != 1 {
				t.Error("a request that crossed the close was sent on")
			}
		})
	}
}

// An app server that starts anew at its old address is another process. What leads to the
// one before (a connection whose answer comes behind the news, a dial that comes up behind
// it) must carry nothing more; nor what leads to an address that is another's by now.
func TestServerStartsAnewMeanwhile(t *testing.T) {
	for name, next := range map[string]func(addr string) target{
		"same address":    func(addr string) target { tg := serving("s-00000001", addr); tg.BootMS = 5; return tg },
		"another address": func(string) target { return serving("s-00000001", "127.0.0.1:1") },
		"gone, then back": nil,
	} {
		news := func(u *upstream, addr string) {
			if next != nil {
				u.update(&serverList{Targets: []target{next(addr)}}, false)
				return
			}
			u.update(&serverList{}, true)
			u.update(&serverList{Targets: []target{serving("s-00000001", addr)}}, false)
		}
		a, let := held(t)
		u := pool(a.addr())
		_, do := u.try(patience)
		done := make(chan result)
		go func() { r, _ := do(); done <- r }()
		testkit.Eventually(t, "the request out", func() bool { return a.seen.Load() == 1 })
		news(u, a.addr())
		let()
		if r := <-done; r.code != policy.OK || len(u.idle[1]) != 0 || u.open != 0 {
			t.Fatalf("%s: code %d, %d idle, %d open: the connection came back", name, r.code, len(u.idle[1]), u.open)
		}
		begun, letDial := holdDials(u)
		_, do = u.try(patience)
		go func() { r, _ := do(); done <- r }()
		<-begun
		news(u, a.addr())
		if next != nil && name == "same address" { // a third process there
			tg := next(a.addr())
			tg.BootMS++
			u.update(&serverList{Targets: []target{tg}}, false)
		}
		letDial <- struct{}{}
		if r := <-done; r.code != policy.ConnectFailed || a.seen.Load() != 1 || u.open != 0 {
			t.Errorf("%s: code %d, %d requests, %d open behind a late dial", name, r.code, a.seen.Load(), u.open)
		}
	}
}

// A repeat is known as one up to the end of its window: it is not begun so late that its
// way leads past it, and a write that blocks is broken off before its last byte.
func TestRepeatStaysInItsWindow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u := pool(ln.Addr().String())
	u.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10) })
	}
	now := u.clock.now()
	at := &attempt{server: 1, startedAt: now, deadline: now + patience, writeDeadline: now + 100*time.Millisecond}
	req := &clientRequest{method: []byte("POST"), target: []byte("/loan"), body: make([]byte, 8<<20)} // nobody reads it
	if r := u.do(at, req); r.code != policy.ConnectFailed || u.clock.now() >= at.deadline {
		t.Errorf("code %d after %v", r.code, u.clock.now()-now)
	}

	l := newLoop(u.clock, nil, u)
	c := &call{commands: make(chan command, 1), class: &policy.Class{Effect: policy.Keyed, Window: time.Second}, mayHaveRunAt: now, deadline: now + time.Minute}
	c.ID = 1
	l.calls[1] = c
	l.startAttempt(policy.Send{ID: 1, Server: 1})
	if got := (<-c.commands).attempt.writeDeadline; got > now+time.Second-responseMargin {
		t.Errorf("may be written up to %v behind the first, of a window of 1s", got-now)
	}
}

// A connection that the system has accepted counts as taken, also where nobody has
// accepted it here when the listener is closed.
func TestListenerClosesBehindItsQueue(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "hits"))
	n := nodeWith(t, a.addr())
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a second one, since the edge node ends without its own
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.server.serve(ln) }()
	n.server.mu.Lock() // who accepts comes no further than the first
	answers := []func() *http.Response{}
	for i := range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(patience))
		r := request(n.url, "lookup", patience)
		r.Header.Set("X-Request-Id", fmt.Sprint(i))
		answers = append(answers, send(t, c, r))
	}
	if err := ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	n.server.mu.Unlock()
	for i, answered := range answers {
		if r := answered(); r.StatusCode != 200 && r.StatusCode != 429 {
			t.Errorf("request %d: %d", i, r.StatusCode)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
