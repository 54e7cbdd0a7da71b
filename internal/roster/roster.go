// Package roster decodes and stores the list of servers in discovery's format. Lists
// come from discovery, from the configuration and from snapshots.
//
// Each decoded line converts to a policy.Server. An invalid line doesn't affect the
// others. All edge nodes derive the same ID for a server.
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

// List is a complete list of servers or a list of changes.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`

	Invalid      int   `json:"-"` // invalid lines that the decoder dropped
	InvalidErr   error `json:"-"` // the error of the first invalid line, or nil
	Reserved     int   `json:"-"` // bytes of memory that are reserved for the lines
	DuplicateErr error `json:"-"` // an ErrDuplicateUID that names the first duplicate uid, or nil
}

// Target is one line of a List.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// fields holds the fields of an object by their exact names. The standard decoder
// also accepts names that differ in case, which may be unrelated fields.
type fields map[string]json.RawMessage

// decode decodes one field. An absent or null field leaves the target unchanged.
func (f fields) decode(name string, to any) error {
	if raw := f[name]; len(raw) > 0 {
		if err := json.Unmarshal(raw, to); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// UnmarshalJSON decodes a list that is already in memory, so without limits.
func (l *List) UnmarshalJSON(data []byte) error {
	out, err := Decode(bytes.NewReader(data), Limits{Bytes: unlimitedBytes, Lines: math.MaxInt32})
	if err != nil {
		return err
	}
	*l = *out
	return nil
}

// decode decodes a line by its exact field names and validates it.
func (t *Target) decode(raw []byte) error {
	var f fields
	if err := json.Unmarshal(raw, &f); err != nil {
		return err
	}
	if err := errors.Join(f.decode("uid", &t.UID), f.decode("endpoint", &t.Endpoint), f.decode("az", &t.Zone),
		f.decode("pod_group", &t.Cell), f.decode("state", &t.State), f.decode("capacity_hint", &t.Weight),
		f.decode("boot_ms", &t.BootMS)); err != nil {
		return err
	}
	return t.validate()
}

// validate returns the reason why a line is invalid, if any. It sets numbers that are
// out of range to 0.
func (t *Target) validate() error {
	for _, v := range []*float64{&t.Weight, &t.BootMS} {
		if !(*v >= 0 && *v <= maxNumber) { // also true for NaN
			*v = 0 // unknown
		}
	}
	for _, f := range []struct{ name, value string }{{"uid", t.UID}, {"endpoint", t.Endpoint}, {"az", t.Zone}} {
		if len(f.value) > maxTextBytes {
			return fmt.Errorf("%s: over %d bytes", f.name, maxTextBytes)
		}
	}
	if t.UID == "" {
		return fmt.Errorf("uid: missing, endpoint %.80q", t.Endpoint)
	}
	if _, ok := statesByName[t.State]; !ok {
		return fmt.Errorf("state: unknown value %.80q", t.State)
	}
	if t.State == Removed {
		return nil
	}
	if _, err := netip.ParseAddrPort(t.Endpoint); err != nil {
		return fmt.Errorf("endpoint: %w", err)
	}
	return nil
}

// maxTextBytes is the largest length of a text field.
const maxTextBytes = 1 << 10

// maxNumber is the largest valid number. As Unix milliseconds it is in the year 2255,
// which a time.Duration in nanoseconds can still represent.
const maxNumber = 9e12

// Removed is the state of a server that was removed from the list.
const Removed = "DELETED"

var statesByName = map[string]policy.State{"SERVING": policy.Running, "DRAINING": policy.Draining,
	Removed: policy.Removed}

// ID returns the server's ID. It depends on the uid alone, since messages between
// edge nodes refer to servers by their IDs.
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

// PolicyState converts the state for package policy.
func (t *Target) PolicyState() policy.State { return statesByName[t.State] }

// Server converts a line for package policy. The event loop's clock counts from the Unix
// epoch, so the start time needs no offset.
func (t *Target) Server() policy.Server {
	return policy.Server{ID: ID(t.UID), Zone: wire.EscapeWord(t.Zone), Cell: t.Cell,
		State: statesByName[t.State], HasStart: t.BootMS > 0,
		Start: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}
