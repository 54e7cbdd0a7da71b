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

// A shutdown enters each phase, and takes each action, at the expected time.
func TestShutdownSteps(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		now     time.Duration
		signal  bool
		open    int
		quiet   time.Duration
		want    phase
		actions shutdownActions
	}
	for name, list := range map[string][]step{
		"quiet at once": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: 10 * ms, open: 1, quiet: time.Second, want: phaseLeaving},
			{now: 250 * ms, open: 1, quiet: time.Second, want: phaseLeaving,
				actions: shutdownActions{closeIdle: true}},
			{now: 549 * ms, quiet: time.Second, want: phaseLeaving,
				actions: shutdownActions{closeIdle: true}},
			{now: 550 * ms, quiet: time.Second, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 560 * ms, quiet: time.Second, want: phaseStopped,
				actions: shutdownActions{closeIdle: true, done: true}},
		},
		"a client continues": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: 649 * ms, open: 1, quiet: 99 * ms, want: phaseLeaving,
				actions: shutdownActions{closeIdle: true}},
			{now: 650 * ms, open: 1, quiet: 0, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 3499 * ms, open: 1, quiet: time.Second, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true}},
			{now: 3500 * ms, open: 1, quiet: time.Second, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, endReading: true}},
			{now: 8 * time.Second, open: 0, quiet: time.Second, want: phaseStopped,
				actions: shutdownActions{closeIdle: true, done: true}},
		},
		"shortened": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: 20 * ms, signal: true, want: phaseLeaving, actions: shutdownActions{refuseWaiting: true}},
			{now: 30 * ms, open: 1, quiet: 50 * ms, want: phaseLeaving,
				actions: shutdownActions{closeIdle: true}},
			{now: 40 * ms, signal: true, want: phaseLeaving},
			{now: 100 * ms, open: 1, quiet: 100 * ms, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, closeListener: true}},
			{now: 110 * ms, open: 0, quiet: 110 * ms, want: phaseStopped,
				actions: shutdownActions{closeIdle: true, done: true}},
		},
		"quiet after the minimum time": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: 600 * ms, open: 1, quiet: 100 * ms, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, closeListener: true}},
		},
		"never quiet": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: shutdownTimeout, open: 2, quiet: 0, want: phaseStopped,
				actions: shutdownActions{closeIdle: true, closeListener: true, done: true}},
		},
		"never answered": {
			{now: 0, signal: true, want: phaseLeaving},
			{now: time.Second, open: 2, quiet: time.Second, want: phaseFinishing,
				actions: shutdownActions{closeIdle: true, closeListener: true}},
			{now: shutdownTimeout, open: 2, quiet: time.Second, want: phaseStopped,
				actions: shutdownActions{closeIdle: true, done: true}},
		},
	} {
		var d shutdownState
		for i, a := range list {
			var got shutdownActions
			if a.signal {
				got = d.signal(a.now, clientTimeout)
			} else {
				got = d.step(a.now, a.open, a.quiet)
			}
			if got != a.actions || d.phase != a.want {
				t.Errorf("%s, step %d: %v %+v, want %v %+v", name, i, d.phase, got, a.want, a.actions)
			}
		}
	}
}

func TestCancelShutdownState(t *testing.T) {
	var d shutdownState
	if d.cancel() == nil {
		t.Error("cancelled a shutdown that had not begun")
	}
	d.signal(time.Second, clientTimeout)
	d.signal(time.Second, clientTimeout)
	if err := d.cancel(); err != nil || d != (shutdownState{}) {
		t.Errorf("%v, %+v", err, d)
	}
	d.signal(time.Minute, clientTimeout) // starts a new shutdown instead of shortening one
	if d.phase != phaseLeaving || d.shortened || d.startedAt != time.Minute {
		t.Errorf("%+v", d)
	}
	if d.step(2*time.Minute+shutdownTimeout, 0, time.Hour); d.phase != phaseStopped || d.cancel() == nil {
		t.Errorf("%+v was cancelled", d)
	}
}

// newHeldServer starts a server that responds once the test calls release.
func newHeldServer(t *testing.T) (a *testServer, release func()) {
	t.Helper()
	hold := make(chan struct{})
	return newTestServer(t, func(c net.Conn, r *http.Request, _ string) bool {
		<-hold
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	}), func() { close(hold) }
}

// After a shutdown is cancelled, with the listener still open or already closed, the edge node serves as
// before and answers the open requests.
func TestCancelShutdown(t *testing.T) {
	a, release := newHeldServer(t)
	cfg := fileConfig(t, newDiscoveryServer(t, servingTarget("s-00000001", a.addr())).addr, "", testSettings)
	cfg.Current().File.Listen = unusedAddr(t)
	n := startNode(t, cfg)
	if err := n.CancelShutdown(t.Context()); err == nil {
		t.Error("cancelled a shutdown that had not begun")
	}
	answered := make(chan string, 1)
	go func() {
		// keyed: a slow attempt is not cancelled
		resp, err := http.DefaultClient.Do(newRequest(n.url, "loan", clientTimeout))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answered <- string(body)
	}()
	testkit.Eventually(t, "the attempt in flight", func() bool { return a.requests.Load() == 1 })
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
		n.requestShutdown()
		testkit.Eventually(t, p.String(), phaseIs(p))
		if p == phaseLeaving && ready() != 503 {
			t.Error("ready during a shutdown")
		}
		if err := n.CancelShutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := ready(); got != 200 || !phaseIs(phaseServing)() {
			t.Errorf("healthz %d, %s after a shutdown cancelled while %v", got, n.Status().Phase, p)
		}
	}
	release()
	if got := <-answered; got != "ok" {
		t.Error(got)
	}
	r := newRequest(n.url, "lookup", clientTimeout)
	r.Header.Set("X-Request-Id", "later")
	if resp, body := doRequest(t, r); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	n.requestShutdown()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
	if err := n.CancelShutdown(t.Context()); !errors.Is(err, errEnded) {
		t.Errorf("%v after Run has returned", err)
	}
}

// A second signal answers waiting requests at once, so that their clients can retry elsewhere. Requests in
// flight are completed.
func TestShutdownShortened(t *testing.T) {
	a, release := newHeldServer(t)
	// With these settings the waiting request would wait for longer than the test.
	settings := strings.NewReplacer(`{"name":"town"}`, `{"name":"town","parallel":1}`,
		`"aim_ms":1000,"hard_limit_ms":10000`,
		`"aim_ms":100000,"hard_limit_ms":100000`).Replace(testSettings)
	n := startNode(t, fileConfig(t, newDiscoveryServer(t, servingTarget("s-00000001", a.addr())).addr, "",
		settings))
	got := make(chan string, 2)
	for i, id := range []string{"out", "held"} {
		go func() {
			r := newRequest(n.url, "loan", 6*clientTimeout)
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
			return open >= i+1 && a.requests.Load() == 1
		})
	}
	n.requestShutdown()
	testkit.Eventually(t, "the shutdown", func() bool { return n.Status().Phase == phaseLeaving.String() })
	n.requestShutdown()
	var s string
	testkit.Eventually(t, "the waiting request answered", func() bool {
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
	release()
	if s := <-got; s != "out 200 false" {
		t.Error(s)
	}
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// A shutdown can't be cancelled once another process has the address. It then completes.
func TestCancelShutdownAfterAddressTaken(t *testing.T) {
	a, release := newHeldServer(t)
	cfg := fileConfig(t, newDiscoveryServer(t, servingTarget("s-00000001", a.addr())).addr, "", testSettings)
	cfg.Current().File.Listen = unusedAddr(t)
	n := startNode(t, cfg)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(newRequest(n.url, "loan", clientTimeout))
		if err != nil {
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	testkit.Eventually(t, "the attempt in flight", func() bool { return a.requests.Load() == 1 })
	n.requestShutdown()
	testkit.Eventually(t, "the listener closed",
		func() bool { return n.Status().Phase == phaseFinishing.String() })
	other, err := net.Listen("tcp", cfg.Current().File.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := n.CancelShutdown(t.Context()); err == nil {
		t.Error("cancelled though another process has the address")
	}
	release()
	if got := <-answered; got != 200 {
		t.Errorf("%d for the open request", got)
	}
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// The load balancer probes a draining edge node continuously, each time on a new connection. The probes
// must not keep the listener open.
func TestProbesDontDelayShutdown(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	n := startNodeWithServers(t, a.addr())
	ended := make(chan struct{})
	n.requestShutdown()
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
	testkit.Eventually(t, "the end of Run", func() bool { return n.ctx.Err() != nil })
	close(ended)
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}
