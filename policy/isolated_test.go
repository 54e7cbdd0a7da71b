package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// isolationResult counts what isolated gateways did while they received no messages.
type isolationResult struct {
	// First tries of customers within their quotas, and those admitted.
	withinQuota, withinQuotaAdmitted int
	admittedAlone                    int     // requests admitted without a root's answer
	maxAdmittedAlone                 float64 // upper bound of admittedAlone, by earlier grants
	// Retries admitted without a root's answer, and requests that had to wait.
	retriesAdmitted, waited int
	isolatedAfterwards      int // gateways still isolated one second after the partition
}

// isolate simulates 50 gateways that receive no messages for six seconds. Meanwhile the request rate
// doubles, and some customers request several times their quota. eachStep, unless nil, is called at
// each step of the partition.
func isolate(t testing.TB, seed uint64, eachStep func(w *cluster)) (s isolationResult) {
	const (
		gateways, customers, spread = 50, 100, 25
		heavy                       = 5 // customers beyond their quota
		perStep                     = 4 // requests every 10 ms
		partitionTime               = 6 * time.Second
	)
	w := newCluster(t, gateways, testServers(60))
	rng, id, partitioned := rand.New(rand.NewPCG(seed, 7)), RequestID(0), false
	w.lose = func(int, int) bool { return partitioned || rng.IntN(20) == 0 }
	step := func(time.Duration) {
		n := perStep
		if partitioned {
			n *= 2
		}
		for range n {
			k := rng.IntN(customers)
			if rng.IntN(4) == 0 {
				k = rng.IntN(heavy)
			}
			id++
			r := Request{ID: id, Customer: fmt.Sprint(k), Plan: "rate", Class: "safe", Units: 1,
				Remaining: 2 * time.Second, Spread: spread, First: k % gateways, Retry: rng.IntN(5) == 0}
			from := (k + rng.IntN(spread)) % gateways
			g, sent, final := w.gs[from], len(w.sends), w.rejected
			isolated := g.isolated()
			w.do(from, r)
			admitted := len(w.sends) > sent
			if c := g.customers[customerKey(r.Customer)]; !isolated || c != nil && len(c.rootAndDeputy) == 0 {
				continue // it is not isolated, or counts the customer itself
			}
			if !admitted && w.rejected == final {
				s.waited++
			}
			if !r.Retry && k >= heavy {
				s.withinQuota++
			}
			if !admitted {
				continue
			}
			s.admittedAlone++
			if r.Retry {
				s.retriesAdmitted++
			} else if k >= heavy {
				s.withinQuotaAdmitted++
			}
		}
	}
	w.advance(8*time.Second, step)
	for _, g := range w.gs {
		s.maxAdmittedAlone += g.maxCredit() + g.recentGrants*partitionTime.Seconds()/grantDecayTime.Seconds()
	}
	partitioned = true
	w.advance(partitionTime, func(now time.Duration) {
		if eachStep != nil {
			eachStep(w)
		}
		step(now)
	})
	partitioned = false
	w.advance(time.Second, func(now time.Duration) {
		step(now)
		if now/ms%100 != 0 {
			return
		}
		for from := range w.gs { // a gateway without requests sends no asks and so gets no answer
			id++
			w.do(from, Request{ID: id, Customer: fmt.Sprint("own ", from), Plan: "rate", Class: "safe",
				Units: 1, Remaining: 2 * time.Second, Spread: spread, First: from})
		}
	})
	for _, g := range w.gs {
		if g.isolated() {
			s.isolatedAfterwards++
		}
	}
	return s
}

// Isolated gateways continue to admit requests without waiting for answers, together no more than their
// roots granted before. Any message ends the isolation.
func TestIsolatedGatewaysServeAlone(t *testing.T) {
	for seed := range uint64(3) {
		s := isolate(t, seed, nil)
		t.Logf("seed %d: %+v", seed, s)
		if s.waited > 0 || s.retriesAdmitted > 0 || s.isolatedAfterwards > 0 ||
			float64(s.admittedAlone) > s.maxAdmittedAlone || s.withinQuotaAdmitted*5 < s.withinQuota*2 ||
			s.withinQuota == 0 {
			t.Errorf("seed %d: %+v", seed, s)
		}
	}
	// With twice the maximum credit all the time, the bound is exceeded, which shows that the test can
	// fail.
	s := isolate(t, 1, func(w *cluster) {
		for _, g := range w.gs {
			g.isolationCredit = 2 * g.maxCredit()
		}
	})
	if float64(s.admittedAlone) <= s.maxAdmittedAlone {
		t.Errorf("%+v: too much credit did not exceed the bound", s)
	}
}
