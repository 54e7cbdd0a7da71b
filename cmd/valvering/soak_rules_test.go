package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform's rules, as its pages give them, with the slack that they allow.
const (
	answerSlack         = 500 * time.Millisecond // an answer this late is allowed but earns nothing
	disconnectSlack     = 150 * time.Millisecond // from the client's disconnect to the last attempt
	drainGrace          = 2 * time.Second        // from the drain notice to the last request sent
	drainSlack          = 50 * time.Millisecond
	closeRaceWindow     = 100 * time.Millisecond // from sending on a closing connection to seeing the close
	stalledSlack        = 3 * time.Second        // a stalled client is answered or disconnected
	readyWithin         = 10 * time.Second
	killAfter           = 3700 * time.Millisecond // after SIGTERM: longest deadline (as 3 s) plus 0.7 s
	lateArrival         = 700 * time.Millisecond  // after SIGTERM: SIGKILL may not meet later requests
	killSlack           = 50 * time.Millisecond
	maxAttempts         = 6
	keyedWindow         = time.Second
	ceilingRate         = 20.0                   // units a second
	ceilingBurst        = 20.0                   // units
	ceilingSlack        = 6.0                    // units: the largest request
	maxReliableLateness = 400 * time.Millisecond // beyond it time bounds can't be checked
	latenessFactor      = 4                      // other processes may be later by this factor
	latenessInterval    = 5 * time.Millisecond
)

// outcome is how a request ended for its client.
type outcome int

const (
	unanswered       outcome = iota // nothing received
	answered                        // with a whole answer
	wrongAnswer                     // with an answer that no server made for it
	partialAnswer                   // with a part of an answer
	connectionClosed                // the connection closed before an answer
	processKilled                   // the process was killed during the request
	notSent                         // it could not be sent as a whole
)

// attemptRecord is an attempt that reached a server as a whole.
type attemptRecord struct {
	server     string
	at         time.Time
	mayHaveRun bool // the server didn't reject it as not run
}

// requestRecord is what clients and servers observed of a request.
type requestRecord struct {
	node             string
	class            string
	customer         string
	deadline         time.Duration
	sent             time.Time // the last byte
	disconnected     time.Time // when the client closed the connection; zero: it didn't
	done             time.Time
	outcome          outcome
	answers          int
	firstOnConn      bool // the first request on its connection
	descriptorsShort bool // the node had few descriptors
	stalled          bool // the client stopped in the middle of it and kept the connection open
	attempts         []attemptRecord
}

// drainRecord is the period in which a node knew from discovery that a server was draining.
type drainRecord struct {
	node, server string
	from, to     time.Time
}

// stopRecord is the end of a process after a SIGTERM.
type stopRecord struct {
	node        string
	signalled   time.Time     // when SIGTERM was sent
	took        time.Duration // from SIGTERM to the exit
	exitCode    int
	killed      bool // it had not exited after killAfter
	restartTook time.Duration
	restarted   bool
}

// observations are what clients, servers and discovery observed in one run.
type observations struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	drains   []drainRecord
	stops    []stopRecord
	lateness time.Duration // the machine's largest measured lateness
}

func newObservations() *observations { return &observations{requests: map[string]*requestRecord{}} }

// tolerance is what the machine's lateness adds to a bound.
func (o *observations) tolerance() time.Duration { return latenessFactor * o.lateness }

// violations lists all broken rules, each with its request or node.
func (o *observations) violations() (list []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	for id, r := range o.requests {
		for _, why := range slices.Concat(o.answerViolations(r), o.attemptViolations(r), o.killViolations(r)) {
			add("%s (%s, %s, sent %s): %s", id, r.node, r.class, r.sent.Format("05.000"), why)
		}
	}
	for _, s := range o.stops {
		switch {
		case s.killed:
			add("%s: did not end within %v of SIGTERM", s.node, killAfter)
		case s.exitCode != 0:
			add("%s: ended with %d", s.node, s.exitCode)
		}
		if s.restarted && s.restartTook > readyWithin+o.tolerance() {
			add("%s: ready %v after it was started again", s.node, s.restartTook)
		}
	}
	list = append(list, o.ceilingViolations()...)
	slices.Sort(list)
	return list
}

// answerViolations lists the rules that the client's side of a request breaks.
func (o *observations) answerViolations(r *requestRecord) (list []string) {
	if r.answers > 1 {
		list = append(list, fmt.Sprintf("%d answers", r.answers))
	}
	if !r.disconnected.IsZero() {
		return list
	}
	bound := r.deadline + answerSlack
	if r.stalled {
		bound = stalledSlack
	}
	switch r.outcome {
	case unanswered:
		list = append(list, "no answer, and no end")
	case wrongAnswer:
		list = append(list, "an answer that no server made for it")
	case partialAnswer:
		list = append(list, "a part of an answer")
	case connectionClosed:
		switch {
		case r.stalled:
		case len(r.attempts) > 0:
			list = append(list, "closed with no answer though it was sent on")
		case r.firstOnConn && !r.descriptorsShort:
			list = append(list, "closed with no answer, the first on its connection")
		case r.done.Sub(r.sent) > closeRaceWindow+o.tolerance():
			list = append(list, fmt.Sprintf("closed with no answer %v after it was sent", r.done.Sub(r.sent)))
		}
	}
	if late := r.done.Sub(r.sent) - bound; (r.outcome == answered || r.stalled) && late > o.tolerance() {
		list = append(list, fmt.Sprintf("%v too late", late))
	}
	return list
}

// killViolations lists the shutdowns whose earliest SIGKILL would have met the request, although it arrived late in the
// shutdown.
func (o *observations) killViolations(r *requestRecord) (list []string) {
	for _, s := range o.stops {
		kill := s.signalled.Add(min(longestDeadline, 3*time.Second) + lateArrival + killSlack)
		if s.node == r.node && r.outcome == answered && r.sent.After(s.signalled.Add(lateArrival+killSlack)) &&
			r.sent.Before(s.signalled.Add(s.took)) && r.done.Sub(kill) > o.tolerance() {
			list = append(list, fmt.Sprintf("sent %v after SIGTERM, answered %v after the earliest SIGKILL",
				r.sent.Sub(s.signalled), r.done.Sub(kill)))
		}
	}
	return list
}

// attemptViolations lists the rules that the attempts of a request break.
func (o *observations) attemptViolations(r *requestRecord) (list []string) {
	var mayHaveRun []attemptRecord
	for _, a := range r.attempts {
		if late := a.at.Sub(r.disconnected) - disconnectSlack; !r.disconnected.IsZero() &&
			late > o.tolerance() {
			list = append(list, fmt.Sprintf("an attempt %v after its client left", late+disconnectSlack))
		}
		for _, d := range o.drains {
			over := a.at.Sub(d.from) - drainGrace - drainSlack
			if d.node == r.node && d.server == a.server && over > o.tolerance() &&
				(d.to.IsZero() || a.at.Before(d.to)) {
				list = append(list, fmt.Sprintf("sent %v after its server was told to drain", over+drainGrace+drainSlack))
			}
		}
		if len(mayHaveRun) > 0 && r.class == onceClass {
			list = append(list, "an unsafe request sent on twice")
		}
		if len(mayHaveRun) > 0 && r.class == keyedClass &&
			a.at.Sub(mayHaveRun[0].at) > keyedWindow+o.tolerance() {
			list = append(list,
				fmt.Sprintf("repeated %v after the first attempt", a.at.Sub(mayHaveRun[0].at)))
		}
		if a.mayHaveRun {
			mayHaveRun = append(mayHaveRun, a)
		}
	}
	if len(r.attempts) > maxAttempts {
		list = append(list, fmt.Sprintf("%d attempts", len(r.attempts)))
	}
	return list
}

// ceilingViolations checks the request rate of each customer under a ceiling against a token bucket.
func (o *observations) ceilingViolations() (list []string) {
	sent := map[string][]time.Time{}
	for _, r := range o.requests {
		if strings.HasPrefix(r.customer, ceilingPlan) && len(r.attempts) > 0 {
			sent[r.customer] = append(sent[r.customer], r.attempts[0].at)
		}
	}
	for customer, times := range sent {
		slices.SortFunc(times, time.Time.Compare)
		tokens, lowest, at := ceilingBurst, ceilingBurst, times[0]
		for _, now := range times {
			tokens = min(ceilingBurst, tokens+ceilingRate*now.Sub(at).Seconds()) - 1
			lowest, at = min(lowest, tokens), now
		}
		if lowest < -ceilingSlack-ceilingRate*o.tolerance().Seconds() {
			list = append(list, fmt.Sprintf("customer %s: %.1f units beyond its ceiling", customer, -lowest))
		}
	}
	return list
}
