// Package policy makes the decisions of a gateway that enforces customers' quotas on a shared API: which
// requests it admits, when, and to which server it sends each attempt. The interface (settings, events,
// actions) is in api.go. The decisions are in this file and in gateway.go; their constants are in this file.
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
	reportBudgetShare    = 0.75 // of a gateway's datagram budget
	minTick              = 25 * time.Millisecond
	maxTick              = 250 * time.Millisecond
	staleTicks           = 6                     // ticks; the demand split replaces an older report
	reportTravelTime     = 25 * time.Millisecond // assumed for a report on the network
	unreportedTickWeight = 0.01                  // held requests that a tick without a report counts as
	changeReportTicks    = 3                     // ticks for which a change is reported
	totalRestartWindow   = 2 * time.Second       // for which a total that began at zero is marked
	forgetAfter          = 10 * time.Second      // unused state; also decay time of a silent peer's demand

	// Demand, by which gateways divide a customer's quota.
	demandDecayTime     = 2 * time.Second // of the demand rates
	minSilentWeight     = 0.33            // share to which the demand of a silent peer decays
	baselineRateShare   = 0.02            // demand assumed for each gateway: of the plan's rate,
	baselineDemandFloor = 0.05            // and units a second on top

	// Caps on attempts in flight. Counts are means and thus fractional.
	arrivalSlack = 0.5  // part of an attempt's place that counts as a whole one at arrival
	releaseSlack = 0.25 // and for held requests

	// Holding and refusing requests.
	retryReserve = 0.3                    // share of the token bucket that retries leave to first tries
	noRoomWindow = 200 * time.Millisecond // retries are refused this long after no server had room
	maxHoldShare = 0.35                   // a request is held for this share of its latency target

	// Retry budget for attempts after the first, in attempts.
	retryBudgetEarned = 0.15 // by each first attempt
	maxRetryBudget    = 12.0

	// Latency estimates. A server's relative latency is its latency over the fleet's at equal load.
	initialLatencyDivisor = 8.0              // a class's first estimate is its latency target over this
	latencySampleWeight   = 0.1              // of an outcome at a server, of an answer in the reply time
	classSampleWeight     = 0.03             // of an outcome in a class's mean latency
	maxLatencyMeans       = 4.0              // means at which a sample of a class's latency is cut off
	maxRelativeLatency    = 12.0             // at which a sample of a relative latency is cut off
	serverStateDecayTime  = 10 * time.Second // of a server's relative latency and failure averages

	// Choice of a server. Only queueWeight and fullServerBackoff apply in a large fleet too.
	serverChoices     = 4               // servers compared for an attempt
	predictionJitter  = 0.2             // spread of a prediction, so that no server is left untried
	zoneCostWeight    = 25.0            // service times that a cross-zone cost of 1 counts as
	queueWeight       = 0.5             // service times that each attempt in flight adds to a latency
	maxWaitShare      = 0.15            // of the shortest latency target: a longer wait makes a server full,
	minFullLoad       = 2.5             // but not with fewer attempts in flight than this
	fullServerBackoff = 2 * time.Second // for the plan that a server refused as full

	// Cold servers (slow start).
	warmUpSlots = 2.0 // slots in OverloadTime, in which gateways take turns to send

	// Overdue attempts.
	minOverdueShare = 0.1 // of the latency target: a shorter predicted latency counts as this,
	overdueFactor   = 4.0 // and an attempt is overdue at this multiple of the prediction

	// Health verdicts, and trials of servers that are out of use.
	failureWeight       = 0.2         // of a failure in the failure average
	maxFailureAverage   = 0.45        // above it a server is out of use for the class
	maxOutOfUseShare    = 0.7         // above it servers out of use are used nevertheless
	trialSuccessFactor  = 0.6         // share of the failure average that a successful trial leaves
	minTrialInterval    = time.Second // each trial doubles the interval and adds this
	maxTrialInterval    = 8 * time.Second
	monitorSampleWeight = 0.025           // of an outcome in the monitor's relative latency of a server
	latencyChangeFactor = 1.7             // a relative latency is sent when it changed by this factor
	equivalenceMargin   = 0.02            // a failure average or log of a latency ratio within it counts as 0
	verdictLifetime     = 8 * time.Second // unless it is sent again
	verdictBudgetShare  = 0.1             // of the datagram budget, for verdicts of all monitors
	maxVerdictBudget    = 2.0             // verdicts that may be sent at once for a server
	zoneMultiple        = 12              // divisible by 2, 3, 4 and 6, the possible numbers of zones

	// Load shedding. The load ratio is the mean of latency over latency target.
	sheddingLoadRatio  = 0.6              // above it load is shed
	sheddingTime       = 3 * time.Second  // in which the admitted share falls to 1/e
	recoveryTime       = 8 * time.Second  // in which the admitted share grows from 0 to 1
	minAdmitted        = 0.25             // share of requests: enough outcomes to notice a recovery
	loadRatioDecayTime = 12 * time.Second // of the load ratio, to 1/e
	loadRatioWeight    = 0.15             // of an outcome, or of a root's answer

	// Roots, in fleets whose reports from all to all would exceed the datagram budget.
	maxAllToAllTick       = maxTick * 2 / 3  // longest tick up to which reports from all to all are better
	rootBudgetShare       = 0.5              // of a root's datagram budget, for one customer
	rootPeakFactor        = 2.0              // asks a root must handle: multiple of those inside the quota
	rootReportTicks       = 2                // ticks between reports of a customer's roots to each other
	restartFillShare      = 0.8              // fill of a token bucket that a root presumes when it starts
	deputyCeilingShare    = 0.25             // of a hard ceiling, held by the deputy
	grantSampleWeight     = 0.05             // of an answer in the granted share of a plan's requests
	leaseTicks            = 3                // ticks until a lease expires: one renewal may be lost
	askChanceRecoveryTime = 20 * time.Second // in which a reduced chance to ask the root grows from 0 to 1
	shutdownAbsence       = 2 * time.Second  // a gateway that shut down is back by then, or counts as silent

	// Asks to roots, and what is admitted without an answer.
	maxRootAsks        = 3 // to a root, before its deputy is asked
	minReplyTimeout    = 30 * time.Millisecond
	replyTimeoutFactor = 2.5             // times the mean reply time
	isolatedAfterAsks  = 4               // unanswered, and no message at all: as many as one request makes
	grantDecayTime     = 4 * time.Second // of the count of requests that roots granted
	creditWindow       = time.Second / 2 // of that rate of grants, admitted at once without an answer

	// Subsets of servers in a large fleet.
	minSubsetSize       = 20    // servers: enough to average out slow ones,
	minSubsetsPerServer = 8.0   // but as many as put each server into this many gateways' subsets,
	maxSubsetSize       = 128.0 // up to this many
	widerSubsetFactor   = 8     // size, in subsets, of the set examined where half the subset is out of use
	otherZoneWeight     = 0.7   // of a server in another zone
)

// New returns a gateway with empty state. The seed feeds its random choices: equal settings, seeds and events
// give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.retryBudget, g.minTarget = maxRetryBudget, math.Inf(1)
	for _, c := range g.classes {
		c.meanLatency = c.LatencyTarget.Seconds() / initialLatencyDivisor
		g.meanLatency, g.minTarget = max(g.meanLatency, c.meanLatency),
			min(g.minTarget, c.LatencyTarget.Seconds())
	}
	reportBudget := max(s.DatagramsPerSecond*reportBudgetShare, 1)
	g.tick = time.Duration(float64(max(s.Gateways-1, 1)) / reportBudget * float64(time.Second))
	g.outcomeWeight, g.admittedFraction = latencySampleWeight, 1
	if g.largeFleet = g.tick > maxAllToAllTick && s.CanSendMessages; g.largeFleet {
		g.outcomeWeight = 0 // the monitors observe more outcomes than this gateway
	}
	g.nextTag, g.meanReplyTime = g.rng.Uint32(), minReplyTimeout
	if !g.largeFleet {
		g.addAllPeers()
	}
	g.tick = max(min(max(g.tick, minTick), maxTick), s.Resolution)
	return g, nil
}

// Customers, their token buckets and their caps.

// newCustomer starts a customer's counts and assigns the gateways that sum them: all of the customer's
// gateways in a small fleet, its roots in a large one. The other gateways ask its roots.
func (g *Gateway) newCustomer(key uint64, plan *quota, first, spread int) *customer {
	spread = max(1, min(spread, g.settings.Gateways))
	c := &customer{key: key, hash: shortHash(key), plan: plan, ceilingDivisor: float64(spread),
		fittingShare: 1, first: first, tokens: g.initialTokens(key, plan), leases: map[leaseKey]activeLease{},
		spread: spread, tokensAt: g.now, inFlightUpdatedAt: g.now, countedSince: g.now}
	g.assignRoots(c)
	// This gateway's part of the ceiling is empty when the gateway starts, so that a restart doesn't grant it
	// a second time.
	c.ceilingTokens = min(plan.HardBurst, plan.HardRate*(g.now-g.startedAt).Seconds()) / c.ceilingDivisor
	g.indexCustomer(c)
	return c
}

// initialTokens returns the units in a customer's token bucket when its counts begin. Until the bucket's fill
// time has passed since this gateway's start, the bucket may have been emptied before the start, and must not
// be granted twice. After a crash no snapshot covers the last admissions, so the bucket holds only what has
// flowed in since the start.
func (g *Gateway) initialTokens(key uint64, plan *quota) float64 {
	age := (g.now - g.startedAt).Seconds()
	stored, found := g.restoredTokens[key]
	switch {
	case plan.Rate == 0 || age >= plan.Burst/plan.Rate:
	case found:
		return min(plan.Burst, stored+plan.Rate*(age+g.restoredAge.Seconds()))
	case g.restored && !g.restoredClean:
		return plan.Rate * age
	case g.largeFleet && !g.restoredClean:
		return plan.Burst * restartFillShare
	}
	return plan.Burst
}

// assignRoots finds the gateways that sum a customer's counts, by the figures of its plan.
func (g *Gateway) assignRoots(c *customer) {
	roots, deputy := g.roots(c)
	if c.rootAndDeputy = nil; slices.Contains(roots, g.settings.Self) || !g.largeFleet {
		g.updatePeerViews(c, roots)
	} else if c.plan.Rate > 0 || c.plan.MaxInFlight > 0 {
		c.rootAndDeputy = []int{roots[g.settings.Self%len(roots)], deputy}
	}
	if g.largeFleet {
		// Roots and deputy hold all parts of the ceiling.
		c.ceilingDivisor = float64(len(roots)) / (1 - deputyCeilingShare)
		if len(c.rootAndDeputy) > 0 {
			c.ceilingDivisor = 1 / deputyCeilingShare
		}
	}
}

// applyPlanChange applies new figures of a customer's plan to its counts. New figures reduce the content of a
// token bucket but never increase it, except that a customer whose plan had no rate starts with a full
// bucket.
func (g *Gateway) applyPlanChange(c *customer, old Plan) {
	g.assignRoots(c)
	if old.Rate == 0 && c.plan.Rate > 0 {
		c.tokens = c.plan.Burst
	}
	c.tokens, c.ceilingTokens = min(c.tokens, c.plan.Burst),
		min(c.ceilingTokens, c.plan.HardBurst/c.ceilingDivisor)
}

// roots returns the gateways that sum a customer's counts: in a large fleet as few as can receive all asks
// for it, in a small fleet all gateways of the customer. The deputy replaces a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.largeFleet {
		asks := rootPeakFactor * c.plan.Rate
		if c.plan.MaxInFlight > 0 {
			asks += c.plan.Rate // the end of each admitted attempt is reported too
		}
		asks /= max(1, g.settings.MaxUnits/2)
		k = min(max(1, int(math.Ceil(asks/max(1, g.settings.DatagramsPerSecond*rootBudgetShare)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(k+1))
	for i := range k + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.settings.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// advance refills a customer's token buckets up to now and decays its demand rates. A silent peer may be
// merely cut off and still admit requests, so its demand-split share of the rate is left to it.
func (g *Gateway) advance(c *customer) {
	dt := (g.now - c.tokensAt).Seconds()
	if dt <= 0 {
		return
	}
	c.tokensAt = g.now
	silentDemand := 0.0
	for _, v := range c.peerViews {
		if g.silent(v.peer) {
			silentDemand += g.peerDemand(c, v)
		}
	}
	share := 1 - silentDemand/g.totalDemand(c)
	if len(c.rootAndDeputy) > 0 && !c.actsAsRoot || g.isolated() {
		share = 1 / float64(c.spread) // only the root knows what the others admit
	}
	c.tokens = min(c.plan.Burst, c.tokens+c.plan.Rate*dt*share)
	c.ceilingTokens = max(c.ceilingTokens,
		min(c.plan.HardBurst/c.ceilingDivisor, c.ceilingTokens+c.plan.HardRate/c.ceilingDivisor*dt))
	k := math.Exp(-dt / demandDecayTime.Seconds())
	c.recentUnits *= k
	for _, v := range c.peerViews {
		v.recentUnits *= k
	}
	if !c.tokensKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.tokensKnown = true
	}
}

// silent reports whether a peer's counts are too old to use.
func (g *Gateway) silent(p *peer) bool {
	return !p.hasReported || p.shutDown || g.now-p.lastReportAt > staleTicks*g.tick
}

// baselineDemand returns the demand in units a second that is assumed for each gateway, so that the split of
// a new customer's quota is equal.
func (g *Gateway) baselineDemand(c *customer) float64 {
	return baselineRateShare*c.plan.Rate + baselineDemandFloor
}

// peerDemand returns a peer's demand in units a second for the demand split. A silent peer counts as much as
// this gateway at first, then less, but never nothing: it may be cut off and still admit its share, or it may
// have failed.
func (g *Gateway) peerDemand(c *customer, v *peerView) float64 {
	w := v.recentUnits
	if v.peer.shutDown {
		return 0 // it has announced its shutdown
	}
	if g.silent(v.peer) {
		decay := math.Exp(-(g.now - max(v.peer.lastReportAt, g.startedAt)).Seconds() / forgetAfter.Seconds())
		w = max(w, c.recentUnits) * (minSilentWeight + (1-minSilentWeight)*decay)
	}
	return w/demandDecayTime.Seconds() + g.baselineDemand(c)
}

// totalDemand returns the demand of all gateways in units a second, this one's included.
func (g *Gateway) totalDemand(c *customer) float64 {
	sum := c.recentUnits/demandDecayTime.Seconds() + g.baselineDemand(c)
	for _, v := range c.peerViews {
		sum += g.peerDemand(c, v)
	}
	return sum
}

// demandShare returns this gateway's share of the customer's total demand.
func (g *Gateway) demandShare(c *customer) float64 {
	return (c.recentUnits/demandDecayTime.Seconds() + g.baselineDemand(c)) / g.totalDemand(c)
}

// allowance returns the units that this gateway may admit now from the customer's token bucket: its
// demand-split share or, if that is more, what remains after all units that the peers may be asked for before
// their next reports arrive.
func (g *Gateway) allowance(c *customer) float64 {
	reportDelay := (g.tick + reportTravelTime).Seconds()
	unreportedUnits := 0.0
	for _, v := range c.peerViews {
		wait := reportDelay
		if !v.peer.complete {
			wait += min(g.now-v.receivedAt, staleTicks*g.tick).Seconds()
		}
		unreportedUnits += g.peerDemand(c, v) * wait
	}
	return max(c.tokens*g.demandShare(c), c.tokens-unreportedUnits)
}

// peerCounts sums the attempts in flight and the held requests that the peers report. For a silent peer, its
// demand-split share of the cap counts as in flight.
func (g *Gateway) peerCounts(c *customer) (inFlight, held float64) {
	for _, v := range c.peerViews {
		if g.silent(v.peer) {
			inFlight += float64(c.plan.MaxInFlight) * g.peerDemand(c, v) / g.totalDemand(c)
			continue
		}
		inFlight += v.inFlight
		held += v.held
	}
	return inFlight, held
}

// hasRoom reports whether one more attempt of the customer fits under its cap. A request that has just
// arrived may only use this gateway's demand-split share of the free room, but at least one place of it.
func (g *Gateway) hasRoom(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 {
		return true
	}
	inFlight, _ := g.peerCounts(c)
	free, next := float64(c.plan.MaxInFlight)-inFlight, float64(c.inFlight+1)
	if arrival {
		return next <= max(free*g.demandShare(c), min(1, free+arrivalSlack))
	}
	return next <= free+releaseSlack
}

// Requests.

func (g *Gateway) onRequest(r *request) {
	c := r.customer
	c.recentUnits += r.units
	// This close to the deadline no wait is possible.
	if r.deadline-g.now <= 2*g.settings.Resolution || g.rng.Float64() > g.admittedFraction {
		g.refuse(r)
		return
	}
	if len(c.rootAndDeputy) == 0 {
		g.admit(r)
		return
	}
	// For a customer far above its quota, only the share of requests that fits is asked for. The root could
	// not receive all its asks, and would lose those of other customers too. This harms a customer whose
	// demand falls, for as long as askChanceRecoveryTime.
	r.askChance = 1
	if c.plan.Rate > 0 && c.lastReportTick > 0 {
		r.askChance = min(1,
			c.fittingShare+(g.now-c.fittingShareAt).Seconds()/askChanceRecoveryTime.Seconds())
	}
	if g.rng.Float64() > r.askChance {
		g.refuse(r)
		return
	}
	g.askRoot(r)
}

// admit passes a request on, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.customer
	c.reportTicksLeft = changeReportTicks
	// A client's retry is often late. It yields to first tries while requests wait for servers or the token
	// bucket is low. This protects against retry storms. It harms clients whose retries come soon, where
	// latency targets are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst ||
		!r.remote && g.noRoomAt > 0 && g.now-g.noRoomAt < noRoomWindow
	if !g.withinQuota(r) || r.clientRetry && scarce {
		g.refuse(r)
		return
	}
	if len(c.held) == 0 && g.hasRoom(c, true) && g.trySend(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.closed {
		g.sendAnswer(r, answerHeld)
	}
}

// withinQuota reports whether the quota and the hard ceiling have the request's units left, or have already
// been charged.
func (g *Gateway) withinQuota(r *request) bool {
	c := r.customer
	return r.charged || r.granted || (c.plan.Rate == 0 || g.allowance(c) >= r.units) &&
		(c.plan.HardRate == 0 || c.ceilingTokens >= r.units)
}

// hold queues a request for its customer. It refuses a request that the next tick would be too late to
// answer.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.settings.Resolution >= r.deadline {
		g.refuse(r)
		return
	}
	g.enqueue(r)
}

// trySend sends the request to a server if one has room. A request that another gateway asks for is granted
// instead.
func (g *Gateway) trySend(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	g.recentDraws++
	s := g.pick(r)
	if s == nil {
		g.noRoomAt = g.now
		return false
	}
	c := r.customer
	if !r.charged {
		r.charged = true
		c.takeTokens(r)
		g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetEarned)
	}
	c.reportTicksLeft = changeReportTicks
	g.recordSend(r, s)
	if g.recentAccepted++; g.warmUpFraction(s) < 1 {
		s.recentSends = append(s.recentSends, g.now)
	}
	var timeout time.Duration
	if !g.settings.CanCancel && r.class.Effect == Safe && !r.class.Stream {
		timeout = max(r.class.LatencyTarget*3/5, r.deadline-g.now-r.class.LatencyTarget)
	}
	g.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// refuse sends the final answer: Refuse where a retry is harmless, else Fail.
func (g *Gateway) refuse(r *request) {
	if r.remote {
		g.sendAnswer(r, answerRefused)
	} else if r.mayHaveRun && r.class.Effect != Safe &&
		!(r.class.Effect == Keyed && r.class.Group == GroupAll) {
		g.emit(Fail{ID: r.id})
	} else {
		g.emit(Refuse{ID: r.id, RetryAfter: g.retryAdvice(r)})
	}
	g.close(r)
}

func (g *Gateway) onOutcome(ev Outcome) {
	r := g.requests[ev.ID]
	if r == nil || r.server == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.server, r.customer
	g.advance(c)
	c.reportTicksLeft = changeReportTicks
	g.recordEnd(r, ev.Code)
	g.recordOutcome(s, r, ev)
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.adjustUnits(ev.ActualUnits - r.units)
	}
	switch {
	case r.closed || ev.Answered || ev.Code == OK:
		g.close(r)
	case ev.Code == NotSent || g.now >= r.deadline || !g.mayRetry(r, ev.Code):
		g.refuse(r)
	case !g.hasRoom(c, false) || !g.trySend(r):
		g.hold(r)
	}
	g.release(c)
}

// mayRetry decides whether a request may have another attempt; usable decides which servers it may go to. The
// retry budget keeps retries from amplifying an overload.
func (g *Gateway) mayRetry(r *request, code Code) bool {
	if g.settings.MaxAttempts > 0 && r.attempts >= g.settings.MaxAttempts ||
		r.mayHaveRun && (r.class.Effect == Unsafe ||
			r.class.Effect == Keyed && g.now-r.ranAt >= r.class.Window) ||
		g.now+time.Duration(r.class.meanLatency/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		g.retryBudget--
	}
	return g.retryBudget >= 0
}

// sendHeld sends up to n of a customer's held requests, oldest first. It returns false when no server had
// room.
func (g *Gateway) sendHeld(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if !g.withinQuota(r) {
			g.refuse(r)
			continue
		}
		if !g.hasRoom(c, false) {
			return true
		}
		if !g.trySend(r) {
			return false
		}
		g.dequeue(c, 0)
	}
	return true
}

// Servers.

// warmUpFraction returns the smallest share of its full capacity that a server can have by now (slow start).
func (g *Gateway) warmUpFraction(s *server) float64 {
	if !s.HasStart || g.settings.WarmUpTime <= 0 || g.settings.MinWarmUpFraction <= 0 {
		return 1
	}
	age := float64(g.now-s.Start) / float64(g.settings.WarmUpTime)
	return min(1, g.settings.MinWarmUpFraction+(1-g.settings.MinWarmUpFraction)*max(age, 0))
}

// load returns the attempts in flight at a server: this gateway's own, and the peers' as last reported.
func (g *Gateway) load(s *server) float64 { return float64(s.inFlight) + s.peersInFlight }

// predict returns the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.meanLatency * s.relativeLatency *
		(1 + queueWeight*g.load(s)/g.relativeSize(s)) / g.warmUpFraction(s)
}

// full reports whether a server has all the work it can finish in time: the wait there would exceed a share
// of the shortest latency target. Further requests are held here, where they can still go elsewhere or be
// refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.relativeSize(s)
	return load >= minFullLoad &&
		g.meanLatency*s.relativeLatency/g.warmUpFraction(s)*queueWeight*load > maxWaitShare*g.minTarget
}

// usable reports whether a request may go to a server at all: the server runs and hasn't just refused the
// plan as full, a keyed request that may have run stays inside its group and window, and a cold server may
// get one more request from this gateway.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || g.now < s.fullUntil[r.customer.plan] ||
		r.mayHaveRun && r.class.Effect == Keyed && (g.now-r.ranAt >= r.class.Window || !r.sameGroup(s)) {
		return false
	}
	return g.warmUpFraction(s) == 1 || g.admitsWarmUp(s)
}

// warmUpAllowance returns how many requests this gateway may send a cold server within OverloadTime, on
// average. All gateways together may send the multiple of the server's capacity that the settings allow. The
// capacity is estimated from the attempts that servers recently accepted from this gateway, the current
// request included, relative to the capacity of these servers.
func (g *Gateway) warmUpAllowance(s *server) float64 {
	if g.settings.OverloadMultiple <= 0 {
		return math.MaxInt32 // no load makes it fail
	}
	capacity := (g.recentAccepted + 1) / max(1, g.capacity) * g.warmUpFraction(s) * g.relativeSize(s)
	return capacity * g.settings.OverloadMultiple * warmUpSlots / (warmUpSlots + 1)
}

// warmUpChance returns the probability that a slot belongs to this gateway, given the fraction of a request
// that it may send within OverloadTime. The fraction is divided by the number of slots in which this gateway
// has a request to send: one for each recent choice of a server, but no more than warmUpSlots.
func (g *Gateway) warmUpChance(part float64) float64 {
	return part / min(warmUpSlots, max(1, g.recentDraws))
}

// admitsWarmUp reports whether this gateway may send one more request to a cold server. A minimum of one
// request for each gateway would admit as many as there are gateways. Therefore OverloadTime is divided into
// slots, and the fraction of an allowance is the probability that a slot belongs to this gateway, however
// often held requests choose a server again. The positions of the gateways are evenly spread, so their slots
// together admit the sum of their allowances.
func (g *Gateway) admitsWarmUp(s *server) bool {
	s.recentSends = slices.DeleteFunc(s.recentSends, func(t time.Duration) bool {
		return g.now-t > g.settings.OverloadTime
	})
	part := g.warmUpAllowance(s)
	whole := math.Floor(part)
	if !g.largeFleet {
		whole = max(1, whole) // all gateways receive reports of the load there
	} else if g.warmUpSlot(s) < g.warmUpChance(part-whole) {
		whole++
	}
	return float64(len(s.recentSends)) < whole
}

// warmUpSlot returns this gateway's position, from 0 to 1, in the order of the gateways that may send a cold
// server a request in the current slot.
func (g *Gateway) warmUpSlot(s *server) float64 {
	slot := math.Floor(warmUpSlots * float64(max(0, g.now-s.Start)) /
		float64(max(1, g.settings.OverloadTime)))
	return fractionalPart(s.warmUpRank + slot*math.Phi)
}

// pick chooses a server, or returns nil when none has room. Servers that are out of use for the class are
// skipped unless they are too many; a health monitor tries them now and then. A gateway of a small fleet
// takes the best of a few random servers by predicted latency and zone cost.
func (g *Gateway) pick(r *request) *server {
	if s := g.trialServer(r); s != nil {
		return s
	}
	if g.largeFleet {
		return g.drawServer(g.candidates(r))
	}
	ok, outOfUse := g.partitionUsable(g.tracked, r)
	if tooManyOutOfUse(outOfUse, ok) {
		ok = append(ok, outOfUse...)
	}
	var best *server
	lowest := math.Inf(1)
	for k := 0; k < serverChoices && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.full(s) {
			continue
		}
		p := g.predict(s, r.class) * (1 - predictionJitter/2 + predictionJitter*g.rng.Float64())
		k++
		if s.Zone != g.settings.Zone {
			p += r.class.meanLatency * g.settings.CrossZoneCost * zoneCostWeight
		}
		if p < lowest {
			best, lowest = s, p
		}
	}
	return best
}

// trialServer returns a server that is out of use for the request's class and due for a trial. Only its
// active health monitor tries it.
func (g *Gateway) trialServer(r *request) *server {
	if r.attempts > 0 || r.class.Effect == Unsafe {
		return nil
	}
	for _, s := range g.tracked {
		if g.outOfUse(s, r.class) && g.activeMonitor(s) == g.settings.Self && g.usable(s, r) {
			v := g.healthOf(s, r.class)
			if g.now < v.nextTrialAt {
				continue
			}
			v.trialInterval = min(2*v.trialInterval+minTrialInterval, maxTrialInterval)
			v.nextTrialAt = g.now + v.trialInterval
			return s
		}
	}
	return nil
}

// partitionUsable returns the servers that a request may use, and those that are excluded only because they
// are out of use for its class.
func (g *Gateway) partitionUsable(list []*server, r *request) (ok, outOfUse []*server) {
	g.countInspected(len(list))
	for _, s := range list {
		if s == r.lastServer || !g.usable(s, r) {
			continue
		}
		if g.outOfUse(s, r.class) {
			outOfUse = append(outOfUse, s)
		} else {
			ok = append(ok, s)
		}
	}
	return ok, outOfUse
}

// tooManyOutOfUse reports whether the share of servers out of use is so large that they are used
// nevertheless.
func tooManyOutOfUse(outOfUse, ok []*server) bool {
	return float64(len(outOfUse)) > maxOutOfUseShare*float64(len(ok)+len(outOfUse))
}

// candidates returns the servers from which a gateway of a large fleet draws: the usable servers of its
// subset. Where at least half of the subset is out of use, or no server of it is left, a set several times as
// large shows whether that holds for the whole fleet, and replaces the subset if no server of it is left. By
// its subset alone a gateway would send all its traffic to the last few servers, which would fail under it. A
// retry that must stay in its group goes to a part of that group.
func (g *Gateway) candidates(r *request) []*server {
	group := g.requiredGroup(r)
	list := g.subset
	if group != nil {
		list = g.groupSample(group, min(minSubsetSize, group.len()))
	}
	ok, outOfUse := g.partitionUsable(list, r)
	if len(ok) > len(outOfUse) {
		return ok
	}
	if group != nil {
		list = g.groupSample(group, min(minSubsetSize*widerSubsetFactor, group.len()))
	} else {
		list = g.widerSubset()
	}
	wideOK, wideOutOfUse := g.partitionUsable(list, r)
	switch all := tooManyOutOfUse(wideOutOfUse, wideOK); {
	case all && len(ok)+len(outOfUse) > 0:
		return append(ok, outOfUse...)
	case all:
		return append(wideOK, wideOutOfUse...)
	case len(ok) > 0:
		return ok
	}
	return wideOK
}

// subsetSize returns how many servers a gateway uses: enough to average out slow ones, and to put each server
// into the subsets of several gateways, whose traffic differs.
func (g *Gateway) subsetSize() float64 {
	perGateway := minSubsetsPerServer * float64(g.runningServers) / float64(g.settings.Gateways)
	return min(max(minSubsetSize, perGateway), maxSubsetSize)
}

// chooseSubset picks the servers that this gateway of a large fleet uses. If every gateway used all servers,
// each server would have connections from every gateway, most of them for a request or two. From each zone a
// gateway takes a run of the running servers in the order of their IDs, in proportion to the zone's size.
// Each gateway starts at another position, so all servers are in equally many subsets, to within one for each
// zone, and the loss of a zone never takes a whole subset. Adding or removing one server changes at most two
// members of a subset, and servers of a lost zone are replaced by more servers of the other zones.
func (g *Gateway) chooseSubset() {
	if !g.largeFleet {
		return
	}
	for _, s := range g.subset {
		s.inSubset = false
	}
	g.subset = g.expandedSubset(1)
	for _, s := range g.subset {
		s.inSubset = true
	}
}

// expandedSubset returns a set that is the given number of times as large as the subset.
func (g *Gateway) expandedSubset(factor float64) (list []*server) {
	for _, z := range g.allServers.zones {
		n := z.running.len()
		runLength := g.subsetSize() * float64(n) / float64(max(1, g.runningServers))
		first := g.ringPosition(z.offset) * float64(n)
		for next := int(first); next < min(int(first+runLength*factor), int(first)+n); next++ {
			s := g.track(z.running.at(next % n))
			s.warmUpRank = fractionalPart((float64(next) - first) / runLength)
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// widerSubset returns a set several times as large as the subset. Cold servers outside the subset are left
// out: the gateways that have them in their subsets already send as much as they can handle.
func (g *Gateway) widerSubset() []*server {
	cold := func(s *server) bool { return !s.inSubset && g.warmUpFraction(s) < 1 }
	return slices.DeleteFunc(g.expandedSubset(widerSubsetFactor), cold)
}

// drawServer chooses a server at random by its share of the fleet's capacity. Gateways of a large fleet don't
// know the load at a server; if each took the best of a few, all would send to the same servers.
func (g *Gateway) drawServer(ok []*server) *server {
	for _, s := range ok {
		s.drawWeight = g.relativeSize(s) / max(s.relativeLatency, 1) / float64(1+s.inFlight)
		if s.Zone != g.settings.Zone {
			s.drawWeight *= otherZoneWeight
		}
		if warmUp := g.warmUpFraction(s); warmUp < 1 {
			// A larger weight in this gateway's slots makes up for the slots in which it sends nothing.
			s.drawWeight *= warmUp / min(1, g.warmUpChance(g.warmUpAllowance(s)))
		}
	}
	return g.drawByWeight(ok)
}

// recordOutcome updates the estimates of latency, failures and load from an outcome.
func (g *Gateway) recordOutcome(s *server, r *request, ev Outcome) {
	if ev.Code != NotSent && ev.Code != Cancelled {
		g.notifyMonitors(s, r.class, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.loadRatio += loadRatioWeight *
			(min(1, ev.Latency.Seconds()/r.class.LatencyTarget.Seconds()) - g.loadRatio)
	}
	switch ev.Code {
	case OK:
		if v := g.healthOf(s, r.class); v != nil {
			v.lastSuccessAt = g.now
		}
		loadFactor := (1 + queueWeight*r.loadAtSend/g.relativeSize(s)) / g.warmUpFraction(s)
		idleLatency := ev.Latency.Seconds() / loadFactor
		s.relativeLatency += g.outcomeWeight *
			(min(idleLatency/r.class.meanLatency, maxRelativeLatency) - s.relativeLatency)
		g.meanLatency += classSampleWeight * (r.class.meanLatency - g.meanLatency)
		r.class.outcomes++ // the first outcomes have a larger weight
		r.class.meanLatency += max(classSampleWeight, 1/(r.class.outcomes+1)) *
			(min(idleLatency, maxLatencyMeans*r.class.meanLatency) - r.class.meanLatency)
	case Full:
		// The server may refuse this plan only, so requests of the plan go elsewhere for a while.
		s.fullUntil[r.customer.plan] = g.now + fullServerBackoff
		g.recentAccepted = max(0, g.recentAccepted-1)
		g.loadRatio += loadRatioWeight * (1 - g.loadRatio)
	}
}

// adaptAdmission adapts the admitted share of the requests to the load ratio (load shedding). It protects
// against load on all servers that isn't reported to this gateway: silent peers, slow fleets. It refuses too
// much where latency targets are close to the latencies of idle servers.
func (g *Gateway) adaptAdmission(dt time.Duration) {
	if g.loadRatio > sheddingLoadRatio {
		g.admittedFraction = max(minAdmitted,
			g.admittedFraction*math.Exp(-dt.Seconds()/sheddingTime.Seconds()))
	} else {
		g.admittedFraction = min(1, g.admittedFraction+dt.Seconds()/recoveryTime.Seconds())
	}
	g.loadRatio *= math.Exp(-dt.Seconds() / loadRatioDecayTime.Seconds())
}

// checkOverdue counts attempts that are far older than predicted as failed, and cancels those that can go
// elsewhere. It protects against servers that accept requests and never answer. It harms when all servers
// slow down at once, as far as the retry budget permits.
func (g *Gateway) checkOverdue(s *server) {
	for _, r := range slices.Clone(s.inFlightRequests) {
		g.renewLease(r)
		age := (g.now - r.sentAt).Seconds() /
			max(g.predict(s, r.class), minOverdueShare*r.class.LatencyTarget.Seconds())
		v := g.healthOf(s, r.class)
		if age < overdueFactor || r.closed || r.timedOut || r.streaming ||
			v != nil && v.lastSuccessAt > r.sentAt {
			continue
		}
		r.timedOut = true
		g.notifyMonitors(s, r.class, TimedOut, g.now-r.sentAt)
		if g.settings.CanCancel && r.class.Effect == Safe && g.retryBudget >= 1 &&
			(g.settings.MaxAttempts == 0 || r.attempts < g.settings.MaxAttempts) {
			g.emit(Cancel{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// The tick.

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.tickCount = g.now, g.tickCount+1
	g.emit(SetTimer{Token: "tick", After: g.tick})
	if g.tickCount%uint32(max(1, time.Second/g.tick)) == 0 {
		g.requestServerList()
		g.dropUnused()
	}
	decay := math.Exp(-float64(dt) / float64(max(1, g.settings.OverloadTime)))
	g.recentAccepted, g.recentDraws, g.capacity =
		g.recentAccepted*decay, g.recentDraws*decay, g.usableCapacity()
	g.accrueCredit(dt)
	g.sumPeerLoads()
	g.adaptAdmission(dt)
	g.countInspected(len(g.tracked))
	for _, s := range g.tracked {
		// A server without attempts yields no new observations, so the old ones decay.
		s.decay(min(1, dt.Seconds()/serverStateDecayTime.Seconds()))
		g.checkOverdue(s)
		if slices.Contains(s.monitors[:], g.settings.Self) {
			g.sendVerdict(s)
		}
	}
	g.updateMeans(dt)
	for _, c := range slices.Clone(g.waitingCustomers) {
		g.advance(c)
		g.refuseExpired(c)
		for _, r := range c.held {
			g.renewLease(r)
		}
		if len(c.held) == 0 {
			continue
		}
		n := 1 << 30
		if c.plan.MaxInFlight > 0 {
			inFlight, held := g.peerCounts(c)
			mine := float64(len(c.held))
			part := (float64(c.plan.MaxInFlight) - float64(c.inFlight) - inFlight) * mine / (mine + held)
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.sendHeld(c, n)
	}
	if g.settings.CanSendMessages && (!g.largeFleet || g.tickCount%rootReportTicks == 0) {
		g.sendReports()
	}
	// Each end is sent twice. A root that misses it counts the attempt until the lease expires, at the latest
	// at the client's deadline.
	g.resendEnds()
}

// refuseExpired refuses held requests that can no longer meet their latency target, while a retry can still
// help, and in any case before the deadline.
func (g *Gateway) refuseExpired(c *customer) {
	for _, r := range slices.Clone(c.held) {
		if g.now-r.arrivedAt > time.Duration(maxHoldShare*float64(r.class.LatencyTarget)) ||
			g.now+2*g.tick >= r.deadline {
			g.refuse(r)
		}
	}
}

// needsReport reports whether peers must receive a report of the customer.
func (c *customer) needsReport() bool {
	return len(c.peerViews) > 0 &&
		(c.inFlight > 0 || c.meanInFlight > 0 || len(c.held) > 0 || c.reportTicksLeft > 0)
}

// reportUrgency orders the customers of a report, the busiest first: by held requests, by unreported units
// relative to the token bucket's size, and by the time since the last report.
func (g *Gateway) reportUrgency(c *customer) float64 {
	units := float64(c.admittedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + unreportedTickWeight*float64(g.tickCount-c.lastReportTick)
}

// applyEntry applies a peer's report entry on a customer. Running totals make up for lost reports. The
// total of a peer that has restarted, or has started to count the customer again, is a new baseline.
func (g *Gateway) applyEntry(c *customer, p *peer, e customerEntry) {
	i := slices.IndexFunc(c.peerViews, func(v *peerView) bool { return v.peer == p })
	if i < 0 {
		return
	}
	g.advance(c)
	v := c.peerViews[i]
	passed, newTotals := v.update(e, p.incarnation, g.now)
	c.tokens = min(c.plan.Burst, max(0, c.tokens-passed))
	// A peer whose totals are new here has used the token bucket, or has reports of those who did. The lower
	// estimate counts, and the peer gets this gateway's estimate once. This protects against a token bucket
	// that is full at one gateway only.
	if (newTotals || !c.tokensKnown) && e.tokens != unknownTokens {
		c.tokensKnown, c.reportTicksLeft = true, max(c.reportTicksLeft, 1)
		c.tokens = min(c.tokens, float64(e.tokens)/250*c.plan.Burst)
	}
}

// askRoot asks the customer's root to admit a request and waits for the answer. It asks again if ask or
// answer is lost, and then asks the deputy. If neither answers, the request may pass without an answer, and
// at once where this gateway receives from no peer: lost roots must not stop customers within their quotas.
func (g *Gateway) askRoot(r *request) {
	c, to := r.customer, g.settings.Self
	if len(c.rootAndDeputy) > 0 { // a change of the plan may have made this gateway the root
		if to = c.rootAndDeputy[0]; r.askCount == maxRootAsks || g.isAbsent(to) {
			to = c.rootAndDeputy[1]
		}
	}
	t := g.tableFor(to, r)
	delete(g.asksByTag, r.tag)
	isolated := r.askCount == 0 && to != g.settings.Self && g.isolated()
	if isolated && t != nil { // a root that gets it counts it and answers
		r.tag = g.newTag(t)
		g.emit(SendMessage{To: to, Data: encode(g.newAsk(r, t))})
	}
	nearDeadline := g.now+2*g.settings.Resolution >= r.deadline
	if isolated || r.askCount > maxRootAsks || t == nil && to != g.settings.Self || nearDeadline {
		if r.heldAtRoot || c.plan.HardRate > 0 || !g.withinQuota(r) || !g.admitAlone(r) || !g.trySend(r) {
			g.refuse(r)
		}
		return
	}
	if to == g.settings.Self {
		g.admit(r)
		return
	}
	if r.askCount != 1 || r.root != to || r.table != t { // the first repetition keeps its tag
		r.tag, r.table = g.newTag(t), t
	}
	r.root, r.askedAt = to, g.now
	r.askCount++
	wait := max(minReplyTimeout, time.Duration(replyTimeoutFactor*float64(g.meanReplyTime)))
	r.answerDue = min(g.now+wait, r.deadline-2*g.settings.Resolution)
	g.asksByTag[r.tag] = r
	g.pendingAsks = append(g.pendingAsks, r)
	g.emit(SendMessage{To: r.root, Data: encode(g.newAsk(r, t))})
	g.emit(SetTimer{Token: "ask", After: r.answerDue - g.now})
}

// isolated reports whether no message from any peer arrives, so that asks to a root would be lost.
func (g *Gateway) isolated() bool { return g.largeFleet && g.unansweredAsks >= isolatedAfterAsks }

// admitAlone decides whether a request passes without a root's answer. As many first tries pass as roots
// recently granted; the less credit is left, the higher the value of a request must be. Servers and quotas
// thus see the same total as before. It harms where demand changes meanwhile.
func (g *Gateway) admitAlone(r *request) bool {
	q := r.customer.plan
	value := q.admittedShare + (1-q.admittedShare)*(q.EarnedBeyondQuota-q.ChargedBeyondQuota)
	pass := !r.clientRetry && g.isolationCredit >= 1 && value > 1-g.isolationCredit/g.maxCredit()
	if pass {
		g.isolationCredit--
	}
	return pass
}

// onAsk counts a request of another gateway as if it had arrived here.
func (g *Gateway) onAsk(from int, m askMessage, plan *quota, cl *class) {
	c := g.customers[m.Customer]
	created := c == nil
	if created && !g.hasRoomFor(m.Customer) {
		return
	}
	if created {
		c = g.newCustomer(m.Customer, plan, int(m.First), int(m.Spread))
	}
	// A deputy, or a gateway that has no counts of the customer yet, assumes no higher fill than the asking
	// gateway estimates from a root's last answer.
	if m.TokenFill != unknownTokens && (created || len(c.rootAndDeputy) > 0) {
		c.tokens = min(c.tokens, float64(m.TokenFill)/250*c.plan.Burst)
	}
	// The ask is a repetition: the first answer was lost.
	if l, ok := c.leases[leaseKey{from, m.Tag}]; ok {
		g.sendAnswer(l.request, answerGranted)
		return
	}
	if i := c.heldIndex(from, m.Tag); i >= 0 {
		g.sendAnswer(c.held[i], answerHeld)
		return
	}
	if !g.hasRoomForRemote() {
		return
	}
	g.remoteRequests++
	g.advance(c)
	c.lastRequestAt, c.actsAsRoot = g.now, true
	c.recentUnits += float64(m.Units) * 250 / float64(max(1, m.AskChance))
	g.admit(g.newRemoteRequest(c, from, cl, m))
}

// grant counts another gateway's request and tells that gateway to send it.
func (g *Gateway) grant(r *request) {
	c := r.customer
	c.takeTokens(r)
	c.leases[leaseKey{r.root, r.tag}] = activeLease{g.leaseExpiry(c, r.deadline), r}
	c.addInFlight(g.now, 1)
	r.charged, r.closed = true, true
	g.sendAnswer(r, answerGranted)
}

// leaseExpiry returns when a granted attempt stops counting unless its lease is renewed. Gateways renew the
// lease of an attempt under a cap while it is in flight or waits for a server. Otherwise the loss of the
// message that reports its end would leave its place taken.
func (g *Gateway) leaseExpiry(c *customer, deadline time.Duration) time.Duration {
	if c.plan.MaxInFlight == 0 {
		return deadline
	}
	return min(deadline, g.now+leaseTicks*g.tick)
}

// renewLease renews the lease of a granted request under a cap, in flight or held, at each tick from one tick
// after the grant.
func (g *Gateway) renewLease(r *request) {
	if !r.granted || r.askCount == 0 || r.closed || r.customer.plan.MaxInFlight == 0 ||
		g.now-r.askedAt < g.tick {
		return
	}
	if t := g.tableFor(r.root, r); t != nil {
		g.sendEnd(attemptEnd{r.customer, r.root, encode(stillInFlight(g.newAsk(r, t)))})
	}
}

// onStillInFlight extends the lease of another gateway's attempt. If the lease has expired, or was granted
// before this gateway started, the attempt is counted again.
func (g *Gateway) onStillInFlight(from int, m askMessage, plan *quota) {
	if !g.hasRoomFor(m.Customer) {
		return
	}
	c := g.customers[m.Customer]
	if c == nil {
		c = g.newCustomer(m.Customer, plan, int(m.First), int(m.Spread))
	}
	l, known := c.leases[leaseKey{from, m.Tag}]
	if !known && !g.hasRoomForRemote() {
		return
	}
	if !known {
		g.remoteRequests++
		l = g.leaseOf(c, transferredGrant{uint16(from), m.Tag, m.Units, m.RemainingMS})
		c.addInFlight(g.now, 1)
	}
	l.until = g.leaseExpiry(c, g.now+time.Duration(m.RemainingMS)*time.Millisecond)
	c.leases[leaseKey{from, m.Tag}], c.actsAsRoot, c.lastRequestAt = l, true, g.now
}

// sendAnswer answers another gateway's ask. The answer also reports the token bucket's fill, the load ratio
// and the share of asks that fits the quota.
func (g *Gateway) sendAnswer(r *request, decision byte) {
	fill := toByte(250 * max(0, r.customer.tokens) / max(1, r.customer.plan.Burst))
	part := 1.0
	if r.customer.tokens < retryReserve*r.customer.plan.Burst {
		part = min(1, r.customer.plan.Rate*demandDecayTime.Seconds()/max(r.customer.recentUnits, 1))
	}
	g.emit(SendMessage{To: r.root, Data: encode(answerMessage{r.tag, decision, fill,
		toByte(100 * g.loadRatio), toByte(250 * part)})})
}

func (g *Gateway) onAnswer(from int, m answerMessage) {
	r := g.asksByTag[m.Tag]
	if r == nil || r.root != from || r.closed {
		return
	}
	c := r.customer
	if !r.heldAtRoot {
		g.meanReplyTime += time.Duration(latencySampleWeight * float64(g.now-r.askedAt-g.meanReplyTime))
	}
	g.advance(c)
	g.loadRatio += loadRatioWeight * (float64(m.LoadRatio)/100 - g.loadRatio)
	c.fittingShare, c.fittingShareAt = float64(m.FittingShare)/250, g.now
	c.tokens, c.lastReportTick = float64(m.TokenFill)/250*c.plan.Burst, g.tickCount+1
	if m.Verdict == answerHeld {
		r.heldAtRoot, r.answerDue = true,
			min(r.arrivedAt+time.Duration(maxHoldShare*float64(r.class.LatencyTarget)), r.deadline-g.tick)
		g.emit(SetTimer{Token: "ask", After: max(g.settings.Resolution, r.answerDue-g.now)})
		return
	}
	delete(g.asksByTag, m.Tag)
	if m.Verdict != answerGranted {
		g.learnGrant(r, 0)
		r.askCount = 0 // no gateway counts it
		g.refuse(r)
		return
	}
	g.learnGrant(r, 1)
	if r.granted = true; !g.withinQuota(r) {
		g.refuse(r)
	} else if !g.trySend(r) {
		g.hold(r)
	}
}

// Health monitoring. In a large fleet a gateway uses each server too seldom to evaluate it. Each server
// therefore has a health monitor among the gateways, which receives the outcomes of all and sends its
// verdicts, by class, to all.

// observeOutcome adds an outcome to the monitor's state of a server. A server that refuses requests as full
// counts as very slow, so that it gets few more until it answers.
func (g *Gateway) observeOutcome(s *server, class int, code Code, latency time.Duration) {
	v, mean := &s.health[class], g.classes[g.settings.Classes[class].Name].meanLatency
	relative := min(latency.Seconds()/mean*g.warmUpFraction(s), maxRelativeLatency)
	switch code {
	case OK:
		v.failureAverage *= 1 - failureWeight
		if v.outOfUse {
			v.failureAverage, v.trialInterval = v.failureAverage*trialSuccessFactor, 0
		}
	case Full:
		relative = maxRelativeLatency
	case ConnectFailed:
		for i := range s.health {
			s.health[i].failureAverage += 2 * failureWeight * (1 - s.health[i].failureAverage)
		}
	default:
		for i := range s.health { // other classes may be affected too
			s.health[i].failureAverage += failureWeight / 2 * (1 - s.health[i].failureAverage)
		}
		v.failureAverage += failureWeight / 2 * (1 - v.failureAverage)
		relative = max(relative, s.monitoredLatency)
	}
	s.monitoredLatency += monitorSampleWeight * (relative - s.monitoredLatency)
	g.sendVerdict(s)
}

// sendVerdict sends all gateways what has changed about a server that this gateway monitors, and repeats a
// verdict that keeps it out of use. Each verdict goes to every gateway, so all monitors together are limited
// to a share of the datagram budget.
func (g *Gateway) sendVerdict(s *server) {
	budgetRate := g.settings.DatagramsPerSecond * verdictBudgetShare /
		float64(max(1, len(g.tracked), g.allServers.len()))
	s.verdictBudget = min(maxVerdictBudget, s.verdictBudget+budgetRate*(g.now-s.verdictBudgetAt).Seconds())
	s.verdictBudgetAt = g.now
	active := g.activeMonitor(s) == g.settings.Self
	if !active || !g.largeFleet {
		s.monitoredLatency = s.relativeLatency // the second monitor observes only failures to connect
	}
	announced, outOfUse, until := s.outOfUseMasks(func(v *classHealth) bool {
		return v.failureAverage > maxFailureAverage ||
			v.outOfUse && (!active || v.failureAverage > maxFailureAverage/2)
	})
	changed := g.largeFleet &&
		max(s.monitoredLatency/s.relativeLatency, s.relativeLatency/s.monitoredLatency) > latencyChangeFactor
	resend := active && outOfUse != 0 && until-g.now < verdictLifetime/4
	if s.verdictBudget < 1 || outOfUse == announced && !changed && !resend {
		return
	}
	m := verdictMessage{Server: uint32(s.ID), OutOfUse: outOfUse,
		RelativeLatency: encodeRelativeLatency(s.monitoredLatency)}
	g.onVerdict(m, outOfUse)
	if g.largeFleet {
		s.verdictBudget--
		g.emit(SendMessage{To: -1, Data: encode(g.withMark(m))})
	}
}

// encodeRelativeLatency encodes a relative latency for a message, in steps of 1/16 of its binary logarithm.
func encodeRelativeLatency(latency float64) byte {
	return toByte(16 * (4 + math.Log2(max(latency, 0.1))))
}
func decodeRelativeLatency(b byte) float64 { return math.Exp2(float64(b)/16 - 4) }
