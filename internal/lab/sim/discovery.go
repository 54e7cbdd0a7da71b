package sim

import (
	"slices"
	"time"

	"valvering.example/valvering/policy"
)

// callWait is how long a call for the list waits in an overbooked discovery before it
// fails.
const callWait = time.Second

// listed is the list as discovery has it.
func (s *Sim) listed() map[policy.ServerID]policy.Server {
	m := map[policy.ServerID]policy.Server{}
	for _, srv := range s.servers {
		if srv.state != policy.Removed {
			m[srv.id] = srv.entry()
		}
	}
	return m
}

// changed tells all edge nodes of a change of a server, each in its time.
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

// deliver has something told to an edge node's process after a time, in order.
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

// listTo has discovery tell the whole list to one that has just started.
func (s *Sim) listTo(n *node) {
	if !s.w.Disc.Watch {
		s.deliver(n, func() { n.whole() })
	}
}

// call is an edge node's call for the list and its changes.
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

// whole tells an edge node the list as it is now.
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

// tell tells an edge node of servers, and notes what it has been told.
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
