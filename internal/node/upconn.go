package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"valvering.example/valvering/internal/memory"
)

const (
	responsePrefix       = "HTTP/1.1 "
	responseStallTimeout = 250 * time.Millisecond // a response that has begun and stalls this long fails
	maxInterimResponses  = 8                      // 1xx responses before the final one
)

// upstreamConn is a connection to a server.
type upstreamConn struct {
	net.Conn
	incarnation   uint64 // of the server process at the other end
	input         stream
	head          head
	lastUsed      time.Duration // when it was last returned to the pool; 0: never yet
	requestLength int           // length of the request in flight; 0 once bytes of the response have arrived
	moreUnread    bool          // the first read of the response left bytes in the socket's receive buffer
	unsolicited   bool          // the server sent bytes that answer no request
	counts        *unsolicitedCounts
	clock         clock
	attempt       *attempt     // in flight; nil: none
	memory        *memory.Pool // for responses
}

// reserve reserves memory for a response. It waits until there is some or the attempt ends; the server's
// bytes wait in the socket meanwhile. It is called by the goroutine of the attempt alone.
func (c *upstreamConn) reserve(n int) error {
	if c.memory.TryReserve(n) {
		return nil
	}
	ctx, cancel, ok := c.attempt.waitContext(c.clock)
	if !ok {
		return context.Canceled
	}
	defer cancel()
	return c.memory.Reserve(ctx, n)
}

func (c *upstreamConn) release(n int) { c.memory.Release(n) }

// Read fails if a response stalls after its first bytes, or if the first bytes can't belong to the
// response.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if len(c.input.buf) > 0 {
		if err := c.SetReadDeadline(time.Now().Add(responseStallTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n == 0 || c.requestLength == 0 {
		return n, err
	}
	requestLength := c.requestLength
	c.requestLength = 0
	if err := c.checkFirstBytes(requestLength); err != nil {
		return 0, err
	}
	return n, err
}

// idleState is the state of an idle connection.
type idleState int

const (
	idleQuiet       idleState = iota
	idleClosed                // closed by the server, or not checkable
	idleUnsolicited           // the server sent bytes without a request
)

// checkIdle checks an idle connection without consuming bytes and without blocking.
func (c *upstreamConn) checkIdle() idleState {
	if c.input.buffered() > 0 {
		return idleClosed
	}
	state := idleClosed
	_ = c.control(func(fd int) error {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = idleQuiet
		case n > 0 && !peerEndedSending(fd): // bytes right before a close may announce that close
			state = idleUnsolicited
		}
		return nil
	})
	return state
}

// alive reports whether an idle connection is neither closed nor has unsolicited bytes to read.
func alive(c *upstreamConn) bool { return c.checkIdle() == idleQuiet }

// readResponse reads a response. A 200 response without a length is framed only if it has
// "Connection: close": its body then ends where the server shuts down its sending side, while a
// reset counts as a failure. Otherwise the end of the body is unknown: framed is false and the body
// is left unread.
func (c *upstreamConn) readResponse() (status int, body []byte, framed bool, err error) {
	for range maxInterimResponses + 1 {
		if err = c.input.readHead(&c.head, responsePrefix); err != nil {
			return 0, nil, false, err
		}
		code := c.head.startLine[len(responsePrefix):]
		status, n := parseDecimal(code[:min(3, len(code))])
		switch {
		case n != 3 || status < 100 || status > 599 || len(code) > 3 && code[3] != ' ':
			return 0, nil, false, errSyntax
		case status == 101 || status < 200 && c.head.bodyLength != -2:
			return 0, nil, false, errFraming
		case status < 200:
			c.input.discardRead() // an interim response; the final one may take longer than the stall timeout
			continue
		case status == 204 || status == 304:
			return status, nil, true, nil
		case c.head.bodyLength == -2 && status == 200 && c.head.listContains("Connection", "close"):
			body, err = c.input.readToEOF()
			return status, body, true, err
		case c.head.bodyLength == -2:
			return status, nil, false, nil
		}
		body, err = c.input.readBody(&c.head)
		return status, body, true, err
	}
	return 0, nil, false, errSyntax
}
