package node

import (
	"strconv"
	"time"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// readEnd says whether the edge node has ended the reading of a request before all of it arrived, and why. Such a
// request is refused: no attempt has been made for it.
type readEnd int

const (
	readToEnd       readEnd = iota // the edge node has not ended it
	endedForMemory                 // the request was too slow and gave way to another one that needed memory
	endedByShutdown                // SIGKILL could meet the request before its answer
)

// isReading reports whether a request is arriving on the connection, and its reading has not been ended. The caller
// holds the server's mutex.
func (cc *clientConn) isReading() bool {
	return cc.state == connReading && !cc.closing && cc.readEnd == readToEnd
}

// endReading ends the reading of the request that is arriving on a connection. The caller holds the server's
// mutex.
func (cc *clientConn) endReading(why readEnd) {
	cc.readEnd = why
	_ = cc.SetReadDeadline(expired)
}

// endReading ends the reading of the requests that have been arriving for at least the given time. They are
// refused.
func (s *httpServer) endReading(minAge time.Duration, why readEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		if cc.isReading() && now-cc.stateSince >= minAge {
			cc.endReading(why)
		}
	}
}

// readEndOf reports whether the edge node has ended the reading of a connection's request.
func (s *httpServer) readEndOf(cc *clientConn) readEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cc.readEnd
}

// refuseUnread refuses a request that has not been read as a whole. The client may repeat it after the given time,
// or after the longest one that clients follow. The connection is closed then.
func (s *httpServer) refuseUnread(cc *clientConn, retryAfter time.Duration, reason string) {
	cc.input.discardAll() // the client may take long to read the response
	fields := ""
	if advice := min(retryAfter, s.generation.Load().File.Settings.MaxRetryAfter); advice > 0 {
		fields = retryAfterField(advice)
	}
	s.rejectAndClose(cc, 503, fields, reason)
}

// retryAfterField returns the field that tells a client when it may repeat a request.
func retryAfterField(after time.Duration) string {
	return "Retry-After: " + strconv.FormatFloat(after.Seconds(), 'f', -1, 64) + "\r\n"
}
