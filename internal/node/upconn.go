package node

import (
	"net"
	"syscall"
	"time"
)

const (
	answerStart = "HTTP/1.1 "
	answerStall = 250 * time.Millisecond // an answer that has begun and stops for so long is spoilt
	maxInterim  = 8                      // 1xx answers ahead of one
)

// upConn is a connection to an app server.
type upConn struct {
	net.Conn
	incarnation uint64 // of the process it leads to
	in          stream
	head        head
	used        time.Duration
	request     int  // length of the request that is out, until a byte of its answer has come
	moreUnread  bool // more had come by the first read of an answer than that read took
	unsolicited bool // bytes have come that answer no request
	counts      *unsolicitedCounts
}

// Read gives up an answer that has begun and stops, and bytes that can't be an answer.
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

// idleState is what a look at an idle connection finds.
type idleState int

const (
	idleQuiet       idleState = iota
	idleEnded                 // by the server, or it can't be looked at
	idleUnsolicited           // bytes that nobody asked for
)

// idleState looks without reading and without waiting.
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
		case n > 0 && !endedBehind(fd): // bytes ahead of an end may tell of that end
			state = idleUnsolicited
		}
		return nil
	})
	return state
}

// alive tells whether nothing has come on an idle connection: neither its end
// nor bytes that nobody asked for.
func alive(c *upConn) bool { return c.idleState() == idleQuiet }

// answer reads an answer. One without a length ends with the connection if it says that
// this one ends: by an end of sending, since a reset is a break. Else its end can't be
// told, it is not framed, and its body is left unread.
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
			c.in.begin() // it only announces the answer, which may take its time
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
