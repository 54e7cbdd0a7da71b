package sim

import (
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

// callTimeout is how long a call for the list waits for an overloaded or unavailable discovery before it
// fails.
const callTimeout = time.Second

// serverList returns the server list as discovery holds it.
func (s *Sim) serverList() map[policy.ServerID]policy.Server {
	m := map[policy.ServerID]policy.Server{}
	for _, srv := range s.servers {
		if srv.state != policy.Removed {
			m[srv.id] = srv.listEntry()
		}
	}
	return m
}

// publishChange sends a change of a server to all edge nodes, each with its own delay.
func (s *Sim) publishChange(srv *server) {
	e := srv.listEntry()
	for _, n := range s.nodes {
		if s.world.Disc.Watch && !n.watching {
			continue
		}
		s.deliver(n, func() {
			if _, known := n.servers[e.ID]; !known && e.State == policy.Removed {
				return
			}
			n.receiveEntries(policy.Changes, []policy.Server{e})
		})
	}
}

// deliver runs do for an edge node's process after a random delay, which starts at the end of an outage of
// discovery. Deliveries to a node stay in order, and a process that has ended meanwhile gets none.
func (s *Sim) deliver(n *node, do func()) {
	at := max(s.now, s.discoveryDownUntil) + exponential(s.netRand, s.world.Disc.Late.D()+s.discoveryDelay)
	n.lastDelivery = max(n.lastDelivery, at)
	inc := n.incarnation
	s.at(n.lastDelivery, func() {
		if n.incarnation == inc && n.up {
			do()
		}
	})
}

// pushList sends the whole list to an edge node that has just started, if discovery pushes lists.
func (s *Sim) pushList(n *node) {
	if !s.world.Disc.Watch {
		s.deliver(n, func() { n.receiveFullList() })
	}
}

// handleListCall handles an edge node's call for the list and its changes.
func (s *Sim) handleListCall(n *node) {
	inc := n.incarnation
	wait := time.Duration(0)
	if s.world.Disc.Calls > 0 {
		s.callsServedAt = max(s.callsServedAt, s.now) + time.Duration(float64(time.Second)/s.world.Disc.Calls)
		wait = s.callsServedAt - s.now
	}
	if wait = max(wait, s.discoveryDownUntil-s.now); wait > callTimeout {
		s.after(callTimeout, func() {
			if n.incarnation == inc {
				n.handle(policy.ServerListUpdate{Kind: policy.WatchFailed})
			}
		})
		return
	}
	s.after(wait, func() {
		if n.incarnation == inc && n.up {
			n.watching = true
			n.receiveFullList()
		}
	})
}

// receiveFullList delivers the current list to an edge node.
func (n *node) receiveFullList() {
	var list []policy.Server
	for _, srv := range n.sim.servers {
		if srv.state != policy.Removed {
			list = append(list, srv.listEntry())
		}
	}
	for id := range n.servers {
		if !slices.ContainsFunc(list, func(e policy.Server) bool { return e.ID == id }) {
			n.drainKnownAt[id] = n.sim.now
			delete(n.servers, id)
		}
	}
	n.receiveEntries(policy.FullList, list)
}

// receiveEntries delivers server entries to an edge node and records what the node knows about them.
func (n *node) receiveEntries(kind policy.UpdateKind, list []policy.Server) {
	for _, e := range list {
		if e.State != policy.Running {
			if _, already := n.drainKnownAt[e.ID]; !already {
				n.drainKnownAt[e.ID] = n.sim.now
			}
		} else {
			delete(n.drainKnownAt, e.ID)
		}
		if e.State == policy.Removed {
			delete(n.servers, e.ID)
		} else {
			n.servers[e.ID] = e
		}
		if e.HasStart {
			n.knownStarts[e.ID] = e.Start
		}
	}
	n.handle(policy.ServerListUpdate{Kind: kind, Servers: list})
}
