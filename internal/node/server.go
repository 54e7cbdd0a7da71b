package node

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
)

const (
	// Timeouts of a client connection.
	firstRequest = 2 * time.Second  // from the accept to the last byte of the first request
	wholeRequest = 2 * time.Second  // from the first to the last byte of a later request
	clientIdle   = 10 * time.Second // between requests
	writeTimeout = 5 * time.Second

	// Delay after a failed accept. It doubles with each further error.
	acceptPause = 5 * time.Millisecond
	acceptMost  = time.Second

	// Limits on invalid input.
	maxEmptyLines = 4                      // skipped ahead of a request
	maxBad        = 3                      // invalid requests in a row after which the connection is closed
	badPause      = 100 * time.Millisecond // delay after each: a single client must not use up the CPU
)

// server is the HTTP server for clients. It reads requests, passes them to the loop, carries out the loop's
// commands and writes one response to each request.
type server struct {
	clock    clock
	gen      atomic.Pointer[config.Generation] // in force
	up       *upstream
	events   chan<- any
	ready    atomic.Bool
	draining atomic.Bool
	tight    atomic.Bool // set when more connections than the limit are open

	mu     sync.Mutex
	most   int // limit on open connections, without those that are being closed
	spare  int // limit on connections that are being closed
	conns  map[*clientConn]struct{}
	shut   int           // number of conns that are being closed
	active time.Duration // when the last request began to be processed
}

// clientConn is the connection of a client.
type clientConn struct {
	net.Conn
	in        stream
	readAhead readAhead
	req       clientRequest
	out       []byte
	bad       int // invalid requests since the last valid one

	// Guarded by the server's mutex.
	state connState
	since time.Duration // start of the state
	good  bool          // has carried a valid request
	probe bool          // has carried a readiness probe
	shut  bool          // is being closed: nothing more is sent, and no request is processed
	// closed is set when the lingering close was cut short because its descriptor was needed.
	closed bool
}

type connState int

const (
	connIdle    connState = iota
	connReading           // part of a request has been received
	connBusy              // a request is being processed
)

// clientRequest is a request as received.
type clientRequest struct {
	head
	method, target []byte
	body           []byte
}

// newServer returns a server for at most so many connections at once, including those that are being closed.
func newServer(c clock, gen *config.Generation, up *upstream, events chan<- any, most int) *server {
	s := &server{clock: c, up: up, events: events, conns: map[*clientConn]struct{}{}}
	s.bound(most)
	s.gen.Store(gen)
	return s
}

// bound divides the limit between open connections and those that are being closed. The caller holds the
// mutex or is the only user.
func (s *server) bound(most int) {
	s.spare = int(lingerPart * float64(most))
	s.most = most - s.spare
}

// keepTo changes the limit on connections. To meet it, idle connections are closed at once, the longest idle
// first, and others after their next response.
func (s *server) keepTo(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(most)
	var idle []*clientConn
	for cc := range s.conns {
		if !cc.shut && cc.state == connIdle {
			idle = append(idle, cc)
		}
	}
	slices.SortFunc(idle, func(a, b *clientConn) int { return cmp.Compare(a.since, b.since) })
	for _, cc := range idle {
		if len(s.conns)-s.shut > s.most {
			s.end(cc)
		}
	}
	s.tight.Store(len(s.conns)-s.shut > s.most)
}

// crowded reports whether a connection must be closed after its response to meet the limit.
func (s *server) crowded() bool {
	if !s.tight.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	over := len(s.conns)-s.shut > s.most
	s.tight.Store(over)
	return over
}

// serve accepts connections until the listener is closed. When the listener's deadline expires, serve first
// accepts the connections that the kernel has queued and then closes the listener itself, since a close would
// reset queued connections. An accept error ends serve only if the listener is unusable. Any other error may
// belong to a single connection that failed before it was accepted, so serve retries after a delay.
func (s *server) serve(ln net.Listener) error {
	last := false
	for pause := acceptPause; ; {
		c, err := ln.Accept()
		switch {
		case err == nil:
			pause = acceptPause
			go s.talk(s.enter(c))
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			d, ok := ln.(interface{ SetDeadline(time.Time) error })
			if last || !ok || d.SetDeadline(time.Now().Add(shutdownFinalAccept)) != nil {
				return ln.Close()
			}
			last = true
			continue
		case among(err, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK):
			return err
		// Out of descriptors or memory.
		case among(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM):
			s.mu.Lock()
			s.shutOne()
			s.closeOldestLingering() // frees a descriptor at once
			s.mu.Unlock()
			pause = acceptPause
		case pause == acceptPause:
			slog.Warn("a connection could not be accepted", "err", err)
		}
		time.Sleep(pause)
		pause = min(2*pause, acceptMost)
	}
}

// among reports whether err is one of list.
func among(err error, list ...error) bool {
	return slices.ContainsFunc(list, func(e error) bool { return errors.Is(err, e) })
}

// enter registers a new connection. At the limit it closes another connection, or the new one if all others
// are busy.
func (s *server) enter(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.conns)-s.shut >= s.most && !s.shutOne()
	cc := &clientConn{Conn: c, since: s.clock.now()}
	cc.in.src = cc
	s.conns[cc] = struct{}{}
	if full {
		s.end(cc)
	}
	return cc
}

// shutOne closes one connection that is not busy. It prefers connections without a valid request so far, then
// the one that has been in its state for the longest time. It returns false if all are busy.
func (s *server) shutOne() bool {
	var least *clientConn
	rank := func(cc *clientConn) int {
		if cc.good {
			return 1
		}
		return 0
	}
	for cc := range s.conns {
		if cc.state == connBusy || cc.shut {
			continue
		}
		if least == nil || rank(cc) < rank(least) || rank(cc) == rank(least) && cc.since < least.since {
			least = cc
		}
	}
	if least != nil {
		s.end(least)
	}
	return least != nil
}

// shutIdle closes the connections that have been idle for at least the given time, and those that have been
// sending a request for stopReading.
func (s *server) shutIdle(least time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		age := now - cc.since
		if !cc.shut && (cc.state == connIdle && age >= least || cc.state == connReading && age >= shutdownReadTimeout) {
			s.end(cc)
		}
	}
}

// state returns the number of connections and the time since the last sign of a client's request: a request
// that was processed, a partial request, or a new connection. Readiness probes don't count, since the
// load balancer in front continues to send them during a shutdown.
func (s *server) state() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.active
	for cc := range s.conns {
		if !cc.shut && (cc.state == connReading || cc.state == connIdle && !cc.good && !cc.probe) {
			last = max(last, cc.since)
		}
	}
	return len(s.conns), s.clock.now() - last
}

// become sets the state of a connection and its read timeout; 0 leaves the read deadline unchanged. It
// returns false if nothing may be read because the connection is being closed.
func (s *server) become(cc *clientConn, state connState, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.shut {
		return false
	}
	cc.state, cc.since = state, s.clock.now()
	return wait == 0 || cc.SetReadDeadline(time.Now().Add(wait)) == nil
}

// take marks a connection as busy. It returns false if the connection is being closed. A client repeats a
// request that crossed the close of its connection, so that request must not be processed here.
func (s *server) take(cc *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.shut {
		return false
	}
	cc.state, cc.good, s.active = connBusy, true, s.clock.now()
	return true
}

// talk serves a connection, one request at a time.
func (s *server) talk(cc *clientConn) {
	defer s.leave(cc)
	whole := time.Duration(0) // firstRequest covers the whole first request
	for wait := firstRequest; ; wait, whole = clientIdle, wholeRequest {
		cc.in.begin()
		if !s.awaitRequest(cc, wait) {
			return // idle timeout, disconnected, or being closed
		}
		if !s.become(cc, connReading, whole) {
			return
		}
		if err := cc.read(); err != nil {
			if status := statusOf(err); status != 0 {
				s.turnAway(cc, status, err)
			}
			return
		}
		if !s.handle(cc) {
			return
		}
	}
}

// awaitRequest waits for the first bytes of a request. It skips empty lines ahead of the request, as RFC
// 9112, section 2.2, asks of servers. A connection on which only such lines were received counts as idle.
// Any further empty line after maxEmptyLines is left to the parser, which rejects it.
func (s *server) awaitRequest(cc *clientConn, wait time.Duration) bool {
	for lines := 0; ; {
		for ; lines < maxEmptyLines && cc.in.dropEmptyLine(); lines++ {
		}
		if cc.in.buffered() > 0 {
			return true
		}
		if !s.become(cc, connIdle, wait) || cc.in.more() != nil {
			return false
		}
	}
}

// read reads a whole request into cc.req.
func (cc *clientConn) read() error {
	r := &cc.req
	if err := cc.in.readHead(&r.head, ""); err != nil {
		return err
	}
	if err := r.startLine(); err != nil {
		return err
	}
	if _, n := r.one("Expect"); n > 0 && r.length > cc.in.buffered() {
		if err := cc.write(append(cc.out[:0], "HTTP/1.1 100 Continue\r\n\r\n"...)); err != nil {
			return err
		}
	}
	var err error
	r.body, err = cc.in.readBody(&r.head)
	return err
}

// statusOf returns the status of the response to a request that can't be read, or 0 for no response.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errLongBody):
		return 413
	case errors.Is(err, errLongHead):
		return 431
	case errors.Is(err, errSyntax), errors.Is(err, errFraming):
		return 400
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	}
	return 0
}

// turnAway answers an invalid request, after which the connection is closed.
func (s *server) turnAway(cc *clientConn, status int, err error) {
	if s.become(cc, connReading, 0) { // false: it is being closed already
		_ = s.answer(cc, status, "Connection: close\r\n", err.Error())
	}
}

// answer writes a response with a single write.
func (s *server) answer(cc *clientConn, status int, fields, body string) error {
	return cc.write(append(appendHead(cc.out[:0], status, fields, len(body)), body...))
}

// appendHead appends the head of a response. Each of fields ends with CRLF.
func appendHead(b []byte, status int, fields string, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable"}

// write writes b, whose memory is reused for the next response.
func (cc *clientConn) write(b []byte) error {
	if cc.out = b; cap(b) > 4*minBuf {
		cc.out = nil // frees a large buffer
	}
	if err := cc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := cc.Write(b)
	return err
}

// handle processes a request that has been read. It returns false if the connection must be closed.
func (s *server) handle(cc *clientConn) bool {
	r := &cc.req
	if path(r.target) == "/healthz" && string(r.method) == "GET" {
		s.mu.Lock()
		cc.probe = true
		s.mu.Unlock()
		if !s.ready.Load() || s.draining.Load() {
			return s.reply(cc, 503, "", "not ready")
		}
		return s.reply(cc, 200, "", "")
	}
	c, err := s.parse(r)
	if err != nil {
		return s.bad(cc, 400, err.Error())
	}
	if !s.take(cc) {
		return false
	}
	c.client = cc
	cc.readAhead.await()
	s.events <- c
	for cmd := range c.cmd {
		if cmd.attempt == nil {
			return s.final(cc, cmd)
		}
		res := s.up.do(cmd.attempt, r)
		s.events <- outcome{c, cmd.attempt, res}
		if res.code == policy.OK {
			cc.bad = 0
			fields := ""
			if len(res.contentType) > 0 {
				fields = "Content-Type: " + res.contentType + "\r\n"
			}
			return s.reply(cc, 200, fields, res.body)
		}
	}
	return false
}

// reply writes the response to a request. It returns false if the connection must be closed.
func (s *server) reply(cc *clientConn, status int, fields, body string) bool {
	cc.readAhead.answered()
	over := s.draining.Load() || cc.req.over() || s.crowded()
	if over {
		fields += "Connection: close\r\n"
	}
	return s.answer(cc, status, fields, body) == nil && !over
}

// bad answers an invalid request at once and delays the next one. After maxBad invalid requests in a row the
// connection is closed. It returns false if the connection must be closed.
func (s *server) bad(cc *clientConn, status int, why string) bool {
	if cc.bad++; cc.bad < maxBad {
		on := s.reply(cc, status, "", why)
		time.Sleep(badPause)
		return on
	}
	s.turnAway(cc, status, errors.New(why))
	return false
}

// final writes the response to a request that was not served successfully.
func (s *server) final(cc *clientConn, cmd command) bool {
	switch {
	case cmd.bad != 0:
		return s.bad(cc, cmd.bad, "this request can't be used")
	case !cmd.refuse:
		cc.bad = 0
		return s.reply(cc, 502, "", "failed")
	}
	cc.bad = 0
	fields := ""
	if cmd.retryAfter > 0 {
		fields = "Retry-After: " + strconv.FormatFloat(cmd.retryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	return s.reply(cc, 429, fields, "refused")
}
