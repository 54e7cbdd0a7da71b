package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"valvering.example/valvering/policy"
)

// crossedConn is a connection on which bytes of the other end arrive between the last look at it
// and the write of a request.
type crossedConn struct {
	*net.TCPConn
	cross func()
}

func (c crossedConn) Write(b []byte) (int, error) {
	c.cross()
	return c.TCPConn.Write(b)
}

// A server sends a second answer on a connection that has rested, in the microseconds between the
// look that finds nothing there and the write of the next request. What comes then is taken for
// that request's answer: its client gets another's body.
func TestBytesBetweenTheLookAndTheWrite(t *testing.T) {
	other := make(chan net.Conn, 1)
	first := true
	a := newApp(t, func(c net.Conn, _ *http.Request, _ string) bool {
		if first {
			first = false
			other <- c
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits")
		return err == nil
	})
	u := pool(a.addr())
	_, do := u.try(patience)
	if r, body := do(); r.code != policy.OK || body != "hits" {
		t.Fatalf("code %d, %q", r.code, body)
	}
	server := <-other
	idle := u.idle[1][0]
	idle.Conn = crossedConn{idle.Conn.(*net.TCPConn), func() {
		fmt.Fprint(server, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
	}}
	_, do = u.try(patience)
	if r, body := do(); r.code == policy.OK && body != "hits" {
		t.Errorf("the request was answered %q, which the server had sent before it", body)
	}
}
