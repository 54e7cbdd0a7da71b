package node

import (
	"sync/atomic"
	"time"
)

// lagWindow is how long the worst delay stays to be seen: at least one such
// window, at most two.
const lagWindow = 30 * time.Second

// heartbeat tells how the event loop gets on. The loop beats it once a look; anybody may
// ask, also while the loop stands still.
type heartbeat struct {
	looks atomic.Int64 // beats since the start
	due   atomic.Int64 // when the loop is to beat next, by its clock; 0: it has not begun
	worst atomic.Int64 // longest delay of a beat in this window and the one before

	before, now time.Duration // the same of each window; the loop's
	began       time.Duration // of this window
}

// beat notes that the loop has got on, and when it is to do so next.
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

// lag tells how far the loop is behind, and how far it has been of late.
func (p *heartbeat) lag(now time.Duration) (present, worst time.Duration) {
	if due := time.Duration(p.due.Load()); due != 0 {
		present = max(0, now-due)
	}
	return present, max(present, time.Duration(p.worst.Load()))
}
