package tally

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Account is a customer's true quota, over all edge nodes: it sees every first send.
type Account struct {
	Plan    *world.Plan
	store   float64
	ceiling float64
	at      time.Duration
	out     int // attempts out, of the tries that count
	ideal   ideal
}

// ideal is the same quota under a policy that lets in what fits as it comes: it says
// what was to be had.
type ideal struct {
	store float64
	at    time.Duration
}

// NewAccount starts with full stores.
func NewAccount(p *world.Plan, now time.Duration) *Account {
	return &Account{Plan: p, store: p.Store, ceiling: p.HardSize, at: now, ideal: ideal{p.Store, now}}
}

// Fits tells whether a request that comes now lies inside the quota, were each let in
// as it comes.
func (a *Account) Fits(units float64, now time.Duration) bool {
	if a.Plan.Rate == 0 {
		return true // a cap alone: it may wait
	}
	i := &a.ideal
	i.store = min(a.Plan.Store, i.store+a.Plan.Rate*(now-i.at).Seconds())
	if i.at = now; i.store < units {
		return false
	}
	i.store -= units
	return true
}

func (a *Account) advance(now time.Duration) {
	dt := (now - a.at).Seconds()
	if a.at = max(a.at, now); dt > 0 {
		a.store = min(a.Plan.Store, a.store+a.Plan.Rate*dt)
		a.ceiling = min(a.Plan.HardSize, a.ceiling+a.Plan.HardRate*dt)
	}
}

// Send takes a try's units at its first send. It tells whether that lies inside the
// quota, and by how much the ceiling is passed.
func (a *Account) Send(units float64, now time.Duration) (inside bool, over float64) {
	a.advance(now)
	inside = (a.Plan.Rate == 0 || a.store >= units) && (a.Plan.Parallel == 0 || a.out < a.Plan.Parallel)
	if inside && a.Plan.Rate > 0 {
		a.store -= units
	}
	if a.Plan.HardRate > 0 {
		a.ceiling -= units
		over = max(0, -a.ceiling)
	}
	return inside, over
}

// Out counts attempts that begin (1) or end (-1).
func (a *Account) Out(d int) { a.out += d }

// Room tells whether a try of so many units would lie inside the quota now.
func (a *Account) Room(units float64, now time.Duration) bool {
	a.advance(now)
	return (a.Plan.Rate == 0 || a.store >= units) && (a.Plan.Parallel == 0 || a.out < a.Plan.Parallel) &&
		(a.Plan.HardRate == 0 || a.ceiling >= units)
}
