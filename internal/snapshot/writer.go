package snapshot

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Counts holds statistics of a Writer.
type Counts struct {
	Written int       // snapshots
	Failed  int       // writes that failed
	Dropped int       // states that a newer one replaced before they were written
	Bytes   int64     // total size of the written snapshots
	Last    time.Time // time of the last successful write; zero: none
	Error   string    // error of the latest write; empty if it succeeded
}

// Writer writes states in its own goroutine.
type Writer struct {
	store     *Store
	pending   chan *State   // holds the state to write next
	done      chan struct{} // closed when the goroutine has ended
	firstDone chan struct{} // closed when the first write has ended

	mu     sync.Mutex
	counts Counts
}

// NewWriter starts a writer. Close stops it.
func NewWriter(s *Store) *Writer {
	w := &Writer{store: s, pending: make(chan *State, 1), done: make(chan struct{}),
		firstDone: make(chan struct{})}
	go w.run()
	return w
}

// Offer passes a state to the writer. The caller must not modify it afterwards. Offer
// doesn't block: the state replaces one that is still waiting to be written. Only one
// goroutine may call Offer.
func (w *Writer) Offer(s *State) {
	select {
	case <-w.pending:
		w.mu.Lock()
		w.counts.Dropped++
		w.mu.Unlock()
	default:
	}
	w.pending <- s
}

// WaitFirst waits until the first write has ended or ctx is done. It reports whether a
// snapshot was written, which a start finds from then on.
func (w *Writer) WaitFirst(ctx context.Context) bool {
	select {
	case <-w.firstDone:
		return w.Counts().Written > 0
	case <-ctx.Done():
		return false
	}
}

// Counts returns the current statistics.
func (w *Writer) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Close waits until the last offered state is written or ctx is done. It reports whether
// the last write succeeded. Offer must not be called any more.
func (w *Writer) Close(ctx context.Context) bool {
	close(w.pending)
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
	for s := range w.pending {
		n, err := w.store.Write(s)
		w.mu.Lock()
		previousErr := w.counts.Error
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
		first.Do(func() { close(w.firstDone) })
		switch {
		case err != nil && previousErr == "":
			slog.Error("snapshot not written; the one before stays", "err", err, "failed", failed)
		case err == nil && previousErr != "":
			slog.Info("snapshots are written again", "failed", failed)
		}
	}
}
