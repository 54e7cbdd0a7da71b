package node

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
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
	readAhead  readAheadMemory
	events     chan<- any
	requests   *requestLog // nil in tests of the server alone
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
	pacer       pacer
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
	closeReason    closeReason
	reserved       int     // bytes of memory reserved for the request
	readEnd        readEnd // whether the reading of its request was ended early
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
		readAhead: newReadAheadMemory(requests), conns: map[*clientConn]struct{}{}}
	s.divideLimit(limit)
	s.generation.Store(generation)
	return s
}

// serve accepts connections until the listener is closed. When the listener's deadline expires, serve first
// accepts the connections that the kernel has queued and then closes the listener itself, since a close would
// reset queued connections. An accept error ends serve only if the listener is unusable. Any other error may
// belong to a single connection that failed before it was accepted, so serve retries after a delay.
func (s *httpServer) serve(ln net.Listener) error {
	closing := closingListener{}
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
			if !closing.extend(ln) {
				return ln.Close()
			}
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

// serveConn serves a connection, one request at a time.
func (s *httpServer) serveConn(cc *clientConn) {
	defer s.finishClose(cc)
	readTimeout := time.Duration(0) // firstRequestTimeout covers the whole first request
	for idleTimeout := firstRequestTimeout; ; idleTimeout, readTimeout = clientIdleTimeout, requestTimeout {
		cc.input.discardRead()
		cc.request.reset()
		if cc.input.buffered() > 0 {
			cc.pacer.giveWay()
		}
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
	c.client = cc
	if err != nil {
		s.requests.record(requestInvalid, requestDetails{id: c.requestID, client: cc, reason: err.Error()})
		return s.rejectInvalid(cc, 400, err.Error())
	}
	if !s.markBusy(cc) {
		reason, _ := s.interrupted(cc)
		s.requests.record(requestCrossed,
			requestDetails{id: c.requestID, client: cc, class: c.Class, reason: string(reason)})
		return false
	}
	cc.readAhead.beginWait()
	s.events <- c
	for cmd := range c.commands {
		if cmd.attempt == nil {
			return s.respondUnserved(cc, cmd)
		}
		res := s.upstream.do(cmd.attempt, r)
		cc.pacer.waited()
		s.events <- outcome{c, cmd.attempt, res.withoutResponse()}
		if res.code == policy.OK {
			return s.respondServed(cc, &res)
		}
	}
	return false
}
