package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// serverList is the list of all servers of the fleet, an entry of some tens of bytes each, with
// the sums and sorted sets that decisions use. A change of one entry costs O(log n).
type serverList struct {
	entryByID map[ServerID]listEntry
	byZone    map[string]*zone
	zones     []*zone         // by name
	cells     map[int]*ranked // the running servers of each cell
	running   int
	weight    float64 // sum over all entries
	fullLists uint32  // number of full lists so far
}

// zone is a zone with servers in the list.
type zone struct {
	name    string
	servers int
	running *ranked
	offset  float64 // from 0 to 1, by the name
}

// listEntry is one server in the list.
type listEntry struct {
	zone     *zone
	start    time.Duration
	weight   float64
	cell     int
	fullList uint32 // number of the last full list that named the server
	state    uint8
	hasStart bool
}

func (e listEntry) server(id ServerID) Server {
	return Server{ID: id, Zone: e.zone.name, Cell: e.cell, State: State(e.state), HasStart: e.hasStart,
		Start: e.start, Weight: e.weight}
}

func newServerList() *serverList {
	return &serverList{entryByID: map[ServerID]listEntry{}, byZone: map[string]*zone{},
		cells: map[int]*ranked{}}
}

func (l *serverList) len() int { return len(l.entryByID) }

// meanWeight is the mean over all entries.
func (l *serverList) meanWeight() float64 { return l.weight / float64(max(1, len(l.entryByID))) }

// find returns a server's entry.
func (l *serverList) find(id ServerID) (Server, bool) {
	e, listed := l.entryByID[id]
	if !listed {
		return Server{}, false
	}
	return e.server(id), true
}

// put adds, changes or removes an entry.
func (l *serverList) put(s Server) {
	if e, listed := l.entryByID[s.ID]; listed && e.server(s.ID) == s {
		e.fullList = l.fullLists
		l.entryByID[s.ID] = e
		return
	}
	l.remove(s.ID)
	if s.State == Removed {
		return
	}
	z := l.zone(s.Zone)
	z.servers++
	l.entryByID[s.ID] = listEntry{zone: z, start: s.Start, weight: s.Weight, cell: s.Cell,
		fullList: l.fullLists, state: uint8(s.State), hasStart: s.HasStart}
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
	e, listed := l.entryByID[id]
	if !listed {
		return
	}
	delete(l.entryByID, id)
	if l.weight -= e.weight; len(l.entryByID) == 0 {
		l.weight = 0 // drops rounding errors
	}
	if State(e.state) == Running {
		l.running--
		e.zone.running.remove(id)
		if l.cells[e.cell].remove(id); l.cells[e.cell].len() == 0 {
			delete(l.cells, e.cell)
		}
	}
	if e.zone.servers--; e.zone.servers == 0 {
		delete(l.byZone, e.zone.name)
		l.zones = slices.DeleteFunc(l.zones, func(z *zone) bool { return z == e.zone })
	}
}

// zone returns a zone, and creates it if it is new.
func (l *serverList) zone(name string) *zone {
	if z := l.byZone[name]; z != nil {
		return z
	}
	z := &zone{name: name, running: newRanked(), offset: float64(uint32(customerKey(name))) / (1 << 32)}
	l.byZone[name] = z
	i, _ := slices.BinarySearchFunc(l.zones, name, func(z *zone, name string) int {
		return cmp.Compare(z.name, name)
	})
	l.zones = slices.Insert(l.zones, i, z)
	return z
}

// beginFullList begins a full list: servers that are not put until endFullList are removed.
func (l *serverList) beginFullList() { l.fullLists++ }

// endFullList removes the entries that the full list did not name.
func (l *serverList) endFullList() {
	var missing []ServerID
	for id, e := range l.entryByID {
		if e.fullList != l.fullLists {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	for _, id := range missing {
		l.remove(id)
	}
}

// updateTracked updates the state of a tracked server from the list.
func (g *Gateway) updateTracked(entry Server) {
	s := g.trackedByID[entry.ID]
	if s == nil {
		if !g.largeFleet {
			g.track(entry.ID) // a gateway of a small fleet tracks all servers
		}
		return
	}
	if entry.HasStart && entry.Start != s.Start {
		s.relativeLatency, s.monitoredLatency = 1, 1
		clear(s.health)
	}
	removedAt := s.removedAt
	s.Server, s.removedAt = entry, 0
	if entry.State == Removed {
		s.removedAt = removedAt
		s.markRemoved(g.now)
	}
}

// serverHash spreads IDs. It maps no two of them to the same value.
func serverHash(id ServerID) uint32 { return uint32(id) * 0x9e3779b1 }

// track returns the state of a server, and creates it from its entry at first use; nil: not in the
// list.
func (g *Gateway) track(id ServerID) *server {
	if s := g.trackedByID[id]; s != nil {
		return s
	}
	entry, listed := g.allServers.find(id)
	if !listed {
		return nil
	}
	s := &server{Server: entry, hash: uint16(serverHash(id) >> (32 - serverBits)), relativeLatency: 1,
		monitoredLatency: 1, verdictBudget: maxVerdictBudget, verdictBudgetAt: g.now,
		health: make([]classHealth, len(g.settings.Classes)), fullUntil: map[*quota]time.Duration{},
		monitors: g.monitors(id)}
	s.warmUpRank = g.ringPosition(float64(serverHash(id)) / (1 << 32))
	g.trackedByID[id] = s
	i, _ := slices.BinarySearchFunc(g.tracked, id, func(s *server, id ServerID) int {
		return cmp.Compare(s.ID, id)
	})
	g.tracked = slices.Insert(g.tracked, i, s)
	return s
}

// requiredGroup is the group of servers that a request must stay in; nil: any server.
func (g *Gateway) requiredGroup(r *request) *ranked {
	if !r.mayHaveRun || r.class.Effect != Keyed {
		return nil
	}
	switch r.class.Group {
	case GroupZone:
		if z := g.allServers.byZone[r.ranZone]; z != nil {
			return z.running
		}
	case GroupCell:
		if cell := g.allServers.cells[r.ranCell]; cell != nil {
			return cell
		}
	default:
		return nil
	}
	return newRanked() // no server of the group is left
}

// groupSample returns the states of n servers of a group, starting at this gateway's position.
func (g *Gateway) groupSample(group *ranked, n int) []*server {
	list := make([]*server, n)
	first := int(g.ringPosition(0) * float64(group.len()))
	for i := range list {
		list[i] = g.track(group.at((first + i) % group.len()))
	}
	return list
}

// countInspected counts inspected servers, for tests.
func (g *Gateway) countInspected(n int) {
	if g.onInspect != nil {
		g.onInspect(n)
	}
}

// ringPosition is this gateway's position on a ring of length 1, moved by offset. The positions
// of all gateways are spread evenly, whatever their number.
func (g *Gateway) ringPosition(offset float64) float64 {
	return fractionalPart(float64(g.settings.Self)*math.Phi + offset)
}

// fractionalPart returns v minus the largest whole number that is not above it.
func fractionalPart(v float64) float64 { return v - math.Floor(v) }
