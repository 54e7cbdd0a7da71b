package node

import (
	"context"
	"time"

	"valvering.example/valvering/internal/memory"
)

// Requests that need more than the fixed memory of their connection reserve it from a pool. If the pool is
// full, a new request waits a little for others to end, and requests that are still arriving after
// slowRequestAge give way to it: they are refused. A request that finds no memory in time is refused too. No
// attempt has been made for such requests, so their clients may repeat them.
const (
	memoryWait       = 250 * time.Millisecond
	slowRequestAge   = 250 * time.Millisecond
	memoryRetryAfter = time.Second // requests that are arriving end within twice this time
)

// reserve reserves memory for the request that is being read.
func (cc *clientConn) reserve(n int) error {
	if !cc.memory.TryReserve(n) {
		if err := cc.server.awaitMemory(cc, n); err != nil {
			return err
		}
	}
	cc.server.addReserved(cc, n)
	return nil
}

// release returns reserved memory.
func (cc *clientConn) release(n int) {
	cc.memory.Release(n)
	cc.server.addReserved(cc, -n)
}

// addReserved changes the count of a connection's reserved bytes.
func (s *httpServer) addReserved(cc *clientConn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc.reserved += n
}

// awaitMemory waits for memory that is in use.
func (s *httpServer) awaitMemory(cc *clientConn, n int) error {
	s.displaceSlowRequests(cc, n)
	ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
	defer cancel()
	return cc.memory.Reserve(ctx, n)
}

// displaceSlowRequests ends the reading of requests that have been arriving for slowRequestAge, the oldest
// first, until they hold n bytes together.
func (s *httpServer) displaceSlowRequests(newcomer *clientConn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for freed := 0; freed < n; {
		slowest := s.slowestRequest(newcomer)
		if slowest == nil {
			return
		}
		freed += slowest.reserved
		slowest.endReading(endedForMemory)
	}
}

// slowestRequest returns the connection whose request holds memory and has been arriving for the longest
// time, if that is at least slowRequestAge. The caller holds the mutex.
func (s *httpServer) slowestRequest(newcomer *clientConn) *clientConn {
	var slowest *clientConn
	latestStart := s.clock.now() - slowRequestAge
	for cc := range s.conns {
		if cc == newcomer || !cc.isReading() || cc.reserved == 0 || cc.stateSince > latestStart {
			continue
		}
		if slowest == nil || cc.stateSince < slowest.stateSince {
			slowest = cc
		}
	}
	return slowest
}

// refuseForMemory refuses a request for which there is no memory.
func (s *httpServer) refuseForMemory(cc *clientConn) {
	s.refuseUnread(cc, memoryRetryAfter, memory.ErrFull.Error())
}

// freeMemory frees the memory of a connection that is being closed.
func (cc *clientConn) freeMemory() {
	cc.input.discardAll()
	cc.request.reset()
	cc.writeBuf = nil
	cc.readAhead.mu.Lock()
	defer cc.readAhead.mu.Unlock()
	cc.readAhead.free()
}
