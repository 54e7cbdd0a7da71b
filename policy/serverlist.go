package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// serverList is the list of all servers of the fleet, an entry of some tens of bytes each, with
// the sums and orders that decisions use. A change of one entry costs O(log n).
type serverList struct {
	lines   map[ServerID]line
	byZone  map[string]*zone
	zones   []*zone         // by name
	cells   map[int]*ranked // the running servers of each cell
	running int
	weight  float64 // sum over all entries
	round   uint32  // number of full lists so far
}

// zone is a zone with servers in the list.
type zone struct {
	name    string
	lines   int
	running *ranked
	offset  float64 // from 0 to 1, by the name
}

// listEntry is one server in the list.
type line struct {
	zone     *zone
	start    time.Duration
	weight   float64
	cell     int
	round    uint32 // number of the last full list that named the server
	state    uint8
	hasStart bool
}

func (n line) server(id ServerID) Server {
	return Server{ID: id, Zone: n.zone.name, Cell: n.cell, State: State(n.state), HasStart: n.hasStart, Start: n.start, Weight: n.weight}
}

func newServerList() *serverList {
	return &serverList{lines: map[ServerID]line{}, byZone: map[string]*zone{}, cells: map[int]*ranked{}}
}

func (l *serverList) len() int { return len(l.lines) }

// meanWeight is the mean over all entries.
func (l *serverList) meanWeight() float64 { return l.weight / float64(max(1, len(l.lines))) }

// find returns a server's entry.
func (l *serverList) find(id ServerID) (Server, bool) {
	n, listed := l.lines[id]
	if !listed {
		return Server{}, false
	}
	return n.server(id), true
}

// put adds, changes or removes an entry.
func (l *serverList) put(s Server) {
	if n, listed := l.lines[s.ID]; listed && n.server(s.ID) == s {
		n.round = l.round
		l.lines[s.ID] = n
		return
	}
	l.remove(s.ID)
	if s.State == Removed {
		return
	}
	z := l.zone(s.Zone)
	z.lines++
	l.lines[s.ID] = line{zone: z, start: s.Start, weight: s.Weight, cell: s.Cell, round: l.round,
		state: uint8(s.State), hasStart: s.HasStart}
	l.weight += s.Weight
	if s.State != Running {
		return
	}
	l.running++
	z.running.insert(s.ID)
	cell := l.cells[s.Cell]
	if cell == nil {
		cell = newRanked()
		l.cells[s.Cell] = cell
	}
	cell.insert(s.ID)
}

// remove removes an entry, if there is one.
func (l *serverList) remove(id ServerID) {
	n, listed := l.lines[id]
	if !listed {
		return
	}
	delete(l.lines, id)
	if l.weight -= n.weight; len(l.lines) == 0 {
		l.weight = 0 // drops rounding errors
	}
	if State(n.state) == Running {
		l.running--
		n.zone.running.remove(id)
		if l.cells[n.cell].remove(id); l.cells[n.cell].len() == 0 {
			delete(l.cells, n.cell)
		}
	}
	if n.zone.lines--; n.zone.lines == 0 {
		delete(l.byZone, n.zone.name)
		l.zones = slices.DeleteFunc(l.zones, func(z *zone) bool { return z == n.zone })
	}
}

// zone returns a zone, added where it is new.
func (l *serverList) zone(name string) *zone {
	if z := l.byZone[name]; z != nil {
		return z
	}
	z := &zone{name: name, running: newRanked(), offset: float64(uint32(keyOf(name))) / (1 << 32)}
	l.byZone[name] = z
	i, _ := slices.BinarySearchFunc(l.zones, name, func(z *zone, name string) int { return cmp.Compare(z.name, name) })
	l.zones = slices.Insert(l.zones, i, z)
	return z
}

// beginFullList begins a full list: servers that are not put until endFullList are removed.
func (l *serverList) beginWhole() { l.round++ }

// endFullList removes the entries that the full list did not name.
func (l *serverList) endWhole() {
	var gone []ServerID
	for id, n := range l.lines {
		if n.round != l.round {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		l.remove(id)
	}
}

// updateTracked updates the state of a tracked server from the list.
func (g *Gateway) follow(m Server) {
	s := g.servers[m.ID]
	if s == nil {
		if !g.tree {
			g.meet(m.ID) // a gateway of a small fleet tracks all servers
		}
		return
	}
	if m.HasStart && m.Start != s.Start {
		s.slow, s.pace = 1, 1
		clear(s.by)
	}
	gone := s.goneAt
	s.Server, s.goneAt = m, 0
	if m.State == Removed {
		s.goneAt = gone
		s.markRemoved(g.now)
	}
}

// serverHash spreads IDs. It maps no two of them to the same value.
func serverHash(id ServerID) uint32 { return uint32(id) * 0x9e3779b1 }

// track returns the state of a server, made from its entry at first use; nil: not in the list.
func (g *Gateway) meet(id ServerID) *server {
	if s := g.servers[id]; s != nil {
		return s
	}
	m, listed := g.list.find(id)
	if !listed {
		return nil
	}
	s := &server{Server: m, hash: uint16(serverHash(id) >> (32 - serverBits)), slow: 1, pace: 1,
		verdicts: verdictKeep, verdictAt: g.now, by: make([]record, len(g.set.Classes)),
		fullAt: map[*quota]time.Duration{}, watchers: g.watchers(id)}
	s.place = g.position(float64(serverHash(id)) / (1 << 32))
	g.servers[id] = s
	i, _ := slices.BinarySearchFunc(g.fleet, id, func(s *server, id ServerID) int { return cmp.Compare(s.ID, id) })
	g.fleet = slices.Insert(g.fleet, i, s)
	return s
}

// requiredGroup is the group of servers that a request must stay in; nil: any server.
func (g *Gateway) groupOf(r *request) *ranked {
	if !r.ran || r.cl.Effect != Keyed {
		return nil
	}
	switch r.cl.Group {
	case GroupZone:
		if z := g.list.byZone[r.ranZone]; z != nil {
			return z.running
		}
	case GroupCell:
		if cell := g.list.cells[r.ranCell]; cell != nil {
			return cell
		}
	default:
		return nil
	}
	return newRanked() // no server of the group is left
}

// groupSample returns the states of n servers of a group, from this gateway's position on.
func (g *Gateway) along(group *ranked, n int) []*server {
	list := make([]*server, n)
	first := int(g.position(0) * float64(group.len()))
	for i := range list {
		list[i] = g.meet(group.at((first + i) % group.len()))
	}
	return list
}

// countInspected counts inspected servers, for tests.
func (g *Gateway) look(n int) {
	if g.onLook != nil {
		g.onLook(n)
	}
}

// ringPosition is this gateway's position on a ring of length 1, moved by offset. The positions
// of all gateways are spread evenly, whatever their number.
func (g *Gateway) position(offset float64) float64 {
	return fraction(float64(g.set.Me)*math.Phi + offset)
}

// fractionalPart is the distance of v from the next whole number below.
func fraction(v float64) float64 { return v - math.Floor(v) }
