package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Generation is a valid configuration file with its number. It is immutable.
type Generation struct {
	Number uint64 // incremented with each generation that comes into force
	Digest string // of the file's bytes
	Time   time.Time
	Raw    []byte
	File   *File
}

// Refusal records a rejected file and the reason.
type Refusal struct {
	Digest string // empty: the file could not be read
	Time   time.Time
	Err    error
}

// StoredGeneration is a generation as it is stored in a snapshot.
type StoredGeneration struct {
	Number uint64 // 0: no generation
	Digest string
	Time   time.Time
	Raw    []byte
}

// Stored returns the generation without the parsed file.
func (g *Generation) Stored() StoredGeneration {
	if g == nil {
		return StoredGeneration{}
	}
	return StoredGeneration{g.Number, g.Digest, g.Time, g.Raw}
}

// DigestOf returns the first 8 bytes of the SHA-256 of a file, in hexadecimal.
func DigestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:8])
}

// History holds the generation in force and the previous one. It is not safe for
// concurrent use. Propose and RollBack only propose a generation; Accept puts it in force
// once the caller has applied it, so that a failure changes nothing here.
type History struct {
	src        Source
	current    *Generation
	previous   *Generation
	rolledBack string // digest of the file that an operator rolled back from; empty: none
	refused    *Refusal
}

// ErrUnchanged is returned for a file that Propose ignores.
var ErrUnchanged = errors.New("configuration unchanged")

// ErrNoPrevious is returned by RollBack if no previous generation is stored.
var ErrNoPrevious = errors.New("no generation is kept before the one in force")

// Loaded is the result of reading and parsing the file once, at a start.
type Loaded struct {
	File *File // nil if Err is set
	Err  error
	raw  []byte
	src  Source
}

// Load reads and parses the file.
func (s Source) Load() Loaded {
	l := Loaded{src: s}
	if l.raw, l.Err = s.Read(); l.Err == nil {
		l.File, l.Err = s.Parse(l.raw)
	}
	return l
}

// Start returns a history with the loaded file as generation 1.
func Start(l Loaded, now time.Time) (*History, error) {
	if l.Err != nil {
		return nil, l.Err
	}
	return &History{src: l.src.reload(), current: &Generation{1, DigestOf(l.raw), now, l.raw, l.File}}, nil
}

// Resume returns a history that continues from the generations in force before a
// restart. If the loaded file is invalid, the stored generation stays in force: a
// crash must not turn a rejected change into an outage. It also stays if an operator
// had rolled back from the loaded file. The notes say for
// the log what Resume decided.
func Resume(l Loaded, current, previous StoredGeneration, rolledBack string,
	now time.Time) (h *History, notes []string, err error) {
	src, f, raw, err := l.src, l.File, l.raw, l.Err
	digest := DigestOf(raw)
	stored, storedErr := src.restore(current)
	h = &History{src: src.reload()}
	switch {
	case err != nil && storedErr != nil:
		return nil, nil, err
	case err != nil:
		h.refused = &Refusal{Time: now, Err: err}
		h.current, h.rolledBack = stored, rolledBack
		notes = append(notes, fmt.Sprintf("the file is invalid (%v): generation %d stays in force",
			err, stored.Number))
	case storedErr != nil:
		h.current = &Generation{current.Number + 1, digest, now, raw, f}
		notes = append(notes, fmt.Sprintf("the stored generation is invalid: %v", storedErr))
		return h, notes, nil
	case digest == current.Digest:
		h.current, h.rolledBack = &Generation{current.Number, digest, current.Time, raw, f}, rolledBack
	case digest == rolledBack:
		h.current, h.rolledBack = stored, rolledBack
		notes = append(notes, fmt.Sprintf("the file was rolled back from: generation %d stays in force",
			stored.Number))
	default:
		h.current, h.previous = &Generation{current.Number + 1, digest, now, raw, f}, stored
		return h, notes, nil
	}
	if previous.Number > 0 {
		if h.previous, err = src.restore(previous); err != nil {
			notes = append(notes, fmt.Sprintf("generation %d is not available for a rollback: %v",
				previous.Number, err))
		}
	}
	return h, notes, nil
}

// restore parses a stored generation again: another version of this program may have
// written it.
func (s Source) restore(k StoredGeneration) (*Generation, error) {
	if k.Number == 0 || DigestOf(k.Raw) != k.Digest {
		return nil, errors.New("missing or damaged")
	}
	f, err := s.Parse(k.Raw)
	if err != nil {
		return nil, err
	}
	return &Generation{k.Number, k.Digest, k.Time, k.Raw, f}, nil
}

// Path returns the path of the configuration file.
func (h *History) Path() string { return h.src.Path() }

// Current returns the generation in force.
func (h *History) Current() *Generation { return h.current }

// Previous returns the generation that RollBack would propose, or nil.
func (h *History) Previous() *Generation { return h.previous }

// RolledBackDigest returns the digest of the file that was rolled back from, or "".
func (h *History) RolledBackDigest() string { return h.rolledBack }

// Refused returns the last rejected file, or nil.
func (h *History) Refused() *Refusal { return h.refused }

// Check parses a file and checks that it changes no fixed field of the generation in
// force.
func (h *History) Check(raw []byte) (*File, error) {
	f, err := h.src.Parse(raw)
	if err != nil {
		return nil, err
	}
	f.KnownServers = nil // used at a start only
	if faults := fixedFieldFaults(h.current.File, f); len(faults) > 0 {
		return nil, faults
	}
	return f, nil
}

// Propose reads the file and proposes it as the next generation. The error is
// ErrUnchanged if the file is the one in force or, unless forced, the one that was
// rolled back from. Refused returns a rejected file. After ErrUnreadable the caller
// should retry, since another process may still be writing the file.
func (h *History) Propose(now time.Time, forced bool) (*Generation, error) {
	raw, err := h.src.Read()
	if err != nil {
		h.refused = &Refusal{Time: now, Err: err}
		return nil, err
	}
	digest := DigestOf(raw)
	switch {
	case digest == h.current.Digest:
		h.refused = nil
		return nil, fmt.Errorf("%w: generation %d is this file already", ErrUnchanged, h.current.Number)
	case digest == h.rolledBack && !forced:
		return nil, fmt.Errorf("%w: this file was rolled back from; the apply command puts it in force",
			ErrUnchanged)
	}
	f, err := h.Check(raw)
	if err != nil {
		h.refused = &Refusal{digest, now, err}
		return nil, err
	}
	return h.propose(digest, now, raw, f), nil
}

// RollBack proposes a rollback to the previous generation.
func (h *History) RollBack(now time.Time) (*Generation, error) {
	if h.previous == nil {
		return nil, ErrNoPrevious
	}
	if faults := fixedFieldFaults(h.current.File, h.previous.File); len(faults) > 0 {
		return nil, faults // that generation was in force before a restart
	}
	return h.propose(h.previous.Digest, now, h.previous.Raw, h.previous.File), nil
}

func (h *History) propose(digest string, now time.Time, raw []byte, f *File) *Generation {
	return &Generation{Number: h.current.Number + 1, Digest: digest, Time: now, Raw: raw, File: f}
}

// Accept puts a generation that Propose or RollBack proposed in force. After a rollback no
// previous generation is stored: a second rollback must not restore the file that
// the operator has just rolled back.
func (h *History) Accept(g *Generation) {
	if h.previous != nil && g.File == h.previous.File {
		h.previous, h.rolledBack = nil, h.current.Digest
	} else {
		h.previous, h.rolledBack = h.current, ""
	}
	h.current, h.refused = g, nil
}

// fixedFieldFaults returns a fault for each changed field that needs a restart. Open sockets or
// the layout of the whole fleet depend on these fields.
func fixedFieldFaults(a, b *File) Faults {
	var out Faults
	require := func(ok bool, field string, from, to any) {
		if !ok {
			out = append(out, Fault{field,
				fmt.Sprintf("can't change without a restart (from %v to %v)", from, to)})
		}
	}
	require(a.Name == b.Name, "name", a.Name, b.Name)
	require(a.Listen == b.Listen, "listen", a.Listen, b.Listen)
	require(a.PeerListen == b.PeerListen, "peer_listen", a.PeerListen, b.PeerListen)
	require(slices.Equal(a.Peers, b.Peers), "peers", fmt.Sprintf("%d addresses", len(a.Peers)), "others")
	require(a.PeersAll == b.PeersAll, "peers_all", a.PeersAll, b.PeersAll)
	require(a.Admin == b.Admin, ownObject+".admin", a.Admin, b.Admin)
	require(slices.Equal(a.Duties, b.Duties), ownObject+".duties", a.Duties, b.Duties)
	require(a.StateDir == b.StateDir, ownObject+".state_dir", a.StateDir, b.StateDir)
	s, t := &a.Settings, &b.Settings
	require(s.Self == t.Self, "settings.me", s.Self, t.Self)
	require(s.Gateways == t.Gateways, "settings.balancers", s.Gateways, t.Gateways)
	require(s.Zone == t.Zone, "settings.zone", s.Zone, t.Zone)
	require(s.Resolution == t.Resolution, "settings.tick_ms", s.Resolution, t.Resolution)
	require(s.MustWatch == t.MustWatch, "settings.discovery", s.MustWatch, t.MustWatch)
	require(s.CanSendMessages == t.CanSendMessages, "settings.caps.peers",
		s.CanSendMessages, t.CanSendMessages)
	require(s.DatagramsPerSecond == t.DatagramsPerSecond, "settings.family_info.mail_per_s",
		s.DatagramsPerSecond, t.DatagramsPerSecond)
	require(slices.Equal(s.ReportNames, t.ReportNames), "settings.report.names", s.ReportNames, t.ReportNames)
	return out
}
