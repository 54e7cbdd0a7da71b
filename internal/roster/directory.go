package roster

import (
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"valvering.example/valvering/policy"
)

// Entry is what a Directory holds of a server that is listed.
type Entry struct {
	UID         string
	Zone        string
	Addr        netip.AddrPort
	BootMS      float64
	Weight      float64
	Cell        int
	State       policy.State  // never Removed
	Since       time.Duration // when it was first told to be no longer running, by the edge node's clock
	Incarnation uint64        // the process there: another one has another, also under the same ID and address
}

// same tells whether a line says of the server what is held.
func (e *Entry) same(t *Target, addr netip.AddrPort) bool {
	return e.UID == t.UID && e.Zone == t.Zone && e.Addr == addr && e.BootMS == t.BootMS && e.Weight == t.Weight &&
		e.Cell == t.Cell && e.State == t.PolicyState()
}

// Directory holds each listed server once. A changed line costs the same whatever the
// number of servers. It is safe for concurrent use.
type Directory struct {
	mu           sync.RWMutex
	rev          int64
	updates      uint64 // counts the updates
	partial      bool   // parts of a list are still to come
	index        map[policy.ServerID]int32
	entries      []Entry
	free         []int32 // entries that hold no server
	zones        words
	incarnations uint64
	looked       int // entries looked at by Update; tests count by it
}

// NewDirectory makes one without servers.
func NewDirectory() *Directory {
	return &Directory{index: map[policy.ServerID]int32{}, zones: words{}}
}

// Len is the number of servers.
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

// Update takes over a list or changes to it; of lines that name one server the last
// counts. It tells of each server to whose process nothing new should be sent any more: it is
// gone or drains, or another process is there.
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
		at := d.take(&l.Targets[i], now, ended)
		if whole && at >= 0 {
			for int(at) >= len(seen) {
				seen = append(seen, false)
			}
			seen[at] = true
		}
	}
	for at := range seen {
		d.looked++
		if !seen[at] && d.entries[at].Incarnation > 0 {
			d.drop(int32(at), ended)
		}
	}
}

// take takes over one line and returns where its server's entry is; -1: there is none.
func (d *Directory) take(t *Target, now time.Duration, ended func(policy.ServerID)) int32 {
	d.looked++
	id := ID(t.UID)
	at, listed := d.index[id]
	if t.State == Gone {
		if listed && d.entries[at].UID == t.UID {
			d.drop(at, ended)
		}
		return -1
	}
	addr, _ := netip.ParseAddrPort(t.Endpoint) // the zero address can't be dialed
	if !listed {
		at = d.room()
		d.index[id] = at
	}
	e := &d.entries[at]
	if !listed || e.Addr != addr || e.BootMS != t.BootMS {
		d.incarnations++
		e.Addr, e.BootMS, e.Incarnation = addr, t.BootMS, d.incarnations
		ended(id)
	}
	state := t.PolicyState()
	if e.State == policy.Running && state != policy.Running {
		e.Since = now
		ended(id)
	}
	e.UID, e.Zone, e.Weight, e.Cell, e.State = t.UID, d.zones.share(t.Zone), t.Weight, t.Cell, state
	return at
}

// room finds an entry that holds no server.
func (d *Directory) room() int32 {
	if last := len(d.free) - 1; last >= 0 {
		at := d.free[last]
		d.free = d.free[:last]
		return at
	}
	d.entries = append(d.entries, Entry{})
	return int32(len(d.entries) - 1)
}

func (d *Directory) drop(at int32, ended func(policy.ServerID)) {
	id := ID(d.entries[at].UID)
	ended(id)
	delete(d.index, id)
	d.entries[at] = Entry{}
	d.free = append(d.free, at)
}

// Difference turns a whole list into the changes that lead to it: what is told anew, and
// a Gone line for each server that is missing. Lines of servers that are to get nothing new come
// first. It takes the memory of the list's lines for its own.
func (d *Directory) Difference(l *List) []Target {
	d.mu.RLock()
	defer d.mu.RUnlock()
	seen := make([]bool, len(d.entries))
	out := l.Targets[:0]
	for i := range l.Targets {
		pause(i)
		t := l.Targets[i]
		if t.State == Gone {
			continue
		}
		addr, _ := netip.ParseAddrPort(t.Endpoint)
		at, listed := d.index[ID(t.UID)]
		if listed {
			seen[at] = true
		}
		if !listed || !d.entries[at].same(&t, addr) {
			out = append(out, t)
		}
	}
	for at := range seen {
		pause(at)
		if e := &d.entries[at]; !seen[at] && e.Incarnation > 0 {
			out = append(out, Target{UID: e.UID, State: Gone})
		}
	}
	EndsFirst(out)
	return out
}

// EndsFirst sorts the lines of servers that are to get nothing new before the others and
// keeps their order otherwise.
func EndsFirst(lines []Target) {
	slices.SortStableFunc(lines, func(a, b Target) int { return int(b.PolicyState()) - int(a.PolicyState()) })
}

// pause lets the event loop have the processor now and then.
func pause(i int) {
	if i%yieldEvery == yieldEvery-1 {
		runtime.Gosched()
	}
}
