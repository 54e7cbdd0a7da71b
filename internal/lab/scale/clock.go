package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// processStart anchors the clock of all edge nodes, which is monotonic and counts from the Unix
// epoch.
var processStart = time.Now()

func unixNow() time.Duration {
	return time.Duration(processStart.UnixNano()) + time.Since(processStart)
}

// threadTime returns the processor time that a function takes on its thread. The function must not
// start goroutines that work for it.
func threadTime(do func()) time.Duration {
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

// ownTime returns the processor time that this process has used.
func ownTime() time.Duration { return clockTime(unix.CLOCK_PROCESS_CPUTIME_ID) }

// processTime returns the processor time that another process has used.
func processTime(pid int) (time.Duration, error) {
	const processClock = 2 // CPUCLOCK_SCHED in the low bits: the scheduler's clock of a process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processClock), &t); err != nil {
		return 0, fmt.Errorf("reading the processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
