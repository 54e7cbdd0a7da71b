package sweep

import (
	"context"
	"time"
)

// A network partition between two halves of a tenant's edge nodes, with a demand above the quota on
// each side. Admitted requests are measured in seconds of the quota, so the slope is the multiple
// of the quota that is admitted during the partition.
const (
	cutTenants = 8
	cutDemand  = 3.0 // multiple of the quota, on each side
	cutWarmup  = 5 * time.Second
)

// partitions are the ways to divide a set. The numbers of a tenant's root and deputy differ by half
// a set.
var partitions = []struct {
	name string
	side func(node int) int
}{
	{"root and deputy on two sides", func(node int) int { return node / (setNodes / 2) }},
	{"root and deputy on one side", func(node int) int { return node % 2 }},
}

// measureCut measures how much a set admits during a partition of the given length.
func measureCut(ctx context.Context, s *sweeper, seconds, repetitions int) error {
	for seed := range repetitions {
		for _, h := range partitions {
			if ctx.Err() != nil {
				return nil
			}
			list, err := runCut(h.name, h.side, seconds, uint64(seed)+1)
			if err != nil {
				return err
			}
			s.add(seconds, list...)
		}
	}
	return nil
}

// runCut simulates one partition. The tenants have used up their burst before it starts.
func runCut(name string, side func(int) int, seconds int, seed uint64) ([]sample, error) {
	const rate = int(2 * cutDemand * tightRate * cutTenants / setNodes)
	f, err := newFleet(planTight, rate, seed)
	if err != nil {
		return nil, err
	}
	f.tenants = cutTenants
	f.advance(cutWarmup, rate)
	quota := tightRate * cutTenants
	f.counting = true
	f.advance(cutWarmup, rate)
	before := float64(f.traffic.sent) / quota / cutWarmup.Seconds()
	f.traffic = traffic{count: map[kind]int{}}
	f.cut = func(from, to int) bool { return side(from) != side(to) }
	f.advance(time.Duration(seconds)*time.Second, rate)
	return []sample{
		{name + ": admitted", "s of quota", float64(f.traffic.sent) / quota},
		{name + ": admitted before, of the quota", "part", before},
	}, nil
}
