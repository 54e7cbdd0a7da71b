package main

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Limits of heap growth between garbage collections. Memory is traded for processor time: the small
// heap of an edge node in a small fleet may grow to five times its live size. In a large fleet that
// growth would take most of the memory, so it is bounded.
const (
	maxGCPercent       = 400
	minGCPercent       = 50
	maxGarbageBytes    = 16 << 20 // growth limit, unless minGCPercent allows more
	gcCheckInterval    = 100 * time.Millisecond
	gcMinChangeDivisor = 8 // changes up to the percentage / 8 don't justify stopping the world
)

// gcPercentFor returns the GOGC percentage for a heap of live bytes. Up to a quarter of maxGarbageBytes it is
// maxGCPercent.
func gcPercentFor(live uint64) int {
	if live <= maxGarbageBytes*100/maxGCPercent {
		return maxGCPercent
	}
	return max(minGCPercent, int(100*uint64(maxGarbageBytes)/live))
}

// adjustGC sets the garbage collector's percentage according to the live heap, until ctx ends.
func adjustGC(ctx context.Context) {
	percent := maxGCPercent
	debug.SetGCPercent(percent)
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	ticker := time.NewTicker(gcCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(live)
		if live[0].Value.Kind() != metrics.KindUint64 {
			return // this runtime doesn't report the metric
		}
		if next := gcPercentFor(live[0].Value.Uint64()); significantChange(percent, next) {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}

// significantChange reports whether the change of the percentage justifies stopping the world. A change to
// maxGCPercent always does.
func significantChange(percent, next int) bool {
	change := max(percent-next, next-percent)
	return change > percent/gcMinChangeDivisor || change > 0 && next == maxGCPercent
}
