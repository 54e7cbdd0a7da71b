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
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/policy"
)

const (
	// Timeouts of a client connection.
	firstRequestTimeout = 2 * time.Second  // from the accept to the last byte of the first request
	requestTimeout      = 2 * time.Second  // from the first to the last byte of a later request
	clientIdleTimeout   = 10 * time.Second // between requests
	writeTimeout        = 5 * time.Second

	// Delay after a failed accept. It doubles with each further error.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second

	// Limits on invalid input.
	maxEmptyLines   = 4                      // skipped ahead of a request
	maxBadRequests  = 3                      // invalid requests in a row after which the connection is closed
	badRequestDelay = 100 * time.Millisecond // delay after each: a single client must not use up the CPU
)

// httpServer is the HTTP server for clients. It reads requests, passes them to the loop, carries out the
// loop's commands and writes one response to each request.
type httpServer struct {
	clock      clock
	generation atomic.Pointer[config.Generation] // in force
	upstream   *upstream
	memory     *memory.Pool // for requests; nil: no limit
	events     chan<- any
	ready      atomic.Bool
	draining   atomic.Bool
	overLimit  atomic.Bool // set when more connections than the limit are open

	mu           sync.Mutex
	maxConns     int // limit on open connections, without those that are being closed
	maxClosing   int // limit on connections that are being closed
	conns        map[*clientConn]struct{}
	closingConns int           // number of conns that are being closed
	lastRequest  time.Duration // when the last request began to be processed
}

// clientConn is the connection of a client.
type clientConn struct {
	net.Conn
	input       stream
	readAhead   readAhead
	request     clientRequest
	writeBuf    []byte
	badRequests int          // invalid requests since the last valid one
	memory      *memory.Pool // for requests; nil: no limit
	server      *httpServer

	// Guarded by the server's mutex.
	state          connState
	stateSince     time.Duration // start of the state
	carriedRequest bool          // has carried a valid request
	carriedProbe   bool          // has carried a readiness probe
	closing        bool          // is being closed: nothing more is sent, and no request is processed
	reserved       int           // bytes of memory reserved for the request
	displaced      bool          // its request was too slow and gave way to another one that needed memory
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

// reset drops the values, which refer to a read buffer.
func (r *clientRequest) reset() {
	r.head.reset()
	r.method, r.target, r.body = nil, nil, nil
}

// newHTTPServer returns a server for at most limit connections at once, including those that are being
// closed.
func newHTTPServer(c clock, generation *config.Generation, up *upstream, events chan<- any,
	limit int, requests *memory.Pool) *httpServer {
	s := &httpServer{clock: c, upstream: up, events: events, memory: requests,
		conns: map[*clientConn]struct{}{}}
	s.divideLimit(limit)
	s.generation.Store(generation)
	return s
}

// divideLimit divides the limit between open connections and those that are being closed. The caller holds
// the mutex or is the only user.
func (s *httpServer) divideLimit(limit int) {
	s.maxClosing = int(lingerShare * float64(limit))
	s.maxConns = limit - s.maxClosing
}

// setLimit changes the limit on connections. To meet it, idle connections are closed at once, the longest
// idle first, and others after their next response.
func (s *httpServer) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divideLimit(limit)
	var idle []*clientConn
	for cc := range s.conns {
		if !cc.closing && cc.state == connIdle {
			idle = append(idle, cc)
		}
	}
	slices.SortFunc(idle, func(a, b *clientConn) int { return cmp.Compare(a.stateSince, b.stateSince) })
	for _, cc := range idle {
		if len(s.conns)-s.closingConns > s.maxConns {
			s.beginClose(cc)
		}
	}
	s.overLimit.Store(len(s.conns)-s.closingConns > s.maxConns)
}

// exceedsLimit reports whether a connection must be closed after its response to meet the limit.
func (s *httpServer) exceedsLimit() bool {
	if !s.overLimit.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	over := len(s.conns)-s.closingConns > s.maxConns
	s.overLimit.Store(over)
	return over
}

// serve accepts connections until the listener is closed. When the listener's deadline expires, serve first
// accepts the connections that the kernel has queued and then closes the listener itself, since a close would
// reset queued connections. An accept error ends serve only if the listener is unusable. Any other error may
// belong to a single connection that failed before it was accepted, so serve retries after a delay.
func (s *httpServer) serve(ln net.Listener) error {
	finalAccepts := false
	for pause := minAcceptDelay; ; {
		c, err := ln.Accept()
		switch {
		case err == nil:
			pause = minAcceptDelay
			go s.serveConn(s.addConn(c))
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			d, ok := ln.(interface{ SetDeadline(time.Time) error })
			if finalAccepts || !ok || d.SetDeadline(time.Now().Add(shutdownFinalAccept)) != nil {
				return ln.Close()
			}
			finalAccepts = true
			continue
		case isAny(err, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK):
			return err
		// Out of descriptors or memory.
		case isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM):
			s.mu.Lock()
			s.closeLeastUseful()
			s.closeOldestLingering() // frees a descriptor at once
			s.mu.Unlock()
			pause = minAcceptDelay
		case pause == minAcceptDelay:
			slog.Warn("a connection could not be accepted", "err", err)
		}
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptDelay)
	}
}

// isAny reports whether err is one of list.
func isAny(err error, list ...error) bool {
	return slices.ContainsFunc(list, func(e error) bool { return errors.Is(err, e) })
}

// addConn registers a new connection. At the limit it closes another connection, or the new one if all others
// are busy.
func (s *httpServer) addConn(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.conns)-s.closingConns >= s.maxConns && !s.closeLeastUseful()
	cc := &clientConn{Conn: c, stateSince: s.clock.now(), memory: s.memory, server: s}
	cc.input.src, cc.input.memory = cc, cc
	s.conns[cc] = struct{}{}
	if full {
		s.beginClose(cc)
	}
	return cc
}

// closeLeastUseful closes one connection that is not busy. It prefers connections without a valid request
// so far, then the one that has been in its state for the longest time. It returns false if all are busy.
func (s *httpServer) closeLeastUseful() bool {
	var candidate *clientConn
	rank := func(cc *clientConn) int {
		if cc.carriedRequest {
			return 1
		}
		return 0
	}
	for cc := range s.conns {
		if cc.state == connBusy || cc.closing {
			continue
		}
		if candidate == nil || rank(cc) < rank(candidate) ||
			rank(cc) == rank(candidate) && cc.stateSince < candidate.stateSince {
			candidate = cc
		}
	}
	if candidate != nil {
		s.beginClose(candidate)
	}
	return candidate != nil
}

// closeIdle closes the connections that have been idle for at least the given time, and those that have been
// sending a request for shutdownReadTimeout.
func (s *httpServer) closeIdle(minIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		age := now - cc.stateSince
		if !cc.closing && (cc.state == connIdle && age >= minIdle ||
			cc.state == connReading && age >= shutdownReadTimeout) {
			s.beginClose(cc)
		}
	}
}

// activity returns the number of connections, including those that are being closed, and the time since the
// last sign of a client's request: a request that was processed, a partial request, or a new connection.
// Readiness probes don't count, since the load balancer in front continues to send them during a shutdown.
func (s *httpServer) activity() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRequest
	for cc := range s.conns {
		if !cc.closing && (cc.state == connReading ||
			cc.state == connIdle && !cc.carriedRequest && !cc.carriedProbe) {
			last = max(last, cc.stateSince)
		}
	}
	return len(s.conns), s.clock.now() - last
}

// setState sets the state of a connection and its read timeout; 0 leaves the read deadline unchanged. It
// returns false if nothing may be read because the connection is being closed.
func (s *httpServer) setState(cc *clientConn, state connState, readTimeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closing {
		return false
	}
	cc.state, cc.stateSince = state, s.clock.now()
	return readTimeout == 0 || cc.SetReadDeadline(time.Now().Add(readTimeout)) == nil
}

// markBusy sets the state of a connection to busy. It returns false if the connection is being closed. A
// client repeats a request that crossed the close of its connection, so that request must not be processed
// here.
func (s *httpServer) markBusy(cc *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closing {
		return false
	}
	cc.state, cc.carriedRequest, s.lastRequest = connBusy, true, s.clock.now()
	cc.displaced = false // the whole request had arrived
	return true
}

// serveConn serves a connection, one request at a time.
func (s *httpServer) serveConn(cc *clientConn) {
	defer s.finishClose(cc)
	readTimeout := time.Duration(0) // firstRequestTimeout covers the whole first request
	for idleTimeout := firstRequestTimeout; ; idleTimeout, readTimeout = clientIdleTimeout, requestTimeout {
		cc.input.discardRead()
		cc.request.reset()
		if !s.awaitRequest(cc, idleTimeout) {
			return // idle timeout, disconnected, or being closed
		}
		if !s.setState(cc, connReading, readTimeout) {
			return
		}
		if err := cc.readRequest(); err != nil {
			s.rejectUnread(cc, err)
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
func (s *httpServer) awaitRequest(cc *clientConn, idleTimeout time.Duration) bool {
	for lines := 0; ; {
		for ; lines < maxEmptyLines && cc.input.dropEmptyLine(); lines++ {
		}
		if cc.input.buffered() > 0 {
			return true
		}
		if !s.setState(cc, connIdle, idleTimeout) || cc.input.fill() != nil {
			return false
		}
	}
}

// readRequest reads a whole request into cc.request.
func (cc *clientConn) readRequest() error {
	r := &cc.request
	if err := cc.input.readHead(&r.head, ""); err != nil {
		return err
	}
	if err := r.parseRequestLine(); err != nil {
		return err
	}
	if _, n := r.lookup("Expect"); n > 0 && r.bodyLength > cc.input.buffered() {
		if err := cc.write(append(cc.writeBuf[:0], "HTTP/1.1 100 Continue\r\n\r\n"...), nil); err != nil {
			return err
		}
	}
	var err error
	r.body, err = cc.input.readBody(&r.head)
	return err
}

// rejectUnread answers a request that can't be read. The connection is closed then.
func (s *httpServer) rejectUnread(cc *clientConn, err error) {
	if errors.Is(err, memory.ErrFull) || s.wasDisplaced(cc) {
		s.refuseForMemory(cc)
		return
	}
	if status := errorStatus(err); status != 0 {
		s.rejectAndClose(cc, status, "", err.Error())
	}
}

// errorStatus returns the status of the response to a request that can't be read, or 0 for no response.
func errorStatus(err error) int {
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

// rejectAndClose answers a request that is not processed, after which the connection is closed.
func (s *httpServer) rejectAndClose(cc *clientConn, status int, fields, reason string) {
	if s.setState(cc, connReading, 0) { // false: it is being closed already
		_ = s.writeResponse(cc, status, fields+"Connection: close\r\n", []byte(reason))
	}
}

// writeResponse writes a response, with a single write if it is small.
func (s *httpServer) writeResponse(cc *clientConn, status int, fields string, body []byte) error {
	return cc.write(appendResponseHead(cc.writeBuf[:0], status, fields, len(body)), body)
}

// appendResponseHead appends the head of a response. Each of fields ends with CRLF.
func appendResponseHead(b []byte, status int, fields string, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable"}

// write writes a head, whose memory is reused for the next response, and a body.
func (cc *clientConn) write(head, body []byte) error {
	if err := cc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	buf, _, err := writeMessage(cc, head, body)
	if cc.writeBuf = buf; cap(buf) > smallBufferBytes {
		cc.writeBuf = nil // frees a large buffer
	}
	return err
}

// handle processes a request that has been read. It returns false if the connection must be closed.
func (s *httpServer) handle(cc *clientConn) bool {
	r := &cc.request
	if requestPath(r.target) == "/healthz" && string(r.method) == "GET" {
		s.mu.Lock()
		cc.carriedProbe = true
		s.mu.Unlock()
		if !s.ready.Load() || s.draining.Load() {
			return s.respond(cc, 503, "", "not ready")
		}
		return s.respond(cc, 200, "", "")
	}
	c, err := s.parse(r)
	if err != nil {
		return s.rejectInvalid(cc, 400, err.Error())
	}
	if !s.markBusy(cc) {
		return false
	}
	c.client = cc
	cc.readAhead.beginWait()
	s.events <- c
	for cmd := range c.commands {
		if cmd.attempt == nil {
			return s.respondUnserved(cc, cmd)
		}
		res := s.upstream.do(cmd.attempt, r)
		s.events <- outcome{c, cmd.attempt, res.withoutResponse()}
		if res.code == policy.OK {
			return s.respondServed(cc, &res)
		}
	}
	return false
}

// respondServed writes a server's response. It returns false if the connection must be closed.
func (s *httpServer) respondServed(cc *clientConn, res *result) bool {
	defer s.upstream.memory.Release(res.reserved)
	cc.badRequests = 0
	fields := ""
	if len(res.contentType) > 0 {
		fields = "Content-Type: " + res.contentType + "\r\n"
	}
	return s.respondBytes(cc, 200, fields, res.body)
}

// respond writes the response to a request. It returns false if the connection must be closed.
func (s *httpServer) respond(cc *clientConn, status int, fields, body string) bool {
	return s.respondBytes(cc, status, fields, []byte(body))
}

func (s *httpServer) respondBytes(cc *clientConn, status int, fields string, body []byte) bool {
	cc.readAhead.endWait()
	closeAfter := s.draining.Load() || cc.request.wantsClose() || s.exceedsLimit()
	if closeAfter {
		fields += "Connection: close\r\n"
	}
	return s.writeResponse(cc, status, fields, body) == nil && !closeAfter
}

// rejectInvalid answers an invalid request at once and delays the next one. After maxBadRequests invalid
// requests in a row the connection is closed. It returns false if the connection must be closed.
func (s *httpServer) rejectInvalid(cc *clientConn, status int, reason string) bool {
	if cc.badRequests++; cc.badRequests < maxBadRequests {
		keepOpen := s.respond(cc, status, "", reason)
		time.Sleep(badRequestDelay)
		return keepOpen
	}
	s.rejectAndClose(cc, status, "", reason)
	return false
}

// respondUnserved writes the response to a request that was not served successfully.
func (s *httpServer) respondUnserved(cc *clientConn, cmd command) bool {
	switch {
	case cmd.badStatus != 0:
		return s.rejectInvalid(cc, cmd.badStatus, "this request can't be used")
	case !cmd.refuse:
		cc.badRequests = 0
		return s.respond(cc, 502, "", "failed")
	}
	cc.badRequests = 0
	fields := ""
	if cmd.retryAfter > 0 {
		fields = "Retry-After: " + strconv.FormatFloat(cmd.retryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	return s.respond(cc, 429, fields, "refused")
}
