// Package lease lets one process at a time hold a duty, without a disk and without
// a service of its own, after PaxosLease: a few edge nodes vote, a majority grants a
// lease for a stated time, and what is not renewed ends by itself.
//
// Promised, as long as no clock runs faster or slower than the true time by more
// than the stated drift: never do two processes hold a duty at the same moment, also
// while messages are lost, late, repeated or out of order, voters start anew, and
// holders stand still. Each holding has a higher fencing token than the one before
// it as long as a voter of each majority has not started anew in between, or the wall
// clocks of the two holders differ by less than the time between them.
//
// Not promised: a holder at every moment. A duty stands empty for about a term after
// a crash, for a moment after a release, and for as long as no majority of voters is
// connected. A process that is stopped between asking Holds and acting on it may act
// late: who receives its work refuses a token lower than one it has seen.
//
// A Duty is a state machine: time and messages in, messages out. It is not safe for
// concurrent use, opens no socket and reads no clock. Its memory is bounded by the
// number of voters.
package lease

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are those of a duty, alike at all who take part.
type Settings struct {
	Name  string
	Term  time.Duration // a grant ends so long after its voter gave it
	Drift float64       // by which part a clock may run fast or slow
}

const (
	renewPart   = 1.0 / 3 // of a term, after which a holder asks again
	replyWait   = 250 * time.Millisecond
	leastPause  = 20 * time.Millisecond // between two tries, and up to mostPause as they fail
	mostPause   = time.Second
	mostVoters  = 5 // a majority is three: two may be away
	nameHashLen = 4
)

// Voters picks the edge nodes that vote on a duty, by rendezvous hashing: an odd
// number of n, the same at all of them. They are also those who may hold it: they
// alone know when it is free.
func Voters(name string, n int) []int {
	all := make([]int, n)
	score := make([]uint64, n)
	for i := range all {
		all[i] = i
		h := fnv.New64a()
		h.Write(binary.BigEndian.AppendUint32([]byte(name), uint32(i)))
		x := h.Sum64() // its last bytes mix too little
		x ^= x >> 32
		x *= 0x9e3779b97f4a7c15
		score[i] = x ^ x>>29
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Or(cmp.Compare(score[b], score[a]), cmp.Compare(a, b)) })
	k := min(n, mostVoters)
	if k%2 == 0 {
		k--
	}
	return all[:max(k, 1)]
}

// Kind says what a message means.
type Kind byte

// The kinds of message, in the order of a round.
const (
	Prepare Kind = iota + 1 // may I ask with this ballot?
	Promise                 // yes: and this is the grant that runs here, if any
	Propose                 // grant it to me
	Accept                  // granted
	Reject                  // a higher ballot was promised: that one
	Release                 // the holder is done
)

// Message is what voters and those who would hold a duty say. On the wire it is of
// a fixed length.
type Message struct {
	Kind   Kind
	Duty   uint32 // a digest of its name
	Ballot uint64 // of the round it belongs to
	Holder uint16 // in a Promise: who was granted what runs; else the sender
	Held   uint64 // in a Promise: the ballot of that grant, 0: none; in a Reject: the higher ballot
}

// Version begins each datagram: the module's messages begin otherwise.
const Version = 0x4c

const wireLen = 1 + 1 + nameHashLen + 8 + 2 + 8

// Append writes a message.
func (m Message) Append(b []byte) []byte {
	b = append(b, Version, byte(m.Kind))
	b = binary.BigEndian.AppendUint32(b, m.Duty)
	b = binary.BigEndian.AppendUint64(b, m.Ballot)
	b = binary.BigEndian.AppendUint16(b, m.Holder)
	return binary.BigEndian.AppendUint64(b, m.Held)
}

// Decode reads a message; anything but a whole, well-formed one is not ok.
func Decode(b []byte) (m Message, ok bool) {
	if len(b) != wireLen || b[0] != Version || Kind(b[1]) < Prepare || Kind(b[1]) > Release {
		return m, false
	}
	be := binary.BigEndian
	return Message{Kind(b[1]), be.Uint32(b[2:]), be.Uint64(b[6:]), be.Uint16(b[14:]), be.Uint64(b[16:])}, true
}

// Digest names a duty in messages.
func Digest(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// Out is a message to an edge node.
type Out struct {
	To  int
	Msg Message
}

// Duty is one edge node's part in a duty: a voter, and one who would hold it.
type Duty struct {
	set    Settings
	id     uint32
	me     int
	voters []int
	rng    *rand.Rand
	out    []Out

	// As a voter.
	began    time.Duration // by this clock, and
	wall     uint64        // by the wall clock, in milliseconds
	awake    time.Duration // no part is taken before: what was granted before the start has ended then
	promised uint64
	granted  uint64 // ballot of the grant that runs
	holder   int
	until    time.Duration // it ends here

	// As one who would hold it.
	phase   Kind          // of the round: Prepare, Propose, or 0 for none
	ballot  uint64        // of the round
	seen    uint64        // highest ballot met
	asked   time.Duration // when the round began
	yes     map[int]bool  // voters that have agreed in this phase
	no      map[int]bool  // voters at which another's grant runs
	retry   time.Duration // the next round
	pause   time.Duration // doubled as rounds fail
	held    uint64        // ballot of the holding: its fencing token
	ends    time.Duration // the holding, by this clock
	resting bool          // it does not want the duty
}

// New starts an edge node's part. Ballots are never below the wall clock, in
// milliseconds at the start and counted on: once all voters have started anew and
// forgotten the highest, that keeps tokens growing.
func New(set Settings, me int, voters []int, seed uint64, now time.Duration, wallMS uint64) *Duty {
	d := &Duty{set: set, id: Digest(set.Name), me: me, voters: voters, rng: rand.New(rand.NewPCG(seed, uint64(me))),
		began: now, wall: wallMS, awake: now + set.Term, yes: map[int]bool{}, no: map[int]bool{}}
	d.retry = d.awake + d.jitter(replyWait) // and all would ask at once
	return d
}

func (d *Duty) jitter(most time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(most) + 1))
}

// span is how long a holder may count on a grant, by its own clock, from before it
// asked: its clock may be slow, and the voters' fast.
func (d *Duty) span() time.Duration {
	return time.Duration(float64(d.set.Term) * (1 - d.set.Drift) / (1 + d.set.Drift))
}

// Holds tells whether this edge node holds the duty now, and the fencing token.
func (d *Duty) Holds(now time.Duration) (token uint64, ok bool) {
	if d.held == 0 || now >= d.ends {
		return 0, false
	}
	return d.held, true
}

// Holder is who was granted the duty as far as this voter knows; -1: nobody.
func (d *Duty) Holder(now time.Duration) int {
	if d.granted == 0 || now >= d.until {
		return -1
	}
	return d.holder
}

// Tick does what is due; it is to be called again at the time it returns.
func (d *Duty) Tick(now time.Duration) (out []Out, next time.Duration) {
	d.out = nil
	if d.held != 0 && now >= d.ends {
		d.held = 0
	}
	if d.phase != 0 && now >= d.asked+replyWait {
		d.fail(now)
	}
	if d.phase == 0 && now >= d.retry && !d.resting {
		d.ask(now)
	}
	next = d.retry
	if d.phase != 0 {
		next = d.asked + replyWait
	} else if d.resting {
		next = now + d.set.Term
	}
	return d.out, max(next, now+time.Millisecond)
}

// ask begins a round, where nothing is known to stand in its way.
func (d *Duty) ask(now time.Duration) {
	if d.held == 0 && d.Holder(now) >= 0 && d.holder != d.me {
		d.retry = d.until + d.jitter(leastPause) // another's grant runs: it is free then at the soonest
		return
	}
	d.seen = max(d.seen>>16+1, d.wall+uint64((now-d.began).Milliseconds()))<<16 | uint64(d.me)
	d.ballot, d.phase, d.asked = d.seen, Prepare, now
	clear(d.yes)
	clear(d.no)
	d.toAll(now, Message{Kind: Prepare, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
}

// fail ends a round that came to nothing; two that collide wait for other times.
func (d *Duty) fail(now time.Duration) {
	d.phase = 0
	d.pause = min(max(2*d.pause, leastPause), mostPause)
	d.retry = now + leastPause + d.jitter(d.pause)
}

// toAll sends to all voters, itself included.
func (d *Duty) toAll(now time.Duration, m Message) {
	for _, v := range d.voters {
		d.send(now, v, m)
	}
}

// send queues a message. One to itself is handled at once.
func (d *Duty) send(now time.Duration, to int, m Message) {
	if to == d.me {
		d.handle(now, to, m)
		return
	}
	d.out = append(d.out, Out{to, m})
}

// Handle takes in a message of another edge node.
func (d *Duty) Handle(now time.Duration, from int, m Message) []Out {
	d.out = nil
	if m.Duty == d.id && from != d.me && slices.Contains(d.voters, from) {
		d.handle(now, from, m)
	}
	return d.out
}

func (d *Duty) handle(now time.Duration, from int, m Message) {
	switch m.Kind {
	case Prepare, Propose, Release:
		d.vote(now, from, m)
	case Promise, Accept:
		d.answered(now, from, m)
	case Reject:
		d.seen = max(d.seen, m.Held)
		if m.Ballot == d.ballot && d.phase != 0 {
			d.fail(now)
		}
	}
}

// vote is the voter's part.
func (d *Duty) vote(now time.Duration, from int, m Message) {
	if now < d.awake || int(m.Ballot&0xffff) != from {
		return // it may have granted what it knows nothing of; or the ballot is another's
	}
	d.seen = max(d.seen, m.Ballot)
	if d.granted != 0 && now >= d.until {
		d.granted = 0
	}
	switch {
	case m.Kind == Release:
		d.promised = max(d.promised, m.Ballot+1)                         // what it asked before may come behind
		if d.granted != 0 && d.holder == from && d.granted <= m.Ballot { // it may have begun a further round
			d.granted = 0
			d.retry = min(d.retry, now+d.jitter(replyWait)) // it is free
		}
	case m.Ballot < d.promised:
		d.send(now, from, Message{Kind: Reject, Duty: d.id, Ballot: m.Ballot, Held: d.promised})
	case m.Kind == Prepare:
		d.promised = m.Ballot
		d.send(now, from, Message{Kind: Promise, Duty: d.id, Ballot: m.Ballot, Holder: uint16(d.holder), Held: d.granted})
	default:
		if d.granted != 0 && d.holder != from {
			return // it was granted between the two
		}
		d.promised, d.granted, d.holder, d.until = m.Ballot, m.Ballot, from, now+d.set.Term
		d.send(now, from, Message{Kind: Accept, Duty: d.id, Ballot: m.Ballot, Holder: uint16(d.me)})
	}
}

// answered counts the voters' answers. Those to an earlier round count for nothing.
func (d *Duty) answered(now time.Duration, from int, m Message) {
	if d.phase == 0 || m.Ballot != d.ballot || (m.Kind == Promise) != (d.phase == Prepare) {
		return
	}
	if m.Kind == Promise && m.Held != 0 && int(m.Holder) != d.me {
		d.seen = max(d.seen, m.Held)
		if d.no[from] = true; 2*len(d.no) > len(d.voters) {
			d.fail(now)
		}
		return
	}
	if d.yes[from] = true; 2*len(d.yes) <= len(d.voters) {
		return
	}
	if d.phase == Prepare {
		d.phase = Propose
		clear(d.yes)
		d.toAll(now, Message{Kind: Propose, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
		return
	}
	d.phase, d.pause = 0, 0
	if now >= d.asked+d.span() {
		return // the answers were late: it has ended already
	}
	if d.held == 0 {
		d.held = d.ballot // a new holding, a new token
	}
	d.ends = d.asked + d.span()
	d.retry = d.asked + time.Duration(renewPart*float64(d.set.Term)) + d.jitter(leastPause)
}

// Leave gives the duty up and wants it no more.
func (d *Duty) Leave(now time.Duration) []Out {
	d.out = nil
	d.resting, d.phase = true, 0
	if d.granted != 0 && d.holder == d.me || d.held != 0 {
		d.held = 0
		// The grants that run may be of a later round than the token's, or an earlier
		// one than that which has begun.
		d.toAll(now, Message{Kind: Release, Duty: d.id, Ballot: d.ballot, Holder: uint16(d.me)})
	}
	return d.out
}
