package world

import (
	"math/rand/v2"
	"time"

	"valvering.example/valvering/policy"
)

// MayRepeat reports whether an answer may call a retry harmless although an attempt may have run.
func (c *Class) MayRepeat() bool {
	effect, group := c.Kind()
	return effect == policy.Safe || effect == policy.Keyed && group == policy.GroupAll
}

// Retry is what a client knows when it decides whether to retry a request that was not served.
type Retry struct {
	Class      *Class
	Retryable  bool          // the last try was refused or never reached an edge node
	MayHaveRun bool          // an attempt may have run
	RanSince   time.Duration // time since that attempt was sent
	Tries      int           // tries made so far
	RetryAfter time.Duration // retry delay that the answer advises; 0: none
	Remaining  time.Duration // time that the client still waits
	Eagerness  float64       // factor on the number of tries and divisor of the wait between them
}

// minTryTime is the shortest time that a client allows for a try.
const minTryTime = 10 * time.Millisecond

// DecideRetry decides whether a client retries, and how long it waits first.
func (w *World) DecideRetry(rng *rand.Rand, r Retry) (wait time.Duration, retry bool) {
	c := r.Class
	allowed := r.Retryable || c.MayRepeat() && (c.Effect != "by_key" || !r.MayHaveRun ||
		r.RanSince < c.Window.D())
	wait = time.Duration((0.5 + rng.Float64()) * float64(w.Client.Backoff) *
		float64(min(r.Tries, 4)) / r.Eagerness)
	if r.RetryAfter > 0 && rng.Float64() < w.Client.Heed {
		wait = min(r.RetryAfter, w.Rules.Retry.D())
	}
	return wait, allowed && r.Tries < int(float64(w.Client.Tries)*r.Eagerness) && r.Remaining > wait+minTryTime
}
