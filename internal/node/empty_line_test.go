package node

import (
	"bytes"
	"net/http"
	"testing"
	"time"
)

// HTTP/1.1 asks servers to pass over an empty line ahead of a request (RFC 9112, section 2.2):
// some clients end a body with one that its length does not count. Such a client was answered 400
// with its next request, and one that rested behind the empty line got a 408 it had not asked for.
func TestEmptyLinesAheadOfARequest(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "hits"))
	n := nodeWith(t, a.addr())
	c := dial(t, n)
	for _, ahead := range []string{"\r\n", "\r\n\r\n"} {
		if _, err := c.Write([]byte(ahead)); err != nil {
			t.Fatal(err)
		}
		if resp := send(t, c, request(n.url, "lookup", patience))(); resp.StatusCode != http.StatusOK {
			t.Errorf("%q: answered %d", ahead, resp.StatusCode)
		}
	}
	if _, err := c.Write([]byte("\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout + requestTimeout/2))
	var b [64]byte
	if got, err := c.Read(b[:]); got > 0 || !isTimeout(err) {
		t.Errorf("a client that rests behind an empty line got %q, %v", b[:got], err)
	}
}

// No more of them are passed over than a client can have a reason for.
func TestManyEmptyLinesAreNoRequest(t *testing.T) {
	n := nodeWith(t, newApp(t, answer("200 OK", "", "hits")).addr())
	c := dial(t, n)
	if _, err := c.Write(bytes.Repeat([]byte("\r\n"), maxEmptyLines+1)); err != nil {
		t.Fatal(err)
	}
	if resp := send(t, c, request(n.url, "lookup", patience))(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
