package node

import (
	"cmp"
	"net"
	"slices"
	"time"
)

// divideLimit divides the limit between open connections and those that are being closed. The caller holds
// the mutex or is the only user.
func (s *httpServer) divideLimit(limit int) {
	s.maxClosing = int(lingerShare * float64(limit))
	s.maxConns = limit - s.maxClosing
}

// setLimit changes the limit on connections. To meet it, idle connections are closed at once, the longest
// idle first, and others after their next response.
func (s *httpServer) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divideLimit(limit)
	var idle []*clientConn
	for cc := range s.conns {
		if !cc.closing && cc.state == connIdle {
			idle = append(idle, cc)
		}
	}
	slices.SortFunc(idle, func(a, b *clientConn) int { return cmp.Compare(a.stateSince, b.stateSince) })
	for _, cc := range idle {
		if len(s.conns)-s.closingConns > s.maxConns {
			s.beginClose(cc, closedAtLimit)
		}
	}
	s.overLimit.Store(len(s.conns)-s.closingConns > s.maxConns)
}

// exceedsLimit reports whether a connection must be closed after its response to meet the limit.
func (s *httpServer) exceedsLimit() bool {
	if !s.overLimit.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	over := len(s.conns)-s.closingConns > s.maxConns
	s.overLimit.Store(over)
	return over
}

// addConn registers a new connection. At the limit it closes another connection, or the new one if all others
// are busy.
func (s *httpServer) addConn(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.conns)-s.closingConns >= s.maxConns && !s.closeLeastUseful()
	cc := &clientConn{Conn: c, stateSince: s.clock.now(), memory: s.memory, server: s}
	cc.input.src, cc.input.memory = cc, cc
	cc.readAhead.memory = s.readAhead
	cc.pacer.waited()
	s.conns[cc] = struct{}{}
	if full {
		s.beginClose(cc, closedAtLimit)
	}
	return cc
}

// closeLeastUseful closes one connection that is not busy. It prefers connections without a valid request
// so far, then the one that has been in its state for the longest time. It returns false if all are busy.
func (s *httpServer) closeLeastUseful() bool {
	var candidate *clientConn
	rank := func(cc *clientConn) int {
		if cc.carriedRequest {
			return 1
		}
		return 0
	}
	for cc := range s.conns {
		if cc.state == connBusy || cc.closing {
			continue
		}
		if candidate == nil || rank(cc) < rank(candidate) ||
			rank(cc) == rank(candidate) && cc.stateSince < candidate.stateSince {
			candidate = cc
		}
	}
	if candidate != nil {
		s.beginClose(candidate, closedAtLimit)
	}
	return candidate != nil
}

// closeIdle closes the connections that have been idle for at least the given time.
func (s *httpServer) closeIdle(minIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		if !cc.closing && cc.state == connIdle && now-cc.stateSince >= minIdle {
			s.beginClose(cc, closedAtShutdown)
		}
	}
}

// activity returns the number of connections, including those that are being closed, and the time since the
// last sign of a client's request: a request that was processed, a partial request, or a new connection.
// Readiness probes don't count, since the load balancer in front continues to send them during a shutdown.
func (s *httpServer) activity() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRequest
	for cc := range s.conns {
		if !cc.closing && (cc.state == connReading ||
			cc.state == connIdle && !cc.carriedRequest && !cc.carriedProbe) {
			last = max(last, cc.stateSince)
		}
	}
	return len(s.conns), s.clock.now() - last
}

// setState sets the state of a connection and its read timeout; 0 leaves the read deadline unchanged. It
// returns false if nothing may be read because the connection is being closed.
func (s *httpServer) setState(cc *clientConn, state connState, readTimeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closing {
		return false
	}
	cc.state, cc.stateSince = state, s.clock.now()
	return readTimeout == 0 || cc.SetReadDeadline(time.Now().Add(readTimeout)) == nil
}

// interrupted reports whether the edge node closes a connection, and why.
func (s *httpServer) interrupted(cc *clientConn) (reason closeReason, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cc.closeReason, cc.closing
}

// markBusy sets the state of a connection to busy. It returns false if the connection is being closed. A
// client repeats a request that crossed the close of its connection, so that request must not be processed
// here.
func (s *httpServer) markBusy(cc *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closing {
		return false
	}
	cc.state, cc.carriedRequest, s.lastRequest = connBusy, true, s.clock.now()
	cc.readEnd = readToEnd // the whole request had arrived
	return true
}

// longestDeadline returns the longest deadline of the classes in force.
func (s *httpServer) longestDeadline() (longest time.Duration) {
	for _, class := range s.generation.Load().File.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
