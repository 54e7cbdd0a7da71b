package node

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"
)

// maxAhead is how many bytes are read of what a client sends before it has its answer:
// the largest head, for each connection that may be open. What is behind stays in the
// system's buffer.
const maxAhead = maxHead

// States of a TCP connection in which its other end may still read, as Linux numbers them.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4 // this end has ended its sending
	tcpFinWait2    = 5 // and the other end knows
)

// disconnectCounts counts requests by where their client was noticed to have gone before the first
// attempt was written. None of these is sent on.
type disconnectCounts struct {
	held    atomic.Int64 // waiting for room, a root or a server
	dialing atomic.Int64 // its connection to an app server coming up
	writing atomic.Int64 // right before the write
	hidden  atomic.Int64 // none of them: sent on where a client that left could not have been seen
}

// readAhead is what a client has sent behind a request that is not answered yet. The end of
// a connection shows only once all before it is taken in, so whoever wants to know
// whether the client is still there has to read: the connection's goroutine, which waits
// for the loop meanwhile, gets it from here afterwards.
type readAhead struct {
	mu    sync.Mutex
	waits bool // for an answer: nobody else reads
	buf   []byte
	end   error // after buf
}

// await marks that the client waits for an answer.
func (a *readAhead) await() {
	a.mu.Lock()
	a.waits = true
	a.mu.Unlock()
}

// answered marks that it waits no longer.
func (a *readAhead) answered() {
	a.mu.Lock()
	a.waits = false
	a.mu.Unlock()
}

// Read gives what was read ahead, then what the connection brings.
func (cc *clientConn) Read(b []byte) (int, error) {
	a := &cc.readAhead
	a.mu.Lock()
	if len(a.buf) > 0 {
		n := copy(b, a.buf)
		if a.buf = a.buf[n:]; len(a.buf) == 0 {
			a.buf = nil
		}
		a.mu.Unlock()
		return n, nil
	}
	end := a.end
	a.mu.Unlock()
	if end != nil {
		return 0, end
	}
	return cc.Conn.Read(b)
}

// hidden tells whether so much was sent ahead that the client's end may not be seen: the system
// takes in only so many bytes that nobody reads, and the end comes behind all of them.
func (cc *clientConn) hidden() bool {
	cc.readAhead.mu.Lock()
	defer cc.readAhead.mu.Unlock()
	return len(cc.readAhead.buf) >= maxAhead
}

// gone tells whether the client has closed its connection, ended its sending or broken
// off. It may be called at any time, waits for nothing, and is false once the
// request is answered.
func (cc *clientConn) gone() bool {
	a := &cc.readAhead
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.waits || a.end != nil {
		return a.waits
	}
	sc, ok := cc.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [2 << 10]byte
		for len(a.buf) < maxAhead {
			n, _, err := syscall.Recvfrom(int(fd), b[:min(len(b), maxAhead-len(a.buf))], syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EAGAIN || err == syscall.EINTR: // the next look sees more
				return
			case err != nil:
				a.end = err
				return
			case n == 0:
				a.end = io.EOF
				return
			}
			a.buf = append(a.buf, b[:n]...)
		}
		left = endedBehind(int(fd))
	})
	return err != nil || a.end != nil || left
}

// endedBehind tells whether the other end has closed the connection or ended its sending behind
// bytes that nobody has read yet: they hide it from a read, but the connection's state shows it.
// It is false where the system doesn't tell, or has not got all of the bytes.
func endedBehind(fd int) bool {
	info, err := syscall.GetsockoptInet4Addr(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first four bytes
	if err != nil {
		return false
	}
	state := info[0]
	return state != tcpEstablished && state != tcpFinWait1 && state != tcpFinWait2
}
