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
	Class    *Class
	Harmless bool          // the last try was refused or never reached an edge node
	MayRan   bool          // an attempt may have run
	RanSince time.Duration // time since that attempt was sent
	Tries    int           // tries made so far
	Advice   time.Duration // retry delay that the answer advises; 0: none
	Left     time.Duration // time that the client still waits
	Eager    float64       // factor on the number of tries and divisor of the wait between them
}

// minTryTime is the shortest time that a client allows for a try.
const minTryTime = 10 * time.Millisecond

// Again decides whether a client retries, and how long it waits first.
func (w *World) Again(rng *rand.Rand, r Retry) (wait time.Duration, again bool) {
	c := r.Class
	allowed := r.Harmless || c.MayRepeat() && (c.Effect != "by_key" || !r.MayRan || r.RanSince < c.Window.D())
	wait = time.Duration((0.5 + rng.Float64()) * float64(w.Client.Backoff) * float64(min(r.Tries, 4)) / r.Eager)
	if r.Advice > 0 && rng.Float64() < w.Client.Heed {
		wait = min(r.Advice, w.Rules.Retry.D())
	}
	return wait, allowed && r.Tries < int(float64(w.Client.Tries)*r.Eager) && r.Left > wait+minTryTime
}
