package tally

import (
	"fmt"
	"sync"
	"time"
)

// Rule names one of the platform's rules, which a run must not break.
type Rule string

// Rules of the platform's protocol that the lab checks.
const (
	AnswerLost  Rule = "answer-lost"  // an edge node accepted a request and gave no final answer
	AnswerLate  Rule = "answer-late"  // a final answer came too late
	AnswerTwice Rule = "answer-twice" // a second final answer
	SecondCopy  Rule = "second-copy"  // sent again although it may have run and must not run twice
	Overlap     Rule = "overlap"      // two attempts of a request in flight at once
	Attempts    Rule = "attempts"     // more attempts than a request may have
	Drain       Rule = "drain"        // sent to a draining or removed server after the grace period
	Cold        Rule = "cold"         // a cold server overloaded by edge nodes that knew of its start
	Datagram    Rule = "datagram"     // a datagram over 256 bytes
	Quota       Rule = "quota"        // too large a share of first attempts beyond quota or cap
	Ceiling     Rule = "ceiling"      // a hard ceiling exceeded
	Foreign     Rule = "foreign"      // a server received a request that no client sent in that form
	Crash       Rule = "crash"        // an edge node's process ended unexpectedly
)

// Breach is one breach of a rule: the request, the edge node and the time.
type Breach struct {
	Rule    Rule          `json:"rule"`
	Request string        `json:"request"`
	Node    int           `json:"node"`
	At      time.Duration `json:"at"` // since the start of the run
	What    string        `json:"what"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s: request %s, edge node %d: %s", b.Rule, b.At.Seconds(), b.Request, b.Node, b.What)
}

// maxBreaches is the number of breaches stored per rule; further ones are only counted.
const maxBreaches = 20

// BreachLog records breaches. It is safe for concurrent use.
type BreachLog struct {
	mu       sync.Mutex
	breaches []Breach
	counts   map[Rule]int
}

// Broken records a breach.
func (r *BreachLog) Broken(rule Rule, request string, node int, at time.Duration, format string,
	args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[Rule]int{}
	}
	if r.counts[rule]++; r.counts[rule] <= maxBreaches {
		r.breaches = append(r.breaches, Breach{rule, request, node, at, fmt.Sprintf(format, args...)})
	}
}

// Breaches returns the first breaches of each rule, and the number of breaches per rule.
func (r *BreachLog) Breaches() ([]Breach, map[Rule]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaches, r.counts
}
