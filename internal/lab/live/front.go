package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
)

// customer is a customer of the platform and its quota account.
type customer struct {
	key       string
	plan      int
	firstNode int
	spread    int
	account   *tally.Account
}

// clientRequest is a client's request over all its tries.
type clientRequest struct {
	customer       *customer
	class          int
	units          int
	scheduled      time.Duration // intended time of the first try, since the run began
	deadline       time.Time
	tries          int
	attempts       int
	idempotencyKey string
	mayHaveRun     bool          // an attempt of any try may have run
	mayHaveRunAt   time.Duration // when the first such attempt may have run
	end            tally.End
	story          *trace.Story
}

// try is one HTTP request to one edge node, with its own request id.
type try struct {
	id           string
	request      *clientRequest
	nodeIndex    int
	deadline     time.Time
	attempts     int
	inFlight     map[int]*serverConn // attempts in flight, by number
	mayHaveRun   bool
	mayHaveRunAt time.Duration
	charged      bool
}

func (t *try) recordMayHaveRun(now time.Duration) {
	if !t.mayHaveRun {
		t.mayHaveRun, t.mayHaveRunAt = true, now
	}
	if !t.request.mayHaveRun {
		t.request.mayHaveRun, t.request.mayHaveRunAt = true, now
	}
}

// createCustomers creates the customers of the world.
func (f *fleet) createCustomers() {
	for _, p := range f.population.Customers {
		f.customers = append(f.customers, &customer{key: p.Key, plan: p.Plan, firstNode: p.First,
			spread:  p.Spread,
			account: tally.NewAccount(&f.world.Plans[p.Plan], f.now())})
	}
}

// runClients starts requests until the load or ctx ends and returns how long that took.
func (f *fleet) runClients(ctx context.Context, source load.Source) time.Duration {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	stop := make(chan struct{})
	var statusLoop sync.WaitGroup
	statusLoop.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-ticker.C:
				f.reportStatus(n)
			case <-stop:
				return
			}
		}
	})
	defer statusLoop.Wait()
	defer close(stop)
	for {
		at, more := source.Next()
		if !more || at >= f.world.For.D() {
			break
		}
		if wait := at - f.elapsed(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return f.elapsed()
			}
		}
		if ctx.Err() != nil {
			return f.elapsed()
		}
		f.startRequest(f.drawCustomer(), at)
	}
	return f.world.For.D()
}

func (f *fleet) drawCustomer() *customer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.customers[f.population.DrawCustomer(f.clientRand)]
}

// startRequest starts a client's request; at is its intended time.
func (f *fleet) startRequest(c *customer, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	class := f.world.ClassOf(f.clientRand)
	w := &clientRequest{customer: c, class: class, units: 1 + f.clientRand.IntN(max(1, f.world.Load.Units)),
		scheduled:      at,
		idempotencyKey: fmt.Sprintf("%016x%016x", f.clientRand.Uint64(), f.clientRand.Uint64())}
	cl := &f.world.Classes[class]
	patience := cl.Deadline.D()
	if f.clientRand.Float64() < f.world.Client.Leave {
		patience = time.Duration((0.3 + 0.6*f.clientRand.Float64()) * float64(patience))
	}
	w.deadline = f.startTime.Add(at + patience)
	w.end = tally.End{Class: class, Plan: c.plan, Node: -1, Units: float64(w.units), At: at,
		How: tally.Failed, WithinQuota: c.account.Fits(float64(w.units), f.now())}
	if f.requestCount++; f.elapsed()-at > lateThreshold {
		f.lateRequests++
	}
	if f.log != nil {
		f.storyCount++
		w.story = f.log.Begin(trace.Story{ID: fmt.Sprintf("w%07d", f.storyCount), Class: cl.Name,
			Plan: f.world.Plans[c.plan].Name, Key: c.key,
			Worth: f.book.Worth(class, c.plan, float64(w.units))})
	}
	f.addNote(w, -1, trace.Asked, "%s, %d units, waits %v", cl.Name, w.units, patience)
	f.openRequests.Go(func() { f.runRequest(w) })
}

// runRequest makes the tries of a request one after another and records its end.
func (f *fleet) runRequest(w *clientRequest) {
	class := &f.world.Classes[w.class]
	how := tally.Failed
	for {
		var retryAfter time.Duration
		var notAccepted bool
		how, retryAfter, notAccepted = f.sendTry(w)
		if how == tally.Served || how == tally.Lost {
			break
		}
		f.mu.Lock()
		wait, retry := f.world.DecideRetry(f.clientRand, world.Retry{Class: class,
			Retryable:  how == tally.Refused || notAccepted,
			MayHaveRun: w.mayHaveRun, RanSince: f.now() - w.mayHaveRunAt,
			Tries: w.tries, RetryAfter: retryAfter, Remaining: time.Until(w.deadline), Eagerness: f.eagerness})
		f.mu.Unlock()
		if !retry {
			break
		}
		time.Sleep(wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.end.Latency = f.elapsed() - w.scheduled
	if how == tally.Served && w.end.Latency > class.Aim.D() {
		how = tally.Late
	}
	w.end.How, w.end.Tries, w.end.Sends = how, w.tries, w.attempts
	f.book.Close(w.end)
	f.recentEnds = append(f.recentEnds, w.end)
	f.addNote(w, w.end.Node, trace.Ended, "%v after %v and %d tries", how, w.end.Latency, w.tries)
	if w.story != nil {
		w.story.How, w.story.WithinQuota = how.String(), w.end.WithinQuota
		if w.end.WithinQuota && how != tally.Served {
			w.story.Lost = w.story.Worth
			if how == tally.Late {
				w.story.Lost *= 1 - class.Late
			}
		}
	}
}

// lateAnswerLimit is how long after its deadline an accepted request may be answered before
// it counts as lost.
const lateAnswerLimit = 500 * time.Millisecond

// sendTry sends one request and returns how it ended, the Retry-After that came with a
// refusal, and whether no edge node accepted it.
func (f *fleet) sendTry(w *clientRequest) (how tally.How, retryAfter time.Duration, notAccepted bool) {
	f.mu.Lock()
	var candidates []*node
	for i := range w.customer.spread {
		n := f.nodes[(w.customer.firstNode+i)%len(f.nodes)]
		n.mu.Lock()
		if !n.outOfRotation {
			candidates = append(candidates, n)
		}
		n.mu.Unlock()
	}
	if w.tries++; len(candidates) == 0 {
		f.mu.Unlock()
		return tally.Failed, 0, true
	}
	n := candidates[f.clientRand.IntN(len(candidates))]
	f.lastID++
	t := &try{id: fmt.Sprintf("%016x", f.Seed<<40^f.lastID*0x9e3779b97f4a7c15), request: w,
		nodeIndex: n.index, deadline: w.deadline, inFlight: map[int]*serverConn{}}
	f.tries[t.id], f.sentIDs[t.id] = t, true
	w.end.Node = n.index
	f.addNote(w, n.index, trace.Accepted, "as %s, try %d", t.id, w.tries)
	f.mu.Unlock()
	_, incarnation := n.isRunning()
	start := time.Now()
	status, header, body, err := n.pool.do(f.formatRequest(t), w.deadline.Add(lateAnswerLimit))
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.tries, t.id)
	duration := time.Since(start)
	w.end.HeldBack = t.attempts == 0 && duration > time.Until(w.deadline)+duration/2
	ended := func(h tally.How, what string) tally.How {
		f.addNote(w, n.index, trace.Answered, "%s after %v", what, duration)
		return h
	}
	if err != nil {
		up, current := n.isRunning()
		var refused *notWrittenError
		switch {
		case errors.As(err, &refused):
			return ended(tally.Failed, "could not be sent"), 0, true
		case !up || current != incarnation:
			f.addNote(w, n.index, trace.Crashed, "")
			return tally.Failed, 0, false
		}
		f.book.Broken(tally.AnswerLost, t.id, n.index, f.elapsed(), "%s: %v after %v",
			f.world.Classes[w.class].Name, err, duration)
		return ended(tally.Lost, err.Error()), 0, false
	}
	if over := time.Until(w.deadline); over < -f.world.Rules.Slack.D()-socketSlack {
		f.addNote(w, n.index, trace.GaveUp, "the answer came %v late", -over)
		return tally.Failed, 0, false
	}
	switch {
	case status == http.StatusOK && body == responseBody(t.id):
		return ended(tally.Served, "served"), 0, false
	case status == http.StatusOK:
		f.book.Broken(tally.AnswerLost, t.id, n.index, f.elapsed(),
			"served with what no lending server made for it")
		return ended(tally.Lost, "served wrong"), 0, false
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		if v, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(v * float64(time.Second))
		}
		if class := &f.world.Classes[w.class]; t.mayHaveRun && !class.MayRepeat() {
			f.book.Broken(tally.SecondCopy, t.id, n.index, f.elapsed(),
				"refused, but an attempt may have run")
		}
		return ended(tally.Refused, "refused"), retryAfter, false
	}
	return ended(tally.Failed, fmt.Sprintf("failed with %d", status)), 0, false
}

// formatRequest returns the text of a try's HTTP request.
func (f *fleet) formatRequest(t *try) string {
	w := t.request
	class := &f.world.Classes[w.class]
	var b strings.Builder
	method, body := "POST", fmt.Sprintf(`{"book":%d}`, w.units)
	if class.Effect == "repeatable" {
		method, body = "GET", ""
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\nCookie: key=%s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Call-Terms: units=%d,spread=%d,first=%d\r\n", method, class.Name, t.id, class.Name,
		f.world.Plans[w.customer.plan].Name, w.customer.key,
		max(1, time.Until(w.deadline).Milliseconds()), w.units, w.customer.spread, w.customer.firstNode)
	if w.tries > 1 {
		b.WriteString("X-Retry: 1\r\n")
	}
	if class.Effect == "by_key" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", w.idempotencyKey)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// countAttempt charges the first attempt of a try to its customer's quota and ceiling, and
// counts the attempts in flight. The fleet's lock is held.
func (f *fleet) countAttempt(t *try) {
	account := t.request.customer.account
	if !t.charged {
		t.charged = true
		withinQuota, excess := account.Charge(float64(t.request.units), f.now())
		f.book.FirstSends++
		window := f.book.Window(f.elapsed())
		if window != nil {
			window.Sent++
		}
		if !withinQuota {
			f.book.Beyond++
			t.request.end.BeyondQuota = true
			if window != nil {
				window.Beyond++
			}
		}
		if excess > f.world.Rules.Tolerance && account.Plan.HardRate > 0 {
			f.book.Broken(tally.Ceiling, t.id, t.nodeIndex, f.elapsed(),
				"customer %s is %.2f units over its ceiling", t.request.customer.key, excess)
		}
	}
	account.AddInFlight(1)
	inFlight := 0
	for _, l := range f.servers {
		l.mu.Lock()
		a, b := l.processor.Load()
		l.mu.Unlock()
		inFlight += a + b
	}
	if window := f.book.Window(f.elapsed()); window != nil {
		window.InFlight = max(window.InFlight, inFlight)
	}
}

// reportStatus passes the status of the second that ended to Config.Step.
func (f *fleet) reportStatus(second int) {
	f.mu.Lock()
	s := Status{Second: second, Requests: len(f.recentEnds)}
	var latencies []float64
	for _, e := range f.recentEnds {
		switch e.How {
		case tally.Served, tally.Late:
			s.Served++
			latencies = append(latencies, e.Latency.Seconds()*1000)
		case tally.Refused:
			s.Refused++
		case tally.Failed:
			s.Failed++
		case tally.Lost:
			s.Lost++
		}
	}
	f.recentEnds = f.recentEnds[:0]
	for _, n := range f.nodes {
		if up, _ := n.isRunning(); up {
			s.Up++
		}
	}
	for _, l := range f.servers {
		if l.state == "SERVING" && !l.crashed && !l.unresponsive {
			s.Serving++
		}
	}
	for _, fault := range f.world.Faults {
		if at := f.elapsed(); at >= fault.Start.D() && at < fault.End() {
			s.Faults = append(s.Faults, fault.Kind)
		}
	}
	f.mu.Unlock()
	if len(latencies) > 0 {
		slices.Sort(latencies)
		s.P50, s.P99 = stat.Quantile(0.5, stat.Empirical, latencies, nil),
			stat.Quantile(0.99, stat.Empirical, latencies, nil)
	}
	if f.Step != nil {
		f.Step(s)
	}
}

// pool holds the front's connections to an edge node. A request is sent once on a pooled
// connection. If the edge node closed that connection before it read the request, the
// request is sent once more on a new connection.
type pool struct {
	addr       string
	mu         sync.Mutex
	idle       []*bufConn
	generation int
}

type bufConn struct {
	net.Conn
	br         *bufio.Reader
	generation int
	reused     bool
}

// notWrittenError is the error of a request that could not be written in full, so that the
// edge node can't have accepted it.
type notWrittenError struct{ err error }

func (e *notWrittenError) Error() string { return e.err.Error() }

var errNoAnswer = errors.New("no answer")

func (p *pool) getConn(forceNew bool) (*bufConn, error) {
	p.mu.Lock()
	generation := p.generation
	if n := len(p.idle); n > 0 && !forceNew {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return nil, &notWrittenError{err}
	}
	return &bufConn{Conn: c, br: bufio.NewReader(c), generation: generation}, nil
}

func (p *pool) putConn(c *bufConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.generation != p.generation {
		c.Close()
		return
	}
	c.reused = true
	p.idle = append(p.idle, c)
}

// closeIdle closes all idle connections after the edge node's process has exited.
// Connections in use are closed when they are returned.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// do sends a request and waits for its response until a deadline.
func (p *pool) do(request string, deadline time.Time) (status int, header http.Header, body string,
	err error) {
	for retry := false; ; retry = true {
		c, err := p.getConn(retry)
		if err != nil {
			return 0, nil, "", err
		}
		status, header, body, closed, err := c.do(request, deadline)
		switch {
		case err == nil && !closed:
			p.putConn(c)
		default:
			c.Close()
		}
		if err != nil && c.reused && !retry && errors.Is(err, io.EOF) {
			continue // the edge node closed the idle connection
		}
		return status, header, body, err
	}
}

func (c *bufConn) do(request string, deadline time.Time) (status int, header http.Header, body string,
	closed bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return 0, nil, "", true, &notWrittenError{err}
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, nil, "", true, &notWrittenError{err}
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return 0, nil, "", true, errNoAnswer
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = io.EOF
		}
		return 0, nil, "", true, fmt.Errorf("its connection ended: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	resp.Body.Close()
	if err != nil {
		return 0, nil, "", true, fmt.Errorf("its answer is not whole: %w", err)
	}
	return resp.StatusCode, resp.Header, string(data), resp.Close, nil
}
