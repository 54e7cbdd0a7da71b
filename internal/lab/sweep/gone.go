package sweep

import (
	"time"

	"gonum.org/v1/gonum/stat"
)

// Requests under a rate limit while one edge node of a set has crashed. This edge node is the root
// of one in setNodes of the tenants.
const (
	crashRate     = 16 // requests a second and edge node
	crashWarmup   = time.Second
	crashDuration = 3 * time.Second
)

// waitsAt simulates a set in a fleet of the given size and returns the sorted waits of its requests
// for their attempts. If crashed is not negative, this edge node crashes before the waits are
// counted.
func waitsAt(nodes, crashed int, seed uint64) ([]float64, error) {
	f, err := newFleetOfSize(nodes, planRate, crashRate, seed)
	if err != nil {
		return nil, err
	}
	f.advance(crashWarmup, crashRate)
	f.crashed, f.counting = crashed, true
	f.advance(crashDuration, crashRate)
	return f.sortedWaits(), nil
}

// measureRootCrash compares the waits with all edge nodes running and with one crashed.
func measureRootCrash(nodes int, seed uint64) ([]sample, error) {
	baseline, err := waitsAt(nodes, -1, seed)
	if err != nil {
		return nil, err
	}
	withCrash, err := waitsAt(nodes, root, seed)
	if err != nil {
		return nil, err
	}
	late := 0
	for _, w := range withCrash {
		if w > baseline[len(baseline)-1] {
			late++
		}
	}
	slow := withCrash[len(withCrash)-late:]
	waited := 0.0
	if late > 0 {
		waited = stat.Quantile(0.5, stat.Empirical, slow, nil)
	}
	return []sample{
		{"wait for an attempt under a rate, most", "ms", baseline[len(baseline)-1]},
		{"one root of 16 gone: requests that wait longer", "part", float64(late) / float64(len(withCrash))},
		{"one root of 16 gone: their wait, median", "ms", waited},
	}, nil
}
