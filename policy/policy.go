// Package policy decides for a gateway that keeps customers' quotas on a
// shared API. Its interface (settings, events, actions) is in api.go; every
// decision and its constants are in this file and in gateway.go.
//
// The mechanism is a distributed waiting room. Requests beyond a customer's
// cap on attempts out wait in arrival order; gateways report to each other
// once a tick, sum the attempts out from these reports, and release the free
// room at ticks and at their own outcomes. A rate companion keeps an estimate
// of each customer's token bucket of units and lets a gateway pass its part of it.
package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shares are parts of one where no unit is given.
const (
	reportShare      = 0.75 // of a gateway's intake of datagrams, for reports
	minTick, maxTick = 25 * time.Millisecond, 250 * time.Millisecond
	staleTicks       = 6    // ticks; an older report gives way to the demand split
	minWeight        = 0.33 // of a silent peer's demand, to which it fades
	forgetAfter      = 10 * time.Second
	demandSpan       = 2 * time.Second       // memory of the demand rates
	blindExtra       = 25 * time.Millisecond // time a report travels
	untold           = 0.01                  // requests held that a tick untold weighs in a report
	repeatTicks      = 3                     // ticks for which a change is told

	evenRate, evenLeast    = 0.02, 0.05 // demand of each taken for granted: of the rate, units a second
	arriveSlack, freeSlack = 0.5, 0.25  // of a place that counts as one, at arrival and later
	jitter                 = 0.2        // spread of a prediction, so that none is left untried
	maxLatency             = 4.0        // a latency counts for so many means at most
	choices                = 4          // servers compared for an attempt
	zonePrice              = 25.0       // service times that a charge of one for another zone is worth
	queueWeight            = 0.5        // what each attempt out adds to a server's latency, in service times
	waitAim                = 0.15       // a server is full when the wait passes this part of the shortest aim
	minOut                 = 2.5        // but not below this many attempts out
	retryReserve           = 0.3        // part of the token bucket that clients' repeats leave to first tries
	pressedFor             = 200 * time.Millisecond
	holdAim                = 0.35             // a request is held for this part of its aim
	firstGuess             = 8.0              // a request's first guessed latency is its aim over this
	learn, learnMean       = 0.1, 0.03        // weight of an outcome in a server's pace, in a class's latency
	slowSpan               = 10 * time.Second // an old judgement wears off in this time
	fullFor                = 2 * time.Second
	anewFor                = 2 * time.Second // a total that begins at nothing is told as such
	retryEarn, retryCap    = 0.15, 12.0      // retry budget earned by each first attempt, most kept
	warmUpSlots            = 2.0             // turns in FallTime at a cold server

	minLate                 = 0.1       // an attempt is overdue after this part of its aim at the soonest,
	overdue                 = 4.0       // when so many times as old as predicted
	sightWeight, sightLimit = 0.2, 0.45 // weight of a failure, average that puts a server out of use
	trialWorth              = 0.6       // what a good trial leaves of a server's failures

	trialEvery, trialMost = time.Second, 8 * time.Second // between trials of a server out of use

	mostOut     = 0.7 // when more are out of use they are used all the same
	sheddingAim = 0.6 // mean latency over aim above which load is shed

	sheddingTime    = 3 * time.Second  // in which the part let in falls to 1/e
	recoveryTime    = 8 * time.Second  // in which it recovers
	minAdmitted     = 0.25             // enough to learn from when all is well again
	loadRatioLife   = 12 * time.Second // until 1/e of an old load ratio is left
	loadRatioWeight = 0.15             // of an outcome, or of a root's message, in it

	// Where reports from all to all are more than their intake bears.
	departedFor   = 2 * time.Second       // one that told of its end is back by then, or is missed as ever
	treeTick      = maxTick * 2 / 3       // longest tick up to which reports to all serve better
	rootShare     = 0.5                   // part of its intake that a root spends on one customer
	rootPeak      = 2.0                   // asks it must bear, as a multiple of those inside the quota
	rootTicks     = 2                     // roots of a customer report to each other every so many ticks
	rootAsks      = 3                     // times a root is asked before its deputy is
	freshPart     = 0.8                   // part of a token bucket that a root just started presumes
	deputyPart    = 0.25                  // part of a hard ceiling that the deputy holds
	minReply      = 30 * time.Millisecond // an answer is waited for this long at least
	replySpread   = 2.5                   // and for this many mean times
	isolatedAfter = 4                     // as many asks as one request takes, and no word from anybody
	fitLearn      = 0.05                  // weight of a root's word in what part of a plan's requests fits
	leaseTicks    = 3                     // ticks for which a word of an attempt counts: one may be lost
	thinSpan      = 20 * time.Second      // a root's word of what part fits is heeded so long
	paceStep      = 1.7                   // a pace is told when it changed by this factor
	verdictLife   = 8 * time.Second       // a verdict not told again lapses
	otherZone     = 0.7                   // weight of a server in another zone
	zoneTurns     = 12                    // a multiple of 2, 3, 4 and 6: the zones there may be
	minSet        = 20                    // servers that a gateway keeps to: enough to even out slow ones,
	minSets       = 8.0                   // but as many as have each server in so many gateways' sets
	maxSet        = 128.0                 // up to this many
	widerSet      = 8                     // times as many are looked at where half can't be used
	asGood        = 0.02                  // errors, and the log of a pace, that are as good as none

	letSpan, creditSpan       = 4 * time.Second, time.Second / 2 // of what roots let in; what of it at once
	maxPace, paceLearn        = 12.0, 0.025                      // most a pace is taken for, weight in it
	verdictShare, verdictKeep = 0.1, 2.0                         // part of the intake, most at once
)

// New returns a gateway that has seen nothing yet. The seed feeds its random
// choices; equal settings, seeds and events give equal actions.
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
		g.own = 0 // what the watchers tell is more than what this gateway sees
	}
	g.nextTag, g.reply = g.rng.Uint32(), minReply
	if !g.tree {
		g.allPeers()
	}
	g.tick = max(min(max(g.tick, minTick), maxTick), s.Resolution)
	return g, nil
}

// Customers, their token buckets and their room.

// account starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) account(key uint64, plan *quota, first, spread int) *customer {
	spread = max(1, min(spread, g.set.Gateways))
	c := &customer{key: key, hash: shortOf(key), plan: plan, n: float64(spread), part: 1, first: first,
		tokens: g.initialTokens(key, plan), leases: map[lease]leased{}, spread: spread, at: g.now,
		areaAt: g.now, born: g.now}
	g.seat(c)
	// The ceiling's own part starts empty at the gateway's start: after a
	// restart it must not be granted a second time.
	c.ceiling = min(plan.HardBurst, plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// initialTokens is what a token bucket holds when a customer's counts begin. For as long as
// it takes to fill, it may have been emptied before this gateway's start: it must
// not be granted twice. After a crash nobody knows what was let in last, whatever
// an earlier snapshot says: it holds what has flowed in since the start.
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

// seat finds who sums a customer's counts, by the figures of its plan.
func (g *Gateway) seat(c *customer) {
	roots, deputy := g.roots(c)
	if c.ask = nil; slices.Contains(roots, g.set.Me) || !g.tree {
		g.views(c, roots)
	} else if c.plan.Rate > 0 || c.plan.Open > 0 {
		c.ask = []int{roots[g.set.Me%len(roots)], deputy}
	}
	if g.tree {
		// All ceiling parts are with those who grant.
		c.n = float64(len(roots)) / (1 - deputyPart)
		if len(c.ask) > 0 {
			c.n = 1 / deputyPart
		}
	}
}

// carry takes a customer over to new figures of its plan. That cuts a token bucket and
// fills none, but that of a plan that had no rate: it had none, and one begins full.
func (g *Gateway) carry(c *customer, old Plan) {
	g.seat(c)
	if old.Rate == 0 && c.plan.Rate > 0 {
		c.tokens = c.plan.Burst
	}
	c.tokens, c.ceiling = min(c.tokens, c.plan.Burst), min(c.ceiling, c.plan.HardBurst/c.n)
}

// roots are the gateways that sum a customer's counts: as few as can take in
// what its gateways ask of them, all where reports go from all to all. The
// deputy steps in for a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.tree {
		asks := rootPeak * c.plan.Rate
		if c.plan.Open > 0 {
			asks += c.plan.Rate // those that pass tell their ends too
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

// advance brings a customer's token buckets up to now. A peer long silent is taken
// to use its demand-split part of the rate: it may only be cut off.
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
		share = 1 / float64(c.spread) // what others pass is the root's to know, if it hears
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

// silent tells whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool { return !p.heard || p.left || g.now-p.at > staleTicks*g.tick }

// even is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// weight is a peer's demand in the demand split. One not heard for long counts
// as much as this gateway, then less, but never nothing: it may be cut off and
// passing its part, or dead for good.
func (g *Gateway) weight(c *customer, v *peerView) float64 {
	w := v.rate
	if v.p.left {
		return 0 // it has ended, and said so
	}
	if g.silent(v.p) {
		fade := math.Exp(-(g.now - max(v.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		w = max(w, c.rate) * (minWeight + (1-minWeight)*fade)
	}
	return w/demandSpan.Seconds() + g.even(c)
}

// demand is all gateways' demand in units a second, this one's included.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, v := range c.set {
		sum += g.weight(c, v)
	}
	return sum
}

func (g *Gateway) share(c *customer) float64 {
	return (c.rate/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance is what this gateway may pass of the customer's token bucket now: its
// demand-split part, or what is left once the peers have passed all they may
// be asked for before they are heard again, whichever is more.
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

// others sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
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

// room tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
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
	// With no time left any wait is too long.
	if r.deadline-g.now <= 2*g.set.Resolution || g.rng.Float64() > g.admitted {
		g.refuse(r)
		return
	}
	if len(c.ask) == 0 {
		g.admit(r)
		return
	}
	// Of a customer far above its quota only the part that fits is asked for:
	// its root could not take in all its asks, nor those of others then. Harms
	// for as long as thinSpan when the customer stops asking for more.
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

// admit lets a request pass, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// A client's repeat is often late. It gives way to first tries while requests
	// wait for servers or the token bucket is low. Guards against retry storms; harms
	// where repeats come soon and aims are long.
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

// within tells whether quota and ceiling have the request's units.
func (g *Gateway) within(r *request) bool {
	c := r.c
	return r.counted || r.granted || (c.plan.Rate == 0 || g.allowance(c) >= r.units) &&
		(c.plan.HardRate == 0 || c.ceiling >= r.units)
}

// hold puts a request in its customer's queue. What no tick could answer in
// time is answered now.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.set.Resolution >= r.deadline {
		g.refuse(r)
		return
	}
	g.queue(r)
}

// try sends the request to a server if one has room for it.
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

// refuse gives the final answer: a refusal where a retry is harmless.
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

// again decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
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

// drain sends up to n of a customer's held requests, oldest first. It is false
// when no server had room.
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

// warmUpFraction is the least share of its capacity a server surely has.
func (g *Gateway) warmUpFraction(s *server) float64 {
	if !s.HasStart || g.set.WarmWithin <= 0 || g.set.ColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.Start) / float64(g.set.WarmWithin)
	return min(1, g.set.ColdShare+(1-g.set.ColdShare)*max(age, 0))
}

// load is the attempts out at a server: own, and the peers' as last reported.
func (g *Gateway) load(s *server) float64 { return float64(s.out) + s.heard }

// predict is the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slow * (1 + queueWeight*g.load(s)/g.sizeOf(s)) / g.warmUpFraction(s)
}

// full tells whether a server has all the work it can turn round in time: the
// wait there would pass a share of the shortest aim. Beyond that requests are
// held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.sizeOf(s)
	return load >= minOut && g.mean*s.slow/g.warmUpFraction(s)*queueWeight*load > waitAim*g.minAim
}

// usable tells whether a request may go to a server at all: running, not
// ejected (but for a trial), inside its group and window once it may have
// run, and inside the budget of a cold server.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || g.now < s.fullAt[r.c.plan] ||
		r.ran && r.cl.Effect == Keyed && (g.now-r.ranAt >= r.cl.Window || !r.sameGroup(s)) {
		return false
	}
	return g.warmUpFraction(s) == 1 || g.admitsWarmUp(s)
}

// coldPart is how many requests this gateway may send a cold server within FallTime, on
// average: its part of what all may send there together, which is the multiple of the
// server's capacity that the settings allow. The capacity is taken from what servers took
// of late, as a part of what they have, the request at hand counted in.
func (g *Gateway) coldPart(s *server) float64 {
	if g.set.FallMultiple <= 0 {
		return math.MaxInt32 // nothing makes it fall
	}
	bears := (g.taken + 1) / max(1, g.capacity) * g.warmUpFraction(s) * g.sizeOf(s)
	return bears * g.set.FallMultiple * warmUpSlots / (warmUpSlots + 1)
}

// warmUpChance is the chance that a turn is this gateway's, where it may send a part of a
// request: of the turns in FallTime it has a request to send in as many as it drew servers.
func (g *Gateway) warmUpChance(part float64) float64 { return part / min(warmUpSlots, max(1, g.draws)) }

// admitsWarmUp tells whether this gateway may send a cold server one request more. A floor of one
// for each would let as many through as there are gateways, however often held requests draw
// again. So FallTime is cut into turns, and a fraction is the chance that a turn is this
// gateway's: the places of all are spread evenly, and their turns hold what the parts sum up to.
func (g *Gateway) admitsWarmUp(s *server) bool {
	s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.set.FallTime })
	part := g.coldPart(s)
	whole := math.Floor(part)
	if !g.tree {
		whole = max(1, whole) // all are told the load there
	} else if g.warmUpSlot(s) < g.warmUpChance(part-whole) {
		whole++
	}
	return float64(len(s.sends)) < whole
}

// warmUpSlot is this gateway's place, from 0 to 1, in the order of those that may send a cold
// server a request in the present turn.
func (g *Gateway) warmUpSlot(s *server) float64 {
	turn := math.Floor(warmUpSlots * float64(max(0, g.now-s.Start)) / float64(max(1, g.set.FallTime)))
	return fraction(s.place + turn*math.Phi)
}

// pick chooses a server, or nil when none has room. Those out of use for the
// class are left out while they are not too many; a watcher tries them now and
// then. A small fleet's gateway takes the best of a few random ones by predicted
// latency and zone price.
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

// trial returns a server that is out of use for the request's class and due to be
// tried. Its watcher alone does so.
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

// sortOut finds the servers that a request may go to, and those that it might but
// for their being out of use for its class.
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

// tooMany tells whether so many are out of use that they are used all the same.
func tooMany(doubted, ok []*server) bool {
	return float64(len(doubted)) > mostOut*float64(len(ok)+len(doubted))
}

// candidates are the servers that a large fleet's gateway draws from: those of its working
// set that can be used. Where half of them are out of use or none is left, a set several times as
// large tells whether it is so of the fleet, and stands in where none is left. By its own set
// alone a gateway would send all it has to the last few, which fail by that.
// A repeat that its group alone may get goes to a part of that group.
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

// setSize is how many servers a gateway keeps to: enough to even out slow ones, and
// to have each server in some gateways' sets, whose traffic differs.
func (g *Gateway) setSize() float64 {
	each := minSets * float64(g.live) / float64(g.set.Gateways)
	return min(max(minSet, each), maxSet)
}

// keepTo picks the servers that this gateway of a large fleet keeps to. Were each to
// use all, every server would bear connections from every gateway, most for a request
// or two. Of each zone a gateway takes a run of the running servers, in the order of
// their IDs, as long as the zone's part of them, each gateway from another place: all
// servers are in as many sets, give or take one for each zone, and no cut of a zone
// takes a whole set. One server more or less moves two members at most, those of a
// zone that is lost are replaced by more of the others.
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

// runs returns a set that is so many times as large as the working set.
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

// widerRuns returns a set several times as large. Cold servers beyond the working set are left
// out: they bear what those that keep to them send.
func (g *Gateway) widerRuns() []*server {
	cold := func(s *server) bool { return !s.kept && g.warmUpFraction(s) < 1 }
	return slices.DeleteFunc(g.runs(widerSet), cold)
}

// draw chooses a server by its share of the fleet's capacity. A large fleet's gateways don't
// see the load there; were each to take the best of a few, all would herd onto the same.
func (g *Gateway) draw(ok []*server) *server {
	for _, s := range ok {
		s.weight = g.sizeOf(s) / max(s.slow, 1) / float64(1+s.out)
		if s.Zone != g.set.Zone {
			s.weight *= otherZone
		}
		if cold := g.warmUpFraction(s); cold < 1 {
			// What is sent in this gateway's turns makes up for the others'.
			s.weight *= cold / min(1, g.warmUpChance(g.coldPart(s)))
		}
	}
	return g.byWeight(ok)
}

// judge learns from an outcome: latency, errors, load reports.
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
		r.cl.seen++ // the first outcomes count for more
		r.cl.mean += max(learnMean, 1/(r.cl.seen+1)) * (min(lat, maxLatency*r.cl.mean) - r.cl.mean)
	case Full:
		// It may turn away one plan only: this one goes elsewhere for a while.
		s.fullAt[r.c.plan] = g.now + fullFor
		g.taken = max(0, g.taken-1)
		g.loadRatio += loadRatioWeight * (1 - g.loadRatio)
	}
}

// adapt changes the part of the requests that is let in by how near latencies come to their
// aims (load shedding). Guards against load this gateway is not told of, on all
// servers: peers unheard, slow fleets. Harms where aims are near idle latencies.
func (g *Gateway) adapt(dt time.Duration) {
	if g.loadRatio > sheddingAim {
		g.admitted = max(minAdmitted, g.admitted*math.Exp(-dt.Seconds()/sheddingTime.Seconds()))
	} else {
		g.admitted = min(1, g.admitted+dt.Seconds()/recoveryTime.Seconds())
	}
	g.loadRatio *= math.Exp(-dt.Seconds() / loadRatioLife.Seconds())
}

// silence looks for attempts far older than predicted: they count as failed,
// and what can go elsewhere is called back. Guards against servers that take
// work and answer none; harms when all slow down at once, within the budget.
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

// The eviction tick.

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
		// What is not tried is not learned: an old judgement wears off.
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
	// Of a lost one its root would not learn before the client's deadline.
	g.endsAgain()
}

// age refuses held requests that can no longer meet their aim, while a retry
// can still help, and in any case before the deadline.
func (g *Gateway) age(c *customer) {
	for _, r := range slices.Clone(c.held) {
		if g.now-r.arrived > time.Duration(holdAim*float64(r.cl.Aim)) || g.now+2*g.tick >= r.deadline {
			g.refuse(r)
		}
	}
}

// news tells whether peers must hear of a customer.
func (c *customer) news() bool {
	return len(c.set) > 0 && (c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0)
}

// urgent orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passed-c.toldUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.ticks-c.told)
}

// hear takes in what a peer says of a customer. Running totals heal lost
// reports; a total that jumps oddly (the peer started anew) is a new base.
func (g *Gateway) hear(c *customer, p *peer, e entry) {
	i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
	if i < 0 {
		return
	}
	g.advance(c)
	v := c.set[i]
	passed, met := v.read(e, p.inc, g.now)
	c.tokens = min(c.plan.Burst, max(0, c.tokens-passed))
	// One just met has used it, or knows who has: it is told once what the token bucket
	// is here. Guards against a token bucket that is full at one gateway only.
	if (met || !c.known) && e.tokens != unknownTokens {
		c.known, c.fresh = true, max(c.fresh, 1)
		c.tokens = min(c.tokens, float64(e.tokens)/250*c.plan.Burst)
	}
}

// ask sends a request to the customer's root, whose answer it waits for, again if either
// is lost, and then to the deputy. One that neither answers may pass alone, at once where
// nobody is heard: lost roots must not stop customers within their quotas.
func (g *Gateway) ask(r *request) {
	c, to := r.c, g.set.Me
	if len(c.ask) > 0 { // by new figures it may count here by now
		if to = c.ask[0]; r.asked == rootAsks || g.gone(to) {
			to = c.ask[1]
		}
	}
	t := g.toPeer(to, r)
	delete(g.asks, r.tag)
	isolated := r.asked == 0 && to != g.set.Me && g.isolated()
	if isolated && t != nil { // a root that hears this counts it, and its answer ends the silence
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
	if r.asked != 1 || r.root != to || r.by != t { // the same name when the same root is asked again
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

// isolated tells whether nobody is heard at all: what is asked of a root is lost then.
func (g *Gateway) isolated() bool { return g.tree && g.unheard >= isolatedAfter }

// alone decides whether a request passes with no root's word: as many first tries do as
// roots let in of late, and the fewer may still pass the more one must be worth. So servers
// and quotas see in sum what they saw then. Harms where demand changes meanwhile.
func (g *Gateway) alone(r *request) bool {
	q := r.c.plan
	worth := q.fits + (1-q.fits)*(q.BeyondEarns-q.BeyondCosts)
	pass := !r.repeat && g.credit >= 1 && worth > 1-g.credit/g.maxCredit()
	if pass {
		g.credit--
	}
	return pass
}

// onAsk takes a member's request into the customer's counts as if it had come
// in here.
func (g *Gateway) onAsk(from int, m ask, plan *quota, cl *class) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, plan, int(m.First), int(m.Spread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.Fill != unknownTokens && (fresh || len(c.ask) > 0) {
		c.tokens = min(c.tokens, float64(m.Fill)/250*c.plan.Burst)
	}
	// Asked for before: the first answer was lost.
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

// grant counts a member's request and tells it to go.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r)
	c.leases[lease{r.root, r.tag}] = leased{g.leaseDue(c, r.deadline), r}
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

// leaseDue is by when another word of a granted attempt is due, else it counts no
// longer: members tell that one under a cap is still out, or waits for a server. The
// word of an end may be lost, and the place would stay taken.
func (g *Gateway) leaseDue(c *customer, deadline time.Duration) time.Duration {
	if c.plan.Open == 0 {
		return deadline
	}
	return min(deadline, g.now+leaseTicks*g.tick)
}

// renew tells who counts it of a granted request under a cap, a tick after the grant and
// at each tick from then on, out or held.
func (g *Gateway) renew(r *request) {
	if !r.granted || r.asked == 0 || r.over || r.c.plan.Open == 0 || g.now-r.askedAt < g.tick {
		return
	}
	if t := g.toPeer(r.root, r); t != nil {
		g.sendEnd(end{r.c, r.root, encode(stillOut(g.askOf(r, t)))})
	}
}

// onStill counts a member's attempt on, or anew where its lease has ended or it was
// granted before this gateway started.
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
		r.asked = 0 // it counts nowhere
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

// Watching servers: in a large fleet each meets a server too seldom to judge
// it, so each server has a watcher among the gateways that is told outcomes
// and tells all its verdicts, by class.

// gather adds an outcome to what the fleet knows of a server. One that turns
// requests away is taken for very slow: it gets few more until it answers.
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
		for i := range s.by { // it may fail other classes too
			s.by[i].errs += sightWeight / 2 * (1 - s.by[i].errs)
		}
		v.errs += sightWeight / 2 * (1 - v.errs)
		seen = max(seen, s.pace)
	}
	s.pace += paceLearn * (seen - s.pace)
	g.tell(s)
}

// tell tells all gateways what has changed of a server that this one watches,
// and again what still keeps it out of use. Each goes to every gateway, so all
// watchers together keep to a part of the datagrams.
func (g *Gateway) tell(s *server) {
	each := g.set.DatagramsPerSecond * verdictShare / float64(max(1, len(g.fleet), g.list.len()))
	s.verdicts = min(verdictKeep, s.verdicts+each*(g.now-s.verdictAt).Seconds())
	s.verdictAt = g.now
	first := g.judgeOf(s) == g.set.Me
	if !first || !g.tree {
		s.pace = s.slow // the second knows only what it can't reach
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

func paceByte(pace float64) byte { return small(16 * (4 + math.Log2(max(pace, 0.1)))) } // 1/16 of its log2
func paceOf(b byte) float64      { return math.Exp2(float64(b)/16 - 4) }
