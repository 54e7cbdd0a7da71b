package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulated fleet.
const (
	peerDelay       = 20 * ms  // of a datagram
	replyDelay      = 2 * ms   // of an outcome
	meanServiceTime = 100 * ms // mean work of a request on one core
	maxQueued       = 6        // requests that a server holds beyond its cores before it refuses others
	fleetServers    = 18
	returningCold   = 6 // servers of the fleet that restart
	joiningCold     = 2 // new servers
	coldFrom        = 4 * time.Second
	burstUntil      = 9 * time.Second
	runUntil        = 12 * time.Second
	quietLoad       = 0.6 // request rate over the capacity of all servers when warm
	burstLoad       = 1.3
)

// fleetEvent is an event of the simulated fleet.
type fleetEvent struct {
	at  time.Duration
	seq int // order of events at equal times
	run func()
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

// queueServer processes requests on its cores, more slowly while it is cold, and refuses requests beyond
// its queue limit.
type queueServer struct {
	entry       Server
	coreFreeAt  []time.Duration // time at which each core is idle
	arrivals    []time.Duration // arrivals within the last OverloadTime
	queued      int
	maxLoad     float64 // maximum of arrivals, relative to the limit with its tolerance
	maxArrivals int     // maximum of arrivals, as a number

	coldSends    []coldArrival // arrivals within the last OverloadTime, while it is cold
	maxColdSends []coldArrival // the same when their number was at its maximum
	receivedCold float64       // requests while it was cold
}

// coldArrival is a request at a cold server: the gateway that sent it, and the event that led to it.
type coldArrival struct {
	gateway int
	event   string
	attempt int
}

// describeSenders describes which gateways sent the requests, and at which events.
func describeSenders(sends []coldArrival) string {
	gateways, events, furtherAttempts := map[int]int{}, map[string]int{}, 0
	for _, s := range sends {
		gateways[s.gateway]++
		events[s.event]++
		if s.attempt > 0 {
			furtherAttempts++
		}
	}
	maxPerGateway := 0
	for _, n := range gateways {
		maxPerGateway = max(maxPerGateway, n)
	}
	return fmt.Sprintf("from %d gateways, at most %d from one, at %v, %d further attempts", len(gateways),
		maxPerGateway, events, furtherAttempts)
}

// burstFleet is a fleet of gateways with simulated servers, in simulated time.
type burstFleet struct {
	t            testing.TB
	set          Settings
	cores        int  // of each server
	serverCount  int  // number of servers before others join
	skewed       bool // a tenth of the gateways get half of the requests
	rng          *rand.Rand
	now          time.Duration
	events       fleetEvents
	lastSeq      int
	gateways     []*Gateway
	servers      map[ServerID]*queueServer
	attempts     map[RequestID]int
	lastID       RequestID
	sent         int
	refused      int    // attempts that servers refused
	currentEvent string // type of the event being handled
}

func newBurstFleet(t testing.TB, gateways, cores int, set Settings, seed uint64) *burstFleet {
	t.Helper()
	return newBurstFleetOfSize(t, gateways, cores, fleetServers, set, seed)
}

// newBurstFleetOfSize is newBurstFleet with a given number of servers.
func newBurstFleetOfSize(t testing.TB, gateways, cores, servers int, set Settings, seed uint64) *burstFleet {
	t.Helper()
	f := &burstFleet{t: t, set: set, cores: cores, serverCount: servers, rng: rand.New(rand.NewPCG(seed, 26)),
		now: time.Second, servers: map[ServerID]*queueServer{}, attempts: map[RequestID]int{}}
	list := testServers(servers)
	for _, entry := range list {
		f.servers[entry.ID] = &queueServer{entry: entry, coreFreeAt: make([]time.Duration, cores)}
	}
	for i := range gateways {
		own := set
		own.Self, own.Gateways = i, gateways
		g, err := New(own, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		f.handle(i, ServerListUpdate{Kind: FullList, Servers: list})
	}
	return f
}

func (f *burstFleet) after(d time.Duration, do func()) {
	f.lastSeq++
	heap.Push(&f.events, fleetEvent{f.now + d, f.lastSeq, do})
}

// handle passes an event to a gateway and executes its actions.
func (f *burstFleet) handle(i int, ev Event) {
	f.currentEvent = fmt.Sprintf("%T", ev)
	for _, a := range f.gateways[i].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			f.after(a.After, func() { f.handle(i, Timer{Token: a.Token}) })
		case SendMessage:
			for to := range f.gateways {
				if to == a.To || a.To < 0 && to != i {
					f.after(peerDelay, func() { f.handle(to, PeerMessage{From: i, Data: a.Data}) })
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
	done := f.enqueue(f.servers[s.Server], coldArrival{i, f.currentEvent, attempt})
	if done == 0 {
		f.refused++
		code, done = Full, f.now
	}
	f.after(done+replyDelay-f.now, func() {
		f.handle(i, Outcome{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: f.now - sent,
			Answered: code == OK})
	})
}

// warmUpFraction returns a server's warm-up fraction by the settings.
func (f *burstFleet) warmUpFraction(s *queueServer) float64 {
	if !s.entry.HasStart {
		return 1
	}
	age := float64(f.now-s.entry.Start) / float64(f.set.WarmUpTime)
	return min(1, f.set.MinWarmUpFraction+(1-f.set.MinWarmUpFraction)*age)
}

// enqueue adds a request to a server's queue and returns the time of its answer, or 0 if it is refused.
func (f *burstFleet) enqueue(s *queueServer, from coldArrival) time.Duration {
	warmUp := f.warmUpFraction(s)
	if warmUp < 1 {
		f.recordColdArrival(s, warmUp, from)
	}
	if s.queued >= f.cores+maxQueued {
		return 0
	}
	core := 0
	for k := range s.coreFreeAt {
		if s.coreFreeAt[k] < s.coreFreeAt[core] {
			core = k
		}
	}
	work := time.Duration((0.5 + f.rng.Float64()) * float64(meanServiceTime) / warmUp)
	s.coreFreeAt[core] = max(s.coreFreeAt[core], f.now) + work
	s.queued++
	f.after(s.coreFreeAt[core]-f.now, func() { s.queued-- })
	return s.coreFreeAt[core]
}

// recordColdArrival compares a cold server's arrivals with the load at which it fails. The tolerance for
// chance is twice the square root of that number, and two more.
func (f *burstFleet) recordColdArrival(s *queueServer, warmUp float64, from coldArrival) {
	s.arrivals, s.coldSends = append(s.arrivals, f.now), append(s.coldSends, from)
	for f.now-s.arrivals[0] > f.set.OverloadTime {
		s.arrivals, s.coldSends = s.arrivals[1:], s.coldSends[1:]
	}
	handled := f.handledLoad(warmUp)
	tolerance := 2*math.Sqrt(handled) + 2
	s.maxLoad = max(s.maxLoad, float64(len(s.arrivals))/(handled+tolerance))
	if s.receivedCold++; len(s.arrivals) > s.maxArrivals {
		s.maxArrivals, s.maxColdSends = len(s.arrivals), slices.Clone(s.coldSends)
	}
}

// handledLoad returns the number of requests within OverloadTime at which a server fails by the settings.
func (f *burstFleet) handledLoad(warmUp float64) float64 {
	return f.set.OverloadMultiple * float64(f.cores) / meanServiceTime.Seconds() * warmUp *
		f.set.OverloadTime.Seconds()
}

// coldUtilization returns the requests that the cold servers got, over those that they could have
// processed.
func (f *burstFleet) coldUtilization() float64 {
	received, possible := 0.0, 0.0
	for _, s := range f.servers {
		if s.entry.HasStart {
			received += s.receivedCold
			mean := (f.warmUpFraction(s) + f.set.MinWarmUpFraction) / 2
			possible += mean * float64(f.cores) / meanServiceTime.Seconds() *
				(f.now - s.entry.Start).Seconds()
		}
	}
	return received / possible
}

// arrive sends requests to random gateways, at a higher rate while servers are cold.
func (f *burstFleet) arrive() {
	rate := quietLoad
	if f.now >= coldFrom && f.now < burstUntil {
		rate = burstLoad
	}
	rate *= float64(f.serverCount*f.cores) / meanServiceTime.Seconds()
	f.lastID++
	id, i := f.lastID, f.rng.IntN(len(f.gateways))
	if f.skewed && f.rng.IntN(2) == 0 {
		i = f.rng.IntN(max(1, len(f.gateways)/10))
	}
	remaining := 2 * time.Second
	f.handle(i, Request{ID: id, Customer: fmt.Sprint(id % 40), Plan: "free", Class: "safe", Units: 1,
		Remaining: remaining, Spread: len(f.gateways)})
	f.after(remaining, func() { f.handle(i, ClientDisconnected{ID: id}) })
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

// startCold restarts some servers and adds others, all cold, and updates all gateways' server lists.
func (f *burstFleet) startCold() {
	var changed []Server
	returning := returningCold * f.serverCount / fleetServers
	for k := range returning + joiningCold {
		entry := Server{ID: ServerID(k*f.serverCount/returning + 1), Zone: "a", Cell: k, Weight: 1,
			HasStart: true, Start: f.now}
		if k >= returning {
			entry.ID = ServerID(f.serverCount + k + 1)
		}
		f.servers[entry.ID] = &queueServer{entry: entry, coreFreeAt: make([]time.Duration, f.cores)}
		changed = append(changed, entry)
	}
	for i := range f.gateways {
		f.after(peerDelay, func() { f.handle(i, ServerListUpdate{Kind: Changes, Servers: changed}) })
	}
}

func (f *burstFleet) run() {
	f.after(0, f.arrive)
	f.after(coldFrom-f.now, f.startCold)
	for f.now < runUntil {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
}

// All gateways together don't overload a cold server, even in a burst that exceeds the capacity of the warm
// servers, with fleet sizes on both sides of the limit for reports from all to all.
//
// The failure occurred with 14, 20 and 30 gateways and servers of one core, which got up to 1.53 times
// the limit that recordColdArrival sets. In the worst OverloadTime each request came from another gateway
// ("21 requests, from 21 gateways, at most 1 from one, at Outcome:16 Request:3 Timer:2"): each gateway was
// allowed one request per OverloadTime, however small its share of what the server handles, and most used
// it, since held requests choose a server again at each outcome and tick.
func TestColdServersHandleAllGateways(t *testing.T) {
	for _, server := range []struct {
		cores        int
		multiple     float64
		overloadTime time.Duration
	}{{1, 2, time.Second}, {2, 3, 1500 * ms}} {
		for _, gateways := range []int{8, 13, 14, 20, 30} {
			t.Run(fmt.Sprintf("%d cores, %d gateways", server.cores, gateways), func(t *testing.T) {
				for seed := range uint64(5) {
					set := baseSettings()
					set.DatagramsPerSecond = 100
					set.OverloadMultiple, set.OverloadTime = server.multiple, server.overloadTime
					f := newBurstFleet(t, gateways, server.cores, set, seed+1)
					f.run()
					worst := 0.0
					for id, s := range f.servers {
						worst = max(worst, s.maxLoad)
						if s.maxLoad > 1 {
							t.Errorf("seed %d, server %d: %d requests within %v, %.2f times its limit, %s",
								seed, id, s.maxArrivals, server.overloadTime, s.maxLoad,
								describeSenders(s.maxColdSends))
						}
					}
					t.Logf("seed %d: %d sent, %d refused, cold servers: peak load %.2f, use %.2f",
						seed, f.sent, f.refused, worst, f.coldUtilization())
				}
			})
		}
	}
}

// Cold servers are not overloaded either with many more gateways, where each gateway uses a subset of
// the servers, or where the requests are spread unevenly. The failure occurred with 300 gateways, which
// sent a cold server up to 1.89 times that limit.
func TestColdServersHandleManyGateways(t *testing.T) {
	for _, c := range []struct {
		gateways, servers, cores int
		skewed                   bool
	}{{14, 18, 1, true}, {30, 18, 1, true}, {60, 18, 1, false}, {300, 18, 1, false}, {300, 18, 1, true},
		{300, 100, 1, false}, {300, 100, 2, true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			set := baseSettings()
			set.DatagramsPerSecond = 100
			f := newBurstFleetOfSize(t, c.gateways, c.cores, c.servers, set, 1)
			f.skewed = c.skewed
			f.run()
			worst := 0.0
			for id, s := range f.servers {
				if worst = max(worst, s.maxLoad); s.maxLoad > 1 {
					t.Errorf("server %d: up to %d requests, %.2f times its limit, %s", id,
						s.maxArrivals, s.maxLoad, describeSenders(s.maxColdSends))
				}
			}
			t.Logf("%d sent, %d refused, cold servers: peak load %.2f, use %.2f",
				f.sent, f.refused, worst, f.coldUtilization())
		})
	}
}
