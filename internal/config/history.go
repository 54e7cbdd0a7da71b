package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Generation is a file that passed the check. It is not changed.
type Generation struct {
	Number uint64 // grows by one with each that comes into force
	Digest string // of the file's bytes
	Time   time.Time
	Raw    []byte
	File   *File
}

// Refusal is a file that was not taken, and why.
type Refusal struct {
	Digest string // empty: it could not be read
	Time   time.Time
	Err    error
}

// Kept is a generation as it is kept outside the process.
type Kept struct {
	Number uint64 // 0: there is none
	Digest string
	Time   time.Time
	Raw    []byte
}

// Kept is the generation without what can be read from its bytes.
func (g *Generation) Kept() Kept {
	if g == nil {
		return Kept{}
	}
	return Kept{g.Number, g.Digest, g.Time, g.Raw}
}

// DigestOf names a file by what it holds.
func DigestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:8])
}

// History is the generation in force and the one before. It is not safe for
// concurrent use. Offer and Back only propose: what they return is in force
// once it is accepted, so that nothing is half applied if applying it fails.
type History struct {
	src     Source
	current *Generation
	before  *Generation
	left    string // digest of the file that an operator rolled back from; empty: none
	refused *Refusal
}

// ErrPassedOver is a file that brings nothing new.
var ErrPassedOver = errors.New("nothing new")

// ErrNoneBefore is what rolling back finds when there is nothing to return to.
var ErrNoneBefore = errors.New("no generation is kept before the one in force")

// Loaded is a file as it was read once, for all that a start makes of it.
type Loaded struct {
	File *File // nil: it can't be used, and Err says why
	Err  error
	raw  []byte
	src  Source
}

// Load reads and checks the file.
func (s Source) Load() Loaded {
	l := Loaded{src: s}
	if l.raw, l.Err = s.Read(); l.Err == nil {
		l.File, l.Err = s.Parse(l.raw)
	}
	return l
}

// Start begins with the file that was loaded.
func Start(l Loaded, now time.Time) (*History, error) {
	if l.Err != nil {
		return nil, l.Err
	}
	return &History{src: l.src.reload(), current: &Generation{1, DigestOf(l.raw), now, l.raw, l.File}}, nil
}

// Resume begins with the file too, and goes on from what was in force before the
// process ended. The generation that was in force comes back where the file can't
// be used, since a crash must not turn a refused change into an outage, and where
// it is the one that an operator had rolled back from. Notes tell what was made of
// it.
func Resume(l Loaded, current, before Kept, left string, now time.Time) (h *History, notes []string, err error) {
	src, f, raw, err := l.src, l.File, l.raw, l.Err
	digest := DigestOf(raw)
	was, wasErr := src.revive(current)
	h = &History{src: src.reload()}
	switch {
	case err != nil && wasErr != nil:
		return nil, nil, err
	case err != nil:
		h.refused = &Refusal{Time: now, Err: err}
		h.current, h.left = was, left
		notes = append(notes, fmt.Sprintf("the file can't be used (%v): generation %d comes back", err, was.Number))
	case wasErr != nil:
		h.current = &Generation{current.Number + 1, digest, now, raw, f}
		notes = append(notes, fmt.Sprintf("the generation before the start can't be used: %v", wasErr))
		return h, notes, nil
	case digest == current.Digest:
		h.current, h.left = &Generation{current.Number, digest, current.Time, raw, f}, left
	case digest == left:
		h.current, h.left = was, left
		notes = append(notes, fmt.Sprintf("the file was rolled back from: generation %d comes back", was.Number))
	default:
		h.current, h.before = &Generation{current.Number + 1, digest, now, raw, f}, was
		return h, notes, nil
	}
	if before.Number > 0 {
		if h.before, err = src.revive(before); err != nil {
			notes = append(notes, fmt.Sprintf("generation %d can't be returned to: %v", before.Number, err))
		}
	}
	return h, notes, nil
}

// revive checks a generation that was kept: it may be of another program.
func (s Source) revive(k Kept) (*Generation, error) {
	if k.Number == 0 || DigestOf(k.Raw) != k.Digest {
		return nil, errors.New("it is not whole")
	}
	f, err := s.Parse(k.Raw)
	if err != nil {
		return nil, err
	}
	return &Generation{k.Number, k.Digest, k.Time, k.Raw, f}, nil
}

// Path is the file's.
func (h *History) Path() string { return h.src.Path() }

// Current is the generation in force, Before the one kept behind it, or nil.
func (h *History) Current() *Generation { return h.current }

// Before is the generation that Back would return to, or nil.
func (h *History) Before() *Generation { return h.before }

// Left is the digest of the file that was rolled back from; empty: none.
func (h *History) Left() string { return h.left }

// Refused is the file that was refused last, or nil.
func (h *History) Refused() *Refusal { return h.refused }

// Check tells all that is wrong with a file, also against the one in force.
func (h *History) Check(raw []byte) (*File, error) {
	f, err := h.src.Parse(raw)
	if err != nil {
		return nil, err
	}
	if faults := fixed(h.current.File, f); len(faults) > 0 {
		return nil, faults
	}
	return f, nil
}

// Offer reads the file and proposes the generation that it makes. It is
// ErrPassedOver when the file is the one in force, or, unless forced, the one
// that was rolled back from. A refusal is kept for operators to see; one that
// is ErrUnreadable may be half written.
func (h *History) Offer(now time.Time, forced bool) (*Generation, error) {
	raw, err := h.src.Read()
	if err != nil {
		h.refused = &Refusal{Time: now, Err: err}
		return nil, err
	}
	digest := DigestOf(raw)
	switch {
	case digest == h.current.Digest:
		h.refused = nil
		return nil, fmt.Errorf("%w: generation %d holds this file already", ErrPassedOver, h.current.Number)
	case digest == h.left && !forced:
		return nil, fmt.Errorf("%w: this file was rolled back from; apply it by hand to return to it", ErrPassedOver)
	}
	f, err := h.Check(raw)
	if err != nil {
		h.refused = &Refusal{digest, now, err}
		return nil, err
	}
	return h.next(digest, now, raw, f), nil
}

// Back proposes a return to the generation before.
func (h *History) Back(now time.Time) (*Generation, error) {
	if h.before == nil {
		return nil, ErrNoneBefore
	}
	if faults := fixed(h.current.File, h.before.File); len(faults) > 0 {
		return nil, faults // it was in force before a restart
	}
	return h.next(h.before.Digest, now, h.before.Raw, h.before.File), nil
}

func (h *History) next(digest string, now time.Time, raw []byte, f *File) *Generation {
	return &Generation{Number: h.current.Number + 1, Digest: digest, Time: now, Raw: raw, File: f}
}

// Accept notes that what Offer or Back proposed is in force. After a return
// nothing is kept to return to: doing it twice must not bring back what the
// operator has just left.
func (h *History) Accept(g *Generation) {
	if h.before != nil && g.File == h.before.File {
		h.before, h.left = nil, h.current.Digest
	} else {
		h.before, h.left = h.current, ""
	}
	h.current, h.refused = g, nil
}

// fixed names the fields that differ and can't change while a process runs: the
// sockets that are open rest on them, or how the whole fleet is laid out.
func fixed(a, b *File) Faults {
	var out Faults
	same := func(ok bool, field string, from, to any) {
		if !ok {
			out = append(out, Fault{field, fmt.Sprintf("can't change without a restart (from %v to %v)", from, to)})
		}
	}
	same(a.Name == b.Name, "name", a.Name, b.Name)
	same(a.Listen == b.Listen, "listen", a.Listen, b.Listen)
	same(a.PeerListen == b.PeerListen, "peer_listen", a.PeerListen, b.PeerListen)
	same(slices.Equal(a.Peers, b.Peers), "peers", fmt.Sprintf("%d addresses", len(a.Peers)), "others")
	same(a.PeersAll == b.PeersAll, "peers_all", a.PeersAll, b.PeersAll)
	same(a.Admin == b.Admin, ownObject+".admin", a.Admin, b.Admin)
	same(slices.Equal(a.Duties, b.Duties), ownObject+".duties", a.Duties, b.Duties)
	same(a.StateDir == b.StateDir, ownObject+".state_dir", a.StateDir, b.StateDir)
	s, t := &a.Settings, &b.Settings
	same(s.Me == t.Me, "settings.me", s.Me, t.Me)
	same(s.Gateways == t.Gateways, "settings.balancers", s.Gateways, t.Gateways)
	same(s.Zone == t.Zone, "settings.zone", s.Zone, t.Zone)
	same(s.Resolution == t.Resolution, "settings.tick_ms", s.Resolution, t.Resolution)
	same(s.MustAsk == t.MustAsk, "settings.discovery", s.MustAsk, t.MustAsk)
	same(s.CanTell == t.CanTell, "settings.caps.peers", s.CanTell, t.CanTell)
	same(s.DatagramsPerSecond == t.DatagramsPerSecond, "settings.family_info.mail_per_s", s.DatagramsPerSecond, t.DatagramsPerSecond)
	same(slices.Equal(s.ReportNames, t.ReportNames), "settings.report.names", s.ReportNames, t.ReportNames)
	return out
}
