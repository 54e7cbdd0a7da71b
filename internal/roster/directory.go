package roster

import (
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/policy"
)

// Entry is a listed server in a Directory.
type Entry struct {
	UID           string
	Zone          string
	Addr          netip.AddrPort
	BootMS        float64
	Weight        float64
	Cell          int
	State         policy.State  // never Removed
	DrainingSince time.Duration // when the server was first reported as draining, by the edge node's clock

	// Incarnation identifies the server's process. It changes when the server restarts
	// or moves, even if ID and address stay.
	Incarnation uint64
}

// equals reports whether a line equals the entry.
func (e *Entry) equals(t *Target, addr netip.AddrPort) bool {
	return e.UID == t.UID && e.Zone == t.Zone && e.Addr == addr && e.BootMS == t.BootMS &&
		e.Weight == t.Weight && e.Cell == t.Cell && e.State == t.PolicyState()
}

// Directory stores the listed servers by ID. The cost of a changed line doesn't depend on
// the number of servers. It is safe for concurrent use.
type Directory struct {
	mu           sync.RWMutex
	rev          int64
	updates      uint64 // counts the updates
	partial      bool   // parts of a list are still to come
	index        map[policy.ServerID]int32
	entries      []Entry
	free         []int32 // indexes of unused entries
	zones        stringPool
	limit        int // largest number of servers with strings of typical length; 0: no limit
	longBytes    int // bytes of longer strings
	dropped      int // new servers that the limit kept out
	incarnations uint64
	takeovers    takeovers
	visited      int // entries that Update visited, for tests
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{index: map[policy.ServerID]int32{}, zones: stringPool{}}
}

// SetLimit limits the memory for servers to that of n servers with strings of typical length.
func (d *Directory) SetLimit(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = n
}

// Dropped returns the number of lines with new servers that the limit has kept out so far.
func (d *Directory) Dropped() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.dropped
}

// isFull reports whether the limit is reached. The caller holds the mutex.
func (d *Directory) isFull() bool {
	return d.limit > 0 && len(d.index)+d.longBytes/memory.ServerLineBytes >= d.limit
}

// longBytes returns the bytes of the entry's strings beyond those of typical length.
func (e *Entry) longBytes() int {
	return max(0, len(e.UID)+len(e.Zone)+len(e.Addr.Addr().Zone())-typicalStrings)
}

// Len returns the number of servers.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.index)
}

// Find returns a server's entry.
func (d *Directory) Find(id policy.ServerID) (e Entry, listed bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, listed := d.index[id]
	if listed {
		e = d.entries[at]
	}
	return e, listed
}

// Update applies a complete list or changes. If several lines have the same ID, the last
// one counts. Update calls ended for each server whose previous process must get no new
// requests: the server was removed, drains, or was replaced by another process.
func (d *Directory) Update(l *List, whole bool, now time.Duration, ended func(policy.ServerID)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev = l.Rev
	d.updates++
	var seen []bool
	if whole {
		seen = make([]bool, len(d.entries), len(d.entries)+len(l.Targets))
	}
	for i := range l.Targets {
		at := d.apply(&l.Targets[i], now, ended)
		if whole && at >= 0 {
			for int(at) >= len(seen) {
				seen = append(seen, false)
			}
			seen[at] = true
		}
	}
	for at := range seen {
		d.visited++
		if !seen[at] && d.entries[at].Incarnation > 0 {
			d.remove(int32(at), ended)
		}
	}
}

// apply applies one line and returns the index of the server's entry, or -1 if the server
// is removed, or is new and there is no room for it.
func (d *Directory) apply(t *Target, now time.Duration, ended func(policy.ServerID)) int32 {
	d.visited++
	id := ID(t.UID)
	at, listed := d.index[id]
	if t.State == Removed {
		if listed && d.entries[at].UID == t.UID {
			d.remove(at, ended)
		}
		return -1
	}
	if !listed && d.isFull() {
		d.dropped++
		return -1
	}
	addr, _ := netip.ParseAddrPort(t.Endpoint) // dialing the zero address fails
	if !listed {
		at = d.allocate()
		d.index[id] = at
	}
	e := &d.entries[at]
	d.longBytes -= e.longBytes()
	if !listed || e.Addr != addr {
		d.takeovers.note(addr, id, t.BootMS)
	}
	if !listed || e.Addr != addr || e.BootMS != t.BootMS {
		d.incarnations++
		e.Addr, e.BootMS, e.Incarnation = addr, t.BootMS, d.incarnations
		ended(id)
	}
	state := t.PolicyState()
	if e.State == policy.Running && state != policy.Running {
		e.DrainingSince = now
		ended(id)
	}
	e.UID, e.Zone, e.Weight, e.Cell, e.State = t.UID, d.zones.intern(t.Zone), t.Weight, t.Cell, state
	d.longBytes += e.longBytes()
	return at
}

// allocate returns the index of an unused entry.
func (d *Directory) allocate() int32 {
	if last := len(d.free) - 1; last >= 0 {
		at := d.free[last]
		d.free = d.free[:last]
		return at
	}
	d.entries = append(d.entries, Entry{})
	return int32(len(d.entries) - 1)
}

func (d *Directory) remove(at int32, ended func(policy.ServerID)) {
	id := ID(d.entries[at].UID)
	ended(id)
	delete(d.index, id)
	d.longBytes -= d.entries[at].longBytes()
	d.entries[at] = Entry{}
	d.free = append(d.free, at)
}

// Difference returns the changes from the directory to a complete list: new and changed
// lines, and a Removed line for each missing server. Lines of servers that must get no new
// requests come first. The result reuses the memory of the list's lines.
func (d *Directory) Difference(l *List) []Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	seen := make([]bool, len(d.entries))
	out := l.Targets[:0]
	for i := range l.Targets {
		yieldEach(i)
		t := l.Targets[i]
		if t.State == Removed {
			continue
		}
		addr, _ := netip.ParseAddrPort(t.Endpoint)
		at, listed := d.index[ID(t.UID)]
		if listed {
			seen[at] = true
		}
		if !listed || !d.entries[at].equals(&t, addr) {
			out = append(out, t)
		}
	}
	for at := range seen {
		yieldEach(at)
		if e := &d.entries[at]; !seen[at] && e.Incarnation > 0 {
			out = append(out, Target{UID: e.UID, State: Removed})
		}
	}
	SortEndedFirst(out)
	return out
}

// SortEndedFirst moves the lines of removed and draining servers to the front. The sort is
// stable.
func SortEndedFirst(lines []Target) {
	slices.SortStableFunc(lines, func(a, b Target) int { return int(b.PolicyState()) - int(a.PolicyState()) })
}

// yieldEach yields the processor to the event loop every yieldEvery steps.
func yieldEach(i int) {
	if i%yieldEvery == yieldEvery-1 {
		runtime.Gosched()
	}
}
