package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
)

// toldWithin is how long after discovery has a change and can be reached the change counts
// as told, whatever calls failed, were refused or given up.
const toldWithin = 6 * time.Second

// excess is what an overbooked service does with a call beyond those it works on.
type excess string

const (
	refuses excess = "refuses"  // 503 at once
	queues  excess = "queues"   // worked on in the order they came, also those given up meanwhile
	drops   excess = "swallows" // never answered
)

// overbooked is a discovery service that works on few calls at once. A watch that waits for
// news is not worked on.
type overbooked struct {
	beyond  excess
	workers int
	work    time.Duration // on each call

	mu     sync.Mutex
	calls  int // that have come
	busy   int
	queued []chan struct{}
	rev    int64
	silent bool
	turn   chan struct{} // closed at a change of any kind
}

func (s *overbooked) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	close(s.turn)
	s.turn = make(chan struct{})
}

// enter waits for a worker; it is false where the call is refused or never gets one.
func (s *overbooked) enter(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	if s.silent {
		s.mu.Unlock()
		<-r.Context().Done()
		return false
	}
	if s.busy < s.workers {
		s.busy++
		s.mu.Unlock()
		return true
	}
	if s.beyond != queues {
		s.mu.Unlock()
		if s.beyond == refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			<-r.Context().Done()
		}
		return false
	}
	turn := make(chan struct{})
	s.queued = append(s.queued, turn)
	s.mu.Unlock()
	<-turn
	return true
}

func (s *overbooked) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queued) == 0 {
		s.busy--
		return
	}
	close(s.queued[0])
	s.queued = s.queued[1:]
}

func (s *overbooked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	time.Sleep(s.work)
	s.leave()
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	until := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	for late := false; r.URL.Query().Get("since") == strconv.FormatInt(s.rev, 10) && !late && !s.silent; {
		turn := s.turn
		s.mu.Unlock()
		select {
		case <-turn:
		case <-until:
			late = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	silent, rev := s.silent, s.rev
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(serverList{Rev: rev, All: true, Targets: []target{serving("s-00000001", "10.0.0.1:1")}})
}

// hearing is when one edge node first heard of each version of the list, or a later one.
type hearing struct {
	mu sync.Mutex
	at []time.Time // by version
}

func (h *hearing) heard(l *serverList, _ policy.UpdateKind) {
	if l == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for int64(len(h.at)) <= l.Rev {
		h.at = append(h.at, time.Now())
	}
}

// askedFleet is edge nodes that ask an overbooked service for the list.
type askedFleet struct {
	service *overbooked
	list    []*hearing
	rng     *rand.Rand
	cancel  context.CancelFunc
	all     sync.WaitGroup
	server  *http.Server
}

// newFleetOfAsked starts edge nodes together, within 0.1 s.
func newFleetOfAsked(t *testing.T, s *overbooked, nodes int, seed uint64) *askedFleet {
	network := newPipes()
	f := &askedFleet{service: s, rng: rand.New(rand.NewPCG(seed, 6)), server: &http.Server{Handler: s}}
	go func() { _ = f.server.Serve(network) }()
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(t.Context())
	for range nodes {
		file := &config.File{Discovery: "service", Seed: f.rng.Uint64(), DrainGrace: 2 * time.Second, Settings: policy.Settings{MustWatch: true}}
		h := &hearing{}
		f.list = append(f.list, h)
		d := newDiscovery(file, h.heard)
		d.client.Transport.(*http.Transport).DialContext = network.DialContext
		begin := time.Duration(f.rng.Int64N(int64(100 * time.Millisecond)))
		f.all.Go(func() {
			time.Sleep(begin)
			d.run(ctx)
		})
	}
	return f
}

// end ends the edge nodes and the service.
func (f *askedFleet) end() {
	f.cancel()
	f.all.Wait()
	_ = f.server.Close()
	for f.service.working() {
		time.Sleep(time.Second)
	}
}

// overbookedDay plays edge nodes that ask an overbooked service for the list: an outage, a
// change at its return, one while they open their watches anew, and one at any moment later.
// It returns how long after each change the last edge node heard of it.
func overbookedDay(t *testing.T, s *overbooked, nodes int, outage time.Duration, seed uint64) (late []time.Duration) {
	f := newFleetOfAsked(t, s, nodes, seed)
	time.Sleep(10 * time.Second)
	s.set(func() { s.silent = true })
	time.Sleep(outage)
	var changed []time.Time
	change := func() {
		s.set(func() { s.silent = false; s.rev++ })
		changed = append(changed, time.Now())
	}
	change()
	time.Sleep(150 * time.Millisecond)
	change()
	time.Sleep(toldWithin + time.Duration(f.rng.Int64N(int64(4*time.Second))))
	change()
	time.Sleep(2 * toldWithin)
	for i, began := range changed {
		worst := time.Duration(0)
		for _, h := range f.list {
			h.mu.Lock()
			took := 2 * toldWithin // not heard at all
			if rev := i + 2; rev < len(h.at) {
				took = h.at[rev].Sub(began)
			}
			h.mu.Unlock()
			worst = max(worst, took)
		}
		late = append(late, worst.Round(time.Millisecond))
	}
	f.end()
	return late
}

// working tells whether calls are still worked on, also ones that nobody waits for any more.
func (s *overbooked) working() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy > 0 || len(s.queued) > 0
}

// All edge nodes hear of a change within toldWithin of its being there to be heard, though
// the service works on few calls at once and was silent meanwhile.
func TestOverbookedServiceIsHeard(t *testing.T) {
	workers := map[excess]int{refuses: 2, queues: 2, drops: 3}
	for _, beyond := range []excess{refuses, queues, drops} {
		for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, outage of %v", beyond, outage), func(t *testing.T) {
				for seed := range uint64(6) {
					synctest.Test(t, func(t *testing.T) {
						s := &overbooked{beyond: beyond, workers: workers[beyond], work: 50 * time.Millisecond, rev: 1, turn: make(chan struct{})}
						late := overbookedDay(t, s, 24, outage, seed)
						t.Logf("seed %d: heard by all %v after the changes", seed, late)
						for i, took := range late {
							if took > toldWithin {
								t.Errorf("seed %d, change %d: heard by all %v after it could be", seed, i, took)
							}
						}
					})
				}
			})
		}
	}
}

// A service that takes almost as long as a call is waited for is heard within toldWithin,
// though some calls are given up sooner.
func TestSlowServiceIsHeard(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s := &overbooked{beyond: queues, workers: 4, work: 1900 * time.Millisecond, rev: 1, turn: make(chan struct{})}
			for i, took := range overbookedDay(t, s, 1, 2500*time.Millisecond, seed) {
				if took > toldWithin {
					t.Errorf("seed %d, change %d: heard %v after it could be", seed, i, took)
				}
			}
		})
	}
}

// Edge nodes that are restarted together and know no list have one within readyWithin, nine
// in ten of them, from a service that works on few calls at once.
func TestRestartedTogetherHaveAList(t *testing.T) {
	const nodes, readyWithin = 60, 10 * time.Second
	for _, beyond := range []excess{refuses, queues, drops} {
		for seed := range uint64(6) {
			synctest.Test(t, func(t *testing.T) {
				s := &overbooked{beyond: beyond, workers: 3, work: 50 * time.Millisecond, rev: 1, turn: make(chan struct{})}
				f := newFleetOfAsked(t, s, nodes, seed)
				time.Sleep(readyWithin)
				have := 0
				for _, h := range f.list {
					h.mu.Lock()
					if len(h.at) > 0 {
						have++
					}
					h.mu.Unlock()
				}
				f.end()
				if have*10 < nodes*9 {
					t.Errorf("%s, seed %d: %d of %d edge nodes have a list after %v", beyond, seed, have, nodes, readyWithin)
				}
			})
		}
	}
}

// The same with two calls worked on and all others swallowed.
func TestServiceThatSwallowsAllButTwoIsHeard(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second} {
		t.Run(fmt.Sprintf("outage of %v", outage), func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(40) {
				synctest.Test(t, func(t *testing.T) {
					s := &overbooked{beyond: drops, workers: 2, work: 50 * time.Millisecond, rev: 1, turn: make(chan struct{})}
					for i, took := range overbookedDay(t, s, 24, outage, seed) {
						if worst = max(worst, took); took > toldWithin {
							t.Errorf("seed %d, change %d: heard by all %v after it could be", seed, i, took)
						}
					}
				})
			}
			t.Logf("heard by all %v after a change at the latest", worst)
		})
	}
}
