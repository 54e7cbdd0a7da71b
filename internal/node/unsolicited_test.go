package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

const (
	responseHits   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits"
	responseOther  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	responseNotRun = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// waitingClient is a client state whose check, right before the write of the request, blocks until ready is
// closed.
type waitingClient struct{ ready <-chan struct{} }

func (c waitingClient) disconnected() bool     { <-c.ready; return false }
func (c waitingClient) disconnectHidden() bool { return false }

// A server sends a response as soon as a connection is opened, before any request. If that were accepted as
// the response to the first request, a request that runs would count as one that never ran.
func TestResponseBeforeFirstRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprint(c, responseNotRun)
		for { // until the other end's kernel has received it
			q, known := (&upstreamConn{Conn: c}).queues()
			if !known || q.unacknowledged == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		close(sent)
		<-end
	}()
	u := newTestUpstream(ln.Addr().String())
	at, do := u.newAttempt(clientTimeout)
	at.client = waitingClient{sent}
	if r, _ := do(); r.code != policy.ConnectFailed {
		t.Errorf("code %d, want %d: the request was not written", r.code, policy.ConnectFailed)
	}
	if got := u.unsolicited.load(); got != (Unsolicited{Write: 1}) {
		t.Errorf("counted %+v", got)
	}
}

// A request on a reused connection gets two responses. If they differ, one of them may be a late response
// to the previous request. Accepting it would give a client the response to another request, or retry a
// request that has run.
func TestDifferingResponsesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		want    policy.Code
		counted int64
	}{
		"another body":             {responseHits + responseOther, policy.Reset, 1},
		"beginning of another":     {responseHits + responseNotRun[:12], policy.Reset, 1},
		"never ran, then served":   {responseNotRun + responseHits, policy.Reset, 1},
		"served, then never ran":   {responseHits + responseNotRun, policy.Reset, 1},
		"duplicate":                {responseHits + responseHits, policy.OK, 0},
		"beginning of a duplicate": {responseHits + responseHits[:20], policy.OK, 0},
		"random bytes":             {responseHits + "\x88\xdb\xce", policy.OK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			text := responseHits
			a := newTestServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				_, err := fmt.Fprint(conn, text)
				return err == nil
			})
			u := newTestUpstream(a.addr())
			_, do := u.newAttempt(clientTimeout)
			do()
			text = c.text
			_, do = u.newAttempt(clientTimeout)
			if r, body := do(); r.code != c.want || r.code == policy.OK && body != "hits" {
				t.Errorf("code %d, %q, want code %d", r.code, body, c.want)
			}
			if got := u.unsolicited.load(); got != (Unsolicited{Response: c.counted}) || u.open != 0 ||
				a.conns.Load() != 1 {
				t.Errorf("counted %+v, %d connections made, %d open", got, a.conns.Load(), u.open)
			}
		})
	}
}

// A server sends a second response on an idle connection. It may do so again while the next request is in
// flight, where the bytes can't be told from the response. For some time each request to that server
// therefore gets a new connection, and for twice as long if it happens again.
func TestConnectionsOfUnsolicitedBytesAreNotReused(t *testing.T) {
	newest := make(chan net.Conn, 100)
	a := newTestServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		newest <- c
		_, err := fmt.Fprint(c, responseHits)
		return err == nil
	})
	u := newTestUpstream(a.addr())
	var server net.Conn // server's end of the connection that was used last
	serve := func(wantNew bool) {
		t.Helper()
		before := a.conns.Load()
		_, do := u.newAttempt(clientTimeout)
		if r, body := do(); r.code != policy.OK || body != "hits" {
			t.Fatalf("code %d, %q", r.code, body)
		}
		if got := a.conns.Load() > before; got != wantNew {
			t.Errorf("new connection: %v, want %v", got, wantNew)
		}
		server = <-newest
	}
	// endPause ends the current pause.
	endPause := func() {
		p := u.reusePauses[1]
		p.until = u.clock.now()
		u.reusePauses[1] = p
	}
	serve(true)
	for i, detect := range []func(){func() { serve(true) }, u.sweep} {
		fmt.Fprint(server, responseOther)
		testkit.Eventually(t, "the second response",
			func() bool { return u.idle[1][0].checkIdle() == idleUnsolicited })
		detect()
		if got := u.unsolicited.load(); got != (Unsolicited{Idle: int64(i) + 1}) || len(u.idle) != 0 {
			t.Fatalf("counted %+v, %d servers with idle connections", got, len(u.idle))
		}
		for range 2 {
			serve(true)
		}
		if got := u.reusePauses[1].length; got != minReusePause<<i {
			t.Errorf("a pause of %v, want %v", got, minReusePause<<i)
		}
		endPause()
		serve(true) // no idle connection is left to reuse
		serve(false)
	}
}

// A server announces the close of an idle connection before it closes it. That is not an unsolicited
// response.
func TestNoticeBeforeCloseIsNotUnsolicited(t *testing.T) {
	a := newTestServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprint(c, responseHits)
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprint(c, "HTTP/1.1 408 Idle\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	u := newTestUpstream(a.addr())
	for range 2 {
		_, do := u.newAttempt(clientTimeout)
		if r, _ := do(); r.code != policy.OK {
			t.Fatalf("code %d", r.code)
		}
		testkit.Eventually(t, "the close", func() bool { return u.idle[1][0].checkIdle() == idleClosed })
	}
	if got := u.unsolicited.load(); got != (Unsolicited{}) || len(u.reusePauses) != 0 {
		t.Errorf("counted %+v, %d servers paused", got, len(u.reusePauses))
	}
}

// A pause doubles up to its limit, restarts if it is triggered again while active, and expires in time.
func TestReusePauses(t *testing.T) {
	p, now := reusePauses{}, time.Duration(0)
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		p.pause(1, now)
		now += want*time.Second - 1
		if !p.paused(1, now) || p.paused(2, now) {
			t.Errorf("at %v: paused %v, another %v", now, p.paused(1, now), p.paused(2, now))
		}
		if now++; p.paused(1, now) {
			t.Errorf("paused for more than %v", want*time.Second)
		}
	}
	p.pause(1, now)
	now += maxReusePause / 2
	p.pause(1, now)
	if now += maxReusePause - 1; !p.paused(1, now) {
		t.Error("the pause did not restart")
	}
	now += 1 + maxReusePause - 1
	if p.expire(now); len(p) != 1 {
		t.Error("expired too early")
	}
	if p.expire(now + 1); len(p) != 0 {
		t.Error("not expired")
	}
}
