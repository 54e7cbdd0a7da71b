package world

import (
	"math/rand/v2"
	"time"

	"valvering.example/valvering/policy"
)

// MayRepeat tells whether a client may be told that a repeat is harmless though an
// attempt may have run.
func (c *Class) MayRepeat() bool {
	effect, group := c.Kind()
	return effect == policy.Safe || effect == policy.Keyed && group == policy.GroupAll
}

// Retry is what a client goes by when a try of its was not served.
type Retry struct {
	Class    *Class
	Harmless bool          // it was refused, or never taken
	MayRan   bool          // an attempt may have run,
	RanSince time.Duration // and was sent so long ago
	Tries    int           // that were made
	Advice   time.Duration // when to come again, of the answer; 0: none
	Left     time.Duration // that the client still waits
	Eager    float64       // it comes so many times as often and as soon
}

// leastTry is the least time that a client leaves a try.
const leastTry = 10 * time.Millisecond

// Again tells whether a client comes again, and how long it waits first.
func (w *World) Again(rng *rand.Rand, r Retry) (wait time.Duration, again bool) {
	c := r.Class
	may := r.Harmless || c.MayRepeat() && (c.Effect != "by_key" || !r.MayRan || r.RanSince < c.Window.D())
	wait = time.Duration((0.5 + rng.Float64()) * float64(w.Client.Backoff) * float64(min(r.Tries, 4)) / r.Eager)
	if r.Advice > 0 && rng.Float64() < w.Client.Heed {
		wait = min(r.Advice, w.Rules.Retry.D())
	}
	return wait, may && r.Tries < int(float64(w.Client.Tries)*r.Eager) && r.Left > wait+leastTry
}
