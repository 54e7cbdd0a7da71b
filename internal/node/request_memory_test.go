package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/testkit"
)

// loanOf returns the text of a request of class loan with a body of n bytes.
func loanOf(id string, n int) string {
	return fmt.Sprintf("POST /loan HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: loan\r\nX-Tier: town\r\n"+
		"Cookie: key=00000000b4d65521\r\nX-Deadline-Ms: 5000\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s",
		id, id, n, strings.Repeat("x", n))
}

// sendText opens a connection and sends text on it.
func sendText(t *testing.T, n *testNode, text string) net.Conn {
	t.Helper()
	c := dial(t, n)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// setRequestMemory sets the memory for requests of further connections.
func (n *testNode) setRequestMemory(bytes int64) {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	n.server.memory = memory.NewPool(bytes)
	n.server.readAhead = newReadAheadMemory(n.server.memory)
}

// readStatus reads a response and returns its status and headers.
func readStatus(t *testing.T, c net.Conn) (int, http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header
}

// Guards against large requests that are refused for good while slow clients hold all memory: after a short
// time the slowest gives way. It is answered at once, as refused and with Retry-After.
func TestSlowRequestGivesWay(t *testing.T) {
	n := startNodeWithServers(t, newTestServer(t, respondWith("200 OK", "", "hits")).addr())
	n.setRequestMemory(2 * maxBodyBytes)
	var slow []net.Conn
	for i := range 2 {
		text := loanOf(fmt.Sprint("slow", i), maxBodyBytes)
		slow = append(slow, sendText(t, n, text[:len(text)-1]))
		testkit.Eventually(t, "memory reserved", func() bool {
			return n.server.memory.Usage().Reserved >= int64((i+1)*maxBodyBytes)
		})
	}
	time.Sleep(slowRequestAge)
	if status, _ := readStatus(t, sendText(t, n, loanOf("whole", maxBodyBytes))); status != 200 {
		t.Errorf("status %d of a whole request", status)
	}
	status, header := readStatus(t, slow[0])
	if status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v of the slowest request", status, header)
	}
	if _, err := io.WriteString(slow[1], "x"); err != nil {
		t.Fatal(err)
	}
	if status, _ := readStatus(t, slow[1]); status != 200 {
		t.Errorf("status %d of the other slow request", status)
	}
	testkit.Eventually(t, "all memory released", func() bool { return n.server.memory.Usage().Reserved == 0 })
}

// A request that finds no memory is refused within memoryWait, small requests are served meanwhile, and a
// request that waits gets memory that is released.
func TestRequestWithoutMemory(t *testing.T) {
	n := startNodeWithServers(t, newTestServer(t, respondWith("200 OK", "", "hits")).addr())
	n.setRequestMemory(maxBodyBytes + 1)
	if !n.server.memory.TryReserve(2) {
		t.Fatal("nothing reserved")
	}
	status, header := readStatus(t, sendText(t, n, loanOf("large", maxBodyBytes)))
	if status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v", status, header)
	}
	if status, _ := readStatus(t, sendText(t, n, loanOf("small", 100))); status != 200 {
		t.Errorf("status %d of a small request", status)
	}
	waiting := sendText(t, n, loanOf("waits", maxBodyBytes))
	time.Sleep(memoryWait / 4)
	n.server.memory.Release(2)
	if status, _ := readStatus(t, waiting); status != 200 {
		t.Errorf("status %d of a request that waited", status)
	}
	testkit.Eventually(t, "all memory released", func() bool { return n.server.memory.Usage().Reserved == 0 })
}

// Guards against idle connections that keep the memory of their last message: buffers, bodies and header
// fields.
func TestIdleConnectionsKeepLittle(t *testing.T) {
	large := strings.Repeat("y", maxBodyBytes)
	a := newTestServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s",
			strings.Repeat("h", maxHeadBytes/2), len(large), large)
		return true
	})
	n := startNodeWithServers(t, a.addr())
	text := loanOf("large", maxBodyBytes)
	text = strings.Replace(text, "Host: a", "Host: a\r\n"+strings.Repeat("B:\r\n", 60)+"A: "+strings.Repeat("h", maxHeadBytes/2), 1)
	c := sendText(t, n, text)
	if status, _ := readStatus(t, c); status != 200 {
		t.Fatalf("status %d", status)
	}
	testkit.Eventually(t, "an idle connection to the server, and all memory released", func() bool {
		n.upstream.mu.Lock()
		defer n.upstream.mu.Unlock()
		if len(n.upstream.idle[1]) == 0 {
			return false
		}
		return n.server.memory.Usage().Reserved == 0 && n.upstream.memory.Usage().Reserved == 0
	})
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	n.upstream.mu.Lock()
	defer n.upstream.mu.Unlock()
	idle := n.upstream.idle[1][0]
	if cap(idle.input.buf) > smallBufferBytes || !isEmpty(&idle.head) {
		t.Errorf("the server's connection keeps a buffer of %d bytes or its header", cap(idle.input.buf))
	}
	for cc := range n.server.conns {
		if cc.state != connIdle {
			continue
		}
		if cap(cc.input.buf) > smallBufferBytes || !isEmpty(&cc.request.head) || cc.request.body != nil ||
			cap(cc.writeBuf) > smallBufferBytes {
			t.Errorf("the client's connection keeps a buffer of %d bytes, its header, body or response", cap(cc.input.buf))
		}
	}
	if n.server.memory.Usage().Peak < maxBodyBytes || n.upstream.memory.Usage().Peak < maxBodyBytes {
		t.Error("large messages were not counted")
	}
}

// isEmpty reports whether a head keeps no part of a buffer.
func isEmpty(h *head) bool {
	return h.text == nil && h.startLine == nil && len(h.fields) == 0
}

// Guards against a response that is lost because others hold all memory: it waits in the socket until there is
// some, and is served.
func TestResponseWaitsForMemory(t *testing.T) {
	a := newTestServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("y", maxBodyBytes))
		return true
	})
	u := newTestUpstream(a.addr())
	u.memory = memory.NewPool(maxBodyBytes + 1)
	if !u.memory.TryReserve(2) {
		t.Fatal("nothing reserved")
	}
	_, do := u.newAttempt(clientTimeout)
	time.AfterFunc(2*responseStallTimeout, func() { u.memory.Release(2) })
	r, body := do()
	if len(body) != maxBodyBytes || r.reserved != maxBodyBytes {
		t.Errorf("code %d, a body of %d bytes, %d reserved", r.code, len(body), r.reserved)
	}
	u.memory.Release(r.reserved)
	if !u.memory.TryReserve(2) {
		t.Fatal("nothing reserved")
	}
	at, do := u.newAttempt(time.Hour)
	time.AfterFunc(responseStallTimeout, at.cancel)
	if r, _ := do(); r.code.NeverRan() || u.memory.Usage().Reserved != 2 {
		t.Errorf("cancelled while it waits: code %d, %d bytes reserved", r.code, u.memory.Usage().Reserved)
	}
}

// Guards against errors that repeat a long header field, escaped to four times its size, in responses that
// their clients don't read.
func TestErrorsAreShort(t *testing.T) {
	n := startNodeWithServers(t, newTestServer(t, respondWith("200 OK", "", "hits")).addr())
	long := strings.Repeat("\x80", maxHeadBytes/2)
	for field, text := range map[string]string{
		"X-Tier":       strings.Replace(loanOf("1", 0), "X-Tier: town", "X-Tier: "+long, 1),
		"X-Class":      strings.Replace(loanOf("2", 0), "X-Class: loan", "X-Class: "+long, 1),
		"X-Call-Terms": strings.Replace(loanOf("3", 0), "X-Class: loan", "X-Class: loan\r\nX-Call-Terms: "+long+"=x", 1),
	} {
		resp, err := http.ReadResponse(bufio.NewReader(sendText(t, n, text)), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 400 || !strings.HasPrefix(string(body), field) || len(body) > 1000 {
			t.Errorf("%s: status %d, %d bytes, %v", field, resp.StatusCode, len(body), err)
		}
	}
}
