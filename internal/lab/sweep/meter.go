package sweep

import (
	"runtime"
	"syscall"
	"time"
)

// A measurement ends at this processor time or number of batches, whichever comes first.
const (
	minTotalTime = 20 * time.Millisecond
	maxBatches   = 25
)

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // fails only for invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stopwatch sums the processor time of operations.
type stopwatch struct {
	spent      time.Duration
	operations int
}

// run measures work that consists of a number of operations. For 0 operations it does nothing.
func (w *stopwatch) run(operations int, work func()) {
	if operations == 0 {
		return
	}
	began := processorTime()
	work()
	w.spent += processorTime() - began
	w.operations += operations
}

// meanMicros returns the mean time of an operation in microseconds.
func (w *stopwatch) meanMicros() float64 {
	return float64(w.spent) / float64(time.Microsecond) / float64(max(1, w.operations))
}

// timeOperation returns the mean time of an operation in microseconds. It repeats the operation
// until minTotalTime or maxBatches is reached.
func timeOperation(operation func()) float64 {
	var w stopwatch
	for i := 0; i < maxBatches && w.spent < minTotalTime; i++ {
		w.run(1, operation)
	}
	return w.meanMicros()
}

// heapInUse returns the memory of all reachable objects.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // frees objects that finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns a new value and the heap memory that it retains.
func heapOf[T any](make func() T) (T, float64) {
	before := heapInUse()
	v := make()
	after := heapInUse()
	runtime.KeepAlive(v)
	runtime.KeepAlive(make) // keeps the variables that make refers to
	return v, after - before
}
