// Package config parses an edge node's configuration file and stores its
// generations.
//
// Parse validates a whole file: it returns either the complete configuration or
// all faults, each of which names its field. A valid file becomes a Generation,
// which is immutable. History holds the generation in force and the previous one.
// It rejects a file that has a fault or changes a field that is fixed until a
// restart, and the generation in force stays. A file may have at most MaxFileBytes.
// The package opens no sockets.
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

// File is the configuration of an edge node, from its file and the environment.
// It is immutable once parsed.
type File struct {
	Name         string
	Listen       string
	Discovery    string
	Seed         uint64
	MemoryMB     int
	Sockets      int
	PeerListen   string
	Peers        []netip.AddrPort
	PeersAll     netip.AddrPort // one datagram to it reaches all edge nodes; zero: none
	KnownServers *roster.List   // servers known before discovery answers; nil: none
	Admin        netip.AddrPort // operators' address; zero: none
	StateDir     string         // directory of the snapshots; empty: no snapshots
	Duties       []string       // leases to request, each held by one edge node at a time
	Settings     policy.Settings

	DialTimeout time.Duration // a server that hasn't accepted by then counts as unreachable
	ConnIdle    time.Duration // servers close connections that are idle for longer
	DrainGrace  time.Duration // how long a draining server may still get requests

	Warnings []string // ignored parts of the file
}

const (
	// Values of fields that the file leaves out.
	defaultDialTimeout = 250 * time.Millisecond
	defaultConnIdle    = 15 * time.Second
	defaultSockets     = 1024

	// Ranges.
	minSockets   = 64
	maxSockets   = 1 << 20
	maxMemoryMB  = 1 << 24
	maxEdgeNodes = 1 << 15 // messages number edge nodes in 16 bits
)

// MaxFileBytes is the size limit of a configuration file. A list of 10,000 servers
// takes 2 MB.
const MaxFileBytes = 16 << 20

// Fault describes what is wrong with one field.
type Fault struct {
	Field string `json:"field"`
	What  string `json:"what"`
}

func (f Fault) String() string { return f.Field + ": " + f.What }

// Faults is the error that lists all faults of a file.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "; ")
}

// ErrUnreadable is returned for a file that is missing or isn't a complete JSON
// object. Another process may still be writing it, so callers should retry.
var ErrUnreadable = errors.New("not readable as a whole JSON object")

// Source locates the configuration through environment variables.
type Source struct{ Getenv func(string) string }

// Path returns the path of the configuration file.
func (s Source) Path() string { return s.Getenv("GW_CONFIG") }

// Read returns the current content of the file.
func (s Source) Read() ([]byte, error) {
	if s.Path() == "" {
		return nil, Faults{{"GW_CONFIG", "is not set"}}
	}
	return ReadFile(s.Path())
}

// readTimeout limits the time for reading a file: a disk may hang, and the file may be
// a pipe without a writer.
const readTimeout = 10 * time.Second

// ReadFile reads a configuration file within limits of size and time.
func ReadFile(path string) ([]byte, error) { return readWithTimeout(path, readTimeout) }

func readWithTimeout(path string, wait time.Duration) ([]byte, error) {
	data, err := bounded.Do(wait, func() ([]byte, error) { return readAll(path) })
	if errors.Is(err, bounded.ErrLate) {
		return nil, Faults{{"file", fmt.Sprintf("reading did not finish within %v", wait)}}
	}
	return data, err
}

func readAll(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if len(data) > MaxFileBytes {
		return nil, Faults{{"file", fmt.Sprintf("larger than %d bytes", MaxFileBytes)}}
	}
	return data, nil
}

// reload returns the source for files that are read after the start. Such a file
// may change discovery's address, so the environment no longer overrides it.
func (s Source) reload() Source {
	return Source{func(key string) string {
		if key == "GW_DISCOVERY" {
			return ""
		}
		return s.Getenv(key)
	}}
}

// rawFields holds the undecoded fields of a JSON object.
type rawFields map[string]json.RawMessage

// parser decodes a JSON object and collects its faults.
type parser struct {
	fields rawFields
	faults Faults
}

func (p *parser) addFault(field, format string, args ...any) {
	p.faults = append(p.faults, Fault{field, fmt.Sprintf(format, args...)})
}

func (p *parser) require(ok bool, field, format string, args ...any) {
	if !ok {
		p.addFault(field, format, args...)
	}
}

// field decodes one field. An absent or null field leaves the target unchanged.
func (p *parser) field(name string, to any) bool {
	raw := p.fields[name]
	if len(raw) == 0 {
		return true
	}
	if err := json.Unmarshal(raw, to); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			name = strings.TrimSuffix(name+"."+typeErr.Field, ".")
			p.addFault(name, "unexpected JSON %s", typeErr.Value)
		} else {
			p.addFault(name, "%v", err)
		}
		return false
	}
	return true
}

// object returns a parser for the object in a field. It decodes into a map because
// the standard decoder matches the names of struct fields regardless of case.
func (p *parser) object(name string) *parser {
	nested := &parser{}
	p.field(name, &nested.fields)
	return nested
}

// addFaults adds the faults of a nested parser under the name of its field.
func (p *parser) addFaults(nested *parser, name string) {
	for _, f := range nested.faults {
		p.addFault(name+"."+f.Field, "%s", f.What)
	}
}

// Parse parses and validates a file. Environment variables of the platform (GW_) and
// of this program (VALVERING_) override its fields. The error is ErrUnreadable if the
// data isn't a JSON object, and Faults otherwise.
func (s Source) Parse(data []byte) (*File, error) {
	p := &parser{}
	if err := json.Unmarshal(data, &p.fields); err != nil || p.fields == nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, cmp.Or(err, errors.New("the value is null")))
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
	var seed, peersAll string
	var peers []string
	limits := p.object("limits")
	var memory, sockets float64
	p.field("seed", &seed)
	p.field("peers", &peers)
	p.field("peers_all", &peersAll)
	limits.field("memory_mb", &memory)
	limits.field("sockets", &sockets)
	p.addFaults(limits, "limits")
	c.Seed = parseSeed(seed)

	p.require(memory >= 0 && memory <= maxMemoryMB, "limits.memory_mb", "%g is out of range", memory)
	if sockets == 0 {
		sockets = defaultSockets
	}
	p.require(sockets >= minSockets && sockets <= maxSockets, "limits.sockets", "%g is not from %d to %d",
		sockets, minSockets, maxSockets)
	if len(p.faults) == 0 {
		c.MemoryMB, c.Sockets = int(memory), int(sockets)
	}
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			p.addFault(a[0], "%v", err)
		}
	}
	p.knownList(c)
	settingsValid := p.settings(c)
	if settingsValid {
		p.peerAddresses(c, peers, peersAll)
	}
	p.ownFields(c, getenv, !settingsValid || c.Settings.CanSendMessages)
	return c
}

// knownList decodes the list of known servers. An invalid list is only a warning, since
// discovery provides the current one.
func (p *parser) knownList(c *File) {
	raw, have := p.fields["known"]
	if !have {
		return
	}
	var l *roster.List
	switch err := json.Unmarshal(raw, &l); {
	case err != nil:
		c.Warnings = append(c.Warnings, "known list ignored: "+err.Error())
		return
	case l != nil && l.DuplicateErr != nil: // which of the two lines is right is unknown
		c.Warnings = append(c.Warnings, "known list ignored: "+l.DuplicateErr.Error())
		return
	case l != nil && l.Invalid > 0:
		c.Warnings = append(c.Warnings, fmt.Sprintf("known list: %d lines ignored, first fault: %v",
			l.Invalid, l.InvalidErr))
	}
	c.KnownServers = l
}

// settings decodes the platform's settings and ignores unknown ones.
func (p *parser) settings(c *File) bool {
	raw, have := p.fields["settings"]
	if !have {
		p.addFault("settings", "none")
		return false
	}
	facts, err := wire.SettingPairsFromJSON(raw)
	if err != nil {
		p.addFault("settings", "%s", strings.TrimPrefix(err.Error(), "settings: "))
		return false
	}
	before := len(p.faults)
	c.Settings, err = facts.Settings()
	p.settingsErrors(err)
	for _, d := range []struct {
		key string
		to  *time.Duration
		def time.Duration
	}{
		{"caps.dial_timeout_ms", &c.DialTimeout, defaultDialTimeout},
		{"caps.conn_idle_ms", &c.ConnIdle, defaultConnIdle},
		{"rules.drain_grace_ms", &c.DrainGrace, 0},
	} {
		v, err := facts.Duration(d.key)
		p.settingsErrors(err)
		*d.to = cmp.Or(v, d.def)
	}
	if len(p.faults) == before {
		p.checkSettings(&c.Settings)
	}
	return len(p.faults) == before
}

// settingsErrors adds the errors in err, each of which begins with its key, as faults.
func (p *parser) settingsErrors(err error) {
	if err == nil {
		return
	}
	list := []error{err}
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		list = j.Unwrap()
	}
	for _, e := range list {
		field, what, _ := strings.Cut(e.Error(), ": ")
		p.addFault("settings."+field, "%s", what)
	}
}

// checkSettings rejects settings that no edge node could work with: values out of range, and
// empty or duplicate names.
func (p *parser) checkSettings(s *policy.Settings) {
	p.require(s.Resolution > 0, "settings.tick_ms", "not above 0")
	p.require(s.Gateways >= 1 && s.Gateways <= maxEdgeNodes, "settings.balancers", "%d is not from 1 to %d",
		s.Gateways, maxEdgeNodes)
	p.require(s.Self >= 0 && s.Self < max(1, s.Gateways), "settings.me",
		"%d is negative or not below balancers", s.Self)
	p.require(s.DatagramsPerSecond >= 0, "settings.family_info.mail_per_s", "negative")
	p.require(s.MaxUnits >= 0 && s.MaxUnits <= math.MaxUint16, "settings.family_info.largest",
		"%g is out of range", s.MaxUnits)
	p.require(s.MaxAttempts >= 0, "settings.caps.max_attempts", "negative")
	p.require(s.MinWarmUpFraction >= 0 && s.MinWarmUpFraction <= 1, "settings.rules.cold_share",
		"%g is not from 0 to 1", s.MinWarmUpFraction)
	p.require(s.OverloadMultiple >= 0, "settings.rules.fall_multiple", "negative")
	p.require(len(s.Classes) > 0, "settings.classes", "none")
	p.require(len(s.Plans) > 0, "settings.plans", "none")
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("settings.classes.%d.", i)
		p.require(c.Name != "", at+"name", "empty")
		p.require(!names[c.Name], at+"name", "%q is a duplicate", c.Name)
		names[c.Name] = true
		p.require(c.LatencyTarget > 0, at+"aim_ms", "not above 0")
		p.require(c.Deadline > 0, at+"hard_limit_ms", "not above 0")
	}
	clear(names)
	for i, q := range s.Plans {
		at := fmt.Sprintf("settings.plans.%d.", i)
		p.require(q.Name != "", at+"name", "empty")
		p.require(!names[q.Name], at+"name", "%q is a duplicate", q.Name)
		names[q.Name] = true
		p.require(q.MaxInFlight >= 0, at+"parallel", "negative")
		for _, f := range []struct {
			key string
			v   float64
		}{{"rate", q.Rate}, {"store_size", q.Burst}, {"hard_rate", q.HardRate}, {"hard_burst", q.HardBurst},
			{"beyond_earns", q.EarnedBeyondQuota}, {"beyond_costs", q.ChargedBeyondQuota}} {
			p.require(f.v >= 0, at+f.key, "negative")
		}
		p.require(q.Rate <= 0 || q.Burst > 0, at+"store_size", "not above 0, but the plan has a rate")
	}
}

// peerAddresses parses the addresses at which edge nodes receive messages from each other.
func (p *parser) peerAddresses(c *File, list []string, peersAll string) {
	if !c.Settings.CanSendMessages {
		return
	}
	seen := make(map[netip.AddrPort]bool, len(list))
	for i, text := range list {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			p.addFault(fmt.Sprintf("peers[%d]", i), "%v", err)
		}
		p.require(err != nil || !seen[a], fmt.Sprintf("peers[%d]", i), "%s is a duplicate", text)
		seen[a] = true
		c.Peers = append(c.Peers, a)
	}
	p.require(len(list) == c.Settings.Gateways, "peers", "%d addresses for %d edge nodes",
		len(list), c.Settings.Gateways)
	if peersAll != "" {
		a, err := netip.ParseAddrPort(peersAll)
		if err != nil {
			p.addFault("peers_all", "%v", err)
		}
		c.PeersAll = a
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		p.addFault("peer_listen", "%v", err)
	}
}

// parseSeed converts the text of the seed to a number. The platform writes the seed in
// hexadecimal; other text is hashed.
func parseSeed(s string) uint64 {
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
