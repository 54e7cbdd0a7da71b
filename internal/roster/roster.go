// Package roster holds the list of lending servers in discovery's form, as it
// comes from discovery, from the configuration and from a snapshot. It promises
// that what it read can be turned into the module's form, that one line that can't
// be used keeps no other from being used, and that every edge node gives a server the
// same ID.
package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/internal/wire"
	"valvering.example/valvering/policy"
)

// List is the list of servers, or what has changed in it.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`

	Bad    int   `json:"-"` // lines that were passed over when the list was read
	BadWhy error `json:"-"` // what is wrong with the first of them; nil: there is none
	Twice  error `json:"-"` // names the first uid that is there twice (ErrTwice); nil: there is none
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

// fields are those of an object by their very names: the standard decoder takes
// others that differ in case for them, and these may be anybody's.
type fields map[string]json.RawMessage

// take decodes one field; one that is absent or null changes nothing.
func (f fields) take(name string, to any) error {
	if raw := f[name]; len(raw) > 0 {
		if err := json.Unmarshal(raw, to); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// UnmarshalJSON reads a list that is held in memory already, as Decode does.
func (l *List) UnmarshalJSON(data []byte) error {
	out, err := Decode(bytes.NewReader(data), Limits{Bytes: noBytes, Lines: math.MaxInt32})
	if err != nil {
		return err
	}
	*l = *out
	return nil
}

// read takes a line that can be meant.
func (t *Target) read(raw []byte) error {
	var f fields
	if err := json.Unmarshal(raw, &f); err != nil {
		return err
	}
	if err := errors.Join(f.take("uid", &t.UID), f.take("endpoint", &t.Endpoint), f.take("az", &t.Zone),
		f.take("pod_group", &t.Cell), f.take("state", &t.State), f.take("capacity_hint", &t.Weight),
		f.take("boot_ms", &t.BootMS)); err != nil {
		return err
	}
	return t.check()
}

// check tells why a line can't be used, and drops figures that can't be meant.
func (t *Target) check() error {
	for _, v := range []*float64{&t.Weight, &t.BootMS} {
		if !(*v >= 0 && *v <= mostFigure) { // NaN is neither
			*v = 0 // not told
		}
	}
	if t.UID == "" {
		return fmt.Errorf("uid: none, at %q", t.Endpoint)
	}
	if _, ok := states[t.State]; !ok {
		return fmt.Errorf("state: %q is unknown", t.State)
	}
	if t.State == Gone {
		return nil
	}
	if _, err := netip.ParseAddrPort(t.Endpoint); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return nil
}

// mostFigure is beyond any that can be meant: as Unix milliseconds it is the year
// 2255, which still fits in nanoseconds.
const mostFigure = 9e12

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

// PolicyState is the server's state to the module.
func (t *Target) PolicyState() policy.State { return states[t.State] }

// Server turns a line into the module's form. The loop's clock counts from the
// Unix epoch, so a start time needs no shift.
func (t *Target) Server() policy.Server {
	return policy.Server{ID: ID(t.UID), Zone: wire.Word(t.Zone), Cell: t.Cell, State: states[t.State],
		HasStart: t.BootMS > 0, Start: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}
