package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Figures of the simulated fleet that TestColdServersBearAllGateways plays.
const (
	peerDelay     = 20 * ms  // a datagram's way
	replyDelay    = 2 * ms   // an outcome's way back
	serverWork    = 100 * ms // mean work of a request on one core
	mostQueued    = 6        // requests that a server holds beyond its cores before it turns others away
	fleetServers  = 18
	returningCold = 6 // of them come back cold
	joiningCold   = 2 // beside them, new
	coldFrom      = 4 * time.Second
	burstUntil    = 9 * time.Second
	playUntil     = 12 * time.Second
	quietLoad     = 0.6 // requests offered, as a part of what all servers bear when warm
	burstLoad     = 1.3
)

// fleetEvent is something that happens at a time of the simulated fleet.
type fleetEvent struct {
	at  time.Duration
	seq int // equal times: in the order entered
	do  func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }
func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(x any)   { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// queueServer works requests off on its cores, slower while it is cold, and turns away
// what would wait behind too many.
type queueServer struct {
	line    Server
	free    []time.Duration // when each core has done its work
	came    []time.Duration // what came within FallTime
	queued  int
	reached float64 // the most of what came, as a part of the count at which it falls
	most    int     // that count
}

// burstFleet is a fleet of gateways before simulated servers, in simulated time.
type burstFleet struct {
	t        testing.TB
	set      Settings
	cores    int // of each server
	rng      *rand.Rand
	now      time.Duration
	events   fleetEvents
	entered  int
	gateways []*Gateway
	servers  map[ServerID]*queueServer
	attempts map[RequestID]int
	ids      RequestID
	sent     int
	turned   int // attempts that servers turned away
}

func newBurstFleet(t testing.TB, gateways, cores int, set Settings, seed uint64) *burstFleet {
	t.Helper()
	f := &burstFleet{t: t, set: set, cores: cores, rng: rand.New(rand.NewPCG(seed, 26)), now: time.Second,
		servers: map[ServerID]*queueServer{}, attempts: map[RequestID]int{}}
	list := fleet(fleetServers)
	for _, line := range list {
		f.servers[line.ID] = &queueServer{line: line, free: make([]time.Duration, cores)}
	}
	for i := range gateways {
		own := set
		own.Me, own.Gateways = i, gateways
		g, err := New(own, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		f.tell(i, Members{Kind: Whole, Servers: list})
	}
	return f
}

func (f *burstFleet) after(d time.Duration, do func()) {
	f.entered++
	heap.Push(&f.events, fleetEvent{f.now + d, f.entered, do})
}

// tell hands a gateway an event and carries out what it wants done.
func (f *burstFleet) tell(i int, ev Event) {
	for _, a := range f.gateways[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.after(a.After, func() { f.tell(i, Timer{Token: a.Token}) })
		case Tell:
			for to := range f.gateways {
				if to == a.To || a.To < 0 && to != i {
					f.after(peerDelay, func() { f.tell(to, PeerMessage{From: i, Data: a.Data}) })
				}
			}
		case Send:
			f.send(i, a)
		}
	}
}

func (f *burstFleet) send(i int, s Send) {
	f.sent++
	sent, attempt, code := f.now, f.attempts[s.ID], OK
	f.attempts[s.ID]++
	done := f.come(f.servers[s.Server])
	if done == 0 {
		f.turned++
		code, done = Full, f.now
	}
	f.after(done+replyDelay-f.now, func() {
		f.tell(i, Outcome{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: f.now - sent, Over: code == OK})
	})
}

// warmth is the part of its capacity that a server has, and that the settings promise.
func (f *burstFleet) warmth(s *queueServer) float64 {
	if !s.line.HasStart {
		return 1
	}
	age := float64(f.now-s.line.Start) / float64(f.set.WarmWithin)
	return min(1, f.set.ColdShare+(1-f.set.ColdShare)*age)
}

// come has a request come to a server and returns when it is done; 0: turned away.
func (f *burstFleet) come(s *queueServer) time.Duration {
	warmth := f.warmth(s)
	if warmth < 1 {
		f.judge(s, warmth)
	}
	if s.queued >= f.cores+mostQueued {
		return 0
	}
	core := 0
	for k := range s.free {
		if s.free[k] < s.free[core] {
			core = k
		}
	}
	work := time.Duration((0.5 + f.rng.Float64()) * float64(serverWork) / warmth)
	s.free[core] = max(s.free[core], f.now) + work
	s.queued++
	f.after(s.free[core]-f.now, func() { s.queued-- })
	return s.free[core]
}

// judge counts what came to a cold server against what makes it fall.
func (f *burstFleet) judge(s *queueServer, warmth float64) {
	s.came = append(s.came, f.now)
	for f.now-s.came[0] > f.set.FallTime {
		s.came = s.came[1:]
	}
	bears := f.set.FallMultiple * float64(f.cores) / serverWork.Seconds() * warmth * f.set.FallTime.Seconds()
	chance := 2*math.Sqrt(bears) + 2
	s.reached = max(s.reached, float64(len(s.came))/(bears+chance))
	s.most = max(s.most, len(s.came))
}

// arrive has requests come to the gateways at random, a burst while servers are cold.
func (f *burstFleet) arrive() {
	rate := quietLoad
	if f.now >= coldFrom && f.now < burstUntil {
		rate = burstLoad
	}
	rate *= fleetServers * float64(f.cores) / serverWork.Seconds()
	f.ids++
	id, i := f.ids, f.rng.IntN(len(f.gateways))
	remaining := 2 * time.Second
	f.tell(i, Request{ID: id, Customer: fmt.Sprint(id % 40), Plan: "free", Class: "safe", Units: 1, Remaining: remaining,
		Spread: len(f.gateways)})
	f.after(remaining, func() { f.tell(i, Gone{ID: id}) })
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

// startCold has servers come back and others join, all cold, and tells all gateways.
func (f *burstFleet) startCold() {
	var changed []Server
	for k := range returningCold + joiningCold {
		line := Server{ID: ServerID(k*fleetServers/returningCold + 1), Zone: "a", Cell: k, Weight: 1, HasStart: true, Start: f.now}
		if k >= returningCold {
			line.ID = ServerID(fleetServers + k + 1)
		}
		f.servers[line.ID] = &queueServer{line: line, free: make([]time.Duration, f.cores)}
		changed = append(changed, line)
	}
	for i := range f.gateways {
		f.after(peerDelay, func() { f.tell(i, Members{Kind: Changes, Servers: changed}) })
	}
}

func (f *burstFleet) play() {
	f.after(0, f.arrive)
	f.after(coldFrom-f.now, f.startCold)
	for f.now < playUntil {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
}

// A cold server bears the sum of what all gateways send: what makes it fall, and twice
// its root and two more that are put down to chance. It holds in a burst that the warm
// servers can't take, and on both sides of the size up to which all report to all.
func TestColdServersBearAllGateways(t *testing.T) {
	for _, server := range []struct {
		cores    int
		multiple float64
		within   time.Duration
	}{{1, 2, time.Second}, {2, 3, 1500 * ms}} {
		for _, gateways := range []int{8, 13, 14, 20, 30} {
			t.Run(fmt.Sprintf("%d cores, %d gateways", server.cores, gateways), func(t *testing.T) {
				for seed := range uint64(5) {
					set := base()
					set.DatagramsPerSecond = 100
					set.FallMultiple, set.FallTime = server.multiple, server.within
					f := newBurstFleet(t, gateways, server.cores, set, seed+1)
					f.play()
					worst := 0.0
					for id, s := range f.servers {
						worst = max(worst, s.reached)
						if s.reached > 1 {
							t.Errorf("seed %d, server %d: up to %d requests within %v, %.2f times what it bears", seed, id, s.most,
								server.within, s.reached)
						}
					}
					t.Logf("seed %d: %d sent, %d turned away, most at a cold server %.2f of what it bears", seed, f.sent, f.turned, worst)
				}
			})
		}
	}
}
