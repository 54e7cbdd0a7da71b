package node

import (
	"bytes"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"valvering.example/valvering/policy"
)

// errUnsolicited fails an attempt whose connection received bytes that can't be the response.
var errUnsolicited = errors.New("the server sent bytes that answer no request")

// Unsolicited counts the connections on which servers sent bytes that answer no request, by where
// the bytes were detected. Each such connection was closed.
type Unsolicited struct {
	Idle     int64 // on an idle connection
	Write    int64 // right before the write of a request, which was then not written
	Response int64 // in place of the response to a request, or in addition to it

	// Responses accepted without the check because the operating system doesn't report what the server has
	// acknowledged.
	Unchecked int64
}

// unsolicitedCounts holds the live counters of Unsolicited.
type unsolicitedCounts struct{ idle, write, response, unchecked atomic.Int64 }

func (c *unsolicitedCounts) load() Unsolicited {
	return Unsolicited{c.idle.Load(), c.write.Load(), c.response.Load(), c.unchecked.Load()}
}

// socketQueues holds the lengths of a socket's buffers.
type socketQueues struct {
	unread         int // bytes received and not read yet
	unacknowledged int // bytes written that the server's host has not acknowledged yet
}

// queues returns the lengths of the socket's buffers; known is false if the operating system
// doesn't report them.
func (c *upstreamConn) queues() (q socketQueues, known bool) {
	err := c.control(func(fd int) (err error) {
		if q.unacknowledged, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			q.unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		}
		return err
	})
	return q, err == nil
}

// control runs a system call on the connection's file descriptor.
func (c *upstreamConn) control(call func(fd int) error) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// checkFirstBytes checks the connection right after the first read that follows the write of a
// request. A server can't respond to a request before it has received the first byte, and the
// acknowledgment of that byte arrives no later than the response. Bytes that arrive while the whole
// request is unacknowledged therefore belong to something else.
func (c *upstreamConn) checkFirstBytes(requestLength int) error {
	q, known := c.queues()
	switch {
	case !known:
		c.counts.unchecked.Add(1)
	case q.unacknowledged >= requestLength:
		c.counts.response.Add(1)
		c.unsolicited = true
		return errUnsolicited
	}
	c.moreUnread = q.unread > 0
	return nil
}

// readAvailable reads the bytes in the receive buffer without blocking.
func (c *upstreamConn) readAvailable() {
	if len(c.input.buf) == cap(c.input.buf) && c.input.makeRoom() != nil {
		return
	}
	space := c.input.buf[len(c.input.buf):cap(c.input.buf)]
	_ = c.control(func(fd int) error {
		n, _, err := syscall.Recvfrom(fd, space, syscall.MSG_DONTWAIT)
		c.input.buf = c.input.buf[:len(c.input.buf)+max(0, n)]
		return err // no bytes, or a closed connection: the next check of the connection detects it
	})
}

// quietBeforeWrite checks a connection again right before a request is written on it. If it returns
// false, the connection must not be used.
func (c *upstreamConn) quietBeforeWrite() bool {
	state := c.checkIdle()
	if state == idleUnsolicited {
		c.counts.write.Add(1)
		c.unsolicited = true
	}
	return state == idleQuiet
}

// ambiguous reports whether a second response follows the one that was read, on a connection that
// has carried a request before. Either may be a late response to the earlier request, and nothing
// shows which. A second copy of the same response is harmless.
func (c *upstreamConn) ambiguous() bool {
	if c.moreUnread && c.input.buffered() == 0 {
		c.readAvailable()
	}
	first, second := c.input.firstBytes(), c.input.buf[c.input.off:]
	length := min(len(first), len(second))
	if !bytes.HasPrefix(second, []byte(responsePrefix)) || bytes.Equal(first[:length], second[:length]) {
		return false
	}
	c.counts.response.Add(1)
	c.unsolicited = true
	return true
}

const (
	minReusePause = time.Second
	maxReusePause = time.Minute
)

// reusePauses holds the servers whose connections are not reused because they have sent unsolicited
// bytes. Once a request is written, such bytes can't be told from its response. The pause doubles
// each time the server sends such bytes again soon after the previous pause.
type reusePauses map[policy.ServerID]reusePause

type reusePause struct {
	until  time.Duration // when the pause ends
	length time.Duration
}

// pause starts a pause. During a pause it restarts that one with the same length.
func (p reusePauses) pause(id policy.ServerID, now time.Duration) {
	length := minReusePause
	switch previous, ok := p[id]; {
	case ok && now < previous.until:
		length = previous.length
	case ok:
		length = min(2*previous.length, maxReusePause)
	}
	p[id] = reusePause{until: now + length, length: length}
}

func (p reusePauses) paused(id policy.ServerID, now time.Duration) bool { return now < p[id].until }

// expire removes the servers that have sent no unsolicited bytes for maxReusePause after their pause.
func (p reusePauses) expire(now time.Duration) {
	for id, last := range p {
		if now >= last.until+maxReusePause {
			delete(p, id)
		}
	}
}
