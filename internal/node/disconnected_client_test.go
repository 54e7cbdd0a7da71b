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

// A server resets the connection of a request whose client has disconnected. The request must not be
// retried, whether the loop's periodic check or the check before the write is the first to detect the
// disconnect.
func TestNoRetryAfterDisconnect(t *testing.T) {
	for _, checked := range []bool{true, false} {
		var seen atomic.Int32
		reset := make(chan struct{})
		resets := func(c net.Conn, _ *http.Request, _ string) bool {
			seen.Add(1)
			<-reset
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		n := startNodeWithServers(t, newTestServer(t, resets).addr(), newTestServer(t, resets).addr(),
			newTestServer(t, resets).addr())
		c := dial(t, n)
		writeRequest(t, c, newRequest(n.url, "lookup", clientTimeout))
		testkit.Eventually(t, "the first attempt", func() bool { return seen.Load() == 1 })
		c.Close()
		if checked {
			n.awaitDisconnectCheck(t)
		}
		close(reset)
		n.awaitNoAttempts(t)
		n.awaitNoClients(t)
		n.awaitDisconnectCheck(t)
		if got := seen.Load(); got != 1 {
			t.Errorf("checked %v: %d attempts, %d of them for a disconnected client", checked, got, got-1)
		}
		n.requestShutdown()
		if err := <-n.done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	}
}

// A client disconnects right after or before the last chunk of its request. An incomplete request is not
// forwarded, and a complete one is not sent for a disconnected client.
func TestClientDisconnectsAfterChunk(t *testing.T) {
	for _, complete := range []bool{true, false} {
		a := newTestServer(t, respondWith("200 OK", "", "hits"))
		n := startNodeWithServers(t, a.addr())
		begun, release := holdDials(n.upstream)
		c := dial(t, n)
		r := newRequest(n.url, "loan", clientTimeout)
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n", r.URL.RequestURI())
		if err := r.Header.Write(c); err != nil {
			t.Fatal(err)
		}
		w := bufio.NewWriter(c)
		fmt.Fprint(w, "\r\n5\r\norder\r\n")
		_ = w.Flush()
		testkit.Eventually(t, "a partial request received", func() bool {
			n.server.mu.Lock()
			defer n.server.mu.Unlock()
			for cc := range n.server.conns {
				if cc.state == connReading && !cc.carriedProbe {
					return true
				}
			}
			return false
		})
		if complete {
			fmt.Fprint(c, "3\r\n=17\r\n0\r\n\r\n")
			<-begun
		} else {
			fmt.Fprint(c, "3\r\n=1")
		}
		c.Close()
		if n.awaitDisconnectCheck(t); complete {
			release <- struct{}{}
		}
		n.awaitNoAttempts(t)
		n.awaitNoClients(t)
		if a.requests.Load() != 0 || a.conns.Load() > 1 {
			t.Errorf("complete %v: %d attempts for a disconnected client", complete, a.requests.Load())
		}
		n.requestShutdown()
		if err := <-n.done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	}
}
