package sim

import (
	"math"
	"time"

	"valvering.example/valvering/internal/lab/lending"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// server is a lending server.
type server struct {
	s      *Sim
	no     int
	id     policy.ServerID
	zone   int
	cell   int
	weight float64 // as in the list
	state  policy.State
	inc    int     // incarnation of its process
	dead   bool    // no process: connections are refused
	silent bool    // answers nothing and accepts no connection
	slow   float64 // factor on the duration of all work
	wrong  float64 // fraction of requests that it answers with an error at once
	spoilt float64 // fraction of its answers that it corrupts
	conns  int
	desk   *lending.Desk
	budget *lending.Budget
}

// Now returns the simulated time. With After it makes a Sim the clock of its servers.
func (s *Sim) Now() time.Duration { return s.now }

// After calls do after d.
func (s *Sim) After(d time.Duration, do func()) { s.after(d, do) }

// attempt is one attempt of a try at a server.
type attempt struct {
	t     *try
	no    int
	srv   *server
	inc   int // incarnation of the server's process
	sent  time.Duration
	until time.Duration
	fresh bool // on a new connection
	whole bool // the server has received it
	over  bool // the edge node knows its outcome
	gone  bool // its connection is closed or back in the idle pool
	job   *lending.Job
}

func zoneName(z int) string { return world.ZoneName(z) }

// addServer adds a fully warm server. size is its capacity relative to the mean.
func (s *Sim) addServer(zoneSeed int, size float64) *server {
	no := len(s.servers)
	srv := &server{s: s, no: no, id: policy.ServerID(uint32(no+1) * 2654435761), zone: s.w.ZoneOf(zoneSeed), slow: 1, weight: size,
		desk: lending.New(s, &s.w.Server, s.w.Cores()*size), budget: lending.NewBudget(s.w)}
	srv.cell = srv.zone*1000 + no/4
	srv.retime(1)
	s.servers = append(s.servers, srv)
	s.byID[srv.id] = srv
	return srv
}

// entry returns the server's entry in the discovery list.
func (v *server) entry() policy.Server {
	return policy.Server{ID: v.id, Zone: zoneName(v.zone), Cell: v.cell, State: v.state, HasStart: v.desk.Start > 0, Start: v.desk.Start, Weight: v.weight}
}

// receive handles an attempt that has arrived whole.
func (v *server) receive(a *attempt) {
	s := v.s
	class := a.t.w.classOf(s)
	// Log-normal around the class's mean.
	sigma := s.w.Server.Spread
	work := class.Work.D().Seconds() * math.Exp(sigma*s.work.NormFloat64()-sigma*sigma/2)
	if a.fresh {
		work += s.w.Server.Handshake.D().Seconds()
	}
	v.weigh(a, work)
	a.whole = true
	s.count(a)
	working, waiting := v.desk.Load()
	s.note(a.t.w, a.t.n.no, trace.Arrived, "server %d: %d at work, %d waiting", v.no, working, waiting)
	switch {
	case v.dead:
		s.back(a, policy.Reset, false)
		return
	case v.state != policy.Running:
		s.back(a, policy.Full, true)
		return
	case s.work.Float64() < v.wrong:
		work *= quick
		s.Book.Worked += work
		s.Book.Wasted += work
		s.back(a, policy.Error, true)
		return
	}
	a.job = &lending.Job{Work: work, Until: a.until}
	a.job.Done = func(end lending.End) { v.finish(a, end) }
	if !v.desk.Offer(a.job) {
		s.back(a, policy.Full, true)
	}
}

// quick is the fraction of the work that an immediate error costs.
const quick = 0.02

// finish handles the end of an attempt's work.
func (v *server) finish(a *attempt, end lending.End) {
	s := v.s
	switch end {
	case lending.Over:
		s.back(a, policy.Full, true)
		return
	case lending.Broken:
		if !a.over {
			s.back(a, policy.Reset, false)
		}
		return
	}
	s.Book.Worked += a.job.Work
	switch u := s.work.Float64(); {
	case end == lending.Vain || a.over:
		s.Book.Wasted += a.job.Work
	case u < v.spoilt:
		s.Book.Wasted += a.job.Work
		s.back(a, policy.Error, false)
	case s.net.Float64() < s.lost:
		s.Book.Wasted += a.job.Work // no answer arrives and the connection stays open
	default:
		s.back(a, policy.OK, true)
	}
}

// weigh checks whether an attempt overloads a cold server, which then crashes.
func (v *server) weigh(a *attempt, work float64) {
	if v.dead {
		return
	}
	falls, known := v.budget.Came(v.desk, work, a.t.n.starts[v.id] == v.desk.Start)
	if known {
		v.s.Book.Broken(tally.Cold, name(a.t.id), a.t.n.no, v.s.since(), "server %d pushed over %v after its start, at %.0f%% of its capacity", v.no,
			v.s.now-v.desk.Start, 100*v.desk.Warmth())
	}
	if falls {
		v.die()
	}
}

// die ends the process: requests at work and queued fail, and idle connections break.
func (v *server) die() {
	v.dead = true
	v.reset()
}

// reset breaks all connections.
func (v *server) reset() {
	jobs := v.desk.Clear()
	v.conns = 0
	v.inc++
	for _, j := range jobs {
		if !j.Gone {
			j.Done(lending.Broken)
		}
	}
}

// boot starts a new, cold process under the same id and address.
func (v *server) boot() {
	v.reset()
	v.dead, v.silent, v.state = false, false, policy.Running
	v.desk.Start, v.budget = v.s.now, lending.NewBudget(v.s.w)
	v.s.changed(v)
}

// retime sets the slowdown factor of a server.
func (v *server) retime(slow float64) {
	v.slow = slow
	v.desk.Slow(slow * v.s.shared)
}
