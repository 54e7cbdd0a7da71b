package node

import (
	"io"
	"net"
	"time"
)

// Lingering close: every client connection is closed by shutting down sending, then reading and discarding
// what still arrives, then closing. A close while received bytes are unread would reset the connection, and
// the client could lose a response that it has not read yet. A request that crosses the shutdown of sending
// is not processed: its client sees the end of the connection and repeats the request elsewhere.
const (
	lingerTimeout  = 500 * time.Millisecond // a round trip and the delay of a slow client
	maxLingerBytes = 256 << 10              // bytes that are read and discarded
	lingerShare    = 0.125                  // share of the clients' descriptors for connections being closed
)

// closeReason is why a connection is closed by the edge node while a request may be arriving.
type closeReason string

const (
	closedAtEnd      closeReason = "" // by its own goroutine, after the last response or an error
	closedAtLimit    closeReason = "closed at the limit of connections"
	closedAtShutdown closeReason = "closed by the shutdown"
)

// beginClose begins the lingering close of a connection that is not busy. The read of the connection's
// goroutine fails, and the goroutine continues with finishClose. The caller holds the mutex.
func (s *httpServer) beginClose(cc *clientConn, reason closeReason) {
	if s.closingConns >= s.maxClosing {
		s.closeOldestLingering()
	}
	cc.closing, cc.closeReason, cc.stateSince = true, reason, s.clock.now()
	s.closingConns++
	closeWrite(cc.Conn)
	_ = cc.SetReadDeadline(expired) // setState no longer changes it
}

// closeOldestLingering closes the connection whose lingering close began first.
func (s *httpServer) closeOldestLingering() {
	var oldest *clientConn
	for cc := range s.conns {
		if cc.closing && !cc.closed && (oldest == nil || cc.stateSince < oldest.stateSince) {
			oldest = cc
		}
	}
	if oldest != nil {
		oldest.closed = true
		oldest.Close()
	}
}

// finishClose completes the lingering close of a connection, as the last step of the connection's goroutine.
func (s *httpServer) finishClose(cc *clientConn) {
	cc.freeMemory()
	s.mu.Lock()
	if !cc.closing {
		s.beginClose(cc, closedAtEnd)
	}
	s.mu.Unlock()
	if cc.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(cc.Conn, maxLingerBytes))
	}
	cc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingConns--
	delete(s.conns, cc)
}

// closeWrite shuts down sending. Bytes that have been written are still sent.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
