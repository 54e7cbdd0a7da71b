package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// The short messages of a large fleet. On the wire: version, kind, fields in order.

// askMessage asks a customer's root to count a request.
type askMessage struct {
	Customer           uint64
	First, Spread      uint16
	Plan, Class        byte
	Units, RemainingMS uint16 // RemainingMS: until the client gives up
	Tag                uint32
	AskChance          byte // probability of asking for such a request, 250: 1
	TokenFill          byte // last known level of the token bucket, 250: full
	ClientRetry        bool
}

// stillInFlight tells the root that the attempt it granted for this ask is still in flight.
type stillInFlight askMessage

// answerMessage is the root's answer to an ask.
type answerMessage struct {
	Tag                uint32
	Verdict, TokenFill byte
	LoadRatio          byte // of the root, 100: latencies equal their targets
	FittingShare       byte // of the requested units, 250: all
}

const (
	answerGranted byte = iota
	answerRefused
	answerHeld // at the root; another answer follows
)

// endMessage tells the root that a granted attempt has ended or was never made.
type endMessage struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// observation tells a server's monitor the outcome of an attempt.
type observation struct {
	Server  uint32
	Class   byte
	Code    byte
	Latency uint16 // milliseconds
}

// shutdownMessage announces that the sender shuts down.
type shutdownMessage struct{ Incarnation uint32 }

// verdictMessage is a monitor's verdict on a server, sent to all gateways.
type verdictMessage struct {
	Server          uint32
	OutOfUse        byte // a bit for each of the first eight classes
	RelativeLatency byte // 16 * (4 + its log2)
}

const shortVersion = 3

func encode(m any) []byte {
	var kind byte
	switch m.(type) {
	case answerMessage:
		kind = 1
	case endMessage:
		kind = 2
	case observation:
		kind = 3
	case verdictMessage:
		kind = 4
	case tablesMessage:
		kind = 5
	case markedObservation:
		kind = 6
	case markedVerdict:
		kind = 7
	case shutdownMessage:
		kind = 8
	case transferAck:
		kind = 10
	case monitorState:
		kind = 11
	case forwardedEnd:
		kind = 12
	case stillInFlight:
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
		return decodeFixed[askMessage](b[2:])
	case 1:
		return decodeFixed[answerMessage](b[2:])
	case 2:
		return decodeFixed[endMessage](b[2:])
	case 3:
		return decodeFixed[observation](b[2:])
	case 4:
		return decodeFixed[verdictMessage](b[2:])
	case 5:
		return decodeFixed[tablesMessage](b[2:])
	case 6:
		return decodeFixed[markedObservation](b[2:])
	case 7:
		return decodeFixed[markedVerdict](b[2:])
	case 8:
		return decodeFixed[shutdownMessage](b[2:])
	case transferKind:
		return decodeCustomerTransfer(b[2:])
	case 10:
		return decodeFixed[transferAck](b[2:])
	case 11:
		return decodeFixed[monitorState](b[2:])
	case 12:
		return decodeFixed[forwardedEnd](b[2:])
	case 13:
		return decodeFixed[stillInFlight](b[2:])
	}
	return nil
}

func decodeFixed[T any](b []byte) any {
	var m T
	if n, err := binary.Decode(b, binary.BigEndian, &m); err != nil || n != len(b) {
		return nil
	}
	return m
}

// onEnd frees the place of another gateway's attempt, returns its units if they were never
// used, and drops the request if it is still held here.
func (g *Gateway) onEnd(from int, m endMessage) {
	if g.shuttingDown {
		g.forwardEnd(from, m)
		return
	}
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[leaseKey{from, m.Tag}]
	if !ok {
		if i := c.heldIndex(from, m.Tag); i >= 0 {
			c.held[i].closed = true
			g.dequeue(c, i)
		}
		return
	}
	delete(c.leases, leaseKey{from, m.Tag})
	c.addInFlight(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.tokens = min(c.plan.Burst, c.tokens+l.request.units)
	}
	g.release(c)
}

// healthOf returns the state of a server for a class; nil: the class is not in the settings.
func (g *Gateway) healthOf(s *server, cl *class) *classHealth {
	if cl.index < 0 || cl.index >= len(s.health) || cl.Name == "" {
		return nil
	}
	return &s.health[cl.index]
}

// newAsk makes the message that asks for a request, with the numbers of table t.
func (g *Gateway) newAsk(r *request, t *table) askMessage {
	c, left := r.customer, (r.deadline - g.now).Milliseconds()
	m := askMessage{Customer: c.key, First: uint16(c.first), Spread: uint16(c.spread), Plan: c.plan.index,
		Class: byte(r.class.index), Units: uint16(r.units),
		RemainingMS: uint16(min(max(0, left), math.MaxUint16)), Tag: r.tag, ClientRetry: r.clientRetry,
		TokenFill: unknownTokens, AskChance: toByte(250 * r.askChance)}
	if t != g.tables[0] {
		m.Plan, m.Class = byte(slices.Index(t.plans, c.plan.Name)),
			byte(slices.Index(t.classes, r.class.Name))
	}
	if c.lastReportTick > 0 {
		m.TokenFill = toByte(250 * max(0, c.tokens) / max(1, c.plan.Burst))
	}
	return m
}

// newRemoteRequest makes the request that another gateway asks for.
func (g *Gateway) newRemoteRequest(c *customer, from int, cl *class, m askMessage) *request {
	return &request{customer: c, class: cl, units: float64(m.Units), arrivedAt: g.now,
		deadline: g.now + time.Duration(m.RemainingMS)*time.Millisecond, clientRetry: m.ClientRetry,
		remote: true, root: from, tag: m.Tag}
}

// outOfUseMasks returns a bit for each class: out of use by the last verdict, with the end
// of that verdict, and failing by the given test.
func (s *server) outOfUseMasks(isFailing func(*classHealth) bool) (outOfUse, failing byte,
	until time.Duration) {
	for i := range s.health {
		h := &s.health[i]
		if h.outOfUse {
			outOfUse |= 1 << i
			until = h.outOfUseUntil
		}
		if isFailing(h) {
			failing |= 1 << i
		}
	}
	return outOfUse, failing, until
}

// AskInfo is an ask as read from a message, for a simulator that follows requests.
type AskInfo struct {
	Tag       uint32
	Units     float64
	Remaining time.Duration // until the client gives up, to the millisecond
}

// ReadAsk reads an ask from a message. It is false for any other message.
func ReadAsk(data []byte) (AskInfo, bool) {
	m, ok := decode(data).(askMessage)
	return AskInfo{m.Tag, float64(m.Units), time.Duration(m.RemainingMS) * time.Millisecond}, ok
}

// AnswerInfo is a root's answer as read from a message.
type AnswerInfo struct {
	Tag           uint32
	Granted, Held bool
}

// ReadAnswer reads a root's answer from a message. It is false for any other message.
func ReadAnswer(data []byte) (AnswerInfo, bool) {
	m, ok := decode(data).(answerMessage)
	return AnswerInfo{m.Tag, m.Verdict == answerGranted, m.Verdict == answerHeld}, ok
}
