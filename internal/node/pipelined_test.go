package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"valvering.example/valvering/internal/testkit"
)

// A client sends a request and many pipelined bytes, and disconnects before the first attempt is written.
// Whether its end is behind what every client may send ahead, what is read ahead in a burst, or more, the attempt
// must not be written for a disconnected client.
func TestClientLeavesBehindMoreThanIsReadAhead(t *testing.T) {
	for _, pipelinedBytes := range []int{minReadAhead - 1, minReadAhead, minReadAhead + 1, 2 * minReadAhead,
		maxReadAhead - 1, maxReadAhead, maxReadAhead + 1} {
		if attempts, counts := disconnectDuringDial(t, bytes.Repeat([]byte("x"),
			pipelinedBytes)); attempts != 0 || counts != (Disconnects{Dialing: 1}) {
			t.Errorf("%d pipelined bytes: sent %d times for a disconnected client, %+v", pipelinedBytes,
				attempts, counts)
		}
	}
}

// A client that pipelines more bytes than are read ahead, and stays connected, gets its response.
func TestConnectedClientWithFullReadAhead(t *testing.T) {
	a, release := newHeldServer(t)
	n := startNodeWithServers(t, a.addr())
	c := dial(t, n)
	response := writeRequest(t, c, newRequest(n.url, "loan", clientTimeout))
	testkit.Eventually(t, "the request at the server", func() bool { return a.requests.Load() == 1 })
	if _, err := c.Write(bytes.Repeat([]byte("x"), 2*minReadAhead)); err != nil {
		t.Fatal(err)
	}
	n.awaitDisconnectCheck(t)
	release()
	if resp := response(); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if counts := n.Status().Disconnects; counts != (Disconnects{}) {
		t.Errorf("counted as disconnected: %+v", counts)
	}
}

// A client pipelines more bytes than the kernel buffers, and disconnects. Its request must not be sent, although
// the end of the connection stays behind those bytes for a while, or for good.
func TestClientLeavesBehindMoreThanTheSystemTakesIn(t *testing.T) {
	// The receive buffer is 128 KiB at first.
	for _, pipelinedBytes := range []int{320 << 10, maxReadAhead + 320<<10, 3 << 20} {
		attempts, counts := disconnectDuringDial(t, bytes.Repeat([]byte("x"), pipelinedBytes))
		if found := counts.Dialing + counts.Writing + counts.Undetectable; attempts != 0 || found != 1 {
			t.Errorf("%d pipelined bytes: sent %d times for a disconnected client, %+v", pipelinedBytes, attempts,
				counts)
		}
	}
}

// Guards against a client whose pipelined requests are sent on one after the other once it has left behind more
// of them than the kernel buffers.
func TestPipelinedRequestsOfDepartedClient(t *testing.T) {
	a, release := newHeldServer(t)
	n := startNodeWithServers(t, a.addr())
	c := dial(t, n)
	const requests = 4000
	var text strings.Builder
	for range requests {
		_ = newRequest(n.url, "lookup", clientTimeout).Write(&text)
	}
	written := make(chan error, 1)
	go func() { _, err := io.WriteString(c, text.String()); written <- err }()
	testkit.Eventually(t, "the first request at the server", func() bool { return a.requests.Load() == 1 })
	c.Close()
	<-written
	n.awaitDisconnectCheck(t)
	release()
	n.awaitNoClients(t)
	n.awaitNoAttempts(t)
	if got := a.requests.Load(); got != 1 {
		t.Errorf("%d of %d requests were sent on for a client that had left, %+v", got-1, requests-1,
			n.Status().Disconnects)
	}
}
