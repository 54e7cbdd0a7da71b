package policy

// Bounds on the state that clients and other gateways make a gateway keep.
//
// A customer's state can't be dropped to make room for another one: the other one's quota would be enforced
// at the cost of the first one's. Therefore a request of a further customer is refused, and a message of
// another gateway that would need more state is treated like a lost one, as the network may lose any.

// maxTrackedServers is the number of servers with state up to which messages of other gateways may add more,
// if MaxCustomers is not lower. The servers that a gateway uses itself are not limited by it.
const maxTrackedServers = 4096

// TracksAllServers reports whether the gateway keeps state of each listed server, as in a small fleet.
func (g *Gateway) TracksAllServers() bool { return !g.largeFleet }

// ReportsToAll reports whether each gateway sends its counts to all others, as in a small fleet.
func (g *Gateway) ReportsToAll() bool { return !g.largeFleet }

// hasRoomFor reports whether a customer is known or may become known.
func (g *Gateway) hasRoomFor(key uint64) bool {
	limit := g.settings.MaxCustomers
	return limit == 0 || len(g.customers) < limit || g.customers[key] != nil
}

// hasRoomForRemote reports whether another request of other gateways may be counted: one for each customer
// that may be known, in the mean.
func (g *Gateway) hasRoomForRemote() bool {
	limit := g.settings.MaxCustomers
	return limit == 0 || g.remoteRequests < limit
}

// refuseUnknown refuses a request of a customer for whom there is no room.
func (g *Gateway) refuseUnknown(ev Request) {
	g.emit(Refuse{ID: ev.ID, RetryAfter: min(g.settings.MaxRetryAfter, forgetAfter)})
}

// countRemote counts the requests of other gateways that a customer's state holds.
func (c *customer) countRemote() int {
	n := len(c.leases)
	for _, r := range c.held {
		if r.remote {
			n++
		}
	}
	return n
}

// trackForPeer returns the state of a server that another gateway's message names; nil: it is not in the
// list, or there is no room for the state of another server.
func (g *Gateway) trackForPeer(id ServerID) *server {
	limit := maxTrackedServers
	if g.settings.MaxCustomers > 0 {
		limit = min(limit, g.settings.MaxCustomers)
	}
	if g.trackedByID[id] == nil && len(g.tracked) >= limit {
		return nil
	}
	return g.track(id)
}
