package node

import (
	"sync/atomic"
	"time"
)

// lagWindow is the period over which the worst lag is measured. A worst lag is reported for one to two
// periods.
const lagWindow = 30 * time.Second

// heartbeat measures the lag of the event loop. The loop records a beat with each check for disconnected
// clients. Any goroutine may read it, also while the loop is blocked.
type heartbeat struct {
	beats    atomic.Int64 // number of beats since the start
	nextBeat atomic.Int64 // expected time of the next beat, by the loop's clock; 0: no beat yet
	worstLag atomic.Int64 // largest lag in the current and the previous window

	// Used by the loop alone.
	previousMax, currentMax time.Duration // largest lag in the previous and the current window
	windowStart             time.Duration // start of the current window
}

// record records that the loop is running, and when the next beat is expected.
func (p *heartbeat) record(now, next time.Duration) {
	if now-p.windowStart >= lagWindow {
		p.previousMax, p.currentMax, p.windowStart = p.currentMax, 0, now
	}
	if due := time.Duration(p.nextBeat.Load()); due != 0 {
		p.currentMax = max(p.currentMax, now-due)
	}
	p.worstLag.Store(int64(max(p.currentMax, p.previousMax)))
	p.beats.Add(1)
	p.nextBeat.Store(int64(next))
}

// lag returns the current lag of the loop, and the worst in the current and the previous window.
func (p *heartbeat) lag(now time.Duration) (current, worst time.Duration) {
	if due := time.Duration(p.nextBeat.Load()); due != 0 {
		current = max(0, now-due)
	}
	return current, max(current, time.Duration(p.worstLag.Load()))
}
