package sweep

import (
	"runtime"
	"syscall"
	"time"
)

// enoughTime is the processor time after which a stopwatch has seen enough, mostBatches
// the number of batches at which it ends in any case.
const (
	enoughTime  = 20 * time.Millisecond
	mostBatches = 25
)

// processorTime is what the process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are wrong
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stopwatch sums the processor time of operations.
type stopwatch struct {
	spent      time.Duration
	operations int
}

// run times work that does so many operations; for none it does nothing.
func (w *stopwatch) run(operations int, work func()) {
	if operations == 0 {
		return
	}
	began := processorTime()
	work()
	w.spent += processorTime() - began
	w.operations += operations
}

// micros is the mean time of an operation in microseconds.
func (w *stopwatch) micros() float64 {
	return float64(w.spent) / float64(time.Microsecond) / float64(max(1, w.operations))
}

// timed is the time of an operation in microseconds: it is repeated until enough
// processor time was used.
func timed(operation func()) float64 {
	var w stopwatch
	for i := 0; i < mostBatches && w.spent < enoughTime; i++ {
		w.run(1, operation)
	}
	return w.micros()
}

// heapInUse is the memory of all that can be reached.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // what a finalizer held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf is what a value holds on to, with the value.
func heapOf[T any](make func() T) (T, float64) {
	before := heapInUse()
	v := make()
	after := heapInUse()
	runtime.KeepAlive(v)
	runtime.KeepAlive(make) // and with it what it was made of
	return v, after - before
}
