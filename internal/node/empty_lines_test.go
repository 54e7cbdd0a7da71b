package node

import (
	"bytes"
	"net/http"
	"testing"
	"time"
)

// Servers should ignore empty lines ahead of a request (RFC 9112, section 2.2): some clients send one after
// a body without counting it in the length. Without that, such a client gets 400 for its next request, or
// an unexpected 408 if it idles after the empty line.
func TestEmptyLinesAheadOfARequest(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNodeWithServers(t, a.addr())
	c := dial(t, n)
	for _, emptyLines := range []string{"\r\n", "\r\n\r\n"} {
		if _, err := c.Write([]byte(emptyLines)); err != nil {
			t.Fatal(err)
		}
		if resp := writeRequest(t, c, newRequest(n.url, "lookup",
			clientTimeout))(); resp.StatusCode != http.StatusOK {
			t.Errorf("%q: status %d", emptyLines, resp.StatusCode)
		}
	}
	if _, err := c.Write([]byte("\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(requestTimeout + requestTimeout/2))
	var b [64]byte
	if got, err := c.Read(b[:]); got > 0 || !isTimeout(err) {
		t.Errorf("a client that idles after an empty line got %q, %v", b[:got], err)
	}
}

// More empty lines than maxEmptyLines are rejected.
func TestManyEmptyLinesAreNoRequest(t *testing.T) {
	n := startNodeWithServers(t, newTestServer(t, respondWith("200 OK", "", "hits")).addr())
	c := dial(t, n)
	if _, err := c.Write(bytes.Repeat([]byte("\r\n"), maxEmptyLines+1)); err != nil {
		t.Fatal(err)
	}
	if resp := writeRequest(t, c, newRequest(n.url, "lookup",
		clientTimeout))(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", resp.StatusCode)
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
