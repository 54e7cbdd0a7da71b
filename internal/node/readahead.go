package node

import (
	"io"
	"sync"
	"sync/atomic"
	"syscall"

	"valvering.example/valvering/internal/memory"
)

const (
	// readAheadBlock is the size of a read and of a reservation of memory, in bytes.
	readAheadBlock = 2 << 10

	// Bytes that are read from a client before its response is sent, for each open connection. A client may
	// always send the smaller number, the size of the largest head, if there is memory. What all clients send
	// beyond it together is limited to burstShare of the memory for requests.
	minReadAhead = maxHeadBytes
	maxReadAhead = 512 << 10
	burstShare   = 0.25
)

// States of a TCP connection on Linux in which the peer has not closed its side.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4 // this side has shut down sending
	tcpFinWait2    = 5 // and the peer has acknowledged it
)

// disconnectCounts counts the requests whose client disconnected before the first attempt was written, by
// where that was detected, and in hidden those for which a disconnect could not have been detected. None of them
// is sent to a server.
type disconnectCounts struct {
	held    atomic.Int64 // while waiting for quota, a root or a server
	dialing atomic.Int64 // while the connection to a server was being opened
	writing atomic.Int64 // immediately before the write
	hidden  atomic.Int64 // refused since clientConn.disconnectHidden was true
}

// readAhead buffers the pipelined bytes that a client sends before the response to its current request. The
// end of a connection is only visible after all bytes before it have been read, so clientConn.disconnected
// must read to detect a disconnect. The connection's goroutine waits for the loop meanwhile and reads these
// bytes later.
type readAhead struct {
	memory readAheadMemory

	mu               sync.Mutex
	awaitingResponse bool // the client waits for a response: the connection's goroutine does not read
	blocks           [][]byte
	taken            int   // bytes of the first block that were read
	reserved         int   // blocks of memory reserved; at least len(blocks)
	hidden           bool  // bytes are unread that may not be read ahead, and a disconnect may be behind them
	readErr          error // read error or io.EOF, after the bytes in blocks
}

// readAheadMemory is the memory for what is read ahead of all clients.
type readAheadMemory struct {
	all    *memory.Pool // for requests
	bursts *memory.Pool // further limit on what is beyond minReadAhead
}

func newReadAheadMemory(requests *memory.Pool) readAheadMemory {
	if requests == nil {
		return readAheadMemory{}
	}
	return readAheadMemory{requests, memory.NewPool(int64(burstShare * float64(requests.Usage().Limit)))}
}

// isBurst reports whether a connection's block with the given index is beyond minReadAhead.
func isBurst(block int) bool { return block >= minReadAhead/readAheadBlock }

// reserveBlock reserves memory for one more block of a connection, and reports whether there is some.
func (a *readAhead) reserveBlock() bool {
	if a.reserved == maxReadAhead/readAheadBlock || !a.memory.all.TryReserve(readAheadBlock) {
		return false
	}
	if isBurst(a.reserved) && !a.memory.bursts.TryReserve(readAheadBlock) {
		a.memory.all.Release(readAheadBlock)
		return false
	}
	a.reserved++
	return true
}

// releaseUnused releases the memory of blocks that don't exist. The caller holds the mutex.
func (a *readAhead) releaseUnused() {
	for a.reserved > len(a.blocks) {
		a.reserved--
		a.memory.all.Release(readAheadBlock)
		if isBurst(a.reserved) {
			a.memory.bursts.Release(readAheadBlock)
		}
	}
}

// room returns the number of bytes that may be read, for which it reserves memory; 0: no more may be read. The
// caller holds the mutex.
func (a *readAhead) room() int {
	if n := len(a.blocks); n > 0 && len(a.blocks[n-1]) < readAheadBlock {
		return readAheadBlock - len(a.blocks[n-1])
	}
	if a.reserved > len(a.blocks) || a.reserveBlock() {
		return readAheadBlock
	}
	return 0
}

// add appends bytes for which there is room. The caller holds the mutex.
func (a *readAhead) add(b []byte) {
	last := len(a.blocks) - 1
	if last < 0 || len(a.blocks[last]) == readAheadBlock {
		a.blocks = append(a.blocks, make([]byte, 0, readAheadBlock))
		last++
	}
	a.blocks[last] = append(a.blocks[last], b...)
}

// take moves buffered bytes to b and frees the blocks that have been read. The caller holds the mutex.
func (a *readAhead) take(b []byte) (n int) {
	for n < len(b) && len(a.blocks) > 0 {
		copied := copy(b[n:], a.blocks[0][a.taken:])
		n, a.taken = n+copied, a.taken+copied
		if a.taken == len(a.blocks[0]) {
			a.blocks[0] = nil // frees the block
			a.blocks, a.taken = a.blocks[1:], 0
		}
	}
	if len(a.blocks) == 0 {
		a.blocks = nil
	}
	a.releaseUnused()
	return n
}

// free discards the buffered bytes. The caller holds the mutex.
func (a *readAhead) free() {
	a.blocks, a.taken, a.hidden = nil, 0, false
	a.releaseUnused()
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
	if len(a.blocks) > 0 {
		n := a.take(b)
		a.mu.Unlock()
		return n, nil
	}
	end := a.readErr
	a.mu.Unlock()
	if end != nil {
		return 0, end
	}
	return cc.pacer.read(cc.Conn.Read, b)
}

// disconnectHidden reports whether a disconnect may have gone undetected by the last call of disconnected,
// because more bytes are unread than may be read ahead.
func (cc *clientConn) disconnectHidden() bool {
	cc.readAhead.mu.Lock()
	defer cc.readAhead.mu.Unlock()
	return cc.readAhead.hidden
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
		a.hidden = false
		if a.receive(int(fd)) {
			return
		}
		ended = peerEndedSending(int(fd))
		a.hidden = !ended && a.bytesUnread(int(fd))
	})
	return err != nil || a.readErr != nil || ended
}

// receive reads what the socket has received, without blocking. It returns false if it stopped because nothing
// more may be read ahead. The caller holds the mutex.
func (a *readAhead) receive(fd int) (all bool) {
	defer a.releaseUnused()
	var b [readAheadBlock]byte
	for room := a.room(); room > 0; room = a.room() {
		n, _, err := syscall.Recvfrom(fd, b[:room], syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return true
		case err != nil:
			a.readErr = err
			return true
		case n == 0:
			a.readErr = io.EOF
			return true
		}
		a.add(b[:n])
	}
	return false
}

// bytesUnread reports whether the socket has received bytes that are unread, or records its end. The caller holds
// the mutex.
func (a *readAhead) bytesUnread(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN:
		return false
	case err == syscall.EINTR:
		return true
	case err != nil:
		a.readErr = err
	case n == 0:
		a.readErr = io.EOF
	}
	return n > 0
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
