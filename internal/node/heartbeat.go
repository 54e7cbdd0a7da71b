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
	looks atomic.Int64 // number of beats since the start
	due   atomic.Int64 // expected time of the next beat, by the loop's clock; 0: no beat yet
	worst atomic.Int64 // largest lag in the current and the previous window

	// Used by the loop alone.
	before, now time.Duration // largest lag in the previous and the current window
	began       time.Duration // start of the current window
}

// beat records that the loop is running, and when the next beat is expected.
func (p *heartbeat) beat(now, next time.Duration) {
	if now-p.began >= lagWindow {
		p.before, p.now, p.began = p.now, 0, now
	}
	if due := time.Duration(p.due.Load()); due != 0 {
		p.now = max(p.now, now-due)
	}
	p.worst.Store(int64(max(p.now, p.before)))
	p.looks.Add(1)
	p.due.Store(int64(next))
}

// lag returns the current lag of the loop, and the worst in the current and the previous window.
func (p *heartbeat) lag(now time.Duration) (present, worst time.Duration) {
	if due := time.Duration(p.due.Load()); due != 0 {
		present = max(0, now-due)
	}
	return present, max(present, time.Duration(p.worst.Load()))
}
