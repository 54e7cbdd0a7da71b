package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

const (
	// The longest deadline in the tests' settings, and the earliest time of SIGKILL that follows from it.
	shortDeadline = time.Second
	earliestKill  = shortDeadline + 700*time.Millisecond

	// When late requests arrive, after the signal.
	lateArrival = 800 * time.Millisecond
)

// startNodeWithShortDeadlines starts an edge node whose classes have shortDeadline.
func startNodeWithShortDeadlines(t *testing.T, server *testServer) *testNode {
	t.Helper()
	settings := strings.ReplaceAll(testSettings, `"hard_limit_ms":10000`, `"hard_limit_ms":1000`)
	return startNode(t, fileConfig(t, newDiscoveryServer(t, servingTarget("s-00000001", server.addr())).addr, "",
		settings))
}

// beginRequest writes a request but for its last bytes, which the returned function writes.
func beginRequest(t *testing.T, n *testNode, class string) (c net.Conn, complete func()) {
	t.Helper()
	var text strings.Builder
	if err := newRequest(n.url, class, shortDeadline).Write(&text); err != nil {
		t.Fatal(err)
	}
	message := text.String()
	c = dial(t, n)
	write := func(part string) {
		if _, err := io.WriteString(c, part); err != nil {
			t.Error(err)
		}
	}
	write(message[:len(message)-2])
	testkit.Eventually(t, "a request that is arriving", func() bool {
		n.server.mu.Lock()
		defer n.server.mu.Unlock()
		for cc := range n.server.conns {
			if cc.state == connReading {
				return true
			}
		}
		return false
	})
	return c, func() { write(message[len(message)-2:]) }
}

// statusBy returns the status of the response on a connection. The test fails if there is none by the deadline.
func statusBy(t *testing.T, c net.Conn, deadline time.Time) int {
	t.Helper()
	_ = c.SetReadDeadline(deadline)
	status, _ := readStatus(t, c)
	return status
}

// Guards against a request that comes whole late in a shutdown, and reaches a server that hangs, being killed
// unanswered.
func TestLateRequestIsAnsweredBeforeKill(t *testing.T) {
	for _, class := range []string{"lookup", "loan"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			n := startNodeWithShortDeadlines(t, newTestServer(t, neverRespond))
			c, complete := beginRequest(t, n, class)
			signalled := time.Now()
			n.requestShutdown()
			time.Sleep(time.Until(signalled.Add(lateArrival)))
			complete()
			if status := statusBy(t, c, signalled.Add(earliestKill)); status < 400 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// Guards against a slow request being read, or closed with no answer, while SIGKILL may come.
func TestRequestStillArrivingIsRefusedBeforeKill(t *testing.T) {
	t.Parallel()
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	n := startNodeWithShortDeadlines(t, a)
	c, _ := beginRequest(t, n, "loan")
	signalled := time.Now()
	n.requestShutdown()
	status := statusBy(t, c, signalled.Add(earliestKill))
	if status != http.StatusServiceUnavailable || a.requests.Load() != 0 {
		t.Errorf("status %d, %d requests at the server", status, a.requests.Load())
	}
}

// Guards against late requests being refused although a server answers them in time.
func TestLateRequestIsServed(t *testing.T) {
	t.Parallel()
	n := startNodeWithShortDeadlines(t, newTestServer(t, respondWith("200 OK", "", "a")))
	c, complete := beginRequest(t, n, "loan")
	signalled := time.Now()
	n.requestShutdown()
	time.Sleep(time.Until(signalled.Add(lateArrival)))
	complete()
	if status := statusBy(t, c, signalled.Add(earliestKill)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against the limit on late requests outlasting a shutdown that was cancelled.
func TestCancelledShutdownServesAgain(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t, newDiscoveryServer(t, servingTarget("s-00000001",
		newTestServer(t, respondWith("200 OK", "", "a")).addr())).addr)
	cfg.Current().File.Listen = unusedAddr(t)
	n := startNode(t, cfg)
	c, complete := beginRequest(t, n, "loan")
	n.loop.post(newLateRequests(n.loop.clock.now()-clientTimeout, shortDeadline)) // it ended long ago
	n.requestShutdown()
	testkit.Eventually(t, "the shutdown", func() bool { return n.Status().Phase == phaseLeaving.String() })
	if err := n.CancelShutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	complete()
	if status := statusBy(t, c, time.Now().Add(clientTimeout)); status != http.StatusOK {
		t.Errorf("status %d after the shutdown was cancelled", status)
	}
}

// The deadlines of requests by the time of their arrival. SIGKILL follows 0.7 s after the longest deadline, which
// counts as 3 s if it is longer.
func TestLateRequestDeadlines(t *testing.T) {
	const ms, signalled = time.Millisecond, time.Minute
	for _, c := range []struct{ longest, arrival, deadline, want time.Duration }{
		{longest: 6 * time.Second, arrival: -time.Second, deadline: 6 * time.Second, want: 6 * time.Second},
		{longest: 6 * time.Second, arrival: 499 * ms, deadline: 6 * time.Second, want: 6 * time.Second},
		{longest: 6 * time.Second, arrival: 700 * ms, deadline: 6 * time.Second, want: 3500 * ms},
		{longest: 6 * time.Second, arrival: 1600 * ms, deadline: 2600 * ms, want: 2600 * ms},
		{longest: time.Second, arrival: 900 * ms, deadline: 1900 * ms, want: 1500 * ms},
	} {
		late := newLateRequests(signalled, c.longest)
		if got := late.deadline(signalled+c.arrival, signalled+c.deadline) - signalled; got != c.want {
			t.Errorf("longest %v, arrival at %v: deadline %v, want %v", c.longest, c.arrival, got, c.want)
		}
		if got := (lateRequests{}).deadline(signalled+c.arrival, signalled+c.deadline); got != signalled+c.deadline {
			t.Errorf("without a shutdown: deadline %v", got)
		}
		if kill := signalled + min(c.longest, 3*time.Second) + 700*ms; late.mustRefuse(late.answerBy-1) ||
			!late.mustRefuse(late.answerBy) || late.answerBy > kill-150*ms {
			t.Errorf("longest %v: answers by %v, SIGKILL at %v", c.longest, late.answerBy, kill)
		}
	}
}
