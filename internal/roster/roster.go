// Package roster holds the list of lending servers in discovery's form, as it
// comes from discovery, from the configuration and from a snapshot. It promises
// that a list that passes Check can be turned into the module's form, and that
// every edge node gives a server the same ID.
package roster

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
)

// List is the list of servers, or what has changed in it.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is one line of it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// Gone is the state of a server that has left the list.
const Gone = "DELETED"

var states = map[string]policy.State{"SERVING": policy.Running, "DRAINING": policy.Draining, Gone: policy.Removed}

// ID names a server to the module and in messages between edge nodes, so it
// must come out alike at all of them: it rests on the uid alone.
func ID(uid string) policy.ServerID {
	if hex, ok := strings.CutPrefix(uid, "s-"); ok && len(hex) == 8 {
		if v, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return policy.ServerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	return policy.ServerID(h.Sum32())
}

// Check refuses a list that can't be meant.
func (l *List) Check() error {
	for _, t := range l.Targets {
		if _, ok := states[t.State]; !ok {
			return fmt.Errorf("server %q: unknown state %q", t.UID, t.State)
		}
		if t.UID == "" {
			return fmt.Errorf("a server without uid at %q", t.Endpoint)
		}
		if t.State != Gone {
			if _, err := netip.ParseAddrPort(t.Endpoint); err != nil {
				return fmt.Errorf("server %q: %w", t.UID, err)
			}
		}
	}
	return nil
}

// PolicyState is the server's state to the module.
func (t *Target) PolicyState() policy.State { return states[t.State] }

// Server turns a line into the module's form. The loop's clock counts from the
// Unix epoch, so a start time needs no shift.
func (t *Target) Server() policy.Server {
	return policy.Server{ID: ID(t.UID), Zone: wire.Word(t.Zone), Cell: t.Cell, State: states[t.State],
		HasStart: t.BootMS > 0, Start: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}
