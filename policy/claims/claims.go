// Package claims lets the edge nodes of a fleet tell each other which request ids are in use, so that a request
// whose id belongs to another client's open request is recognized at every edge node, and not run a second time.
//
// An edge node claims the id of each request that it has accepted, until the client gives the request up. In a small
// fleet it sends its claims to all others: added to its reports, and in messages of their own. In a large one an id
// has an owner among the edge nodes, by its hash: the claim goes to the owner, which tells the edge node that claimed
// the id last of the first claim. Claims are sent within what is left of the datagram budget, and may be lost: they
// shorten the time in which an id can be used twice, and are no lock.
//
// The package is pure: times and messages are its input, messages its output.
package claims

import (
	"cmp"
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

const (
	// maxForeign limits the claims of other edge nodes that are kept. Further ones are ignored.
	maxForeign = 6 << 10

	// maxReplies limits the replies of an owner that wait to be sent.
	maxReplies = 64

	expiryInterval = time.Second // between two searches for claims that have expired
)

// Settings describe the fleet. They don't change while an edge node runs.
type Settings struct {
	Self               int     // number of this edge node
	EdgeNodes          int     // in the fleet
	ToAll              bool    // claims go to all edge nodes, not to the owner of the id
	DatagramsPerSecond float64 // that an edge node can receive
}

// Message is a message to another edge node.
type Message struct {
	To   int // number of the edge node
	Data []byte
}

// Claims are the ids in use, as one edge node knows them. They are not safe for concurrent use.
type Claims struct {
	settings  Settings
	budget    budget
	carriers  carriers
	local     map[uint64]*localClaim
	unsent    [policy.Unsafe + 1]int // number of local claims that wait to be sent, by effect
	foreign   map[uint64]foreignClaim
	replies   []reply
	expiredAt time.Duration // time of the last search for expired claims
}

// localClaim is the claim of a request that is open here.
type localClaim struct {
	hash      uint64
	request   policy.RequestID
	effect    policy.Effect
	arrivedAt time.Duration
	until     time.Duration
	untold    []int // edge nodes that the claim has not been sent to
}

// foreignClaim is the claim of a request that is open at another edge node.
type foreignClaim struct {
	from      int // who sent the claim
	arrivedAt time.Duration
	until     time.Duration
}

// reply is the first claim of an id, which the owner sends to an edge node that claimed the id later.
type reply struct {
	to    int
	hash  uint64
	claim foreignClaim
}

// New returns the claims of an edge node that has just started.
func New(s Settings) *Claims {
	return &Claims{settings: s, budget: newBudget(s), carriers: newCarriers(s), local: map[uint64]*localClaim{},
		foreign: map[uint64]foreignClaim{}}
}

// ClaimedElsewhere reports whether an id belongs to a request at another edge node.
func (c *Claims) ClaimedElsewhere(id string, now time.Duration) bool {
	claim, found := c.foreign[hashOf(id)]
	return found && now < claim.until
}

// Foreign returns the number of claims of other edge nodes that are kept.
func (c *Claims) Foreign() int { return len(c.foreign) }

// Add claims the id of a request that was accepted here. The claim lasts until the client's deadline.
func (c *Claims) Add(id string, r policy.RequestID, effect policy.Effect, arrivedAt, deadline time.Duration) {
	hash := hashOf(id)
	l := &localClaim{hash: hash, request: r, effect: effect, arrivedAt: arrivedAt, until: deadline,
		untold: c.receivers(hash)}
	c.local[hash] = l
	if len(l.untold) > 0 {
		c.unsent[effect]++
	}
}

// End ends the claim of a request that is not open any longer. Edge nodes that were told of it continue to reject its
// id until the client's deadline; no further ones are told.
func (c *Claims) End(id string) {
	hash := hashOf(id)
	l := c.local[hash]
	if l == nil {
		return
	}
	delete(c.local, hash)
	if len(l.untold) > 0 {
		c.unsent[l.effect]--
	}
}

// Receive handles a datagram of another edge node. It returns the requests here whose ids other edge nodes have
// claimed before, and the message of another package that the datagram consists of or carries, if any.
func (c *Claims) Receive(from int, datagram []byte, now time.Duration) (superseded []policy.RequestID, other []byte) {
	entries, other := decode(datagram)
	if len(other) > 0 {
		c.budget.countOther()
	}
	if !isMessage(datagram) || from < 0 || from >= c.settings.EdgeNodes || from == c.settings.Self {
		return nil, other
	}
	c.carriers.heard(from, now)
	for _, e := range entries {
		claim := foreignClaim{from: from, arrivedAt: now - e.age, until: now + e.remaining}
		if l := c.local[e.hash]; l == nil {
			c.addForeign(e.hash, claim, now)
		} else if l.arrivedAt >= claim.arrivedAt {
			superseded = append(superseded, l.request)
		} else {
			c.reply(from, e.hash, foreignClaim{from: c.settings.Self, arrivedAt: l.arrivedAt, until: l.until})
		}
	}
	return superseded, other
}

// addForeign adds the claim of another edge node. Of two claims of an id the first counts, and whoever made the
// later one is told.
func (c *Claims) addForeign(hash uint64, claim foreignClaim, now time.Duration) {
	first, known := c.foreign[hash]
	switch {
	case !known && len(c.foreign) >= maxForeign:
		return
	case !known || now >= first.until:
		c.foreign[hash] = claim
		return
	case first.from == claim.from:
		return // received twice
	case first.arrivedAt <= claim.arrivedAt:
		c.reply(claim.from, hash, first)
	default:
		c.reply(first.from, hash, claim)
		c.foreign[hash] = claim
	}
}

// reply tells an edge node of the first claim of an id. Where claims go to all, it learns of that anyway.
func (c *Claims) reply(to int, hash uint64, first foreignClaim) {
	if !c.settings.ToAll && c.owner(hash) == c.settings.Self && len(c.replies) < maxReplies {
		c.replies = append(c.replies, reply{to, hash, first})
	}
}

// Owner returns the number of the edge node that keeps the claims of an id in a large fleet.
func Owner(id string, edgeNodes int) int { return ownerOf(hashOf(id), edgeNodes) }

func ownerOf(hash uint64, edgeNodes int) int { return int(hash % uint64(edgeNodes)) }

// owner returns the edge node that keeps the claims of an id.
func (c *Claims) owner(hash uint64) int { return ownerOf(hash, c.settings.EdgeNodes) }

// receivers returns the edge nodes that have to be told of a claim of this one.
func (c *Claims) receivers(hash uint64) (list []int) {
	if owner := c.owner(hash); !c.settings.ToAll && owner != c.settings.Self {
		return []int{owner}
	} else if !c.settings.ToAll {
		return nil
	}
	for to := range c.settings.EdgeNodes {
		if to != c.settings.Self {
			list = append(list, to)
		}
	}
	return list
}

// Take returns the messages that are due. It is to be called after Add and Receive, and at least every 100 ms.
func (c *Claims) Take(now time.Duration) (messages []Message) {
	c.dropExpired(now)
	c.budget.advance(now)
	for c.budget.available(c.isUrgent()) {
		next := c.next(now)
		if len(next) == 0 {
			break
		}
		c.budget.spend()
		messages = append(messages, next...)
	}
	return messages
}

// isUrgent reports whether a reply waits to be sent, or the claim of a request that must not run twice.
func (c *Claims) isUrgent() bool { return len(c.replies) > 0 || c.unsent[policy.Unsafe] > 0 }

// next returns the most urgent message or, in a small fleet, one for each edge node that has to be told of something.
func (c *Claims) next(now time.Duration) (messages []Message) {
	if len(c.replies) > 0 {
		r := c.replies[0]
		c.replies = c.replies[1:]
		return []Message{{r.to, encode([]entry{newEntry(r.hash, r.claim.arrivedAt, r.claim.until, now)}, nil)}}
	}
	if !c.settings.ToAll {
		return c.nextToOwner(now)
	}
	for to := range c.settings.EdgeNodes {
		if to == c.settings.Self {
			continue
		}
		if entries := c.entriesFor(to, maxEntries, now); len(entries) > 0 || c.carriers.mustAnnounce(to, now) {
			messages = append(messages, Message{to, encode(entries, nil)})
			c.carriers.told(to, now)
		}
	}
	return messages
}

// nextToOwner returns a message with the most urgent claim to the owner of its id; none if no claim waits.
func (c *Claims) nextToOwner(now time.Duration) []Message {
	list := c.waiting(func(*localClaim) bool { return true })
	if len(list) == 0 {
		return nil
	}
	to := list[0].untold[0]
	return []Message{{to, encode([]entry{c.send(list[0], to, now)}, nil)}}
}

// Carry adds claims to a message of another package to the edge node with the given number, as far as the datagram
// has room and that edge node reads such datagrams. It returns the datagram to send.
func (c *Claims) Carry(to int, message []byte, now time.Duration) []byte {
	room := maxBytes - headerBytes - len(message)
	if to < 0 || room < 0 || !c.carriers.readBy(to, now) {
		return message
	}
	c.carriers.told(to, now)
	return encode(c.entriesFor(to, room/entryBytes, now), message)
}

// entriesFor returns up to limit claims that an edge node has to be told of, the most urgent first.
func (c *Claims) entriesFor(to, limit int, now time.Duration) (entries []entry) {
	list := c.waiting(func(l *localClaim) bool { return slices.Contains(l.untold, to) })
	for _, l := range list[:min(limit, len(list))] {
		entries = append(entries, c.send(l, to, now))
	}
	return entries
}

// send counts a claim as sent to an edge node and returns its entry in the message.
func (c *Claims) send(l *localClaim, to int, now time.Duration) entry {
	if l.untold = slices.DeleteFunc(l.untold, func(n int) bool { return n == to }); len(l.untold) == 0 {
		c.unsent[l.effect]--
	}
	return newEntry(l.hash, l.arrivedAt, l.until, now)
}

// waiting returns the claims that wait to be sent and that a condition holds for: first those of requests that are
// not safe to repeat, then the newest, which stay open for the longest time.
func (c *Claims) waiting(holds func(*localClaim) bool) (list []*localClaim) {
	if c.unsent == ([policy.Unsafe + 1]int{}) {
		return nil
	}
	for _, l := range c.local {
		if len(l.untold) > 0 && holds(l) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *localClaim) int {
		return cmp.Or(cmp.Compare(b.effect, a.effect), cmp.Compare(b.arrivedAt, a.arrivedAt),
			cmp.Compare(a.hash, b.hash))
	})
	return list
}

// dropExpired drops the claims of other edge nodes that have expired, once per expiryInterval.
func (c *Claims) dropExpired(now time.Duration) {
	if now-c.expiredAt < expiryInterval {
		return
	}
	c.expiredAt = now
	for hash, claim := range c.foreign {
		if now >= claim.until {
			delete(c.foreign, hash)
		}
	}
}
