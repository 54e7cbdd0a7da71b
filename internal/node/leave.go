package node

import (
	"errors"
	"fmt"
	"time"
)

// phase is the progress of a shutdown. An edge node goes through the phases in order. If the shutdown
// is cancelled while leaving or finishing, the edge node returns to serving.
type phase int

const (
	phaseServing phase = iota
	leaving            // not ready; the listener stays open because the load balancer still sends requests
	finishing          // the listener is closed; accepted requests are being answered
	stopped
)

// String returns the name that operators see.
func (p phase) String() string {
	return [...]string{"serving", "leaving", "finishing", "stopped"}[p]
}

// The timing of a shutdown, from the first signal. Clients keep connecting for up to 0.4 s after it.
const (
	// Idle connections are closed from now on, while their clients can still connect to the listener.
	stopShutIdle = 250 * time.Millisecond

	// The listener is open at least this long.
	stopAccept = 550 * time.Millisecond

	// The listener is open at most this long, even if clients keep connecting. A request that arrives
	// later than 0.7 s after the signal may meet SIGKILL before its deadline.
	stopListen = 700*time.Millisecond - lastAccept
)

// Durations within a shutdown.
const (
	lastAccept  = 50 * time.Millisecond  // to accept pending connections; a backlog of 512 takes half of it
	stopQuiet   = 100 * time.Millisecond // without new requests; idle connections this old are closed
	stopReading = 2 * time.Second        // limit on a request that is still arriving
	stopMost    = 65 * time.Second       // limit on the whole shutdown
	stopPoll    = 10 * time.Millisecond  // between two steps
	stopHand    = time.Second            // to hand over the counts that other edge nodes depend on
)

// shutdownState is a shutdown as a state machine. Its inputs are the time and counts, its outputs are
// steps.
type shutdownState struct {
	phase    phase
	began    time.Duration
	hastened bool
}

// steps are the actions that a shutdown requires now.
type steps struct {
	shutIdle     bool // close idle connections
	shutListener bool // accept no further connections
	giveUp       bool // answer the requests that wait for a server; clients may retry them elsewhere
	end          bool // stop
}

// signal handles a signal to stop. The first one starts the shutdown. The second one hastens it:
// the edge node no longer waits for requests that may still arrive, and gives up those that wait for
// a server.
func (d *shutdownState) signal(now time.Duration) (s steps) {
	switch {
	case d.phase == phaseServing:
		d.phase, d.began = leaving, now
	case d.phase < stopped && !d.hastened:
		d.hastened, s.giveUp = true, true
	}
	return s
}

// callOff cancels the shutdown. It returns an error if none is in progress, or if it has completed.
func (d *shutdownState) callOff() error {
	if d.phase != leaving && d.phase != finishing {
		return fmt.Errorf("no planned stop to call off: %v", d.phase)
	}
	*d = shutdownState{}
	return nil
}

// step advances the shutdown. open is the number of open connections, quiet the time since the last
// request arrived.
func (d *shutdownState) step(now time.Duration, open int, quiet time.Duration) (s steps) {
	past := now - d.began
	switch d.phase {
	case leaving:
		s.shutIdle = d.hastened || past >= stopShutIdle
		if (d.hastened || past >= stopAccept) && quiet >= stopQuiet || past >= stopListen {
			d.phase, s.shutListener = finishing, true
		}
	case finishing: // open already includes the connections accepted while the listener closed
		s.shutIdle = true
		if open == 0 && quiet >= stopQuiet {
			d.phase, s.end = stopped, true
		}
	}
	if d.phase == finishing && past >= stopMost {
		d.phase, s.end = stopped, true
	}
	return s
}

// ErrUnanswered is the error of a shutdown that reached its time limit.
var ErrUnanswered = errors.New("connections were still open")
