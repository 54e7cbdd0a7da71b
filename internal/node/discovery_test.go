package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/policy"
)

// pipeListener is a listener that also dials: each dial yields an in-memory connection.
type pipeListener struct {
	dialed chan net.Conn
	closed chan struct{} // closed by Close
}

func newPipeListener() pipeListener { return pipeListener{make(chan net.Conn), make(chan struct{})} }

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.dialed:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error   { close(p.closed); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, agent := net.Pipe()
	select {
	case p.dialed <- agent:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeAgent is a discovery agent in a synctest bubble. Calls that it receives while it is silent are never
// answered, even if the agent recovers.
type fakeAgent struct {
	mu            sync.Mutex
	rev           int64
	silent        bool
	watchesToDrop int           // number of the next watches that are never answered
	changed       chan struct{} // closed and replaced at each change
}

func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hang := func() { <-r.Context().Done() }
	q := r.URL.Query()
	ms, _ := strconv.Atoi(q.Get("timeout_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	a.mu.Lock()
	if a.silent {
		a.mu.Unlock()
		hang()
		return
	}
	if ms > 0 && a.watchesToDrop > 0 {
		a.watchesToDrop--
		a.mu.Unlock()
		hang()
		return
	}
	for timedOut := false; q.Get("since") == strconv.FormatInt(a.rev, 10) && !timedOut; {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		if a.mu.Lock(); a.silent {
			a.mu.Unlock()
			hang()
			return
		}
	}
	l := serverList{Rev: a.rev, All: true, Targets: []target{servingTarget("s-00000001", "10.0.0.1:1")}}
	a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

// A change counts as announced once the agent has it, whether or not the edge node receives it. The test
// determines how late the edge node can receive a change, for outages and lost watches that begin at
// different times, and for short and long grace periods, in simulated time.
func TestChangesArriveWithinGrace(t *testing.T) {
	const margin = drainGraceMargin // time for the network, the loop and the last write
	type scenario struct {
		name string
		// run returns when its last change counts as announced, as a delay from its return.
		run func(a *fakeAgent, offset time.Duration) (announcedAfter time.Duration)
	}
	scenarios := []scenario{
		{"an outage", func(a *fakeAgent, offset time.Duration) time.Duration {
			time.Sleep(offset)
			a.set(func() { a.silent = true })
			time.Sleep(offset/2 + time.Millisecond)
			a.set(func() { a.silent, a.rev = false, 2 })
			return 0
		}},
		{"a lost watch", func(a *fakeAgent, offset time.Duration) time.Duration {
			time.Sleep(offset)
			a.set(func() { a.watchesToDrop, a.rev = 1, 2 })
			time.Sleep(time.Millisecond)
			a.set(func() { a.rev = 3 }) // the watch that was just opened misses this change
			return 6 * time.Second
		}},
		{"two lost watches", func(a *fakeAgent, offset time.Duration) time.Duration {
			time.Sleep(offset)
			a.set(func() { a.watchesToDrop, a.rev = 2, 2 })
			time.Sleep(time.Millisecond)
			a.set(func() { a.rev = 3 })
			return 6 * time.Second
		}},
	}
	for _, polls := range []bool{false, true} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond,
			2 * time.Second} {
			for _, d := range scenarios {
				if polls && d.name == "an outage" {
					continue // concerns only an agent that pushes
				}
				for offset := time.Duration(0); offset < 5*time.Second; offset += 83 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						delay := deliveryDelay(t, polls, grace, offset, d.run)
						if delay > grace-margin {
							t.Errorf("polls %v, grace %v, %s at %v: received %v after the announcement",
								polls, grace, d.name, offset, delay)
						}
					})
				}
			}
		}
	}
}

// deliveryDelay runs a scenario and returns how long after its announcement the last change was received.
func deliveryDelay(t *testing.T, polls bool, grace, offset time.Duration,
	run func(*fakeAgent, time.Duration) time.Duration) time.Duration {
	f := &config.File{Discovery: "agent", DrainGrace: grace, Settings: policy.Settings{MustWatch: polls}}
	network, a := newPipeListener(), &fakeAgent{rev: 1, changed: make(chan struct{})}
	srv := &http.Server{Handler: a}
	go func() { _ = srv.Serve(network) }()
	type delivery struct {
		rev int64
		at  time.Time
	}
	delivered := make(chan delivery, 1000)
	d := newDiscovery(f, func(l *serverList, _ policy.UpdateKind) {
		if l != nil {
			delivered <- delivery{l.Rev, time.Now()}
		}
	})
	d.client.Transport.(*http.Transport).DialContext = network.DialContext
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { d.run(ctx); close(done) }()
	announcedAfter := run(a, offset)
	a.mu.Lock()
	last := a.rev
	a.mu.Unlock()
	announcedAt := time.Now().Add(announcedAfter)
	received := delivery{}
	for limit := time.After(time.Minute); received.rev != last; {
		select {
		case received = <-delivered:
		case <-limit:
			t.Fatalf("revision %d never received", last)
		}
	}
	cancel()
	<-done
	_ = srv.Close()
	return received.at.Sub(announcedAt)
}

// The failures of a silent agent are reported even while parallel calls are made. Where the list is polled,
// only one call is in flight at a time.
func TestReportsSilentAgent(t *testing.T) {
	for _, polls := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			network := newPipeListener()
			var inFlight, maxInFlight atomic.Int32
			srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if n := inFlight.Add(1); n > maxInFlight.Load() {
					maxInFlight.Store(n)
				}
				<-r.Context().Done()
				inFlight.Add(-1)
			})}
			go func() { _ = srv.Serve(network) }()
			reports := make(chan time.Time, 1000)
			began := time.Now()
			f := &config.File{Discovery: "agent", DrainGrace: 2 * time.Second,
				Settings: policy.Settings{MustWatch: polls}}
			d := newDiscovery(f, func(*serverList, policy.UpdateKind) { reports <- time.Now() })
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for range 3 {
				<-reports
			}
			if elapsed := time.Since(began); elapsed < 3*time.Second || elapsed > 8*time.Second {
				t.Errorf("polls %v: the third failure reported after %v", polls, elapsed)
			}
			if n := maxInFlight.Load(); polls && n != 1 || !polls && (n < 2 || n > maxDiscoveryCalls) {
				t.Errorf("polls %v: %d calls in parallel", polls, n)
			}
			cancel()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}

// The list of an agent that responds later than expected is still received.
func TestSlowAgent(t *testing.T) {
	for _, slow := range []time.Duration{600 * time.Millisecond, 700 * time.Millisecond,
		1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			network := newPipeListener()
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(slow)
				_ = json.NewEncoder(w).Encode(serverList{Rev: 9, All: true})
			})}
			go func() { _ = srv.Serve(network) }()
			delivered := make(chan time.Time, 100)
			began := time.Now()
			d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: 2 * time.Second},
				func(l *serverList, _ policy.UpdateKind) {
					if l != nil {
						delivered <- time.Now()
					}
				})
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for i := range 3 { // also after watches have failed
				if at := <-delivered; i == 0 && at.Sub(began) > slow+time.Millisecond {
					t.Errorf("an agent that takes %v: received after %v", slow, at.Sub(began))
				}
			}
			cancel()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}

// A lower version belongs to another list: the next call must fetch the whole list instead of changes.
func TestLowerVersionRefetchesList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, requested := newPipeListener(), make(chan string, 100)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requested <- r.URL.Query().Get("since")
			l := serverList{Rev: 9, All: true}
			if r.URL.Query().Get("since") != "" {
				time.Sleep(100 * time.Millisecond)
				l = serverList{Rev: 3, Targets: []target{servingTarget("s-00000001", "10.0.0.1:1")}}
			}
			_ = json.NewEncoder(w).Encode(l)
		})}
		go func() { _ = srv.Serve(network) }()
		d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: time.Second},
			func(*serverList, policy.UpdateKind) {})
		d.client.Transport.(*http.Transport).DialContext = network.DialContext
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { d.run(ctx); close(done) }()
		for i, want := range []string{"", "9", "", "9"} {
			if got := <-requested; got != want {
				t.Errorf("call %d: since %q, want %q", i, got, want)
			}
		}
		cancel()
		<-done
		_ = srv.Close()
		time.Sleep(time.Second) // for the handler that is still sleeping
	})
}

// warningLog counts the warnings in the log and stores the last one.
type warningLog struct {
	slog.Handler
	mu    sync.Mutex
	count int
	last  string
}

func (l *warningLog) Enabled(context.Context, slog.Level) bool { return true }

func (l *warningLog) Handle(_ context.Context, r slog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Level >= slog.LevelWarn {
		l.count++
		l.last = r.Message
		r.Attrs(func(a slog.Attr) bool { l.last += " " + a.String(); return true })
	}
	return nil
}

// Lists that can't be parsed change nothing, however often they arrive: the last list stays in force, and
// one log line says what is wrong and where.
func TestInvalidListsChangeNothing(t *testing.T) {
	line := func(i int) string {
		return fmt.Sprintf(`{"uid":"s-%08x","endpoint":"10.0.0.1:1","state":"SERVING"}`, i)
	}
	endless := func(text string) func(io.Writer) {
		return func(w io.Writer) {
			_, err := io.WriteString(w, `{"rev":10,"all":true,"targets":[`+line(1))
			for err == nil {
				_, err = io.WriteString(w, text)
			}
		}
	}
	text := func(s string) func(io.Writer) { return func(w io.Writer) { _, _ = io.WriteString(w, s) } }
	for place, write := range map[string]func(io.Writer){
		"targets: line 1":    text(`{"rev":10,"all":true,"targets":[` + line(1) + `,{"uid":"s-0000`),
		"line 0: over 1024 ": text(`{"rev":10,"all":true,"targets":[` + strings.Repeat(" ", 2000)),
		"targets[1]":         text(`{"rev":10,"all":true,"targets":[` + line(1) + `,` + line(1) + `]}`),
		"none of 2 lines":    text(`{"rev":10,"all":true,"targets":[{},{}]}`),
		"rev: ":              text(`{"rev":"ten","all":true,"targets":[]}`),
		"list is too long":   endless(`,{"uid":"` + strings.Repeat("x", 64000) + `"}`),
		fmt.Sprintf("over %d lines", memory.NewPlan(16).MaxServerLines()): endless("," + line(1)),
	} {
		synctest.Test(t, func(t *testing.T) {
			log := &warningLog{Handler: slog.DiscardHandler}
			before := slog.Default()
			slog.SetDefault(slog.New(log))
			defer slog.SetDefault(before)
			network := newPipeListener()
			var watches atomic.Int32
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch since := r.URL.Query().Get("since"); {
				case since == "":
					text(`{"rev":9,"all":true,"targets":[` + line(1) + `]}`)(w)
				case watches.Add(1) <= 3:
					write(w)
				default:
					time.Sleep(100 * time.Millisecond)
					text(`{"rev":11,"all":false,"targets":[` + line(2) + `]}`)(w)
				}
			})}
			go func() { _ = srv.Serve(network) }()
			type event struct {
				rev  int64
				kind policy.UpdateKind
			}
			delivered := make(chan event, 100)
			d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: 2 * time.Second, MemoryMB: 16},
				func(l *serverList, kind policy.UpdateKind) {
					if l == nil {
						l = &serverList{}
					}
					delivered <- event{l.Rev, kind}
				})
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for i, want := range []event{{9, policy.FullList}, {0, policy.WatchFailed},
				{0, policy.WatchFailed}, {0, policy.WatchFailed}, {11, policy.Changes}} {
				if got := <-delivered; got != want {
					t.Errorf("%s: event %d: %+v, want %+v", place, i, got, want)
				}
			}
			if log.count != 1 || !strings.Contains(log.last, place) || len(log.last) > 500 {
				t.Errorf("%d warnings, the last %q, want one that names %q", log.count, log.last, place)
			}
			cancel()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}
