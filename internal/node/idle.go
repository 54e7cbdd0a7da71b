package node

import (
	"math/bits"
	"time"

	"valvering.example/valvering/policy"
)

const (
	// Histogram of the idle ages at which connections are used again.
	ageStep  = 32 * time.Millisecond // upper bound of the first bucket; it doubles with each further bucket
	ageSpans = 12

	// A reset within this time and before any byte of the response means that the idle connection was stale.
	ageQuick = 20 * time.Millisecond

	// A bucket is too old for use when it exceeds both limits.
	ageShare = 0.1 // share of its requests that met a stale connection
	ageLeast = 3.0 // number of such requests

	ageFade = 0.98 // factor on all counts each second, since servers change
)

// idleAges learns how long an idle connection can be used again. Servers may close idle connections earlier
// than configured. A request that is written to such a connection ends with a reset, and a keyed request
// then may only be repeated on a few servers.
type idleAges struct {
	used, broke [ageSpans]float64
}

// ageSpan returns the bucket of an idle age.
func ageSpan(age time.Duration) int { return min(ageSpans-1, bits.Len64(uint64(max(0, age)/ageStep))) }

// note records the result of a request on a connection that had been idle for the given age.
// begun is whether any bytes were received in response.
func (x *idleAges) note(age, took time.Duration, code policy.Code, begun bool) {
	i := ageSpan(age)
	x.used[i]++
	if code == policy.Reset && !begun && took < ageQuick {
		x.broke[i]++
	}
}

// most returns the lowest idle age at which too many connections are stale, but at most the given age.
func (x *idleAges) most(age time.Duration) time.Duration {
	for i := 1; i < ageSpans; i++ {
		if x.broke[i] >= ageLeast && x.broke[i] > ageShare*x.used[i] {
			return min(age, ageStep<<(i-1))
		}
	}
	return age
}

// fade decays all counts. It is called once a second.
func (x *idleAges) fade() {
	for i := range x.used {
		x.used[i] *= ageFade
		x.broke[i] *= ageFade
	}
}
