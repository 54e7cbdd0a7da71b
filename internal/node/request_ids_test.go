package node

import (
	"fmt"
	"testing"
	"time"
)

// An id is free again at the latest after twice its retention, and not before its retention ends.
func TestRequestIDsAreRetained(t *testing.T) {
	r := newRequestIDs()
	for start := time.Duration(0); start < 2*requestIDRetention; start += requestIDRetention / 7 {
		id := fmt.Sprint(start)
		if !r.claim(id, start) || r.claim(id, start) {
			t.Fatalf("%s: not claimed once", id)
		}
		if r.claim(id, start+10*requestIDRetention) {
			t.Fatalf("%s: claimed again while its request is open", id)
		}
		r = newRequestIDs()
		r.rotate(start)
		r.claim(id, start)
		r.retire(id, start)
		for _, after := range []time.Duration{0, requestIDRetention / 2, requestIDRetention - 1} {
			if r.claim(id, start+after) {
				t.Errorf("%s: accepted again after %v", id, after)
			}
		}
		r.rotate(start + requestIDRetention)
		if !r.claim(id, start+2*requestIDRetention) {
			t.Errorf("%s: not accepted after %v", id, 2*requestIDRetention)
		}
	}
}

// Guards against memory that grows with the number of requests, and against a flood of new ids that frees the
// id of an open request.
func TestRequestIDsAreBounded(t *testing.T) {
	r := newRequestIDs()
	r.claim("open", 0)
	for i := range 10 * maxRetiredIDs {
		id := fmt.Sprint(i)
		r.claim(id, 0)
		r.retire(id, 0)
		if n := len(r.recent) + len(r.older); n > maxRetiredIDs {
			t.Fatalf("%d ids kept", n)
		}
	}
	if len(r.claimed) != 1 || r.claim("open", 0) {
		t.Error("the id of the open request is free")
	}
	if last := fmt.Sprint(10*maxRetiredIDs - maxRetiredIDs/2); r.claim(last, 0) {
		t.Errorf("%s is not among the kept ids", last)
	}
}

// The memory of the retired ids is part of what docs/MEMORY.md plans for the program itself.
func TestRequestIDsTakePlannedMemory(t *testing.T) {
	const planned = 1 << 20
	before := liveHeap()
	r := newRequestIDs()
	for i := range 2 * maxRetiredIDs {
		id := fmt.Sprint(i)
		r.claim(id, 0)
		r.retire(id, 0)
	}
	bytes := liveHeap() - before
	t.Logf("%d ids: %d bytes", len(r.recent)+len(r.older), bytes)
	if bytes > planned {
		t.Errorf("%d bytes, planned %d", bytes, planned)
	}
}
