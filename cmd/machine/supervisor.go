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

// Restarts of crashed edge nodes.
const (
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 10 * time.Second
	stableAfter     = 30 * time.Second // a later crash counts as unrelated: the restart delay starts over
	jitterFraction  = 0.5              // of a delay: keeps edge nodes from restarting all at once

	// Drain.
	hurryFraction = 0.2 // of the budget, at its end: drains still running are hastened
)

// supervisor is the state machine behind a machine's edge nodes: it takes events and the
// time, and returns orders. It is not safe for concurrent use.
//
// It guarantees that
//   - no edge node starts after the drain has begun or before its restart delay is over;
//   - edge nodes drain one after another while time permits, so that a customer's root and
//     deputy don't shut down together;
//   - no edge node still runs when the budget is over.
type supervisor struct {
	edgeNodes      map[string]*edgeNode
	rng            *rand.Rand
	budget         time.Duration
	drainStarted   bool
	hurry          bool // a second drain was requested
	drainStartedAt time.Duration
	nextDrain      time.Duration // the next edge node drains then even if another still drains
}

// edgeNode is the supervisor's record of one edge node.
type edgeNode struct {
	name         string
	state        state
	stateSince   time.Duration // when state was entered
	restartDelay time.Duration // before the last restart
	startAt      time.Duration
	crashes      int
	hastened     bool   // got a second SIGTERM
	lossReason   string // how the edge node ended, if requests were lost
	fileRemoved  bool
	fileRestored bool // the file was restored before the edge node ended
}

type state int

const (
	waiting state = iota // starts at startAt
	running
	draining
	ended
)

// order is an action that the machine must perform on an edge node.
type order struct {
	name   string
	action action
}

type action int

const (
	start  action = iota
	reload        // SIGHUP
	stop          // SIGTERM; the second one hastens the drain
	kill          // SIGKILL
)

func newSupervisor(names []string, budget time.Duration, seed uint64) *supervisor {
	s := &supervisor{edgeNodes: map[string]*edgeNode{}, rng: rand.New(rand.NewPCG(seed, 0)), budget: budget}
	for _, n := range names {
		s.edgeNodes[n] = &edgeNode{name: n}
	}
	return s
}

// sorted returns the edge nodes in the order of their names.
func (s *supervisor) sorted() []*edgeNode {
	return slices.SortedFunc(maps.Values(s.edgeNodes), func(a, b *edgeNode) int {
		return cmp.Compare(a.name, b.name)
	})
}

func (u *edgeNode) setState(s state, now time.Duration) { u.state, u.stateSince = s, now }

// exited handles the end of an edge node's process.
func (s *supervisor) exited(name string, now time.Duration, status string, clean bool) {
	u := s.edgeNodes[name]
	switch u.state {
	case draining:
		if !clean && u.lossReason == "" {
			u.lossReason = status
		}
		u.setState(ended, now)
	case running:
		u.crashes++
		if now-u.stateSince >= stableAfter {
			u.restartDelay = 0
		}
		u.restartDelay = min(max(2*u.restartDelay, minRestartDelay), maxRestartDelay)
		u.startAt = now + u.restartDelay +
			time.Duration(jitterFraction*s.rng.Float64()*float64(u.restartDelay))
		u.setState(waiting, now)
		if s.drainStarted || u.fileRemoved {
			u.lossReason = cmp.Or(u.lossReason, status)
			u.setState(ended, now)
		}
	}
	switch {
	case u.state != ended || !u.fileRemoved || s.drainStarted:
	case u.fileRestored:
		s.edgeNodes[name] = &edgeNode{name: name, startAt: now}
	case u.lossReason == "":
		delete(s.edgeNodes, name)
	}
}

// updateFiles handles a new list of configuration files: it schedules the start of new edge
// nodes, drains those whose file was removed, and has all others reload their file.
func (s *supervisor) updateFiles(names []string, now time.Duration) (out []order) {
	if s.drainStarted {
		names = nil // running edge nodes are still asked to reload below
	}
	for _, n := range names {
		u := s.edgeNodes[n]
		if u == nil || u.fileRemoved && u.state == ended {
			s.edgeNodes[n] = &edgeNode{name: n}
		} else {
			u.fileRestored = u.fileRemoved
		}
	}
	for _, u := range s.sorted() {
		fileExists := slices.Contains(names, u.name)
		switch {
		case u.state == running && !fileExists && !s.drainStarted:
			u.fileRemoved = true
			u.setState(draining, now)
			out = append(out, order{u.name, stop})
		case u.state == running:
			out = append(out, order{u.name, reload})
		case u.state == waiting && fileExists:
			u.startAt = now // the file may have been fixed
		case u.state == waiting && !s.drainStarted:
			delete(s.edgeNodes, u.name)
		}
	}
	return out
}

// drain begins draining all edge nodes. A second call hastens the drain.
func (s *supervisor) drain(now time.Duration) {
	if s.drainStarted {
		s.hurry = true
		return
	}
	s.drainStarted, s.drainStartedAt, s.nextDrain = true, now, now
	for _, u := range s.edgeNodes {
		if u.state == waiting {
			u.setState(ended, now) // it has no open requests
		}
	}
}

// tick returns the orders that are due.
func (s *supervisor) tick(now time.Duration) (out []order) {
	if !s.drainStarted {
		for _, u := range s.sorted() {
			if u.state == waiting && now >= u.startAt {
				u.setState(running, now)
				out = append(out, order{u.name, start})
			}
		}
		return out
	}
	remaining := s.drainStartedAt + s.budget - now
	hurry := s.hurry || remaining <= time.Duration(hurryFraction*float64(s.budget))
	var drainingNodes, toDrain []*edgeNode
	for _, u := range s.sorted() {
		switch u.state {
		case draining:
			drainingNodes = append(drainingNodes, u)
		case running:
			toDrain = append(toDrain, u)
		}
	}
	for len(toDrain) > 0 && (hurry || len(drainingNodes) == 0 || now >= s.nextDrain) {
		u := toDrain[0]
		toDrain, drainingNodes = toDrain[1:], append(drainingNodes, u)
		u.setState(draining, now)
		out = append(out, order{u.name, stop})
		// If this drain is slow, each remaining edge node still gets an equal part of the remaining time.
		s.nextDrain = now + (remaining-time.Duration(hurryFraction*float64(s.budget)))/time.Duration(len(toDrain)+1)
	}
	for _, u := range drainingNodes {
		switch {
		case remaining <= 0 && u.lossReason == "":
			u.lossReason = "killed when the budget was over"
			out = append(out, order{u.name, kill})
		case hurry && !u.hastened && u.stateSince < now: // not in the same tick as the first SIGTERM
			u.hastened = true
			out = append(out, order{u.name, stop})
		}
	}
	return out
}

// finished reports whether the drain has begun and all edge nodes have ended.
func (s *supervisor) finished() bool {
	if !s.drainStarted {
		return false
	}
	for _, u := range s.edgeNodes {
		if u.state != ended {
			return false
		}
	}
	return true
}

// report returns the last log line and whether any edge node lost requests.
func (s *supervisor) report(now time.Duration) (line string, lost bool) {
	var losses, crashed []string
	for _, u := range s.sorted() {
		if u.lossReason != "" {
			losses = append(losses, fmt.Sprintf("%s (%s)", u.name, u.lossReason))
		}
		if u.crashes > 0 {
			crashed = append(crashed, fmt.Sprintf("%s (%d)", u.name, u.crashes))
		}
	}
	line = fmt.Sprintf("drained %d edge nodes in %v: ", len(s.edgeNodes),
		(now - s.drainStartedAt).Round(10*time.Millisecond))
	if len(losses) == 0 {
		line += "nothing lost"
	} else {
		line += "lost at " + strings.Join(losses, ", ")
	}
	if len(crashed) > 0 {
		line += "; crashes in service: " + strings.Join(crashed, ", ")
	}
	return line, len(losses) > 0
}
