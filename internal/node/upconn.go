package node

import (
	"net"
	"syscall"
	"time"
)

const (
	answerStart = "HTTP/1.1 "
	answerStall = 250 * time.Millisecond // between two reads of one response
	maxInterim  = 8                      // 1xx responses before the final one
)

// upConn is a connection to a server.
type upConn struct {
	net.Conn
	incarnation uint64 // of the server process at the other end
	in          stream
	head        head
	used        time.Duration // when it was last returned to the pool; 0: never yet
	request     int           // length of the request in flight; 0 once bytes of the response have arrived
	moreUnread  bool          // the first read of the response left bytes in the socket's receive buffer
	unsolicited bool          // the server sent bytes that answer no request
	counts      *unsolicitedCounts
}

// Read fails if a response stalls after its first bytes, or if the first bytes can't belong to the
// response.
func (c *upConn) Read(b []byte) (int, error) {
	if len(c.in.buf) > 0 {
		if err := c.SetReadDeadline(time.Now().Add(answerStall)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n == 0 || c.request == 0 {
		return n, err
	}
	request := c.request
	c.request = 0
	if err := c.checkFirstBytes(request); err != nil {
		return 0, err
	}
	return n, err
}

// idleState is the state of an idle connection.
type idleState int

const (
	idleQuiet       idleState = iota
	idleEnded                 // closed by the server, or not checkable
	idleUnsolicited           // the server sent bytes without a request
)

// idleState checks an idle connection without consuming bytes and without blocking.
func (c *upConn) idleState() idleState {
	if c.in.buffered() > 0 {
		return idleEnded
	}
	state := idleEnded
	_ = c.control(func(fd int) error {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = idleQuiet
		case n > 0 && !endedBehind(fd): // bytes right before a close may announce that close
			state = idleUnsolicited
		}
		return nil
	})
	return state
}

// alive reports whether an idle connection is neither closed nor has unsolicited bytes to read.
func alive(c *upConn) bool { return c.idleState() == idleQuiet }

// answer reads a response. A 200 response without a length is framed only if it has
// "Connection: close": its body then ends where the server shuts down its sending side, while a
// reset counts as a failure. Otherwise the end of the body is unknown: framed is false and the body
// is left unread.
func (c *upConn) answer() (status int, body []byte, framed bool, err error) {
	for range maxInterim + 1 {
		if err = c.in.readHead(&c.head, answerStart); err != nil {
			return 0, nil, false, err
		}
		code := c.head.first[len(answerStart):]
		status, n := decimal(code[:min(3, len(code))])
		switch {
		case n != 3 || status < 100 || status > 599 || len(code) > 3 && code[3] != ' ':
			return 0, nil, false, errSyntax
		case status == 101 || status < 200 && c.head.length != -2:
			return 0, nil, false, errFraming
		case status < 200:
			c.in.begin() // an interim response; the final one may take longer than the stall timeout
			continue
		case status == 204 || status == 304:
			return status, nil, true, nil
		case c.head.length == -2 && status == 200 && c.head.has("Connection", "close"):
			body, err = c.in.rest()
			return status, body, true, err
		case c.head.length == -2:
			return status, nil, false, nil
		}
		body, err = c.in.readBody(&c.head)
		return status, body, true, err
	}
	return 0, nil, false, errSyntax
}
