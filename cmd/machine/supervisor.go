package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Restarts of what has crashed, and the drain.
const (
	leastWait  = 100 * time.Millisecond
	mostWait   = 10 * time.Second
	steadyFor  = 30 * time.Second // one that ran for so long has not crashed for what it crashed for before
	jitterPart = 0.5              // of a wait: what crashes together must not come back together

	hastenPart = 0.2 // of the budget, at its end, in which what still drains is hastened
)

// supervisor is the edge nodes of a machine as a state machine: events and time in,
// orders out. It is not safe for concurrent use.
//
// It promises: nothing starts once the drain has begun, or before its wait is
// over; while there is time for it one edge node drains after the other, so that
// a customer's root and deputy don't leave together; none is left running when
// the budget is over.
type supervisor struct {
	units   map[string]*unit
	rng     *rand.Rand
	budget  time.Duration
	drained bool          // the drain has begun
	hasty   bool          // it was asked for twice
	began   time.Duration // when
	next    time.Duration // when the next edge node drains though the one before has not ended
}

// unit is one edge node.
type unit struct {
	name    string
	state   state
	since   time.Duration // of the state
	wait    time.Duration // before the last start
	due     time.Duration // of the next
	crashes int
	hurried bool   // told twice to stop
	lost    string // what became of it, if that cost a request
	gone    bool   // its file is
	back    bool   // and was there again before it had ended
}

type state int

const (
	waiting state = iota // to be started, when due
	running
	draining
	ended
)

// order is something to be done to an edge node.
type order struct {
	name string
	what what
}

type what int

const (
	start  what = iota
	reload      // SIGHUP
	stop        // SIGTERM; the second hastens
	kill        // SIGKILL
)

func newSupervisor(names []string, budget time.Duration, seed uint64) *supervisor {
	s := &supervisor{units: map[string]*unit{}, rng: rand.New(rand.NewPCG(seed, 0)), budget: budget}
	for _, n := range names {
		s.units[n] = &unit{name: n}
	}
	return s
}

// sorted gives the edge nodes in the order of their names.
func (s *supervisor) sorted() []*unit {
	return slices.SortedFunc(maps.Values(s.units), func(a, b *unit) int { return cmp.Compare(a.name, b.name) })
}

func (u *unit) become(s state, now time.Duration) { u.state, u.since = s, now }

// exited takes in the end of a process.
func (s *supervisor) exited(name string, now time.Duration, why string, clean bool) {
	u := s.units[name]
	switch u.state {
	case draining:
		if !clean && u.lost == "" {
			u.lost = why
		}
		u.become(ended, now)
	case running:
		u.crashes++
		if now-u.since >= steadyFor {
			u.wait = 0
		}
		u.wait = min(max(2*u.wait, leastWait), mostWait)
		u.due = now + u.wait + time.Duration(jitterPart*s.rng.Float64()*float64(u.wait))
		u.become(waiting, now)
		if s.drained || u.gone {
			u.lost = cmp.Or(u.lost, why)
			u.become(ended, now)
		}
	}
	switch {
	case u.state != ended || !u.gone || s.drained:
	case u.back:
		s.units[name] = &unit{name: name, due: now}
	case u.lost == "":
		delete(s.units, name)
	}
}

// listed takes in which files there are now: new ones are started, what has none
// drains, all others are told to read theirs.
func (s *supervisor) listed(names []string, now time.Duration) (out []order) {
	if s.drained {
		names = nil // told again below, to those that run
	}
	for _, n := range names {
		u := s.units[n]
		if u == nil || u.gone && u.state == ended {
			s.units[n] = &unit{name: n}
		} else {
			u.back = u.gone
		}
	}
	for _, u := range s.sorted() {
		there := slices.Contains(names, u.name)
		switch {
		case u.state == running && !there && !s.drained:
			u.gone = true
			u.become(draining, now)
			out = append(out, order{u.name, stop})
		case u.state == running:
			out = append(out, order{u.name, reload})
		case u.state == waiting && there:
			u.due = now // its file may be mended
		case u.state == waiting && !s.drained:
			delete(s.units, u.name)
		}
	}
	return out
}

// drain begins the end of the machine's service; asked for again it hurries.
func (s *supervisor) drain(now time.Duration) {
	if s.drained {
		s.hasty = true
		return
	}
	s.drained, s.began, s.next = true, now, now
	for _, u := range s.units {
		if u.state == waiting {
			u.become(ended, now) // nothing of it is open
		}
	}
}

// tick gives the orders that are due.
func (s *supervisor) tick(now time.Duration) (out []order) {
	if !s.drained {
		for _, u := range s.sorted() {
			if u.state == waiting && now >= u.due {
				u.become(running, now)
				out = append(out, order{u.name, start})
			}
		}
		return out
	}
	left := s.began + s.budget - now
	hurry := s.hasty || left <= time.Duration(hastenPart*float64(s.budget))
	var active, rest []*unit
	for _, u := range s.sorted() {
		switch u.state {
		case draining:
			active = append(active, u)
		case running:
			rest = append(rest, u)
		}
	}
	for len(rest) > 0 && (hurry || len(active) == 0 || now >= s.next) {
		u := rest[0]
		rest, active = rest[1:], append(active, u)
		u.become(draining, now)
		out = append(out, order{u.name, stop})
		// If this one takes its time the others still have an even part of what is left.
		s.next = now + (left-time.Duration(hastenPart*float64(s.budget)))/time.Duration(len(rest)+1)
	}
	for _, u := range active {
		switch {
		case left <= 0 && u.lost == "":
			u.lost = "killed when the budget was over"
			out = append(out, order{u.name, kill})
		case hurry && !u.hurried && u.since < now: // not in the same breath as the first
			u.hurried = true
			out = append(out, order{u.name, stop})
		}
	}
	return out
}

// over tells whether the machine's service has ended.
func (s *supervisor) over() bool {
	if !s.drained {
		return false
	}
	for _, u := range s.units {
		if u.state != ended {
			return false
		}
	}
	return true
}

// report is the last line: whether anything was lost, and where.
func (s *supervisor) report(now time.Duration) (line string, lost bool) {
	var where, crashed []string
	for _, u := range s.sorted() {
		if u.lost != "" {
			where = append(where, fmt.Sprintf("%s (%s)", u.name, u.lost))
		}
		if u.crashes > 0 {
			crashed = append(crashed, fmt.Sprintf("%s (%d)", u.name, u.crashes))
		}
	}
	line = fmt.Sprintf("drained %d edge nodes in %v: ", len(s.units), (now - s.began).Round(10*time.Millisecond))
	if len(where) == 0 {
		line += "nothing lost"
	} else {
		line += "lost at " + strings.Join(where, ", ")
	}
	if len(crashed) > 0 {
		line += "; crashes in service: " + strings.Join(crashed, ", ")
	}
	return line, len(where) > 0
}
