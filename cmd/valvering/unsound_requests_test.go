package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// unsoundRequest is a request that can't be served, and how it differs from a valid one.
type unsoundRequest struct {
	name string
	edit func(valid string) string
}

// replacing returns an edit that replaces a part of a valid request.
func replacing(old, replacement string) func(string) string {
	return func(valid string) string { return strings.Replace(valid, old, replacement, 1) }
}

// adding returns an edit that adds header lines.
func adding(lines string) func(string) string {
	return replacing("\r\nX-Class", "\r\n"+lines+"X-Class")
}

var unsoundRequests = []unsoundRequest{
	{"no host", replacing("Host: app\r\n", "")},
	{"two hosts", adding("Host: app\r\n")},
	{"a host with a blank", replacing("Host: app", "Host: a b")},
	{"a host with a path", replacing("Host: app", "Host: app/x")},
	{"no version", replacing(" HTTP/1.1", "")},
	{"version 2.0", replacing("HTTP/1.1", "HTTP/2.0")},
	{"version 1.2", replacing("HTTP/1.1", "HTTP/1.2")},
	{"version in lower case", replacing("HTTP/1.1", "http/1.1")},
	{"a blank behind the version", replacing("HTTP/1.1", "HTTP/1.1 ")},
	{"two blanks", replacing(" HTTP/1.1", "  HTTP/1.1")},
	{"a tab", replacing(" HTTP/1.1", "\tHTTP/1.1")},
	{"lines that end with LF", func(s string) string { return strings.ReplaceAll(s, "\r\n", "\n") }},
	{"a head that ends with LF", replacing("\r\n\r\n", "\r\n\n")},
	{"a folded line", adding("X-A: b\r\n c\r\n")},
	{"a blank before the colon", replacing("X-Tier:", "X-Tier :")},
	{"a field without a name", adding(": b\r\n")},
	{"a field without a colon", adding("X-A\r\n")},
	{"a control character", adding("X-A: a\x00b\r\n")},
	{"a name with a bracket", adding("X(A): b\r\n")},
	{"a fragment", replacing(" HTTP/1.1", "#x HTTP/1.1")},
	{"a fragment behind a path", replacing(" HTTP/1.1", "/a#x HTTP/1.1")},
	{"a fragment behind a query", replacing(" HTTP/1.1", "?a=1#x HTTP/1.1")},
	{"an escape without digits", replacing(" HTTP/1.1", "/%zz HTTP/1.1")},
	{"half an escape", replacing(" HTTP/1.1", "/%4 HTTP/1.1")},
	{"a way out of the class", replacing(" HTTP/1.1", "/../pinjam HTTP/1.1")},
	{"an escaped way out of the class", replacing(" HTTP/1.1", "/%2E%2e/pinjam HTTP/1.1")},
	{"a segment of one dot", replacing(" HTTP/1.1", "/. HTTP/1.1")},
	{"a backslash", replacing(" HTTP/1.1", "/a\\b HTTP/1.1")},
	{"an absolute target", func(s string) string { return strings.Replace(s, " /", " http://app/", 1) }},
	{"two classes", func(s string) string { return adding(line(s, "X-Class: "))(s) }},
	{"two ids", adding("X-Request-Id: 77\r\n")},
	{"no id", func(s string) string { return strings.Replace(s, line(s, "X-Request-Id: "), "", 1) }},
	{"an empty id", func(s string) string { return strings.Replace(s, line(s, "X-Request-Id: "), "X-Request-Id:\r\n", 1) }},
	{"an id with a blank", func(s string) string {
		return strings.Replace(s, line(s, "X-Request-Id: "), "X-Request-Id: a b\r\n", 1)
	}},
	{"an unknown class", replacing("X-Class: ", "X-Class: x")},
	{"a class unlike the path", replacing(" /", " /x")},
	{"an unknown plan", replacing("dasar", "hantu")},
	{"no customer", replacing("Cookie: key=", "Cookie: kex=")},
	{"a customer beyond 33 bits", replacing("key=0000000000000007", "key=0000000200000007")},
	{"a customer of 15 digits", replacing("key=0", "key=")},
	{"two customers", replacing("key=", "key=0000000000000001; key=")},
	{"no deadline", replacing("X-Deadline-Ms: 2000\r\n", "")},
	{"a negative deadline", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: -5")},
	{"a deadline of 0", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: 0")},
	{"a signed deadline", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: +2000")},
	{"a deadline with a fraction", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: 2000.5")},
	{"a deadline with an exponent", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: 2e3")},
	{"a deadline with a unit", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: 2000ms")},
	{"a deadline beyond the class's", replacing("X-Deadline-Ms: 2000", "X-Deadline-Ms: 99999999")},
	{"units out of range", adding("X-Call-Terms: units=7,spread=1,first=0\r\n")},
	{"units of 0", adding("X-Call-Terms: units=0,spread=1,first=0\r\n")},
	{"units that are no number", adding("X-Call-Terms: units=two,spread=1,first=0\r\n")},
	{"units with a fraction", adding("X-Call-Terms: units=1.5,spread=1,first=0\r\n")},
	{"a set out of range", adding("X-Call-Terms: units=1,spread=2,first=0\r\n")},
	{"a first beyond the set", adding("X-Call-Terms: units=1,spread=1,first=1\r\n")},
	{"units twice", adding("X-Call-Terms: units=1,units=2\r\n")},
	{"terms without a value", adding("X-Call-Terms: units\r\n")},
	{"terms that end with a comma", adding("X-Call-Terms: units=1,\r\n")},
	{"another method", func(s string) string { return "PUT" + s[strings.Index(s, " "):] }},
	{"a method in lower case", func(s string) string {
		i := strings.Index(s, " ")
		return strings.ToLower(s[:i]) + s[i:]
	}},
	{"a negative length", framed("Content-Length: -2\r\n", "{}")},
	{"a signed length", framed("Content-Length: +2\r\n", "{}")},
	{"a length that is no number", framed("Content-Length: two\r\n", "{}")},
	{"a hexadecimal length", framed("Content-Length: 0x2\r\n", "{}")},
	{"a list of lengths", framed("Content-Length: 2, 2\r\n", "{}")},
	{"two lengths", framed("Content-Length: 2\r\nContent-Length: 2\r\n", "{}")},
	{"an empty length", framed("Content-Length:\r\n", "{}")},
	{"a huge length", framed("Content-Length: 99999999999999999999\r\n", "{}")},
	{"a body of 60 MB", framed("Content-Length: 62914560\r\n", "{}")},
	{"length and coding", framed("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")},
	{"coding and length", framed("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "0\r\n\r\n")},
	{"an unknown coding", framed("Transfer-Encoding: gzip\r\n", "0\r\n\r\n")},
	{"two codings", framed("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")},
	{"chunked twice", framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")},
	{"a negative chunk", framed("Transfer-Encoding: chunked\r\n", "-1\r\nx\r\n0\r\n\r\n")},
	{"a chunk size with 0x", framed("Transfer-Encoding: chunked\r\n", "0x1\r\nx\r\n0\r\n\r\n")},
	{"a huge chunk", framed("Transfer-Encoding: chunked\r\n", "ffffffffffffffff1\r\nx\r\n0\r\n\r\n")},
	{"a chunk longer than its size", framed("Transfer-Encoding: chunked\r\n", "1\r\nxy\r\n0\r\n\r\n")},
	{"chunk lines that end with LF", framed("Transfer-Encoding: chunked\r\n", "1\nx\n0\n\n")},
	{"a trailer without a colon", framed("Transfer-Encoding: chunked\r\n", "0\r\nabc\r\n\r\n")},
	{"a trailer with a blank in its name", framed("Transfer-Encoding: chunked\r\n", "0\r\na b: c\r\n\r\n")},
	{"a chunk extension with LF", framed("Transfer-Encoding: chunked\r\n", "1;a\nb\r\nx\r\n0\r\n\r\n")},
	{"chunked with version 1.0", func(s string) string {
		return strings.Replace(framed("Transfer-Encoding: chunked\r\n", "0\r\n\r\n")(s), "HTTP/1.1", "HTTP/1.0", 1)
	}},
	{"TLS", func(string) string { return "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" }},
}

// framed returns an edit that replaces the framing and the body.
func framed(fields, body string) func(string) string {
	return func(valid string) string {
		head, _, _ := strings.Cut(valid, "\r\n\r\n")
		return strings.Replace(head, "\r\nContent-Length: 2", "", 1) + "\r\n" + fields + "\r\n" + body
	}
}

// line returns the whole header line that begins with prefix.
func line(message, prefix string) string {
	_, rest, _ := strings.Cut(message, prefix)
	value, _, _ := strings.Cut(rest, "\r\n")
	return prefix + value + "\r\n"
}

// recordingServer answers 200 to whatever a connection brings, and keeps it.
type recordingServer struct {
	net.Listener
	mu       sync.Mutex
	received strings.Builder
}

func newRecordingServer(t *testing.T) *recordingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &recordingServer{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(c)
		}
	}()
	return s
}

func (s *recordingServer) answer(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received.Write(buf[:n])
		s.mu.Unlock()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
			return
		}
	}
}

func (s *recordingServer) hasReceived(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(s.received.String(), text)
}

// Guards against a request that is not sound being served, or sent to a server, as if it were sound.
func TestUnsoundRequestsAreNotServed(t *testing.T) {
	s, server := newDeployment(t), newRecordingServer(t)
	s.setServers([]string{(&testServer{Listener: server}).line(1, 0)})
	s.write(`{"name":"dasar"}`)
	s.start()
	for _, class := range []string{"katalog", "perpanjang"} {
		for i, r := range unsoundRequests {
			id := fmt.Sprintf("%s-%d-", class, i)
			message := r.edit(soundRequest(class, id))
			if status := s.dialClient().exchange(t, message); status != 0 && status < 400 {
				t.Errorf("%s, %s: status %d", class, r.name, status)
			}
			if server.hasReceived(id) {
				t.Errorf("%s, %s: sent to a server", class, r.name)
			}
		}
		if status := s.dialClient().exchange(t, soundRequest(class, class)); status != http.StatusOK ||
			!server.hasReceived(class) {
			t.Errorf("a valid request of class %s got status %d", class, status)
		}
	}
}

// Guards against a request that arrived in part being served: cut off at any byte, by a client that then closes its
// connection or shuts down sending.
func TestIncompleteRequestsAreNotServed(t *testing.T) {
	s, server := newDeployment(t), newRecordingServer(t)
	s.setServers([]string{(&testServer{Listener: server}).line(1, 0)})
	s.write(`{"name":"dasar"}`)
	s.start()
	sized := soundRequest("perpanjang", "id-sized-")
	for name, whole := range map[string]string{
		"sized":   sized,
		"get":     soundRequest("katalog", "id-get-"),
		"chunked": framed("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\nA: b\r\n\r\n")(strings.Replace(sized, "id-sized-", "id-chunked-", 1)),
	} {
		for cut := 1; cut < len(whole); cut++ {
			c := s.dialClient()
			if _, err := io.WriteString(c, whole[:cut]); err != nil {
				t.Fatal(err)
			}
			if cut%2 == 0 {
				c.Close()
				continue
			}
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			if resp, err := http.ReadResponse(c.in, nil); err == nil && resp.StatusCode < 400 {
				t.Errorf("%s, cut off at byte %d: status %d", name, cut, resp.StatusCode)
			}
			c.Close()
		}
		if server.hasReceived("id-" + name) {
			t.Errorf("%s: an incomplete request was sent to a server", name)
		}
	}
	if status := s.dialClient().exchange(t, sized); status != http.StatusOK || !server.hasReceived("id-sized-") {
		t.Errorf("a whole request got status %d", status)
	}
}
