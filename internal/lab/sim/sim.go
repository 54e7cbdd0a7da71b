// Package sim runs a world in simulated time. Each edge node has its own decision module, with no shared
// state between them. Clients, the front-end load balancer, the network, servers and discovery are models.
// Equal worlds and seeds give byte-identical results. A run uses one goroutine, and runs share nothing.
package sim

import (
	"cmp"
	"math/rand/v2"
	"time"

	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// Decider makes the decisions of one edge node, as policy.Gateway does.
type Decider interface {
	Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action
}

// Maker creates the decider of an edge node's process. truth is for baselines that use knowledge which no
// real edge node has; the module doesn't get it.
type Maker func(me int, w *world.World, seed uint64, truth *Truth) (Decider, error)

// Module creates the project's own decision module.
func Module(me int, w *world.World, seed uint64, _ *Truth) (Decider, error) {
	s, err := w.Settings(me)
	if err != nil {
		return nil, err
	}
	return policy.New(s, seed)
}

// epoch is the clock time at which a run begins, so that start times before it are not negative.
const epoch = time.Hour

// Sim is one run.
type Sim struct {
	world *world.World
	seed  uint64
	make  Maker
	now   time.Duration
	queue queue
	seq   uint64
	Book  *tally.Book
	Trace *trace.Log // nil: no trace is kept
	Truth Truth
	Check func() error // called once per simulated second; an error ends the run

	workRand, netRand, datagramRand, clientRand, faultRand *rand.Rand

	nodes        []*node
	servers      []*server
	byID         map[policy.ServerID]*server
	customers    []*customer
	population   *world.Population
	inFlight     int // attempts in flight
	lastTryID    policy.RequestID
	requestCount int
	openRequests int // client requests that have not ended
	err          error

	// Effects of the active faults.
	cutBoth, cutOut       map[int]bool // zones
	receivesNone          map[int]bool // edge nodes
	datagramLoss          float64
	answerLoss, resetRate float64 // probability that an answer is lost, that a connection is reset
	sharedSlowdown        float64 // slowdown factor of all servers
	discoveryDelay        time.Duration
	discoveryDownUntil    time.Duration // discovery does not answer until this time
	eagerness             float64
	callsServedAt         time.Duration // when discovery has served all calls it has accepted
}

// customer is a customer with its true quota.
type customer struct {
	index   int
	key     string
	plan    int
	first   int
	spread  int
	account *tally.Account
}

// New creates a run of a world that has passed Check.
func New(w *world.World, seed uint64, newDecider Maker) *Sim {
	s := &Sim{world: w, seed: seed, make: newDecider, now: epoch, Book: tally.NewBook(w),
		byID: map[policy.ServerID]*server{}, datagramLoss: w.Net.Loss, sharedSlowdown: 1,
		eagerness: 1, cutBoth: map[int]bool{}, cutOut: map[int]bool{}, receivesNone: map[int]bool{},
		workRand: world.Stream(seed, world.StreamWork),
		netRand:  world.Stream(seed, world.StreamNet), datagramRand: world.Stream(seed, world.StreamDatagrams),
		clientRand: world.Stream(seed, world.StreamClients),
		faultRand:  world.Stream(seed, world.StreamFaults)}
	s.Truth.sim = s
	s.population = w.Draw(seed)
	for i, size := range s.population.ServerSizes {
		s.addServer(i, size)
	}
	for i, p := range s.population.Customers {
		s.customers = append(s.customers, &customer{index: i, key: p.Key, plan: p.Plan, first: p.First,
			spread: p.Spread, account: tally.NewAccount(&w.Plans[p.Plan], s.now)})
	}
	for i := range w.Nodes {
		s.nodes = append(s.nodes, &node{sim: s, index: i, zone: w.ZoneOf(i),
			rng: world.Stream(seed, world.StreamNodes+i)})
	}
	return s
}

// at schedules a call; a time in the past means now.
func (s *Sim) at(t time.Duration, do func()) {
	s.seq++
	s.queue.push(event{max(t, s.now), s.seq, do})
}

// after schedules a call after d.
func (s *Sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// elapsed returns the time since the run began.
func (s *Sim) elapsed() time.Duration { return s.now - epoch }

// Run runs the simulation to its end. arrivals gives the times of new client requests since the start of
// the run. step, if not nil, is called every simulated second.
func (s *Sim) Run(arrivals load.Source, step func(second int)) (*tally.Result, error) {
	for _, n := range s.nodes {
		s.at(s.now+time.Duration(n.rng.Int64N(int64(50*time.Millisecond))), n.start)
	}
	for i := range s.world.Faults {
		s.scheduleFault(&s.world.Faults[i])
	}
	var next func()
	next = func() {
		s.startRequest(s.drawCustomer())
		if t, more := arrivals.Next(); more && t < s.world.For.D() {
			s.at(epoch+t, next)
		}
	}
	if t, more := arrivals.Next(); more {
		s.at(epoch+startupTime+t, next)
	}
	s.every(time.Second, func() {
		if s.Check != nil {
			s.err = cmp.Or(s.err, s.Check())
		}
		if step != nil {
			step(int(s.elapsed() / time.Second))
		}
	})
	// The run goes on until no client waits; the longest deadline bounds that time.
	longest := time.Duration(0)
	for i := range s.world.Classes {
		longest = max(longest, s.world.Classes[i].Deadline.D())
	}
	end := epoch + s.world.For.D() + longest + time.Second
	for len(s.queue) > 0 && s.err == nil {
		if t := s.queue[0].at; t > end || t > epoch+s.world.For.D() && s.openRequests == 0 {
			break
		}
		e := s.queue.pop()
		s.now = e.at
		e.do()
	}
	if s.err != nil {
		return nil, s.err
	}
	s.recordDatagramPeak()
	return s.Book.Result(s.seed), nil
}

// startupTime is the time that edge nodes have to start before the first client request.
const startupTime = 300 * time.Millisecond

// every calls do at a fixed interval until the end of the run.
func (s *Sim) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		if s.elapsed() < s.world.For.D() {
			s.after(d, tick)
		}
	}
	s.after(d, tick)
}

// drawCustomer draws a customer, weighted by demand.
func (s *Sim) drawCustomer() *customer { return s.customers[s.population.DrawCustomer(s.clientRand)] }

// recordDatagramPeak enters the peak datagram rate of the edge nodes into the book.
func (s *Sim) recordDatagramPeak() {
	for _, n := range s.nodes {
		s.Book.DatagramPeak = max(s.Book.DatagramPeak, n.datagramPeak)
	}
}

// exponential returns an exponentially distributed time with the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
