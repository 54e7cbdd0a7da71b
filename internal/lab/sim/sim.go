// Package sim plays a world in simulated time: one deciding module for each edge node,
// nothing shared between them, and round them clients, the front, the network, lending
// servers and discovery as models. Equal worlds and seeds give equal results to the
// byte. A run takes one goroutine; runs share nothing.
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

// Decider decides for one edge node, as policy.Gateway does.
type Decider interface {
	Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action
}

// Maker makes the decider of an edge node's process. truth is for policies that no
// real one can be; the module is not given it.
type Maker func(me int, w *world.World, seed uint64, truth *Truth) (Decider, error)

// Module makes the project's own module.
func Module(me int, w *world.World, seed uint64, _ *Truth) (Decider, error) {
	s, err := w.Settings(me)
	if err != nil {
		return nil, err
	}
	return policy.New(s, seed)
}

// epoch is when the clock of a run begins: start times before it must not be negative.
const epoch = time.Hour

// Sim is one run.
type Sim struct {
	w     *world.World
	seed  uint64
	make  Maker
	now   time.Duration
	queue queue
	seq   uint64
	Book  *tally.Book
	Trace *trace.Log // nil: none is kept
	Truth Truth
	Check func() error // asked now and then; an error ends the run

	work, net, mail, clients, faults *rand.Rand

	nodes     []*node
	servers   []*server
	byID      map[policy.ServerID]*server
	customers []*customer
	drawn     *world.Drawn
	out       int // attempts out
	nextID    policy.RequestID
	nextWant  int
	open      int // requests of clients that have not ended
	err       error

	// Troubles in force.
	cutBoth, cutOut map[int]bool // zones
	deaf            map[int]bool // edge nodes
	loss            float64
	lost, reset     float64 // of answers, of connections
	shared          float64 // slowness of all servers
	late            time.Duration
	down            time.Duration // discovery is silent until then
	eager           float64
	callAt          time.Duration // when discovery has served the calls it has
}

type customer struct {
	no      int
	key     string
	plan    int
	first   int
	spread  int
	account *tally.Account
}

// New builds a run of a world that has passed Check.
func New(w *world.World, seed uint64, mk Maker) *Sim {
	s := &Sim{w: w, seed: seed, make: mk, now: epoch, Book: tally.NewBook(w), byID: map[policy.ServerID]*server{}, loss: w.Net.Loss, shared: 1,
		eager: 1, cutBoth: map[int]bool{}, cutOut: map[int]bool{}, deaf: map[int]bool{}, work: world.Stream(seed, world.StreamWork),
		net: world.Stream(seed, world.StreamNet), mail: world.Stream(seed, world.StreamMail), clients: world.Stream(seed, world.StreamClients), faults: world.Stream(seed, world.StreamFaults)}
	s.Truth.s = s
	s.drawn = w.Draw(seed)
	for i, size := range s.drawn.Sizes {
		s.addServer(i, size)
	}
	for i, p := range s.drawn.People {
		s.customers = append(s.customers, &customer{no: i, key: p.Key, plan: p.Plan, first: p.First, spread: p.Spread,
			account: tally.NewAccount(&w.Plans[p.Plan], s.now)})
	}
	for i := range w.Nodes {
		s.nodes = append(s.nodes, &node{s: s, no: i, zone: w.ZoneOf(i), rng: world.Stream(seed, world.StreamNodes+i)})
	}
	return s
}

// at schedules something; a moment that has passed is now.
func (s *Sim) at(t time.Duration, do func()) {
	s.seq++
	s.queue.push(event{max(t, s.now), s.seq, do})
}

func (s *Sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// since is the time since the run began.
func (s *Sim) since() time.Duration { return s.now - epoch }

// Run plays to the end. arrivals are the times at which clients ask, since the
// beginning. step, if not nil, is called at each second.
func (s *Sim) Run(arrivals load.Source, step func(second int)) (*tally.Result, error) {
	for _, n := range s.nodes {
		s.at(s.now+time.Duration(n.rng.Int64N(int64(50*time.Millisecond))), n.start)
	}
	for i := range s.w.Faults {
		s.schedule(&s.w.Faults[i])
	}
	var next func()
	next = func() {
		s.ask(s.anyone())
		if t, more := arrivals.Next(); more && t < s.w.For.D() {
			s.at(epoch+t, next)
		}
	}
	if t, more := arrivals.Next(); more {
		s.at(epoch+settle+t, next)
	}
	s.every(time.Second, func() {
		if s.Check != nil {
			s.err = cmp.Or(s.err, s.Check())
		}
		if step != nil {
			step(int(s.since() / time.Second))
		}
	})
	// Clients that are still waiting are waited for; none does for longer than the
	// longest deadline.
	longest := time.Duration(0)
	for i := range s.w.Classes {
		longest = max(longest, s.w.Classes[i].Deadline.D())
	}
	end := epoch + s.w.For.D() + longest + time.Second
	for len(s.queue) > 0 && s.err == nil {
		if t := s.queue[0].at; t > end || t > epoch+s.w.For.D() && s.open == 0 {
			break
		}
		e := s.queue.pop()
		s.now = e.at
		e.do()
	}
	if s.err != nil {
		return nil, s.err
	}
	s.finish()
	return s.Book.Result(s.seed), nil
}

// settle is how long edge nodes have to come up before clients do.
const settle = 300 * time.Millisecond

func (s *Sim) every(d time.Duration, do func()) {
	var tick func()
	tick = func() {
		do()
		if s.since() < s.w.For.D() {
			s.after(d, tick)
		}
	}
	s.after(d, tick)
}

// anyone draws a customer by demand.
func (s *Sim) anyone() *customer { return s.customers[s.drawn.Anyone(s.clients)] }

// finish charges what is left: servers' work, mail.
func (s *Sim) finish() {
	for _, n := range s.nodes {
		s.Book.MailPeak = max(s.Book.MailPeak, n.mailPeak)
	}
}

// draw is an exponential time of a given mean.
func draw(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
