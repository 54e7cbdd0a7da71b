package claims

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// A message is Version, the number of its entries (1 byte), the entries, and a message of another package that carries
// them, if any. An entry is the hash of an id (8 bytes), the age of its request in ageUnit (2 bytes), and the time for
// which the claim lasts in remainingUnit (1 byte).
const (
	// Version is the first byte of each message. It differs from the first bytes of the messages of the packages
	// policy and lease.
	Version = 0x49

	headerBytes = 2
	entryBytes  = 8 + 2 + 1
	maxBytes    = 256
	maxEntries  = (maxBytes - headerBytes) / entryBytes

	ageUnit       = 50 * time.Microsecond
	remainingUnit = 32 * time.Millisecond
	maxAge        = math.MaxUint16 * ageUnit
	maxRemaining  = math.MaxUint8 * remainingUnit
)

// entry is a claim as it is sent.
type entry struct {
	hash      uint64
	age       time.Duration // at least so long ago the request arrived
	remaining time.Duration // of the claim
}

// hashOf returns the hash that stands for an id.
func hashOf(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// newEntry returns the entry of a claim that is sent now.
func newEntry(hash uint64, arrivedAt, until, now time.Duration) entry {
	return entry{hash: hash, age: max(0, now-arrivedAt), remaining: max(0, until-now)}
}

// encode returns the message with the entries, carried by a message of another package unless that is empty. Ages are
// rounded down: a claim must not seem older than it is.
func encode(entries []entry, carrier []byte) []byte {
	b := make([]byte, 0, headerBytes+entryBytes*len(entries)+len(carrier))
	b = append(b, Version, byte(len(entries)))
	for _, e := range entries {
		b = binary.BigEndian.AppendUint64(b, e.hash)
		b = binary.BigEndian.AppendUint16(b, uint16(min(e.age, maxAge)/ageUnit))
		b = append(b, byte((min(e.remaining, maxRemaining)+remainingUnit-1)/remainingUnit))
	}
	return append(b, carrier...)
}

// isMessage reports whether a datagram is a message of this package, or a spoilt one.
func isMessage(b []byte) bool { return len(b) > 0 && b[0] == Version }

// decode returns the entries of a datagram and the message of another package that it consists of or carries. A
// message that is not whole yields neither.
func decode(b []byte) (entries []entry, other []byte) {
	if !isMessage(b) {
		return nil, b
	}
	if len(b) < headerBytes || len(b) > maxBytes {
		return nil, nil
	}
	count, b := int(b[1]), b[headerBytes:]
	if len(b) < count*entryBytes {
		return nil, nil
	}
	for range count {
		age, remaining := binary.BigEndian.Uint16(b[8:]), b[10]
		entries = append(entries, entry{hash: binary.BigEndian.Uint64(b),
			age: time.Duration(age) * ageUnit, remaining: time.Duration(remaining) * remainingUnit})
		b = b[entryBytes:]
	}
	return entries, b
}
