package policy

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// Handing on. A root that ends hands each customer's counts to that customer's
// deputy: what its token bucket holds, and the attempts out under its cap. It answers no
// ask from then on, and tells all of its end once every part is acknowledged, or
// was said handTries times. Once all turn to the root again its deputy hands the
// token bucket back; attempts that it granted end there, where their members tell of it.
//
// In the same way the watcher of a server hands what it knows of it to the second
// watcher, which judges meanwhile, and hands it back.
//
// A part may come late, twice or out of order: it is adopted once, and never adds
// to what a token bucket holds.

// handed is a part of a customer's counts. On the wire: version, kind 9, then the
// fields in their order, as many grants as follow.
type handed struct {
	Inc           uint32 // of the sender
	Seq           uint32 // names the part
	Mark          uint16 // of the table that counts plans
	Plan          byte
	Customer      uint64
	First, Spread uint16
	Store         float32 // units
	Grants        []handedGrant
}

// handedGrant is an attempt out that a gateway was granted.
type handedGrant struct {
	From        uint16
	Tag         uint32
	Units, Left uint16 // Left: milliseconds until its client gives up
}

// judged is a part that tells what a watcher knows of a server, by class of the
// table that the mark names. As in a verdict, a byte a class for the first eight.
type judged struct {
	Inc, Seq uint32
	Mark     uint16
	Server   uint32
	Pace     byte    // as in a verdict
	Errs     [8]byte // of the average, 250 all
	Bad      [8]byte // out of use for so many judgedStep
}

const judgedStep = verdictLife / 250

// endedFor passes on what a gateway told of an attempt's end.
type endedFor struct {
	From uint16
	End  ended
}

// took acknowledges a part.
type took struct{ Inc, Seq uint32 }

const (
	handedKind = 9
	handedHead = 2 + 29
	handedSize = 10 // of a grant

	handTries  = 4    // a part is said so often at most,
	handAtOnce = 20   // so many parts at once: each takes a place in somebody's intake of datagrams
	maxAdopted = 4096 // and so many are remembered
)

func (m *handed) encode() []byte {
	b := binary.BigEndian.AppendUint32([]byte{shortVersion, handedKind}, m.Inc)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint16(b, m.Mark)
	b = append(b, m.Plan)
	b = binary.BigEndian.AppendUint64(b, m.Customer)
	b = binary.BigEndian.AppendUint16(b, m.First)
	b = binary.BigEndian.AppendUint16(b, m.Spread)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(m.Store))
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Grants)))
	for _, l := range m.Grants {
		b = binary.BigEndian.AppendUint16(b, l.From)
		b = binary.BigEndian.AppendUint32(b, l.Tag)
		b = binary.BigEndian.AppendUint16(b, l.Units)
		b = binary.BigEndian.AppendUint16(b, l.Left)
	}
	return b
}

// decodeHanded reads what follows version and kind; nil: it is not whole, or can't
// be meant.
func decodeHanded(b []byte) any {
	const head = handedHead - 2
	if len(b) < head || len(b) > maxMessage {
		return nil
	}
	be := binary.BigEndian
	m := handed{Inc: be.Uint32(b), Seq: be.Uint32(b[4:]), Mark: be.Uint16(b[8:]), Plan: b[10], Customer: be.Uint64(b[11:]),
		First: be.Uint16(b[19:]), Spread: be.Uint16(b[21:]), Store: math.Float32frombits(be.Uint32(b[23:]))}
	n := int(be.Uint16(b[27:]))
	if b = b[head:]; len(b) != n*handedSize || !(m.Store >= 0) || m.Spread == 0 { // NaN is neither
		return nil
	}
	for ; len(b) > 0; b = b[handedSize:] {
		m.Grants = append(m.Grants, handedGrant{be.Uint16(b), be.Uint32(b[2:]), be.Uint16(b[6:]), be.Uint16(b[8:])})
	}
	return m
}

// part is a part on its way.
type part struct {
	to    int
	seq   uint32
	data  []byte
	m     *handed // nil: it is of another kind
	tries int
	until time.Duration // an acknowledgement is waited for until then
}

// handKey names a part that was adopted.
type handKey struct {
	from     int
	inc, seq uint32
}

// onLeaving begins to hand on.
func (g *Gateway) onLeaving() {
	g.leaving = true
	for _, c := range g.ring {
		if roots, deputy := g.roots(c); g.tree && deputy != g.set.Me && slices.Contains(roots, g.set.Me) {
			g.handOn(c, deputy, true)
		}
	}
	g.handJudged(g.set.Me, 1)
	g.handAgain()
}

// handOn queues a customer's counts for another gateway.
func (g *Gateway) handOn(c *customer, to int, grants bool) {
	if g.advance(c); c.plan.Rate == 0 && len(c.leases) == 0 || c.plan.no >= byte(len(g.tables[0].plans)) ||
		g.tables[0].plans[c.plan.no] != c.plan.Name {
		return
	}
	m := handed{Inc: g.inc, Mark: g.tables[0].mark, Plan: c.plan.no, Customer: c.key, First: uint16(c.first),
		Spread: uint16(c.spread), Store: float32(max(0, c.tokens))}
	var list []handedGrant
	for l, v := range c.leases {
		if left := (v.until - g.now).Milliseconds(); grants && left > 0 {
			list = append(list, handedGrant{uint16(l.from), l.tag, uint16(v.r.units), uint16(min(left, math.MaxUint16))})
		}
	}
	slices.SortFunc(list, func(a, b handedGrant) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Tag, b.Tag)) })
	for {
		n := min(len(list), (maxMessage-handedHead)/handedSize)
		g.handSeq++
		p := m
		p.Seq, p.Grants, list = g.handSeq, slices.Clone(list[:n]), list[n:]
		g.handing = append(g.handing, &part{to: to, seq: p.Seq, data: p.encode(), m: &p})
		if len(list) == 0 {
			return
		}
	}
}

// handJudged queues what is known of the servers whose first watcher is the given one
// for their first or second watcher.
func (g *Gateway) handJudged(first, to int) {
	for _, s := range g.fleet {
		if w := s.watchers; !g.tree || s.State == Removed || w[0] != first || w[1-to] != g.set.Me || w[to] == g.set.Me || g.gone(w[to]) {
			continue
		}
		g.handSeq++
		m := judged{Inc: g.inc, Seq: g.handSeq, Mark: g.tables[0].mark, Server: uint32(s.ID), Pace: paceByte(s.pace)}
		for i := range s.by[:min(len(s.by), len(m.Errs))] {
			v := &s.by[i]
			m.Errs[i] = small(250 * v.errs)
			if left := v.until - g.now; v.bad && left > 0 {
				m.Bad[i] = small(math.Ceil(float64(left) / float64(judgedStep)))
			}
		}
		g.handing = append(g.handing, &part{to: s.watchers[to], seq: m.Seq, data: encode(m)})
	}
}

// handAgain says what is due of the parts, as many at once as the intake of those
// who take them in bears, and ends when none is left.
func (g *Gateway) handAgain() {
	said := 0
	g.handing = slices.DeleteFunc(g.handing, func(p *part) bool {
		switch {
		case g.now < p.until:
		case p.tries == handTries:
			return true
		case said < handAtOnce:
			said++
			p.tries++
			p.until = g.now + max(minReply, time.Duration(replySpread*float64(g.reply)))
			g.do(Tell{To: p.to, Data: p.data})
		}
		return false
	})
	switch {
	case len(g.handing) > 0:
		g.do(SetTimer{Token: "hand", After: minReply})
	case g.leaving && !g.told:
		g.told = true
		g.endsAgain()
		g.report() // the last units passed here
		g.do(Tell{To: -1, Data: encode(departure{g.inc})})
		g.do(ShutdownDone{})
	}
}

// onHanded takes in a part, once, and says so each time.
func (g *Gateway) onHanded(from int, m handed) {
	t := g.known(m.Mark)
	if g.leaving || !g.tree || t == nil || int(m.Plan) >= len(t.plans) || g.plans[t.plans[m.Plan]] == nil {
		return
	}
	if !g.first(from, m.Inc, m.Seq) {
		return
	}
	c := g.customers[m.Customer]
	if c == nil {
		c = g.account(m.Customer, g.plans[t.plans[m.Plan]], int(m.First), int(m.Spread))
	}
	m.Grants = slices.DeleteFunc(m.Grants, func(l handedGrant) bool { return int(l.From) == g.set.Me || int(l.From) >= len(g.peers) }) // the first count as its own
	g.adopt(c, &m)
}

// onJudged takes in what the other watcher of a server knew of it.
func (g *Gateway) onJudged(from int, m judged) {
	s := g.meet(ServerID(m.Server))
	if g.leaving || !g.tree || s == nil || g.known(m.Mark) == nil ||
		s.watchers != [2]int{from, g.set.Me} && s.watchers != [2]int{g.set.Me, from} {
		return
	}
	if g.first(from, m.Inc, m.Seq) {
		g.adoptJudged(s, m)
	}
}

// first acknowledges a part, and tells whether it is to be adopted: it has not come
// before.
func (g *Gateway) first(from int, inc, seq uint32) bool {
	g.do(Tell{To: from, Data: encode(took{inc, seq})})
	k := handKey{from, inc, seq}
	if _, twice := g.adopted[k]; twice || len(g.adopted) >= maxAdopted {
		return false
	}
	g.adopted[k] = g.now + forgetAfter
	return true
}

// grantOf is a grant that was handed on, as if it had been made here.
func (g *Gateway) grantOf(c *customer, l handedGrant) leased {
	until := g.now + time.Duration(l.Left)*time.Millisecond
	return leased{g.leaseDue(c, until), &request{c: c, units: float64(l.Units), deadline: until, remote: true, counted: true, over: true,
		root: int(l.From), tag: l.Tag}}
}

// onTook notes that a part has come.
func (g *Gateway) onTook(from int, m took) {
	if m.Inc != g.inc || len(g.handing) == 0 {
		return
	}
	g.handing = slices.DeleteFunc(g.handing, func(p *part) bool { return p.to == from && p.seq == m.Seq })
	if len(g.handing) == 0 {
		g.handAgain()
	}
}

// handBack gives a root that is asked again what its deputy counted for it.
func (g *Gateway) handBack(root int) {
	for _, c := range g.ring {
		if c.sums && len(c.ask) > 0 && c.ask[0] == root {
			g.handOn(c, root, false)
		}
	}
	g.handJudged(root, 0)
	g.handAgain()
}

// tellEnd tells of the end of a granted attempt who counts it: its root, or the
// deputy that root has handed it to, which may be this gateway.
func (g *Gateway) tellEnd(r *request, m ended) {
	if e := (end{r.c, r.root, encode(m)}); g.sendEnd(e) {
		g.ends = append(g.ends, e)
	} else {
		g.onEnded(g.set.Me, m)
	}
}

// end is the end of an attempt that another gateway granted.
type end struct {
	c    *customer
	root int // which granted it
	data []byte
}

// sendEnd is false where it is this gateway that counts the attempt by now.
func (g *Gateway) sendEnd(e end) bool {
	to := e.root
	if len(e.c.ask) > 0 && to == e.c.ask[0] && g.gone(to) {
		to = e.c.ask[1]
	}
	if to != g.set.Me {
		g.do(Tell{To: to, Data: e.data})
	}
	return to != g.set.Me
}

// endsAgain tells the latest ends once more, to who counts them by now.
func (g *Gateway) endsAgain() {
	for _, e := range g.ends {
		g.sendEnd(e)
	}
	g.ends = nil
}

// passEnd passes on an end that was told to a gateway that leaves, to who counts the
// attempt from now on. A part not acknowledged yet names it no longer.
func (g *Gateway) passEnd(from int, m ended) {
	for _, p := range g.handing {
		if p.m == nil || p.m.Customer != m.Customer {
			continue
		}
		p.m.Grants = slices.DeleteFunc(p.m.Grants, func(l handedGrant) bool { return int(l.From) == from && l.Tag == m.Tag })
		p.data = p.m.encode()
	}
	if c := g.customers[m.Customer]; g.tree && c != nil {
		_, deputy := g.roots(c)
		e := end{c, deputy, encode(endedFor{uint16(from), m})}
		if g.sendEnd(e) {
			g.ends = append(g.ends, e)
		}
	}
}

// onDeparture notes that a gateway ends. What it had out has ended. Its reports are
// believed again once they are another process's; in a large fleet, where most hear
// none, all go by the same time, so that they turn to it again together. What it was
// asked for and has not granted is asked for anew.
func (g *Gateway) onDeparture(from int, m departure) {
	g.departed[from] = g.now + departedFor
	if p := g.peers[from]; p != nil && (!p.heard || p.inc == m.Inc) {
		p.left = true
	}
	for _, r := range slices.Clone(g.asking) {
		if r.root == from && !r.over && !r.granted && g.asks[r.tag] == r {
			g.asking = slices.DeleteFunc(g.asking, func(o *request) bool { return o == r })
			r.waits = false
			g.ask(r)
		}
	}
}

// gone tells whether a gateway has told that it ends, a moment ago.
func (g *Gateway) gone(num int) bool { return g.now < g.departed[num] }

// keepTime lets go of what has had its time, and hands back to those who are asked
// again from now on.
func (g *Gateway) keepTime() {
	for _, num := range slices.Sorted(maps.Keys(g.departed)) { // in an order that equal seeds give again
		if g.now >= g.departed[num] {
			delete(g.departed, num)
			g.handBack(num)
		}
	}
	for k, until := range g.adopted {
		if g.now >= until {
			delete(g.adopted, k)
		}
	}
}

// onFleet takes in the messages that older programs don't know.
func (g *Gateway) onFleet(from int, m any) {
	switch m := m.(type) {
	case markedSight:
		g.onSight(m.Sight, g.place(m.Sight.Class, true, m.Mark))
	case markedVerdict:
		g.onVerdict(m.Verdict, g.placeMask(m.Verdict.Bad, true, m.Mark))
	case tables:
		g.onTables(from, m)
	case departure:
		g.onDeparture(from, m)
	case handed:
		g.onHanded(from, m)
	case judged:
		g.onJudged(from, m)
	case endedFor:
		g.onEnded(int(m.From), m.End)
	case stillOut:
		a := ask(m)
		if plan, _ := g.meant(from, &a); plan != nil && a.Spread > 0 {
			g.onStill(from, a, plan)
		}
	case took:
		g.onTook(from, m)
	}
}

// adopt takes over a root's counts. What its token bucket held fills none here.
func (g *Gateway) adopt(c *customer, m *handed) {
	g.advance(c)
	c.tokens, c.sums, c.seen = min(c.tokens, float64(m.Store)), true, g.now
	for _, l := range m.Grants {
		n := len(c.leases)
		c.leases[lease{int(l.From), l.Tag}] = g.grantOf(c, l)
		c.count(g.now, len(c.leases)-n)
	}
}
