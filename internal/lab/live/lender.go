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

// lender is an emulated lending server. It listens on a separate address for each edge
// node, so that the path between the two can be cut.
type lender struct {
	f      *fleet
	no     int
	zone   int
	weight float64
	doors  []*door
	rng    *rand.Rand

	mu     sync.Mutex // guards desk and budget
	desk   *lending.Desk
	budget *lending.Budget

	// The fleet's lock guards the fields below.
	state  string
	inc    int
	silent bool
	dead   bool
	slow   float64
	wrong  float64
	spoilt float64
	conns  map[*link]bool
	booted time.Time // start of the process; zero: long before the run
}

// Now returns the fleet's time. With After it implements the clock of the desk.
func (l *lender) Now() time.Duration { return l.f.now() }

// After calls do after a time, with the server's lock held.
func (l *lender) After(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		do()
	})
}

// addLender creates a lending server that started long before the run.
func (f *fleet) addLender(zoneSeed int, size float64) (*lender, error) {
	l := &lender{f: f, no: len(f.lend), zone: f.w.ZoneOf(zoneSeed), weight: size, slow: 1, state: "SERVING", conns: map[*link]bool{},
		rng: world.Stream(f.Seed, world.StreamWork+100*(1+len(f.lend)))}
	l.desk = lending.New(l, &f.w.Server, f.w.Cores()*size)
	l.budget = lending.NewBudget(f.w)
	for _, n := range f.nodes {
		d, err := newDoor(l, n)
		if err != nil {
			return nil, err
		}
		l.doors = append(l.doors, d)
	}
	f.lend = append(f.lend, l)
	for _, n := range f.nodes {
		n.agent.send(l, true)
	}
	return l, nil
}

// target returns the server's entry in the discovery list of an edge node.
func (l *lender) target(node int) roster.Target {
	boot := 0.0
	if !l.booted.IsZero() {
		boot = float64(l.booted.UnixMilli())
	}
	return roster.Target{UID: fmt.Sprintf("s-%08x", uint32(l.no+1)*2654435761), Endpoint: l.doors[node].ln.Addr().String(),
		Zone: world.ZoneName(l.zone), Cell: l.zone*1000 + l.no/4, State: l.state, Weight: l.weight, BootMS: boot}
}

// changed sends the server's state to the agents of all edge nodes. The fleet's lock is
// held.
func (l *lender) changed() {
	for _, n := range l.f.nodes {
		n.agent.send(l, false)
	}
}

// door is the listener on which one edge node reaches a server.
type door struct {
	l    *lender
	n    *node
	ln   *net.TCPListener
	mu   sync.Mutex
	shut bool
	open *sync.Cond
	full net.Conn // fills the accept queue while blocked, so that no other connection is established
}

func newDoor(l *lender, n *node) (*door, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	d := &door{l: l, n: n, ln: ln.(*net.TCPListener)}
	d.open = sync.NewCond(&d.mu)
	go d.accept()
	return d, nil
}

const backlog = 512 // length of the accept queue, in connections

// bar blocks or unblocks new connections, as a network cut does: the kernel doesn't
// answer a SYN while the accept queue is full.
func (d *door) bar(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if shut == d.shut {
		return
	}
	d.shut = shut
	n := backlog
	if shut {
		n = 0
	}
	if raw, err := d.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) // on error connections are still established, but not served
	}
	if shut {
		d.full, _ = net.DialTimeout("tcp", d.ln.Addr().String(), 100*time.Millisecond)
	} else {
		if d.full != nil {
			d.full.Close()
		}
		d.open.Broadcast()
	}
}

func (d *door) accept() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		for d.shut {
			d.open.Wait()
		}
		d.mu.Unlock()
		go d.serve(c)
	}
}

// link is a connection from an edge node to a server.
type link struct {
	net.Conn
	d     *door
	inc   int
	br    *bufio.Reader
	fresh bool
	no    int // number of the current attempt within its try
}

// serve answers the requests on a connection, one at a time.
func (d *door) serve(c net.Conn) {
	l, f := d.l, d.l.f
	k := &link{Conn: c, d: d, br: bufio.NewReader(c), fresh: true}
	f.mu.Lock()
	k.inc = l.inc
	if l.dead {
		f.mu.Unlock()
		reset(c)
		return
	}
	crowded := len(l.conns) >= f.w.Server.Connections
	l.conns[k] = true
	f.book.Handshakes++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(l.conns, k)
		f.mu.Unlock()
		c.Close()
	}()
	time.Sleep(f.w.Server.Handshake.D())
	for {
		if err := c.SetReadDeadline(time.Now().Add(f.w.Server.Idle.D())); err != nil {
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
		if !k.answer(req, crowded) {
			return
		}
		k.fresh = false
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// pass sleeps for the one-way network delay between the server and the edge node.
func (k *link) pass() {
	mean := k.d.l.f.w.Net.Near.D()
	if k.d.l.zone != k.d.n.zone {
		mean = k.d.l.f.w.Net.Far.D()
	}
	time.Sleep(mean)
}

// cut reports whether the edge node and the server can't reach one another.
func (k *link) cut() bool {
	f, l := k.d.l.f, k.d.l
	f.mu.Lock()
	defer f.mu.Unlock()
	return l.silent || !f.passes(k.d.n.zone, l.zone) || !f.passes(l.zone, k.d.n.zone)
}

// left reports whether the edge node has closed the connection, even if the server's
// reader has not noticed it yet.
func (k *link) left() bool {
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

// silence holds a connection without an answer until it is closed.
func (k *link) silence() bool {
	_, _ = k.br.Peek(1) // returns when the edge node or the end of the run closes the connection
	return false
}

// answer serves one request. It returns false when the connection can't be reused.
func (k *link) answer(req *http.Request, crowded bool) bool {
	l := k.d.l
	k.pass()
	if k.cut() {
		return k.silence()
	}
	if req.URL.Path == "/healthz" || req.URL.Path == "/load" {
		return k.reply(http.StatusOK, nil, "ok")
	}
	id := req.Header.Get("X-Request-Id")
	j, t, verdict := l.receive(k, id, req)
	switch verdict {
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
	if crowded {
		l.leave(k, t)
		return k.reply(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}, "too many connections")
	}
	end := make(chan lending.End, 1)
	j.Done = func(e lending.End) { end <- e }
	l.mu.Lock()
	taken := l.desk.Offer(j)
	l.mu.Unlock()
	if !taken {
		l.leave(k, t)
		return k.reply(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}, "")
	}
	// The edge node may close the connection during the work, which cancels the attempt.
	gone := make(chan error, 1)
	go func() {
		_, err := k.br.Peek(1)
		gone <- err
	}()
	var e lending.End
	closed := false
	select {
	case e = <-end:
	case err := <-gone:
		closed = err != nil
		gone <- err
		if closed {
			l.leave(k, t)
			l.mu.Lock()
			j.Gone = true
			l.mu.Unlock()
			return false
		}
		e = <-end
	}
	whole := l.finish(k, t, j, e)
	if !whole {
		if err := k.Conn.SetReadDeadline(time.Now()); err != nil {
			return false
		}
		<-gone
		return false
	}
	// The goroutine that peeks must return before the next request is read. It returns
	// with the first byte of that request.
	if err := k.Conn.SetReadDeadline(time.Now().Add(l.f.w.Server.Idle.D())); err != nil {
		return false
	}
	return (<-gone) == nil
}

// reply writes a response. It returns false when the connection can't be reused.
func (k *link) reply(status int, head map[string]string, body string) bool {
	k.pass()
	if k.cut() {
		return k.silence()
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	_, err := k.Conn.Write(b.Bytes())
	return err == nil
}

// made returns the body of the successful response to a request.
func made(id string) string { return `{"loan":"` + id + `"}` }

// receive checks the rules on an attempt that was read in full and charges its units. It
// returns a job, or a non-empty word for how the attempt ends without work.
func (l *lender) receive(k *link, id string, req *http.Request) (*lending.Job, *try, string) {
	f := l.f
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tries[id]
	if t == nil {
		if !f.sent[id] {
			f.book.Broken(tally.Foreign, id, k.d.n.no, f.since(), "%s %s, which no client sent in this form", req.Method, req.URL.Path)
		}
		return nil, nil, "unknown"
	}
	class := &f.w.Classes[t.w.class]
	n := k.d.n
	broken := func(r tally.Rule, format string, args ...any) { f.book.Broken(r, id, n.no, f.since(), format, args...) }
	t.attempts++
	t.w.sends++
	f.book.Sends++
	k.no = t.attempts
	for before, at := range t.out {
		if !at.left() {
			broken(tally.Overlap, "attempt %d while attempt %d is out", t.attempts, before)
		}
	}
	if t.attempts > f.w.Rules.Attempts {
		broken(tally.Attempts, "attempt %d of %d", t.attempts, f.w.Rules.Attempts)
	}
	switch {
	case !t.ran:
	case class.Effect == "once":
		broken(tally.SecondCopy, "%s sent again though it may have run", class.Name)
	case class.Effect == "by_key" && f.now()-t.ranAt > class.Window.D()+socketSlack:
		broken(tally.SecondCopy, "%s sent again %v after the first, outside its window", class.Name, f.now()-t.ranAt)
	}
	n.mu.Lock()
	told, drains := n.told[l.no]
	knew := l.desk.Start > 0 && n.starts[l.no] == l.desk.Start
	n.mu.Unlock()
	if drains && f.now()-told.at > f.w.Rules.Grace.D()+socketSlack {
		broken(tally.Drain, "sent to server %d, %v after it was told %s that this drains or is gone", l.no, f.now()-told.at, told.how)
	}
	sigma := f.w.Server.Spread
	work := class.Work.D().Seconds() * math.Exp(sigma*l.rng.NormFloat64()-sigma*sigma/2)
	if k.fresh {
		work += f.w.Server.Handshake.D().Seconds()
	}
	t.out[k.no] = k
	f.charge(t)
	l.mu.Lock()
	working, waiting := l.desk.Load()
	falls, known := l.budget.Came(l.desk, work, knew)
	l.mu.Unlock()
	f.note(t.w, n.no, trace.Arrived, "server %d: %d at work, %d waiting", l.no, working, waiting)
	if known {
		broken(tally.Cold, "server %d pushed over %v after its start", l.no, f.now()-l.desk.Start)
	}
	if falls {
		go l.die()
	}
	verdict := ""
	switch {
	case l.dead || l.inc != k.inc:
		verdict = "reset"
	case l.state != "SERVING":
		verdict = "turned away"
	case l.rng.Float64() < l.wrong:
		verdict = "error"
		f.book.Worked += work / 50
		f.book.Wasted += work / 50
		t.mayHaveRun(f.now())
	case f.reset > 0 && l.rng.Float64() < f.reset:
		verdict = "reset"
		t.mayHaveRun(f.now())
	}
	if verdict != "" {
		delete(t.out, k.no)
		t.w.c.account.Out(-1)
		f.note(t.w, n.no, trace.Outcome, "at server %d: %s", l.no, verdict)
		return nil, t, verdict
	}
	return &lending.Job{Work: work, Until: f.now() + time.Until(t.deadline)}, t, ""
}

// socketSlack is the tolerance of the rules for delays of sockets and timers.
const socketSlack = 50 * time.Millisecond

// leave ends an attempt that was rejected or cancelled before the work was done.
func (l *lender) leave(k *link, t *try) {
	f := l.f
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(t.out, k.no)
	t.w.c.account.Out(-1)
}

// finish records the end of the work on an attempt and answers it. It returns false when
// the connection can't be reused.
func (l *lender) finish(k *link, t *try, j *lending.Job, e lending.End) bool {
	f := l.f
	f.mu.Lock()
	delete(t.out, k.no)
	t.w.c.account.Out(-1)
	if e != lending.Over {
		t.mayHaveRun(f.now())
	}
	if e == lending.Worked || e == lending.Vain {
		f.book.Worked += j.Work
	}
	spoilt := l.rng.Float64() < l.spoilt
	missing := l.rng.Float64() < f.lost
	if e == lending.Vain || e == lending.Worked && (spoilt || missing) {
		f.book.Wasted += j.Work
	}
	f.mu.Unlock()
	switch {
	case e == lending.Over:
		return k.reply(http.StatusGatewayTimeout, map[string]string{"X-Not-Run": "1"}, "")
	case e != lending.Worked:
		reset(k.Conn)
		return false
	case spoilt:
		k.pass()
		_, _ = k.Conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")) // the response is malformed either way
		return false
	case missing:
		return k.silence()
	}
	return k.reply(http.StatusOK, nil, made(t.id))
}

// die emulates the death of the server's process: all work is aborted and all
// connections are reset.
func (l *lender) die() {
	f := l.f
	f.mu.Lock()
	l.dead = true
	l.breakAll()
	f.mu.Unlock()
}

// breakAll aborts all work and resets all connections. The fleet's lock is held.
func (l *lender) breakAll() {
	l.inc++
	l.mu.Lock()
	jobs := l.desk.Clear()
	l.mu.Unlock()
	for k := range l.conns {
		reset(k.Conn)
	}
	go func() {
		for _, j := range jobs {
			if !j.Gone {
				j.Done(lending.Broken)
			}
		}
	}()
}

// boot emulates the start of a new process, which is cold.
func (l *lender) boot() {
	f := l.f
	f.mu.Lock()
	defer f.mu.Unlock()
	l.breakAll()
	l.dead, l.silent, l.state, l.booted = false, false, "SERVING", time.Now()
	l.mu.Lock()
	l.desk.Start, l.budget = f.now(), lending.NewBudget(f.w)
	l.mu.Unlock()
	l.changed()
}

func (l *lender) retime(slow float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.desk.Slow(slow)
}

func (l *lender) close() {
	for _, d := range l.doors {
		d.bar(false)
		d.ln.Close()
	}
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.breakAll()
}
