package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// A planned stop, step by step.
func TestDeparture(t *testing.T) {
	const ms = time.Millisecond
	type at struct {
		now   time.Duration
		sig   bool
		open  int
		quiet time.Duration
		want  phase
		steps shutdownActions
	}
	for name, list := range map[string][]at{
		"quiet at once": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: 10 * ms, open: 1, quiet: time.Second, want: phaseLeaving},
			{now: 250 * ms, open: 1, quiet: time.Second, want: phaseLeaving, steps: shutdownActions{closeIdle: true}},
			{now: 549 * ms, quiet: time.Second, want: phaseLeaving, steps: shutdownActions{closeIdle: true}},
			{now: 550 * ms, quiet: time.Second, want: phaseFinishing, steps: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 560 * ms, quiet: time.Second, want: phaseStopped, steps: shutdownActions{closeIdle: true, done: true}},
		},
		"a client goes on": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: 649 * ms, open: 1, quiet: 99 * ms, want: phaseLeaving, steps: shutdownActions{closeIdle: true}},
			{now: 650 * ms, open: 1, quiet: 0, want: phaseFinishing, steps: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 7 * time.Second, open: 1, quiet: time.Second, want: phaseFinishing, steps: shutdownActions{closeIdle: true}},
			{now: 8 * time.Second, open: 0, quiet: time.Second, want: phaseStopped, steps: shutdownActions{closeIdle: true, done: true}},
		},
		"hastened": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: 20 * ms, sig: true, want: phaseLeaving, steps: shutdownActions{refuseWaiting: true}},
			{now: 30 * ms, open: 1, quiet: 50 * ms, want: phaseLeaving, steps: shutdownActions{closeIdle: true}},
			{now: 40 * ms, sig: true, want: phaseLeaving},
			{now: 100 * ms, open: 1, quiet: 100 * ms, want: phaseFinishing, steps: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 110 * ms, open: 0, quiet: 110 * ms, want: phaseStopped, steps: shutdownActions{closeIdle: true, done: true}},
		},
		"quiet soon after": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: 600 * ms, open: 1, quiet: 100 * ms, want: phaseFinishing, steps: shutdownActions{closeIdle: true, closeListener: true}},
		},
		"never quiet": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: shutdownTimeout, open: 2, quiet: 0, want: phaseStopped, steps: shutdownActions{closeIdle: true, closeListener: true, done: true}},
		},
		"never answered": {
			{now: 0, sig: true, want: phaseLeaving},
			{now: time.Second, open: 2, quiet: time.Second, want: phaseFinishing, steps: shutdownActions{closeIdle: true, closeListener: true}},
			{now: shutdownTimeout, open: 2, quiet: time.Second, want: phaseStopped, steps: shutdownActions{closeIdle: true, done: true}},
		},
	} {
		var d shutdownState
		for i, a := range list {
			var got shutdownActions
			if a.sig {
				got = d.signal(a.now)
			} else {
				got = d.step(a.now, a.open, a.quiet)
			}
			if got != a.steps || d.phase != a.want {
				t.Errorf("%s, step %d: %v %+v, want %v %+v", name, i, d.phase, got, a.want, a.steps)
			}
		}
	}
}

func TestCallOff(t *testing.T) {
	var d shutdownState
	if d.cancel() == nil {
		t.Error("called off what had not begun")
	}
	d.signal(time.Second)
	d.signal(time.Second)
	if err := d.cancel(); err != nil || d != (shutdownState{}) {
		t.Errorf("%v, %+v", err, d)
	}
	d.signal(time.Minute) // begins anew, and hastens nothing
	if d.phase != phaseLeaving || d.hastened || d.startedAt != time.Minute {
		t.Errorf("%+v", d)
	}
	if d.step(2*time.Minute+shutdownTimeout, 0, time.Hour); d.phase != phaseStopped || d.cancel() == nil {
		t.Errorf("%+v called off", d)
	}
}

// held serves a request that its server answers once the test lets it.
func held(t *testing.T) (a *app, let func()) {
	t.Helper()
	hold := make(chan struct{})
	return newApp(t, func(c net.Conn, r *http.Request, _ string) bool {
		<-hold
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	}), func() { close(hold) }
}

// A planned stop that is called off, while the listener is open and once it is shut,
// leaves an edge node that serves as before, and answers what was open.
func TestStopCalledOff(t *testing.T) {
	a, let := held(t)
	cfg := fileConfig(t, newRegistry(t, serving("s-00000001", a.addr())).addr, "", testSettings)
	cfg.Current().File.Listen = refusing(t)
	n := start(t, cfg)
	if err := n.CancelShutdown(t.Context()); err == nil {
		t.Error("called off what had not begun")
	}
	answered := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(request(n.url, "loan", patience)) // not called back when it takes long
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answered <- string(body)
	}()
	testkit.Eventually(t, "the request out", func() bool { return a.seen.Load() == 1 })
	phaseIs := func(p phase) func() bool { return func() bool { return n.Status().Phase == p.String() } }
	ready := func() int {
		resp, err := http.Get(n.url + "/healthz")
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, p := range []phase{phaseLeaving, phaseFinishing} {
		n.stop()
		testkit.Eventually(t, p.String(), phaseIs(p))
		if p == phaseLeaving && ready() != 503 {
			t.Error("ready though it leaves")
		}
		if err := n.CancelShutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := ready(); got != 200 || !phaseIs(phaseServing)() {
			t.Errorf("healthz %d, %s after a stop called off while %v", got, n.Status().Phase, p)
		}
	}
	let()
	if got := <-answered; got != "ok" {
		t.Error(got)
	}
	r := request(n.url, "lookup", patience)
	r.Header.Set("X-Request-Id", "later")
	if resp, body := ask(t, r); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	n.stop()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
	if err := n.CancelShutdown(t.Context()); !errors.Is(err, errEnded) {
		t.Errorf("%v after the end", err)
	}
}

// A second signal has what waits answered at once, so that it can be asked for
// elsewhere, and what is out answered whole.
func TestStopHastened(t *testing.T) {
	a, let := held(t)
	// What is held would be held for longer than the test waits.
	settings := strings.NewReplacer(`{"name":"town"}`, `{"name":"town","parallel":1}`, `"aim_ms":1000,"hard_limit_ms":10000`,
		`"aim_ms":100000,"hard_limit_ms":100000`).Replace(testSettings)
	n := start(t, fileConfig(t, newRegistry(t, serving("s-00000001", a.addr())).addr, "", settings))
	got := make(chan string, 2)
	for i, id := range []string{"out", "held"} {
		go func() {
			r := request(n.url, "loan", 6*patience)
			r.Header.Set("X-Request-Id", id)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				got <- err.Error()
				return
			}
			resp.Body.Close()
			got <- fmt.Sprint(id, " ", resp.StatusCode, " ", resp.Header.Get("Retry-After") != "")
		}()
		testkit.Eventually(t, id, func() bool {
			open, _ := n.server.activity()
			return open >= i+1 && a.seen.Load() == 1
		})
	}
	n.stop()
	testkit.Eventually(t, "the stop", func() bool { return n.Status().Phase == phaseLeaving.String() })
	n.stop()
	var s string
	testkit.Eventually(t, "what is held given up", func() bool {
		select {
		case s = <-got:
			return true
		default:
			return false
		}
	})
	if s != "held 429 true" {
		t.Error(s)
	}
	let()
	if s := <-got; s != "out 200 false" {
		t.Error(s)
	}
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// A stop can't be called off once another has the address: it goes on to its end.
func TestCallOffTooLate(t *testing.T) {
	a, let := held(t)
	cfg := fileConfig(t, newRegistry(t, serving("s-00000001", a.addr())).addr, "", testSettings)
	cfg.Current().File.Listen = refusing(t)
	n := start(t, cfg)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(request(n.url, "loan", patience))
		if err != nil {
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	testkit.Eventually(t, "the request out", func() bool { return a.seen.Load() == 1 })
	n.stop()
	testkit.Eventually(t, "the listener closed", func() bool { return n.Status().Phase == phaseFinishing.String() })
	other, err := net.Listen("tcp", cfg.Current().File.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := n.CancelShutdown(t.Context()); err == nil {
		t.Error("called off though the address is another's")
	}
	let()
	if got := <-answered; got != 200 {
		t.Errorf("%d for what was open", got)
	}
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// The front asks for readiness for as long as an edge node leaves, each time on a
// new connection: that must not keep the listener open.
func TestProbesDontHoldUpAStop(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "a"))
	n := nodeWith(t, a.addr())
	ended := make(chan struct{})
	n.stop()
	go func() {
		for {
			select {
			case <-ended:
				return
			default:
			}
			r, err := http.NewRequest("GET", n.url+"/healthz", nil)
			if err != nil {
				t.Error(err)
				return
			}
			r.Close = true
			if resp, err := http.DefaultClient.Do(r); err == nil {
				resp.Body.Close()
			}
		}
	}()
	testkit.Eventually(t, "the end", func() bool { return n.ctx.Err() != nil })
	close(ended)
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}
