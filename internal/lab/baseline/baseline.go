// Package baseline holds simple policies that the module is measured beside. They
// keep to the rules on answers and on second copies; none talks to another but the
// oracle, which is told the truth.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/sim"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// Names are the policies there are.
var Names = []string{"all", "even", "two", "oracle"}

// What they are, by name.
//
//	all     lets all in, to servers drawn at random
//	even    keeps an even part of each quota and cap at each edge node of a customer
//	two     lets all in, to the less busy of two servers by its own count
//	oracle  sees each quota as it is, and the servers as they were a moment ago

// Maker finds a policy by name; nil: there is none.
func Maker(name string) sim.Maker {
	if !slices.Contains(Names, name) {
		return nil
	}
	return func(me int, w *world.World, seed uint64, truth *sim.Truth) (sim.Decider, error) {
		s, err := w.Settings(me)
		if err != nil {
			return nil, err
		}
		p := &simple{kind: name, set: s, rng: rand.New(rand.NewPCG(seed, 0xba5e)), open: map[policy.RequestID]*request{},
			plans: map[string]*policy.Plan{}, classes: map[string]*policy.Class{}, stores: map[string]*store{}, truth: truth}
		for i := range s.Plans {
			p.plans[s.Plans[i].Name] = &s.Plans[i]
		}
		for i := range s.Classes {
			p.classes[s.Classes[i].Name] = &s.Classes[i]
		}
		return p, nil
	}
}

// simple is any of them.
type simple struct {
	kind    string
	set     policy.Settings
	rng     *rand.Rand
	now     time.Duration
	out     []policy.Action
	servers []*server
	open    map[policy.RequestID]*request
	plans   map[string]*policy.Plan
	classes map[string]*policy.Class
	stores  map[string]*store
	truth   *sim.Truth
}

type server struct {
	policy.Server
	out int
}

type request struct {
	policy.Request
	deadline time.Duration
	attempts int
	srv      *server
	ran      bool
}

// store is an edge node's even part of a customer's quota.
type store struct {
	left float64
	at   time.Duration
	out  int
}

func (p *simple) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	p.now, p.out = now, out
	switch ev := ev.(type) {
	case policy.Request:
		r := &request{Request: ev, deadline: now + ev.Remaining}
		p.open[ev.ID] = r
		if !p.admit(r) || !p.send(r) {
			p.refuse(r)
		}
	case policy.Outcome:
		p.outcome(ev)
	case policy.ClientDisconnected:
		delete(p.open, ev.ID)
	case policy.ServerListUpdate:
		p.members(ev)
	case policy.Shutdown:
		p.out = append(p.out, policy.ShutdownDone{})
	}
	return p.out
}

func (p *simple) members(ev policy.ServerListUpdate) {
	if ev.Kind == policy.WatchFailed {
		return
	}
	if ev.Kind != policy.Changes {
		p.servers = slices.DeleteFunc(p.servers, func(s *server) bool {
			return !slices.ContainsFunc(ev.Servers, func(e policy.Server) bool { return e.ID == s.ID })
		})
	}
	for _, e := range ev.Servers {
		if i := slices.IndexFunc(p.servers, func(s *server) bool { return s.ID == e.ID }); i >= 0 {
			p.servers[i].Server = e
		} else {
			p.servers = append(p.servers, &server{Server: e})
		}
	}
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.State == policy.Removed })
}

// admit says whether a request is let in.
func (p *simple) admit(r *request) bool {
	plan := p.plans[r.Plan]
	if plan == nil {
		return false
	}
	switch p.kind {
	case "oracle":
		return p.truth.Room(r.Customer, r.Units)
	case "even":
		parts := float64(max(1, r.Spread))
		st := p.stores[r.Customer]
		if st == nil {
			st = &store{left: plan.Burst / parts, at: p.now}
			p.stores[r.Customer] = st
		}
		st.left = min(max(plan.Burst/parts, r.Units), st.left+plan.Rate/parts*(p.now-st.at).Seconds())
		st.at = p.now
		if plan.MaxInFlight > 0 && float64(st.out) >= max(1, float64(plan.MaxInFlight)/parts) {
			return false
		}
		if plan.Rate == 0 {
			return true
		}
		if st.left < r.Units {
			return false
		}
		st.left -= r.Units
	}
	return true
}

// send chooses a server: it is false when there is none.
func (p *simple) send(r *request) bool {
	var ok []*server
	for _, s := range p.servers {
		if s.State == policy.Running && s != r.srv {
			ok = append(ok, s)
		}
	}
	if len(ok) == 0 {
		return false
	}
	best := ok[p.rng.IntN(len(ok))]
	switch p.kind {
	case "two":
		if other := ok[p.rng.IntN(len(ok))]; other.out < best.out {
			best = other
		}
	case "oracle":
		low, found := 0.0, false
		for range 8 {
			s := ok[p.rng.IntN(len(ok))]
			if load, serves := p.truth.Server(s.ID); serves && (!found || load < low) {
				best, low, found = s, load, true
			}
		}
	}
	r.srv = best
	r.attempts++
	best.out++
	if st := p.stores[r.Customer]; st != nil {
		st.out++
	}
	p.out = append(p.out, policy.Send{ID: r.ID, Server: best.ID, Timeout: p.timeout(r)})
	return true
}

// timeout leaves a repeatable request time for another attempt.
func (p *simple) timeout(r *request) time.Duration {
	if cl := p.classes[r.Class]; cl != nil && cl.Effect == policy.Safe {
		return (r.deadline - p.now) / 2
	}
	return 0
}

func (p *simple) outcome(ev policy.Outcome) {
	r := p.open[ev.ID]
	if r == nil {
		return
	}
	if r.srv != nil {
		r.srv.out--
	}
	if st := p.stores[r.Customer]; st != nil {
		st.out--
	}
	if ev.Answered || ev.Code == policy.OK {
		delete(p.open, ev.ID)
		return
	}
	if !ev.Code.NeverRan() {
		r.ran = true
	}
	cl := p.classes[r.Class]
	again := cl != nil && r.attempts < 3 && p.now < r.deadline-5*time.Millisecond && (!r.ran || cl.Effect == policy.Safe)
	if !again || !p.send(r) {
		p.refuse(r)
	}
}

// refuse gives the final answer.
func (p *simple) refuse(r *request) {
	delete(p.open, r.ID)
	if cl := p.classes[r.Class]; r.ran && (cl == nil || cl.Effect != policy.Safe && !(cl.Effect == policy.Keyed && cl.Group == policy.GroupAll)) {
		p.out = append(p.out, policy.Fail{ID: r.ID})
		return
	}
	p.out = append(p.out, policy.Refuse{ID: r.ID, RetryAfter: min(p.set.MaxRetryAfter, 500*time.Millisecond)})
}
