package sim

import "time"

// event is a scheduled call. Events at the same time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// queue is a 4-ary heap of events, the next one first. container/heap would allocate at each push.
type queue []event

func (q queue) before(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q *queue) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 4
		if !h.before(i, up) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *queue) pop() event {
	h := *q
	top, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	for i := 0; ; {
		best := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if h.before(c, best) {
				best = c
			}
		}
		if best == i {
			break
		}
		h[i], h[best] = h[best], h[i]
		i = best
	}
	*q = h
	return top
}
