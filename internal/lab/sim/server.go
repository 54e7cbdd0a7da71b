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

// server is a server of the emulated platform.
type server struct {
	sim           *Sim
	index         int
	id            policy.ServerID
	zone          int
	cell          int
	weight        float64 // as in the list
	state         policy.State
	incarnation   int     // of its process
	crashed       bool    // no process: connections are refused
	unresponsive  bool    // answers nothing and accepts no connection
	slowdown      float64 // factor on the duration of all work
	errorRate     float64 // fraction of requests that it answers with an error at once
	corruptRate   float64 // fraction of its answers that it corrupts
	conns         int
	processor     *lending.Processor
	overloadCheck *lending.OverloadCheck
}

// Now returns the simulated time. With After it makes a Sim the clock of its servers.
func (s *Sim) Now() time.Duration { return s.now }

// After calls do after d.
func (s *Sim) After(d time.Duration, do func()) { s.after(d, do) }

// attempt is one transmission of a try to a server.
type attempt struct {
	try          *try
	number       int
	srv          *server
	incarnation  int // of the server's process
	sent         time.Duration
	until        time.Duration
	newConn      bool // on a new connection
	received     bool // the server has received it
	done         bool // the edge node knows its outcome
	connReleased bool // its connection is closed or back in the idle pool
	job          *lending.Job
}

func zoneName(z int) string { return world.ZoneName(z) }

// addServer adds a fully warm server. size is its capacity relative to the mean.
func (s *Sim) addServer(zoneIndex int, size float64) *server {
	index := len(s.servers)
	srv := &server{sim: s, index: index, id: policy.ServerID(uint32(index+1) * 2654435761),
		zone: s.world.ZoneOf(zoneIndex), slowdown: 1, weight: size,
		processor:     lending.New(s, &s.world.Server, s.world.Cores()*size),
		overloadCheck: lending.NewOverloadCheck(s.world)}
	srv.cell = srv.zone*1000 + index/4
	srv.setSlowdown(1)
	s.servers = append(s.servers, srv)
	s.byID[srv.id] = srv
	return srv
}

// listEntry returns the server's entry in the discovery list.
func (v *server) listEntry() policy.Server {
	return policy.Server{ID: v.id, Zone: zoneName(v.zone), Cell: v.cell, State: v.state,
		HasStart: v.processor.Start > 0, Start: v.processor.Start, Weight: v.weight}
}

// receive handles an attempt that has arrived whole.
func (v *server) receive(a *attempt) {
	s := v.sim
	class := a.try.request.classOf(s)
	// Log-normal around the class's mean.
	sigma := s.world.Server.Spread
	work := class.Work.D().Seconds() * math.Exp(sigma*s.workRand.NormFloat64()-sigma*sigma/2)
	if a.newConn {
		work += s.world.Server.Handshake.D().Seconds()
	}
	v.checkOverload(a, work)
	a.received = true
	s.countAttempt(a)
	working, waiting := v.processor.Load()
	s.addNote(a.try.request, a.try.node.index, trace.Arrived, "server %d: %d at work, %d waiting", v.index,
		working, waiting)
	switch {
	case v.crashed:
		s.returnAnswer(a, policy.Reset, false)
		return
	case v.state != policy.Running:
		s.returnAnswer(a, policy.Full, true)
		return
	case s.workRand.Float64() < v.errorRate:
		work *= errorWorkFraction
		s.Book.Worked += work
		s.Book.Wasted += work
		s.returnAnswer(a, policy.Error, true)
		return
	}
	a.job = &lending.Job{Work: work, Until: a.until}
	a.job.Done = func(end lending.End) { v.finishJob(a, end) }
	if !v.processor.Offer(a.job) {
		s.returnAnswer(a, policy.Full, true)
	}
}

// errorWorkFraction is the fraction of the work that an immediate error costs.
const errorWorkFraction = 0.02

// finishJob handles the end of an attempt's work.
func (v *server) finishJob(a *attempt, end lending.End) {
	s := v.sim
	switch end {
	case lending.Expired:
		s.returnAnswer(a, policy.Full, true)
		return
	case lending.Aborted:
		if !a.done {
			s.returnAnswer(a, policy.Reset, false)
		}
		return
	}
	s.Book.Worked += a.job.Work
	switch u := s.workRand.Float64(); {
	case end == lending.Unneeded || a.done:
		s.Book.Wasted += a.job.Work
	case u < v.corruptRate:
		s.Book.Wasted += a.job.Work
		s.returnAnswer(a, policy.Error, false)
	case s.netRand.Float64() < s.answerLoss:
		s.Book.Wasted += a.job.Work // no answer arrives and the connection stays open
	default:
		s.returnAnswer(a, policy.OK, true)
	}
}

// checkOverload checks whether an attempt overloads a cold server, which then crashes.
func (v *server) checkOverload(a *attempt, work float64) {
	if v.crashed {
		return
	}
	overloaded, sendersKnew := v.overloadCheck.RecordAttempt(v.processor, work,
		a.try.node.knownStarts[v.id] == v.processor.Start)
	if sendersKnew {
		v.sim.Book.Broken(tally.Cold, formatID(a.try.id), a.try.node.index, v.sim.elapsed(),
			"server %d pushed over %v after its start, at %.0f%% of its capacity", v.index,
			v.sim.now-v.processor.Start, 100*v.processor.WarmUpFraction())
	}
	if overloaded {
		v.crash()
	}
}

// crash ends the process: requests at work and queued fail, and idle connections break.
func (v *server) crash() {
	v.crashed = true
	v.resetConns()
}

// resetConns breaks all connections.
func (v *server) resetConns() {
	jobs := v.processor.Clear()
	v.conns = 0
	v.incarnation++
	for _, j := range jobs {
		if !j.Abandoned {
			j.Done(lending.Aborted)
		}
	}
}

// restart starts a new, cold process under the same id and address.
func (v *server) restart() {
	v.resetConns()
	v.crashed, v.unresponsive, v.state = false, false, policy.Running
	v.processor.Start, v.overloadCheck = v.sim.now, lending.NewOverloadCheck(v.sim.world)
	v.sim.publishChange(v)
}

// setSlowdown sets the slowdown factor of a server.
func (v *server) setSlowdown(slowdown float64) {
	v.slowdown = slowdown
	v.processor.SetSlowdown(slowdown * v.sim.sharedSlowdown)
}
