package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	maxQueuedLines = 256                    // further lines are dropped and counted
	flushTimeout   = 200 * time.Millisecond // for the lines queued at the end
	flushSteps     = 20                     // of the timeout: a suspended process loses one step only
)

// logWriter passes log lines on to a writer that may be slow or blocked. Write
// copies the line and never blocks, so the log never delays the edge node. Lines
// that don't fit into the queue are dropped, and their number is logged later.
type logWriter struct {
	lines chan []byte
	done  chan struct{} // closed when all lines are written

	mu      sync.Mutex
	dropped int
	closed  bool
}

// newLogWriter starts a goroutine that writes to out. Close ends it.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = out.Write(line) // an error of the log can't be reported anywhere
		}
	}()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if w.dropped > 0 &&
		w.enqueue(fmt.Appendf(nil, "%d lines of the log dropped: the reader is too slow\n", w.dropped)) {
		w.dropped = 0
	}
	if w.dropped > 0 || !w.enqueue(slices.Clone(line)) {
		w.dropped++
	}
	return len(line), nil
}

// enqueue queues a line and reports whether there was room for it.
func (w *logWriter) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close waits up to flushTimeout until all queued lines are written.
func (w *logWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	for range flushSteps {
		select {
		case <-w.done:
			return
		case <-time.After(flushTimeout / flushSteps):
		}
	}
}
