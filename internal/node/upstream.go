package node

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	// The age at which an idle connection is closed, as a fraction of the server's own idle timeout.
	idleTimeoutFraction = 0.6

	// Requests to a draining server stop this long before its grace period ends, to allow for network delay.
	drainGraceMargin = 50 * time.Millisecond

	// A load report with a larger value is rejected.
	maxLoadValue = 1e6

	// A longer content type is not forwarded.
	maxContentTypeBytes = 256

	// An idle connection is not reused before this delay: stray bytes that follow a response must not be
	// read as the response to the next request.
	reuseDelay = 5 * time.Millisecond
)

// upstream pools the connections to the servers and executes attempts.
// It writes each attempt itself, exactly once: http.Transport may retry a request
// on its own and doesn't report whether the last byte was written.
type upstream struct {
	clock      clock
	reuseDelay time.Duration // delay before an idle connection is reused
	loadFields []string      // names of the fields of load reports, in the order of the policy module

	directory   *roster.Directory
	memory      *memory.Pool // for responses; nil: no limit
	unsolicited unsolicitedCounts

	mu          sync.Mutex
	dialer      net.Dialer
	idleTimeout time.Duration
	drainGrace  time.Duration
	maxOpen     int // limit on open connections, over all servers
	open        int // open connections, idle ones included
	ages        idleAgeStats
	reusePauses reusePauses
	idle        map[policy.ServerID][]*upstreamConn // most recently used last
}

func newUpstream(c clock, directory *roster.Directory, loadFields []string) *upstream {
	return &upstream{clock: c, reuseDelay: reuseDelay, loadFields: loadFields, directory: directory,
		idle: map[policy.ServerID][]*upstreamConn{}, reusePauses: reusePauses{}}
}

// applyConfig applies the timeouts of a configuration and the limit on open connections. Over the limit it
// closes idle connections at once, oldest first; putIdle closes busy ones once they become idle.
func (u *upstream) applyConfig(f *config.File, maxOpen int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer = net.Dialer{Timeout: f.DialTimeout, KeepAlive: -1}
	u.idleTimeout = time.Duration(idleTimeoutFraction * float64(f.ConnIdle))
	u.drainGrace, u.maxOpen = f.DrainGrace, maxOpen
	for u.open > u.maxOpen && u.closeOldestIdle() {
	}
}

// update applies a whole list or changes to it. It closes the idle connections of servers that
// were removed, replaced or are draining: these get no new requests, and the limit on connections
// is better spent on others. Attempts in flight hold their own connection and go on.
func (u *upstream) update(l *serverList, whole bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.directory.Update(l, whole, u.clock.now(), u.closeIdle)
}

// pauseReuse suspends connection reuse for a server. The caller holds u.mu.
func (u *upstream) pauseReuse(id policy.ServerID) {
	u.reusePauses.pause(id, u.clock.now())
	u.closeIdle(id)
}

// closeIdle closes the idle connections to a server. The caller holds u.mu.
func (u *upstream) closeIdle(id policy.ServerID) {
	for _, c := range u.idle[id] {
		c.Close()
		u.open--
	}
	delete(u.idle, id)
}

// closedToRequests reports whether a process of a server gets no further requests: the server was removed,
// another process has replaced this one or taken over its address, or its drain grace period is about to end.
// The margin before the end of the grace period covers the time on the network.
func (u *upstream) closedToRequests(id policy.ServerID, incarnation uint64) bool {
	u.mu.Lock()
	grace := u.drainGrace
	u.mu.Unlock()
	s, listed := u.directory.FindCurrent(id)
	return !listed || s.Incarnation != incarnation ||
		s.State != policy.Running && u.clock.now()-s.DrainingSince > max(0, grace-drainGraceMargin)
}

// acquire returns the most recently used idle connection that is usable. Without one it returns an
// undialed connection and the address to dial. ok is false if the limit on connections is reached
// or the server is not listed.
func (u *upstream) acquire(id policy.ServerID) (c *upstreamConn, addr string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s, listed := u.directory.FindCurrent(id)
	if !listed {
		return nil, "", false
	}
	now, maxAge := u.clock.now(), u.ages.maxIdleAge(u.idleTimeout)
	idle := u.idle[id]
	for i := len(idle) - 1; i >= 0; i-- {
		c := idle[i]
		if now-c.lastUsed < u.reuseDelay {
			continue
		}
		idle = slices.Delete(idle, i, i+1)
		u.idle[id] = idle
		state := c.checkIdle()
		if now-c.lastUsed < maxAge && state == idleQuiet {
			return c, "", true
		}
		c.Close()
		u.open--
		if state == idleUnsolicited {
			u.unsolicited.idle.Add(1)
			u.pauseReuse(id)
			break
		}
	}
	if u.open >= u.maxOpen && !u.closeOldestIdle() {
		return nil, "", false
	}
	u.open++
	c = &upstreamConn{incarnation: s.Incarnation, counts: &u.unsolicited, clock: u.clock, memory: u.memory}
	return c, s.Addr.String(), true
}

// closeOldestIdle closes the connection that has been idle the longest. It returns false if none is
// idle. The caller holds u.mu.
func (u *upstream) closeOldestIdle() bool {
	var server policy.ServerID
	var oldest *upstreamConn
	for id, idle := range u.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].lastUsed < oldest.lastUsed) {
			server, oldest = id, idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.Close()
	u.idle[server] = slices.Delete(u.idle[server], 0, 1)
	u.open--
	return true
}

// discard closes a connection that can't be reused or whose dial failed.
func (u *upstream) discard(c *upstreamConn) {
	c.input.discardAll()
	if c.Conn != nil {
		c.Close()
	}
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// putIdle returns a connection to the pool, or closes it if it should not be reused.
func (u *upstream) putIdle(id policy.ServerID, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s, listed := u.directory.FindCurrent(id)
	if !listed || s.State != policy.Running || s.Incarnation != c.incarnation ||
		u.open > u.maxOpen || u.reusePauses.paused(id, u.clock.now()) {
		c.Close()
		u.open--
		return
	}
	c.lastUsed = u.clock.now()
	u.idle[id] = append(u.idle[id], c)
}

// sweep closes the connections that have been idle too long, were closed by the server or
// received unsolicited bytes.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, maxAge := u.clock.now(), u.ages.maxIdleAge(u.idleTimeout)
	u.ages.decay()
	for id, idle := range u.idle {
		unsolicited := false
		idle = slices.DeleteFunc(idle, func(c *upstreamConn) bool {
			state := c.checkIdle()
			if now-c.lastUsed < maxAge && state == idleQuiet {
				return false
			}
			if state == idleUnsolicited {
				u.unsolicited.idle.Add(1)
				unsolicited = true
			}
			c.Close()
			u.open--
			return true
		})
		if u.idle[id] = idle; unsolicited {
			u.pauseReuse(id)
		}
		if len(u.idle[id]) == 0 {
			delete(u.idle, id)
		}
	}
	u.reusePauses.expire(now)
}

// do executes an attempt. Unless the response was complete, do closes the connection before it
// returns.
func (u *upstream) do(a *attempt, req *clientRequest) result {
	c, addr, ok := u.acquire(a.server)
	if !ok {
		return result{code: policy.ConnectFailed}
	}
	if c.Conn == nil {
		var err error
		if c.Conn, err = u.connect(a, addr); err != nil {
			u.discard(c)
			return a.unsentResult()
		}
		c.input.src, c.input.memory = c, c
	}
	now := u.clock.now()
	switch {
	case now >= a.deadline:
		u.discard(c)
		return result{code: policy.NotSent}
	case now >= a.writeDeadline || u.closedToRequests(a.server, c.incarnation) || !a.beginWrite(c):
		u.discard(c)
		return a.unsentResult()
	}
	c.attempt = a
	r, reuse := u.exchange(a, c, req, a.deadline-now)
	c.attempt = nil
	if c.lastUsed > 0 {
		u.mu.Lock()
		u.ages.record(now-c.lastUsed, u.clock.now()-now, r.code, len(c.input.buf) > 0 || c.unsolicited)
		u.mu.Unlock()
	}
	if !a.detach() { // cancelled: the connection is already closed
		reuse = false
		if r.code == policy.Reset || r.code == policy.TimedOut {
			r.code = policy.Cancelled
		}
	}
	if c.unsolicited {
		u.mu.Lock()
		u.pauseReuse(a.server)
		u.mu.Unlock()
	}
	if reuse {
		u.putIdle(a.server, c)
	} else {
		u.discard(c)
	}
	return r
}

// connect dials a server. Cancelling the attempt aborts the dial.
func (u *upstream) connect(a *attempt, addr string) (net.Conn, error) {
	ctx, cancel, ok := a.waitContext(u.clock)
	if !ok {
		return nil, context.Canceled
	}
	defer cancel()
	u.mu.Lock()
	dialer := u.dialer
	u.mu.Unlock()
	return dialer.DialContext(ctx, "tcp", addr)
}

// exchange writes the request, with a single write if its body is small, and reads the response. It also reports whether the
// connection can be reused. The number of bytes written decides the outcome of a failure: until the
// last byte is written the request can't have run; after that it may have.
func (u *upstream) exchange(a *attempt, c *upstreamConn, req *clientRequest,
	remaining time.Duration) (result, bool) {
	if c.SetDeadline(u.clock.time(a.deadline)) != nil ||
		c.SetWriteDeadline(u.clock.time(a.writeDeadline)) != nil {
		return result{code: policy.ConnectFailed}, false
	}
	msg := requestBuffers.Get().(*[]byte)
	b := appendRequestHead((*msg)[:0], req, remaining)
	if !c.quietBeforeWrite() {
		requestBuffers.Put(msg)
		return result{code: policy.ConnectFailed}, false
	}
	total := len(b) + len(req.body)
	c.requestLength, c.moreUnread = total, false
	b, n, err := writeMessage(c, b, req.body)
	complete := n == total
	if *msg = b; cap(b) <= 2*smallBufferBytes {
		requestBuffers.Put(msg)
	}
	if !complete {
		return result{code: policy.ConnectFailed}, false
	}
	var r result
	status, body, framed := 0, []byte(nil), false
	if err == nil {
		status, body, framed, err = c.readResponse()
	}
	if err != nil {
		late := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, memory.ErrFull)
		if late && u.clock.now() >= a.deadline {
			return result{code: policy.TimedOut}, false
		}
		return result{code: policy.Reset}, false
	}
	if c.lastUsed > 0 && c.ambiguous() {
		return result{code: policy.Reset}, false
	}
	r.code, r.load = policy.Error, u.parseLoad(&c.head)
	switch {
	case status == 200 && !framed:
		r.code = policy.Reset // the end of the body can't be told from a broken connection
	case status == 200:
		r.code, r.contentType = policy.OK, c.head.contentType()
		r.body, r.reserved = c.input.takeBody(body)
	case (status == 503 || status == 504) && string(c.head.get("X-Not-Run")) == "1":
		r.code = policy.Full
	case status/100 == 4:
		r.code, r.badRequest = policy.NotSent, true
	}
	// Bytes that follow a response belong to no request.
	reuse := framed && c.input.buffered() == 0 && !c.head.listContains("Connection", "close")
	c.input.discardRead()
	c.head.reset()
	return r, reuse
}

// contentType returns the type of the body, or "" if it is missing or too long.
func (h *head) contentType() string {
	value := h.get("Content-Type")
	if len(value) > maxContentTypeBytes {
		return ""
	}
	return string(value)
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

var forwardedHeaders = []string{"Host", "X-Request-Id", "Idempotency-Key", "X-Class", "Content-Type"}

// appendRequestHead appends the head of the request as it is sent to a server. Of the client's headers it
// forwards only those in forwardedHeaders. A request needs a Host field, even if a client of HTTP/1.0 sent none.
func appendRequestHead(b []byte, req *clientRequest, remaining time.Duration) []byte {
	b = append(b, req.method...)
	b = append(b, ' ')
	b = append(b, req.target...)
	b = append(b, " HTTP/1.1"...)
	for _, key := range forwardedHeaders {
		if v := req.get(key); len(v) > 0 || key == "Host" {
			b = append(b, "\r\n"...)
			b = append(b, key...)
			b = append(b, ": "...)
			b = append(b, v...)
		}
	}
	b = append(b, "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, remaining.Milliseconds()), 10)
	if string(req.method) != "GET" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.body)), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// loadFieldAliases maps field names of the settings to the names that servers use in load reports,
// where the two differ.
var loadFieldAliases = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util",
	"avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps"}

// parseLoad parses a load report: a word, then name=value pairs. It returns nil for a report that lacks
// a field or has a value out of range.
func (u *upstream) parseLoad(h *head) []float64 {
	text, n := h.lookup("X-Load")
	if n != 1 || len(u.loadFields) == 0 {
		return nil
	}
	out, found := make([]float64, len(u.loadFields)), 0
	_, rest, _ := strings.Cut(string(text), " ")
	for pair := range strings.SplitSeq(rest, ",") {
		k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		i := slices.IndexFunc(u.loadFields, func(f string) bool { return f == k || loadFieldAliases[f] == k })
		if i < 0 {
			continue
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= 0 && x <= maxLoadValue) { // also rejects NaN
			return nil
		}
		out[i] = x
		found++
	}
	if found < len(u.loadFields) {
		return nil
	}
	return out
}
