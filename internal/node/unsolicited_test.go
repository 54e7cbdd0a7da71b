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
	answerHits   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhits"
	answerOther  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	answerNotRun = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// waitingClient is a client whose presence is found out, right before the write of its request,
// only once something has happened.
type waitingClient struct{ happened <-chan struct{} }

func (c waitingClient) disconnected() bool     { <-c.happened; return false }
func (c waitingClient) disconnectHidden() bool { return false }

// A server sends an answer as soon as a connection is made, ahead of any request. Taken for the
// first request's answer it would prove that a request never ran which does run.
func TestAnswerAheadOfTheFirstRequest(t *testing.T) {
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
		fmt.Fprint(c, answerNotRun)
		for { // until the other end's system has it
			q, known := (&upstreamConn{Conn: c}).queues()
			if !known || q.unacknowledged == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		close(sent)
		<-end
	}()
	u := pool(ln.Addr().String())
	at, do := u.try(patience)
	at.client = waitingClient{sent}
	if r, _ := do(); r.code != policy.ConnectFailed {
		t.Errorf("code %d, want %d: the request was not written", r.code, policy.ConnectFailed)
	}
	if got := u.unsolicited.load(); got != (Unsolicited{Write: 1}) {
		t.Errorf("counted %+v", got)
	}
}

// Two answers come to a request on a connection that has carried another. Where they differ one may
// be a late one to that: serving it would give a client what was made for somebody else, or send a
// request on again that has run.
func TestTwoAnswersThatDifferServeNone(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		want    policy.Code
		counted int64
	}{
		"another body":           {answerHits + answerOther, policy.Reset, 1},
		"the begin of another":   {answerHits + answerNotRun[:12], policy.Reset, 1},
		"never ran, then served": {answerNotRun + answerHits, policy.Reset, 1},
		"served, then never ran": {answerHits + answerNotRun, policy.Reset, 1},
		"a copy":                 {answerHits + answerHits, policy.OK, 0},
		"the begin of a copy":    {answerHits + answerHits[:20], policy.OK, 0},
		"noise":                  {answerHits + "\x88\xdb\xce", policy.OK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			text := answerHits
			a := newApp(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				_, err := fmt.Fprint(conn, text)
				return err == nil
			})
			u := pool(a.addr())
			_, do := u.try(patience)
			do()
			text = c.text
			_, do = u.try(patience)
			if r, body := do(); r.code != c.want || r.code == policy.OK && body != "hits" {
				t.Errorf("code %d, %q, want code %d", r.code, body, c.want)
			}
			if got := u.unsolicited.load(); got != (Unsolicited{Response: c.counted}) || u.open != 0 || a.conns.Load() != 1 {
				t.Errorf("counted %+v, %d connections made, %d open", got, a.conns.Load(), u.open)
			}
		})
	}
}

// A server sends a second answer on an idle connection. It may do so again at any moment, also when
// the next request is out, where nothing tells it from that request's answer: so for a while each
// request to that server has a connection of its own, and twice as long where it does so again.
func TestConnectionsOfUnsolicitedBytesAreNotReused(t *testing.T) {
	newest := make(chan net.Conn, 100)
	a := newApp(t, func(c net.Conn, _ *http.Request, _ string) bool {
		newest <- c
		_, err := fmt.Fprint(c, answerHits)
		return err == nil
	})
	u := pool(a.addr())
	var server net.Conn // the other end of the connection used last
	serve := func(wantNew bool) {
		t.Helper()
		before := a.conns.Load()
		_, do := u.try(patience)
		if r, body := do(); r.code != policy.OK || body != "hits" {
			t.Fatalf("code %d, %q", r.code, body)
		}
		if got := a.conns.Load() > before; got != wantNew {
			t.Errorf("a new connection: %v, want %v", got, wantNew)
		}
		server = <-newest
	}
	// passes moves the pause so far into the past that it is over by now.
	passes := func() {
		p := u.reusePauses[1]
		p.until = u.clock.now()
		u.reusePauses[1] = p
	}
	serve(true)
	for i, noticed := range []func(){func() { serve(true) }, u.sweep} {
		fmt.Fprint(server, answerOther)
		testkit.Eventually(t, "the second answer", func() bool { return u.idle[1][0].checkIdle() == idleUnsolicited })
		noticed()
		if got := u.unsolicited.load(); got != (Unsolicited{Idle: int64(i) + 1}) || len(u.idle) != 0 {
			t.Fatalf("counted %+v, %d servers with idle connections", got, len(u.idle))
		}
		for range 2 {
			serve(true)
		}
		if got := u.reusePauses[1].length; got != minReusePause<<i {
			t.Errorf("a pause of %v, want %v", got, minReusePause<<i)
		}
		passes()
		serve(true) // there is none to use again
		serve(false)
	}
}

// A server says that it closes an idle connection, ahead of closing it. That is no answer too many.
func TestWordsAheadOfAnEndAreNoAnswer(t *testing.T) {
	a := newApp(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = fmt.Fprint(c, answerHits)
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprint(c, "HTTP/1.1 408 Idle\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	u := pool(a.addr())
	for range 2 {
		_, do := u.try(patience)
		if r, _ := do(); r.code != policy.OK {
			t.Fatalf("code %d", r.code)
		}
		testkit.Eventually(t, "the end", func() bool { return u.idle[1][0].checkIdle() == idleClosed })
	}
	if got := u.unsolicited.load(); got != (Unsolicited{}) || len(u.reusePauses) != 0 {
		t.Errorf("counted %+v, %d servers paused", got, len(u.reusePauses))
	}
}

// A pause doubles up to its bound, begins anew while it is on, and is forgotten in time.
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
		t.Error("it did not begin anew")
	}
	now += 1 + maxReusePause - 1
	if p.expire(now); len(p) != 1 {
		t.Error("forgotten too early")
	}
	if p.expire(now + 1); len(p) != 0 {
		t.Error("not forgotten")
	}
}
