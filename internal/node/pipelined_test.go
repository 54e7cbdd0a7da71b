package node

import (
	"bytes"
	"net/http"
	"testing"

	"valvering.example/valvering/internal/testkit"
)

// A client sends a request and many pipelined bytes, and disconnects before the first attempt is written.
// The edge node reads at most maxReadAhead bytes before the response, so it does not read the end of the
// connection. It must detect the disconnect by the TCP state CLOSE_WAIT instead. Otherwise the attempt is
// written for a disconnected client, and /status counts it under sent_on_unseen.
func TestClientLeavesBehindMoreThanIsReadAhead(t *testing.T) {
	for _, pipelinedBytes := range []int{maxReadAhead - 1, maxReadAhead, maxReadAhead + 1, 2 * maxReadAhead} {
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
	if _, err := c.Write(bytes.Repeat([]byte("x"), 2*maxReadAhead)); err != nil {
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

// A client pipelines more bytes than the kernel buffers, and disconnects. Its request must not be sent. The
// edge node still sends it: the end of the connection stays behind those bytes, where it can't be detected.
func TestClientLeavesBehindMoreThanTheSystemTakesIn(t *testing.T) {
	const pipelinedBytes = 320 << 10 // the receive buffer is 128 KiB at first
	if attempts, counts := disconnectDuringDial(t, bytes.Repeat([]byte("x"), pipelinedBytes)); attempts != 0 {
		t.Errorf("%d pipelined bytes: sent %d times for a disconnected client, %+v", pipelinedBytes, attempts,
			counts)
	}
}
