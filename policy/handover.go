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
type customerTransfer struct {
	Incarnation   uint32 // of the sender
	Seq           uint32 // identifies the transfer
	Mark          uint16 // of the table that numbers plans
	Plan          byte
	Customer      uint64
	First, Spread uint16
	Tokens        float32 // units
	Grants        []transferredGrant
}

// transferredGrant is an attempt in flight that the root granted to a gateway.
type transferredGrant struct {
	From               uint16
	Tag                uint32
	Units, RemainingMS uint16 // RemainingMS: until its client gives up
}

// monitorState is what a monitor knows of a server, by class of the table with the mark, for
// the first eight classes as in verdictMessage.
type monitorState struct {
	Incarnation, Seq uint32
	Mark             uint16
	Server           uint32
	RelativeLatency  byte    // as in verdictMessage
	FailureAverages  [8]byte // 250: an average of 1
	OutOfUseFor      [8]byte // remaining time, in units of outOfUseStep
}

const outOfUseStep = verdictLifetime / 250

// forwardedEnd forwards the end of an attempt that a gateway reported.
type forwardedEnd struct {
	From uint16
	End  endMessage
}

// transferAck acknowledges a transfer.
type transferAck struct{ Incarnation, Seq uint32 }

// Sizes in bytes, and limits.
const (
	transferKind       = 9
	transferHeaderSize = 2 + 29 // version and kind, then the fields
	grantSize          = 10

	maxTransferTries     = 4
	maxTransfersAtOnce   = 20   // each takes a place in a receiver's datagram queue
	maxReceivedTransfers = 4096 // remembered at once
)

func (m *customerTransfer) encode() []byte {
	b := binary.BigEndian.AppendUint32([]byte{shortVersion, transferKind}, m.Incarnation)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint16(b, m.Mark)
	b = append(b, m.Plan)
	b = binary.BigEndian.AppendUint64(b, m.Customer)
	b = binary.BigEndian.AppendUint16(b, m.First)
	b = binary.BigEndian.AppendUint16(b, m.Spread)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(m.Tokens))
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Grants)))
	for _, l := range m.Grants {
		b = binary.BigEndian.AppendUint16(b, l.From)
		b = binary.BigEndian.AppendUint32(b, l.Tag)
		b = binary.BigEndian.AppendUint16(b, l.Units)
		b = binary.BigEndian.AppendUint16(b, l.RemainingMS)
	}
	return b
}

// decodeCustomerTransfer reads what follows version and kind; nil: incomplete or invalid.
func decodeCustomerTransfer(b []byte) any {
	const head = transferHeaderSize - 2
	if len(b) < head || len(b) > maxMessage {
		return nil
	}
	be := binary.BigEndian
	m := customerTransfer{Incarnation: be.Uint32(b), Seq: be.Uint32(b[4:]), Mark: be.Uint16(b[8:]),
		Plan: b[10], Customer: be.Uint64(b[11:]), First: be.Uint16(b[19:]), Spread: be.Uint16(b[21:]),
		Tokens: math.Float32frombits(be.Uint32(b[23:]))}
	n := int(be.Uint16(b[27:]))
	if b = b[head:]; len(b) != n*grantSize || !(m.Tokens >= 0) || m.Spread == 0 { // rejects NaN too
		return nil
	}
	for ; len(b) > 0; b = b[grantSize:] {
		m.Grants = append(m.Grants,
			transferredGrant{be.Uint16(b), be.Uint32(b[2:]), be.Uint16(b[6:]), be.Uint16(b[8:])})
	}
	return m
}

// pendingTransfer is a transfer that is not acknowledged yet.
type pendingTransfer struct {
	to        int
	seq       uint32
	data      []byte
	customer  *customerTransfer // nil: a monitorState
	tries     int
	nextTryAt time.Duration // if not acknowledged before
}

// transferKey identifies a received transfer.
type transferKey struct {
	from             int
	incarnation, seq uint32
}

// onShutdown starts the transfers to deputies and second monitors.
func (g *Gateway) onShutdown() {
	g.shuttingDown = true
	for _, c := range g.customerList {
		if roots, deputy := g.roots(c); g.largeFleet && deputy != g.settings.Self &&
			slices.Contains(roots, g.settings.Self) {
			g.transferCustomer(c, deputy, true)
		}
	}
	g.transferMonitorStates(g.settings.Self, 1)
	g.sendTransfers()
}

// transferCustomer queues the transfer of a customer's counts, and of its leases where
// withGrants is set, to another gateway.
func (g *Gateway) transferCustomer(c *customer, to int, withGrants bool) {
	if g.advance(c); c.plan.Rate == 0 && len(c.leases) == 0 || c.plan.index >= byte(len(g.tables[0].plans)) ||
		g.tables[0].plans[c.plan.index] != c.plan.Name {
		return
	}
	m := customerTransfer{Incarnation: g.incarnation, Mark: g.tables[0].mark, Plan: c.plan.index,
		Customer: c.key, First: uint16(c.first), Spread: uint16(c.spread), Tokens: float32(max(0, c.tokens))}
	var list []transferredGrant
	for l, v := range c.leases {
		if left := (v.until - g.now).Milliseconds(); withGrants && left > 0 {
			list = append(list, transferredGrant{uint16(l.from), l.tag, uint16(v.request.units),
				uint16(min(left, math.MaxUint16))})
		}
	}
	slices.SortFunc(list, func(a, b transferredGrant) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Tag, b.Tag))
	})
	for {
		n := min(len(list), (maxMessage-transferHeaderSize)/grantSize)
		g.transferSeq++
		p := m
		p.Seq, p.Grants, list = g.transferSeq, slices.Clone(list[:n]), list[n:]
		g.pendingTransfers = append(g.pendingTransfers,
			&pendingTransfer{to: to, seq: p.Seq, data: p.encode(), customer: &p})
		if len(list) == 0 {
			return
		}
	}
}

// transferMonitorStates queues transfers of the state of all servers whose first monitor is the
// gateway first. The receiver is each server's first monitor if to is 0, its second if to is 1.
func (g *Gateway) transferMonitorStates(first, to int) {
	for _, s := range g.tracked {
		if monitors := s.monitors; !g.largeFleet || s.State == Removed || monitors[0] != first ||
			monitors[1-to] != g.settings.Self || monitors[to] == g.settings.Self || g.isAbsent(monitors[to]) {
			continue
		}
		g.transferSeq++
		m := monitorState{Incarnation: g.incarnation, Seq: g.transferSeq, Mark: g.tables[0].mark,
			Server: uint32(s.ID), RelativeLatency: encodeRelativeLatency(s.monitoredLatency)}
		for i := range s.health[:min(len(s.health), len(m.FailureAverages))] {
			h := &s.health[i]
			m.FailureAverages[i] = toByte(250 * h.failureAverage)
			if left := h.outOfUseUntil - g.now; h.outOfUse && left > 0 {
				m.OutOfUseFor[i] = toByte(math.Ceil(float64(left) / float64(outOfUseStep)))
			}
		}
		g.pendingTransfers = append(g.pendingTransfers,
			&pendingTransfer{to: s.monitors[to], seq: m.Seq, data: encode(m)})
	}
}

// sendTransfers sends the transfers that are due, a limited number at once, since receivers
// queue few datagrams. When none is left, a gateway that shuts down announces it.
func (g *Gateway) sendTransfers() {
	sent := 0
	g.pendingTransfers = slices.DeleteFunc(g.pendingTransfers, func(p *pendingTransfer) bool {
		switch {
		case g.now < p.nextTryAt:
		case p.tries == maxTransferTries:
			return true
		case sent < maxTransfersAtOnce:
			sent++
			p.tries++
			p.nextTryAt = g.now + max(minReplyTimeout,
				time.Duration(replyTimeoutFactor*float64(g.meanReplyTime)))
			g.emit(SendMessage{To: p.to, Data: p.data})
		}
		return false
	})
	switch {
	case len(g.pendingTransfers) > 0:
		g.emit(SetTimer{Token: "hand", After: minReplyTimeout})
	case g.shuttingDown && !g.shutdownAnnounced:
		g.shutdownAnnounced = true
		g.resendEnds()
		g.sendReports() // includes the last units admitted here
		g.emit(SendMessage{To: -1, Data: encode(shutdownMessage{g.incarnation})})
		g.emit(ShutdownDone{})
	}
}

// onCustomerTransfer applies a transfer once and acknowledges every copy.
func (g *Gateway) onCustomerTransfer(from int, m customerTransfer) {
	t := g.tableByMark(m.Mark)
	if g.shuttingDown || !g.largeFleet || t == nil || int(m.Plan) >= len(t.plans) ||
		g.plans[t.plans[m.Plan]] == nil || !g.hasRoomFor(m.Customer) {
		return
	}
	if !g.acknowledge(from, m.Incarnation, m.Seq) {
		return
	}
	c := g.customers[m.Customer]
	if c == nil {
		c = g.newCustomer(m.Customer, g.plans[t.plans[m.Plan]], int(m.First), int(m.Spread))
	}
	// Attempts that were granted to this gateway already count as its own. Unknown gateways are ignored.
	m.Grants = slices.DeleteFunc(m.Grants, func(l transferredGrant) bool {
		return int(l.From) == g.settings.Self || int(l.From) >= len(g.peers)
	})
	g.adoptCustomer(c, &m)
}

// onMonitorState applies what the other monitor of a server knew of it.
func (g *Gateway) onMonitorState(from int, m monitorState) {
	s := g.trackForPeer(ServerID(m.Server))
	if g.shuttingDown || !g.largeFleet || s == nil || g.tableByMark(m.Mark) == nil ||
		s.monitors != [2]int{from, g.settings.Self} && s.monitors != [2]int{g.settings.Self, from} {
		return
	}
	if g.acknowledge(from, m.Incarnation, m.Seq) {
		g.adoptMonitorState(s, m)
	}
}

// acknowledge acknowledges a transfer and reports whether to apply it: only its first copy is
// applied.
func (g *Gateway) acknowledge(from int, incarnation, seq uint32) bool {
	g.emit(SendMessage{To: from, Data: encode(transferAck{incarnation, seq})})
	k := transferKey{from, incarnation, seq}
	if _, received := g.receivedTransfers[k]; received || len(g.receivedTransfers) >= maxReceivedTransfers {
		return false
	}
	g.receivedTransfers[k] = g.now + forgetAfter
	return true
}

// leaseOf returns the lease for a transferred grant, as if this gateway had granted it.
func (g *Gateway) leaseOf(c *customer, l transferredGrant) activeLease {
	until := g.now + time.Duration(l.RemainingMS)*time.Millisecond
	return activeLease{g.leaseExpiry(c, until),
		&request{customer: c, units: float64(l.Units), deadline: until, remote: true,
			charged: true, closed: true, root: int(l.From), tag: l.Tag}}
}

// onTransferAck drops an acknowledged transfer.
func (g *Gateway) onTransferAck(from int, m transferAck) {
	if m.Incarnation != g.incarnation || len(g.pendingTransfers) == 0 {
		return
	}
	g.pendingTransfers = slices.DeleteFunc(g.pendingTransfers, func(p *pendingTransfer) bool {
		return p.to == from && p.seq == m.Seq
	})
	if len(g.pendingTransfers) == 0 {
		g.sendTransfers()
	}
}

// transferBack transfers counts and states back to a gateway that is asked again: the token
// buckets of its customers, and the state of the servers that it monitors.
func (g *Gateway) transferBack(root int) {
	for _, c := range g.customerList {
		if c.actsAsRoot && len(c.rootAndDeputy) > 0 && c.rootAndDeputy[0] == root {
			g.transferCustomer(c, root, false)
		}
	}
	g.transferMonitorStates(root, 0)
	g.sendTransfers()
}

// notifyEnd reports the end of a granted attempt to the gateway that counts it: its root, or
// the deputy that took over from that root, which may be this gateway.
func (g *Gateway) notifyEnd(r *request, m endMessage) {
	if e := (attemptEnd{r.customer, r.root, encode(m)}); g.sendEnd(e) {
		g.recentEnds = append(g.recentEnds, e)
	} else {
		g.onEnd(g.settings.Self, m)
	}
}

// attemptEnd is the end of an attempt that another gateway granted.
type attemptEnd struct {
	customer *customer
	root     int // the gateway that granted it
	data     []byte
}

// sendEnd sends the end of an attempt to the gateway that counts it. It returns false, and sends
// nothing, if that is now this gateway.
func (g *Gateway) sendEnd(e attemptEnd) bool {
	to := e.root
	if len(e.customer.rootAndDeputy) > 0 && to == e.customer.rootAndDeputy[0] && g.isAbsent(to) {
		to = e.customer.rootAndDeputy[1]
	}
	if to != g.settings.Self {
		g.emit(SendMessage{To: to, Data: e.data})
	}
	return to != g.settings.Self
}

// resendEnds sends the ends of the last tick once more, to the gateways that count the attempts now.
func (g *Gateway) resendEnds() {
	for _, e := range g.recentEnds {
		g.sendEnd(e)
	}
	g.recentEnds = nil
}

// forwardEnd forwards an end, received while this gateway shuts down, to the gateway that
// counts the attempt from now on. Transfers that are not acknowledged yet drop that attempt.
func (g *Gateway) forwardEnd(from int, m endMessage) {
	for _, p := range g.pendingTransfers {
		if p.customer == nil || p.customer.Customer != m.Customer {
			continue
		}
		p.customer.Grants = slices.DeleteFunc(p.customer.Grants, func(l transferredGrant) bool {
			return int(l.From) == from && l.Tag == m.Tag
		})
		p.data = p.customer.encode()
	}
	if c := g.customers[m.Customer]; g.largeFleet && c != nil {
		_, deputy := g.roots(c)
		e := attemptEnd{c, deputy, encode(forwardedEnd{uint16(from), m})}
		if g.sendEnd(e) {
			g.recentEnds = append(g.recentEnds, e)
		}
	}
}

// onPeerShutdown records that a gateway shuts down. Its attempts in flight have ended. Its
// reports count again once they come from a new process. In a large fleet, where most
// gateways get no reports from it, all wait for the same time, so that they ask it again
// together. Requests that it was asked for and has not granted are asked for again.
func (g *Gateway) onPeerShutdown(from int, m shutdownMessage) {
	g.absentUntil[from] = g.now + shutdownAbsence
	if p := g.peers[from]; p != nil && (!p.hasReported || p.incarnation == m.Incarnation) {
		p.shutDown = true
	}
	for _, r := range slices.Clone(g.pendingAsks) {
		if r.root == from && !r.closed && !r.granted && g.asksByTag[r.tag] == r {
			g.pendingAsks = slices.DeleteFunc(g.pendingAsks, func(o *request) bool { return o == r })
			r.heldAtRoot = false
			g.askRoot(r)
		}
	}
}

// isAbsent reports whether a gateway announced its shutdown a short time ago.
func (g *Gateway) isAbsent(num int) bool { return g.now < g.absentUntil[num] }

// endAbsences ends the absences that have expired, and transfers counts and states back to the
// gateways that are asked again from now on. It also drops expired records of received transfers.
func (g *Gateway) endAbsences() {
	for _, num := range slices.Sorted(maps.Keys(g.absentUntil)) { // sorted: equal seeds give equal actions
		if g.now >= g.absentUntil[num] {
			delete(g.absentUntil, num)
			g.transferBack(num)
		}
	}
	for k, until := range g.receivedTransfers {
		if g.now >= until {
			delete(g.receivedTransfers, k)
		}
	}
}

// onNewerMessage handles the messages that older programs don't know.
func (g *Gateway) onNewerMessage(from int, m any) {
	switch m := m.(type) {
	case markedObservation:
		g.onObservation(m.Observation, g.localClass(m.Observation.Class, true, m.Mark))
	case markedVerdict:
		g.onVerdict(m.Verdict, g.localClassMask(m.Verdict.OutOfUse, true, m.Mark))
	case tablesMessage:
		g.onTablesMessage(from, m)
	case shutdownMessage:
		g.onPeerShutdown(from, m)
	case customerTransfer:
		g.onCustomerTransfer(from, m)
	case monitorState:
		g.onMonitorState(from, m)
	case forwardedEnd:
		g.onEnd(int(m.From), m.End)
	case stillInFlight:
		a := askMessage(m)
		if plan, _ := g.resolveAsk(from, &a); plan != nil && a.Spread > 0 {
			g.onStillInFlight(from, a, plan)
		}
	case transferAck:
		g.onTransferAck(from, m)
	}
}

// adoptCustomer takes over a root's counts. It may lower the token bucket here, but never
// raises it.
func (g *Gateway) adoptCustomer(c *customer, m *customerTransfer) {
	g.advance(c)
	c.tokens, c.actsAsRoot, c.lastRequestAt = min(c.tokens, float64(m.Tokens)), true, g.now
	for _, l := range m.Grants {
		key, n := leaseKey{int(l.From), l.Tag}, len(c.leases)
		if _, known := c.leases[key]; !known && !g.hasRoomForRemote() {
			continue
		}
		c.leases[key] = g.leaseOf(c, l)
		c.addInFlight(g.now, len(c.leases)-n)
		g.remoteRequests += len(c.leases) - n
	}
}
