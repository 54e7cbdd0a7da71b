package node

import (
	"bytes"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"valvering.example/valvering/policy"
)

// errUnsolicited ends an attempt on whose connection bytes came that can't be its answer.
var errUnsolicited = errors.New("the server sent bytes that answer no request")

// Unsolicited counts connections on which servers sent bytes that nobody had asked for, by where
// these were noticed. Each such connection was closed.
type Unsolicited struct {
	Idle   int64 // on an idle connection
	Write  int64 // right before the write of a request, which was not written then
	Answer int64 // in place of the answer to a request, or beside it

	Unchecked int64 // answers served although the system does not tell what the server had received
}

// unsolicitedCounts is Unsolicited while it is being counted.
type unsolicitedCounts struct{ idle, write, answer, unchecked atomic.Int64 }

func (c *unsolicitedCounts) load() Unsolicited {
	return Unsolicited{c.idle.Load(), c.write.Load(), c.answer.Load(), c.unchecked.Load()}
}

// socketQueues is what the system holds of a connection.
type socketQueues struct {
	unread         int // bytes that came and were not read yet
	unacknowledged int // bytes written that the server's system has not acknowledged yet
}

// queues is false where the system does not tell.
func (c *upConn) queues() (q socketQueues, known bool) {
	err := c.control(func(fd int) (err error) {
		if q.unacknowledged, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			q.unread, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		}
		return err
	})
	return q, err == nil
}

// control calls the system for the connection's descriptor.
func (c *upConn) control(call func(fd int) error) error {
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

// checkFirstBytes looks at the connection right behind the first read since a request was written.
// An answer comes behind the acknowledgment of the request's first byte, since the server can't
// answer what has not come to it. So bytes that are there while the whole request is
// unacknowledged answer something else.
func (c *upConn) checkFirstBytes(request int) error {
	q, known := c.queues()
	switch {
	case !known:
		c.counts.unchecked.Add(1)
	case q.unacknowledged >= request:
		c.counts.answer.Add(1)
		c.unsolicited = true
		return errUnsolicited
	}
	c.moreUnread = q.unread > 0
	return nil
}

// readAvailable reads what has come, without waiting.
func (c *upConn) readAvailable() {
	if len(c.in.buf) == cap(c.in.buf) {
		c.in.buf = slices.Grow(c.in.buf, minBuf)
	}
	space := c.in.buf[len(c.in.buf):cap(c.in.buf)]
	_ = c.control(func(fd int) error {
		n, _, err := syscall.Recvfrom(fd, space, syscall.MSG_DONTWAIT)
		c.in.buf = c.in.buf[:len(c.in.buf)+max(0, n)]
		return err // nothing has come, or the end: the next look at the connection shows it
	})
}

// quietBeforeWrite looks at a connection once more, right before a request is written on it. The
// connection may not be used if it is false.
func (c *upConn) quietBeforeWrite() bool {
	state := c.idleState()
	if state == idleUnsolicited {
		c.counts.write.Add(1)
		c.unsolicited = true
	}
	return state == idleQuiet
}

// ambiguous tells whether another answer came right behind the one that was read, on a connection
// that has carried a request before. One of the two may be a late one to that, and nothing tells
// which; a second copy of the first does no harm.
func (c *upConn) ambiguous() bool {
	if c.moreUnread && c.in.buffered() == 0 {
		c.readAvailable()
	}
	first, second := c.in.buf[:c.in.off], c.in.buf[c.in.off:]
	length := min(len(first), len(second))
	if !bytes.HasPrefix(second, []byte(answerStart)) || bytes.Equal(first[:length], second[:length]) {
		return false
	}
	c.counts.answer.Add(1)
	c.unsolicited = true
	return true
}

const (
	minReusePause = time.Second
	maxReusePause = time.Minute
)

// reusePauses tells to which servers connections are not used again, since such a server has sent
// bytes that nobody asked for. Once a request is written nothing tells such bytes from its answer.
// The pause doubles each time the server does so again soon behind it.
type reusePauses map[policy.ServerID]reusePause

type reusePause struct {
	until  time.Duration
	length time.Duration
}

// pause begins a pause, or begins the one that is on anew.
func (p reusePauses) pause(id policy.ServerID, now time.Duration) {
	length := minReusePause
	switch before, ok := p[id]; {
	case ok && now < before.until:
		length = before.length
	case ok:
		length = min(2*before.length, maxReusePause)
	}
	p[id] = reusePause{until: now + length, length: length}
}

func (p reusePauses) paused(id policy.ServerID, now time.Duration) bool { return now < p[id].until }

// expire forgets servers that have sent nothing of the kind for maxReusePause behind their pause.
func (p reusePauses) expire(now time.Duration) {
	for id, last := range p {
		if now >= last.until+maxReusePause {
			delete(p, id)
		}
	}
}
