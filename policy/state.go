package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// customer is the state that this gateway keeps of one customer.
type customer struct {
	key    uint64 // customerKey of its name
	hash   uint32 // shortHash of key, which names it in reports
	plan   *quota
	first  int     // its requests enter at spread gateways,
	spread int     // counted from first, wrapping round
	ask    []int   // root and deputy; empty where this gateway sums the counts
	part   float64 // share of the requested units that fits, as its root answered
	partAt time.Duration
	sums   bool             // other gateways ask this one, as root or deputy
	leases map[lease]leased // granted to other gateways, end not reported
	set    []*peerView      // of the other gateways that sum its counts
	n      float64          // this gateway holds 1/n of the hard ceiling
	held   []*request       // in the order in which they are to be sent
	out    int              // attempts in flight, leased ones included
	born   time.Duration    // start of these counts
	seen   time.Duration    // time of the last request
	area   float64          // integral of inFlight over the current tick
	areaAt time.Duration
	mean   float64 // mean of inFlight over the last tick

	at        time.Duration // time for which the buckets below are computed
	tokens    float64       // estimate of the quota's token bucket, in units
	known     bool          // tokens rests on more than its initial value
	ceiling   float64       // this gateway's part of the hard ceiling, in units
	passed    uint16        // running total, sent to peers
	rate      float64       // units requested here, decayed over demandDecayTime
	fresh     int           // ticks for which reports still include it
	told      uint32        // or of the root's last answer
	toldUnits uint16        // admittedUnits in the last report
	urgency   float64       // sort key in reports
}

// quota is a plan and its index in the settings.
type quota struct {
	Plan
	no   byte
	fits float64 // recent share of requests under it that roots granted
}

// leaseKey identifies a request that another gateway asked for.
type lease struct {
	from int
	tag  uint32
}

// activeLease is a request that this gateway granted to another one.
type leased struct {
	until time.Duration // it counts until then unless it is renewed
	r     *request
}

// takeTokens takes a request's units from the token buckets.
func (c *customer) take(r *request) {
	c.tokens = max(0, c.tokens-r.units)
	if !r.granted {
		c.ceiling -= r.units
	}
	c.passed += uint16(r.units)
}

// classHealth is what the fleet knows of a server for one class.
type record struct {
	errs  float64       // moving average of the health monitor, 0 to 1
	okAt  time.Duration // last successful answer at this gateway
	bad   bool          // gets no requests of the class until outOfUseUntil
	until time.Duration
	wait  time.Duration // between its last trial and the next
	trial time.Duration // earliest next trial by the health monitor
}

// peerView is what one peer last reported of one customer.
type peerView struct {
	p      *peer
	at     time.Duration // time of the last entry
	heard  bool          // an entry has come
	inc    uint32
	out    float64 // attempts in flight, mean over a tick
	held   float64 // requests held there
	passed byte    // lowest bits of the running total
	rate   float64 // units requested there, decayed over demandDecayTime
}

// peer is what another gateway last reported.
type peer struct {
	num      int
	inc      uint32 // identifies its process
	seq      uint32 // of its last report
	at       time.Duration
	heard    bool               // a report has come
	left     bool               // that process announced its shutdown
	complete bool               // its last report named all customers with changes
	outs     map[uint16]float64 // attempts in flight by server hash
	views    []*peerView        // by customer
}

// request is a client's request, or one that another gateway asks this one to count.
type request struct {
	id       RequestID
	c        *customer
	cl       *class
	units    float64
	arrived  time.Duration
	deadline time.Duration
	attempts int
	srv      *server // of the attempt in flight; nil: none
	sentAt   time.Duration
	load     float64 // of the server, when the attempt was sent
	counted  bool    // its units are taken from the token buckets
	ran      bool    // an attempt may have run:
	ranZone  string  // where and when the first one did, for keyed classes
	ranCell  int
	ranAt    time.Duration
	over     bool          // answered, granted to another gateway, or abandoned by its client
	stream   bool          // the answer has begun
	quit     bool          // the attempt is overdue and counts as failed
	asks     float64       // probability with which the root is asked
	repeat   bool          // the client marked it as a retry
	remote   bool          // it entered at another gateway, which asks this one
	root     int           // that gateway, or else the one that is asked
	tag      uint32        // names it in messages
	by       *table        // whose numbers the message uses
	asked    int           // number of asks sent
	askedAt  time.Duration // time of the last one
	until    time.Duration // when to give up waiting for the answer
	waits    bool          // the root holds it
	granted  bool          // by the root
	last     *server       // of the latest attempt
}

// class is a class of requests and its measured latency.
type class struct {
	Class
	no   int     // in the settings; -1: removed
	mean float64 // of an idle server of the fleet, in seconds
	seen float64 // number that meanLatency rests on
}

// server is the state of a tracked server.
type server struct {
	Server
	hash   uint16                   // names it in reports
	out    int                      // own attempts
	slow   float64                  // against the fleet's mean, at equal load
	heard  float64                  // attempts that the peers last reported
	oldest []*request               // requests in flight there, oldest first
	goneAt time.Duration            // when it left the list; 0: it is listed
	fullAt map[*quota]time.Duration // until when it is assumed to refuse a plan
	sends  []time.Duration          // times, while it warms up
	place  float64                  // this gateway's place, 0 to 1, among those that use it while it warms up

	kept      bool
	weight    float64  // in the current draw
	watchers  [2]int   // they decide on it for all; the second only whether it is reachable
	by        []record // by class
	verdicts  float64  // verdicts that its monitor may send now
	verdictAt time.Duration
	pace      float64 // relative latency, as its monitor measures it
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       *rand.Rand
	inc       uint32        // identifies this process in messages
	seq       uint32        // of the last report
	tick      time.Duration // interval between ticks
	ticks     uint32
	begun     bool          // the first event has come
	start     time.Duration // time of the first event
	now       time.Duration // time of the current event
	lastTick  time.Duration
	classes   map[string]*class
	plans     map[string]*quota
	customers map[uint64]*customer
	byHash    map[uint32]*customer // nil: several customers have this hash
	ring      []*customer
	waiting   []*customer // those with held requests
	reqs      map[RequestID]*request
	list      *serverList
	servers   map[ServerID]*server // those with state here: all in a small fleet
	fleet     []*server            // the same, sorted by ID
	working   []*server            // tracked servers that a gateway of a large fleet uses, sorted by ID
	onLook    func(servers int)    // counts inspected servers, in tests; may be nil
	peers     []*peer              // by number; nil: no state yet
	budget    float64              // retries that may be sent
	out       int                  // own attempts, at all servers
	loadRatio float64              // moving average of latency over aim
	lackAt    time.Duration        // when a request last found no server with room
	draws     float64              // server choices, decayed over FallTime
	taken     float64              // own attempts that servers accepted, decayed over FallTime
	capacity  float64              // of the servers that this gateway uses, in warm servers of mean size
	acts      []Action             // of the current event
	asked     bool                 // the server list was asked for
	size      float64              // in the server list
	live      int                  // in the server list
	mean      float64              // of an idle server over all classes, in seconds
	minAim    float64              // the shortest aim, in seconds
	unheard   int                  // since the last message from any peer
	lets      float64              // requests that roots granted, decayed over grantDecayTime
	credit    float64              // requests that may pass now without a root's answer
	own       float64              // of an own outcome in a server's relative latency
	admitted  float64              // part of the requests that load shedding admits
	tree      bool                 // too large for reports from every gateway to every other
	asks      map[uint32]*request
	asking    []*request     // in the order asked, answered ones included
	ends      []end          // sent to roots since the last tick, to be sent once more
	nextTag   uint32         // counter part of the last tag
	tables    []*table       // the newest, and its predecessor where that differs
	mixed     bool           // another table is in use in the fleet
	speaks    map[int]uint16 // mark of the table that a peer uses, where mixedTables
	hinted    []int          // peers that were sent the newest mark since the last tick

	departed map[int]time.Duration // by gateway: until when it counts as shut down
	leaving  bool                  // this gateway shuts down and transfers its counts
	told     bool
	handing  []*part // not acknowledged yet
	handSeq  uint32
	adopted  map[handKey]time.Duration // until when they are remembered
	restored bool                      // a Restore event has come,
	clean    bool                      // with all that was admitted before the start
	kept     map[uint64]float64        // token buckets of the Restore event,
	keptFor  time.Duration             // this long before the start

	lapsedClasses map[string]*class // no longer in the settings, but in the table before
	lapsedPlans   map[string]*quota
	reply         time.Duration // mean time to a root's answer
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

// addInFlight changes the number of attempts in flight by d.
func (c *customer) count(now time.Duration, d int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += d
}

// adjustUnits charges further units, or returns some, once the actual number is known.
func (c *customer) settle(units float64) {
	c.tokens -= units
	c.passed += uint16(int(units))
}

// customerOf returns the customer of a request, and starts its counts at the first one.
func (g *Gateway) customer(r *Request) *customer {
	key := keyOf(r.Customer)
	plan := g.plans[r.Plan]
	if c := g.customers[key]; c != nil {
		if g.mixed {
			g.replan(c, plan)
		}
		return c
	}
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
	}
	return g.account(key, plan, r.First, r.Spread)
}

// newRequest registers a client's request. A class that is not in the settings
// is treated as Unsafe.
func (g *Gateway) arrive(ev Request) *request {
	c, cl := g.customer(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{Aim: ev.Remaining, Effect: Unsafe}, mean: g.mean}
	}
	g.advance(c)
	r := &request{id: ev.ID, c: c, cl: cl, units: ev.Units, arrived: g.now, repeat: ev.Retry,
		deadline: g.now + ev.Remaining}
	g.reqs[r.id], c.seen = r, g.now
	return r
}

// recordSend and recordEnd update the attempts in flight.
func (g *Gateway) sent(r *request, s *server) {
	r.c.count(g.now, 1)
	r.srv, r.last, r.sentAt, r.load, r.quit = s, s, g.now, g.load(s), false
	r.attempts++
	s.out, g.out = s.out+1, g.out+1
	s.oldest = append(s.oldest, r)
}

func (g *Gateway) ended(r *request, code Code) {
	s := r.srv
	if !code.NeverRan() && !r.ran {
		r.ran, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.srv, r.stream = nil, false
	s.out, g.out = s.out-1, g.out-1
	r.c.count(g.now, -1)
	if i := slices.Index(s.oldest, r); i >= 0 {
		s.oldest = slices.Delete(s.oldest, i, i+1)
	}
}

// sameGroup reports whether a server drops repeats of an attempt that may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.cl.Group != GroupZone || s.Zone == r.ranZone) && (r.cl.Group != GroupCell || s.Cell == r.ranCell)
}

// updateMeans computes each customer's mean of attempts in flight over a tick.
func (g *Gateway) measure(dt time.Duration) {
	g.hinted = g.hinted[:0]
	g.keepTime()
	for _, c := range g.ring {
		g.expire(c)
		c.count(g.now, 0)
		c.mean, c.area = c.area/dt.Seconds(), 0
	}
}

// decay moves what is known of a server by a part of the way back to the defaults.
func (s *server) wear(part float64) {
	s.slow += (1 - s.slow) * part
	for i := range s.by {
		s.by[i].errs -= s.by[i].errs * part
	}
}

// expireLeases drops the leases whose time is over.
func (g *Gateway) expire(c *customer) {
	for l, v := range c.leases {
		if g.now > v.until {
			delete(c.leases, l)
			c.count(g.now, -1)
		}
	}
}

// heldIndex is the index in the queue of a request that another gateway asked for; -1: none.
func (c *customer) heldFor(from int, tag uint32) int {
	return slices.IndexFunc(c.held, func(r *request) bool {
		return r.remote && r.root == from && r.tag == tag
	})
}

// updatePeerViews adds a view for each of the given gateways and drops those of
// all others.
func (g *Gateway) views(c *customer, others []int) {
	c.set = slices.DeleteFunc(c.set, func(v *peerView) bool {
		if slices.Contains(others, v.p.num) {
			return false
		}
		v.leave()
		return true
	})
	for _, num := range others {
		if num != g.set.Me && !slices.ContainsFunc(c.set, func(v *peerView) bool { return v.p.num == num }) {
			v := &peerView{p: g.peer(num)}
			c.set, v.p.views = append(c.set, v), append(v.p.views, v)
		}
	}
}

// detach removes the view from its peer.
func (v *peerView) leave() {
	v.p.views = slices.DeleteFunc(v.p.views, func(o *peerView) bool { return o == v })
}

// indexCustomer enters a customer in the tables. Customers with the same short hash can't be
// told apart in reports, so report entries with that hash are ignored.
func (g *Gateway) enter(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.byHash[c.hash]; twice {
		g.byHash[c.hash] = nil
	} else {
		g.byHash[c.hash] = c
	}
	g.ring = append(g.ring, c)
}

// learnGrant learns from a root's final answer: share is 1 if it granted the request, else 0.
func (g *Gateway) letIn(r *request, part float64) {
	g.lets += part
	g.credit = max(0, g.credit-part)
	r.c.plan.fits += fitLearn * (part - r.c.plan.fits)
}

// accrueCredit raises the isolation credit by the recent rate of grants from roots. That rate
// decays, except while this gateway is isolated.
func (g *Gateway) earn(dt time.Duration) {
	part := dt.Seconds() / letSpan.Seconds()
	g.credit = min(g.credit+g.lets*part, g.maxCredit())
	if !g.isolated() {
		g.lets *= math.Exp(-part)
	}
}

func (g *Gateway) maxCredit() float64 { return 1 + g.lets*creditSpan.Seconds()/letSpan.Seconds() }

// drawByWeight chooses a server at random, by drawWeight.
func (g *Gateway) byWeight(list []*server) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.weight
	}
	at := g.rng.Float64() * sum
	for _, s := range list {
		if at -= s.weight; at < 0 {
			return s
		}
	}
	return nil
}

// usableCapacity sums the capacity that the servers this gateway chooses from have at least.
func (g *Gateway) usableCapacity() float64 {
	list, sum := g.fleet, 0.0
	if g.tree {
		list = g.working
	}
	for _, s := range list {
		if s.State == Running {
			sum += g.warmUpFraction(s) * g.sizeOf(s)
		}
	}
	return sum
}

// enqueue puts a request in its customer's queue, in front if its units are taken.
func (g *Gateway) queue(r *request) {
	if len(r.c.held) == 0 {
		g.waiting = append(g.waiting, r.c)
	}
	if r.counted {
		r.c.held = slices.Insert(r.c.held, 0, r)
	} else {
		r.c.held = append(r.c.held, r)
	}
}

// dequeue removes the i-th request from its customer's queue.
func (g *Gateway) unhold(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.fresh = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}

// toByte rounds a value, which must not be negative, to at most 255.
func small(v float64) byte { return byte(min(math.Round(v), 255)) }

// relativeSize is a server's size against the fleet's mean; 1 where sizes are not known.
func (g *Gateway) sizeOf(s *server) float64 {
	if g.set.SizeKnown && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*quota{}, customers: map[uint64]*customer{},
		asks:   map[uint32]*request{},
		byHash: map[uint32]*customer{}, reqs: map[RequestID]*request{}, servers: map[ServerID]*server{}, list: newServerList()}
	g.inc = g.rng.Uint32()
	g.tables, g.departed, g.adopted = []*table{newTable(&s)}, map[int]time.Duration{}, map[handKey]time.Duration{}
	for i, p := range s.Plans {
		g.plans[p.Name] = &quota{Plan: p, no: byte(i), fits: 1}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c, no: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

func (g *Gateway) allPeers() {
	for i := range g.peers {
		g.peer(i)
	}
}

// peer returns the state of a gateway, made at first use.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

// sumPeerLoads sums the peers' attempts in flight at each server. Silent peers don't count.
func (g *Gateway) sumLoads() {
	if g.tree {
		return // their reports name no servers
	}
	for _, s := range g.fleet {
		s.heard = 0
		for _, p := range g.peers {
			if p != nil && !g.silent(p) {
				s.heard += p.outs[s.hash]
			}
		}
	}
}

// requestServerList asks for the server list once, where it must be asked for.
func (g *Gateway) watch() {
	if g.set.MustAsk && !g.asked {
		g.asked = true
		g.do(Watch{})
	}
}

// markRemoved records that a server is no longer in the list.
func (s *server) markRemoved(now time.Duration) {
	s.State = Removed
	if s.goneAt == 0 {
		s.goneAt = now
	}
}

// dropUnused drops the state of unused servers, and of customers for whom a fresh start
// gives the same state.
func (g *Gateway) forget() {
	if g.kept != nil {
		g.letGo()
	}
	g.fleet = slices.DeleteFunc(g.fleet, func(s *server) bool {
		if !g.idle(s) {
			return false
		}
		delete(g.servers, s.ID)
		return true
	})
	g.ring = slices.DeleteFunc(g.ring, func(c *customer) bool {
		if !g.spent(c) {
			return false
		}
		delete(g.customers, c.key)
		for _, v := range c.set {
			v.leave()
		}
		g.unname(c)
		return true
	})
}

// isIdle reports whether a customer's state can be dropped: its token bucket and its ceiling
// are full, no gateway has attempts in flight or held requests, and nothing is left to report.
func (g *Gateway) spent(c *customer) bool {
	if c.out > 0 || len(c.held) > 0 || len(c.leases) > 0 || c.news() || c.area > 0 ||
		g.now-c.seen < forgetAfter {
		return false
	}
	for _, v := range c.set {
		if v.out > 0 || v.held > 0 || v.heard && g.now-v.at < forgetAfter {
			return false
		}
	}
	g.advance(c)
	return (c.plan.Rate == 0 || c.tokens >= c.plan.Burst) && (c.plan.HardRate == 0 || c.ceiling >= c.plan.HardBurst/c.n)
}

// removeHash removes a customer's short hash. If one other customer has the same hash,
// reports name that one by it from now on.
func (g *Gateway) unname(c *customer) {
	if g.byHash[c.hash] == c {
		delete(g.byHash, c.hash)
		return
	}
	delete(g.byHash, c.hash)
	var other *customer
	n := 0
	for _, o := range g.customers {
		if o.hash == c.hash {
			other, n = o, n+1
		}
	}
	switch {
	case n == 1:
		g.byHash[c.hash] = other
	case n > 1:
		g.byHash[c.hash] = nil
	}
}

// closeRequest drops the state of a request that has its final answer or whose client
// disconnected.
func (g *Gateway) close(r *request) {
	r.over = true
	if i := slices.Index(r.c.held, r); i >= 0 {
		g.unhold(r.c, i)
	}
	if r.remote || r.srv != nil {
		return
	}
	delete(g.reqs, r.id)
	delete(g.asks, r.tag)
	// A grant may still be on its way here, or the root may hold the request.
	if r.asked > 0 && (r.c.plan.Open > 0 || !r.counted) {
		r.asked = 0
		g.tellEnd(r, ended{r.c.key, r.tag, !r.counted})
	}
}

// outOfUse reports whether a server is out of use for a class now.
func (g *Gateway) outOfUse(s *server, cl *class) bool {
	v := g.record(s, cl)
	return v != nil && v.bad && g.now < v.until
}

// isUnused reports whether a server's state can be dropped: the server was removed a while
// ago, or, in a large fleet, its state is almost that of a new one.
func (g *Gateway) idle(s *server) bool {
	if s.State == Removed {
		return s.out == 0 && g.now-s.goneAt >= forgetAfter
	}
	if !g.tree || s.kept || s.out > 0 {
		return false
	}
	for i := range s.by {
		if v := &s.by[i]; v.errs > asGood || v.bad && g.now < v.until {
			return false
		}
	}
	for _, until := range s.fullAt {
		if g.now < until {
			return false
		}
	}
	recent := slices.ContainsFunc(s.sends, func(t time.Duration) bool { return g.now-t <= g.set.FallTime })
	return !recent && math.Abs(math.Log(s.slow)) < asGood && math.Abs(math.Log(s.pace)) < asGood
}
