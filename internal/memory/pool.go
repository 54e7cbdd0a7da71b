package memory

import (
	"context"
	"errors"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// ErrFull is returned if a pool has no room for a reservation within the caller's time.
var ErrFull = errors.New("no memory for the message")

// Pool counts bytes that are reserved for messages. It is safe for concurrent use. The zero value and nil
// have no limit.
type Pool struct {
	limit    int64
	free     *semaphore.Weighted
	reserved atomic.Int64
	peak     atomic.Int64
	refused  atomic.Int64
}

// NewPool returns a pool of the given number of bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit, free: semaphore.NewWeighted(limit)} }

// TryReserve reserves n bytes if they are free, and reports whether they are.
func (p *Pool) TryReserve(n int) bool {
	if p == nil || p.free == nil {
		return true
	}
	if !p.free.TryAcquire(int64(n)) {
		return false
	}
	p.count(int64(n))
	return true
}

// Reserve reserves n bytes. It waits for them until ctx is done and then returns ErrFull. Callers get their
// bytes in the order in which they asked for them.
func (p *Pool) Reserve(ctx context.Context, n int) error {
	if p == nil || p.free == nil {
		return nil
	}
	if int64(n) > p.limit || p.free.Acquire(ctx, int64(n)) != nil {
		p.refused.Add(1)
		return ErrFull
	}
	p.count(int64(n))
	return nil
}

// Release returns n reserved bytes.
func (p *Pool) Release(n int) {
	if p == nil || p.free == nil || n == 0 {
		return
	}
	p.reserved.Add(-int64(n))
	p.free.Release(int64(n))
}

// count adds n bytes to the gauges.
func (p *Pool) count(n int64) {
	reserved := p.reserved.Add(n)
	for peak := p.peak.Load(); reserved > peak && !p.peak.CompareAndSwap(peak, reserved); {
		peak = p.peak.Load()
	}
}

// Usage is the state of a pool, in bytes, and the number of its failed reservations.
type Usage struct {
	Limit    int64
	Reserved int64
	Peak     int64 // the most that was reserved at the same time
	Refused  int64
}

// Usage returns the present state.
func (p *Pool) Usage() Usage {
	if p == nil {
		return Usage{}
	}
	return Usage{p.limit, p.reserved.Load(), p.peak.Load(), p.refused.Load()}
}
