package roster

import (
	"net/netip"

	"valvering.example/valvering/policy"
)

// maxTakeovers limits the addresses that takeovers keeps. Beyond it the oldest are forgotten.
const maxTakeovers = 4096

// takeovers holds the addresses that newly listed servers came up at, so that a server that is still listed at
// such an address can be recognized as one whose process is gone. Discovery may list both for a while.
//
// Only servers with a known start count. Its zero value is empty.
type takeovers struct {
	recent, older map[netip.AddrPort]takeover
}

// takeover is the start of a newly listed server at an address.
type takeover struct {
	id     policy.ServerID
	bootMS float64
}

// note records that a server came up at an address, unless another one came up there later.
func (t *takeovers) note(addr netip.AddrPort, id policy.ServerID, bootMS float64) {
	if latest, found := t.find(addr); bootMS <= 0 || found && latest.id != id && latest.bootMS > bootMS {
		return
	}
	if t.recent == nil || len(t.recent) >= maxTakeovers/2 {
		t.older, t.recent = t.recent, map[netip.AddrPort]takeover{}
	}
	t.recent[addr] = takeover{id, bootMS}
}

// find returns the latest takeover of an address.
func (t *takeovers) find(addr netip.AddrPort) (found takeover, ok bool) {
	if found, ok = t.recent[addr]; !ok {
		found, ok = t.older[addr]
	}
	return found, ok
}

// FindCurrent returns a server's entry, unless another listed server came up at its address later.
func (d *Directory) FindCurrent(id policy.ServerID) (e Entry, current bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	at, listed := d.index[id]
	if !listed {
		return Entry{}, false
	}
	e = d.entries[at]
	latest, found := d.takeovers.find(e.Addr)
	if !found || latest.id == id || latest.bootMS <= e.BootMS {
		return e, true
	}
	successor, listed := d.index[latest.id]
	return e, !listed || d.entries[successor].Addr != e.Addr
}
