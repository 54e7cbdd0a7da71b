package node

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFinalAccepts limits how often a listener that closes accepts again because further connections are queued.
	maxFinalAccepts = 20

	// queuedAcceptTime is how long such a listener accepts again. Queued connections are accepted at once.
	queuedAcceptTime = time.Millisecond
)

// closingListener is the state of a listener that closes. A close resets the connections that the kernel has queued,
// so they are accepted first.
type closingListener struct {
	accepts int // how often the deadline for accepting expired
}

// extend sets a new deadline for accepting, once the last one has expired. It returns false if the listener must be
// closed: no connection is queued, or too many deadlines have expired.
func (c *closingListener) extend(ln net.Listener) bool {
	d, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok || c.accepts > 0 && (c.accepts > maxFinalAccepts || !hasQueued(ln)) {
		return false
	}
	duration := queuedAcceptTime
	if c.accepts == 0 {
		duration = shutdownFinalAccept
	}
	c.accepts++
	return d.SetDeadline(time.Now().Add(duration)) == nil
}

// hasQueued reports whether connections wait in the kernel's queue of a listener.
func hasQueued(ln net.Listener) (queued bool) {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		queued = err == nil && info.Unacked > 0 // of a listener: the length of its queue
	})
	return queued
}
