package node

import (
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
)

// call is an open request of a client. The goroutine of the client's connection waits for commands and
// carries them out one at a time. The loop does everything else.
type call struct {
	policy.Request
	requestID  string             // X-Request-Id
	generation *config.Generation // the generation that the request was parsed with
	message    *clientRequest     // the connection's buffer, unchanged until the response
	class      *policy.Class
	client     *clientConn // nil in tests of the loop alone
	arrivedAt  time.Duration
	timeout    time.Duration // X-Deadline-Ms
	commands   chan command  // capacity 1: the next is sent once the last is carried out

	deadline     time.Duration // the client's deadline less responseMargin
	backstop     *timer
	attemptCount int
	mayHaveRunAt time.Duration // start of the first attempt that the server may have run; 0: none
	lastOutcome  string        // of the last attempt that has ended, for the log
	abandoned    bool          // its client has disconnected
	inFlight     *attempt      // nil: none
	finalCommand *command      // sent once the attempt in flight has ended; nil: not decided
}

// command is an attempt to carry out or, if attempt is nil, the final answer to the client.
type command struct {
	attempt    *attempt
	refuse     bool
	badStatus  int // status of the answer to an invalid request; 0: the request is valid
	retryAfter time.Duration
}

// outcome is the event that an attempt has ended.
type outcome struct {
	call    *call
	attempt *attempt
	result
}

// rejection returns the final answer to a request that gets no further attempt. A request that may have run and
// is not safe to repeat is failed, since a refusal invites the client to retry.
func (c *call) rejection() command {
	return command{refuse: c.mayHaveRunAt == 0 || c.class.Effect == policy.Safe}
}

// outcomeNames are the names of policy.Code in the log.
var outcomeNames = map[policy.Code]string{policy.OK: "ok", policy.Error: "error", policy.Full: "full",
	policy.TimedOut: "timed out", policy.ConnectFailed: "connect failed", policy.Reset: "reset",
	policy.Cancelled: "cancelled", policy.NotSent: "not sent"}
