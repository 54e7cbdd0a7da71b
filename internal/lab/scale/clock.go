package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// begun anchors the clock of all edge nodes: monotonic, counted from the Unix epoch.
var begun = time.Now()

func unixNow() time.Duration { return time.Duration(begun.UnixNano()) + time.Since(begun) }

// onThread tells the processor time that a function takes on its thread. The function
// must not start others that work for it.
func onThread(do func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := clockTime(unix.CLOCK_THREAD_CPUTIME_ID)
	do()
	return clockTime(unix.CLOCK_THREAD_CPUTIME_ID) - before
}

func clockTime(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// ownTime is the processor time that this process has taken.
func ownTime() time.Duration { return clockTime(unix.CLOCK_PROCESS_CPUTIME_ID) }

// processTime is the processor time that another process has taken.
func processTime(pid int) (time.Duration, error) {
	const processClock = 2 // in the low bits: the scheduler's clock of a process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processClock), &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
