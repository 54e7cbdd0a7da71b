package claims

import "time"

const (
	// Share of the datagrams that an edge node can receive up to which claims may fill what other messages leave.
	// Where claims go to owners, the numbers that each edge node receives vary, and asks to roots come in bursts.
	shareToAll   = 0.9
	shareToOwner = 0.5

	maxBurst      = 4.0 // messages that may be sent at once
	urgentReserve = 1.0 // of these, kept for urgent ones

	measureTime = time.Second // over which the other messages are counted
)

// budget limits the messages with claims to what other messages leave of the datagrams that an edge node can receive.
// What arrives here stands for what arrives at the receivers.
type budget struct {
	capacity  float64 // datagrams a second, at each receiver, of all kinds
	receivers float64 // edge nodes that receive a message
	rate      float64 // messages a second
	tokens    float64
	updatedAt time.Duration

	others     int // other messages received since the measurement began
	measuredAt time.Duration
}

func newBudget(s Settings) budget {
	share, receivers := shareToOwner, 1
	if s.ToAll {
		share, receivers = shareToAll, max(1, s.EdgeNodes-1)
	}
	return budget{capacity: share * s.DatagramsPerSecond, receivers: float64(receivers)}
}

// countOther counts a message of another package.
func (b *budget) countOther() { b.others++ }

// advance adds the messages that may be sent by now.
func (b *budget) advance(now time.Duration) {
	if elapsed := now - b.measuredAt; elapsed >= measureTime {
		others := float64(b.others) / elapsed.Seconds()
		b.rate = max(0, b.capacity-others) / b.receivers
		b.others, b.measuredAt = 0, now
	}
	b.tokens = min(maxBurst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// available reports whether a message may be sent.
func (b *budget) available(urgent bool) bool {
	return b.tokens >= 1+urgentReserve || urgent && b.tokens >= 1
}

// spend counts a message that is sent.
func (b *budget) spend() { b.tokens-- }
