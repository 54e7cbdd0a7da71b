package node

import (
	"errors"
	"fmt"
	"time"
)

// phase is the progress of a shutdown. An edge node goes through the phases in order. If the shutdown
// is cancelled in phaseLeaving or phaseFinishing, the edge node returns to phaseServing.
type phase int

const (
	phaseServing   phase = iota
	phaseLeaving         // not ready; the listener stays open because the load balancer still sends requests
	phaseFinishing       // the listener is closed; accepted requests are being answered
	phaseStopped
)

// String returns the name that operators see.
func (p phase) String() string {
	return [...]string{"serving", "leaving", "finishing", "stopped"}[p]
}

// The timing of a shutdown, from the first signal. Clients keep connecting for up to 0.4 s after it.
const (
	// Idle connections are closed from then on, while their clients can still connect to the listener.
	shutdownCloseIdleAfter = 250 * time.Millisecond

	// The listener is open at least this long, unless a second signal shortens the shutdown.
	shutdownMinAccept = 550 * time.Millisecond

	// After this time the listener begins to close, even if clients keep connecting; that takes up to
	// shutdownFinalAccept. Requests that are still arriving on open connections later than shutdownLateAfter
	// are late requests.
	shutdownMaxAccept = shutdownLateAfter - shutdownFinalAccept
)

// SIGKILL follows at the earliest when a request that arrived by shutdownLateAfter has reached its deadline. A
// request that arrives later could be killed unanswered, so its answer must not wait for its own deadline.
const (
	shutdownLateAfter = 700 * time.Millisecond

	// A deadline that is longer than this does not delay SIGKILL.
	shutdownMaxDeadline = 3 * time.Second

	// Time by which the edge node may notice the signal late, or be held up before it writes an answer.
	shutdownKillMargin = 200 * time.Millisecond
)

// Durations within a shutdown.
const (
	// To accept pending connections before the listener closes. A backlog of 512 takes half of it.
	shutdownFinalAccept = 50 * time.Millisecond

	// Time without a new request before the listener closes, and before the shutdown ends. Connections that
	// have been idle this long are closed.
	shutdownQuietTime = 100 * time.Millisecond

	shutdownReadTimeout  = 2 * time.Second       // limit on a request that is still arriving
	shutdownTimeout      = 65 * time.Second      // limit on the whole shutdown
	shutdownPollInterval = 10 * time.Millisecond // between two steps

	// To hand over the counts that other edge nodes depend on.
	shutdownHandoverTimeout = time.Second
)

// shutdownState is a shutdown as a state machine. Its inputs are the time and counts, its outputs are
// actions.
type shutdownState struct {
	phase     phase
	startedAt time.Duration
	shortened bool
	late      lateRequests
}

// lateRequests says which requests arrive so late in a shutdown that SIGKILL could come before their deadline,
// and when such requests have to be answered. The zero value means that no shutdown is in progress.
type lateRequests struct {
	from     time.Duration // requests that arrive from then on are late
	answerBy time.Duration // when a late request has to be answered
}

// newLateRequests returns the late requests of a shutdown. longestDeadline is the longest deadline of the
// classes.
func newLateRequests(startedAt, longestDeadline time.Duration) lateRequests {
	from := startedAt + shutdownLateAfter - shutdownKillMargin
	return lateRequests{from: from, answerBy: from + min(longestDeadline, shutdownMaxDeadline)}
}

// deadline returns the time by which a request has to be answered whose own deadline is given.
func (l lateRequests) deadline(arrivedAt, deadline time.Duration) time.Duration {
	if l == (lateRequests{}) || arrivedAt < l.from {
		return deadline
	}
	return min(deadline, l.answerBy)
}

// mustRefuse reports whether no time is left to serve a late request.
func (l lateRequests) mustRefuse(now time.Duration) bool {
	return l != (lateRequests{}) && now >= l.answerBy
}

// shutdownActions are the actions that a shutdown requires now.
type shutdownActions struct {
	closeIdle     bool // close idle connections
	endReading    bool // refuse the requests that are still arriving
	closeListener bool // accept no further connections
	refuseWaiting bool // answer the requests that wait for a server; clients may retry them elsewhere
	done          bool // stop
}

// signal handles a signal to stop. The first one starts the shutdown. The second one shortens it:
// the edge node no longer waits for requests that may still arrive, and gives up those that wait for
// a server. longestDeadline is the longest deadline of the classes.
func (d *shutdownState) signal(now, longestDeadline time.Duration) (s shutdownActions) {
	switch {
	case d.phase == phaseServing:
		d.phase, d.startedAt = phaseLeaving, now
		d.late = newLateRequests(now, longestDeadline)
	case d.phase < phaseStopped && !d.shortened:
		d.shortened, s.refuseWaiting = true, true
	}
	return s
}

// cancel cancels the shutdown. It returns an error if none is in progress, or if it has completed.
func (d *shutdownState) cancel() error {
	if d.phase != phaseLeaving && d.phase != phaseFinishing {
		return fmt.Errorf("no planned stop to call off: %v", d.phase)
	}
	*d = shutdownState{}
	return nil
}

// step advances the shutdown. open is the number of open connections, quiet the time since the last
// request arrived.
func (d *shutdownState) step(now time.Duration, open int, quiet time.Duration) (s shutdownActions) {
	elapsed := now - d.startedAt
	switch d.phase {
	case phaseLeaving:
		s.closeIdle = d.shortened || elapsed >= shutdownCloseIdleAfter
		if (d.shortened || elapsed >= shutdownMinAccept) && quiet >= shutdownQuietTime ||
			elapsed >= shutdownMaxAccept {
			d.phase, s.closeListener = phaseFinishing, true
		}
	case phaseFinishing: // open already includes the connections accepted while the listener closed
		s.closeIdle = true
		if open == 0 && quiet >= shutdownQuietTime {
			d.phase, s.done = phaseStopped, true
		}
	}
	if d.phase == phaseFinishing && elapsed >= shutdownTimeout {
		d.phase, s.done = phaseStopped, true
	}
	s.endReading = d.phase == phaseFinishing && now >= d.late.answerBy
	return s
}

// ErrOpenConnections is the error of a shutdown that reached its time limit before all connections closed.
var ErrOpenConnections = errors.New("connections were still open")
