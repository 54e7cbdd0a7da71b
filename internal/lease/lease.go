// Package lease implements leases after PaxosLease: at most one process at a time holds
// a duty. It needs neither a disk nor a separate service. A few edge nodes vote, a
// majority grants a lease for a fixed term, and a lease that isn't renewed expires.
//
// Guarantees, if no clock drifts by more than Settings.Drift: two processes never hold
// a duty at the same time, even if messages are lost, delayed, duplicated or reordered,
// voters restart, or holders pause. Fencing tokens increase with each new lease if some
// voter of each majority has not restarted since the previous lease, or if the wall
// clocks of the two holders differ by less than the time between their leases.
//
// There isn't a holder at all times. A duty has no holder for about a term after a
// crash, for a short time after a release, and while no majority of voters is
// connected. A process that pauses after calling Holds may act when its lease has
// expired, so receivers of its work must reject a token lower than the highest they
// have seen.
//
// A Duty is a state machine: it takes the time and messages and returns messages. It is
// not safe for concurrent use, opens no sockets and reads no clocks. Its memory is
// bounded by the number of voters.
package lease

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are the parameters of a duty, the same at all participants.
type Settings struct {
	Name  string
	Term  time.Duration // lifetime of a grant, by the voter's clock
	Drift float64       // maximal relative error of a clock's rate
}

const (
	renewFraction = 1.0 / 3 // fraction of the term after which a holder renews its lease

	roundTimeout = 250 * time.Millisecond // timeout of a round

	// Exponential backoff between failed rounds.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second

	maxVoters = 5 // tolerates the loss of two

	digestBytes = 4 // of a Digest in a message
)

// Voters selects the edge nodes that vote on a duty: an odd number of n, by rendezvous
// hashing, so that all edge nodes select the same ones. Only voters may hold the duty,
// since only they know when it is free.
func Voters(name string, n int) []int {
	all := make([]int, n)
	score := make([]uint64, n)
	for i := range all {
		all[i] = i
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint32([]byte(name), uint32(i)))
		x := h.Sum64() // FNV mixes the last bytes too little
		x ^= x >> 32
		x *= 0x9e3779b97f4a7c15
		score[i] = x ^ x>>29
	}
	slices.SortFunc(all, func(a, b int) int {
		return cmp.Or(cmp.Compare(score[b], score[a]), cmp.Compare(a, b))
	})
	k := min(n, maxVoters)
	if k%2 == 0 {
		k--
	}
	return all[:max(k, 1)]
}

// Kind is the type of a message.
type Kind byte

// The kinds of messages, in the order of a round.
const (
	Prepare Kind = iota + 1 // candidate to voter: start a round with this ballot
	Promise                 // voter's reply to Prepare, with its current grant, if any
	Propose                 // candidate to voter: request the grant
	Accept                  // voter's reply to Propose: granted
	Reject                  // voter's reply if it has promised a higher ballot
	Release                 // holder to voter: end the grant
)

// Message is a message between candidates and voters. Its encoding has a fixed length.
type Message struct {
	Kind   Kind
	Duty   uint32 // the Digest of the duty's name
	Ballot uint64 // of the round
	Holder uint16 // in a Promise: holder of the current grant; in a Reject: unused; otherwise the sender
	Held   uint64 // in a Promise: ballot of the current grant, or 0; in a Reject: the higher ballot
}

// Version is the first byte of each datagram. It differs from the first bytes of
// messages of package policy.
const Version = 0x4c

const messageBytes = 1 + 1 + digestBytes + 8 + 2 + 8

// Append appends the encoded message.
func (m Message) Append(b []byte) []byte {
	b = append(b, Version, byte(m.Kind))
	b = binary.BigEndian.AppendUint32(b, m.Duty)
	b = binary.BigEndian.AppendUint64(b, m.Ballot)
	b = binary.BigEndian.AppendUint16(b, m.Holder)
	return binary.BigEndian.AppendUint64(b, m.Held)
}

// Decode decodes a message. ok is false if b isn't exactly one valid message.
func Decode(b []byte) (m Message, ok bool) {
	if len(b) != messageBytes || b[0] != Version || Kind(b[1]) < Prepare || Kind(b[1]) > Release {
		return m, false
	}
	be := binary.BigEndian
	return Message{Kind(b[1]), be.Uint32(b[2:]), be.Uint64(b[6:]), be.Uint16(b[14:]), be.Uint64(b[16:])}, true
}

// Digest returns the hash that identifies a duty in messages.
func Digest(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Outgoing is a message to send to an edge node.
type Outgoing struct {
	To  int
	Msg Message
}

// Duty is the state of one edge node as a voter on a duty and as a candidate for it.
type Duty struct {
	settings Settings
	id       uint32
	me       int
	voters   []int
	rng      *rand.Rand
	out      []Outgoing

	// State as a voter.
	started     time.Duration // start by the local clock
	startWallMS uint64        // start by the wall clock, in milliseconds
	activeAt    time.Duration // no votes before: grants from before a restart have expired by then
	promised    uint64        // highest promised ballot
	grantBallot uint64        // ballot of the current grant; 0: none
	grantHolder int           // of the current grant
	grantEnd    time.Duration // end of the current grant

	// State as a candidate or holder.
	phase      Kind          // of the current round: Prepare, Propose, or 0 between rounds
	ballot     uint64        // of the current round
	maxBallot  uint64        // highest ballot seen
	roundStart time.Duration // start of the round
	approvals  map[int]bool  // voters that have agreed in this phase
	conflicts  map[int]bool  // voters whose grant belongs to another edge node
	nextRound  time.Duration // start of the next round
	backoff    time.Duration // backoff, doubled with each failed round
	token      uint64        // fencing token of the lease, the ballot that won it; 0: none
	leaseEnd   time.Duration // end of the lease by the local clock
	resigned   bool          // not a candidate
}

// New returns the state of an edge node that starts now. The wall clock, read once at
// the start and advanced by the local clock, is a lower bound of ballots. It keeps tokens
// increasing if all voters restart and forget the highest ballot.
func New(settings Settings, me int, voters []int, seed uint64, now time.Duration, wallMS uint64) *Duty {
	d := &Duty{settings: settings, id: Digest(settings.Name), me: me, voters: voters,
		rng:     rand.New(rand.NewPCG(seed, uint64(me))),
		started: now, startWallMS: wallMS, activeAt: now + settings.Term,
		approvals: map[int]bool{}, conflicts: map[int]bool{}}
	// Without jitter, edge nodes that start together would collide.
	d.nextRound = d.activeAt + d.jitter(roundTimeout)
	return d
}

func (d *Duty) jitter(limit time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(limit) + 1))
}

// leaseDuration returns how long a lease lasts by the holder's clock, from the start of its
// round. It is shorter than the term because the holder's clock may be slow and the voters'
// clocks fast.
func (d *Duty) leaseDuration() time.Duration {
	return time.Duration(float64(d.settings.Term) * (1 - d.settings.Drift) / (1 + d.settings.Drift))
}

// Holds reports whether this edge node holds the duty now, and returns the fencing token.
func (d *Duty) Holds(now time.Duration) (token uint64, ok bool) {
	if d.token == 0 || now >= d.leaseEnd {
		return 0, false
	}
	return d.token, true
}

// Holder returns the edge node to which this voter has granted the duty, or -1.
func (d *Duty) Holder(now time.Duration) int {
	if d.grantBallot == 0 || now >= d.grantEnd {
		return -1
	}
	return d.grantHolder
}

// Tick expires the lease and starts or ends rounds. It must be called again at next.
func (d *Duty) Tick(now time.Duration) (out []Outgoing, next time.Duration) {
	d.out = nil
	if d.token != 0 && now >= d.leaseEnd {
		d.token = 0
	}
	if d.phase != 0 && now >= d.roundStart+roundTimeout {
		d.failRound(now)
	}
	if d.phase == 0 && now >= d.nextRound && !d.resigned {
		d.startRound(now)
	}
	next = d.nextRound
	if d.phase != 0 {
		next = d.roundStart + roundTimeout
	} else if d.resigned {
		next = now + d.settings.Term
	}
	return d.out, max(next, now+time.Millisecond)
}

// startRound starts a round, unless this edge node holds no lease and has, as a voter,
// granted the duty to another edge node.
func (d *Duty) startRound(now time.Duration) {
	if d.token == 0 && d.Holder(now) >= 0 && d.grantHolder != d.me {
		// The duty isn't free before grantEnd, unless the holder releases it.
		d.nextRound = d.grantEnd + d.jitter(minBackoff)
		return
	}
	d.maxBallot = max(d.maxBallot>>16+1, d.startWallMS+uint64((now-d.started).Milliseconds()))<<16 |
		uint64(d.me)
	d.ballot, d.phase, d.roundStart = d.maxBallot, Prepare, now
	clear(d.approvals)
	clear(d.conflicts)
	d.broadcast(now, Message{Kind: Prepare, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
}

// failRound ends a round without a lease. The random pause separates candidates that collide.
func (d *Duty) failRound(now time.Duration) {
	d.phase = 0
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	d.nextRound = now + minBackoff + d.jitter(d.backoff)
}

// broadcast sends a message to all voters, including itself.
func (d *Duty) broadcast(now time.Duration, m Message) {
	for _, v := range d.voters {
		d.send(now, v, m)
	}
}

// send queues a message. It handles a message to itself at once.
func (d *Duty) send(now time.Duration, to int, m Message) {
	if to == d.me {
		d.handle(now, to, m)
		return
	}
	d.out = append(d.out, Outgoing{to, m})
}

// Handle processes a message from another edge node and returns the messages to send.
func (d *Duty) Handle(now time.Duration, from int, m Message) []Outgoing {
	d.out = nil
	if m.Duty == d.id && from != d.me && slices.Contains(d.voters, from) {
		d.handle(now, from, m)
	}
	return d.out
}

func (d *Duty) handle(now time.Duration, from int, m Message) {
	switch m.Kind {
	case Prepare, Propose, Release:
		d.handleRequest(now, from, m)
	case Promise, Accept:
		d.handleReply(now, from, m)
	case Reject:
		d.maxBallot = max(d.maxBallot, m.Held)
		if m.Ballot == d.ballot && d.phase != 0 {
			d.failRound(now)
		}
	}
}

// handleRequest handles a message as a voter.
func (d *Duty) handleRequest(now time.Duration, from int, m Message) {
	// Before activeAt, a grant from before a restart may still be valid. A ballot ends with
	// the number of the edge node that it belongs to.
	if now < d.activeAt || int(m.Ballot&0xffff) != from {
		return
	}
	d.maxBallot = max(d.maxBallot, m.Ballot)
	if d.grantBallot != 0 && now >= d.grantEnd {
		d.grantBallot = 0
	}
	switch {
	case m.Kind == Release:
		d.promised = max(d.promised, m.Ballot+1) // rejects late requests from before the Release
		// The holder may have started another round since the grant, so its ballot may be higher.
		if d.grantBallot != 0 && d.grantHolder == from && d.grantBallot <= m.Ballot {
			d.grantBallot = 0
			d.nextRound = min(d.nextRound, now+d.jitter(roundTimeout)) // the duty is free
		}
	case m.Ballot < d.promised:
		d.send(now, from, Message{Kind: Reject, Duty: d.id, Ballot: m.Ballot, Held: d.promised})
	case m.Kind == Prepare:
		d.promised = m.Ballot
		d.send(now, from, Message{Kind: Promise, Duty: d.id, Ballot: m.Ballot, Holder: uint16(d.grantHolder),
			Held: d.grantBallot})
	default:
		if d.grantBallot != 0 && d.grantHolder != from {
			return // granted to another edge node since the Promise
		}
		d.promised, d.grantBallot, d.grantHolder, d.grantEnd = m.Ballot, m.Ballot, from, now+d.settings.Term
		d.send(now, from, Message{Kind: Accept, Duty: d.id, Ballot: m.Ballot, Holder: uint16(d.me)})
	}
}

// handleReply counts the voters' replies to the current phase and ignores others.
func (d *Duty) handleReply(now time.Duration, from int, m Message) {
	if d.phase == 0 || m.Ballot != d.ballot || (m.Kind == Promise) != (d.phase == Prepare) {
		return
	}
	if m.Kind == Promise && m.Held != 0 && int(m.Holder) != d.me {
		d.maxBallot = max(d.maxBallot, m.Held)
		if d.conflicts[from] = true; 2*len(d.conflicts) > len(d.voters) {
			d.failRound(now)
		}
		return
	}
	if d.approvals[from] = true; 2*len(d.approvals) <= len(d.voters) {
		return
	}
	if d.phase == Prepare {
		d.phase = Propose
		clear(d.approvals)
		d.broadcast(now, Message{Kind: Propose, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
		return
	}
	d.phase, d.backoff = 0, 0
	if now >= d.roundStart+d.leaseDuration() {
		return // the replies were late: the lease has expired already
	}
	if d.token == 0 {
		d.token = d.ballot // a new lease gets a new token; a renewal keeps it
	}
	d.leaseEnd = d.roundStart + d.leaseDuration()
	d.nextRound = d.roundStart + time.Duration(renewFraction*float64(d.settings.Term)) + d.jitter(minBackoff)
}

// Resign releases the duty and stops being a candidate.
func (d *Duty) Resign(now time.Duration) []Outgoing {
	d.out = nil
	d.resigned, d.phase = true, 0
	if d.grantBallot != 0 && d.grantHolder == d.me || d.token != 0 {
		d.token = 0
		// The current grants may be from a later round than the token or from an
		// earlier one than the round in progress, so Release carries the latest ballot.
		d.broadcast(now, Message{Kind: Release, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
	}
	return d.out
}
