package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"valvering.example/valvering/internal/testkit"
)

// A server resets a connection under a request whose client has gone meanwhile: there is no
// further attempt, whether the loop has looked for the client since or the check before the
// write is the first to see it.
func TestNoRepeatOnceTheClientHasGone(t *testing.T) {
	for _, looked := range []bool{true, false} {
		var seen atomic.Int32
		reset := make(chan struct{})
		resets := func(c net.Conn, _ *http.Request, _ string) bool {
			seen.Add(1)
			<-reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		n := nodeWith(t, newApp(t, resets).addr(), newApp(t, resets).addr(), newApp(t, resets).addr())
		c := dial(t, n)
		send(t, c, request(n.url, "lookup", patience))
		testkit.Eventually(t, "the first attempt", func() bool { return seen.Load() == 1 })
		c.Close()
		if looked {
			n.looks(t)
		}
		close(reset)
		n.idle(t)
		n.alone(t)
		n.looks(t)
		if got := seen.Load(); got != 1 {
			t.Errorf("looked %v: %d attempts, %d of them for a client that had gone", looked, got, got-1)
		}
		n.stop()
		if err := <-n.done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	}
}

// A request comes in chunks and its client goes with the last of them, or before it: what
// was not whole is no request, and what was is not begun for a client that has gone.
func TestClientLeavesBehindItsLastChunk(t *testing.T) {
	for _, whole := range []bool{true, false} {
		a := newApp(t, answer("200 OK", "", "hits"))
		n := nodeWith(t, a.addr())
		begun, let := holdDials(n.upstream)
		c := dial(t, n)
		r := request(n.url, "loan", patience)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n", r.URL.RequestURI())
		if err := r.Header.Write(c); err != nil {
			t.Fatal(err)
		}
		w := bufio.NewWriter(c)
		fmt.Fprint(w, "\r\n5\r\norder\r\n")
		_ = w.Flush()
		testkit.Eventually(t, "a request that has begun to come", func() bool {
			n.server.mu.Lock()
			defer n.server.mu.Unlock()
			for cc := range n.server.conns {
				if cc.state == connReading && !cc.carriedProbe {
					return true
				}
			}
			return false
		})
		if whole {
			fmt.Fprint(c, "3\r\n=17\r\n0\r\n\r\n")
			<-begun
		} else {
			fmt.Fprint(c, "3\r\n=1")
		}
		c.Close()
		if n.looks(t); whole {
			let <- struct{}{}
		}
		n.idle(t)
		n.alone(t)
		if a.seen.Load() != 0 || a.conns.Load() > 1 {
			t.Errorf("whole %v: %d attempts for a client that had gone", whole, a.seen.Load())
		}
		n.stop()
		if err := <-n.done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	}
}
