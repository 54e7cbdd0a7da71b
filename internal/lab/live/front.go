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
	key     string
	plan    int
	first   int
	spread  int
	account *tally.Account
}

// want is a client's request over all its tries.
type want struct {
	c     *customer
	class int
	units int
	at    time.Duration // intended time of the first try, since the run began
	until time.Time
	tries int
	sends int
	idem  string
	ran   bool          // an attempt of any try may have run
	ranAt time.Duration // when the first such attempt may have run
	end   tally.End
	story *trace.Story
}

// try is one HTTP request to one edge node, with its own request id.
type try struct {
	id       string
	w        *want
	node     int
	deadline time.Time
	attempts int
	out      map[int]*link // attempts in flight, by number
	ran      bool
	ranAt    time.Duration
	charged  bool
}

func (t *try) mayHaveRun(now time.Duration) {
	if !t.ran {
		t.ran, t.ranAt = true, now
	}
	if !t.w.ran {
		t.w.ran, t.w.ranAt = true, now
	}
}

// populate creates the customers of the world.
func (f *fleet) populate() {
	for _, p := range f.drawn.People {
		f.people = append(f.people, &customer{key: p.Key, plan: p.Plan, first: p.First, spread: p.Spread,
			account: tally.NewAccount(&f.w.Plans[p.Plan], f.now())})
	}
}

// clients starts requests until the load or ctx ends and returns how long that took.
func (f *fleet) clients(ctx context.Context, source load.Source) time.Duration {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	stop := make(chan struct{})
	var steps sync.WaitGroup
	steps.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-second.C:
				f.step(n)
			case <-stop:
				return
			}
		}
	})
	defer steps.Wait()
	defer close(stop)
	for {
		at, more := source.Next()
		if !more || at >= f.w.For.D() {
			break
		}
		if wait := at - f.since(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return f.since()
			}
		}
		if ctx.Err() != nil {
			return f.since()
		}
		f.ask(f.anyone(), at)
	}
	return f.w.For.D()
}

func (f *fleet) anyone() *customer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.people[f.drawn.Anyone(f.rng)]
}

// ask starts a client's request; at is its intended time.
func (f *fleet) ask(c *customer, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	class := f.w.ClassOf(f.rng)
	w := &want{c: c, class: class, units: 1 + f.rng.IntN(max(1, f.w.Load.Units)), at: at, idem: fmt.Sprintf("%016x%016x", f.rng.Uint64(), f.rng.Uint64())}
	cl := &f.w.Classes[class]
	patience := cl.Deadline.D()
	if f.rng.Float64() < f.w.Client.Leave {
		patience = time.Duration((0.3 + 0.6*f.rng.Float64()) * float64(patience))
	}
	w.until = f.begun.Add(at + patience)
	w.end = tally.End{Class: class, Plan: c.plan, Node: -1, Units: float64(w.units), At: at, How: tally.Failed, Inside: c.account.Fits(float64(w.units), f.now())}
	if f.asked++; f.since()-at > lateBy {
		f.late++
	}
	if f.log != nil {
		f.nextNo++
		w.story = f.log.Begin(trace.Story{ID: fmt.Sprintf("w%07d", f.nextNo), Class: cl.Name, Plan: f.w.Plans[c.plan].Name, Key: c.key,
			Worth: f.book.Worth(class, c.plan, float64(w.units))})
	}
	f.note(w, -1, trace.Asked, "%s, %d units, waits %v", cl.Name, w.units, patience)
	f.open.Go(func() { f.pursue(w) })
}

// pursue makes the tries of a request one after another and records its end.
func (f *fleet) pursue(w *want) {
	class := &f.w.Classes[w.class]
	how := tally.Failed
	for {
		var advice time.Duration
		var untaken bool
		how, advice, untaken = f.try(w)
		if how == tally.Served || how == tally.Lost {
			break
		}
		f.mu.Lock()
		wait, again := f.w.Again(f.rng, world.Retry{Class: class, Harmless: how == tally.Refused || untaken, MayRan: w.ran, RanSince: f.now() - w.ranAt,
			Tries: w.tries, Advice: advice, Left: time.Until(w.until), Eager: f.eager})
		f.mu.Unlock()
		if !again {
			break
		}
		time.Sleep(wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.end.Latency = f.since() - w.at
	if how == tally.Served && w.end.Latency > class.Aim.D() {
		how = tally.Late
	}
	w.end.How, w.end.Tries, w.end.Sends = how, w.tries, w.sends
	f.book.Close(w.end)
	f.last = append(f.last, w.end)
	f.note(w, w.end.Node, trace.Ended, "%v after %v and %d tries", how, w.end.Latency, w.tries)
	if w.story != nil {
		w.story.How, w.story.Inside = how.String(), w.end.Inside
		if w.end.Inside && how != tally.Served {
			w.story.Lost = w.story.Worth
			if how == tally.Late {
				w.story.Lost *= 1 - class.Late
			}
		}
	}
}

// lostAfter is how long after its deadline an accepted request may be answered before it
// counts as lost.
const lostAfter = 500 * time.Millisecond

// try sends one request and returns how it ended, the Retry-After that came with a
// refusal, and whether no edge node accepted it.
func (f *fleet) try(w *want) (how tally.How, advice time.Duration, untaken bool) {
	f.mu.Lock()
	var up []*node
	for i := range w.c.spread {
		n := f.nodes[(w.c.first+i)%len(f.nodes)]
		n.mu.Lock()
		if !n.shunned {
			up = append(up, n)
		}
		n.mu.Unlock()
	}
	if w.tries++; len(up) == 0 {
		f.mu.Unlock()
		return tally.Failed, 0, true
	}
	n := up[f.rng.IntN(len(up))]
	f.nextID++
	t := &try{id: fmt.Sprintf("%016x", f.Seed<<40^f.nextID*0x9e3779b97f4a7c15), w: w, node: n.no, deadline: w.until, out: map[int]*link{}}
	f.tries[t.id], f.sent[t.id] = t, true
	w.end.Node = n.no
	f.note(w, n.no, trace.Came, "as %s, try %d", t.id, w.tries)
	f.mu.Unlock()
	_, inc := n.isUp()
	began := time.Now()
	status, head, body, err := n.pool.do(f.request(t), w.until.Add(lostAfter))
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.tries, t.id)
	took := time.Since(began)
	w.end.HeldBack = t.attempts == 0 && took > time.Until(w.until)+took/2
	end := func(h tally.How, what string) tally.How {
		f.note(w, n.no, trace.Answered, "%s after %v", what, took)
		return h
	}
	if err != nil {
		up, now := n.isUp()
		var refused *notWritten
		switch {
		case errors.As(err, &refused):
			return end(tally.Failed, "could not be sent"), 0, true
		case !up || now != inc:
			f.note(w, n.no, trace.Crashed, "")
			return tally.Failed, 0, false
		}
		f.book.Broken(tally.AnswerLost, t.id, n.no, f.since(), "%s: %v after %v", f.w.Classes[w.class].Name, err, took)
		return end(tally.Lost, err.Error()), 0, false
	}
	if over := time.Until(w.until); over < -f.w.Rules.Slack.D()-socketSlack {
		f.note(w, n.no, trace.GaveUp, "the answer came %v late", -over)
		return tally.Failed, 0, false
	}
	switch {
	case status == http.StatusOK && body == made(t.id):
		return end(tally.Served, "served"), 0, false
	case status == http.StatusOK:
		f.book.Broken(tally.AnswerLost, t.id, n.no, f.since(), "served with what no lending server made for it")
		return end(tally.Lost, "served wrong"), 0, false
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		if v, err := strconv.ParseFloat(head.Get("Retry-After"), 64); err == nil {
			advice = time.Duration(v * float64(time.Second))
		}
		if class := &f.w.Classes[w.class]; t.ran && !class.MayRepeat() {
			f.book.Broken(tally.SecondCopy, t.id, n.no, f.since(), "refused, but an attempt may have run")
		}
		return end(tally.Refused, "refused"), advice, false
	}
	return end(tally.Failed, fmt.Sprintf("failed with %d", status)), 0, false
}

// request returns the HTTP request of a try.
func (f *fleet) request(t *try) string {
	w := t.w
	class := &f.w.Classes[w.class]
	var b strings.Builder
	method, body := "POST", fmt.Sprintf(`{"book":%d}`, w.units)
	if class.Effect == "repeatable" {
		method, body = "GET", ""
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\nCookie: key=%s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Call-Terms: units=%d,spread=%d,first=%d\r\n", method, class.Name, t.id, class.Name, f.w.Plans[w.c.plan].Name, w.c.key,
		max(1, time.Until(w.until).Milliseconds()), w.units, w.c.spread, w.c.first)
	if w.tries > 1 {
		b.WriteString("X-Retry: 1\r\n")
	}
	if class.Effect == "by_key" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", w.idem)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// charge books the first attempt of a try against its customer's quota and ceiling, and
// counts the attempts in flight. The fleet's lock is held.
func (f *fleet) charge(t *try) {
	acc := t.w.c.account
	if !t.charged {
		t.charged = true
		inside, over := acc.Send(float64(t.w.units), f.now())
		f.book.FirstSends++
		win := f.book.Window(f.since())
		if win != nil {
			win.Sent++
		}
		if !inside {
			f.book.Beyond++
			t.w.end.Beyond = true
			if win != nil {
				win.Beyond++
			}
		}
		if over > f.w.Rules.Tolerance && acc.Plan.HardRate > 0 {
			f.book.Broken(tally.Ceiling, t.id, t.node, f.since(), "customer %s is %.2f units over its ceiling", t.w.c.key, over)
		}
	}
	acc.Out(1)
	out := 0
	for _, l := range f.lend {
		l.mu.Lock()
		a, b := l.desk.Load()
		l.mu.Unlock()
		out += a + b
	}
	if win := f.book.Window(f.since()); win != nil {
		win.Out = max(win.Out, out)
	}
}

// step passes the status of the second that ended to Config.Step.
func (f *fleet) step(second int) {
	f.mu.Lock()
	s := Status{Second: second, Requests: len(f.last)}
	var ms []float64
	for _, e := range f.last {
		switch e.How {
		case tally.Served, tally.Late:
			s.Served++
			ms = append(ms, e.Latency.Seconds()*1000)
		case tally.Refused:
			s.Refused++
		case tally.Failed:
			s.Failed++
		case tally.Lost:
			s.Lost++
		}
	}
	f.last = f.last[:0]
	for _, n := range f.nodes {
		if up, _ := n.isUp(); up {
			s.Up++
		}
	}
	for _, l := range f.lend {
		if l.state == "SERVING" && !l.dead && !l.silent {
			s.Serving++
		}
	}
	for _, x := range f.w.Faults {
		if at := f.since(); at >= x.Start.D() && at < x.End() {
			s.Faults = append(s.Faults, x.Kind)
		}
	}
	f.mu.Unlock()
	if len(ms) > 0 {
		slices.Sort(ms)
		s.P50, s.P99 = stat.Quantile(0.5, stat.Empirical, ms, nil), stat.Quantile(0.99, stat.Empirical, ms, nil)
	}
	if f.Step != nil {
		f.Step(s)
	}
}

// pool holds the front's connections to an edge node. A request is sent once on a pooled
// connection. If the edge node closed that connection before it read the request, the
// request is sent once more on a new connection.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*bufConn
	gen  int
}

type bufConn struct {
	net.Conn
	br   *bufio.Reader
	gen  int
	used bool
}

// notWritten is the error of a request that could not be written in full, so that the
// edge node can't have accepted it.
type notWritten struct{ err error }

func (e *notWritten) Error() string { return e.err.Error() }

var errNoAnswer = errors.New("no answer")

func (p *pool) take(fresh bool) (*bufConn, error) {
	p.mu.Lock()
	gen := p.gen
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return nil, &notWritten{err}
	}
	return &bufConn{Conn: c, br: bufio.NewReader(c), gen: gen}, nil
}

func (p *pool) keep(c *bufConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.gen != p.gen {
		c.Close()
		return
	}
	c.used = true
	p.idle = append(p.idle, c)
}

// drop closes all idle connections after the edge node's process has ended. Connections
// in use are closed when they are returned.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gen++
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// do sends a request and waits for its response until a deadline.
func (p *pool) do(request string, until time.Time) (status int, head http.Header, body string, err error) {
	for again := false; ; again = true {
		c, err := p.take(again)
		if err != nil {
			return 0, nil, "", err
		}
		status, head, body, closed, err := c.do(request, until)
		switch {
		case err == nil && !closed:
			p.keep(c)
		default:
			c.Close()
		}
		if err != nil && c.used && !again && errors.Is(err, io.EOF) {
			continue // the edge node closed the idle connection
		}
		return status, head, body, err
	}
}

func (c *bufConn) do(request string, until time.Time) (status int, head http.Header, body string, closed bool, err error) {
	if err := c.SetDeadline(until); err != nil {
		return 0, nil, "", true, &notWritten{err}
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, nil, "", true, &notWritten{err}
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
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
