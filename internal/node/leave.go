package node

import (
	"errors"
	"fmt"
	"time"
)

// phase is how far a planned stop has come. An edge node goes from one to the
// next, and back to serving from leaving and finishing if it is called off.
type phase int

const (
	phaseServing phase = iota
	leaving            // not ready, but the front still sends: the listener is open
	finishing          // the listener is closed, what was taken is answered
	stopped
)

func (p phase) String() string {
	return [...]string{"serving", "leaving", "finishing", "stopped"}[p]
}

// The steps of a planned stop. Clients go on coming for up to 0.4 s after the
// signal.
const (
	stopShutIdle = 250 * time.Millisecond // idle connections are closed while new ones still find a listener
	stopAccept   = 550 * time.Millisecond
	// What comes later than 0.7 s behind the signal may meet SIGKILL before its deadline:
	// clients that come on and on don't keep the listener open beyond that.
	stopListen  = 700*time.Millisecond - lastAccept
	lastAccept  = 50 * time.Millisecond // to accept what has come: a queue of 512 takes half of it
	stopQuiet   = 100 * time.Millisecond
	stopReading = 2 * time.Second // a request that has begun to come by then is given so long
	stopMost    = 65 * time.Second
	stopPoll    = 10 * time.Millisecond
	stopHand    = time.Second // what others count on is handed on by then, or missed
)

// shutdownState is a planned stop as a state machine: time and counts in, steps out.
type shutdownState struct {
	phase    phase
	began    time.Duration
	hastened bool
}

// steps is what is to be done now.
type steps struct {
	shutIdle     bool // close the connections that are idle
	shutListener bool // accept no further ones
	giveUp       bool // answer what waits for a server: it may be asked for elsewhere
	end          bool
}

// signal takes a request to stop; a second one hastens: nothing is waited for
// that the front may still send, and what is held is given up.
func (d *shutdownState) signal(now time.Duration) (s steps) {
	switch {
	case d.phase == phaseServing:
		d.phase, d.began = leaving, now
	case d.phase < stopped && !d.hastened:
		d.hastened, s.giveUp = true, true
	}
	return s
}

// callOff goes back to serving; it is an error when there is nothing to call off.
func (d *shutdownState) callOff() error {
	if d.phase != leaving && d.phase != finishing {
		return fmt.Errorf("no planned stop to call off: %v", d.phase)
	}
	*d = shutdownState{}
	return nil
}

// step looks at how many connections are open and how long ago a request came.
func (d *shutdownState) step(now time.Duration, open int, quiet time.Duration) (s steps) {
	past := now - d.began
	switch d.phase {
	case leaving:
		s.shutIdle = d.hastened || past >= stopShutIdle
		if (d.hastened || past >= stopAccept) && quiet >= stopQuiet || past >= stopListen {
			d.phase, s.shutListener = finishing, true
		}
	case finishing: // what came in as the listener was closed has been counted by now
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

// ErrUnanswered is a planned stop that ran out of time.
var ErrUnanswered = errors.New("connections were still open")
