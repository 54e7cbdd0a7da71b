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
	answerSlack     = 500 * time.Millisecond // an answer so late only earns nothing
	leaveSlack      = 150 * time.Millisecond // an attempt may begin so long after its client left
	drainGrace      = 2 * time.Second        // a server that was told to drain may be sent to for so long
	drainSlack      = 50 * time.Millisecond
	crossedWithin   = 100 * time.Millisecond // a request may cross the end of its connection, which is seen so soon then
	haltedSlack     = 3 * time.Second        // a client that stops in the middle of a request is answered or let go
	readyWithin     = 10 * time.Second
	killAfter       = 3700 * time.Millisecond // behind SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
	maxAttempts     = 6
	keyedWindow     = time.Second
	ceilingRate     = 20.0 // units a second
	ceilingBurst    = 20.0 // units
	ceilingSlack    = 6.0  // units: the largest request
	tooLateToJudge  = 400 * time.Millisecond
	latenessMargin  = 4 // times as late as seen in the test's own process the machine may be elsewhere
	measureLateness = 5 * time.Millisecond
)

// outcome is how a request ended for its client.
type outcome int

const (
	unanswered outcome = iota // nothing has come
	answered                  // by a whole answer
	wrong                     // by an answer that no server made for it
	broken                    // by a part of an answer
	ended                     // the connection ended ahead of an answer
	overtaken                 // the process was killed under it
	neverTaken                // it could not be sent as a whole
)

// attemptSeen is an attempt that came whole to a server.
type attemptSeen struct {
	server string
	at     time.Time
	ran    bool // it may have run
}

// requestSeen is what was seen of a request from outside.
type requestSeen struct {
	node     string
	class    string
	customer string
	deadline time.Duration
	sent     time.Time // its last byte
	left     time.Time // its client closed the connection; zero: it stayed
	done     time.Time
	outcome  outcome
	answers  int
	first    bool // on its connection
	crowded  bool // descriptors were short
	halted   bool // its client stopped in the middle of it, and stayed
	attempts []attemptSeen
}

// drainSeen is a server that discovery told a node to drain, and until when it did.
type drainSeen struct {
	node, server string
	from, to     time.Time
}

// stopSeen is the end of a process that was told to end.
type stopSeen struct {
	node     string
	after    time.Duration // from the signal to its end
	code     int
	killed   bool // it had not ended when it may be killed
	restart  time.Duration
	restarts bool
}

// observations are what the outside saw in one play.
type observations struct {
	mu       sync.Mutex
	requests map[string]*requestSeen
	drains   []drainSeen
	stops    []stopSeen
	lateness time.Duration // of the machine
}

func newObservations() *observations { return &observations{requests: map[string]*requestSeen{}} }

// allowed is what the machine's lateness adds to a bound.
func (o *observations) allowed() time.Duration { return latenessMargin * o.lateness }

// violations lists what broke a rule, with the request it befell.
func (o *observations) violations() (list []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	say := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	for id, r := range o.requests {
		for _, why := range append(o.answerViolations(r), o.attemptViolations(r)...) {
			say("%s (%s, %s, sent %s): %s", id, r.node, r.class, r.sent.Format("05.000"), why)
		}
	}
	for _, s := range o.stops {
		switch {
		case s.killed:
			say("%s: did not end within %v of SIGTERM", s.node, killAfter)
		case s.code != 0:
			say("%s: ended with %d", s.node, s.code)
		}
		if s.restarts && s.restart > readyWithin+o.allowed() {
			say("%s: ready %v after it was started again", s.node, s.restart)
		}
	}
	list = append(list, o.ceilingViolations()...)
	slices.Sort(list)
	return list
}

// answerViolations tells what is wrong with what the client got.
func (o *observations) answerViolations(r *requestSeen) (list []string) {
	if r.answers > 1 {
		list = append(list, fmt.Sprintf("%d answers", r.answers))
	}
	if !r.left.IsZero() {
		return list
	}
	bound := r.deadline + answerSlack
	if r.halted {
		bound = haltedSlack
	}
	switch r.outcome {
	case unanswered:
		list = append(list, "no answer, and no end")
	case wrong:
		list = append(list, "an answer that no server made for it")
	case broken:
		list = append(list, "a part of an answer")
	case ended:
		switch {
		case r.halted:
		case len(r.attempts) > 0:
			list = append(list, "closed with no answer though it was sent on")
		case r.first && !r.crowded:
			list = append(list, "closed with no answer, the first on its connection")
		case r.done.Sub(r.sent) > crossedWithin+o.allowed():
			list = append(list, fmt.Sprintf("closed with no answer %v after it was sent", r.done.Sub(r.sent)))
		}
	}
	if late := r.done.Sub(r.sent) - bound; (r.outcome == answered || r.halted) && late > o.allowed() {
		list = append(list, fmt.Sprintf("%v too late", late))
	}
	return list
}

// attemptViolations tells what is wrong with the attempts that came to servers.
func (o *observations) attemptViolations(r *requestSeen) (list []string) {
	var ran []attemptSeen
	for _, a := range r.attempts {
		if late := a.at.Sub(r.left) - leaveSlack; !r.left.IsZero() && late > o.allowed() {
			list = append(list, fmt.Sprintf("an attempt %v after its client left", late+leaveSlack))
		}
		for _, d := range o.drains {
			over := a.at.Sub(d.from) - drainGrace - drainSlack
			if d.node == r.node && d.server == a.server && over > o.allowed() && (d.to.IsZero() || a.at.Before(d.to)) {
				list = append(list, fmt.Sprintf("sent %v after its server was told to drain", over+drainGrace+drainSlack))
			}
		}
		if len(ran) > 0 && r.class == onceClass {
			list = append(list, "an unsafe request sent on twice")
		}
		if len(ran) > 0 && r.class == keyedClass && a.at.Sub(ran[0].at) > keyedWindow+o.allowed() {
			list = append(list, fmt.Sprintf("repeated %v after the first attempt", a.at.Sub(ran[0].at)))
		}
		if a.ran {
			ran = append(ran, a)
		}
	}
	if len(r.attempts) > maxAttempts {
		list = append(list, fmt.Sprintf("%d attempts", len(r.attempts)))
	}
	return list
}

// ceilingViolations holds the requests of each customer under a ceiling against its store.
func (o *observations) ceilingViolations() (list []string) {
	sent := map[string][]time.Time{}
	for _, r := range o.requests {
		if strings.HasPrefix(r.customer, ceilingPlan) && len(r.attempts) > 0 {
			sent[r.customer] = append(sent[r.customer], r.attempts[0].at)
		}
	}
	for customer, times := range sent {
		slices.SortFunc(times, time.Time.Compare)
		store, lowest, at := ceilingBurst, ceilingBurst, times[0]
		for _, now := range times {
			store = min(ceilingBurst, store+ceilingRate*now.Sub(at).Seconds()) - 1
			lowest, at = min(lowest, store), now
		}
		if lowest < -ceilingSlack-ceilingRate*o.allowed().Seconds() {
			list = append(list, fmt.Sprintf("customer %s: %.1f units beyond its ceiling", customer, -lowest))
		}
	}
	return list
}
