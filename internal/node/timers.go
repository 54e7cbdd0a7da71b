package node

import (
	"container/heap"
	"time"

	"valvering.example/valvering/policy"
)

// timer is a timer of policy, the backstop of a request, or the next check for disconnected clients.
type timer struct {
	at              time.Duration
	token           string
	call            *call
	disconnectCheck bool // check for disconnected clients
	index           int  // index in the heap; -1: removed
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1], t.index = nil, -1
	*h = old[:len(old)-1]
	return t
}

// armTimer sets the timer to the earliest entry of the heap.
func (l *loop) armTimer() {
	if len(l.timers) == 0 || l.timerAt != 0 && l.timerAt <= l.timers[0].at {
		return
	}
	l.timerAt = l.timers[0].at
	l.timer.Reset(max(0, l.timerAt-l.clock.now()))
}

// fireTimers handles the timers that have expired. Timers set meanwhile wait for the next call, however
// short they are, so that events are handled in between.
func (l *loop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		t := heap.Pop(&l.timers).(*timer)
		switch {
		case t.call != nil:
			l.failOverdue(t.call)
		case t.disconnectCheck:
			l.checkDisconnects()
			l.sendClaims()
		default:
			l.dispatch(policy.Timer{Token: t.token})
		}
	}
}
