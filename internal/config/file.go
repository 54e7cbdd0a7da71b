// Package config reads an edge node's configuration file and keeps its
// generations.
//
// A file is checked whole: Parse gives either what it says or every fault in it,
// each naming its field, and never a part. What passed is a Generation, which is
// immutable. History says which one is in force and what comes next: a file that
// has a fault, or changes a field that is fixed until a restart, is refused whole
// and the generation in force stays. At most two generations are kept, and a file
// of at most MostBytes is read. Nothing here opens a socket or starts a goroutine.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/internal/bounded"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/wire"
	"valvering.example/valvering/policy"
)

// File is what a configuration file and the environment tell an edge node. It
// is not changed once it is parsed.
type File struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	MemoryMB   int
	Sockets    int
	PeerListen string
	Peers      []netip.AddrPort
	PeersAll   netip.AddrPort // zero: none
	Known      *roster.List   // the list as last held; nil: none
	Admin      netip.AddrPort // operators' address; zero: none
	StateDir   string         // where snapshots are kept; empty: nowhere
	Duties     []string       // that one edge node holds at a time; none: no leases are asked for
	Settings   policy.Settings

	DialTimeout time.Duration // an app server that has not accepted by then is out of reach
	ConnIdle    time.Duration // app servers close idle connections after this
	DrainGrace  time.Duration // sends to a draining server may go on so long

	Warnings []string // of what was passed over
}

const (
	defaultDial    = 250 * time.Millisecond
	defaultIdle    = 15 * time.Second
	defaultSockets = 1024
	leastSockets   = 64
	mostSockets    = 1 << 20
	mostMemoryMB   = 1 << 24
	mostGateways   = 1 << 15 // their numbers fit into 16 bits of a message
)

// MostBytes is the size of the largest file that is read: a list of 10,000
// servers takes 2 MB.
const MostBytes = 16 << 20

// Fault is what is wrong with one field.
type Fault struct {
	Field string `json:"field"`
	What  string `json:"what"`
}

func (f Fault) String() string { return f.Field + ": " + f.What }

// Faults are all that is wrong with a file.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "; ")
}

// ErrUnreadable is a file that is not there or not whole: it may be half
// written, and is worth reading again.
var ErrUnreadable = errors.New("not readable as a whole JSON object")

// Source is where an edge node's configuration comes from.
type Source struct{ Getenv func(string) string }

// Path is the file's.
func (s Source) Path() string { return s.Getenv("GW_CONFIG") }

// Read returns the file's bytes as they are now.
func (s Source) Read() ([]byte, error) {
	if s.Path() == "" {
		return nil, Faults{{"GW_CONFIG", "is not set"}}
	}
	return ReadFile(s.Path())
}

// readWait is how long a file may take to be read: a disk may hang, and a pipe stay
// silent.
const readWait = 10 * time.Second

// ReadFile reads a configuration file of bounded size, in bounded time.
func ReadFile(path string) ([]byte, error) { return readWithin(path, readWait) }

func readWithin(path string, wait time.Duration) ([]byte, error) {
	data, err := bounded.Do(wait, func() ([]byte, error) { return readAll(path) })
	if errors.Is(err, bounded.ErrLate) {
		return nil, Faults{{"file", fmt.Sprintf("not read within %v", wait)}}
	}
	return data, err
}

func readAll(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MostBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if len(data) > MostBytes {
		return nil, Faults{{"file", fmt.Sprintf("over %d bytes", MostBytes)}}
	}
	return data, nil
}

// reload is the environment as it counts for a file that is newer than the
// process: where discovery is was told at the start.
func (s Source) reload() Source {
	return Source{func(key string) string {
		if key == "GW_DISCOVERY" {
			return ""
		}
		return s.Getenv(key)
	}}
}

// rawFields are those of an object, not yet decoded.
type rawFields map[string]json.RawMessage

// parser gathers what is wrong with a file.
type parser struct {
	top    rawFields
	faults Faults
}

func (p *parser) fault(field, format string, args ...any) {
	p.faults = append(p.faults, Fault{field, fmt.Sprintf(format, args...)})
}

func (p *parser) need(ok bool, field, format string, args ...any) {
	if !ok {
		p.fault(field, format, args...)
	}
}

// field decodes one field of the file; one that is absent or null changes nothing.
func (p *parser) field(name string, to any) bool {
	raw := p.top[name]
	if len(raw) == 0 {
		return true
	}
	if err := json.Unmarshal(raw, to); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			name = strings.TrimSuffix(name+"."+kind.Field, ".")
			p.fault(name, "a %s can't stand here", kind.Value)
		} else {
			p.fault(name, "%v", err)
		}
		return false
	}
	return true
}

// within is a parser for the object that a field holds. By their very names: the
// standard decoder takes others that differ in case for a struct's.
func (p *parser) within(name string) *parser {
	in := &parser{}
	p.field(name, &in.top)
	return in
}

// take takes over what a parser for a field's object found.
func (p *parser) take(in *parser, name string) {
	for _, f := range in.faults {
		p.fault(name+"."+f.Field, "%s", f.What)
	}
}

// Parse checks a file whole. The platform's variables (GW_) and this program's own
// (VALVERING_), where set, go before what it holds. The error is ErrUnreadable for what
// is no JSON object, or else Faults.
func (s Source) Parse(data []byte) (*File, error) {
	p := &parser{}
	if err := json.Unmarshal(data, &p.top); err != nil || p.top == nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, cmp.Or(err, errors.New("it is null")))
	}
	c := p.file(s.Getenv)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return c, nil
}

func (p *parser) file(getenv func(string) string) *File {
	c := &File{}
	for _, f := range []struct {
		name, env string
		to        *string
	}{
		{"name", "GW_NAME", &c.Name},
		{"listen", "GW_LISTEN", &c.Listen},
		{"discovery", "GW_DISCOVERY", &c.Discovery},
		{"peer_listen", "", &c.PeerListen},
	} {
		p.field(f.name, f.to)
		if f.env != "" && getenv(f.env) != "" {
			*f.to = getenv(f.env)
		}
	}
	var seed, all string
	var peers []string
	limits := p.within("limits")
	var memory, sockets float64
	p.field("seed", &seed)
	p.field("peers", &peers)
	p.field("peers_all", &all)
	limits.field("memory_mb", &memory)
	limits.field("sockets", &sockets)
	p.take(limits, "limits")
	c.Seed = seedOf(seed)

	p.need(memory >= 0 && memory <= mostMemoryMB, "limits.memory_mb", "%g is out of range", memory)
	if sockets == 0 {
		sockets = defaultSockets
	}
	p.need(sockets >= leastSockets && sockets <= mostSockets, "limits.sockets", "%g is not from %d to %d", sockets, leastSockets, mostSockets)
	if len(p.faults) == 0 {
		c.MemoryMB, c.Sockets = int(memory), int(sockets)
	}
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			p.fault(a[0], "%v", err)
		}
	}
	p.known(c)
	settled := p.settings(c)
	if settled {
		p.peers(c, peers, all)
	}
	p.own(c, getenv, !settled || c.Settings.CanTell)
	return c
}

// known takes the list as last held. It is no setting: one that can't be used
// is passed over, and discovery brings another.
func (p *parser) known(c *File) {
	raw, have := p.top["known"]
	if !have {
		return
	}
	var l *roster.List
	switch err := json.Unmarshal(raw, &l); {
	case err != nil:
		c.Warnings = append(c.Warnings, "known list passed over: "+err.Error())
		return
	case l != nil && l.Twice != nil: // it contradicts itself
		c.Warnings = append(c.Warnings, "known list passed over: "+l.Twice.Error())
		return
	case l != nil && l.Bad > 0:
		c.Warnings = append(c.Warnings, fmt.Sprintf("known list: %d lines passed over, the first: %v", l.Bad, l.BadWhy))
	}
	c.Known = l
}

// settings reads the platform's settings; unknown ones are borne.
func (p *parser) settings(c *File) bool {
	raw, have := p.top["settings"]
	if !have {
		p.fault("settings", "none")
		return false
	}
	facts, err := wire.FactsFromJSON(raw)
	if err != nil {
		p.fault("settings", "%s", strings.TrimPrefix(err.Error(), "settings: "))
		return false
	}
	before := len(p.faults)
	c.Settings, err = facts.Settings()
	p.joined(err)
	for _, d := range []struct {
		key string
		to  *time.Duration
		def time.Duration
	}{
		{"caps.dial_timeout_ms", &c.DialTimeout, defaultDial},
		{"caps.conn_idle_ms", &c.ConnIdle, defaultIdle},
		{"rules.drain_grace_ms", &c.DrainGrace, 0},
	} {
		v, err := facts.Duration(d.key)
		p.joined(err)
		*d.to = cmp.Or(v, d.def)
	}
	if len(p.faults) == before {
		p.tables(&c.Settings)
	}
	return len(p.faults) == before
}

// joined takes over errors that name their keys.
func (p *parser) joined(err error) {
	if err == nil {
		return
	}
	list := []error{err}
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		list = j.Unwrap()
	}
	for _, e := range list {
		field, what, _ := strings.Cut(e.Error(), ": ")
		p.fault("settings."+field, "%s", what)
	}
}

// tables refuses what no edge node could go by.
func (p *parser) tables(s *policy.Settings) {
	p.need(s.Resolution > 0, "settings.tick_ms", "not above 0")
	p.need(s.Gateways >= 1 && s.Gateways <= mostGateways, "settings.balancers", "%d is not from 1 to %d", s.Gateways, mostGateways)
	p.need(s.Me >= 0 && s.Me < max(1, s.Gateways), "settings.me", "%d is not from 0 to below balancers", s.Me)
	p.need(s.DatagramsPerSecond >= 0, "settings.family_info.mail_per_s", "negative")
	p.need(s.LargestUnits >= 0 && s.LargestUnits <= math.MaxUint16, "settings.family_info.largest", "%g is out of range", s.LargestUnits)
	p.need(s.MaxAttempts >= 0, "settings.caps.max_attempts", "negative")
	p.need(s.ColdShare >= 0 && s.ColdShare <= 1, "settings.rules.cold_share", "%g is not from 0 to 1", s.ColdShare)
	p.need(s.FallMultiple >= 0, "settings.rules.fall_multiple", "negative")
	p.need(len(s.Classes) > 0, "settings.classes", "none")
	p.need(len(s.Plans) > 0, "settings.plans", "none")
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("settings.classes.%d.", i)
		p.need(c.Name != "", at+"name", "empty")
		p.need(!names[c.Name], at+"name", "%q is there twice", c.Name)
		names[c.Name] = true
		p.need(c.Aim > 0, at+"aim_ms", "not above 0")
		p.need(c.Deadline > 0, at+"hard_limit_ms", "not above 0")
	}
	clear(names)
	for i, q := range s.Plans {
		at := fmt.Sprintf("settings.plans.%d.", i)
		p.need(q.Name != "", at+"name", "empty")
		p.need(!names[q.Name], at+"name", "%q is there twice", q.Name)
		names[q.Name] = true
		p.need(q.Open >= 0, at+"parallel", "negative")
		for _, f := range []struct {
			key string
			v   float64
		}{{"rate", q.Rate}, {"store_size", q.Burst}, {"hard_rate", q.HardRate}, {"hard_burst", q.HardBurst},
			{"beyond_earns", q.BeyondEarns}, {"beyond_costs", q.BeyondCosts}} {
			p.need(f.v >= 0, at+f.key, "negative")
		}
		p.need(q.Rate <= 0 || q.Burst > 0, at+"store_size", "not above 0, but the plan has a rate")
	}
}

// peers checks the addresses of the other edge nodes.
func (p *parser) peers(c *File, list []string, all string) {
	if !c.Settings.CanTell {
		return
	}
	first := make(map[netip.AddrPort]bool, len(list))
	for i, text := range list {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			p.fault(fmt.Sprintf("peers[%d]", i), "%v", err)
		}
		p.need(err != nil || !first[a], fmt.Sprintf("peers[%d]", i), "%s is there twice", text)
		first[a] = true
		c.Peers = append(c.Peers, a)
	}
	p.need(len(list) == c.Settings.Gateways, "peers", "%d addresses for %d edge nodes", len(list), c.Settings.Gateways)
	if all != "" {
		a, err := netip.ParseAddrPort(all)
		if err != nil {
			p.fault("peers_all", "%v", err)
		}
		c.PeersAll = a
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		p.fault("peer_listen", "%v", err)
	}
}

// seedOf turns the seed's text into a number: it is hexadecimal as a rule.
func seedOf(s string) uint64 {
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
