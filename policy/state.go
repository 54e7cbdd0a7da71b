package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// customer is the state that this gateway keeps of one customer.
type customer struct {
	key               uint64 // customerKey of its name
	hash              uint32 // shortHash of key, which names it in reports
	plan              *quota
	first             int     // its requests enter at spread gateways,
	spread            int     // counted from first, wrapping round
	rootAndDeputy     []int   // to ask; empty where this gateway sums the counts
	fittingShare      float64 // share of the requested units that fits its quota, by its root's last answer
	fittingShareAt    time.Duration
	actsAsRoot        bool                     // other gateways ask this one, as root or deputy
	leases            map[leaseKey]activeLease // granted to other gateways, end not reported
	peerViews         []*peerView              // of the other gateways that sum its counts
	ceilingDivisor    float64                  // the hard ceiling over this is this gateway's part
	held              []*request               // in the order in which they are to be sent
	inFlight          int                      // attempts in flight, leased ones included
	countedSince      time.Duration            // start of these counts
	lastRequestAt     time.Duration            // time of the last request
	inFlightSeconds   float64                  // integral of inFlight over the current tick
	inFlightUpdatedAt time.Duration
	meanInFlight      float64 // mean of inFlight over the last tick

	tokensAt        time.Duration // time for which the buckets below are computed
	tokens          float64       // estimate of the quota's token bucket, in units
	tokensKnown     bool          // tokens rests on more than its initial value
	ceilingTokens   float64       // this gateway's part of the hard ceiling, in units
	admittedUnits   uint16        // running total, sent to peers
	recentUnits     float64       // units requested here, decayed over demandDecayTime
	reportTicksLeft int           // ticks for which reports still include it
	lastReportTick  uint32        // tick of the last report, or of the root's last answer
	reportedUnits   uint16        // admittedUnits in the last report
	reportUrgency   float64       // sort key in reports
}

// quota is a plan and its index in the settings.
type quota struct {
	Plan
	index         byte
	admittedShare float64 // recent share of requests under it that roots granted
}

// leaseKey identifies a request that another gateway asked for.
type leaseKey struct {
	from int
	tag  uint32
}

// activeLease is a request that this gateway granted to another one.
type activeLease struct {
	until   time.Duration // it counts until then unless it is renewed
	request *request
}

// takeTokens takes a request's units from the token buckets.
func (c *customer) takeTokens(r *request) {
	c.tokens = max(0, c.tokens-r.units)
	if !r.granted {
		c.ceilingTokens -= r.units
	}
	c.admittedUnits += uint16(r.units)
}

// classHealth is what the fleet knows of a server for one class.
type classHealth struct {
	failureAverage float64       // moving average of the health monitor, 0 to 1
	lastSuccessAt  time.Duration // last successful answer at this gateway
	outOfUse       bool          // gets no requests of the class until outOfUseUntil
	outOfUseUntil  time.Duration
	trialInterval  time.Duration // between its last trial and the next
	nextTrialAt    time.Duration // earliest next trial by the health monitor
}

// peerView is what one peer last reported of one customer.
type peerView struct {
	peer          *peer
	receivedAt    time.Duration // time of the last entry
	received      bool          // an entry has come
	incarnation   uint32
	inFlight      float64 // attempts in flight, mean over a tick
	held          float64 // requests held there
	admittedUnits byte    // lowest bits of the running total
	recentUnits   float64 // units requested there, decayed over demandDecayTime
}

// peer is what another gateway last reported.
type peer struct {
	num              int
	incarnation      uint32 // identifies its process
	seq              uint32 // of its last report
	lastReportAt     time.Duration
	hasReported      bool               // a report has come
	shutDown         bool               // that process announced its shutdown
	complete         bool               // its last report named all customers with changes
	inFlightByServer map[uint16]float64 // attempts in flight by server hash
	views            []*peerView        // by customer
}

// request is a client's request, or one that another gateway asks this one to count.
type request struct {
	id          RequestID
	customer    *customer
	class       *class
	units       float64
	arrivedAt   time.Duration
	deadline    time.Duration
	attempts    int
	server      *server // of the attempt in flight; nil: none
	sentAt      time.Duration
	loadAtSend  float64 // of the server, when the attempt was sent
	charged     bool    // its units are taken from the token buckets
	mayHaveRun  bool    // an attempt may have run:
	ranZone     string  // where and when the first one did, for keyed classes
	ranCell     int
	ranAt       time.Duration
	closed      bool          // answered, granted to another gateway, or abandoned by its client
	streaming   bool          // the answer has begun
	timedOut    bool          // the attempt is overdue and counts as failed
	askChance   float64       // probability with which the root is asked
	clientRetry bool          // the client marked it as a retry
	remote      bool          // it entered at another gateway, which asks this one
	root        int           // that gateway, or else the one that is asked
	tag         uint32        // names it in messages
	table       *table        // whose indexes the messages use
	askCount    int           // number of asks sent
	askedAt     time.Duration // time of the last one
	answerDue   time.Duration // when to give up waiting for the answer
	heldAtRoot  bool          // the root holds it
	granted     bool          // by the root
	lastServer  *server       // of the latest attempt
}

// class is a class of requests and its measured latency.
type class struct {
	Class
	index       int     // in the settings; -1: removed
	meanLatency float64 // of an idle server of the fleet, in seconds
	outcomes    float64 // number that meanLatency rests on
}

// server is the state of a tracked server.
type server struct {
	Server
	hash             uint16                   // names it in reports
	inFlight         int                      // own attempts
	relativeLatency  float64                  // against the fleet's mean, at equal load
	peersInFlight    float64                  // attempts that the peers last reported
	inFlightRequests []*request               // requests in flight there, oldest first
	removedAt        time.Duration            // when it left the list; 0: it is listed
	fullUntil        map[*quota]time.Duration // until when it is assumed to refuse a plan
	recentSends      []time.Duration          // times, while it warms up
	warmUpRank       float64                  // this gateway's position, 0 to 1, among those that use it

	inSubset         bool
	drawWeight       float64       // in the current draw
	monitors         [2]int        // they decide on it for all; the second only whether it is reachable
	health           []classHealth // by class
	verdictBudget    float64       // verdicts that its monitor may send now
	verdictBudgetAt  time.Duration
	monitoredLatency float64 // relative latency, as its monitor measures it
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings         Settings
	rng              *rand.Rand
	incarnation      uint32        // identifies this process in messages
	seq              uint32        // of the last report
	tick             time.Duration // interval between ticks
	tickCount        uint32
	started          bool          // the first event has come
	startedAt        time.Duration // time of the first event
	now              time.Duration // time of the current event
	lastTick         time.Duration
	classes          map[string]*class
	plans            map[string]*quota
	customers        map[uint64]*customer
	customersByHash  map[uint32]*customer // nil: several customers have this hash
	customerList     []*customer
	remoteRequests   int         // requests of other gateways in customers' state, at most
	waitingCustomers []*customer // those with held requests
	requests         map[RequestID]*request
	allServers       *serverList
	trackedByID      map[ServerID]*server // those with state here: all in a small fleet
	tracked          []*server            // the same, sorted by ID
	subset           []*server            // those that a large fleet's gateway uses, sorted by ID
	onInspect        func(servers int)    // counts inspected servers, in tests; may be nil
	peers            []*peer              // by number; nil: no state yet
	retryBudget      float64              // retries that may be sent
	inFlight         int                  // own attempts, at all servers
	loadRatio        float64              // moving average of latency over latency target
	noRoomAt         time.Duration        // when a request last found no server with room
	recentDraws      float64              // server choices, decayed over OverloadTime
	recentAccepted   float64              // own attempts that servers accepted, decayed over OverloadTime
	capacity         float64              // of the servers in use, in warm servers of mean size
	actions          []Action             // of the current event
	watchSent        bool                 // the server list was asked for
	meanWeight       float64              // in the server list
	runningServers   int                  // in the server list
	meanLatency      float64              // of an idle server over all classes, in seconds
	minTarget        float64              // the shortest latency target, in seconds
	unansweredAsks   int                  // since the last message from any peer
	recentGrants     float64              // requests that roots granted, decayed over grantDecayTime
	isolationCredit  float64              // requests that may pass now without a root's answer
	outcomeWeight    float64              // of an own outcome in a server's relative latency
	admittedFraction float64              // part of the requests that load shedding admits
	largeFleet       bool                 // too large for reports from every gateway to every other
	asksByTag        map[uint32]*request
	pendingAsks      []*request     // in the order asked, answered ones included
	recentEnds       []attemptEnd   // sent to roots since the last tick, to be sent once more
	nextTag          uint32         // counter part of the last tag
	tables           []*table       // the newest, and its predecessor where that differs
	mixedTables      bool           // another table is in use in the fleet
	peerTableMarks   map[int]uint16 // mark of the table that a peer uses, where mixedTables
	hintedPeers      []int          // peers that were sent the newest mark since the last tick

	absentUntil       map[int]time.Duration // by gateway: until when it counts as shut down
	shuttingDown      bool                  // this gateway shuts down and transfers its counts
	shutdownAnnounced bool
	pendingTransfers  []*pendingTransfer // not acknowledged yet
	transferSeq       uint32
	receivedTransfers map[transferKey]time.Duration // until when they are remembered
	restored          bool                          // a Restore event has come,
	restoredClean     bool                          // with all that was admitted before the start
	restoredTokens    map[uint64]float64            // token buckets of the Restore event,
	restoredAge       time.Duration                 // this long before the start

	removedClasses map[string]*class // no longer in the settings, but in the table before
	removedPlans   map[string]*quota
	meanReplyTime  time.Duration // until a root's answer
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// addInFlight changes the number of attempts in flight by d.
func (c *customer) addInFlight(now time.Duration, d int) {
	c.inFlightSeconds += float64(c.inFlight) * (now - c.inFlightUpdatedAt).Seconds()
	c.inFlightUpdatedAt = now
	c.inFlight += d
}

// adjustUnits charges further units, or returns some, once the actual number is known.
func (c *customer) adjustUnits(units float64) {
	c.tokens -= units
	c.admittedUnits += uint16(int(units))
}

// customerOf returns the customer of a request, and starts its counts at the first one.
func (g *Gateway) customerOf(r *Request) *customer {
	key := customerKey(r.Customer)
	plan := g.plans[r.Plan]
	if c := g.customers[key]; c != nil {
		if g.mixedTables {
			g.changePlan(c, plan)
		}
		return c
	}
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
	}
	return g.newCustomer(key, plan, r.First, r.Spread)
}

// newRequest registers a client's request. A class that is not in the settings
// is treated as Unsafe.
func (g *Gateway) newRequest(ev Request) *request {
	c, cl := g.customerOf(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{LatencyTarget: ev.Remaining, Effect: Unsafe}, meanLatency: g.meanLatency}
	}
	g.advance(c)
	r := &request{id: ev.ID, customer: c, class: cl, units: ev.Units, arrivedAt: g.now, clientRetry: ev.Retry,
		deadline: g.now + ev.Remaining}
	g.requests[r.id], c.lastRequestAt = r, g.now
	return r
}

// recordSend and recordEnd update the attempts in flight.
func (g *Gateway) recordSend(r *request, s *server) {
	r.customer.addInFlight(g.now, 1)
	r.server, r.lastServer, r.sentAt, r.loadAtSend, r.timedOut = s, s, g.now, g.load(s), false
	r.attempts++
	s.inFlight, g.inFlight = s.inFlight+1, g.inFlight+1
	s.inFlightRequests = append(s.inFlightRequests, r)
}

func (g *Gateway) recordEnd(r *request, code Code) {
	s := r.server
	if !code.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.server, r.streaming = nil, false
	s.inFlight, g.inFlight = s.inFlight-1, g.inFlight-1
	r.customer.addInFlight(g.now, -1)
	if i := slices.Index(s.inFlightRequests, r); i >= 0 {
		s.inFlightRequests = slices.Delete(s.inFlightRequests, i, i+1)
	}
}

// sameGroup reports whether a server drops repeats of an attempt that may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.class.Group != GroupZone || s.Zone == r.ranZone) &&
		(r.class.Group != GroupCell || s.Cell == r.ranCell)
}

// updateMeans computes each customer's mean of attempts in flight over a tick. It also ends what has expired:
// absences of gateways, and leases.
func (g *Gateway) updateMeans(dt time.Duration) {
	g.hintedPeers = g.hintedPeers[:0]
	g.endAbsences()
	g.remoteRequests = 0
	for _, c := range g.customerList {
		g.expireLeases(c)
		g.remoteRequests += c.countRemote()
		c.addInFlight(g.now, 0)
		c.meanInFlight, c.inFlightSeconds = c.inFlightSeconds/dt.Seconds(), 0
	}
}

// decay moves a server's relative latency and failure averages towards their defaults, by the given part of
// the distance.
func (s *server) decay(part float64) {
	s.relativeLatency += (1 - s.relativeLatency) * part
	for i := range s.health {
		s.health[i].failureAverage -= s.health[i].failureAverage * part
	}
}

// expireLeases drops the leases that have expired.
func (g *Gateway) expireLeases(c *customer) {
	for l, v := range c.leases {
		if g.now > v.until {
			delete(c.leases, l)
			c.addInFlight(g.now, -1)
		}
	}
}

// heldIndex is the index in the queue of a request that another gateway asked for; -1: none.
func (c *customer) heldIndex(from int, tag uint32) int {
	return slices.IndexFunc(c.held, func(r *request) bool {
		return r.remote && r.root == from && r.tag == tag
	})
}

// updatePeerViews adds a view for each of the given gateways and drops those of
// all others.
func (g *Gateway) updatePeerViews(c *customer, gateways []int) {
	c.peerViews = slices.DeleteFunc(c.peerViews, func(v *peerView) bool {
		if slices.Contains(gateways, v.peer.num) {
			return false
		}
		v.detach()
		return true
	})
	for _, num := range gateways {
		if num != g.settings.Self && !slices.ContainsFunc(c.peerViews, func(v *peerView) bool {
			return v.peer.num == num
		}) {
			v := &peerView{peer: g.peer(num)}
			c.peerViews, v.peer.views = append(c.peerViews, v), append(v.peer.views, v)
		}
	}
}

// detach removes the view from its peer.
func (v *peerView) detach() {
	v.peer.views = slices.DeleteFunc(v.peer.views, func(o *peerView) bool { return o == v })
}

// indexCustomer adds a customer to the list and to the maps. Customers with the same short hash
// can't be told apart in reports, so report entries with that hash are ignored.
func (g *Gateway) indexCustomer(c *customer) {
	g.customers[c.key] = c
	if _, duplicate := g.customersByHash[c.hash]; duplicate {
		g.customersByHash[c.hash] = nil
	} else {
		g.customersByHash[c.hash] = c
	}
	g.customerList = append(g.customerList, c)
}

// learnGrant updates the estimates of granted requests by a root's final answer: share is 1 if the
// root granted the request, else 0.
func (g *Gateway) learnGrant(r *request, share float64) {
	g.recentGrants += share
	g.isolationCredit = max(0, g.isolationCredit-share)
	r.customer.plan.admittedShare += grantSampleWeight * (share - r.customer.plan.admittedShare)
}

// accrueCredit raises the isolation credit by the recent rate of grants from roots. That rate
// decays, except while this gateway is isolated.
func (g *Gateway) accrueCredit(dt time.Duration) {
	part := dt.Seconds() / grantDecayTime.Seconds()
	g.isolationCredit = min(g.isolationCredit+g.recentGrants*part, g.maxCredit())
	if !g.isolated() {
		g.recentGrants *= math.Exp(-part)
	}
}

func (g *Gateway) maxCredit() float64 {
	return 1 + g.recentGrants*creditWindow.Seconds()/grantDecayTime.Seconds()
}

// drawByWeight chooses a server at random, by drawWeight.
func (g *Gateway) drawByWeight(list []*server) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.drawWeight
	}
	remaining := g.rng.Float64() * sum
	for _, s := range list {
		if remaining -= s.drawWeight; remaining < 0 {
			return s
		}
	}
	return nil
}

// usableCapacity returns the minimum total capacity of the servers that this gateway chooses from.
func (g *Gateway) usableCapacity() float64 {
	list, sum := g.tracked, 0.0
	if g.largeFleet {
		list = g.subset
	}
	for _, s := range list {
		if s.State == Running {
			sum += g.warmUpFraction(s) * g.relativeSize(s)
		}
	}
	return sum
}

// enqueue puts a request in its customer's queue, in front if its units are already charged.
func (g *Gateway) enqueue(r *request) {
	if len(r.customer.held) == 0 {
		g.waitingCustomers = append(g.waitingCustomers, r.customer)
	}
	if r.charged {
		r.customer.held = slices.Insert(r.customer.held, 0, r)
	} else {
		r.customer.held = append(r.customer.held, r)
	}
}

// dequeue removes the i-th request from its customer's queue.
func (g *Gateway) dequeue(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.reportTicksLeft = changeReportTicks
	if len(c.held) == 0 {
		g.waitingCustomers = slices.DeleteFunc(g.waitingCustomers, func(w *customer) bool { return w == c })
	}
}

// toByte rounds a value, which must not be negative, to at most 255.
func toByte(v float64) byte { return byte(min(math.Round(v), 255)) }

// relativeSize is a server's size against the fleet's mean; 1 where sizes are not known.
func (g *Gateway) relativeSize(s *server) float64 {
	if g.settings.SizeKnown && s.Weight > 0 && g.meanWeight > 0 {
		return s.Weight / g.meanWeight
	}
	return 1
}

// newGateway returns a gateway without customers, servers and peers.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{settings: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*quota{}, customers: map[uint64]*customer{},
		asksByTag:       map[uint32]*request{},
		customersByHash: map[uint32]*customer{}, requests: map[RequestID]*request{},
		trackedByID: map[ServerID]*server{}, allServers: newServerList()}
	g.incarnation = g.rng.Uint32()
	g.tables, g.absentUntil, g.receivedTransfers = []*table{newTable(&s)}, map[int]time.Duration{},
		map[transferKey]time.Duration{}
	for i, p := range s.Plans {
		g.plans[p.Name] = &quota{Plan: p, index: byte(i), admittedShare: 1}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c, index: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

func (g *Gateway) addAllPeers() {
	for i := range g.peers {
		g.peer(i)
	}
}

// peer returns the state of another gateway, and creates it at first use.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

// sumPeerLoads sums the peers' attempts in flight at each server. Silent peers don't count.
func (g *Gateway) sumPeerLoads() {
	if g.largeFleet {
		return // their reports name no servers
	}
	for _, s := range g.tracked {
		s.peersInFlight = 0
		for _, p := range g.peers {
			if p != nil && !g.silent(p) {
				s.peersInFlight += p.inFlightByServer[s.hash]
			}
		}
	}
}

// requestServerList subscribes to the server list once, where the settings require it.
func (g *Gateway) requestServerList() {
	if g.settings.MustWatch && !g.watchSent {
		g.watchSent = true
		g.emit(Watch{})
	}
}

// markRemoved records that a server is no longer in the list.
func (s *server) markRemoved(now time.Duration) {
	s.State = Removed
	if s.removedAt == 0 {
		s.removedAt = now
	}
}

// dropUnused drops the state of unused servers, and of customers for whom a fresh start
// gives the same state.
func (g *Gateway) dropUnused() {
	if g.restoredTokens != nil {
		g.dropRestoredTokens()
	}
	g.tracked = slices.DeleteFunc(g.tracked, func(s *server) bool {
		if !g.isUnused(s) {
			return false
		}
		delete(g.trackedByID, s.ID)
		return true
	})
	g.customerList = slices.DeleteFunc(g.customerList, func(c *customer) bool {
		if !g.isIdle(c) {
			return false
		}
		delete(g.customers, c.key)
		for _, v := range c.peerViews {
			v.detach()
		}
		g.removeHash(c)
		return true
	})
}

// isIdle reports whether a customer's state can be dropped: its token bucket and its ceiling
// are full, no gateway has attempts in flight or held requests, and nothing is left to report.
func (g *Gateway) isIdle(c *customer) bool {
	if c.inFlight > 0 || len(c.held) > 0 || len(c.leases) > 0 || c.needsReport() || c.inFlightSeconds > 0 ||
		g.now-c.lastRequestAt < forgetAfter {
		return false
	}
	for _, v := range c.peerViews {
		if v.inFlight > 0 || v.held > 0 || v.received && g.now-v.receivedAt < forgetAfter {
			return false
		}
	}
	g.advance(c)
	return (c.plan.Rate == 0 || c.tokens >= c.plan.Burst) &&
		(c.plan.HardRate == 0 || c.ceilingTokens >= c.plan.HardBurst/c.ceilingDivisor)
}

// removeHash removes a customer's short hash. If exactly one other customer has the
// same hash, report entries with that hash count for it from now on.
func (g *Gateway) removeHash(c *customer) {
	if g.customersByHash[c.hash] == c {
		delete(g.customersByHash, c.hash)
		return
	}
	delete(g.customersByHash, c.hash)
	var other *customer
	n := 0
	for _, o := range g.customers {
		if o.hash == c.hash {
			other, n = o, n+1
		}
	}
	switch {
	case n == 1:
		g.customersByHash[c.hash] = other
	case n > 1:
		g.customersByHash[c.hash] = nil
	}
}

// close drops the state of a request that has its final answer or whose client
// disconnected.
func (g *Gateway) close(r *request) {
	r.closed = true
	if i := slices.Index(r.customer.held, r); i >= 0 {
		g.dequeue(r.customer, i)
	}
	if r.remote || r.server != nil {
		return
	}
	delete(g.requests, r.id)
	delete(g.asksByTag, r.tag)
	// A grant may still be on its way here, or the root may hold the request.
	if r.askCount > 0 && (r.customer.plan.MaxInFlight > 0 || !r.charged) {
		r.askCount = 0
		g.notifyEnd(r, endMessage{r.customer.key, r.tag, !r.charged})
	}
}

// outOfUse reports whether a server is out of use for a class now.
func (g *Gateway) outOfUse(s *server, cl *class) bool {
	h := g.healthOf(s, cl)
	return h != nil && h.outOfUse && g.now < h.outOfUseUntil
}

// isUnused reports whether a server's state can be dropped: the server was removed a while
// ago, or, in a large fleet, its state is almost that of a new one.
func (g *Gateway) isUnused(s *server) bool {
	if s.State == Removed {
		return s.inFlight == 0 && g.now-s.removedAt >= forgetAfter
	}
	if !g.largeFleet || s.inSubset || s.inFlight > 0 {
		return false
	}
	for i := range s.health {
		if h := &s.health[i]; h.failureAverage > equivalenceMargin || h.outOfUse && g.now < h.outOfUseUntil {
			return false
		}
	}
	for _, until := range s.fullUntil {
		if g.now < until {
			return false
		}
	}
	recent := slices.ContainsFunc(s.recentSends, func(t time.Duration) bool {
		return g.now-t <= g.settings.OverloadTime
	})
	return !recent && math.Abs(math.Log(s.relativeLatency)) < equivalenceMargin &&
		math.Abs(math.Log(s.monitoredLatency)) < equivalenceMargin
}
