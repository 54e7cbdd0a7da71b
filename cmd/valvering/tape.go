package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	tapeLines = 256                    // that wait to be written; more are dropped and counted
	tapeEnd   = 200 * time.Millisecond // what waits at the end is given so long,
	tapeSteps = 20                     // in so many steps: a process that stands still for a while loses one
)

// tape is where the log goes. Whoever reads it may be slow, or not read at all: Write
// takes a copy and never waits, so that no part of the edge node ever does. What found no
// room is told of once there is some.
type tape struct {
	lines chan []byte
	done  chan struct{} // closed when all is written

	mu      sync.Mutex
	dropped int
	ended   bool
}

// newTape writes to out in a goroutine of its own, which End ends.
func newTape(out io.Writer) *tape {
	t := &tape{lines: make(chan []byte, tapeLines), done: make(chan struct{})}
	go func() {
		defer close(t.done)
		for line := range t.lines {
			_, _ = out.Write(line) // nobody is left to tell
		}
	}()
	return t
}

// Write takes one line.
func (t *tape) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return len(line), nil
	}
	if t.dropped > 0 && t.put(fmt.Appendf(nil, "%d lines of the log dropped: nobody took them\n", t.dropped)) {
		t.dropped = 0
	}
	if t.dropped > 0 || !t.put(slices.Clone(line)) {
		t.dropped++
	}
	return len(line), nil
}

// put queues a line if there is room.
func (t *tape) put(line []byte) bool {
	select {
	case t.lines <- line:
		return true
	default:
		return false
	}
}

// End waits until what was taken is written, but not for long.
func (t *tape) End() {
	t.mu.Lock()
	if !t.ended {
		t.ended = true
		close(t.lines)
	}
	t.mu.Unlock()
	for range tapeSteps {
		select {
		case <-t.done:
			return
		case <-time.After(tapeEnd / tapeSteps):
		}
	}
}
