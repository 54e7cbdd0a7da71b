package policy

import (
	"testing"
	"time"
)

// A root's answer may arrive after the client disconnected. It must start no attempt, whether the root
// grants at once or holds the request first and grants later. The request must not be asked for again
// either.
func TestRootAnswersAfterClientDisconnected(t *testing.T) {
	for _, c := range []struct {
		name             string
		plan             string
		verdicts         []byte // verdicts of the root's answers
		disconnectBefore int    // index of the answer before which the client disconnects
	}{
		{"granted", "rate", []byte{answerGranted}, 0},
		{"granted, cap", "open", []byte{answerGranted}, 0},
		{"waits, then granted", "open", []byte{answerHeld, answerGranted}, 1},
		{"disconnected before both", "open", []byte{answerHeld, answerGranted}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(t, 100, testServers(10))
			state := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans[c.plan], 0, 50)
			roots, deputy := w.gs[0].roots(state)
			member := 0
			for member == roots[0] || member == deputy {
				member++
			}
			w.lose = func(int, int) bool { return true } // the test delivers the answers itself
			w.request(member, 1, "k", c.plan, "safe", 50)
			r := w.gs[member].requests[1]
			if r == nil || r.askCount != 1 || r.root != roots[0] {
				t.Fatalf("the root was not asked: %+v", r)
			}
			for k, verdict := range c.verdicts {
				if k == c.disconnectBefore {
					w.do(member, ClientDisconnected{ID: 1})
				}
				w.now += 20 * ms
				w.do(member, PeerMessage{From: roots[0], Data: encode(answerMessage{r.tag, verdict, 250, 0,
					250})})
			}
			w.advance(time.Second, nil)
			if len(w.sends) > 0 || len(w.gs[member].requests) > 0 || len(w.gs[member].asksByTag) > 0 {
				t.Errorf("%d attempts, %d requests and %d asks left for a client that disconnected",
					len(w.sends), len(w.gs[member].requests), len(w.gs[member].asksByTag))
			}
		})
	}
}

// For a client that disconnected, no attempt starts after its attempt fails, at a tick, or when another
// request ends.
func TestNoAttemptAfterClientDisconnected(t *testing.T) {
	for _, code := range []Code{Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent} {
		w := newHarness(t, baseSettings(), testServers(4))
		out := w.send("safe", "open")
		held, acts := w.request("safe", "open", "c", 1) // beyond the cap
		if len(of[Send](acts)) != 0 {
			t.Fatalf("attempt sent beyond the cap: %v", acts)
		}
		w.do(ClientDisconnected{ID: out.ID})
		w.do(ClientDisconnected{ID: held})
		w.now += 20 * ms
		acts = w.end(out, 0, code)
		acts = append(acts, w.advance(time.Second)...)
		if sends := of[Send](acts); len(sends) > 0 {
			t.Errorf("code %d: %v for clients that disconnected", code, sends)
		}
	}
}
