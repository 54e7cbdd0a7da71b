package tally

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Account is a customer's true quota over all edge nodes. It sees the first attempt of every try.
type Account struct {
	Plan          *world.Plan
	tokens        float64
	ceilingTokens float64
	at            time.Duration
	inFlight      int // attempts in flight
	ideal         ideal
}

// ideal is the same quota under a policy that admits each request that fits when it arrives. It determines
// which requests lie within the quota.
type ideal struct {
	tokens float64
	at     time.Duration
}

// NewAccount returns an account with full token buckets.
func NewAccount(p *world.Plan, now time.Duration) *Account {
	return &Account{Plan: p, tokens: p.Store, ceilingTokens: p.HardSize, at: now, ideal: ideal{p.Store, now}}
}

// Fits reports whether a request that arrives now lies within the quota of the ideal policy. If so, it
// charges the request to this quota.
func (a *Account) Fits(units float64, now time.Duration) bool {
	if a.Plan.Rate == 0 {
		return true // a plan with a cap alone: the request may wait
	}
	i := &a.ideal
	i.tokens = min(a.Plan.Store, i.tokens+a.Plan.Rate*(now-i.at).Seconds())
	if i.at = now; i.tokens < units {
		return false
	}
	i.tokens -= units
	return true
}

// advance refills the token buckets up to now.
func (a *Account) advance(now time.Duration) {
	dt := (now - a.at).Seconds()
	if a.at = max(a.at, now); dt > 0 {
		a.tokens = min(a.Plan.Store, a.tokens+a.Plan.Rate*dt)
		a.ceilingTokens = min(a.Plan.HardSize, a.ceilingTokens+a.Plan.HardRate*dt)
	}
}

// Charge charges a try's units at its first attempt. It returns whether the try lies within the quota and
// cap, and by how many units the customer exceeds its ceiling.
func (a *Account) Charge(units float64, now time.Duration) (withinQuota bool, excess float64) {
	a.advance(now)
	withinQuota = (a.Plan.Rate == 0 || a.tokens >= units) &&
		(a.Plan.Parallel == 0 || a.inFlight < a.Plan.Parallel)
	if withinQuota && a.Plan.Rate > 0 {
		a.tokens -= units
	}
	if a.Plan.HardRate > 0 {
		a.ceilingTokens -= units
		excess = max(0, -a.ceilingTokens)
	}
	return withinQuota, excess
}

// AddInFlight changes the number of attempts in flight by d.
func (a *Account) AddInFlight(d int) { a.inFlight += d }

// HasRoom reports whether a try of the given units would lie within quota, cap and ceiling now.
func (a *Account) HasRoom(units float64, now time.Duration) bool {
	a.advance(now)
	return (a.Plan.Rate == 0 || a.tokens >= units) &&
		(a.Plan.Parallel == 0 || a.inFlight < a.Plan.Parallel) &&
		(a.Plan.HardRate == 0 || a.ceilingTokens >= units)
}
