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
	"valvering.example/valvering/policy"
)

// pipes is a network of one listener.
type pipes struct {
	next chan net.Conn
	over chan struct{} // closed with the listener
}

func newPipes() pipes { return pipes{make(chan net.Conn), make(chan struct{})} }

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.next:
		return c, nil
	case <-p.over:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error   { close(p.over); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, agent := net.Pipe()
	select {
	case p.next <- agent:
		return client, nil
	case <-p.over:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// agent is discovery in a synctest bubble. Calls that it swallows are never answered,
// also not once it is back.
type agent struct {
	mu     sync.Mutex
	rev    int64
	silent bool
	muted  int           // so many watches that are opened from now on fall silent
	turn   chan struct{} // closed at a change of any kind
}

func (a *agent) set(do func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	do()
	close(a.turn)
	a.turn = make(chan struct{})
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	never := func() { <-r.Context().Done() }
	q := r.URL.Query()
	ms, _ := strconv.Atoi(q.Get("timeout_ms"))
	until := time.After(time.Duration(ms) * time.Millisecond)
	a.mu.Lock()
	if a.silent {
		a.mu.Unlock()
		never()
		return
	}
	if ms > 0 && a.muted > 0 {
		a.muted--
		a.mu.Unlock()
		never()
		return
	}
	for late := false; q.Get("since") == strconv.FormatInt(a.rev, 10) && !late; {
		turn := a.turn
		a.mu.Unlock()
		select {
		case <-turn:
		case <-until:
			late = true
		case <-r.Context().Done():
			return
		}
		if a.mu.Lock(); a.silent {
			a.mu.Unlock()
			never()
			return
		}
	}
	l := serverList{Rev: a.rev, All: true, Targets: []target{serving("s-00000001", "10.0.0.1:1")}}
	a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

// What the agent has counts as told, whether or not it was heard: work out how late a
// change can be heard, whatever moment an outage, a silent watch or two in a row begin at,
// and with graces long and short. All is in simulated time.
func TestChangesAreHeardWithinTheGrace(t *testing.T) {
	const way = drainGraceMargin // what sending, the loop and the last write may take
	type day struct {
		name string
		play func(a *agent, from time.Duration) (toldBy time.Duration) // since the play's begin
	}
	days := []day{
		{"an outage", func(a *agent, from time.Duration) time.Duration {
			time.Sleep(from)
			a.set(func() { a.silent = true })
			time.Sleep(from/2 + time.Millisecond)
			a.set(func() { a.silent, a.rev = false, 2 })
			return 0
		}},
		{"a silent watch", func(a *agent, from time.Duration) time.Duration {
			time.Sleep(from)
			a.set(func() { a.muted, a.rev = 1, 2 })
			time.Sleep(time.Millisecond)
			a.set(func() { a.rev = 3 }) // missed by the watch that was just opened
			return 6 * time.Second
		}},
		{"two silent watches", func(a *agent, from time.Duration) time.Duration {
			time.Sleep(from)
			a.set(func() { a.muted, a.rev = 2, 2 })
			time.Sleep(time.Millisecond)
			a.set(func() { a.rev = 3 })
			return 6 * time.Second
		}},
	}
	for _, ask := range []bool{false, true} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			for _, d := range days {
				if ask && d.name == "an outage" {
					continue // of the agent that pushes
				}
				for from := time.Duration(0); from < 5*time.Second; from += 83 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						late := hearsAfter(t, ask, grace, from, d.play)
						if late > grace-way {
							t.Errorf("asked for %v, grace %v, %s from %v: heard %v after it was told", ask, grace, d.name, from, late)
						}
					})
				}
			}
		}
	}
}

// hearsAfter plays and returns how long after it counted as told the last change was heard.
func hearsAfter(t *testing.T, ask bool, grace, from time.Duration, play func(*agent, time.Duration) time.Duration) time.Duration {
	f := &config.File{Discovery: "agent", DrainGrace: grace, Settings: policy.Settings{MustWatch: ask}}
	network, a := newPipes(), &agent{rev: 1, turn: make(chan struct{})}
	srv := &http.Server{Handler: a}
	go func() { _ = srv.Serve(network) }()
	type word struct {
		rev int64
		at  time.Time
	}
	heard := make(chan word, 1000)
	d := newDiscovery(f, func(l *serverList, _ policy.UpdateKind) {
		if l != nil {
			heard <- word{l.Rev, time.Now()}
		}
	})
	d.client.Transport.(*http.Transport).DialContext = network.DialContext
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { d.run(ctx); close(done) }()
	told := play(a, from)
	a.mu.Lock()
	last := a.rev
	a.mu.Unlock()
	by := time.Now().Add(told)
	w := word{}
	for limit := time.After(time.Minute); w.rev != last; {
		select {
		case w = <-heard:
		case <-limit:
			t.Fatalf("revision %d never heard", last)
		}
	}
	end()
	<-done
	_ = srv.Close()
	return w.at.Sub(by)
}

// An agent that stays silent is told of, though calls go on being made beside one another;
// where calls cost there is one at a time.
func TestSilentAgentIsToldOf(t *testing.T) {
	for _, ask := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			network := newPipes()
			var out, most atomic.Int32
			srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if n := out.Add(1); n > most.Load() {
					most.Store(n)
				}
				<-r.Context().Done()
				out.Add(-1)
			})}
			go func() { _ = srv.Serve(network) }()
			told := make(chan time.Time, 1000)
			began := time.Now()
			f := &config.File{Discovery: "agent", DrainGrace: 2 * time.Second, Settings: policy.Settings{MustWatch: ask}}
			d := newDiscovery(f, func(*serverList, policy.UpdateKind) { told <- time.Now() })
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, end := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for range 3 {
				<-told
			}
			if past := time.Since(began); past < 3*time.Second || past > 8*time.Second {
				t.Errorf("asked for %v: the third failure told of after %v", ask, past)
			}
			if n := most.Load(); ask && n != 1 || !ask && (n < 2 || n > maxDiscoveryCalls) {
				t.Errorf("asked for %v: %d calls beside one another", ask, n)
			}
			end()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}

// An agent that takes longer than a call is expected to is heard all the same.
func TestSlowAgentIsHeard(t *testing.T) {
	for _, slow := range []time.Duration{600 * time.Millisecond, 700 * time.Millisecond, 1900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			network := newPipes()
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(slow)
				_ = json.NewEncoder(w).Encode(serverList{Rev: 9, All: true})
			})}
			go func() { _ = srv.Serve(network) }()
			heard := make(chan time.Time, 100)
			began := time.Now()
			d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: 2 * time.Second}, func(l *serverList, _ policy.UpdateKind) {
				if l != nil {
					heard <- time.Now()
				}
			})
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, end := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for want := range 3 { // also where watches are held to be broken
				if at := <-heard; want == 0 && at.Sub(began) > slow+time.Millisecond {
					t.Errorf("an agent that takes %v was heard after %v", slow, at.Sub(began))
				}
			}
			end()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}

// A version that goes back is another list's: it is asked for whole, not for what has
// changed since.
func TestVersionGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, asked := newPipes(), make(chan string, 100)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.Query().Get("since")
			l := serverList{Rev: 9, All: true}
			if r.URL.Query().Get("since") != "" {
				time.Sleep(100 * time.Millisecond)
				l = serverList{Rev: 3, Targets: []target{serving("s-00000001", "10.0.0.1:1")}}
			}
			_ = json.NewEncoder(w).Encode(l)
		})}
		go func() { _ = srv.Serve(network) }()
		d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: time.Second}, func(*serverList, policy.UpdateKind) {})
		d.client.Transport.(*http.Transport).DialContext = network.DialContext
		ctx, end := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { d.run(ctx); close(done) }()
		for i, want := range []string{"", "9", "", "9"} {
			if got := <-asked; got != want {
				t.Errorf("call %d: since %q, want %q", i, got, want)
			}
		}
		end()
		<-done
		_ = srv.Close()
		time.Sleep(time.Second) // for the answer that was being made
	})
}

// logLines counts the lines of the log that warn, and keeps the last.
type logLines struct {
	slog.Handler
	mu    sync.Mutex
	warns int
	last  string
}

func (l *logLines) Enabled(context.Context, slog.Level) bool { return true }

func (l *logLines) Handle(_ context.Context, r slog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Level >= slog.LevelWarn {
		l.warns++
		l.last = r.Message
		r.Attrs(func(a slog.Attr) bool { l.last += " " + a.String(); return true })
	}
	return nil
}

// A list that can't be used changes nothing, however often it comes: the one held stays,
// and one line of the log tells what is wrong and where.
func TestRefusedListsChangeNothing(t *testing.T) {
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
		"over 26214 lines":   endless("," + line(1)),
	} {
		synctest.Test(t, func(t *testing.T) {
			log := &logLines{Handler: slog.DiscardHandler}
			before := slog.Default()
			slog.SetDefault(slog.New(log))
			defer slog.SetDefault(before)
			network := newPipes()
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
			heard := make(chan event, 100)
			d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: 2 * time.Second, MemoryMB: 16}, func(l *serverList, kind policy.UpdateKind) {
				if l == nil {
					l = &serverList{}
				}
				heard <- event{l.Rev, kind}
			})
			d.client.Transport.(*http.Transport).DialContext = network.DialContext
			ctx, end := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.run(ctx); close(done) }()
			for i, want := range []event{{9, policy.FullList}, {0, policy.WatchFailed}, {0, policy.WatchFailed}, {0, policy.WatchFailed}, {11, policy.Changes}} {
				if got := <-heard; got != want {
					t.Errorf("%s: event %d: %+v, want %+v", place, i, got, want)
				}
			}
			if log.warns != 1 || !strings.Contains(log.last, place) || len(log.last) > 500 {
				t.Errorf("%d warnings, the last %q, want one that names %q", log.warns, log.last, place)
			}
			end()
			<-done
			_ = srv.Close()
			time.Sleep(time.Minute)
		})
	}
}
