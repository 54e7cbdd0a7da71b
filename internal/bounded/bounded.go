// Package bounded limits the time spent waiting for work that may hang, such as reading
// from a disk.
package bounded

import (
	"errors"
	"time"
)

// ErrLate is returned if the work didn't finish in time.
var ErrLate = errors.New("timed out")

// Do returns the result of work, or ErrLate after d. Work that exceeds its time continues
// in its own goroutine, and its result is discarded.
func Do[T any](d time.Duration, work func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		v, err := work()
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-time.After(d):
		var zero T
		return zero, ErrLate
	}
}
