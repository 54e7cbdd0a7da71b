package sim

import (
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

// callWait is the timeout of a call for the list when discovery is overloaded.
const callWait = time.Second

// listed returns the server list as discovery holds it.
func (s *Sim) listed() map[policy.ServerID]policy.Server {
	m := map[policy.ServerID]policy.Server{}
	for _, srv := range s.servers {
		if srv.state != policy.Removed {
			m[srv.id] = srv.entry()
		}
	}
	return m
}

// changed sends a change of a server to all edge nodes, each with its own delay.
func (s *Sim) changed(srv *server) {
	e := srv.entry()
	for _, n := range s.nodes {
		if s.w.Disc.Watch && !n.watching {
			continue
		}
		s.deliver(n, func() {
			if _, known := n.list[e.ID]; !known && e.State == policy.Removed {
				return
			}
			n.tell(policy.Changes, []policy.Server{e})
		})
	}
}

// deliver runs do for an edge node's process after a random delay. Deliveries to a node keep their order.
func (s *Sim) deliver(n *node, do func()) {
	at := max(s.now, s.down) + draw(s.net, s.w.Disc.Late.D()+s.late)
	n.listAt = max(n.listAt, at)
	inc := n.inc
	s.at(n.listAt, func() {
		if n.inc == inc && n.up {
			do()
		}
	})
}

// listTo sends the whole list to an edge node that has just started, if discovery pushes lists.
func (s *Sim) listTo(n *node) {
	if !s.w.Disc.Watch {
		s.deliver(n, func() { n.whole() })
	}
}

// call handles an edge node's call for the list and its changes.
func (s *Sim) call(n *node) {
	inc := n.inc
	wait := time.Duration(0)
	if s.w.Disc.Calls > 0 {
		s.callAt = max(s.callAt, s.now) + time.Duration(float64(time.Second)/s.w.Disc.Calls)
		wait = s.callAt - s.now
	}
	if wait = max(wait, s.down-s.now); wait > callWait {
		s.after(callWait, func() {
			if n.inc == inc {
				n.handle(policy.ServerListUpdate{Kind: policy.WatchFailed})
			}
		})
		return
	}
	s.after(wait, func() {
		if n.inc == inc && n.up {
			n.watching = true
			n.whole()
		}
	})
}

// whole sends the current list to an edge node.
func (n *node) whole() {
	var list []policy.Server
	for _, srv := range n.s.servers {
		if srv.state != policy.Removed {
			list = append(list, srv.entry())
		}
	}
	for id := range n.list {
		if !slices.ContainsFunc(list, func(e policy.Server) bool { return e.ID == id }) {
			n.told[id] = n.s.now
			delete(n.list, id)
		}
	}
	n.tell(policy.FullList, list)
}

// tell sends server entries to an edge node and records what the node knows about them.
func (n *node) tell(kind policy.UpdateKind, list []policy.Server) {
	for _, e := range list {
		if e.State != policy.Running {
			if _, already := n.told[e.ID]; !already {
				n.told[e.ID] = n.s.now
			}
		} else {
			delete(n.told, e.ID)
		}
		if e.State == policy.Removed {
			delete(n.list, e.ID)
		} else {
			n.list[e.ID] = e
		}
		if e.HasStart {
			n.starts[e.ID] = e.Start
		}
	}
	n.handle(policy.ServerListUpdate{Kind: kind, Servers: list})
}
