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

// maxChangeDelay is the time after which a change counts as announced to the edge nodes. It is counted from
// the moment that discovery has the change and can be reached, whatever calls failed, were refused or timed
// out.
const maxChangeDelay = 6 * time.Second

// overloadBehavior is what an overloaded service does with calls for which no worker is free.
type overloadBehavior string

const (
	refuseCalls overloadBehavior = "refuses" // with status 503, immediately
	queueCalls  overloadBehavior = "queues"  // processed in order, even after the client has given up
	dropCalls   overloadBehavior = "drops"   // never answered
)

// overloadedService is a discovery service with few workers. A watch that waits for changes occupies no
// worker.
type overloadedService struct {
	onOverload   overloadBehavior
	workers      int
	callDuration time.Duration // processing time of each call

	mu      sync.Mutex
	calls   int // calls received
	busy    int
	queued  []chan struct{}
	rev     int64
	silent  bool
	changed chan struct{} // closed and replaced at each change
}

func (s *overloadedService) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// acquireWorker waits for a worker. It returns false if the call is refused or never gets one.
func (s *overloadedService) acquireWorker(w http.ResponseWriter, r *http.Request) bool {
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
	if s.onOverload != queueCalls {
		s.mu.Unlock()
		if s.onOverload == refuseCalls {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			<-r.Context().Done()
		}
		return false
	}
	admitted := make(chan struct{})
	s.queued = append(s.queued, admitted)
	s.mu.Unlock()
	<-admitted
	return true
}

func (s *overloadedService) releaseWorker() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queued) == 0 {
		s.busy--
		return
	}
	close(s.queued[0])
	s.queued = s.queued[1:]
}

func (s *overloadedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.acquireWorker(w, r) {
		return
	}
	time.Sleep(s.callDuration)
	s.releaseWorker()
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	for timedOut := false; r.URL.Query().Get("since") == strconv.FormatInt(s.rev, 10) && !timedOut &&
		!s.silent; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
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
	_ = json.NewEncoder(w).Encode(serverList{Rev: rev, All: true,
		Targets: []target{servingTarget("s-00000001", "10.0.0.1:1")}})
}

// deliveryLog records when an edge node first received each version of the list or a later one.
type deliveryLog struct {
	mu      sync.Mutex
	firstAt []time.Time // by version
}

func (h *deliveryLog) record(l *serverList, _ policy.UpdateKind) {
	if l == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for int64(len(h.firstAt)) <= l.Rev {
		h.firstAt = append(h.firstAt, time.Now())
	}
}

// pollingFleet is a fleet of edge nodes that poll an overloaded service for the list.
type pollingFleet struct {
	service *overloadedService
	logs    []*deliveryLog
	rng     *rand.Rand
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	server  *http.Server
}

// newPollingFleet starts the edge nodes at random times within 0.1 s.
func newPollingFleet(t *testing.T, s *overloadedService, nodes int, seed uint64) *pollingFleet {
	network := newPipeListener()
	f := &pollingFleet{service: s, rng: rand.New(rand.NewPCG(seed, 6)), server: &http.Server{Handler: s}}
	go func() { _ = f.server.Serve(network) }()
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(t.Context())
	for range nodes {
		file := &config.File{Discovery: "service", Seed: f.rng.Uint64(), DrainGrace: 2 * time.Second,
			Settings: policy.Settings{MustWatch: true}}
		h := &deliveryLog{}
		f.logs = append(f.logs, h)
		d := newDiscovery(file, h.record)
		d.client.Transport.(*http.Transport).DialContext = network.DialContext
		startDelay := time.Duration(f.rng.Int64N(int64(100 * time.Millisecond)))
		f.wg.Go(func() {
			time.Sleep(startDelay)
			d.run(ctx)
		})
	}
	return f
}

// stop stops the edge nodes and the service.
func (f *pollingFleet) stop() {
	f.cancel()
	f.wg.Wait()
	_ = f.server.Close()
	for f.service.working() {
		time.Sleep(time.Second)
	}
}

// runOverloadScenario runs edge nodes that poll an overloaded service. After an outage it makes one change
// at the service's return, one while the edge nodes reopen their watches, and one at a random later time.
// It returns for each change the delay until the last edge node received it.
func runOverloadScenario(t *testing.T, s *overloadedService, nodes int, outage time.Duration,
	seed uint64) (delays []time.Duration) {
	f := newPollingFleet(t, s, nodes, seed)
	time.Sleep(10 * time.Second)
	s.set(func() { s.silent = true })
	time.Sleep(outage)
	var changedAt []time.Time
	change := func() {
		s.set(func() { s.silent = false; s.rev++ })
		changedAt = append(changedAt, time.Now())
	}
	change()
	time.Sleep(150 * time.Millisecond)
	change()
	time.Sleep(maxChangeDelay + time.Duration(f.rng.Int64N(int64(4*time.Second))))
	change()
	time.Sleep(2 * maxChangeDelay)
	for i, changeTime := range changedAt {
		worst := time.Duration(0)
		for _, h := range f.logs {
			h.mu.Lock()
			took := 2 * maxChangeDelay // not received at all
			if rev := i + 2; rev < len(h.firstAt) {
				took = h.firstAt[rev].Sub(changeTime)
			}
			h.mu.Unlock()
			worst = max(worst, took)
		}
		delays = append(delays, worst.Round(time.Millisecond))
	}
	f.stop()
	return delays
}

// working reports whether calls are still being processed, including abandoned ones.
func (s *overloadedService) working() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy > 0 || len(s.queued) > 0
}

// All edge nodes receive each change within maxChangeDelay of the moment that the service has it and can be
// reached, even after an outage and though the service processes only a few calls at once.
func TestOverloadedService(t *testing.T) {
	workers := map[overloadBehavior]int{refuseCalls: 2, queueCalls: 2, dropCalls: 3}
	for _, onOverload := range []overloadBehavior{refuseCalls, queueCalls, dropCalls} {
		for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond,
			8 * time.Second} {
			t.Run(fmt.Sprintf("%s, outage of %v", onOverload, outage), func(t *testing.T) {
				for seed := range uint64(6) {
					synctest.Test(t, func(t *testing.T) {
						s := &overloadedService{onOverload: onOverload, workers: workers[onOverload],
							callDuration: 50 * time.Millisecond, rev: 1, changed: make(chan struct{})}
						delays := runOverloadScenario(t, s, 24, outage, seed)
						t.Logf("seed %d: received by all %v after the changes", seed, delays)
						for i, took := range delays {
							if took > maxChangeDelay {
								t.Errorf("seed %d, change %d: received by all only after %v", seed, i, took)
							}
						}
					})
				}
			})
		}
	}
}

// A change of a service that responds just within the call timeout is received within maxChangeDelay,
// although some calls have a shorter timeout.
func TestSlowServiceIsHeard(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s := &overloadedService{onOverload: queueCalls, workers: 4, callDuration: 1900 * time.Millisecond,
				rev: 1, changed: make(chan struct{})}
			for i, took := range runOverloadScenario(t, s, 1, 2500*time.Millisecond, seed) {
				if took > maxChangeDelay {
					t.Errorf("seed %d, change %d: received only after %v", seed, i, took)
				}
			}
		})
	}
}

// When edge nodes without a list restart together, nine in ten receive the list within readyWithin from a
// service that processes only a few calls at once.
func TestSimultaneousRestartsGetList(t *testing.T) {
	const nodes, readyWithin = 60, 10 * time.Second
	for _, onOverload := range []overloadBehavior{refuseCalls, queueCalls, dropCalls} {
		for seed := range uint64(6) {
			synctest.Test(t, func(t *testing.T) {
				s := &overloadedService{onOverload: onOverload, workers: 3,
					callDuration: 50 * time.Millisecond, rev: 1, changed: make(chan struct{})}
				f := newPollingFleet(t, s, nodes, seed)
				time.Sleep(readyWithin)
				ready := 0
				for _, h := range f.logs {
					h.mu.Lock()
					if len(h.firstAt) > 0 {
						ready++
					}
					h.mu.Unlock()
				}
				f.stop()
				if ready*10 < nodes*9 {
					t.Errorf("%s, seed %d: %d of %d edge nodes have a list after %v", onOverload, seed, ready,
						nodes, readyWithin)
				}
			})
		}
	}
}

// Like TestOverloadedService, with a service that processes two calls at once and drops all others.
func TestServiceThatSwallowsAllButTwoIsHeard(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 8 * time.Second} {
		t.Run(fmt.Sprintf("outage of %v", outage), func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(40) {
				synctest.Test(t, func(t *testing.T) {
					s := &overloadedService{onOverload: dropCalls, workers: 2,
						callDuration: 50 * time.Millisecond, rev: 1, changed: make(chan struct{})}
					for i, took := range runOverloadScenario(t, s, 24, outage, seed) {
						if worst = max(worst, took); took > maxChangeDelay {
							t.Errorf("seed %d, change %d: received by all only after %v", seed, i, took)
						}
					}
				})
			}
			t.Logf("longest delay until all received a change: %v", worst)
		})
	}
}
