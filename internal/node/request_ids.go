package node

import (
	"hash/maphash"
	"time"
)

const (
	// requestIDRetention is the minimum time for which the id of a request that has ended is not accepted
	// again. Clients wait a few seconds at most.
	requestIDRetention = 30 * time.Second

	// maxRetiredIDs limits the ids kept of requests that have ended. Beyond it the oldest are forgotten
	// before their time.
	maxRetiredIDs = 16 << 10
)

// requestIDs are the ids that a new request may not have: those of requests that are open or have an attempt
// in flight, and of those that have ended recently. Clients use a new id for each request, retries included.
// A request whose id comes again is not its client's, and to serve it would run the request a second time.
//
// An id is claimed first, and then either released, if its request was refused and the client may try again, or
// retired.
type requestIDs struct {
	claimed map[string]struct{}

	// Retired ids, in two halves by age: the older half is dropped as a whole. A hash takes less memory than
	// an id.
	seed      maphash.Seed
	recent    map[uint64]struct{}
	older     map[uint64]struct{}
	rotatedAt time.Duration
}

func newRequestIDs() *requestIDs {
	return &requestIDs{claimed: map[string]struct{}{}, seed: maphash.MakeSeed(),
		recent: map[uint64]struct{}{}, older: map[uint64]struct{}{}}
}

// claim claims an id for a new request. It returns false if a request has or recently had the id.
func (r *requestIDs) claim(id string, now time.Duration) bool {
	r.rotate(now)
	hash := maphash.String(r.seed, id)
	if _, used := r.claimed[id]; used || contains(r.recent, hash) || contains(r.older, hash) {
		return false
	}
	r.claimed[id] = struct{}{}
	return true
}

// release makes an id available again. It does nothing if the id is not claimed.
func (r *requestIDs) release(id string) { delete(r.claimed, id) }

// retire ends the claim of an id, which is not accepted again for requestIDRetention. It does nothing if the id
// is not claimed.
func (r *requestIDs) retire(id string, now time.Duration) {
	if _, claimed := r.claimed[id]; !claimed {
		return
	}
	delete(r.claimed, id)
	r.rotate(now)
	r.recent[maphash.String(r.seed, id)] = struct{}{}
}

// rotate drops the older half of the retired ids when the recent half is old enough or full.
func (r *requestIDs) rotate(now time.Duration) {
	if now-r.rotatedAt < requestIDRetention && len(r.recent) < maxRetiredIDs/2 {
		return
	}
	r.older, r.recent, r.rotatedAt = r.recent, make(map[uint64]struct{}), now
}

func contains(set map[uint64]struct{}, hash uint64) bool {
	_, found := set[hash]
	return found
}
