// Package bounded gives work that may hang, such as reading from a disk, a bounded time.
package bounded

import (
	"errors"
	"time"
)

// ErrLate is work that has not ended in its time.
var ErrLate = errors.New("not done in time")

// Do returns what the work does, or ErrLate once its time is up. Work that is late goes on
// in a goroutine of its own, which nobody waits for any more.
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
		var none T
		return none, ErrLate
	}
}
