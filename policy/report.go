package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// customerKey identifies a customer in messages, shortHash in reports.
func customerKey(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

func shortHash(key uint64) uint32 { return uint32(key >> 40) }

// report is what a gateway sends to a peer at ticks. On the wire: version, incarnation,
// sequence number, flags, number of servers, servers, customers.
type report struct {
	incarnation uint32 // a random number for each process of the sender
	seq         uint32
	complete    bool // customers not named have no attempts in flight and none held
	servers     []serverInFlight
	customers   []customerEntry
}

// serverInFlight is the sender's attempts in flight at a server, up to maxServerInFlight.
// The hash has serverBits bits.
type serverInFlight struct {
	hash     uint16
	inFlight byte
}

// customerEntry is the part of a report on one customer.
type customerEntry struct {
	hash          uint32 // 24 bits
	inFlight      byte   // inFlightScale times the square root of the mean over the tick, up to 15
	held          byte   // up to maxHeld
	admittedUnits byte   // running total, its lowest bits
	rate          byte   // requested units a second: rateScale * log2(1 + rate), up to maxRate
	restarted     bool   // the total began at 0 a short time ago: the highest bit of the rate
	tokens        byte   // estimate of the token bucket, 250: full
}

// Sizes are in bytes.
const (
	reportVersion     = 6
	flagComplete      = 1
	flagRestarted     = 0x80
	maxRate           = 0x7f
	maxHeld           = 15
	maxServerInFlight = 31
	serverBits        = 11
	inFlightScale     = 4
	maxServers        = 36  // in one report
	unknownTokens     = 255 // no estimate
	maxMessage        = 256
	headerSize        = 11
	serverSize        = 2
	entrySize         = 8
	rateScale         = 8
)

// hasSpace reports whether one more customer fits.
func (m *report) hasSpace() bool {
	n := headerSize + serverSize*len(m.servers) + entrySize*(len(m.customers)+1)
	return n <= maxMessage
}

func (m *report) encode() []byte {
	b := make([]byte, 0, maxMessage)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, m.incarnation)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	flags := byte(0)
	if m.complete {
		flags = flagComplete
	}
	b = append(b, flags, byte(len(m.servers)))
	for _, s := range m.servers {
		b = binary.BigEndian.AppendUint16(b, s.hash<<(16-serverBits)|uint16(s.inFlight))
	}
	for _, e := range m.customers {
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.inFlight<<4|e.held)
		b = append(b, e.admittedUnits, 0) // older versions lent parts of hard ceilings in the second byte
		rate := e.rate
		if e.restarted {
			rate |= flagRestarted
		}
		b = append(b, rate, e.tokens)
	}
	return b
}

// newReport makes the report for one peer: in a small fleet the servers where this gateway has
// attempts in flight, then the customers whose counts both gateways sum, most urgent first.
func (g *Gateway) newReport(p *peer, list []*customer) *report {
	m := &report{incarnation: g.incarnation, seq: g.seq, complete: true}
	for _, s := range g.tracked {
		if s.inFlight > 0 && len(m.servers) < maxServers && !g.largeFleet {
			m.servers = append(m.servers, serverInFlight{s.hash, byte(min(s.inFlight, maxServerInFlight))})
		}
	}
	for _, c := range list {
		i := slices.IndexFunc(c.peerViews, func(v *peerView) bool { return v.peer == p })
		if i < 0 {
			continue
		}
		if !m.hasSpace() {
			m.complete = false
			break
		}
		g.advance(c)
		e := customerEntry{hash: c.hash, held: byte(min(len(c.held), maxHeld)),
			inFlight:      byte(min(math.Round(inFlightScale*math.Sqrt(c.meanInFlight)), 15)),
			admittedUnits: byte(c.admittedUnits), tokens: unknownTokens,
			restarted: g.now-c.countedSince < totalRestartWindow,
			rate:      min(maxRate, toByte(rateScale*math.Log2(1+c.recentUnits/demandDecayTime.Seconds())))}
		if c.tokensKnown && c.plan.Burst > 0 {
			e.tokens = toByte(250 * max(c.tokens, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.lastReportTick = g.tickCount
	}
	return m
}

// decodeReport reads a report. It is not ok unless b is complete and well-formed.
func decodeReport(b []byte) (m report, ok bool) {
	if len(b) < headerSize || len(b) > maxMessage || b[0] != reportVersion {
		return m, false
	}
	m.incarnation, m.seq = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	n := int(b[10])
	b = b[headerSize:]
	if len(b) < n*serverSize {
		return m, false
	}
	for range n {
		v := binary.BigEndian.Uint16(b)
		m.servers = append(m.servers, serverInFlight{v >> (16 - serverBits), byte(v & maxServerInFlight)})
		b = b[serverSize:]
	}
	for len(b) > 0 {
		if len(b) < entrySize {
			return m, false
		}
		e := customerEntry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), inFlight: b[3] >> 4,
			held: b[3] & maxHeld, admittedUnits: b[4], rate: b[6] & maxRate,
			restarted: b[6]&flagRestarted != 0, tokens: b[7]}
		b = b[entrySize:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

// update stores an entry and returns the units admitted since the last one. newBase reports that
// the sender's total was not known before or has restarted; the units then count from there.
func (v *peerView) update(e customerEntry, incarnation uint32, now time.Duration) (admitted float64,
	newBase bool) {
	quiet := now-v.receivedAt > totalRestartWindow
	if newBase = !v.received || v.incarnation != incarnation || e.restarted && quiet; newBase {
		v.admittedUnits = 0
		if !v.received && !e.restarted {
			v.admittedUnits = e.admittedUnits
		}
	}
	admitted = float64(int8(e.admittedUnits - v.admittedUnits)) // negative after units were returned
	if quiet {
		admitted = max(0, admitted)
	}
	v.received, v.incarnation, v.admittedUnits = true, incarnation, e.admittedUnits
	v.receivedAt, v.recentUnits = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandDecayTime.Seconds()
	v.inFlight, v.held = math.Pow(float64(e.inFlight)/inFlightScale, 2), float64(e.held)
	return admitted, newBase
}

func (g *Gateway) onReport(p *peer, m report) {
	if p == nil {
		return
	}
	if p.hasReported && p.incarnation == m.incarnation && int32(m.seq-p.seq) <= 0 {
		return // old or repeated: the later report includes its content
	}
	if p.shutDown = p.shutDown && p.incarnation == m.incarnation; m.complete ||
		p.incarnation != m.incarnation {
		for _, v := range p.views {
			v.inFlight, v.held = 0, 0
		}
	}
	p.hasReported, p.incarnation, p.seq, p.lastReportAt, p.complete = true, m.incarnation, m.seq, g.now,
		m.complete
	p.inFlightByServer = map[uint16]float64{}
	for _, o := range m.servers {
		p.inFlightByServer[o.hash] = float64(o.inFlight)
	}
	g.sumPeerLoads()
	for _, e := range m.customers {
		if c := g.customersByHash[e.hash]; c != nil {
			g.applyEntry(c, p, e)
		}
	}
}
