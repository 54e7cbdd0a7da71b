package main

import (
	"strings"
	"testing"
	"time"
)

// sound is a request that breaks no rule: its client got its answer, one attempt was made.
func sound(at time.Time) requestSeen {
	return requestSeen{node: "n0", class: safeClass, customer: "free-0", deadline: time.Second, sent: at, done: at.Add(100 * time.Millisecond),
		outcome: answered, answers: 1, first: true, attempts: []attemptSeen{{server: "s", at: at.Add(time.Millisecond), ran: true}}}
}

// Each rule of the judge is shown to fire by observations that break it alone.
func TestSoakJudgeFires(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	ran := func(d time.Duration) attemptSeen { return attemptSeen{server: "s", at: after(d), ran: true} }
	for want, change := range map[string]func(*observations, *requestSeen){
		"no answer, and no end":        func(_ *observations, r *requestSeen) { r.outcome, r.answers = unanswered, 0 },
		"no server made for it":        func(_ *observations, r *requestSeen) { r.outcome = wrong },
		"a part of an answer":          func(_ *observations, r *requestSeen) { r.outcome = broken },
		"2 answers":                    func(_ *observations, r *requestSeen) { r.answers = 2 },
		"closed with no answer though": func(_ *observations, r *requestSeen) { r.outcome = ended },
		"the first on its connection":  func(_ *observations, r *requestSeen) { r.outcome, r.attempts = ended, nil },
		"closed with no answer 101ms after it was sent": func(_ *observations, r *requestSeen) {
			r.outcome, r.first, r.attempts, r.done = ended, false, nil, after(crossedWithin+time.Millisecond)
		},
		"1ms too late": func(_ *observations, r *requestSeen) { r.done = after(time.Second + answerSlack + time.Millisecond) },
		"2ms too late": func(_ *observations, r *requestSeen) {
			r.halted, r.attempts, r.outcome, r.done = true, nil, ended, after(haltedSlack+2*time.Millisecond)
		},
		"an attempt 151ms after its client left": func(_ *observations, r *requestSeen) {
			r.left, r.attempts = at, []attemptSeen{ran(leaveSlack + time.Millisecond)}
		},
		"its server was told to drain": func(o *observations, r *requestSeen) {
			o.drains = []drainSeen{{node: "n0", server: "s", from: at}}
			r.attempts = []attemptSeen{ran(drainGrace + drainSlack + time.Millisecond)}
		},
		"an unsafe request sent on twice": func(_ *observations, r *requestSeen) { r.class, r.attempts = onceClass, []attemptSeen{ran(0), ran(1)} },
		"repeated 1.001s after": func(_ *observations, r *requestSeen) {
			r.class, r.attempts = keyedClass, []attemptSeen{ran(0), ran(keyedWindow + time.Millisecond)}
		},
		"7 attempts":         func(_ *observations, r *requestSeen) { r.attempts = make([]attemptSeen, maxAttempts+1) },
		"did not end within": func(o *observations, _ *requestSeen) { o.stops = []stopSeen{{node: "n0", killed: true}} },
		"ended with 1":       func(o *observations, _ *requestSeen) { o.stops = []stopSeen{{node: "n0", code: 1}} },
		"after it was started again": func(o *observations, _ *requestSeen) {
			o.stops = []stopSeen{{node: "n0", restarts: true, restart: readyWithin + time.Millisecond}}
		},
		"beyond its ceiling": func(o *observations, r *requestSeen) {
			r.customer = ceilingPlan + "-0"
			for i := range int(ceilingBurst + ceilingSlack) {
				other := *r
				o.requests[string(rune('a'+i))] = &other
			}
		},
	} {
		o, r := newObservations(), sound(at)
		o.requests["request"] = &r
		change(o, &r)
		if got := o.violations(); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("%q: %v", want, got)
		}
	}
}

// What is allowed is not taken for a violation, though it comes near to one.
func TestSoakJudgeAllows(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	for name, change := range map[string]func(*observations, *requestSeen){
		"sound":                            func(*observations, *requestSeen) {},
		"in time":                          func(_ *observations, r *requestSeen) { r.done = after(time.Second + answerSlack) },
		"crossed the end of a resting one": func(_ *observations, r *requestSeen) { r.outcome, r.first, r.attempts = ended, false, nil },
		"shut unread beside a crowd":       func(_ *observations, r *requestSeen) { r.outcome, r.crowded, r.attempts = ended, true, nil },
		"its process was killed":           func(_ *observations, r *requestSeen) { r.outcome = overtaken },
		"a repeat of what was turned away": func(_ *observations, r *requestSeen) {
			r.class, r.attempts = onceClass, []attemptSeen{{at: at}, {at: at, ran: true}}
		},
		"an attempt right behind its client": func(_ *observations, r *requestSeen) { r.left, r.attempts = at, []attemptSeen{{at: after(leaveSlack)}} },
		"as late as the machine": func(o *observations, r *requestSeen) {
			o.lateness, r.done = time.Second, after(time.Second+answerSlack+latenessMargin*time.Second)
		},
		"within the grace": func(o *observations, r *requestSeen) {
			o.drains = []drainSeen{{node: "n0", server: "s", from: after(-drainGrace)}}
		},
		"another node was told": func(o *observations, r *requestSeen) {
			o.drains = []drainSeen{{node: "n1", server: "s", from: after(-time.Hour)}}
		},
		"drains no more": func(o *observations, r *requestSeen) {
			o.drains = []drainSeen{{node: "n0", server: "s", from: after(-time.Hour), to: at}}
		},
		"ended and was ready in time": func(o *observations, _ *requestSeen) { o.stops = []stopSeen{{restarts: true, restart: readyWithin}} },
		"the ceiling's store and slack used up": func(o *observations, r *requestSeen) {
			r.customer = ceilingPlan + "-0"
			for i := range int(ceilingBurst+ceilingSlack) - 1 {
				other := *r
				o.requests[string(rune('a'+i))] = &other
			}
		},
	} {
		o, r := newObservations(), sound(at)
		o.requests["request"] = &r
		change(o, &r)
		if got := o.violations(); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}
