package policy

import (
	"testing"
	"time"
)

// A root's word may come after the client has gone: no attempt begins by it, whether the
// root grants at once, has the request wait and grants later, or says nothing until the
// request is asked for again.
func TestRootAnswersAfterTheClientHasGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		plan  string
		words []byte // the root's
		gone  int    // before this one of them
	}{
		{"granted", "rate", []byte{answerGranted}, 0},
		{"granted, cap", "open", []byte{answerGranted}, 0},
		{"waits, then granted", "open", []byte{answerHeld, answerGranted}, 1},
		{"gone before both", "open", []byte{answerHeld, answerGranted}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(t, 100, fleet(10))
			seat := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans[c.plan], 0, 50)
			roots, deputy := w.gs[0].roots(seat)
			i := 0
			for i == roots[0] || i == deputy {
				i++
			}
			w.lose = func(int, int) bool { return true } // the words come by hand
			w.request(i, 1, "k", c.plan, "safe", 50)
			r := w.gs[i].requests[1]
			if r == nil || r.askCount != 1 || r.root != roots[0] {
				t.Fatalf("not asked of its root: %+v", r)
			}
			for k, word := range c.words {
				if k == c.gone {
					w.do(i, ClientDisconnected{ID: 1})
				}
				w.now += 20 * ms
				w.do(i, PeerMessage{From: roots[0], Data: encode(answerMessage{r.tag, word, 250, 0, 250})})
			}
			w.pass(time.Second, nil)
			if len(w.sends) > 0 || len(w.gs[i].requests) > 0 || len(w.gs[i].asksByTag) > 0 {
				t.Errorf("%d attempts, %d requests and %d asks left for a client that had gone", len(w.sends), len(w.gs[i].requests),
					len(w.gs[i].asksByTag))
			}
		})
	}
}

// Nor does one begin at the end of an attempt that a client no longer waits for, at a tick,
// or at another request's end.
func TestNothingBeginsOnceTheClientHasGone(t *testing.T) {
	for _, code := range []Code{Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NotSent} {
		w := newWorld(t, base(), fleet(4))
		out := w.send("safe", "open")
		held, acts := w.ask("safe", "open", "c", 1) // beyond the cap
		if len(of[Send](acts)) != 0 {
			t.Fatalf("sent on beyond the cap: %v", acts)
		}
		w.do(ClientDisconnected{ID: out.ID})
		w.do(ClientDisconnected{ID: held})
		w.now += 20 * ms
		acts = w.end(out, 0, code)
		acts = append(acts, w.pass(time.Second)...)
		if sends := of[Send](acts); len(sends) > 0 {
			t.Errorf("code %d: %v for clients that had gone", code, sends)
		}
	}
}
