package main

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// The heap of an edge node before a small fleet is small, and memory is spent to save
// processor time: it may grow to five times what lives. Before a large fleet that would be
// most of its memory, so what it may grow by is bounded.
const (
	mostGCPercent  = 400
	leastGCPercent = 50
	mostGarbage    = 16 << 20 // bytes; where less lives than a quarter of it, mostGCPercent holds
	gcLookEvery    = 100 * time.Millisecond
	gcLeastChange  = 8 // a change by less than this fraction is not worth stopping the world
)

// gcPercentFor is by how much the heap may grow over so many live bytes.
func gcPercentFor(live uint64) int {
	if live <= mostGarbage*100/mostGCPercent {
		return mostGCPercent
	}
	return max(leastGCPercent, int(100*uint64(mostGarbage)/live))
}

// paceGC keeps the garbage collector's percentage by what lives, until ctx ends.
func paceGC(ctx context.Context) {
	percent := mostGCPercent
	debug.SetGCPercent(percent)
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	look := time.NewTicker(gcLookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
		metrics.Read(live)
		if live[0].Value.Kind() != metrics.KindUint64 {
			return // not told by this runtime
		}
		if next := gcPercentFor(live[0].Value.Uint64()); worthSetting(percent, next) {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}

func worthSetting(percent, next int) bool {
	change := max(percent-next, next-percent)
	return change > percent/gcLeastChange || change > 0 && next == mostGCPercent
}
