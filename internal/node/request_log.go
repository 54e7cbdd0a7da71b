package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// requestEvent is a kind of end of a request, or a retry.
type requestEvent int

const (
	requestServed     requestEvent = iota
	requestRefused                 // answered 429: a retry is harmless
	requestFailed                  // answered 502
	requestInvalid                 // answered 400: it is readable but can't be used
	requestIDInUse                 // answered 409: another request has or had its id
	requestUnreadable              // answered 4xx: its end is unknown, so its connection was closed
	requestNoMemory                // answered 503 before it was read as a whole
	requestLate                    // answered 503: the shutdown was about to end before it was read as a whole
	requestIncomplete              // its client closed the connection in the middle of it
	requestCrossed                 // it crossed the close of its connection by the edge node
	requestAbandoned               // its client disconnected before the response
	requestRetried                 // a further attempt was begun
	requestEventCount
)

// String returns the name of the event in the log.
func (e requestEvent) String() string {
	return [...]string{"served", "refused", "failed", "invalid", "id in use", "unreadable", "no memory",
		"late", "incomplete", "crossed the close", "abandoned", "retried"}[e]
}

// RequestCounts counts the requests since the start by how they ended, and the retries. The fields are
// described at the constants of requestEvent.
type RequestCounts struct {
	Served, Refused, Failed, Invalid, IDInUse, Unreadable, NoMemory, Late, Incomplete, Crossed, Abandoned,
	Retried int64
}

// maxEventLines limits the log lines of one kind of event in a second. Further ones are only counted.
const maxEventLines = 5

// requestLog counts the events of requests and logs all but the served ones. A nil log does nothing.
type requestLog struct {
	clock  clock
	counts [requestEventCount]atomic.Int64

	mu    sync.Mutex
	lines [requestEventCount]lineBudget
}

// lineBudget is what is left of maxEventLines for a kind of event.
type lineBudget struct {
	second     int64 // since the start
	lines      int   // logged in that second
	suppressed int   // events since the last line
}

// requestDetails describes a request in the log. Fields without a value are left out.
type requestDetails struct {
	id       string
	client   *clientConn
	class    string
	attempts int
	age      time.Duration
	reason   string
}

// record counts an event, and logs it unless too many of its kind were logged in this second.
func (l *requestLog) record(event requestEvent, d requestDetails) {
	if l == nil {
		return
	}
	l.counts[event].Add(1)
	if event == requestServed {
		return
	}
	suppressed, ok := l.takeLine(event)
	if !ok {
		return
	}
	attrs := []any{"event", event.String()}
	add := func(present bool, name string, value any) {
		if present {
			attrs = append(attrs, name, value)
		}
	}
	add(d.id != "", "id", d.id)
	add(d.class != "", "class", d.class)
	add(d.attempts > 0, "attempts", d.attempts)
	add(d.age > 0, "age", d.age.Round(time.Millisecond))
	add(d.reason != "", "reason", d.reason)
	if d.client != nil {
		attrs = append(attrs, "client", d.client.RemoteAddr().String())
	}
	add(suppressed > 0, "not_logged", suppressed)
	slog.Info("request", attrs...)
}

// takeLine reports whether an event may be logged, and how many of its kind were not logged before it.
func (l *requestLog) takeLine(event requestEvent) (suppressed int, ok bool) {
	second := int64(l.clock.now() / time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.lines[event]
	if b.second != second {
		b.second, b.lines = second, 0
	}
	if b.lines == maxEventLines {
		b.suppressed++
		return 0, false
	}
	b.lines++
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// load returns the counts.
func (l *requestLog) load() RequestCounts {
	n := func(event requestEvent) int64 { return l.counts[event].Load() }
	return RequestCounts{Served: n(requestServed), Refused: n(requestRefused), Failed: n(requestFailed),
		Invalid: n(requestInvalid), IDInUse: n(requestIDInUse), Unreadable: n(requestUnreadable),
		NoMemory: n(requestNoMemory), Late: n(requestLate), Incomplete: n(requestIncomplete), Crossed: n(requestCrossed),
		Abandoned: n(requestAbandoned), Retried: n(requestRetried)}
}
