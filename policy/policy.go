// Package policy makes the decisions of a gateway that enforces customers' quotas on a shared API: which
// requests it admits, when, and to which server it sends each attempt. The interface (settings, events,
// actions) is in api.go. The decisions are in this file and in gateway.go, and all their constants here.
//
// The mechanism is a distributed waiting room. Requests beyond a customer's cap on attempts in flight wait in
// arrival order. Gateways report to each other once a tick, sum the attempts in flight from these reports,
// and send held requests as room becomes free, at ticks and at outcomes of their own attempts. For rate
// quotas, each gateway also estimates the content of each customer's token bucket and admits its share of it.
// In a fleet too large for reports from all to all, a few root gateways sum a customer's counts, and the
// others ask them.
package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shares are fractions of one where no unit is given.
const (
	// Reports between gateways, sent once a tick.
	reportShare = 0.75 // of a gateway's datagram budget
	minTick     = 25 * time.Millisecond
	maxTick     = 250 * time.Millisecond
	staleTicks  = 6                     // ticks; an older report is replaced by the demand split
	blindExtra  = 25 * time.Millisecond // assumed for a report on the network
	untold      = 0.01                  // held requests that a tick without a report counts as
	repeatTicks = 3                     // ticks for which a change is reported
	anewFor     = 2 * time.Second       // for which a total that began at zero is marked
	forgetAfter = 10 * time.Second      // unused state; also the decay time of a silent peer

	// Demand, by which gateways divide a customer's quota.
	demandSpan = 2 * time.Second // of the demand rates
	minWeight  = 0.33            // share of its demand to which a silent peer's fades
	evenRate   = 0.02            // demand assumed for each gateway: of the plan's rate,
	evenLeast  = 0.05            // and units a second on top

	// Caps on attempts in flight. Counts are means and thus fractional.
	arriveSlack = 0.5  // part of an attempt's place that counts as a whole one at arrival
	freeSlack   = 0.25 // and for held requests

	// Holding and refusing requests.
	retryReserve = 0.3                    // share of the token bucket that retries leave to first tries
	pressedFor   = 200 * time.Millisecond // retries are refused this long after no server had room
	holdAim      = 0.35                   // a request is held for this share of its aim

	// Retry budget for attempts after the first, in attempts.
	retryEarn = 0.15 // by each first attempt
	retryCap  = 12.0

	// Latency estimates. A server's relative latency is its latency over the fleet's at equal load.
	firstGuess = 8.0              // a class's first latency estimate is its aim over this
	learn      = 0.1              // of an outcome at a server, of an answer in the reply time
	learnMean  = 0.03             // of an outcome in a class's mean latency
	maxLatency = 4.0              // means at which a sample of a class's latency is cut off
	maxPace    = 12.0             // at which a sample of a relative latency is cut off
	slowSpan   = 10 * time.Second // of a server's relative latency and error rates

	// Choice of a server in a small fleet.
	choices     = 4               // servers compared for an attempt
	jitter      = 0.2             // spread of a prediction, so that no server is left untried
	zonePrice   = 25.0            // service times that a cross-zone cost of 1 counts as
	queueWeight = 0.5             // service times that each attempt in flight adds to a latency
	waitAim     = 0.15            // of the shortest aim: a longer wait makes a server full,
	minOut      = 2.5             // but not with fewer attempts in flight than this
	fullFor     = 2 * time.Second // for the plan that a server turned away

	// Cold servers (slow start).
	warmUpSlots = 2.0 // slots in FallTime, in which gateways take turns to send

	// Overdue attempts.
	minLate = 0.1 // of the aim: an attempt is not overdue sooner,
	overdue = 4.0 // and is overdue at this multiple of the predicted latency

	// Health verdicts, and trials of ejected servers.
	sightWeight  = 0.2         // of a failure in an error rate
	sightLimit   = 0.45        // above it a server is ejected for the class
	mostOut      = 0.7         // above it ejected servers are used all the same
	trialWorth   = 0.6         // of the error rate that a successful trial leaves
	trialEvery   = time.Second // each trial doubles the interval and adds this
	trialMost    = 8 * time.Second
	paceLearn    = 0.025           // of an outcome in the monitor's relative latency of a server
	paceStep     = 1.7             // a relative latency is sent when it changed by this factor
	asGood       = 0.02            // an error rate or log of a relative latency within it counts as 0
	verdictLife  = 8 * time.Second // unless it is sent again
	verdictShare = 0.1             // of the datagram budget, for verdicts of all monitors
	verdictKeep  = 2.0             // verdicts that may be sent at once for a server
	zoneTurns    = 12              // divisible by 2, 3, 4 and 6, the possible numbers of zones

	// Load shedding. The load ratio is the mean of latency over aim.
	sheddingAim     = 0.6              // above it load is shed
	sheddingTime    = 3 * time.Second  // in which the admitted share falls to 1/e
	recoveryTime    = 8 * time.Second  // in which the admitted share grows from 0 to 1
	minAdmitted     = 0.25             // share of requests: enough outcomes to notice a recovery
	loadRatioLife   = 12 * time.Second // of the load ratio, to 1/e
	loadRatioWeight = 0.15             // of an outcome, or of a root's answer

	// Roots, in fleets whose reports from all to all would exceed the datagram budget.
	treeTick    = maxTick * 2 / 3  // longest tick up to which reports from all to all are better
	rootShare   = 0.5              // of a root's datagram budget, for one customer
	rootPeak    = 2.0              // asks a root must handle: multiple of those inside the quota
	rootTicks   = 2                // ticks between reports of a customer's roots to each other
	freshPart   = 0.8              // fill of a token bucket that a root presumes when it starts
	deputyPart  = 0.25             // of a hard ceiling, held by the deputy
	fitLearn    = 0.05             // of an answer in the granted share of a plan's requests
	leaseTicks  = 3                // ticks until a lease expires: one renewal may be lost
	thinSpan    = 20 * time.Second // in which a reduced chance to ask the root grows from 0 to 1
	departedFor = 2 * time.Second  // a gateway that shut down is back by then, or counts as silent

	// Asks to roots, and what is admitted without an answer.
	rootAsks      = 3 // to a root, before its deputy is asked
	minReply      = 30 * time.Millisecond
	replySpread   = 2.5             // times the mean reply time
	isolatedAfter = 4               // unanswered, and no message at all: as many as one request makes
	letSpan       = 4 * time.Second // of the count of requests that roots granted
	creditSpan    = time.Second / 2 // of that rate of grants, admitted at once without an answer

	// Subsets of servers in a large fleet.
	minSet    = 20    // servers: enough to average out slow ones,
	minSets   = 8.0   // but as many as put each server into this many gateways' subsets,
	maxSet    = 128.0 // up to this many
	widerSet  = 8     // subsets in the set that is examined where half the subset can't be used
	otherZone = 0.7   // of a server in another zone
)

// New returns a gateway with empty state. The seed feeds its random choices: equal settings, seeds and events
// give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.budget, g.minAim = retryCap, math.Inf(1)
	for _, c := range g.classes {
		c.mean = c.Aim.Seconds() / firstGuess
		g.mean, g.minAim = max(g.mean, c.mean), min(g.minAim, c.Aim.Seconds())
	}
	mail := max(s.DatagramsPerSecond*reportShare, 1)
	g.tick = time.Duration(float64(max(s.Gateways-1, 1)) / mail * float64(time.Second))
	g.own, g.admitted = learn, 1
	if g.tree = g.tick > treeTick && s.CanTell; g.tree {
		g.own = 0 // the monitors observe more outcomes than this gateway
	}
	g.nextTag, g.reply = g.rng.Uint32(), minReply
	if !g.tree {
		g.allPeers()
	}
	g.tick = max(min(max(g.tick, minTick), maxTick), s.Resolution)
	return g, nil
}

// Customers, their token buckets and their caps.

// newCustomer starts a customer's counts and assigns the gateways that sum them: all of the customer's
// gateways in a small fleet, its roots in a large one. The other gateways ask its roots.
func (g *Gateway) account(key uint64, plan *quota, first, spread int) *customer {
	spread = max(1, min(spread, g.set.Gateways))
	c := &customer{key: key, hash: shortOf(key), plan: plan, n: float64(spread), part: 1, first: first,
		tokens: g.initialTokens(key, plan), leases: map[lease]leased{}, spread: spread, at: g.now,
		areaAt: g.now, born: g.now}
	g.seat(c)
	// This gateway's part of the ceiling is empty when the gateway starts, so that a restart doesn't grant it
	// a second time.
	c.ceiling = min(plan.HardBurst, plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// initialTokens returns the units in a customer's token bucket when its counts begin. Until the bucket's fill
// time has passed since this gateway's start, the bucket may have been emptied before the start, and must not
// be granted twice. After a crash no snapshot covers the last admissions, so the bucket holds only what has
// flowed in since the start.
func (g *Gateway) initialTokens(key uint64, plan *quota) float64 {
	age := (g.now - g.start).Seconds()
	left, kept := g.kept[key]
	switch {
	case plan.Rate == 0 || age >= plan.Burst/plan.Rate:
	case kept:
		return min(plan.Burst, left+plan.Rate*(age+g.keptFor.Seconds()))
	case g.restored && !g.clean:
		return plan.Rate * age
	case g.tree && !g.clean:
		return plan.Burst * freshPart
	}
	return plan.Burst
}

// assignRoots finds the gateways that sum a customer's counts, by the figures of its plan.
func (g *Gateway) seat(c *customer) {
	roots, deputy := g.roots(c)
	if c.ask = nil; slices.Contains(roots, g.set.Me) || !g.tree {
		g.views(c, roots)
	} else if c.plan.Rate > 0 || c.plan.Open > 0 {
		c.ask = []int{roots[g.set.Me%len(roots)], deputy}
	}
	if g.tree {
		// Roots and deputy hold all parts of the ceiling.
		c.n = float64(len(roots)) / (1 - deputyPart)
		if len(c.ask) > 0 {
			c.n = 1 / deputyPart
		}
	}
}

// applyPlanChange applies new figures of a customer's plan to its counts. New figures reduce the content of a
// token bucket but never increase it, except that a customer whose plan had no rate starts with a full
// bucket.
func (g *Gateway) carry(c *customer, old Plan) {
	g.seat(c)
	if old.Rate == 0 && c.plan.Rate > 0 {
		c.tokens = c.plan.Burst
	}
	c.tokens, c.ceiling = min(c.tokens, c.plan.Burst), min(c.ceiling, c.plan.HardBurst/c.n)
}

// roots returns the gateways that sum a customer's counts: in a large fleet as few as can receive all asks
// for it, in a small fleet all gateways of the customer. The deputy replaces a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.tree {
		asks := rootPeak * c.plan.Rate
		if c.plan.Open > 0 {
			asks += c.plan.Rate // the end of each admitted attempt is reported too
		}
		asks /= max(1, g.set.LargestUnits/2)
		k = min(max(1, int(math.Ceil(asks/max(1, g.set.DatagramsPerSecond*rootShare)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(k+1))
	for i := range k + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.set.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// advance refills a customer's token buckets up to now and decays its demand rates. A peer that has been
// silent for long may only be cut off, so its demand-split share of the rate is left to it.
func (g *Gateway) advance(c *customer) {
	dt := (g.now - c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = g.now
	unheard := 0.0
	for _, v := range c.set {
		if g.silent(v.p) {
			unheard += g.weight(c, v)
		}
	}
	share := 1 - unheard/g.demand(c)
	if len(c.ask) > 0 && !c.sums || g.isolated() {
		share = 1 / float64(c.spread) // only the root knows what the others admit
	}
	c.tokens = min(c.plan.Burst, c.tokens+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.n, c.ceiling+c.plan.HardRate/c.n*dt))
	k := math.Exp(-dt / demandSpan.Seconds())
	c.rate *= k
	for _, v := range c.set {
		v.rate *= k
	}
	if !c.known && c.plan.Rate > 0 && (g.now-g.start).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// silent reports whether a peer's counts are too old to use.
func (g *Gateway) silent(p *peer) bool { return !p.heard || p.left || g.now-p.at > staleTicks*g.tick }

// baselineDemand returns the demand in units a second that is assumed for each gateway, so that the split of
// a new customer's quota is equal.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// peerDemand returns a peer's demand in units a second for the demand split. A silent peer counts as much as
// this gateway at first, then less, but never nothing: it may be cut off and still admit its share, or it may
// have failed.
func (g *Gateway) weight(c *customer, v *peerView) float64 {
	w := v.rate
	if v.p.left {
		return 0 // it has announced its shutdown
	}
	if g.silent(v.p) {
		fade := math.Exp(-(g.now - max(v.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		w = max(w, c.rate) * (minWeight + (1-minWeight)*fade)
	}
	return w/demandSpan.Seconds() + g.even(c)
}

// totalDemand returns the demand of all gateways in units a second, this one's included.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, v := range c.set {
		sum += g.weight(c, v)
	}
	return sum
}

// demandShare returns this gateway's share of the customer's total demand.
func (g *Gateway) share(c *customer) float64 {
	return (c.rate/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance returns the units that this gateway may admit now from the customer's token bucket: its
// demand-split share or, if that is more, what remains after all units that the peers may be asked for before
// their next reports arrive.
func (g *Gateway) allowance(c *customer) float64 {
	blind := (g.tick + blindExtra).Seconds()
	unseen := 0.0
	for _, v := range c.set {
		wait := blind
		if !v.p.complete {
			wait += min(g.now-v.at, staleTicks*g.tick).Seconds()
		}
		unseen += g.weight(c, v) * wait
	}
	return max(c.tokens*g.share(c), c.tokens-unseen)
}

// peerCounts sums the attempts in flight and the held requests that the peers report. For a silent peer, its
// demand-split share of the cap counts as in flight.
func (g *Gateway) others(c *customer) (out, held float64) {
	for _, v := range c.set {
		if g.silent(v.p) {
			out += float64(c.plan.Open) * g.weight(c, v) / g.demand(c)
			continue
		}
		out += v.out
		held += v.held
	}
	return out, held
}

// hasRoom reports whether one more attempt of the customer fits under its cap. A request that has just
// arrived may only use this gateway's demand-split share of the free room, but at least one place of it.
func (g *Gateway) room(c *customer, arrival bool) bool {
	if c.plan.Open == 0 {
		return true
	}
	out, _ := g.others(c)
	free, next := float64(c.plan.Open)-out, float64(c.out+1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// Requests.

func (g *Gateway) onRequest(r *request) {
	c := r.c
	c.rate += r.units
	// This close to the deadline no wait is possible.
	if r.deadline-g.now <= 2*g.set.Resolution || g.rng.Float64() > g.admitted {
		g.refuse(r)
		return
	}
	if len(c.ask) == 0 {
		g.admit(r)
		return
	}
	// For a customer far above its quota, only the share of requests that fits is asked for. The root could
	// not receive all its asks, and would lose those of other customers too. This harms a customer whose
	// demand falls, for as long as askChanceRecoveryTime.
	r.asks = 1
	if c.plan.Rate > 0 && c.told > 0 {
		r.asks = min(1, c.part+(g.now-c.partAt).Seconds()/thinSpan.Seconds())
	}
	if g.rng.Float64() > r.asks {
		g.refuse(r)
		return
	}
	g.ask(r)
}

// admit passes a request on, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// A client's retry is often late. It yields to first tries while requests wait for servers or the token
	// bucket is low. This protects against retry storms; it harms where retries come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst ||
		!r.remote && g.lackAt > 0 && g.now-g.lackAt < pressedFor
	if !g.within(r) || r.repeat && scarce {
		g.refuse(r)
		return
	}
	if len(c.held) == 0 && g.room(c, true) && g.try(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.over {
		g.answer(r, waits)
	}
}

// withinQuota reports whether the quota and the hard ceiling have the request's units left, or have already
// been charged.
func (g *Gateway) within(r *request) bool {
	c := r.c
	return r.counted || r.granted || (c.plan.Rate == 0 || g.allowance(c) >= r.units) &&
		(c.plan.HardRate == 0 || c.ceiling >= r.units)
}

// hold queues a request for its customer. It refuses a request that the next tick would be too late to
// answer.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.set.Resolution >= r.deadline {
		g.refuse(r)
		return
	}
	g.queue(r)
}

// trySend sends the request to a server if one has room. A request that another gateway asks for is granted
// instead.
func (g *Gateway) try(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	g.draws++
	s := g.pick(r)
	if s == nil {
		g.lackAt = g.now
		return false
	}
	c := r.c
	if !r.counted {
		r.counted = true
		c.take(r)
		g.budget = min(retryCap, g.budget+retryEarn)
	}
	c.fresh = repeatTicks
	g.sent(r, s)
	if g.taken++; g.warmUpFraction(s) < 1 {
		s.sends = append(s.sends, g.now)
	}
	var timeout time.Duration
	if !g.set.CanCancel && r.cl.Effect == Safe && !r.cl.Stream {
		timeout = max(r.cl.Aim*3/5, r.deadline-g.now-r.cl.Aim)
	}
	g.do(Send{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// refuse sends the final answer: Refuse where a retry is harmless, else Fail.
func (g *Gateway) refuse(r *request) {
	if r.remote {
		g.answer(r, refused)
	} else if r.ran && r.cl.Effect != Safe && !(r.cl.Effect == Keyed && r.cl.Group == GroupAll) {
		g.do(Fail{ID: r.id})
	} else {
		g.do(Refuse{ID: r.id, RetryAfter: g.advice(r)})
	}
	g.close(r)
}

func (g *Gateway) onOutcome(ev Outcome) {
	r := g.reqs[ev.ID]
	if r == nil || r.srv == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.srv, r.c
	g.advance(c)
	c.fresh = repeatTicks
	g.ended(r, ev.Code)
	g.judge(s, r, ev)
	if ev.Code == OK && ev.Actual > 0 && ev.Actual != r.units {
		c.settle(ev.Actual - r.units)
	}
	switch {
	case r.over || ev.Over || ev.Code == OK:
		g.close(r)
	case ev.Code == Moot || g.now >= r.deadline || !g.again(r, ev.Code):
		g.refuse(r)
	case !g.room(c, false) || !g.try(r):
		g.hold(r)
	}
	g.release(c)
}

// mayRetry decides whether a request may have another attempt; usable decides which servers it may go to. The
// retry budget keeps retries from amplifying an overload.
func (g *Gateway) again(r *request, code Code) bool {
	if g.set.MaxAttempts > 0 && r.attempts >= g.set.MaxAttempts ||
		r.ran && (r.cl.Effect == Unsafe || r.cl.Effect == Keyed && g.now-r.ranAt >= r.cl.Window) ||
		g.now+time.Duration(r.cl.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		g.budget--
	}
	return g.budget >= 0
}

// sendHeld sends up to n of a customer's held requests, oldest first. It returns false when no server had
// room.
func (g *Gateway) drain(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if !g.within(r) {
			g.refuse(r)
			continue
		}
		if !g.room(c, false) {
			return true
		}
		if !g.try(r) {
			return false
		}
		g.unhold(c, 0)
	}
	return true
}

// Servers.

// warmUpFraction returns the smallest share of its full capacity that a server can have by now (slow start).
func (g *Gateway) warmUpFraction(s *server) float64 {
	if !s.HasStart || g.set.WarmWithin <= 0 || g.set.ColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.Start) / float64(g.set.WarmWithin)
	return min(1, g.set.ColdShare+(1-g.set.ColdShare)*max(age, 0))
}

// load returns the attempts in flight at a server: this gateway's own, and the peers' as last reported.
func (g *Gateway) load(s *server) float64 { return float64(s.out) + s.heard }

// predict returns the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slow * (1 + queueWeight*g.load(s)/g.sizeOf(s)) / g.warmUpFraction(s)
}

// full reports whether a server has all the work it can finish in time: the wait there would exceed a share
// of the shortest aim. Further requests are held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.sizeOf(s)
	return load >= minOut && g.mean*s.slow/g.warmUpFraction(s)*queueWeight*load > waitAim*g.minAim
}

// usable reports whether a request may go to a server at all: the server runs and hasn't just turned the plan
// away, a keyed request that may have run stays inside its group and window, and a cold server's budget has
// room.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || g.now < s.fullAt[r.c.plan] ||
		r.ran && r.cl.Effect == Keyed && (g.now-r.ranAt >= r.cl.Window || !r.sameGroup(s)) {
		return false
	}
	return g.warmUpFraction(s) == 1 || g.admitsWarmUp(s)
}

// warmUpAllowance returns how many requests this gateway may send a cold server within FallTime, on average.
// All gateways together may send the multiple of the server's capacity that the settings allow. The capacity
// is estimated from the attempts that servers recently accepted from this gateway, the current request
// included, relative to the capacity of these servers.
func (g *Gateway) coldPart(s *server) float64 {
	if g.set.FallMultiple <= 0 {
		return math.MaxInt32 // no load brings it down
	}
	bears := (g.taken + 1) / max(1, g.capacity) * g.warmUpFraction(s) * g.sizeOf(s)
	return bears * g.set.FallMultiple * warmUpSlots / (warmUpSlots + 1)
}

// warmUpChance returns the probability that a slot belongs to this gateway, given the fraction of a request
// that it may send within FallTime. The number of slots in which it has a request to send is limited by the
// number of times that it recently chose a server.
func (g *Gateway) warmUpChance(part float64) float64 { return part / min(warmUpSlots, max(1, g.draws)) }

// admitsWarmUp reports whether this gateway may send one more request to a cold server. A minimum of one
// request for each gateway would admit as many as there are gateways. Therefore FallTime is divided into
// slots, and the fraction of an allowance is the probability that a slot belongs to this gateway, however
// often held requests choose a server again. The positions of the gateways are evenly spread, so their slots
// together admit the sum of their allowances.
func (g *Gateway) admitsWarmUp(s *server) bool {
	s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.set.FallTime })
	part := g.coldPart(s)
	whole := math.Floor(part)
	if !g.tree {
		whole = max(1, whole) // all gateways receive reports of the load there
	} else if g.warmUpSlot(s) < g.warmUpChance(part-whole) {
		whole++
	}
	return float64(len(s.sends)) < whole
}

// warmUpSlot returns this gateway's position, from 0 to 1, in the order of the gateways that may send a cold
// server a request in the current slot.
func (g *Gateway) warmUpSlot(s *server) float64 {
	turn := math.Floor(warmUpSlots * float64(max(0, g.now-s.Start)) / float64(max(1, g.set.FallTime)))
	return fraction(s.place + turn*math.Phi)
}

// pick chooses a server, or returns nil when none has room. Servers that are ejected for the class are
// skipped unless they are too many; a health monitor tries them now and then. A gateway of a small fleet
// takes the best of a few random servers by predicted latency and zone cost.
func (g *Gateway) pick(r *request) *server {
	if s := g.trial(r); s != nil {
		return s
	}
	if g.tree {
		return g.draw(g.candidates(r))
	}
	ok, doubted := g.sortOut(g.fleet, r)
	if tooMany(doubted, ok) {
		ok = append(ok, doubted...)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < choices && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.full(s) {
			continue
		}
		p := g.predict(s, r.cl) * (1 - jitter/2 + jitter*g.rng.Float64())
		k++
		if s.Zone != g.set.Zone {
			p += r.cl.mean * g.set.CrossZoneCost * zonePrice
		}
		if p < low {
			best, low = s, p
		}
	}
	return best
}

// trialServer returns a server that is ejected for the request's class and due for a trial. Only its active
// health monitor tries it.
func (g *Gateway) trial(r *request) *server {
	if r.attempts > 0 || r.cl.Effect == Unsafe {
		return nil
	}
	for _, s := range g.fleet {
		if g.outOfUse(s, r.cl) && g.judgeOf(s) == g.set.Me && g.usable(s, r) {
			v := g.record(s, r.cl)
			if g.now < v.trial {
				continue
			}
			v.wait = min(2*v.wait+trialEvery, trialMost)
			v.trial = g.now + v.wait
			return s
		}
	}
	return nil
}

// partitionUsable returns the servers that a request may use, and those that are excluded only because they
// are ejected for its class.
func (g *Gateway) sortOut(list []*server, r *request) (ok, doubted []*server) {
	g.look(len(list))
	for _, s := range list {
		if s == r.last || !g.usable(s, r) {
			continue
		}
		if g.outOfUse(s, r.cl) {
			doubted = append(doubted, s)
		} else {
			ok = append(ok, s)
		}
	}
	return ok, doubted
}

// tooManyEjected reports whether the share of ejected servers is so large that they are used all the same.
func tooMany(doubted, ok []*server) bool {
	return float64(len(doubted)) > mostOut*float64(len(ok)+len(doubted))
}

// candidates returns the servers from which a gateway of a large fleet draws: the usable servers of its
// subset. Where at least half of the subset is ejected, or no server of it is left, a set several times as
// large shows whether that holds for the whole fleet, and replaces the subset if no server of it is left. By
// its subset alone a gateway would send all its traffic to the last few servers, which would fail under it. A
// retry that must stay in its group goes to a part of that group.
func (g *Gateway) candidates(r *request) []*server {
	group := g.groupOf(r)
	list := g.working
	if group != nil {
		list = g.along(group, min(minSet, group.len()))
	}
	ok, doubted := g.sortOut(list, r)
	if len(ok) > len(doubted) {
		return ok
	}
	if group != nil {
		list = g.along(group, min(minSet*widerSet, group.len()))
	} else {
		list = g.widerRuns()
	}
	wideOK, wideDoubted := g.sortOut(list, r)
	switch all := tooMany(wideDoubted, wideOK); {
	case all && len(ok)+len(doubted) > 0:
		return append(ok, doubted...)
	case all:
		return append(wideOK, wideDoubted...)
	case len(ok) > 0:
		return ok
	}
	return wideOK
}

// subsetSize returns how many servers a gateway uses: enough to average out slow ones, and to put each server
// into the subsets of several gateways, whose traffic differs.
func (g *Gateway) setSize() float64 {
	each := minSets * float64(g.live) / float64(g.set.Gateways)
	return min(max(minSet, each), maxSet)
}

// chooseSubset picks the servers that this gateway of a large fleet uses. If every gateway used all servers,
// each server would have connections from every gateway, most of them for a request or two. From each zone a
// gateway takes a run of the running servers in the order of their IDs, in proportion to the zone's size.
// Each gateway starts at another position, so all servers are in equally many subsets, give or take one for
// each zone, and the loss of a zone never takes a whole subset. One server more or less changes at most two
// members of a subset, and servers of a lost zone are replaced by more servers of the other zones.
func (g *Gateway) keepTo() {
	if !g.tree {
		return
	}
	for _, s := range g.working {
		s.kept = false
	}
	g.working = g.runs(1)
	for _, s := range g.working {
		s.kept = true
	}
}

// expandedSubset returns a set that is the given number of times as large as the subset.
func (g *Gateway) runs(times float64) (list []*server) {
	for _, z := range g.list.zones {
		n := z.running.len()
		part := g.setSize() * float64(n) / float64(max(1, g.live))
		first := g.position(z.offset) * float64(n)
		for next := int(first); next < min(int(first+part*times), int(first)+n); next++ {
			s := g.meet(z.running.at(next % n))
			s.place = fraction((float64(next) - first) / part)
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// widerSubset returns a set several times as large as the subset. Cold servers outside the subset are left
// out: the gateways that have them in their subsets already send as much as they can handle.
func (g *Gateway) widerRuns() []*server {
	cold := func(s *server) bool { return !s.kept && g.warmUpFraction(s) < 1 }
	return slices.DeleteFunc(g.runs(widerSet), cold)
}

// drawServer chooses a server at random by its share of the fleet's capacity. Gateways of a large fleet don't
// know the load at a server; if each took the best of a few, all would send to the same servers.
func (g *Gateway) draw(ok []*server) *server {
	for _, s := range ok {
		s.weight = g.sizeOf(s) / max(s.slow, 1) / float64(1+s.out)
		if s.Zone != g.set.Zone {
			s.weight *= otherZone
		}
		if cold := g.warmUpFraction(s); cold < 1 {
			// A larger weight in this gateway's slots makes up for the slots in which it sends nothing.
			s.weight *= cold / min(1, g.warmUpChance(g.coldPart(s)))
		}
	}
	return g.byWeight(ok)
}

// recordOutcome updates the estimates of latency, error rate and load from an outcome.
func (g *Gateway) judge(s *server, r *request, ev Outcome) {
	if ev.Code != Moot && ev.Code != Cancelled {
		g.sight(s, r.cl, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.loadRatio += loadRatioWeight * (min(1, ev.Latency.Seconds()/r.cl.Aim.Seconds()) - g.loadRatio)
	}
	switch ev.Code {
	case OK:
		if v := g.record(s, r.cl); v != nil {
			v.okAt = g.now
		}
		base := (1 + queueWeight*r.load/g.sizeOf(s)) / g.warmUpFraction(s)
		lat := ev.Latency.Seconds() / base
		s.slow += g.own * (min(lat/r.cl.mean, maxPace) - s.slow)
		g.mean += learnMean * (r.cl.mean - g.mean)
		r.cl.seen++ // the first outcomes have a larger weight
		r.cl.mean += max(learnMean, 1/(r.cl.seen+1)) * (min(lat, maxLatency*r.cl.mean) - r.cl.mean)
	case Full:
		// The server may turn away one plan only, so requests of this plan go elsewhere for a while.
		s.fullAt[r.c.plan] = g.now + fullFor
		g.taken = max(0, g.taken-1)
		g.loadRatio += loadRatioWeight * (1 - g.loadRatio)
	}
}

// adaptAdmission changes the share of the requests that is admitted by the ratio of latencies to their aims
// (load shedding). It protects against load on all servers that isn't reported to this gateway: silent peers,
// slow fleets. It harms where aims are close to idle latencies.
func (g *Gateway) adapt(dt time.Duration) {
	if g.loadRatio > sheddingAim {
		g.admitted = max(minAdmitted, g.admitted*math.Exp(-dt.Seconds()/sheddingTime.Seconds()))
	} else {
		g.admitted = min(1, g.admitted+dt.Seconds()/recoveryTime.Seconds())
	}
	g.loadRatio *= math.Exp(-dt.Seconds() / loadRatioLife.Seconds())
}

// checkOverdue counts attempts that are far older than predicted as failed, and cancels those that can go
// elsewhere. It protects against servers that accept requests and never answer. It harms when all servers
// slow down at once, as far as the retry budget permits.
func (g *Gateway) silence(s *server) {
	for _, r := range slices.Clone(s.oldest) {
		g.renew(r)
		age := (g.now - r.sentAt).Seconds() / max(g.predict(s, r.cl), minLate*r.cl.Aim.Seconds())
		v := g.record(s, r.cl)
		if age < overdue || r.over || r.quit || r.stream || v != nil && v.okAt > r.sentAt {
			continue
		}
		r.quit = true
		g.sight(s, r.cl, TimedOut, g.now-r.sentAt)
		if g.set.CanCancel && r.cl.Effect == Safe && g.budget >= 1 &&
			(g.set.MaxAttempts == 0 || r.attempts < g.set.MaxAttempts) {
			g.do(Cancel{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// The tick.

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.ticks = g.now, g.ticks+1
	g.do(SetTimer{Token: "tick", After: g.tick})
	if g.ticks%uint32(max(1, time.Second/g.tick)) == 0 {
		g.watch()
		g.forget()
	}
	fade := math.Exp(-float64(dt) / float64(max(1, g.set.FallTime)))
	g.taken, g.draws, g.capacity = g.taken*fade, g.draws*fade, g.usableCapacity()
	g.earn(dt)
	g.sumLoads()
	g.adapt(dt)
	g.look(len(g.fleet))
	for _, s := range g.fleet {
		// A server without attempts yields no new observations, so the old ones decay.
		s.wear(min(1, dt.Seconds()/slowSpan.Seconds()))
		g.silence(s)
		if slices.Contains(s.watchers[:], g.set.Me) {
			g.tell(s)
		}
	}
	g.measure(dt)
	for _, c := range slices.Clone(g.waiting) {
		g.advance(c)
		g.age(c)
		for _, r := range c.held {
			g.renew(r)
		}
		if len(c.held) == 0 {
			continue
		}
		n := 1 << 30
		if c.plan.Open > 0 {
			out, held := g.others(c)
			mine := float64(len(c.held))
			part := (float64(c.plan.Open) - float64(c.out) - out) * mine / (mine + held)
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.drain(c, n)
	}
	if g.set.CanTell && (!g.tree || g.ticks%rootTicks == 0) {
		g.report()
	}
	// Each end is sent twice: the root would count the attempt until the client's deadline if it missed it.
	g.endsAgain()
}

// refuseExpired refuses held requests that can no longer meet their aim, while a retry can still help, and in
// any case before the deadline.
func (g *Gateway) age(c *customer) {
	for _, r := range slices.Clone(c.held) {
		if g.now-r.arrived > time.Duration(holdAim*float64(r.cl.Aim)) || g.now+2*g.tick >= r.deadline {
			g.refuse(r)
		}
	}
}

// needsReport reports whether peers must receive a report of the customer.
func (c *customer) news() bool {
	return len(c.set) > 0 && (c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0)
}

// reportPriority orders the customers of a report, the busiest first: by held requests, by unreported units
// relative to the token bucket's size, and by the time since the last report.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passed-c.toldUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.ticks-c.told)
}

// applyEntry applies a peer's report entry on a customer. Running totals make up for lost reports. A total
// that jumps implausibly, since the peer has restarted, is a new baseline.
func (g *Gateway) hear(c *customer, p *peer, e entry) {
	i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
	if i < 0 {
		return
	}
	g.advance(c)
	v := c.set[i]
	passed, met := v.read(e, p.inc, g.now)
	c.tokens = min(c.plan.Burst, max(0, c.tokens-passed))
	// A peer whose totals are new here has used the token bucket, or has reports of those who did. The lower
	// estimate counts, and the peer gets this gateway's estimate once. This protects against a token bucket
	// that is full at one gateway only.
	if (met || !c.known) && e.tokens != unknownTokens {
		c.known, c.fresh = true, max(c.fresh, 1)
		c.tokens = min(c.tokens, float64(e.tokens)/250*c.plan.Burst)
	}
}

// askRoot asks the customer's root to admit a request and waits for the answer. It asks again if ask or
// answer is lost, and then asks the deputy. If neither answers, the request may pass without an answer, and
// at once where this gateway receives from no peer: lost roots must not stop customers within their quotas.
func (g *Gateway) ask(r *request) {
	c, to := r.c, g.set.Me
	if len(c.ask) > 0 { // a change of the plan may have made this gateway the root
		if to = c.ask[0]; r.asked == rootAsks || g.gone(to) {
			to = c.ask[1]
		}
	}
	t := g.toPeer(to, r)
	delete(g.asks, r.tag)
	isolated := r.asked == 0 && to != g.set.Me && g.isolated()
	if isolated && t != nil { // a root that gets it counts it and answers
		r.tag = g.newTag(t)
		g.do(Tell{To: to, Data: encode(g.askOf(r, t))})
	}
	late := g.now+2*g.set.Resolution >= r.deadline
	if isolated || r.asked > rootAsks || t == nil && to != g.set.Me || late {
		if r.waits || c.plan.HardRate > 0 || !g.within(r) || !g.alone(r) || !g.try(r) {
			g.refuse(r)
		}
		return
	}
	if to == g.set.Me {
		g.admit(r)
		return
	}
	if r.asked != 1 || r.root != to || r.by != t { // a repeated ask keeps its tag
		r.tag, r.by = g.newTag(t), t
	}
	r.root, r.askedAt = to, g.now
	r.asked++
	wait := max(minReply, time.Duration(replySpread*float64(g.reply)))
	r.until = min(g.now+wait, r.deadline-2*g.set.Resolution)
	g.asks[r.tag] = r
	g.asking = append(g.asking, r)
	g.do(Tell{To: r.root, Data: encode(g.askOf(r, t))})
	g.do(SetTimer{Token: "ask", After: r.until - g.now})
}

// isolated reports whether no peer can be heard, so that asks to a root would be lost.
func (g *Gateway) isolated() bool { return g.tree && g.unheard >= isolatedAfter }

// admitAlone decides whether a request passes without a root's answer. As many first tries pass as roots
// recently granted; the less credit is left, the higher the value of a request must be. Servers and quotas
// thus see the same total as before. It harms where demand changes meanwhile.
func (g *Gateway) alone(r *request) bool {
	q := r.c.plan
	worth := q.fits + (1-q.fits)*(q.BeyondEarns-q.BeyondCosts)
	pass := !r.repeat && g.credit >= 1 && worth > 1-g.credit/g.maxCredit()
	if pass {
		g.credit--
	}
	return pass
}

// onAsk counts a request of another gateway as if it had arrived here.
func (g *Gateway) onAsk(from int, m ask, plan *quota, cl *class) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, plan, int(m.First), int(m.Spread))
	}
	// A deputy uses the fill that the root it replaces last reported.
	if m.Fill != unknownTokens && (fresh || len(c.ask) > 0) {
		c.tokens = min(c.tokens, float64(m.Fill)/250*c.plan.Burst)
	}
	// The ask is a repetition: the first answer was lost.
	if l, ok := c.leases[lease{from, m.Tag}]; ok {
		g.answer(l.r, granted)
		return
	}
	if i := c.heldFor(from, m.Tag); i >= 0 {
		g.answer(c.held[i], waits)
		return
	}
	g.advance(c)
	c.seen, c.sums = g.now, true
	c.rate += float64(m.Units) * 250 / float64(max(1, m.Thin))
	g.admit(g.requestOf(c, from, cl, m))
}

// grant counts another gateway's request and tells that gateway to send it.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r)
	c.leases[lease{r.root, r.tag}] = leased{g.leaseDue(c, r.deadline), r}
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

// leaseExpiry returns when a granted attempt stops counting unless its lease is renewed. Gateways renew the
// lease of an attempt under a cap while it is in flight or waits for a server. Otherwise the loss of the
// message that reports its end would leave its place taken.
func (g *Gateway) leaseDue(c *customer, deadline time.Duration) time.Duration {
	if c.plan.Open == 0 {
		return deadline
	}
	return min(deadline, g.now+leaseTicks*g.tick)
}

// renewLease renews the lease of a granted request under a cap, in flight or held, at each tick from one tick
// after the grant.
func (g *Gateway) renew(r *request) {
	if !r.granted || r.asked == 0 || r.over || r.c.plan.Open == 0 || g.now-r.askedAt < g.tick {
		return
	}
	if t := g.toPeer(r.root, r); t != nil {
		g.sendEnd(end{r.c, r.root, encode(stillOut(g.askOf(r, t)))})
	}
}

// onLeaseRenewal extends the lease of another gateway's attempt. If the lease has expired, or was granted
// before this gateway started, the attempt is counted again.
func (g *Gateway) onStill(from int, m ask, plan *quota) {
	c := g.customers[m.Customer]
	if c == nil {
		c = g.account(m.Customer, plan, int(m.First), int(m.Spread))
	}
	l, known := c.leases[lease{from, m.Tag}]
	if !known {
		l = g.grantOf(c, handedGrant{uint16(from), m.Tag, m.Units, m.Left})
		c.count(g.now, 1)
	}
	l.until = g.leaseDue(c, g.now+time.Duration(m.Left)*time.Millisecond)
	c.leases[lease{from, m.Tag}], c.sums, c.seen = l, true, g.now
}

// sendAnswer answers another gateway's ask. The answer also reports the token bucket's fill, the load ratio
// and the share of asks that fits the quota.
func (g *Gateway) answer(r *request, v byte) {
	fill := small(250 * max(0, r.c.tokens) / max(1, r.c.plan.Burst))
	part := 1.0
	if r.c.tokens < retryReserve*r.c.plan.Burst {
		part = min(1, r.c.plan.Rate*demandSpan.Seconds()/max(r.c.rate, 1))
	}
	g.do(Tell{To: r.root, Data: encode(answer{r.tag, v, fill, small(100 * g.loadRatio), small(250 * part)})})
}

func (g *Gateway) onAnswer(from int, m answer) {
	r := g.asks[m.Tag]
	if r == nil || r.root != from || r.over {
		return
	}
	c := r.c
	if !r.waits {
		g.reply += time.Duration(learn * float64(g.now-r.askedAt-g.reply))
	}
	g.advance(c)
	g.loadRatio += loadRatioWeight * (float64(m.Strain)/100 - g.loadRatio)
	c.part, c.partAt = float64(m.Part)/250, g.now
	c.tokens, c.told = float64(m.Fill)/250*c.plan.Burst, g.ticks+1
	if m.Verdict == waits {
		r.waits, r.until = true, min(r.arrived+time.Duration(holdAim*float64(r.cl.Aim)), r.deadline-g.tick)
		g.do(SetTimer{Token: "ask", After: max(g.set.Resolution, r.until-g.now)})
		return
	}
	delete(g.asks, m.Tag)
	if m.Verdict != granted {
		g.letIn(r, 0)
		r.asked = 0 // no gateway counts it
		g.refuse(r)
		return
	}
	g.letIn(r, 1)
	if r.granted = true; !g.within(r) {
		g.refuse(r)
	} else if !g.try(r) {
		g.hold(r)
	}
}

// Health monitoring. In a large fleet a gateway uses each server too seldom to evaluate it. Each server
// therefore has a health monitor among the gateways, which receives the outcomes of all and sends its
// verdicts, by class, to all.

// observeOutcome adds an outcome to the monitor's state of a server. A server that turns requests away counts
// as very slow, so that it gets few more until it answers.
func (g *Gateway) gather(s *server, class int, code Code, latency time.Duration) {
	v, mean := &s.by[class], g.classes[g.set.Classes[class].Name].mean
	seen := min(latency.Seconds()/mean*g.warmUpFraction(s), maxPace)
	switch code {
	case OK:
		v.errs *= 1 - sightWeight
		if v.bad {
			v.errs, v.wait = v.errs*trialWorth, 0
		}
	case Full:
		seen = maxPace
	case ConnectFailed:
		for i := range s.by {
			s.by[i].errs += 2 * sightWeight * (1 - s.by[i].errs)
		}
	default:
		for i := range s.by { // other classes may be affected too
			s.by[i].errs += sightWeight / 2 * (1 - s.by[i].errs)
		}
		v.errs += sightWeight / 2 * (1 - v.errs)
		seen = max(seen, s.pace)
	}
	s.pace += paceLearn * (seen - s.pace)
	g.tell(s)
}

// sendVerdict sends all gateways what has changed about a server that this gateway monitors, and repeats a
// verdict that keeps it ejected. Each verdict goes to every gateway, so all monitors together are limited to
// a share of the datagram budget.
func (g *Gateway) tell(s *server) {
	each := g.set.DatagramsPerSecond * verdictShare / float64(max(1, len(g.fleet), g.list.len()))
	s.verdicts = min(verdictKeep, s.verdicts+each*(g.now-s.verdictAt).Seconds())
	s.verdictAt = g.now
	first := g.judgeOf(s) == g.set.Me
	if !first || !g.tree {
		s.pace = s.slow // the second monitor observes only failures to connect
	}
	told, bad, until := s.masks(func(v *record) bool {
		return v.errs > sightLimit || v.bad && (!first || v.errs > sightLimit/2)
	})
	change := g.tree && max(s.pace/s.slow, s.slow/s.pace) > paceStep
	again := first && bad != 0 && until-g.now < verdictLife/4
	if s.verdicts < 1 || bad == told && !change && !again {
		return
	}
	m := verdict{Server: uint32(s.ID), Bad: bad, Pace: paceByte(s.pace)}
	g.onVerdict(m, bad)
	if g.tree {
		s.verdicts--
		g.do(Tell{To: -1, Data: encode(g.marked(m))})
	}
}

// encodeRelativeLatency encodes a relative latency for a message, in steps of 1/16 of its log2.
func paceByte(pace float64) byte { return small(16 * (4 + math.Log2(max(pace, 0.1)))) }
func paceOf(b byte) float64      { return math.Exp2(float64(b)/16 - 4) }
