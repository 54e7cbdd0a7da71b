package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"valvering.example/valvering/policy"
)

// interceptedConn is a connection on which the server's bytes arrive between the check for unsolicited
// bytes and the write of a request.
type interceptedConn struct {
	*net.TCPConn
	beforeWrite func()
}

func (c interceptedConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.TCPConn.Write(b)
}

// A server sends a second response on an idle connection, in the microseconds between the check for
// unsolicited bytes and the write of the next request. These bytes must not become the response to that
// request: its client would get the body of another response.
func TestBytesBetweenTheLookAndTheWrite(t *testing.T) {
	other := make(chan net.Conn, 1)
	first := true
	a := newTestServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		if first {
			first = false
			other <- c
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits")
		return err == nil
	})
	u := newTestUpstream(a.addr())
	_, do := u.newAttempt(clientTimeout)
	if r, body := do(); r.code != policy.OK || body != "hits" {
		t.Fatalf("code %d, %q", r.code, body)
	}
	server := <-other
	idle := u.idle[1][0]
	idle.Conn = interceptedConn{idle.Conn.(*net.TCPConn), func() {
		fmt.Fprint(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
	}}
	_, do = u.newAttempt(clientTimeout)
	if r, body := do(); r.code == policy.OK && body != "hits" {
		t.Errorf("the response is %q, which the server had sent before the request", body)
	}
}
