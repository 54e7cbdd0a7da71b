package node

import (
	"bytes"
	"net/http"
	"testing"

	"valvering.example/valvering/internal/testkit"
)

// A client sends a request, much more behind it, and closes its connection before the
// request's attempt has begun. An edge node reads no more than maxReadAhead bytes before the
// answer, so the end of the connection never came up, and the attempt was written for a client
// that had gone: /status counted it under sent_on_unseen, and the app server saw the request. The
// system knows of the end all the same: the connection is in the state CLOSE_WAIT then,
// whatever is left to read.
func TestClientLeavesBehindMoreThanIsReadAhead(t *testing.T) {
	for _, bytesAhead := range []int{maxReadAhead - 1, maxReadAhead, maxReadAhead + 1, 2 * maxReadAhead} {
		if attempts, left := leaveWhileDialing(t, bytes.Repeat([]byte("x"), bytesAhead)); attempts != 0 || left != (Disconnects{Dialing: 1}) {
			t.Errorf("%d bytes ahead: sent on %d times for a client that had gone, %+v", bytesAhead, attempts, left)
		}
	}
}

// One that sent as much and stays gets its answer.
func TestClientStaysBehindMoreThanIsReadAhead(t *testing.T) {
	a, let := held(t)
	n := nodeWith(t, a.addr())
	c := dial(t, n)
	answered := send(t, c, request(n.url, "loan", patience))
	testkit.Eventually(t, "the request at the app server", func() bool { return a.seen.Load() == 1 })
	if _, err := c.Write(bytes.Repeat([]byte("x"), 2*maxReadAhead)); err != nil {
		t.Fatal(err)
	}
	n.looks(t)
	let()
	if resp := answered(); resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if left := n.Status().Disconnects; left != (Disconnects{}) {
		t.Errorf("taken for one that has gone: %+v", left)
	}
}

// A client sends more behind its request than the system takes in and closes its connection, whose
// end stays behind those bytes where nobody can see it. Its request is sent on though it has gone.
func TestClientLeavesBehindMoreThanTheSystemTakesIn(t *testing.T) {
	const bytesAhead = 320 << 10 // the receive buffer is 128 KiB at first
	if attempts, left := leaveWhileDialing(t, bytes.Repeat([]byte("x"), bytesAhead)); attempts != 0 {
		t.Errorf("%d bytes ahead: sent on %d times for a client that had gone, %+v", bytesAhead, attempts, left)
	}
}
