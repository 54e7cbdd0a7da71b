package node

import (
	"math/bits"
	"time"

	"valvering.example/valvering/policy"
)

const (
	// Histogram of the idle ages at which connections are used again.
	firstAgeBucket = 32 * time.Millisecond // upper bound of the first bucket, doubled in each further one
	ageBuckets     = 12

	// A reset within this time and before any byte of the response means that the idle connection was stale.
	staleResetLimit = 20 * time.Millisecond

	// A bucket is too old for reuse if its stale requests reach the count and exceed the share.
	maxStaleShare = 0.1 // share of its requests that met a stale connection
	minStaleCount = 3.0 // number of such requests

	ageCountDecay = 0.98 // factor on all counts each second, since servers change
)

// idleAgeStats learns how long an idle connection can be used again. Servers may close idle connections
// earlier than configured. A request that is written to such a connection ends with a reset. A keyed request
// may then be repeated only within its group of servers, and only for a limited time.
type idleAgeStats struct {
	requests, stale [ageBuckets]float64
}

// ageBucket returns the bucket of an idle age.
func ageBucket(age time.Duration) int {
	return min(ageBuckets-1, bits.Len64(uint64(max(0, age)/firstAgeBucket)))
}

// record records the result of a request on a connection that had been idle for the given age.
// received is whether any bytes were received in response.
func (x *idleAgeStats) record(age, took time.Duration, code policy.Code, received bool) {
	i := ageBucket(age)
	x.requests[i]++
	if code == policy.Reset && !received && took < staleResetLimit {
		x.stale[i]++
	}
}

// maxIdleAge returns the lowest idle age at which too many connections are stale, but at most the given age.
func (x *idleAgeStats) maxIdleAge(age time.Duration) time.Duration {
	for i := 1; i < ageBuckets; i++ {
		if x.stale[i] >= minStaleCount && x.stale[i] > maxStaleShare*x.requests[i] {
			return min(age, firstAgeBucket<<(i-1))
		}
	}
	return age
}

// decay multiplies all counts by ageCountDecay. It is called once a second.
func (x *idleAgeStats) decay() {
	for i := range x.requests {
		x.requests[i] *= ageCountDecay
		x.stale[i] *= ageCountDecay
	}
}
