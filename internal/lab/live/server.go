package live

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"valvering.example/valvering/internal/lab/lending"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/internal/roster"
)

// server is an emulated lending server. It listens on a separate address for each edge
// node, so that the path between the two can be cut.
type server struct {
	fleet     *fleet
	index     int
	zone      int
	weight    float64
	endpoints []*endpoint
	rng       *rand.Rand

	mu            sync.Mutex // guards processor and overloadCheck
	processor     *lending.Processor
	overloadCheck *lending.OverloadCheck

	// The fleet's lock guards the fields below.
	state        string
	incarnation  int
	unresponsive bool
	crashed      bool
	slowdown     float64
	errorRate    float64
	corruptRate  float64
	conns        map[*serverConn]bool
	bootTime     time.Time // start of the process; zero: long before the run
}

// Now returns the fleet's time. With After it implements the clock of the processor.
func (l *server) Now() time.Duration { return l.fleet.now() }

// After calls do after a time, with the server's lock held.
func (l *server) After(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		do()
	})
}

// addServer creates a lending server that started long before the run.
func (f *fleet) addServer(zoneIndex int, size float64) (*server, error) {
	l := &server{fleet: f, index: len(f.servers), zone: f.world.ZoneOf(zoneIndex), weight: size, slowdown: 1,
		state: "SERVING", conns: map[*serverConn]bool{},
		rng: world.Stream(f.Seed, world.StreamWork+100*(1+len(f.servers)))}
	l.processor = lending.New(l, &f.world.Server, f.world.Cores()*size)
	l.overloadCheck = lending.NewOverloadCheck(f.world)
	for _, n := range f.nodes {
		d, err := newEndpoint(l, n)
		if err != nil {
			return nil, err
		}
		l.endpoints = append(l.endpoints, d)
	}
	f.servers = append(f.servers, l)
	for _, n := range f.nodes {
		n.agent.sendUpdate(l, true)
	}
	return l, nil
}

// target returns the server's entry in the discovery list of an edge node.
func (l *server) target(node int) roster.Target {
	bootMS := 0.0
	if !l.bootTime.IsZero() {
		bootMS = float64(l.bootTime.UnixMilli())
	}
	return roster.Target{UID: fmt.Sprintf("s-%08x", uint32(l.index+1)*2654435761),
		Endpoint: l.endpoints[node].ln.Addr().String(),
		Zone:     world.ZoneName(l.zone), Cell: l.zone*1000 + l.index/4, State: l.state, Weight: l.weight,
		BootMS: bootMS}
}

// publishChange sends the server's state to the agents of all edge nodes. The fleet's lock is
// held.
func (l *server) publishChange() {
	for _, n := range l.fleet.nodes {
		n.agent.sendUpdate(l, false)
	}
}

// endpoint is the listener on which one edge node reaches a server.
type endpoint struct {
	server      *server
	node        *node
	ln          *net.TCPListener
	mu          sync.Mutex
	blocked     bool
	unblocked   *sync.Cond
	queueFiller net.Conn // fills the accept queue while blocked, so that no other connection is established
}

func newEndpoint(l *server, n *node) (*endpoint, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	d := &endpoint{server: l, node: n, ln: ln.(*net.TCPListener)}
	d.unblocked = sync.NewCond(&d.mu)
	go d.accept()
	return d, nil
}

const backlog = 512 // length of the accept queue, in connections

// setBlocked blocks or unblocks new connections, as a network cut does: the kernel does not
// answer a SYN while the accept queue is full.
func (d *endpoint) setBlocked(blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if blocked == d.blocked {
		return
	}
	d.blocked = blocked
	n := backlog
	if blocked {
		n = 0
	}
	if raw, err := d.ln.SyscallConn(); err == nil {
		// on error connections are still established, but not served
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
	if blocked {
		d.queueFiller, _ = net.DialTimeout("tcp", d.ln.Addr().String(), 100*time.Millisecond)
	} else {
		if d.queueFiller != nil {
			d.queueFiller.Close()
		}
		d.unblocked.Broadcast()
	}
}

func (d *endpoint) accept() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		for d.blocked {
			d.unblocked.Wait()
		}
		d.mu.Unlock()
		go d.serve(c)
	}
}

// serverConn is a connection from an edge node to a server.
type serverConn struct {
	net.Conn
	endpoint    *endpoint
	incarnation int
	br          *bufio.Reader
	newConn     bool
	attempt     int // number of the current attempt within its try
}

// serve answers the requests on a connection, one at a time.
func (d *endpoint) serve(c net.Conn) {
	l, f := d.server, d.server.fleet
	k := &serverConn{Conn: c, endpoint: d, br: bufio.NewReader(c), newConn: true}
	f.mu.Lock()
	k.incarnation = l.incarnation
	if l.crashed {
		f.mu.Unlock()
		reset(c)
		return
	}
	overConnLimit := len(l.conns) >= f.world.Server.Connections
	l.conns[k] = true
	f.book.Handshakes++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(l.conns, k)
		f.mu.Unlock()
		c.Close()
	}()
	time.Sleep(f.world.Server.Handshake.D())
	for {
		if err := c.SetReadDeadline(time.Now().Add(f.world.Server.Idle.D())); err != nil {
			return
		}
		req, err := http.ReadRequest(k.br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, 1<<16)); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !k.answer(req, overConnLimit) {
			return
		}
		k.newConn = false
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// sleepLatency sleeps for the one-way network delay between the server and the edge node.
func (k *serverConn) sleepLatency() {
	mean := k.endpoint.server.fleet.world.Net.Near.D()
	if k.endpoint.server.zone != k.endpoint.node.zone {
		mean = k.endpoint.server.fleet.world.Net.Far.D()
	}
	time.Sleep(mean)
}

// isCut reports whether the edge node and the server can't reach one another.
func (k *serverConn) isCut() bool {
	f, l := k.endpoint.server.fleet, k.endpoint.server
	f.mu.Lock()
	defer f.mu.Unlock()
	return l.unresponsive || !f.reachable(k.endpoint.node.zone, l.zone) ||
		!f.reachable(l.zone, k.endpoint.node.zone)
}

// peerClosed reports whether the edge node has closed the connection, even if the server's
// reader has not noticed it yet.
func (k *serverConn) peerClosed() bool {
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && e == nil || e != nil && e != syscall.EAGAIN
	})
	return err != nil || closed
}

// awaitClose holds a connection without an answer until it is closed.
func (k *serverConn) awaitClose() bool {
	_, _ = k.br.Peek(1) // returns when the edge node or the end of the run closes the connection
	return false
}

// answer serves one request. It returns false when the connection can't be reused.
func (k *serverConn) answer(req *http.Request, overConnLimit bool) bool {
	l := k.endpoint.server
	k.sleepLatency()
	if k.isCut() {
		return k.awaitClose()
	}
	if req.URL.Path == "/healthz" || req.URL.Path == "/load" {
		return k.reply(http.StatusOK, nil, "ok")
	}
	id := req.Header.Get("X-Request-Id")
	j, t, outcome := l.receiveAttempt(k, id, req)
	switch outcome {
	case "unknown":
		return k.reply(http.StatusBadRequest, nil, "no client sent this")
	case "reset":
		reset(k.Conn)
		return false
	case "error":
		return k.reply(http.StatusInternalServerError, nil, "wrong")
	case "turned away":
		return k.reply(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}, "")
	}
	if overConnLimit {
		l.releaseAttempt(k, t)
		return k.reply(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"},
			"too many connections")
	}
	ended := make(chan lending.End, 1)
	j.Done = func(e lending.End) { ended <- e }
	l.mu.Lock()
	accepted := l.processor.Offer(j)
	l.mu.Unlock()
	if !accepted {
		l.releaseAttempt(k, t)
		return k.reply(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}, "")
	}
	// The edge node may close the connection during the work, which cancels the attempt.
	peeked := make(chan error, 1)
	go func() {
		_, err := k.br.Peek(1)
		peeked <- err
	}()
	var e lending.End
	closed := false
	select {
	case e = <-ended:
	case err := <-peeked:
		closed = err != nil
		peeked <- err
		if closed {
			l.releaseAttempt(k, t)
			l.mu.Lock()
			j.Abandoned = true
			l.mu.Unlock()
			return false
		}
		e = <-ended
	}
	reuse := l.finishAttempt(k, t, j, e)
	if !reuse {
		if err := k.Conn.SetReadDeadline(time.Now()); err != nil {
			return false
		}
		<-peeked
		return false
	}
	// The goroutine that peeks must return before the next request is read. It returns
	// with the first byte of that request.
	if err := k.Conn.SetReadDeadline(time.Now().Add(l.fleet.world.Server.Idle.D())); err != nil {
		return false
	}
	return (<-peeked) == nil
}

// reply writes a response. It returns false when the connection can't be reused.
func (k *serverConn) reply(status int, header map[string]string, body string) bool {
	k.sleepLatency()
	if k.isCut() {
		return k.awaitClose()
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	_, err := k.Conn.Write(b.Bytes())
	return err == nil
}

// responseBody returns the body of the successful response to a request.
func responseBody(id string) string { return `{"loan":"` + id + `"}` }

// receiveAttempt checks the rules on an attempt that was read in full and charges its units.
// It returns a job, or a non-empty outcome of an attempt that ends without work.
func (l *server) receiveAttempt(k *serverConn, id string, req *http.Request) (*lending.Job, *try, string) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tries[id]
	if t == nil {
		if !f.sentIDs[id] {
			f.book.Broken(tally.Foreign, id, k.endpoint.node.index, f.elapsed(),
				"%s %s, which no client sent in this form", req.Method, req.URL.Path)
		}
		return nil, nil, "unknown"
	}
	class := &f.world.Classes[t.request.class]
	n := k.endpoint.node
	reportBreach := func(r tally.Rule, format string, args ...any) {
		f.book.Broken(r, id, n.index, f.elapsed(), format, args...)
	}
	t.attempts++
	t.request.attempts++
	f.book.Sends++
	k.attempt = t.attempts
	for earlier, conn := range t.inFlight {
		if !conn.peerClosed() {
			reportBreach(tally.Overlap, "attempt %d while attempt %d is out", t.attempts, earlier)
		}
	}
	if t.attempts > f.world.Rules.Attempts {
		reportBreach(tally.Attempts, "attempt %d of %d", t.attempts, f.world.Rules.Attempts)
	}
	switch {
	case !t.mayHaveRun:
	case class.Effect == "once":
		reportBreach(tally.SecondCopy, "%s sent again though it may have run", class.Name)
	case class.Effect == "by_key" && f.now()-t.mayHaveRunAt > class.Window.D()+socketSlack:
		reportBreach(tally.SecondCopy, "%s sent again %v after the first, outside its window", class.Name,
			f.now()-t.mayHaveRunAt)
	}
	n.mu.Lock()
	notice, draining := n.drainNotices[l.index]
	knewStart := l.processor.Start > 0 && n.knownStarts[l.index] == l.processor.Start
	n.mu.Unlock()
	if draining && f.now()-notice.at > f.world.Rules.Grace.D()+socketSlack {
		reportBreach(tally.Drain, "sent to server %d, %v after it was told %s that this drains or is gone",
			l.index, f.now()-notice.at, notice.how)
	}
	sigma := f.world.Server.Spread
	work := class.Work.D().Seconds() * math.Exp(sigma*l.rng.NormFloat64()-sigma*sigma/2)
	if k.newConn {
		work += f.world.Server.Handshake.D().Seconds()
	}
	t.inFlight[k.attempt] = k
	f.countAttempt(t)
	l.mu.Lock()
	working, waiting := l.processor.Load()
	overloaded, informed := l.overloadCheck.RecordAttempt(l.processor, work, knewStart)
	l.mu.Unlock()
	f.addNote(t.request, n.index, trace.Arrived, "server %d: %d at work, %d waiting", l.index, working,
		waiting)
	if informed {
		reportBreach(tally.Cold, "server %d pushed over %v after its start", l.index,
			f.now()-l.processor.Start)
	}
	if overloaded {
		go l.crash()
	}
	outcome := ""
	switch {
	case l.crashed || l.incarnation != k.incarnation:
		outcome = "reset"
	case l.state != "SERVING":
		outcome = "turned away"
	case l.rng.Float64() < l.errorRate:
		outcome = "error"
		f.book.Worked += work / 50
		f.book.Wasted += work / 50
		t.recordMayHaveRun(f.now())
	case f.resetRate > 0 && l.rng.Float64() < f.resetRate:
		outcome = "reset"
		t.recordMayHaveRun(f.now())
	}
	if outcome != "" {
		delete(t.inFlight, k.attempt)
		t.request.customer.account.AddInFlight(-1)
		f.addNote(t.request, n.index, trace.Outcome, "at server %d: %s", l.index, outcome)
		return nil, t, outcome
	}
	return &lending.Job{Work: work, Until: f.now() + time.Until(t.deadline)}, t, ""
}

// socketSlack is the tolerance of the rules for delays of sockets and timers.
const socketSlack = 50 * time.Millisecond

// releaseAttempt ends an attempt that was rejected or cancelled before the work was done.
func (l *server) releaseAttempt(k *serverConn, t *try) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(t.inFlight, k.attempt)
	t.request.customer.account.AddInFlight(-1)
}

// finishAttempt records the end of the work on an attempt and answers it. It returns false
// when the connection can't be reused.
func (l *server) finishAttempt(k *serverConn, t *try, j *lending.Job, e lending.End) bool {
	f := l.fleet
	f.mu.Lock()
	delete(t.inFlight, k.attempt)
	t.request.customer.account.AddInFlight(-1)
	if e != lending.Expired {
		t.recordMayHaveRun(f.now())
	}
	if e == lending.Worked || e == lending.Unneeded {
		f.book.Worked += j.Work
	}
	corrupt := l.rng.Float64() < l.corruptRate
	missing := l.rng.Float64() < f.answerLoss
	if e == lending.Unneeded || e == lending.Worked && (corrupt || missing) {
		f.book.Wasted += j.Work
	}
	f.mu.Unlock()
	switch {
	case e == lending.Expired:
		return k.reply(http.StatusGatewayTimeout, map[string]string{"X-Not-Run": "1"}, "")
	case e != lending.Worked:
		reset(k.Conn)
		return false
	case corrupt:
		k.sleepLatency()
		// the response is malformed either way
		_, _ = k.Conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"))
		return false
	case missing:
		return k.awaitClose()
	}
	return k.reply(http.StatusOK, nil, responseBody(t.id))
}

// crash emulates the end of the server's process: all work is aborted and all connections
// are reset.
func (l *server) crash() {
	f := l.fleet
	f.mu.Lock()
	l.crashed = true
	l.resetConns()
	f.mu.Unlock()
}

// resetConns aborts all work and resets all connections. The fleet's lock is held.
func (l *server) resetConns() {
	l.incarnation++
	l.mu.Lock()
	jobs := l.processor.Clear()
	l.mu.Unlock()
	for k := range l.conns {
		reset(k.Conn)
	}
	go func() {
		for _, j := range jobs {
			if !j.Abandoned {
				j.Done(lending.Aborted)
			}
		}
	}()
}

// restart emulates the start of a new process, which is cold.
func (l *server) restart() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	l.resetConns()
	l.crashed, l.unresponsive, l.state, l.bootTime = false, false, "SERVING", time.Now()
	l.mu.Lock()
	l.processor.Start, l.overloadCheck = f.now(), lending.NewOverloadCheck(f.world)
	l.mu.Unlock()
	l.publishChange()
}

func (l *server) setSlowdown(slowdown float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processor.SetSlowdown(slowdown)
}

func (l *server) close() {
	for _, d := range l.endpoints {
		d.setBlocked(false)
		d.ln.Close()
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.resetConns()
}
