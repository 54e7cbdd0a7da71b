package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// The parser must agree with the standard library's about each request that it accepts: the same body and
// the same remaining bytes. The result must not depend on how the bytes are split across reads.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET /lookup?q=1 HTTP/1.1\r\nHost: a\r\nX-Call-Terms: units=1, spread=2\r\n\r\nrest",
		"POST /loan HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcrest",
		"POST /loan HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nrest",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := clientConn{input: stream{src: bytes.NewReader(data)}}
		err := c.readRequest()
		slow := clientConn{input: stream{src: iotest.OneByteReader(bytes.NewReader(data))}}
		if slowErr := slow.readRequest(); (err == nil) != (slowErr == nil) ||
			!bytes.Equal(c.request.body, slow.request.body) {
			t.Fatalf("in one read: %v %q; byte by byte: %v %q", err, c.request.body, slowErr,
				slow.request.body)
		}
		if err != nil {
			return
		}
		if len(c.request.body) > maxBodyBytes {
			t.Fatalf("a body of %d bytes", len(c.request.body))
		}
		br := bufio.NewReader(bytes.NewReader(data))
		r, err := http.ReadRequest(br)
		if err != nil {
			if !strings.Contains(err.Error(), "parse") && !strings.Contains(err.Error(), "method") &&
				!strings.Contains(err.Error(), "Host") {
				t.Fatalf("accepted here, net/http: %v", err)
			}
			return // net/http rejects the target, which is forwarded unchanged
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(body, c.request.body) {
			t.Fatalf("body %q, net/http: %q, %v", c.request.body, body, err)
		}
		want, _ := io.ReadAll(br)
		rest, _ := io.ReadAll(io.MultiReader(bytes.NewReader(c.input.buf[c.input.off:]), c.input.src))
		if !bytes.Equal(rest, want) {
			t.Fatalf("rest %q, net/http: %q", rest, want)
		}
	})
}

// FuzzAnswer compares the parser of responses with the standard library's, as FuzzRequest does for requests.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhits\r\n0\r\n\r\n",
		"HTTP/1.1 204 No\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// This bypasses upstreamConn.Read, which sets deadlines on a socket.
		c := upstreamConn{input: stream{src: bytes.NewReader(data)}}
		status, body, framed, err := c.readResponse()
		if err != nil || !framed {
			return
		}
		br := bufio.NewReader(bytes.NewReader(data))
		for range maxInterimResponses + 1 {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("accepted here, net/http: %v", err)
			}
			want, err := io.ReadAll(resp.Body)
			if resp.StatusCode < 200 {
				continue
			}
			if resp.StatusCode != status || err != nil || !bytes.Equal(want, body) {
				t.Fatalf("%d %q, net/http: %d %q, %v", status, body, resp.StatusCode, want, err)
			}
			return
		}
	})
}

// The buffer grows for a large message, but not beyond its limit, and shrinks after it.
func TestStreamShrinksBuffer(t *testing.T) {
	text := "POST / HTTP/1.1\r\nA: " + strings.Repeat("h", maxHeadBytes-100) + "\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("a", maxBodyBytes) + "b"
	s, h := stream{src: strings.NewReader(text)}, head{}
	if err := s.readHead(&h, ""); err != nil {
		t.Fatal(err)
	}
	if b, err := s.readBody(&h); err != nil || len(b) != maxBodyBytes || cap(s.buf) > maxBufferBytes {
		t.Fatal(len(b), err, cap(s.buf))
	}
	s.discardRead()
	if b, err := s.readN(1); err != nil || string(b) != "b" || cap(s.buf) > 2*minBufferBytes {
		t.Errorf("%q, %v, capacity %d", b, err, cap(s.buf))
	}
}
