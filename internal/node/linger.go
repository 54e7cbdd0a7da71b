package node

import (
	"io"
	"net"
	"time"
)

// A connection of a client is closed in one way, by whoever and whyever: sending is
// ended, what still comes is read and dropped, then it is closed. Closed over bytes that
// nobody has read, it would be reset, and the reset can take an answer along that the
// client has not read yet. A request that crosses the end of sending is not worked on:
// its client sees the end and sends it once more elsewhere.
const (
	lingerFor  = 500 * time.Millisecond // the way there and back, and a client that is slow to notice
	lingerMost = 256 << 10              // bytes read and dropped
	lingerPart = 0.125                  // of the clients' descriptors, for connections that are being closed
)

// end begins to close a connection on which no request is worked on: its goroutine wakes
// and goes on with leave. The caller holds the mutex.
func (s *server) end(cc *clientConn) {
	if s.shut >= s.spare {
		s.closeOldestLingering()
	}
	cc.shut, cc.since = true, s.clock.now()
	s.shut++
	closeWrite(cc.Conn)
	_ = cc.SetReadDeadline(time.Unix(1, 0)) // become sets none any more
}

// closeOldestLingering closes the connection that has been given the longest to see its end.
func (s *server) closeOldestLingering() {
	var oldest *clientConn
	for cc := range s.conns {
		if cc.shut && !cc.closed && (oldest == nil || cc.since < oldest.since) {
			oldest = cc
		}
	}
	if oldest != nil {
		oldest.closed = true
		oldest.Close()
	}
}

// leave lets go of a connection, as its goroutine's last step.
func (s *server) leave(cc *clientConn) {
	s.mu.Lock()
	if !cc.shut {
		s.end(cc)
	}
	s.mu.Unlock()
	if cc.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(cc.Conn, lingerMost))
	}
	cc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut--
	delete(s.conns, cc)
}

// closeWrite ends sending; what was written still goes out.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
