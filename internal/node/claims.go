package node

import (
	"valvering.example/valvering/policy"
	"valvering.example/valvering/policy/claims"
)

// claimID claims the id of a new request. It returns false if the id belongs to another request, here or at another
// edge node.
func (l *loop) claimID(c *call) bool {
	now := l.clock.now()
	if l.claims != nil && l.claims.ClaimedElsewhere(c.requestID, now) {
		c.lastOutcome = "the id is in use at another edge node"
		return false
	}
	return l.requestIDs.claim(c.requestID, now)
}

// announceID tells other edge nodes of the id of a request that was accepted.
func (l *loop) announceID(c *call) {
	if l.claims != nil {
		l.claims.Add(c.requestID, c.ID, c.class.Effect, c.arrivedAt, c.deadline)
		l.sendClaims()
	}
}

// freeID ends the claim of the id of a request that has its answer and no attempt in flight. If the request was
// refused its client may try again here, otherwise the id is not accepted again for requestIDRetention.
func (l *loop) freeID(c *call, refused bool) {
	if refused {
		l.requestIDs.release(c.requestID)
	} else {
		l.requestIDs.retire(c.requestID, l.clock.now())
	}
	if l.claims != nil {
		l.claims.End(c.requestID)
	}
}

// sendClaims sends the claims that are due.
func (l *loop) sendClaims() {
	if l.claims == nil {
		return
	}
	for _, m := range l.claims.Take(l.clock.now()) {
		l.sendToPeer(m.To, m.Data)
	}
}

// receivePeerMessage handles a datagram of another edge node.
func (l *loop) receivePeerMessage(m policy.PeerMessage) {
	if l.claims == nil {
		l.dispatch(m)
		return
	}
	superseded, other := l.claims.Receive(m.From, m.Data, l.clock.now())
	l.idsElsewhere.Store(int64(l.claims.Foreign()))
	for _, id := range superseded {
		if c := l.calls[id]; c != nil {
			l.rejectLaterClaim(c)
		}
	}
	l.sendClaims()
	if len(other) > 0 {
		l.dispatch(policy.PeerMessage{From: m.From, Data: other})
	}
}

// sendPolicyMessage sends a message of policy, which may carry claims.
func (l *loop) sendPolicyMessage(m policy.SendMessage) {
	if l.claims != nil {
		m.Data = l.claims.Carry(m.To, m.Data, l.clock.now())
	}
	l.sendToPeer(m.To, m.Data)
}

// rejectLaterClaim rejects an open request whose id another edge node has accepted before.
func (l *loop) rejectLaterClaim(c *call) {
	c.lastOutcome = "the id was in use at another edge node before"
	if c.inFlight != nil {
		c.inFlight.withdraw() // if it may have been written, finishWith cancels it
	}
	l.finishWith(c, command{badStatus: statusConflict})
	l.dispatch(policy.ClientDisconnected{ID: c.ID})
}

// newClaims returns the claims of an edge node; nil if it can't send messages to others.
func newClaims(s policy.Settings, toAll bool) *claims.Claims {
	if !s.CanSendMessages || s.Gateways < 2 {
		return nil
	}
	return claims.New(claims.Settings{Self: s.Self, EdgeNodes: s.Gateways, ToAll: toAll,
		DatagramsPerSecond: s.DatagramsPerSecond})
}
