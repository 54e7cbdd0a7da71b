// Package baseline holds simple policies that the module is compared with. They obey the
// rules on responses and on second copies. They exchange no messages; the oracle reads the
// true state of the simulation instead.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/sim"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// Names lists the policies:
//
//	all     admits all requests, to servers drawn at random
//	even    gives each edge node of a customer an equal part of its quota and cap
//	two     admits all requests, to the less busy of two random servers by its own count
//	oracle  knows the exact state of each quota, and the load of servers when it chooses one
var Names = []string{"all", "even", "two", "oracle"}

// Maker returns the maker of the policy with a name, or nil for an unknown name.
func Maker(name string) sim.Maker {
	if !slices.Contains(Names, name) {
		return nil
	}
	return func(index int, w *world.World, seed uint64, truth *sim.Truth) (sim.Decider, error) {
		s, err := w.Settings(index)
		if err != nil {
			return nil, err
		}
		p := &decider{kind: name, settings: s, rng: rand.New(rand.NewPCG(seed, 0xba5e)),
			openRequests: map[policy.RequestID]*request{}, plans: map[string]*policy.Plan{},
			classes: map[string]*policy.Class{}, quotaShares: map[string]*quotaShare{}, truth: truth}
		for i := range s.Plans {
			p.plans[s.Plans[i].Name] = &s.Plans[i]
		}
		for i := range s.Classes {
			p.classes[s.Classes[i].Name] = &s.Classes[i]
		}
		return p, nil
	}
}

// decider implements all baseline policies; kind is one of Names.
type decider struct {
	kind         string
	settings     policy.Settings
	rng          *rand.Rand
	now          time.Duration
	actions      []policy.Action
	servers      []*server
	openRequests map[policy.RequestID]*request
	plans        map[string]*policy.Plan
	classes      map[string]*policy.Class
	quotaShares  map[string]*quotaShare
	truth        *sim.Truth
}

type server struct {
	policy.Server
	inFlight int
}

type request struct {
	policy.Request
	deadline   time.Duration
	attempts   int
	server     *server
	mayHaveRun bool
}

// quotaShare is an edge node's equal part of a customer's quota and cap.
type quotaShare struct {
	tokens     float64
	refilledAt time.Duration
	inFlight   int
}

func (p *decider) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	p.now, p.actions = now, out
	switch ev := ev.(type) {
	case policy.Request:
		r := &request{Request: ev, deadline: now + ev.Remaining}
		p.openRequests[ev.ID] = r
		if !p.admit(r) || !p.send(r) {
			p.refuse(r)
		}
	case policy.Outcome:
		p.outcome(ev)
	case policy.ClientDisconnected:
		delete(p.openRequests, ev.ID)
	case policy.ServerListUpdate:
		p.members(ev)
	case policy.Shutdown:
		p.actions = append(p.actions, policy.ShutdownDone{})
	}
	return p.actions
}

func (p *decider) members(ev policy.ServerListUpdate) {
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

// admit decides whether to admit a request, and takes its units from the quota.
func (p *decider) admit(r *request) bool {
	plan := p.plans[r.Plan]
	if plan == nil {
		return false
	}
	switch p.kind {
	case "oracle":
		return p.truth.HasRoom(r.Customer, r.Units)
	case "even":
		nodes := float64(max(1, r.Spread))
		st := p.quotaShares[r.Customer]
		if st == nil {
			st = &quotaShare{tokens: plan.Burst / nodes, refilledAt: p.now}
			p.quotaShares[r.Customer] = st
		}
		st.tokens = min(max(plan.Burst/nodes, r.Units),
			st.tokens+plan.Rate/nodes*(p.now-st.refilledAt).Seconds())
		st.refilledAt = p.now
		if plan.MaxInFlight > 0 && float64(st.inFlight) >= max(1, float64(plan.MaxInFlight)/nodes) {
			return false
		}
		if plan.Rate == 0 {
			return true
		}
		if st.tokens < r.Units {
			return false
		}
		st.tokens -= r.Units
	}
	return true
}

// send sends an attempt to a server. It returns false if no server is available.
func (p *decider) send(r *request) bool {
	var available []*server
	for _, s := range p.servers {
		if s.State == policy.Running && s != r.server {
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return false
	}
	best := available[p.rng.IntN(len(available))]
	switch p.kind {
	case "two":
		if other := available[p.rng.IntN(len(available))]; other.inFlight < best.inFlight {
			best = other
		}
	case "oracle":
		lowest, found := 0.0, false
		for range 8 {
			s := available[p.rng.IntN(len(available))]
			if load, serves := p.truth.Server(s.ID); serves && (!found || load < lowest) {
				best, lowest, found = s, load, true
			}
		}
	}
	r.server = best
	r.attempts++
	best.inFlight++
	if st := p.quotaShares[r.Customer]; st != nil {
		st.inFlight++
	}
	p.actions = append(p.actions, policy.Send{ID: r.ID, Server: best.ID, Timeout: p.timeout(r)})
	return true
}

// timeout returns half the remaining time for a safe request, to leave time for another
// attempt, and 0 (no timeout) for others.
func (p *decider) timeout(r *request) time.Duration {
	if cl := p.classes[r.Class]; cl != nil && cl.Effect == policy.Safe {
		return (r.deadline - p.now) / 2
	}
	return 0
}

func (p *decider) outcome(ev policy.Outcome) {
	r := p.openRequests[ev.ID]
	if r == nil {
		return
	}
	if r.server != nil {
		r.server.inFlight--
	}
	if st := p.quotaShares[r.Customer]; st != nil {
		st.inFlight--
	}
	if ev.Answered || ev.Code == policy.OK {
		delete(p.openRequests, ev.ID)
		return
	}
	if !ev.Code.NeverRan() {
		r.mayHaveRun = true
	}
	cl := p.classes[r.Class]
	retry := cl != nil && r.attempts < 3 && p.now < r.deadline-5*time.Millisecond &&
		(!r.mayHaveRun || cl.Effect == policy.Safe)
	if !retry || !p.send(r) {
		p.refuse(r)
	}
}

// refuse ends a request: it fails if a second copy would be unsafe after an attempt that
// may have run, and is refused otherwise.
func (p *decider) refuse(r *request) {
	delete(p.openRequests, r.ID)
	if cl := p.classes[r.Class]; r.mayHaveRun && (cl == nil || cl.Effect != policy.Safe &&
		!(cl.Effect == policy.Keyed && cl.Group == policy.GroupAll)) {
		p.actions = append(p.actions, policy.Fail{ID: r.ID})
		return
	}
	p.actions = append(p.actions,
		policy.Refuse{ID: r.ID, RetryAfter: min(p.settings.MaxRetryAfter, 500*time.Millisecond)})
}
