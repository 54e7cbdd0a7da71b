package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// Requests and responses are forwarded unchanged, and each request is written to a server once.
func TestServes(t *testing.T) {
	var got atomic.Value
	a := newTestServer(t, func(c net.Conn, r *http.Request, body string) bool {
		got.Store(fmt.Sprint(r.Method, r.RequestURI, body, r.Header.Get("X-Request-Id"),
			r.Header.Get("Idempotency-Key")))
		return respondWith("200 OK", "", "placed\x00")(c, r, body)
	})
	n := startNodeWithServers(t, a.addr())
	ids := map[string]string{"lookup": "9b1f03aa5c7e2d41", "loan": "0c4e77b1925d3a68"}
	for class, want := range map[string]string{
		"lookup": "GET/lookup?q=19b1f03aa5c7e2d41",
		"loan":   "POST/loan?q=1order=170c4e77b1925d3a685c0f6e1a2b3d4c59a8b7c6d5e4f30211",
	} {
		r := newRequest(n.url, class, clientTimeout)
		r.Header.Set("X-Request-Id", ids[class])
		resp, body := doRequest(t, r)
		if resp.StatusCode != 200 || body != "placed\x00" || got.Load() != want {
			t.Errorf("%s: %d %q, forwarded %q, want %q", class, resp.StatusCode, body, got.Load(), want)
		}
	}
	if s := a.requests.Load(); s != 2 {
		t.Errorf("2 requests were written %d times", s)
	}
}

// An attempt that never ran is repeated on another server. The client gets one response.
func TestRetriesOnAnotherServer(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, unusedAddr(t), a.addr())
	for range 20 {
		if resp, body := doRequest(t, newRequest(n.url, "loan", clientTimeout)); resp.StatusCode != 200 ||
			body != "hits" {
			t.Fatalf("%d %q", resp.StatusCode, body)
		}
	}
}

// A keyed request that may have run may be retried only within the same cell. It must not be refused
// either, since a refusal tells the client that a retry is harmless.
func TestKeyedRequestThatMayHaveRunFails(t *testing.T) {
	breaks := func(net.Conn, *http.Request, string) bool { return false }
	a, b := newTestServer(t, breaks), newTestServer(t, breaks)
	other := servingTarget("s-00000002", b.addr())
	other.Cell = 1
	n := startNode(t, testConfig(t, newDiscoveryServer(t, servingTarget("s-00000001", a.addr()), other).addr))
	resp, _ := doRequest(t, newRequest(n.url, "loan", clientTimeout))
	if resp.StatusCode != http.StatusBadGateway || a.requests.Load()+b.requests.Load() != 1 {
		t.Errorf("%d after %d and %d attempts", resp.StatusCode, a.requests.Load(), b.requests.Load())
	}
}

// If a server never responds, the client gets a failure before its deadline, and the connection of the
// attempt is closed.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	a := newTestServer(t, neverRespond)
	n := startNodeWithServers(t, a.addr())
	resp, _ := doRequest(t, newRequest(n.url, "loan", 300*time.Millisecond))
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%d", resp.StatusCode)
	}
	testkit.Eventually(t, "the connection of the attempt closed",
		func() bool { return a.closedByNode.Load() == 1 })
}

// A request that policy refuses is answered at once, with a Retry-After header.
func TestRefusesImmediately(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	r := newRequest(n.url, "loan", clientTimeout)
	r.Header.Set("X-Tier", "tiny") // its token bucket holds less than the request needs
	began := time.Now()
	resp, _ := doRequest(t, r)
	if time.Since(began) > clientTimeout/2 {
		t.Error("the refusal was delayed")
	}
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") != "1.5" {
		t.Errorf("%d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A request that policy leaves open past its deadline is failed. With an attempt in flight it is not
// refused, and the connection of the attempt is closed first.
func TestBackstop(t *testing.T) {
	c := clock{time.Now()}
	l := newLoop(c, nil, nil)
	inFlight := &attempt{id: 1, cancelled: false}
	k := &call{commands: make(chan command, 1), inFlight: inFlight}
	k.ID = 1
	l.calls[1] = k
	l.finish(k, command{refuse: true})
	if !inFlight.cancelled || len(k.commands) != 0 {
		t.Fatalf("cancelled %v, %d responses", inFlight.cancelled, len(k.commands))
	}
	l.finish(k, command{}) // a second call changes nothing
	k.inFlight = nil
	l.respond(k, *k.finalCommand)
	if cmd := <-k.commands; cmd.refuse || cmd.attempt != nil || len(l.calls) != 0 {
		t.Errorf("%+v, %d open", cmd, len(l.calls))
	}
}

// After a client has disconnected, no attempt is started for its requests, and a waiting request is
// removed.
func TestClientDisconnects(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1").Current().File
	g, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	l := newLoop(clock{time.Now()}, g, newTestUpstream(unusedAddr(t)))
	cc := &clientConn{Conn: conn}
	cc.readAhead.beginWait()
	waiting, sent := &call{client: cc, commands: make(chan command, 1)},
		&call{client: cc, commands: make(chan command, 1)}
	waiting.ID, sent.ID, sent.inFlight = 1, 2, &attempt{id: 2, writeBegun: true}
	waiting.deadline, sent.deadline = l.clock.now()+time.Hour, l.clock.now()+time.Hour
	l.calls[1], l.calls[2] = waiting, sent
	l.checkDisconnects()
	if len(l.calls) != 2 {
		t.Fatalf("%d requests open while the client is connected", len(l.calls))
	}
	client.Close()
	testkit.Eventually(t, "the disconnect detected",
		func() bool { l.checkDisconnects(); return len(l.calls) == 0 })
	if len(waiting.commands) != 1 || len(sent.commands) != 0 || sent.inFlight.cancelled {
		t.Errorf("%d commands for the waiting request, %d for the sent one, cancelled %v",
			len(waiting.commands), len(sent.commands), sent.inFlight.cancelled)
	}
	l.startAttempt(policy.Send{ID: 2, Server: 1})
	l.endAttempt(outcome{sent, sent.inFlight, result{code: policy.Error}})
	if cmd := <-sent.commands; cmd.attempt != nil || len(sent.commands) != 0 {
		t.Errorf("after the attempt: %+v", cmd)
	}
}

// Invalid requests are answered with 400 and don't affect later ones.
func TestMalformedRequests(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	for _, c := range []struct{ class, header, value string }{
		{"lookup", "X-Class", "shelve"}, {"lookup", "X-Class", ""},
		{"lookup", "X-Tier", "gold"}, {"lookup", "X-Request-Id", ""},
		{"lookup", "Cookie", "key=12"}, {"lookup", "Cookie", "key=zzzzzzzzzzzzzzzz"},
		{"lookup", "Cookie", ""},
		{"lookup", "X-Deadline-Ms", "soon"}, {"lookup", "X-Deadline-Ms", "-5"},
		{"lookup", "X-Deadline-Ms", "99999999999999999999"},
		{"lookup", "X-Call-Terms", "units=NaN"}, {"lookup", "X-Call-Terms", "units=-1"},
		{"lookup", "X-Call-Terms", "units=1e300"},
		{"lookup", "X-Call-Terms", "spread=0"}, {"lookup", "X-Call-Terms", "first=9"},
		{"lookup", "X-Call-Terms", "=,="},
		{"lookup", "X-Call-Terms", "units=1.5"}, {"lookup", "X-Call-Terms", "units=1,units=2"},
		{"lookup", "X-Call-Terms", "units=+1"},
		{"lookup", "X-Call-Terms", "units=7"}, {"lookup", "X-Call-Terms", "first=-1"},
		{"lookup", "X-Call-Terms", "spread=Inf"},
		{"lookup", "X-Deadline-Ms", "10002"}, {"lookup", "X-Deadline-Ms", "1e3"},
		{"lookup", "X-Deadline-Ms", "480.5"},
		{"lookup", "Cookie", "key=0000000200000000"},
		{"lookup", "Cookie", "key=00000000b4d65521; key=00000000b4d65522"},
		{"lookup", "X-Request-Id", strings.Repeat("9", 65)}, {"lookup", "X-Class", "loan"},
		{"loan", "X-Class", "lookup"},
		{"loan", "Idempotency-Key", ""}, {"loan", "Idempotency-Key", strings.Repeat("k", 129)},
	} {
		r := newRequest(n.url, c.class, clientTimeout)
		r.Header.Set(c.header, c.value)
		if resp, _ := doRequest(t, r); resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %q: %d", c.header, c.value, resp.StatusCode)
		}
	}
	for _, text := range []string{"\r\n\r\n", "GET\r\n\r\n",
		"POST /loan HTTP/1.1\r\nContent-Length: x\r\n\r\n"} {
		c := dial(t, n)
		_, _ = c.Write([]byte(text))
		c.Close()
	}
	if a.requests.Load() != 0 {
		t.Errorf("%d of them were forwarded", a.requests.Load())
	}
	if resp, _ := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); resp.StatusCode != 200 {
		t.Errorf("a valid request after them: %d", resp.StatusCode)
	}
}

// Requests whose framing is ambiguous could hide another request (request smuggling). They are answered
// with 400 at most once, nothing of them is forwarded, and nothing more is read from their connection. The
// valid request that follows each of them must not be served.
func TestUnclearFraming(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	fields := "Host: app.svc\r\nX-Request-Id: 1\r\nX-Class: loan\r\nX-Tier: town\r\nCookie: key=00000000b4d65521\r\n" +
		"X-Deadline-Ms: 900\r\nIdempotency-Key: k\r\n"
	get := "GET /lookup HTTP/1.1\r\nX-Request-Id: 2\r\nX-Class: lookup\r\nX-Tier: town\r\n" +
		"Cookie: key=00000000b4d65521\r\nX-Deadline-Ms: 900\r\n\r\n"
	post := "POST /loan HTTP/1.1\r\n" + fields
	for name, text := range map[string]string{
		"length and coding": post +
			"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"coding and length": post +
			"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + get,
		"two lengths":        post + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + get,
		"equal lengths":      post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + get,
		"list of lengths":    post + "Content-Length: 0, 0\r\n\r\n" + get,
		"signed length":      post + "Content-Length: +0\r\n\r\n" + get,
		"negative length":    post + "Content-Length: -1\r\n\r\n" + get,
		"no length":          post + "Content-Length:\r\n\r\n" + get,
		"hexadecimal length": post + "Content-Length: 0x0\r\n\r\n" + get,
		"unknown coding":     post + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n" + get,
		"two codings": post +
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + get,
		"space before colon":         post + "Content-Length : 0\r\n\r\n" + get,
		"folded line":                post + "X-A: b\r\n c: d\r\nContent-Length: 0\r\n\r\n" + get,
		"bare LF":                    post + "X-A: b\nContent-Length: 0\r\n\r\n" + get,
		"bare CR":                    post + "X-A: b\rContent-Length: 9\r\n\r\n" + get,
		"NUL":                        post + "X-A: b\x00\r\nContent-Length: 0\r\n\r\n" + get,
		"no colon":                   post + "X-A\r\nContent-Length: 0\r\n\r\n" + get,
		"two hosts":                  post + "Host: other\r\nContent-Length: 0\r\n\r\n" + get,
		"many empty lines first":     strings.Repeat("\r\n", maxEmptyLines+1) + get,
		"bare LF first":              "\n" + get,
		"bare CR first":              "\r" + get,
		"line with a space first":    " \r\n" + get,
		"another version":            "GET /lookup HTTP/2.0\r\n\r\n" + get,
		"two spaces":                 "GET  /lookup HTTP/1.1\r\n\r\n" + get,
		"absolute target":            "GET http://a/lookup HTTP/1.1\r\n\r\n" + get,
		"chunk without size":         post + "Transfer-Encoding: chunked\r\n\r\n\r\n" + get,
		"chunk with invalid size":    post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + get,
		"chunk longer than its size": post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + get,
		"chunk ended by LF":          post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\n0\r\n\r\n" + get,
	} {
		c := dial(t, n)
		_, _ = c.Write([]byte(text))
		all, _ := io.ReadAll(c)
		if !strings.HasPrefix(string(all), "HTTP/1.1 400 ") || strings.Count(string(all), "HTTP/1.1") != 1 {
			t.Errorf("%s: %q", name, all)
		}
	}
	if a.requests.Load() != 0 {
		t.Errorf("%d requests were forwarded", a.requests.Load())
	}
	c := dial(t, n) // the same form, with unambiguous framing
	_, _ = c.Write([]byte(post +
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	if all, _ := io.ReadAll(c); !strings.HasPrefix(string(all), "HTTP/1.1 200 ") {
		t.Errorf("an unambiguous request: %q", all)
	}
}

// Oversized bodies and heads are refused as soon as their announced or received size exceeds the limit, and
// the refusal reaches a client that is still sending.
func TestOversize(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	for name, c := range map[string]struct{ head, more, want string }{
		"60 MB": {"POST /loan HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n",
			strings.Repeat("b", 1<<20), "HTTP/1.1 413 "},
		"huge length": {"POST /loan HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "b",
			"HTTP/1.1 400 "},
		"oversized head": {"GET /lookup HTTP/1.1\r\n", strings.Repeat("X-Pad: p\r\n", 8<<10),
			"HTTP/1.1 431 "},
		"huge chunk": {"POST /loan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n", "b",
			"HTTP/1.1 413 "},
	} {
		conn := dial(t, n)
		_, _ = conn.Write([]byte(c.head))
		go func() { _, _ = conn.Write([]byte(c.more)) }() // may fail when the connection is closed
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(line, c.want) {
			t.Errorf("%s: %q, %v", name, line, err)
		}
	}
}

// A connection without a request, or with a partial one, is closed within 3 s.
func TestSilentClientsAreDisconnected(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	silent, half := dial(t, n), dial(t, n)
	_, _ = half.Write([]byte("GET /lookup HTTP/1.1\r\nHost: a"))
	began := time.Now()
	if all, err := io.ReadAll(silent); err != nil || len(all) > 0 {
		t.Errorf("silent: %q, %v", all, err)
	}
	if all, err := io.ReadAll(half); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 408 ") {
		t.Errorf("half a request: %q, %v", all, err)
	}
	if firstRequestTimeout > 2500*time.Millisecond || time.Since(began) > clientTimeout-time.Second {
		t.Errorf("closed after %v", time.Since(began))
	}
}

// At the connection limit, connections without a valid request are closed before those that have carried
// valid requests, however old these are.
func TestClosesConnectionsWithoutRequestsFirst(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no open connection",
		func() bool { open, _ := n.server.activity(); return open == 0 })
	n.server.mu.Lock()
	n.server.maxConns = 4
	n.server.mu.Unlock()
	useful := dial(t, n)
	writeRequest(t, useful, newRequest(n.url, "lookup", clientTimeout))()
	for range 40 {
		dial(t, n)
	}
	silent := dial(t, n)
	testkit.Eventually(t, "the connections within the limit",
		func() bool { open, _ := n.server.activity(); return open <= 4 })
	if resp := writeRequest(t, useful, newRequest(n.url, "lookup", clientTimeout))(); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	silent.Close()
}

// A request with the id of an open request is rejected, and the open one continues. Otherwise one request
// could have two attempts in flight. After the response the id is not accepted again either.
func TestDuplicateRequestID(t *testing.T) {
	release := make(chan struct{})
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		<-release
		return respondWith("200 OK", "", "hits")(c, r, b)
	})
	n := startNodeWithServers(t, a.addr())
	request := newRequest(n.url, "loan", clientTimeout)
	again := func() *http.Request {
		r := newRequest(n.url, "loan", clientTimeout)
		r.Header = request.Header
		return r
	}
	first := writeRequest(t, dial(t, n), request)
	testkit.Eventually(t, "the first request at the server", func() bool { return a.requests.Load() == 1 })
	if resp := writeRequest(t, dial(t, n), again())(); resp.StatusCode != http.StatusConflict {
		t.Errorf("second request: %d", resp.StatusCode)
	}
	close(release)
	if resp := first(); resp.StatusCode != 200 || a.requests.Load() != 1 {
		t.Errorf("first request: %d, %d attempts", resp.StatusCode, a.requests.Load())
	}
	if resp := writeRequest(t, dial(t, n), again())(); resp.StatusCode != http.StatusConflict ||
		a.requests.Load() != 1 {
		t.Errorf("after the response: %d, %d attempts", resp.StatusCode, a.requests.Load())
	}
	if resp := writeRequest(t, dial(t, n), newRequest(n.url, "loan",
		clientTimeout))(); resp.StatusCode != 200 {
		t.Errorf("another id: %d", resp.StatusCode)
	}
}

// A request that was refused has not run, so its client may send it again under the same id.
func TestRefusedRequestIDIsAcceptedAgain(t *testing.T) {
	l := newLoop(clock{time.Now()}, nil, nil)
	c := &call{requestID: "a1", class: &policy.Class{}, commands: make(chan command, 1)}
	for _, cmd := range []command{{refuse: true}, {}} {
		if !l.requestIDs.claim(c.requestID, l.clock.now()) {
			t.Fatalf("before %+v the id is not accepted", cmd)
		}
		l.respond(c, cmd)
		<-c.commands
	}
	if l.requestIDs.claim(c.requestID, l.clock.now()) {
		t.Error("accepted again after a response that is no refusal")
	}
}

// A request that the server rejects with a 4xx status is not retried, and the failure doesn't count against
// the server.
func TestBadRequestIsNotRetried(t *testing.T) {
	a := newTestServer(t, respondWith("400 No", "", ""))
	n := startNodeWithServers(t, a.addr())
	for i := range 5 {
		if resp, _ := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); resp.StatusCode != 400 ||
			int(a.requests.Load()) != i+1 {
			t.Fatalf("%d after %d attempts", resp.StatusCode, a.requests.Load())
		}
	}
}

// Pipelined requests each get one response, in order. The connection of a client that sends only invalid
// requests is closed.
func TestBursts(t *testing.T) {
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		return respondWith("200 OK", "", r.Header.Get("X-Request-Id")+";")(c, r, b)
	})
	n := startNodeWithServers(t, a.addr())
	c := dial(t, n)
	var text, want strings.Builder
	for i := range 300 {
		r := newRequest(n.url, "lookup", clientTimeout)
		r.Header.Set("X-Request-Id", fmt.Sprint(i))
		if i == 299 {
			r.Header.Set("Connection", "close")
		}
		_ = r.Write(&text)
		fmt.Fprintf(&want, "%d;", i)
	}
	go func() { _, _ = io.WriteString(c, text.String()) }()
	br, got := bufio.NewReader(c), ""
	for range 300 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		got += string(body)
	}
	if _, err := br.ReadByte(); got != want.String() || err != io.EOF {
		t.Errorf("%q, then %v", got, err)
	}
	c = dial(t, n)
	bad := strings.Repeat("GET /none HTTP/1.1\r\nX-Request-Id: 1\r\nX-Class: none\r\n\r\n", 50)
	_, _ = io.WriteString(c, bad)
	if all, _ := io.ReadAll(c); strings.Count(string(all), "HTTP/1.1 400 ") != maxBadRequests {
		t.Errorf("%d responses to invalid requests, want %d", strings.Count(string(all), "HTTP/1.1 400 "),
			maxBadRequests)
	}
}

func dial(t *testing.T, n *testNode) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	return c
}

// writeRequest writes a request on a connection and returns a function that reads the response.
func writeRequest(t *testing.T, c net.Conn, r *http.Request) func() *http.Response {
	t.Helper()
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	return func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
}

// During a shutdown open requests are answered, and so are requests that arrive on existing and new
// connections for some time after the signal. Each response, refusals included, has "Connection: close".
func TestShutdownAnswersAllRequests(t *testing.T) {
	release := make(chan struct{})
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		if r.Method == http.MethodPost {
			<-release
		}
		return respondWith("200 OK", "", "hits")(c, r, b)
	})
	n := startNodeWithServers(t, a.addr())
	old, open, idle := dial(t, n), dial(t, n), dial(t, n)
	writeRequest(t, old, newRequest(n.url, "lookup", clientTimeout))()
	writeRequest(t, idle, newRequest(n.url, "lookup", clientTimeout))()
	held := writeRequest(t, open, newRequest(n.url, "loan", clientTimeout))
	testkit.Eventually(t, "the open request at the server", func() bool { return a.requests.Load() == 3 })
	n.requestShutdown()
	testkit.Eventually(t, "the shutdown", n.server.draining.Load)
	fresh := dial(t, n)
	refused := newRequest(n.url, "lookup", clientTimeout)
	again := newRequest(n.url, "lookup", clientTimeout)
	again.Header.Set("X-Request-Id", "again") // the first id is still in use
	refused.Header.Set("X-Request-Id", "refused")
	refused.Header.Set("X-Tier", "tiny")
	// another customer, since the plan belongs to the customer
	refused.Header.Set("Cookie", "key=0000000000000001")
	for what, c := range map[string]struct {
		conn net.Conn
		r    *http.Request
		want int
	}{
		"old connection": {old, again, 200},
		"new connection": {fresh, refused, 429},
	} {
		if resp := writeRequest(t, c.conn, c.r)(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: %d, close %v", what, resp.StatusCode, resp.Close)
		}
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	select {
	case <-n.done:
		t.Error("the shutdown completed with a request open")
	default:
	}
	close(release)
	if resp := held(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("open request: %d, close %v", resp.StatusCode, resp.Close)
	}
	select {
	case err := <-n.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(clientTimeout):
		t.Error("the shutdown did not complete after all requests were answered")
	}
}

// At the connection limit idle client connections are closed, oldest first. Busy ones stay open.
func TestClosesIdleClientsAtLimit(t *testing.T) {
	release := make(chan struct{})
	a := newTestServer(t, func(c net.Conn, r *http.Request, b string) bool {
		<-release
		return respondWith("200 OK", "", "hits")(c, r, b)
	})
	n := startNodeWithServers(t, a.addr())
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no open connection",
		func() bool { open, _ := n.server.activity(); return open == 0 })
	n.server.mu.Lock()
	n.server.maxConns = 2
	n.server.mu.Unlock()
	busy := dial(t, n)
	held := writeRequest(t, busy, newRequest(n.url, "loan", clientTimeout))
	testkit.Eventually(t, "the open request at the server", func() bool { return a.requests.Load() == 1 })
	idle := dial(t, n)
	testkit.Eventually(t, "two connections", func() bool { open, _ := n.server.activity(); return open == 2 })
	dial(t, n)
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection above the limit: %v", err)
	}
	close(release)
	if resp := held(); resp.StatusCode != 200 {
		t.Errorf("busy connection: %d", resp.StatusCode)
	}
}

// A client repeats a request that crossed the close of its idle connection. Processing it here as well
// would execute it twice.
func TestRequestCrossingCloseIsNotProcessed(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	pipe, other := net.Pipe()
	defer other.Close()
	c := n.server.addConn(pipe)
	n.server.closeIdle(0)
	if n.server.markBusy(c) {
		t.Error("a closing connection was marked busy")
	}
	c = n.server.addConn(pipe)
	if !n.server.markBusy(c) {
		t.Error("an open connection could not be marked busy")
	}
	n.server.closeIdle(0)
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	if c.closing {
		t.Error("a busy connection was closed")
	}
}

// Clients that never complete their requests must not use up the descriptors: other clients can still
// connect, and busy connections stay open.
func TestClosesSlowRequestsAtLimit(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	http.DefaultClient.CloseIdleConnections()
	n.server.mu.Lock()
	n.server.maxConns = 4
	n.server.mu.Unlock()
	first := dial(t, n)
	if _, err := first.Write([]byte("GET /lookup HTTP/1.1\r\nHost: a")); err != nil {
		t.Fatal(err)
	}
	for range 12 {
		_, _ = dial(t, n).Write([]byte("GET /lookup HTTP/1.1\r\nHost: a")) // may be closed already
	}
	c := dial(t, n)
	if resp := writeRequest(t, c, newRequest(n.url, "lookup", clientTimeout))(); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	// A read timeout would send a 408 response.
	if got, _ := first.Read(make([]byte, 1)); got != 0 {
		t.Error("the slowest connection was not closed before its read timeout")
	}
}

// Large messages are forwarded unchanged, up to the maximum length of a body.
func TestLargeMessages(t *testing.T) {
	a := newTestServer(t, func(c net.Conn, r *http.Request, body string) bool {
		return respondWith("200 OK", "", body)(c, r, body)
	})
	n := startNodeWithServers(t, a.addr())
	want := strings.Repeat("0123456789abcdef", maxBodyBytes/16)
	r := newRequest(n.url, "loan", clientTimeout)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(want)), maxBodyBytes
	r.Header.Set("X-Padding", strings.Repeat("p", 8<<10))
	if resp, body := doRequest(t, r); resp.StatusCode != 200 || body != want {
		t.Errorf("%d, %d bytes", resp.StatusCode, len(body))
	}
}

// Changes of the server list take effect. While discovery fails, the last list stays in force and calls are
// retried soon.
func TestDiscovery(t *testing.T) {
	a, b := newTestServer(t, respondWith("200 OK", "", "a")), newTestServer(t, respondWith("200 OK", "", "b"))
	first, second := servingTarget("s-00000001", a.addr()), servingTarget("s-00000002", b.addr())
	g := newDiscoveryServer(t, first)
	n := startNode(t, testConfig(t, g.addr))
	serves := func(want string) func() bool {
		return func() bool {
			resp, body := doRequest(t, newRequest(n.url, "lookup", clientTimeout))
			return resp.StatusCode == 200 && body == want
		}
	}
	testkit.Eventually(t, "a response of the first server", serves("a"))
	deleted := first
	deleted.State = "DELETED"
	g.set(false, deleted, second)
	testkit.Eventually(t, "a response of the second server", serves("b"))
	g.set(true, deleted, second)
	calls := g.calls.Load()
	testkit.Eventually(t, "further calls while discovery fails",
		func() bool { return g.calls.Load() > calls+2 })
	if !serves("b")() {
		t.Error("the last list is not in force while discovery fails")
	}
	g.set(false, first, target{UID: "s-00000002", State: "DELETED"})
	testkit.Eventually(t, "the new list after discovery has recovered", serves("a"))
}

// At SIGHUP the open watch ends at once, and the list is fetched from the new address. The address in the
// file applies even if GW_DISCOVERY gave the old one. An invalid file changes nothing and is read again.
func TestReload(t *testing.T) {
	a, b := newTestServer(t, respondWith("200 OK", "", "a")), newTestServer(t, respondWith("200 OK", "", "b"))
	older := newDiscoveryServer(t, servingTarget("s-00000001", a.addr()))
	newer := newDiscoveryServer(t, servingTarget("s-00000002", b.addr()))
	cfg := fileConfig(t, older.addr, "", testSettings)
	path := cfg.Path()
	write := func(discovery string) { writeConfig(t, path, discovery, "", testSettings) }
	n := startNode(t, cfg)
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0","disc`), 0o600); err != nil {
		t.Fatal(err)
	}
	n.hup <- syscall.SIGHUP
	if _, body := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); body != "a" {
		t.Errorf("%q while the new file is unreadable", body)
	}
	write(newer.addr)
	testkit.Eventually(t, "a response of the server that the new discovery lists", func() bool {
		resp, body := doRequest(t, newRequest(n.url, "lookup", clientTimeout))
		return resp.StatusCode == 200 && body == "b"
	})
	calls := older.calls.Load()
	older.set(false, servingTarget("s-00000001", a.addr())) // an open watch would return this
	testkit.Eventually(t, "a watch at the new address", func() bool { return newer.calls.Load() > 1 })
	if _, body := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); body != "b" ||
		older.calls.Load() != calls {
		t.Errorf("%q; %d calls to the old address after the reload", body, older.calls.Load()-calls)
	}
}

// If discovery doesn't answer at the start, the list of the configuration is used.
func TestUsesKnownListWithoutDiscovery(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	cfg := testConfig(t, unusedAddr(t))
	cfg.Current().File.KnownServers = &serverList{Rev: 4, All: true,
		Targets: []target{servingTarget("s-00000001", a.addr())}}
	n := startNode(t, cfg)
	if resp, _ := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
}

// The clock and the start times in the list count from the same epoch.
func TestClock(t *testing.T) {
	c := clock{time.Now()}
	now := c.now()
	if d := time.Since(time.Unix(0, int64(now))); d < -time.Minute || d > time.Minute {
		t.Errorf("%v off Unix time", d)
	}
	if back := c.time(now).Sub(c.anchor); back != now-time.Duration(c.anchor.UnixNano()) {
		t.Errorf("%v", back)
	}
	booted := target{UID: "x", State: "SERVING", BootMS: float64(c.anchor.UnixMilli())}
	if s := booted.Server(); !s.HasStart || now-s.Start < 0 || now-s.Start > time.Minute {
		t.Errorf("%+v", s)
	}
}

// Only datagrams of known edge nodes are received, and only if they are within the size limit.
func TestPeers(t *testing.T) {
	type msg struct {
		from int
		text string
	}
	received := make(chan msg, 10)
	listenUDP := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := listenUDP(), listenUDP()
	to := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	p, err := listenPeers("127.0.0.1:0", []netip.AddrPort{to}, netip.AddrPort{}, func(from int, data []byte) {
		received <- msg{from, string(data)}
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	defer close(done)
	defer p.conn.Close()
	go p.receiveLoop()
	go p.sendLoop(done)
	nodeAddr := p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, d := range []struct {
		c    *net.UDPConn
		text string
	}{{stranger, "hello"}, {peer, strings.Repeat("x", maxDatagramBytes+1)},
		{peer, strings.Repeat("y", maxDatagramBytes)}} {
		if _, err := d.c.WriteToUDPAddrPort([]byte(d.text), nodeAddr); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-received; m.from != 0 || m.text != strings.Repeat("y", maxDatagramBytes) {
		t.Errorf("received %d bytes from %d", len(m.text), m.from)
	}
	p.send(0, make([]byte, maxDatagramBytes+1)) // too long, must not be sent
	p.send(5, []byte("nobody"))
	p.send(-1, []byte("all"))
	_ = peer.SetReadDeadline(time.Now().Add(clientTimeout))
	buf := make([]byte, 1000)
	if n, err := peer.Read(buf); err != nil || string(buf[:n]) != "all" {
		t.Errorf("%q %v", buf[:n], err)
	}
}

// Invalid datagrams of peers are passed to policy, which ignores them.
func TestGarbageFromPeers(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	for _, data := range []string{"", "\x04", "\x03\x00", strings.Repeat("\xff", 256), "\x04" +
		strings.Repeat("\xff", 255)} {
		n.loop.events <- policy.PeerMessage{From: 0, Data: []byte(data)}
		n.loop.events <- policy.PeerMessage{From: 99, Data: []byte(data)}
	}
	if resp, _ := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); resp.StatusCode == 0 {
		t.Error("no response")
	}
}
