package policy

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// Transfer of counts at a shutdown. A root that shuts down transfers each customer's counts
// to that customer's deputy: the level of the token bucket and the attempts in flight under
// the cap. It answers no asks from then on. It announces its shutdown once every transfer is
// acknowledged or was sent maxTransferTries times. When all gateways ask the root again, its
// deputy transfers the token bucket back. Attempts that the deputy granted stay with the
// deputy, which receives their ends.
//
// In the same way the first monitor of a server transfers its state to the second one, which
// decides meanwhile and transfers it back.
//
// A transfer may arrive late, twice or out of order. It is applied once, and never adds to
// a token bucket.

// customerTransfer is a part of a customer's counts. On the wire: version, kind 9, the fields
// in order, with the number of grants before the grants.
type handed struct {
	Inc           uint32 // of the sender
	Seq           uint32 // identifies the transfer
	Mark          uint16 // of the table that numbers plans
	Plan          byte
	Customer      uint64
	First, Spread uint16
	Store         float32 // units
	Grants        []handedGrant
}

// transferredGrant is an attempt in flight that the root granted to a gateway.
type handedGrant struct {
	From        uint16
	Tag         uint32
	Units, Left uint16 // RemainingMS: until its client gives up
}

// monitorState is what a monitor knows of a server, by class of the table with the mark, for
// the first eight classes as in verdictMessage.
type judged struct {
	Inc, Seq uint32
	Mark     uint16
	Server   uint32
	Pace     byte    // as in verdictMessage
	Errs     [8]byte // 250: an average of 1
	Bad      [8]byte // remaining time, in units of outOfUseStep
}

const judgedStep = verdictLife / 250

// forwardedEnd forwards the end of an attempt that a gateway reported.
type endedFor struct {
	From uint16
	End  ended
}

// transferAck acknowledges a transfer.
type took struct{ Inc, Seq uint32 }

// Sizes in bytes, and limits.
const (
	handedKind = 9
	handedHead = 2 + 29
	handedSize = 10 // of a grant

	handTries  = 4
	handAtOnce = 20   // each takes a place in a receiver's datagram queue
	maxAdopted = 4096 // remembered at once
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

// decodeCustomerTransfer reads what follows version and kind; nil: incomplete or invalid.
func decodeHanded(b []byte) any {
	const head = handedHead - 2
	if len(b) < head || len(b) > maxMessage {
		return nil
	}
	be := binary.BigEndian
	m := handed{Inc: be.Uint32(b), Seq: be.Uint32(b[4:]), Mark: be.Uint16(b[8:]), Plan: b[10], Customer: be.Uint64(b[11:]),
		First: be.Uint16(b[19:]), Spread: be.Uint16(b[21:]), Store: math.Float32frombits(be.Uint32(b[23:]))}
	n := int(be.Uint16(b[27:]))
	if b = b[head:]; len(b) != n*handedSize || !(m.Store >= 0) || m.Spread == 0 { // rejects NaN too
		return nil
	}
	for ; len(b) > 0; b = b[handedSize:] {
		m.Grants = append(m.Grants, handedGrant{be.Uint16(b), be.Uint32(b[2:]), be.Uint16(b[6:]), be.Uint16(b[8:])})
	}
	return m
}

// pendingTransfer is a transfer that is not acknowledged yet.
type part struct {
	to    int
	seq   uint32
	data  []byte
	m     *handed // nil: a monitorState
	tries int
	until time.Duration // if not acknowledged before
}

// transferKey identifies a received transfer.
type handKey struct {
	from     int
	inc, seq uint32
}

// onShutdown starts the transfers to deputies and second monitors.
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

// transferCustomer queues the transfer of a customer's counts, and of its leases where
// withGrants is set, to another gateway.
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

// transferMonitorStates queues the state of the servers whose first monitor is the given
// gateway. It goes to their first (0) or second (1) monitor.
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

// sendTransfers sends the transfers that are due, a limited number at once, since receivers
// queue few datagrams. When none is left, a gateway that shuts down announces it.
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
		g.report() // includes the last units admitted here
		g.do(Tell{To: -1, Data: encode(departure{g.inc})})
		g.do(ShutdownDone{})
	}
}

// onCustomerTransfer applies a transfer once and acknowledges every copy.
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
	m.Grants = slices.DeleteFunc(m.Grants, func(l handedGrant) bool {
		return int(l.From) == g.set.Me || int(l.From) >= len(g.peers) // its own attempts count already
	})
	g.adopt(c, &m)
}

// onMonitorState applies what the other monitor of a server knew of it.
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

// acknowledge acknowledges a transfer and reports whether it is to be applied, which is so
// for its first copy only.
func (g *Gateway) first(from int, inc, seq uint32) bool {
	g.do(Tell{To: from, Data: encode(took{inc, seq})})
	k := handKey{from, inc, seq}
	if _, twice := g.adopted[k]; twice || len(g.adopted) >= maxAdopted {
		return false
	}
	g.adopted[k] = g.now + forgetAfter
	return true
}

// leaseOf returns the lease for a transferred grant, as if this gateway had granted it.
func (g *Gateway) grantOf(c *customer, l handedGrant) leased {
	until := g.now + time.Duration(l.Left)*time.Millisecond
	return leased{g.leaseDue(c, until), &request{c: c, units: float64(l.Units), deadline: until, remote: true,
		counted: true, over: true, root: int(l.From), tag: l.Tag}}
}

// onTransferAck drops an acknowledged transfer.
func (g *Gateway) onTook(from int, m took) {
	if m.Inc != g.inc || len(g.handing) == 0 {
		return
	}
	g.handing = slices.DeleteFunc(g.handing, func(p *part) bool { return p.to == from && p.seq == m.Seq })
	if len(g.handing) == 0 {
		g.handAgain()
	}
}

// transferBack transfers to a gateway that is asked again its customers' counts, and the state
// of the servers that it monitors.
func (g *Gateway) handBack(root int) {
	for _, c := range g.ring {
		if c.sums && len(c.ask) > 0 && c.ask[0] == root {
			g.handOn(c, root, false)
		}
	}
	g.handJudged(root, 0)
	g.handAgain()
}

// notifyEnd reports the end of a granted attempt to the gateway that counts it: its root, or
// the deputy that took over from that root, which may be this gateway.
func (g *Gateway) tellEnd(r *request, m ended) {
	if e := (end{r.c, r.root, encode(m)}); g.sendEnd(e) {
		g.ends = append(g.ends, e)
	} else {
		g.onEnded(g.set.Me, m)
	}
}

// attemptEnd is the end of an attempt that another gateway granted.
type end struct {
	c    *customer
	root int // the gateway that granted it
	data []byte
}

// sendEnd sends an end. It is false where this gateway itself counts the attempt by now.
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

// resendEnds sends the latest ends once more, to the gateways that count them by now.
func (g *Gateway) endsAgain() {
	for _, e := range g.ends {
		g.sendEnd(e)
	}
	g.ends = nil
}

// forwardEnd forwards an end, received while this gateway shuts down, to the gateway that
// counts the attempt from now on. Transfers that are not acknowledged yet drop that attempt.
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

// onPeerShutdown records that a gateway shuts down. Its attempts in flight have ended. Its
// reports count again once they come from a new process. In a large fleet, where most
// gateways get no reports from it, all wait for the same time, so that they ask it again
// together. Requests that it was asked for and has not granted are asked for again.
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

// isAbsent reports whether a gateway announced its shutdown a short time ago.
func (g *Gateway) gone(num int) bool { return g.now < g.departed[num] }

// endAbsences drops what has expired, and transfers counts and states back to the gateways
// that are asked again from now on.
func (g *Gateway) keepTime() {
	for _, num := range slices.Sorted(maps.Keys(g.departed)) { // sorted: equal seeds give equal actions
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

// onNewerMessage handles the messages that older programs don't know.
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

// adoptCustomer takes over a root's counts. It may lower the token bucket here, but never
// raises it.
func (g *Gateway) adopt(c *customer, m *handed) {
	g.advance(c)
	c.tokens, c.sums, c.seen = min(c.tokens, float64(m.Store)), true, g.now
	for _, l := range m.Grants {
		n := len(c.leases)
		c.leases[lease{int(l.From), l.Tag}] = g.grantOf(c, l)
		c.count(g.now, len(c.leases)-n)
	}
}
