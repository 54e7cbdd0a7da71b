package main

import (
	"strings"
	"testing"
	"time"
)

// validRequest breaks no rule: its client got its answer, and one attempt was made.
func validRequest(at time.Time) requestRecord {
	return requestRecord{node: "n0", class: safeClass, customer: "free-0", deadline: time.Second, sent: at,
		done:    at.Add(100 * time.Millisecond),
		outcome: answered, answers: 1, firstOnConn: true,
		attempts: []attemptRecord{{server: "s", at: at.Add(time.Millisecond), mayHaveRun: true}}}
}

// Each rule detects observations that break it alone.
func TestSoakRulesDetectViolations(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	ran := func(d time.Duration) attemptRecord {
		return attemptRecord{server: "s", at: after(d), mayHaveRun: true}
	}
	for want, change := range map[string]func(*observations, *requestRecord){
		"no answer, and no end":        func(_ *observations, r *requestRecord) { r.outcome, r.answers = unanswered, 0 },
		"no server made for it":        func(_ *observations, r *requestRecord) { r.outcome = wrongAnswer },
		"a part of an answer":          func(_ *observations, r *requestRecord) { r.outcome = partialAnswer },
		"2 answers":                    func(_ *observations, r *requestRecord) { r.answers = 2 },
		"closed with no answer though": func(_ *observations, r *requestRecord) { r.outcome = connectionClosed },
		"the first on its connection":  func(_ *observations, r *requestRecord) { r.outcome, r.attempts = connectionClosed, nil },
		"closed with no answer 101ms after it was sent": func(_ *observations, r *requestRecord) {
			r.outcome, r.firstOnConn, r.attempts, r.done = connectionClosed, false, nil,
				after(closeRaceWindow+time.Millisecond)
		},
		"1ms too late": func(_ *observations, r *requestRecord) { r.done = after(time.Second + answerSlack + time.Millisecond) },
		"2ms too late": func(_ *observations, r *requestRecord) {
			r.stalled, r.attempts, r.outcome, r.done = true, nil, connectionClosed,
				after(stalledSlack+2*time.Millisecond)
		},
		"an attempt 151ms after its client left": func(_ *observations, r *requestRecord) {
			r.disconnected, r.attempts = at, []attemptRecord{ran(disconnectSlack + time.Millisecond)}
		},
		"its server was told to drain": func(o *observations, r *requestRecord) {
			o.drains = []drainRecord{{node: "n0", server: "s", from: at}}
			r.attempts = []attemptRecord{ran(drainGrace + drainSlack + time.Millisecond)}
		},
		"an unsafe request sent on twice": func(_ *observations, r *requestRecord) {
			r.class, r.attempts = onceClass, []attemptRecord{ran(0), ran(1)}
		},
		"repeated 1.001s after": func(_ *observations, r *requestRecord) {
			r.class, r.attempts = keyedClass, []attemptRecord{ran(0), ran(keyedWindow + time.Millisecond)}
		},
		"7 attempts": func(_ *observations, r *requestRecord) {
			r.attempts = make([]attemptRecord, maxAttempts+1)
		},
		"answered 1ms after the earliest SIGKILL": func(o *observations, r *requestRecord) {
			r.sent, r.deadline, r.done = after(751*time.Millisecond), longestDeadline, after(2751*time.Millisecond)
			o.stops = []stopRecord{{node: "n0", signalled: at, took: 3 * time.Second}}
		},
		"did not end within": func(o *observations, _ *requestRecord) {
			o.stops = []stopRecord{{node: "n0", killed: true}}
		},
		"ended with 1": func(o *observations, _ *requestRecord) {
			o.stops = []stopRecord{{node: "n0", exitCode: 1}}
		},
		"after it was started again": func(o *observations, _ *requestRecord) {
			o.stops = []stopRecord{{node: "n0", restarted: true, restartTook: readyWithin + time.Millisecond}}
		},
		"beyond its ceiling": func(o *observations, r *requestRecord) {
			r.customer = ceilingPlan + "-0"
			for i := range int(ceilingBurst + ceilingSlack) {
				other := *r
				o.requests[string(rune('a'+i))] = &other
			}
		},
	} {
		o, r := newObservations(), validRequest(at)
		o.requests["request"] = &r
		change(o, &r)
		if got := o.violations(); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("%q: %v", want, got)
		}
	}
}

// Behaviour at the edge of what is allowed is no violation.
func TestSoakRulesPassAllowedBehaviour(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	for name, change := range map[string]func(*observations, *requestRecord){
		"valid":   func(*observations, *requestRecord) {},
		"in time": func(_ *observations, r *requestRecord) { r.done = after(time.Second + answerSlack) },
		"raced with the closing of an idle connection": func(_ *observations, r *requestRecord) {
			r.outcome, r.firstOnConn, r.attempts = connectionClosed, false, nil
		},
		"closed unread while descriptors were short": func(_ *observations, r *requestRecord) {
			r.outcome, r.descriptorsShort, r.attempts = connectionClosed, true, nil
		},
		"its process was killed": func(_ *observations, r *requestRecord) { r.outcome = processKilled },
		"repeated after a rejection": func(_ *observations, r *requestRecord) {
			r.class, r.attempts = onceClass, []attemptRecord{{at: at}, {at: at, mayHaveRun: true}}
		},
		"an attempt right after its client disconnected": func(_ *observations, r *requestRecord) {
			r.disconnected, r.attempts = at, []attemptRecord{{at: after(disconnectSlack)}}
		},
		"late by the machine's lateness": func(o *observations, r *requestRecord) {
			o.lateness, r.done = time.Second, after(time.Second+answerSlack+latenessFactor*time.Second)
		},
		"within the grace": func(o *observations, r *requestRecord) {
			o.drains = []drainRecord{{node: "n0", server: "s", from: after(-drainGrace)}}
		},
		"another node had the drain notice": func(o *observations, r *requestRecord) {
			o.drains = []drainRecord{{node: "n1", server: "s", from: after(-time.Hour)}}
		},
		"no longer draining": func(o *observations, r *requestRecord) {
			o.drains = []drainRecord{{node: "n0", server: "s", from: after(-time.Hour), to: at}}
		},
		"sent in time, answered after the earliest SIGKILL": func(o *observations, r *requestRecord) {
			r.sent, r.deadline, r.done = after(750*time.Millisecond), longestDeadline, after(2751*time.Millisecond)
			o.stops = []stopRecord{{node: "n0", signalled: at, took: 3 * time.Second}}
		},
		"sent late, answered before the earliest SIGKILL": func(o *observations, r *requestRecord) {
			r.sent, r.deadline, r.done = after(751*time.Millisecond), longestDeadline, after(2750*time.Millisecond)
			o.stops = []stopRecord{{node: "n0", signalled: at, took: 3 * time.Second}}
		},
		"ended and was ready in time": func(o *observations, _ *requestRecord) {
			o.stops = []stopRecord{{restarted: true, restartTook: readyWithin}}
		},
		"the ceiling's burst and slack used up": func(o *observations, r *requestRecord) {
			r.customer = ceilingPlan + "-0"
			for i := range int(ceilingBurst+ceilingSlack) - 1 {
				other := *r
				o.requests[string(rune('a'+i))] = &other
			}
		},
	} {
		o, r := newObservations(), validRequest(at)
		o.requests["request"] = &r
		change(o, &r)
		if got := o.violations(); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}
