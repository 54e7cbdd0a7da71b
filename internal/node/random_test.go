package node

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

var (
	crossings     = flag.Int("crossings", 2, "random schedules to play")
	crossingsSeed = flag.Uint64("crossings-seed", 1, "seed of the first")
)

const (
	leftAfter = 300 * time.Millisecond // a client that has gone is not served so much later
	testGrace = 400 * time.Millisecond
	window    = 400 * time.Millisecond
)

const crossingSettings = `{"me":0,"balancers":1,"zone":"a","zones":["a"],"tick_ms":1,"discovery":"push",
 "caps":{"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_ms":500.0,"dial_timeout_ms":1500.0,"conn_idle_ms":%d},
 "family_info":{"largest":6,"mail_per_s":60},"rules":{"drain_grace_ms":400},
 "classes":[{"name":"lookup","aim_ms":400.0,"hard_limit_ms":2000.0,"semantics":"repeatable","group":"all"},
  {"name":"loan","aim_ms":800,"hard_limit_ms":2000,"semantics":"by_key","group":"all","window_ms":400},
  {"name":"renew","aim_ms":800,"hard_limit_ms":2000,"semantics":"once","group":"all"}],
 "plans":[{"name":"town"}]}`

// book is what the outside saw of one play. Times are the sides' own.
type book struct {
	mu       sync.Mutex
	requests map[string]*seen
	drains   map[string][]span
	lag      time.Duration // how late the machine runs: what it does to times is no fault of the edge node
}

type span struct{ from, to time.Time }

type seen struct {
	class   string
	sent    time.Time // its last byte
	left    time.Time // the client's close
	answers int
	wrong   bool // 200 with another's body
	closed  bool // without an answer, on a connection that had carried a request
	lost    bool // the same on a new connection
	copies  []arrival
}

type arrival struct {
	server string
	at     time.Time
	may    bool // it may have run: not turned away
}

func newBook() *book { return &book{requests: map[string]*seen{}, drains: map[string][]span{}} }

// broken tells all that a play must not show.
func (b *book) broken() (list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.requests {
		say := func(format string, args ...any) {
			list = append(list, id+" "+s.class+": "+fmt.Sprintf(format, args...))
		}
		ran := []arrival{}
		for i, c := range s.copies {
			if i == 0 && !s.left.IsZero() && c.at.Sub(s.left) > leftAfter+b.lag {
				say("sent on %v after its client left", c.at.Sub(s.left))
			}
			for _, d := range b.drains[c.server] {
				if c.at.Sub(d.from) > testGrace+b.lag && (d.to.IsZero() || c.at.Before(d.to)) {
					say("sent %v after its server was told to drain", c.at.Sub(d.from))
				}
			}
			if len(ran) > 0 && s.class == "renew" {
				say("an unsafe request sent on again")
			}
			if len(ran) > 0 && s.class == "loan" && c.at.Sub(ran[0].at) > window+b.lag {
				say("a repeat %v after the first", c.at.Sub(ran[0].at))
			}
			if c.may {
				ran = append(ran, c)
			}
		}
		switch {
		case len(s.copies) > 3:
			say("%d attempts", len(s.copies))
		case s.answers > 1:
			say("%d answers", s.answers)
		case s.wrong:
			say("another's answer")
		case s.lost:
			say("closed with no answer")
		case s.closed && len(s.copies) > 0:
			say("worked on though its connection was closed")
		}
	}
	return list
}

// Each rule of the book is shown to be heeded by a play that breaks it alone.
func TestBookCatches(t *testing.T) {
	at := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return at.Add(d) }
	for want, s := range map[string]seen{
		"after its client left":     {class: "lookup", left: at, copies: []arrival{{server: "s", at: after(301 * time.Millisecond)}}},
		"told to drain":             {class: "lookup", copies: []arrival{{server: "drains", at: after(401 * time.Millisecond)}}},
		"unsafe request":            {class: "renew", copies: []arrival{{server: "s", at: at, may: true}, {server: "s", at: after(time.Millisecond)}}},
		"a repeat":                  {class: "loan", copies: []arrival{{server: "s", at: at, may: true}, {server: "s", at: after(401 * time.Millisecond)}}},
		"4 attempts":                {class: "lookup", copies: make([]arrival, 4)},
		"2 answers":                 {class: "lookup", answers: 2},
		"another's answer":          {class: "lookup", answers: 1, wrong: true},
		"closed with no answer":     {class: "lookup", lost: true},
		"its connection was closed": {class: "lookup", closed: true, copies: make([]arrival, 1)},
	} {
		b := newBook()
		b.drains["drains"] = []span{{from: at}}
		b.requests["r"] = &s
		if got := b.broken(); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("%q: %v", want, got)
		}
	}
	b := newBook()
	b.drains["s"] = []span{{at, after(time.Second)}}
	b.requests["r"] = &seen{class: "renew", left: at, answers: 1, copies: []arrival{{server: "s", at: after(testGrace)}, {server: "s", at: after(2 * time.Second)}}}
	b.requests["r"].left = time.Time{}
	if got := b.broken(); len(got) != 0 {
		t.Errorf("nothing is broken: %v", got)
	}
}

// The whole edge node, through random schedules of clients that leave, send ahead, stop
// half way or rest; servers that answer, break off, stall, reset, turn away, drain, restart;
// dials that come up late; discovery that fails; reloads; and a stop.
func TestRandomCrossings(t *testing.T) {
	for i := range *crossings {
		seed := *crossingsSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playCrossings(t, seed) })
	}
}

func playCrossings(t *testing.T, seed uint64) {
	b := newBook()
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
	some := func(most time.Duration) time.Duration { return time.Duration(draw(int(most))) }

	// How late the machine runs.
	quit := make(chan struct{})
	var aside sync.WaitGroup
	defer func() { close(quit); aside.Wait() }()
	aside.Go(func() {
		const step = 5 * time.Millisecond
		for {
			from := time.Now()
			select {
			case <-quit:
				return
			case <-time.After(step):
			}
			b.mu.Lock()
			b.lag = max(b.lag, 4*(time.Since(from)-step))
			b.mu.Unlock()
		}
	})

	list := []target{}
	for i := range 4 {
		uid := fmt.Sprintf("s-%08x", i+1)
		a := newApp(t, func(c net.Conn, r *http.Request, _ string) bool { return b.serve(uid, c, r, draw, some) })
		list = append(list, serving(uid, a.addr()))
	}
	g := newRegistry(t, list...)
	cfg := fileConfig(t, g.addr, "", fmt.Sprintf(crossingSettings, 15000))
	fds, routines := openFiles(t), runtime.NumGoroutine()
	n := start(t, cfg)
	n.upstream.mu.Lock()
	n.upstream.dialer.Control = func(string, string, syscall.RawConn) error {
		if draw(2) == 0 {
			time.Sleep(some(time.Second))
		}
		return nil
	}
	n.upstream.mu.Unlock()

	var clients, events sync.WaitGroup
	for k := range 8 {
		clients.Go(func() { b.client(t, n, fmt.Sprint(seed, "-", k), draw, some) })
	}
	ctx, stop := context.WithCancel(t.Context())
	defer events.Wait()
	defer stop()
	events.Go(func() {
		for turn := 0; ; turn++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(50*time.Millisecond + some(200*time.Millisecond)):
			}
			i := draw(len(list))
			switch draw(8) {
			case 0, 1, 2:
				b.drain(list[i].UID, func() { list[i].State = "DRAINING"; g.set(false, slices.Clone(list)...) })
			case 3, 4, 5:
				b.back(list[i].UID, func() { list[i].State = "SERVING"; g.set(false, slices.Clone(list)...) })
			case 6:
				b.back(list[i].UID, func() { list[i].State = "SERVING"; list[i].BootMS++; g.set(false, slices.Clone(list)...) })
			case 7:
				writeConfig(t, cfg.Path(), g.addr, "", fmt.Sprintf(crossingSettings, 10000+turn))
				select {
				case n.hup <- syscall.SIGHUP:
				default:
				}
			}
		}
	})
	time.Sleep(1500 * time.Millisecond)
	n.stop()
	if draw(2) == 0 {
		time.Sleep(some(700 * time.Millisecond))
		n.stop()
	}
	select {
	case err := <-n.done:
		if err != nil {
			t.Errorf("the stop: %v", err)
		}
	case <-time.After(3 * patience):
		t.Fatal("never stopped")
	}
	clients.Wait()
	stop()
	events.Wait()
	<-n.loop.done
	if len(n.loop.calls)+len(n.loop.byRequestID) != 0 {
		t.Errorf("%d requests left open", len(n.loop.calls))
	}
	n.upstream.update(&serverList{}, true) // which closes what is idle
	if n.upstream.open != 0 {
		t.Errorf("%d connections to servers counted as open, and there are none", n.upstream.open)
	}
	http.DefaultClient.CloseIdleConnections()
	testkit.Eventually(t, "no goroutine and no descriptor left", func() bool {
		return runtime.NumGoroutine() <= routines+1 && openFiles(t) <= fds // one measures the lag
	})
	for _, s := range b.broken() {
		t.Error(s)
	}
	served, left := 0, 0
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.requests {
		if s.answers > 0 {
			served++
		}
		if !s.left.IsZero() {
			left++
		}
	}
	t.Logf("seed %d: %d requests, %d answered, %d clients left, lag %v, %+v", seed, len(b.requests), served, left, b.lag, n.Status().Disconnects)
	if served < 20 || left < 5 {
		t.Error("a play that shows nothing")
	}
}

func openFiles(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// drain has the agent tell of it, and counts it as told from then on.
func (b *book) drain(uid string, tell func()) {
	tell()
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.drains[uid]; len(d) == 0 || !d[len(d)-1].to.IsZero() {
		b.drains[uid] = append(d, span{from: time.Now()})
	}
}

func (b *book) back(uid string, tell func()) {
	b.mu.Lock()
	if d := b.drains[uid]; len(d) > 0 && d[len(d)-1].to.IsZero() {
		d[len(d)-1].to = time.Now()
	}
	b.mu.Unlock()
	tell()
}

// serve is what an app server does with a request.
func (b *book) serve(uid string, c net.Conn, r *http.Request, draw func(int) int, some func(time.Duration) time.Duration) bool {
	id, what := r.Header.Get("X-Request-Id"), draw(20)
	b.mu.Lock()
	s := b.requests[id]
	s.copies = append(s.copies, arrival{server: uid, at: time.Now(), may: what != 0})
	b.mu.Unlock()
	write := func(head, body string) { fmt.Fprintf(c, "HTTP/1.1 %s\r\n\r\n%s", head, body) }
	whole := fmt.Sprintf("200 OK\r\nContent-Length: %d", len(id))
	reset := func() bool { _ = c.(*net.TCPConn).SetLinger(0); return false }
	switch what {
	case 0:
		write("503 No\r\nX-Not-Run: 1\r\nContent-Length: 0", "")
	case 1:
		write("500 No\r\nContent-Length: 0", "")
	case 2:
		return reset()
	case 3:
		write(whole, id[:3])
		return reset()
	case 4:
		write(whole, id[:3]) // and nothing more
		time.Sleep(some(600 * time.Millisecond))
	case 5:
		write("200 OK\r\nConnection: close", id)
		return false
	case 6:
		write("200 OK\r\nConnection: close", id[:3])
		return reset()
	case 7:
		write(whole, id)
		write(whole, "copy")
	case 8:
		write(whole, id)
		return false // closes what the edge node holds to be idle
	case 9:
		time.Sleep(some(time.Second))
		write(whole, id)
	case 10:
		write("HTTP/1.1 2", "") // spoilt
	default:
		time.Sleep(some(100 * time.Millisecond))
		write(whole, id)
	}
	return true
}

// client sends requests, one after another, until nobody accepts it any more.
func (b *book) client(t *testing.T, n *running, name string, draw func(int) int, some func(time.Duration) time.Duration) {
	var c net.Conn
	var br *bufio.Reader
	fresh := false
	over := func() {
		if c != nil {
			c.Close()
		}
		c = nil
	}
	defer over()
	for i := 0; ; i++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", n.Addr().String()); err != nil {
				return // the listener is closed
			}
			br, fresh = bufio.NewReader(c), true
			_ = c.SetDeadline(time.Now().Add(2 * patience))
		}
		class := []string{"lookup", "lookup", "loan", "renew"}[draw(4)]
		r := request(n.url, class, 2*time.Second)
		if class == "renew" {
			r = request(n.url, "loan", 2*time.Second)
			r.URL.Path = "/renew"
			r.Header.Set("X-Class", "renew")
			r.Header.Del("Idempotency-Key")
		}
		s := &seen{class: class}
		id := fmt.Sprint(name, "-", i)
		r.Header.Set("X-Request-Id", id)
		b.mu.Lock()
		b.requests[id] = s
		b.mu.Unlock()
		leave := func() {
			if draw(3) == 0 { // more first, which hides the end
				_, _ = io.WriteString(c, strings.Repeat("GET /lookup HTTP/1.1\r\n", 1+draw(20)))
			}
			over()
			b.mu.Lock()
			s.left = time.Now()
			b.mu.Unlock()
		}
		if draw(12) == 0 {
			_, _ = io.WriteString(c, "POST /loan HTTP/1.1\r\nHost: a\r\nConte") // and goes
			leave()
			continue
		}
		err := r.Write(c)
		b.mu.Lock()
		s.sent = time.Now()
		b.mu.Unlock()
		if err == nil && draw(4) == 0 {
			time.Sleep(some(150 * time.Millisecond))
			leave()
			continue
		}
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(br, r)
		}
		if err != nil {
			b.mu.Lock()
			s.closed, s.lost = true, fresh && !n.server.draining.Load()
			b.mu.Unlock()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: no answer", id)
			}
			over()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		b.mu.Lock()
		s.answers++
		s.wrong = resp.StatusCode == 200 && (err != nil || string(body) != id)
		b.mu.Unlock()
		if fresh = false; resp.Close {
			if extra, _ := io.ReadAll(br); len(extra) > 0 {
				b.mu.Lock()
				s.answers++
				b.mu.Unlock()
			}
			over()
		} else if draw(5) == 0 {
			time.Sleep(some(400 * time.Millisecond)) // it rests, until the edge node may end it
		}
	}
}
