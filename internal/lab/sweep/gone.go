package sweep

import (
	"time"

	"gonum.org/v1/gonum/stat"
)

// Requests under a rate limit while one edge node of a set has crashed. This edge node is the root
// of one in setNodes of the tenants.
const (
	goneRate = 16 // requests a second and edge node
	goneWarm = time.Second
	goneFor  = 3 * time.Second
)

// waitsAt simulates a set in a fleet of the given size and returns the sorted waits of its requests
// for their attempts. If crashed is not negative, this edge node crashes before the waits are
// counted.
func waitsAt(nodes, gone int, seed uint64) ([]float64, error) {
	f, err := newFleetOf(nodes, planRate, goneRate, seed)
	if err != nil {
		return nil, err
	}
	f.play(goneWarm, goneRate)
	f.gone, f.counting = gone, true
	f.play(goneFor, goneRate)
	return f.sortedWaits(), nil
}

// measureRootCrash compares the waits with all edge nodes running and with one crashed.
func rootGone(nodes int, seed uint64) ([]sample, error) {
	all, err := waitsAt(nodes, -1, seed)
	if err != nil {
		return nil, err
	}
	one, err := waitsAt(nodes, root, seed)
	if err != nil {
		return nil, err
	}
	late := 0
	for _, w := range one {
		if w > all[len(all)-1] {
			late++
		}
	}
	slow := one[len(one)-late:]
	waited := 0.0
	if late > 0 {
		waited = stat.Quantile(0.5, stat.Empirical, slow, nil)
	}
	return []sample{
		{"wait for an attempt under a rate, most", "ms", all[len(all)-1]},
		{"one root of 16 gone: requests that wait longer", "part", float64(late) / float64(len(one))},
		{"one root of 16 gone: their wait, median", "ms", waited},
	}, nil
}
