package node

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"

	"valvering.example/valvering/internal/memory"
)

const (
	// maxReadAhead limits the bytes that are read from a client before its response is sent, for each open
	// connection. It is the size of the largest head. Further bytes stay in the kernel's receive buffer.
	maxReadAhead = maxHeadBytes

	// readAheadStep is the size of a read and of a reservation of memory.
	readAheadStep = 2 << 10
)

// States of a TCP connection on Linux in which the peer has not closed its side.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4 // this side has shut down sending
	tcpFinWait2    = 5 // and the peer has acknowledged it
)

// disconnectCounts counts the requests whose client disconnected before the first attempt was written, by
// where that was detected. None of them is sent to a server. hidden counts the requests that are sent
// although a disconnect could not have been detected.
type disconnectCounts struct {
	held    atomic.Int64 // while waiting for quota, a root or a server
	dialing atomic.Int64 // while the connection to a server was being opened
	writing atomic.Int64 // immediately before the write
	hidden  atomic.Int64 // sent while clientConn.disconnectHidden was true
}

// readAhead buffers the pipelined bytes that a client sends before the response to its current request. The
// end of a connection is only visible after all bytes before it have been read, so clientConn.disconnected
// must read to detect a disconnect. The connection's goroutine waits for the loop meanwhile and reads these
// bytes later.
type readAhead struct {
	mu               sync.Mutex
	awaitingResponse bool // the client waits for a response: the connection's goroutine does not read
	buf              []byte
	full             bool  // nothing more is read ahead: the buffer is full, or there is no memory for more
	reserved         int   // bytes of memory reserved for buf
	readErr          error // read error or io.EOF, after the bytes in buf
}

// reserve reserves memory for a further read and returns the number of bytes that may be read; 0: the buffer is
// full, or there is no memory. The caller holds the mutex.
func (a *readAhead) reserve(pool *memory.Pool) int {
	size := min(len(a.buf)+readAheadStep, maxReadAhead)
	if missing := size - a.reserved; missing > 0 {
		if !pool.TryReserve(missing) {
			return 0
		}
		a.reserved = size
	}
	return size - len(a.buf)
}

// add appends bytes for which memory is reserved. The caller holds the mutex.
func (a *readAhead) add(b []byte) {
	if len(a.buf)+len(b) > cap(a.buf) {
		a.buf = append(make([]byte, 0, a.reserved), a.buf...)
	}
	a.buf = append(a.buf, b...)
}

// releaseUnused releases what is reserved and not allocated. The caller holds the mutex.
func (a *readAhead) releaseUnused(pool *memory.Pool) {
	if unused := a.reserved - cap(a.buf); unused > 0 {
		pool.Release(unused)
		a.reserved -= unused
	}
}

// take moves buffered bytes to b. Once none are left it frees the buffer.
func (a *readAhead) take(b []byte, pool *memory.Pool) int {
	n := copy(b, a.buf)
	a.full = false
	if a.buf = a.buf[:copy(a.buf, a.buf[n:])]; len(a.buf) == 0 {
		a.free(pool)
	}
	return n
}

// free discards the buffered bytes. The caller holds the mutex.
func (a *readAhead) free(pool *memory.Pool) {
	pool.Release(a.reserved)
	a.buf, a.reserved, a.full = nil, 0, false
}

// beginWait marks that the client waits for a response.
func (a *readAhead) beginWait() {
	a.mu.Lock()
	a.awaitingResponse = true
	a.mu.Unlock()
}

// endWait marks that the client no longer waits for a response.
func (a *readAhead) endWait() {
	a.mu.Lock()
	a.awaitingResponse = false
	a.mu.Unlock()
}

// Read returns the buffered bytes first, then reads from the connection.
func (cc *clientConn) Read(b []byte) (int, error) {
	a := &cc.readAhead
	a.mu.Lock()
	if len(a.buf) > 0 {
		n := a.take(b, cc.memory)
		a.mu.Unlock()
		return n, nil
	}
	end := a.readErr
	a.mu.Unlock()
	if end != nil {
		return 0, end
	}
	return cc.Conn.Read(b)
}

// disconnectHidden reports whether a disconnect may go undetected because the read-ahead buffer is full.
// The kernel buffers a limited number of further bytes, and the end of the connection follows all of them.
func (cc *clientConn) disconnectHidden() bool {
	cc.readAhead.mu.Lock()
	defer cc.readAhead.mu.Unlock()
	return cc.readAhead.full
}

// disconnected reports whether the client has closed or reset its connection or shut down sending. It does
// not block and may be called at any time. It returns false after the request has been answered.
func (cc *clientConn) disconnected() bool {
	a := &cc.readAhead
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaitingResponse || a.readErr != nil {
		return a.awaitingResponse
	}
	sc, ok := cc.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		defer a.releaseUnused(cc.memory)
		var b [readAheadStep]byte
		for room := a.reserve(cc.memory); room > 0; room = a.reserve(cc.memory) {
			n, _, err := syscall.Recvfrom(int(fd), b[:room], syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EAGAIN || err == syscall.EINTR: // the next call reads more
				return
			case err != nil:
				a.readErr = err
				return
			case n == 0:
				a.readErr = io.EOF
				return
			}
			a.add(b[:n])
		}
		a.full = true
		ended = peerEndedSending(int(fd))
	})
	return err != nil || a.readErr != nil || ended
}

// peerEndedSending reports whether the peer has closed the connection or shut down sending after bytes that
// are still unread. A read does not show that, but the state of the TCP connection does. It returns false
// if the state is not available, or if the kernel has not received all bytes yet.
func peerEndedSending(fd int) bool {
	// The call returns the first four bytes of struct tcp_info.
	info, err := syscall.GetsockoptInet4Addr(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false
	}
	state := info[0]
	return state != tcpEstablished && state != tcpFinWait1 && state != tcpFinWait2
}
