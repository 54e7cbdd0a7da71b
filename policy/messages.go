package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// The short messages of a large fleet. On the wire: version, kind, fields in order.

// askMessage asks a customer's root to count a request.
type ask struct {
	Customer      uint64
	First, Spread uint16
	Plan, Class   byte
	Units, Left   uint16 // RemainingMS: until the client gives up
	Tag           uint32
	Thin          byte // probability of asking for such a request, 250: 1
	Fill          byte // last known level of the token bucket, 250: full
	Repeat        bool
}

// stillInFlight tells the root that the attempt it granted for this ask is still in flight.
type stillOut ask

// answerMessage is the root's answer to an ask.
type answer struct {
	Tag           uint32
	Verdict, Fill byte
	Strain        byte // of the root, 100: latencies equal aims
	Part          byte // of the requested units, 250: all
}

const (
	granted byte = iota
	refused
	waits // at the root; another answer follows
)

// endMessage tells the root that a granted attempt has ended or was never made.
type ended struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// observation tells a server's monitor the outcome of an attempt.
type sight struct {
	Server  uint32
	Class   byte
	Code    byte
	Latency uint16 // milliseconds
}

// shutdownMessage announces that the sender shuts down.
type departure struct{ Inc uint32 }

// verdictMessage is a monitor's verdict on a server, sent to all gateways.
type verdict struct {
	Server uint32
	Bad    byte // a bit for each of the first eight classes
	Pace   byte // 16 * (4 + its log2)
}

const shortVersion = 3

func encode(m any) []byte {
	var kind byte
	switch m.(type) {
	case answer:
		kind = 1
	case ended:
		kind = 2
	case sight:
		kind = 3
	case verdict:
		kind = 4
	case tables:
		kind = 5
	case markedSight:
		kind = 6
	case markedVerdict:
		kind = 7
	case departure:
		kind = 8
	case took:
		kind = 10
	case judged:
		kind = 11
	case endedFor:
		kind = 12
	case stillOut:
		kind = 13
	}
	b, err := binary.Append([]byte{shortVersion, kind}, binary.BigEndian, m)
	if err != nil {
		panic(err) // m is not a message
	}
	return b
}

// decode reads a message; nil: incomplete or not well-formed.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != shortVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	switch b[1] {
	case 0:
		return fixed[ask](b[2:])
	case 1:
		return fixed[answer](b[2:])
	case 2:
		return fixed[ended](b[2:])
	case 3:
		return fixed[sight](b[2:])
	case 4:
		return fixed[verdict](b[2:])
	case 5:
		return fixed[tables](b[2:])
	case 6:
		return fixed[markedSight](b[2:])
	case 7:
		return fixed[markedVerdict](b[2:])
	case 8:
		return fixed[departure](b[2:])
	case handedKind:
		return decodeHanded(b[2:])
	case 10:
		return fixed[took](b[2:])
	case 11:
		return fixed[judged](b[2:])
	case 12:
		return fixed[endedFor](b[2:])
	case 13:
		return fixed[stillOut](b[2:])
	}
	return nil
}

func fixed[T any](b []byte) any {
	var m T
	if n, err := binary.Decode(b, binary.BigEndian, &m); err != nil || n != len(b) {
		return nil
	}
	return m
}

// onEnd frees the place of another gateway's attempt, returns its units if they were never
// used, and drops the request if it is still held here.
func (g *Gateway) onEnded(from int, m ended) {
	if g.leaving {
		g.passEnd(from, m)
		return
	}
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[lease{from, m.Tag}]
	if !ok {
		if i := c.heldFor(from, m.Tag); i >= 0 {
			c.held[i].over = true
			g.unhold(c, i)
		}
		return
	}
	delete(c.leases, lease{from, m.Tag})
	c.count(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.tokens = min(c.plan.Burst, c.tokens+l.r.units)
	}
	g.release(c)
}

// healthOf returns the state of a server for a class; nil: the class is not in the settings.
func (g *Gateway) record(s *server, cl *class) *record {
	if cl.no < 0 || cl.no >= len(s.by) || cl.Name == "" {
		return nil
	}
	return &s.by[cl.no]
}

// newAsk makes the message that asks for a request, with the numbers of table t.
func (g *Gateway) askOf(r *request, t *table) ask {
	c, left := r.c, (r.deadline - g.now).Milliseconds()
	m := ask{Customer: c.key, First: uint16(c.first), Spread: uint16(c.spread), Plan: c.plan.no,
		Class: byte(r.cl.no), Units: uint16(r.units), Left: uint16(min(max(0, left), math.MaxUint16)),
		Tag: r.tag, Repeat: r.repeat, Fill: unknownTokens, Thin: small(250 * r.asks)}
	if t != g.tables[0] {
		m.Plan, m.Class = byte(slices.Index(t.plans, c.plan.Name)), byte(slices.Index(t.classes, r.cl.Name))
	}
	if c.told > 0 {
		m.Fill = small(250 * max(0, c.tokens) / max(1, c.plan.Burst))
	}
	return m
}

// newRemoteRequest makes the request that another gateway asks for.
func (g *Gateway) requestOf(c *customer, from int, cl *class, m ask) *request {
	return &request{c: c, cl: cl, units: float64(m.Units), arrived: g.now,
		deadline: g.now + time.Duration(m.Left)*time.Millisecond, repeat: m.Repeat, remote: true, root: from,
		tag: m.Tag}
}

// outOfUseMasks returns a bit for each class: out of use by the last verdict, with the end
// of that verdict, and failing by the given test.
func (s *server) masks(isBad func(*record) bool) (told, bad byte, until time.Duration) {
	for i := range s.by {
		v := &s.by[i]
		if v.bad {
			told |= 1 << i
			until = v.until
		}
		if isBad(v) {
			bad |= 1 << i
		}
	}
	return told, bad, until
}

// Asked is an ask as read from a message, for a simulator that follows requests.
type Asked struct {
	Tag   uint32
	Units float64
	Left  time.Duration // until the client gives up, to the millisecond
}

// ReadAsk reads an ask from a message. It is false for any other message.
func ReadAsk(data []byte) (Asked, bool) {
	m, ok := decode(data).(ask)
	return Asked{m.Tag, float64(m.Units), time.Duration(m.Left) * time.Millisecond}, ok
}

// Answered is a root's answer as read from a message.
type Answered struct {
	Tag            uint32
	Granted, Waits bool
}

// ReadAnswer reads a root's answer from a message. It is false for any other message.
func ReadAnswer(data []byte) (Answered, bool) {
	m, ok := decode(data).(answer)
	return Answered{m.Tag, m.Verdict == granted, m.Verdict == waits}, ok
}
