package snapshot

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Counts tells how the writing goes.
type Counts struct {
	Written int       // snapshots
	Failed  int       // snapshots that could not be written
	Dropped int       // states that a newer one overtook before they were written
	Bytes   int64     // of all that were written
	Last    time.Time // when the last one was; zero: none
	Error   string    // why the latest failed; empty: it did not
}

// Writer writes states in a goroutine of its own.
type Writer struct {
	store *Store
	box   chan *State // room for one
	done  chan struct{}
	first chan struct{} // closed when the first write has ended

	mu     sync.Mutex
	counts Counts
}

// NewWriter starts a writer; Close ends it.
func NewWriter(s *Store) *Writer {
	w := &Writer{store: s, box: make(chan *State, 1), done: make(chan struct{}), first: make(chan struct{})}
	go w.run()
	return w
}

// Offer hands over a state, which is not changed from then on. It never waits:
// one that the disk had no time for yet gives way. One goroutine offers.
func (w *Writer) Offer(s *State) {
	select {
	case <-w.box:
		w.mu.Lock()
		w.counts.Dropped++
		w.mu.Unlock()
	default:
	}
	w.box <- s
}

// First waits for the end of the first write, until ctx ends, and tells whether
// that state is what a start finds from now on.
func (w *Writer) First(ctx context.Context) bool {
	select {
	case <-w.first:
		return w.Counts().Written > 0
	case <-ctx.Done():
		return false
	}
}

// Counts tells how the writing goes.
func (w *Writer) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Close lets the writer write what it was offered, until ctx ends; nothing may be
// offered any more. It tells whether all is written.
func (w *Writer) Close(ctx context.Context) bool {
	close(w.box)
	select {
	case <-w.done:
		return w.Counts().Error == ""
	case <-ctx.Done():
		return false
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var first sync.Once
	for s := range w.box {
		n, err := w.store.Write(s)
		w.mu.Lock()
		was := w.counts.Error
		if w.counts.Error = ""; err != nil {
			w.counts.Failed++
			w.counts.Error = err.Error()
		} else {
			w.counts.Written++
			w.counts.Bytes += int64(n)
			w.counts.Last = time.Now()
		}
		failed := w.counts.Failed
		w.mu.Unlock()
		first.Do(func() { close(w.first) })
		switch {
		case err != nil && was == "":
			slog.Error("snapshot not written; the one before stays", "err", err, "failed", failed)
		case err == nil && was != "":
			slog.Info("snapshots are written again", "failed", failed)
		}
	}
}
