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

// holdDials blocks each dial to a server. begun receives the address of each dial, and each value sent on
// release lets one dial continue.
func holdDials(u *upstream) (begun <-chan string, release chan<- struct{}) {
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

// awaitDisconnectCheck waits for a complete check for disconnected clients that starts after the call.
func (r *testNode) awaitDisconnectCheck(t *testing.T) {
	t.Helper()
	from := r.loop.heartbeat.beats.Load()
	testkit.Eventually(t, "two checks for disconnected clients",
		func() bool { return r.loop.heartbeat.beats.Load() >= from+2 })
}

// awaitNoClients waits until no client is connected.
func (r *testNode) awaitNoClients(t *testing.T) {
	t.Helper()
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no open connection",
		func() bool { open, _ := r.server.activity(); return open == 0 })
}

// awaitNoAttempts waits until the edge node has no attempt in flight.
func (r *testNode) awaitNoAttempts(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, "no attempt in flight", func() bool {
		r.upstream.mu.Lock()
		defer r.upstream.mu.Unlock()
		idleCount := 0
		for _, idle := range r.upstream.idle {
			idleCount += len(idle)
		}
		return r.upstream.open == idleCount
	})
}

// If the client disconnects during the dial, its request must not be written on the new connection.
func TestClientDisconnectsDuringDial(t *testing.T) {
	for name, pipelined := range map[string]string{"": "",
		"with pipelined data": "GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n"} {
		if attempts, counts := disconnectDuringDial(t, []byte(pipelined)); attempts != 0 ||
			counts != (Disconnects{Dialing: 1}) {
			t.Errorf("%s: sent %d times for a disconnected client, %+v", name, attempts, counts)
		}
	}
}

// disconnectDuringDial has a client send a request and pipelined bytes, and disconnect during the dial. It
// returns the number of attempts that reached the server, and how the disconnect was counted.
func disconnectDuringDial(t *testing.T, pipelined []byte) (attempts int32, counts Disconnects) {
	t.Helper()
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	begun, release := holdDials(n.upstream)
	c := dial(t, n)
	writeRequest(t, c, newRequest(n.url, "loan", clientTimeout))
	<-begun
	if _, err := c.Write(pipelined); err != nil {
		t.Fatal(err)
	}
	c.Close()
	n.awaitDisconnectCheck(t)
	release <- struct{}{}
	n.awaitNoAttempts(t)
	attempts, counts = a.requests.Load(), n.Status().Disconnects
	n.requestShutdown()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	return attempts, counts
}

// disconnectedClient is the state of a client that has disconnected.
type disconnectedClient struct{}

func (disconnectedClient) disconnected() bool     { return true }
func (disconnectedClient) disconnectHidden() bool { return false }

// The loop checks for disconnects periodically. Between two checks, and while a long queue of events delays
// the loop, only the check before the write detects a disconnect.
func TestClientDisconnectsBeforeWrite(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(clientTimeout)
	at.client = disconnectedClient{}
	if r, _ := do(); r.code != policy.NotSent || a.requests.Load() != 0 || u.open != 0 {
		t.Errorf("code %d after %d requests, %d open", r.code, a.requests.Load(), u.open)
	}
}

// An attempt that may have been written continues after a disconnect, since the server may execute it
// anyway.
func TestClientDisconnectsAfterWrite(t *testing.T) {
	a, release := newHeldServer(t)
	n := startNodeWithServers(t, a.addr())
	c := dial(t, n)
	writeRequest(t, c, newRequest(n.url, "loan", clientTimeout))
	testkit.Eventually(t, "the request at the server", func() bool { return a.requests.Load() == 1 })
	c.Close()
	n.awaitDisconnectCheck(t)
	n.upstream.mu.Lock()
	if n.upstream.open != 1 {
		t.Error("cancelled though it may have run")
	}
	n.upstream.mu.Unlock()
	release()
	n.awaitNoAttempts(t)
}

// Pipelined requests are served after the response to the current request, whatever part of them is in the
// read-ahead buffer. If they arrive too fast, they are refused.
func TestSentAheadOfTheAnswer(t *testing.T) {
	for _, more := range []int{1, 300} { // requests of at least 200 bytes each
		a, release := newHeldServer(t)
		n := startNodeWithServers(t, a.addr())
		conn := dial(t, n)
		writeRequest(t, conn, newRequest(n.url, "loan", clientTimeout))
		testkit.Eventually(t, "the first attempt in flight", func() bool { return a.requests.Load() == 1 })
		var text strings.Builder
		for i := range more {
			next := newRequest(n.url, "lookup", clientTimeout)
			next.Header.Set("X-Request-Id", fmt.Sprint(i))
			_ = next.Write(&text)
		}
		go func() { _, _ = io.WriteString(conn, text.String()) }()
		n.awaitDisconnectCheck(t)
		release()
		br := bufio.NewReader(conn)
		for i := range 1 + more {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("response %d of %d: %v", i, 1+more, err)
			}
			if _, _ = io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 && resp.StatusCode != 429 {
				t.Errorf("response %d of %d: %d", i, 1+more, resp.StatusCode)
			}
		}
		conn.Close()
	}
}

// An attempt is either withdrawn or written, never both.
func TestWithdrawExcludesWrite(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	u := newTestUpstream(a.addr())
	at, do := u.newAttempt(clientTimeout)
	at.withdraw()
	if r, _ := do(); r.code != policy.NotSent || a.requests.Load() != 0 || u.open != 0 {
		t.Errorf("withdrawn: code %d after %d requests, %d open", r.code, a.requests.Load(), u.open)
	}
	at, _ = u.newAttempt(clientTimeout)
	if at.beginWrite(nil); !at.writeBegun {
		t.Fatal("the write did not begin")
	}
	if at.withdraw(); at.cancelled || !at.detach() {
		t.Error("withdrawn though it may have been written")
	}
}

// dialWithSmallReceiveBuffer connects a client with a small receive buffer. The unread rest of a long
// response stays in the edge node's send buffer.
func dialWithSmallReceiveBuffer(t *testing.T, n *testNode) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET,
				syscall.SO_RCVBUF, 4<<10)
		})
	}}
	c, err := d.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	return c
}

// Closing a connection with unread received bytes resets it, and the reset discards the part of a response
// that the client has not read yet. However the edge node closes a connection, a client that sends at the
// same moment must receive the whole response and an orderly end.
func TestCloseWithUnreadBytes(t *testing.T) {
	const crossingRequest = "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: crossed\r\n\r\n"
	for name, closeConn := range map[string]func(n *testNode, c net.Conn){
		"over the limit": func(n *testNode, _ net.Conn) { n.server.setLimit(0) },
		"shutdown":       func(n *testNode, _ net.Conn) { n.server.closeIdle(0) },
		"room for another": func(n *testNode, _ net.Conn) {
			n.server.mu.Lock()
			n.server.closeLeastUseful()
			n.server.mu.Unlock()
		},
		"after response":  nil,
		"bad request":     func(_ *testNode, c net.Conn) { _, _ = io.WriteString(c, "NONSENSE\r\n\r\n") },
		"partial request": func(n *testNode, c net.Conn) { _, _ = io.WriteString(c, crossingRequest[:20]); n.server.closeIdle(0) },
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestServer(t, respondWith("200 OK", "", strings.Repeat("h", maxBodyBytes)))
			n := startNodeWithServers(t, a.addr())
			n.awaitNoClients(t)
			c := dialWithSmallReceiveBuffer(t, n)
			r := newRequest(n.url, "lookup", clientTimeout)
			if closeConn == nil {
				r.Header.Set("Connection", "close")
			}
			if err := r.Write(c); err != nil {
				t.Fatal(err)
			}
			matchesConn := func(want func(cc *clientConn) bool) func() bool {
				return func() bool {
					n.server.mu.Lock()
					defer n.server.mu.Unlock()
					for cc := range n.server.conns {
						return want(cc)
					}
					return want(nil)
				}
			}
			testkit.Eventually(t, "the response written", matchesConn(func(cc *clientConn) bool {
				return cc != nil && (cc.carriedRequest && cc.state == connIdle || cc.closing)
			}))
			if closeConn != nil {
				closeConn(n, c)
			}
			testkit.Eventually(t, "the close",
				matchesConn(func(cc *clientConn) bool { return cc == nil || cc.closing }))
			// The client has read nothing yet. The next request crosses the close.
			if _, err := io.WriteString(c, crossingRequest); err != nil {
				t.Errorf("sending during the close: %v", err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), r)
			if err != nil {
				t.Fatalf("the response is lost: %v", err)
			}
			if b, err := io.ReadAll(resp.Body); len(b) != maxBodyBytes || err != nil {
				t.Errorf("%d bytes of the response, then %v", len(b), err)
			}
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Errorf("the connection ended with %v", err)
			}
			if a.requests.Load() != 1 {
				t.Error("a request that crossed the close was forwarded")
			}
		})
	}
}

// A server that restarts at its old address is another process. A connection to the old process, whose
// response or whose dial completes after the list update, must not be used for further requests.
func TestServerReplacedDuringAttempt(t *testing.T) {
	for name, next := range map[string]func(addr string) target{
		"same address":       func(addr string) target { tg := servingTarget("s-00000001", addr); tg.BootMS = 5; return tg },
		"another address":    func(string) target { return servingTarget("s-00000001", "127.0.0.1:1") },
		"removed, then back": nil,
	} {
		replaceServer := func(u *upstream, addr string) {
			if next != nil {
				u.update(&serverList{Targets: []target{next(addr)}}, false)
				return
			}
			u.update(&serverList{}, true)
			u.update(&serverList{Targets: []target{servingTarget("s-00000001", addr)}}, false)
		}
		a, release := newHeldServer(t)
		u := newTestUpstream(a.addr())
		_, do := u.newAttempt(clientTimeout)
		done := make(chan result)
		go func() { r, _ := do(); done <- r }()
		testkit.Eventually(t, "the attempt in flight", func() bool { return a.requests.Load() == 1 })
		replaceServer(u, a.addr())
		release()
		if r := <-done; r.code != policy.OK || len(u.idle[1]) != 0 || u.open != 0 {
			t.Fatalf("%s: code %d, %d idle, %d open: the connection was reused", name, r.code, len(u.idle[1]),
				u.open)
		}
		begun, releaseDial := holdDials(u)
		_, do = u.newAttempt(clientTimeout)
		go func() { r, _ := do(); done <- r }()
		<-begun
		replaceServer(u, a.addr())
		if next != nil && name == "same address" { // a third process at the address
			tg := next(a.addr())
			tg.BootMS++
			u.update(&serverList{Targets: []target{tg}}, false)
		}
		releaseDial <- struct{}{}
		if r := <-done; r.code != policy.ConnectFailed || a.requests.Load() != 1 || u.open != 0 {
			t.Errorf("%s: code %d, %d requests, %d open after a late dial", name, r.code, a.requests.Load(),
				u.open)
		}
	}
}

// Guards against a new server being taken for the one whose address it took over, while discovery still lists
// both: whether the old server's connection is idle, in use or being dialed when the new one is listed.
func TestServerTakesOverAddress(t *testing.T) {
	takeOver := func(u *upstream, addr string) {
		next := servingTarget("s-00000002", addr)
		next.BootMS = 5
		u.update(&serverList{Targets: []target{next}}, false)
	}
	a, release := newHeldServer(t)
	done := make(chan result)
	attempt := func(u *upstream) {
		_, do := u.newAttempt(clientTimeout)
		r, _ := do()
		done <- r
	}
	u := newTestUpstream(a.addr())
	go attempt(u)
	testkit.Eventually(t, "the attempt in flight", func() bool { return a.requests.Load() == 1 })
	takeOver(u, a.addr())
	release()
	if r := <-done; r.code != policy.OK || len(u.idle[1]) != 0 || u.open != 0 {
		t.Errorf("in use: code %d, %d idle, %d open", r.code, len(u.idle[1]), u.open)
	}
	go attempt(u)
	if r := <-done; r.code != policy.ConnectFailed || a.requests.Load() != 1 {
		t.Errorf("afterwards: code %d, %d requests", r.code, a.requests.Load())
	}

	u = newTestUpstream(a.addr())
	go attempt(u)
	if r := <-done; r.code != policy.OK || len(u.idle[1]) != 1 {
		t.Errorf("before: code %d, %d idle", r.code, len(u.idle[1]))
	}
	takeOver(u, a.addr())
	go attempt(u)
	if r := <-done; r.code != policy.ConnectFailed || a.requests.Load() != 2 {
		t.Errorf("idle: code %d, %d requests", r.code, a.requests.Load())
	}

	u = newTestUpstream(a.addr())
	begun, releaseDial := holdDials(u)
	go attempt(u)
	<-begun
	takeOver(u, a.addr())
	releaseDial <- struct{}{}
	if r := <-done; r.code != policy.ConnectFailed || a.requests.Load() != 2 || u.open != 0 {
		t.Errorf("being dialed: code %d, %d requests, %d open", r.code, a.requests.Load(), u.open)
	}
}

// A server recognizes a keyed retry until the end of the key's window. The retry must not start so late
// that it reaches the server after the window, and a blocked write is aborted before its last byte.
func TestRetryStaysInItsWindow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u := newTestUpstream(ln.Addr().String())
	u.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET,
				syscall.SO_SNDBUF, 4<<10)
		})
	}
	now := u.clock.now()
	at := &attempt{server: 1, startedAt: now, deadline: now + clientTimeout, writeDeadline: now +
		100*time.Millisecond}
	// nobody reads it
	req := &clientRequest{method: []byte("POST"), target: []byte("/loan"), body: make([]byte, 8<<20)}
	if r := u.do(at, req); r.code != policy.ConnectFailed || u.clock.now() >= at.deadline {
		t.Errorf("code %d after %v", r.code, u.clock.now()-now)
	}

	l := newLoop(u.clock, nil, u)
	c := &call{commands: make(chan command, 1), class: &policy.Class{Effect: policy.Keyed,
		Window: time.Second}, mayHaveRunAt: now, deadline: now + time.Minute}
	c.ID = 1
	l.calls[1] = c
	l.startAttempt(policy.Send{ID: 1, Server: 1})
	if got := (<-c.commands).attempt.writeDeadline; got > now+time.Second-responseMargin {
		t.Errorf("may be written up to %v after the first attempt, the window is 1s", got-now)
	}
}

// Connections that the kernel has queued are served, even if none of them was accepted when the listener
// begins to close.
func TestListenerServesQueuedConnections(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a second listener, since closing its own ends the edge node
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.server.serve(ln) }()
	n.server.mu.Lock() // blocks the accept loop after the first connection
	responses := []func() *http.Response{}
	for i := range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(clientTimeout))
		r := newRequest(n.url, "lookup", clientTimeout)
		r.Header.Set("X-Request-Id", fmt.Sprint(i))
		responses = append(responses, writeRequest(t, c, r))
	}
	if err := ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	n.server.mu.Unlock()
	for i, response := range responses {
		if r := response(); r.StatusCode != 200 && r.StatusCode != 429 {
			t.Errorf("request %d: %d", i, r.StatusCode)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// lateListener is a listener on which connections arrive when the deadline for the last accepts has just expired.
type lateListener struct {
	*net.TCPListener
	expired int
	arrive  func()
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		if l.expired++; l.expired == 2 {
			l.arrive()
		}
	}
	return c, err
}

// Guards against requests on connections that arrive at the very end of a listener's last accepts being lost: its close
// would reset them.
func TestListenerServesConnectionsQueuedAtTheEnd(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a second listener, since closing its own ends the edge node
	if err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	late := &lateListener{TCPListener: ln.(*net.TCPListener), arrive: func() {
		for range 3 {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Error(err)
				continue
			}
			t.Cleanup(func() { c.Close() })
			_ = c.SetDeadline(time.Now().Add(clientTimeout))
			_ = newRequest(n.url, "lookup", clientTimeout).Write(c)
			conns = append(conns, c)
		}
	}}
	_ = late.SetDeadline(expired)
	if err := n.server.serve(late); err != nil {
		t.Error(err)
	}
	for i, c := range conns {
		if status, _ := readStatus(t, c); status != http.StatusOK {
			t.Errorf("status %d on connection %d", status, i)
		}
	}
}
