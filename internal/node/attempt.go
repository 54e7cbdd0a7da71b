package node

import (
	"context"
	"sync"
	"time"

	"valvering.example/valvering/policy"
)

// clientState reports on the client that waits for an attempt.
type clientState interface {
	disconnected() bool     // the client has closed, half-closed or reset its connection
	disconnectHidden() bool // a disconnect could not be detected
}

// attempt sends a request to a server once.
type attempt struct {
	id            policy.RequestID
	num           int // of the request's attempts, from 0
	server        policy.ServerID
	startedAt     time.Duration // when the policy module requested the attempt
	deadline      time.Duration // when the attempt times out
	writeDeadline time.Duration // a keyed retry written later might run twice, if no longer seen as a retry
	client        clientState   // nil: the state of the client is unknown

	mu                 sync.Mutex
	cancelled          bool
	withdrawn          bool // cancelled before the write of the request, which is never written
	writeBegun         bool // the request may have been written
	clientDisconnected bool // the client had disconnected by the time of the write
	disconnectHidden   bool // not written, since a disconnect could not be detected
	conn               *upstreamConn
	cancelWait         context.CancelFunc // of a dial, or of a wait for memory
}

// waitContext returns a context that ends with the attempt: at its deadline or when it is cancelled. ok is
// false if the attempt is already cancelled. At most one such context is in use at a time.
func (a *attempt) waitContext(clock clock) (ctx context.Context, cancel context.CancelFunc, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return nil, nil, false
	}
	ctx, cancel = context.WithDeadline(context.Background(), clock.time(a.deadline))
	a.cancelWait = cancel
	return ctx, cancel, true
}

// cancel aborts the attempt. The goroutine that executes the attempt then reports its outcome.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop()
}

// withdraw cancels the attempt unless its request may have been written. It returns
// false in that case, and if the attempt was already cancelled.
func (a *attempt) withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writeBegun || a.cancelled {
		return false
	}
	a.withdrawn = true
	a.stop()
	return true
}

// stop aborts the dial or closes the connection. The caller holds a.mu.
func (a *attempt) stop() {
	a.cancelled = true
	if a.cancelWait != nil {
		a.cancelWait()
	}
	if a.conn != nil {
		a.conn.Close()
	}
}

// beginWrite assigns the attempt a connection and marks its request as possibly written. It returns
// false if the attempt was cancelled, or its client has or may have disconnected. withdraw checks the same
// mark under the same lock, so an attempt is never both withdrawn and written.
func (a *attempt) beginWrite(c *upstreamConn) bool {
	disconnected := a.client != nil && a.client.disconnected()
	hidden := a.client != nil && !disconnected && a.client.disconnectHidden()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	a.clientDisconnected = disconnected && !a.cancelled
	a.disconnectHidden = hidden && !a.cancelled
	a.withdrawn = a.withdrawn || a.clientDisconnected || a.disconnectHidden
	a.writeBegun = !a.cancelled && !disconnected && !hidden
	return a.writeBegun
}

// detach detaches the attempt from its connection. It returns false if the attempt was cancelled.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}

// unsentResult returns the result of an attempt that was not written. A withdrawn attempt
// says nothing about the server and is NotSent.
func (a *attempt) unsentResult() result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawn {
		return result{code: policy.NotSent}
	}
	return result{code: policy.ConnectFailed}
}

// result is the outcome of an attempt.
type result struct {
	code        policy.Code
	load        []float64
	badRequest  bool   // the server answered with a 4xx status
	contentType string // of a successful response
	body        []byte
	reserved    int // bytes of memory reserved for the body; the receiver of the result releases them
}

// withoutResponse returns the outcome alone, without the response itself.
func (r result) withoutResponse() result {
	r.contentType, r.body, r.reserved = "", nil, 0
	return r
}
