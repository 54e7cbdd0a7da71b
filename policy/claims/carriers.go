package claims

import "time"

const (
	// announceInterval is the longest time between two messages of this package to an edge node of a small fleet, which
	// show it that this one reads them.
	announceInterval = time.Second

	// readLifetime is how long an edge node counts as reading messages that carry claims, after the last message of
	// this package from it. It may have been replaced by an older program.
	readLifetime = 3 * time.Second
)

// carriers tells which edge nodes read messages of other packages that carry claims. Older programs don't. Only the
// reports of small fleets carry claims.
type carriers struct {
	heardAt []time.Duration // of the last message of this package, by edge node; 0: none
	toldAt  []time.Duration // of the last message of this package to an edge node
}

func newCarriers(s Settings) carriers {
	if !s.ToAll {
		return carriers{}
	}
	return carriers{heardAt: make([]time.Duration, s.EdgeNodes), toldAt: make([]time.Duration, s.EdgeNodes)}
}

// heard records a message of this package from an edge node.
func (c *carriers) heard(from int, now time.Duration) {
	if from < len(c.heardAt) {
		c.heardAt[from] = now
	}
}

// told records a message of this package to an edge node.
func (c *carriers) told(to int, now time.Duration) { c.toldAt[to] = now }

// readBy reports whether an edge node reads messages that carry claims.
func (c *carriers) readBy(to int, now time.Duration) bool {
	return to < len(c.heardAt) && c.heardAt[to] != 0 && now-c.heardAt[to] < readLifetime
}

// mustAnnounce reports whether a message of this package is due to an edge node, also without claims.
func (c *carriers) mustAnnounce(to int, now time.Duration) bool {
	return now-c.toldAt[to] >= announceInterval
}
