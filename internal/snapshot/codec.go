// Package snapshot stores an edge node's state on disk, to be restored after a crash, a
// power loss or a shutdown.
//
// Encode and Decode convert between a State and a file. Store writes two files in turn,
// so that a start always finds the newest or the previous snapshot intact. A lock
// ensures that a directory has one writer. Writer writes in the background: it never
// blocks its caller, drops states that a newer one replaces, and counts and logs
// failures.
//
// Files are untrusted. Decode returns a complete State or an error, and uses memory in
// proportion to the size of the file, which is at most maxFileBytes.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

// State is the stored state of an edge node.
type State struct {
	Name             string
	Incarnation      uint64 // number of starts of the edge node on this directory
	Sequence         uint64 // number of the snapshot
	Taken            Moment
	Clean            bool // the edge node admitted no request after the snapshot was taken
	List             *roster.List
	EncodedList      func() []byte // replaces List: called when the state is written; empty: no list
	Current          Generation
	Previous         Generation // zero: none
	RolledBackDigest string     // digest of the configuration that was rolled back from
	Memory           policy.SavedState
}

// Generation is a configuration file that was in force.
type Generation = config.StoredGeneration

// Errors of Decode.
var (
	ErrDamaged = errors.New("damaged")
	ErrNewer   = errors.New("of a newer format")
	ErrForeign = errors.New("another edge node's")
)

const (
	// Format of a file.
	magic        = "valvsnap"
	version      = 1
	trailerBytes = 4 // bytes of the CRC-32C

	// Limits in bytes.
	maxFileBytes = 64 << 20 // 56,000 servers take 3 MB for the list and 3 MB for their health
	maxNameBytes = 255
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kinds of sections. Decode ignores kinds that it doesn't know.
const (
	sectionTaken    = iota + 1
	sectionJSONList // the list as JSON, written by earlier versions
	sectionCurrent
	sectionBefore
	sectionRolledBack
	sectionServers
	sectionTokens     // token buckets
	sectionBinaryList // the list in its binary format
)

// Encode returns a file: magic, version, name, incarnation, sequence, length of the
// sections, sections, CRC-32C of everything before.
func Encode(s *State) ([]byte, error) {
	if len(s.Name) > maxNameBytes {
		return nil, fmt.Errorf("the name has %d bytes", len(s.Name))
	}
	lines, err := s.binaryList()
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	w := encoder{b: append(make([]byte, 0, 1<<16+len(lines)+len(s.Current.Raw)+len(s.Previous.Raw)),
		magic...)}
	w.u16(version)
	w.text(s.Name)
	w.u64(s.Incarnation)
	w.u64(s.Sequence)
	w.sized(func() {
		w.section(sectionTaken, func() {
			w.u64(uint64(s.Taken.Wall.UnixNano()))
			w.u64(uint64(s.Taken.Up))
			w.text(s.Taken.Boot)
			w.bool(s.Clean)
		})
		if len(lines) > 0 {
			w.section(sectionBinaryList, func() { w.b = append(w.b, lines...) })
		}
		w.section(sectionCurrent, func() { w.generation(&s.Current) })
		if s.Previous.Number > 0 {
			w.section(sectionBefore, func() { w.generation(&s.Previous) })
		}
		w.section(sectionRolledBack, func() { w.text(s.RolledBackDigest) })
		w.section(sectionServers, func() { w.servers(s.Memory.Servers) })
		if s.Memory.Tokens != nil {
			w.section(sectionTokens, func() {
				for key, v := range s.Memory.Tokens {
					w.u64(key)
					w.f64(v)
				}
			})
		}
	})
	if len(w.b) > maxFileBytes-trailerBytes {
		return nil, fmt.Errorf("the snapshot has %d bytes", len(w.b))
	}
	return binary.BigEndian.AppendUint32(w.b, crc32.Checksum(w.b, castagnoli)), nil
}

// binaryList returns the list in its binary format.
func (s *State) binaryList() ([]byte, error) {
	switch {
	case s.EncodedList != nil:
		return s.EncodedList(), nil
	case s.List != nil:
		return s.List.AppendBinary(nil)
	}
	return nil, nil
}

// encoder appends fields to b.
type encoder struct{ b []byte }

func (w *encoder) u16(v uint16)  { w.b = binary.BigEndian.AppendUint16(w.b, v) }
func (w *encoder) u32(v uint32)  { w.b = binary.BigEndian.AppendUint32(w.b, v) }
func (w *encoder) u64(v uint64)  { w.b = binary.BigEndian.AppendUint64(w.b, v) }
func (w *encoder) f64(v float64) { w.u64(math.Float64bits(v)) }
func (w *encoder) text(s string) { w.u16(uint16(len(s))); w.b = append(w.b, s...) }
func (w *encoder) bool(v bool) {
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

// sized writes a length and then the bytes that fill writes.
func (w *encoder) sized(fill func()) {
	at := len(w.b)
	w.u32(0)
	fill()
	binary.BigEndian.PutUint32(w.b[at:], uint32(len(w.b)-at-4))
}

func (w *encoder) section(kind uint16, fill func()) {
	w.u16(kind)
	w.sized(fill)
}

func (w *encoder) generation(g *Generation) {
	w.u64(g.Number)
	w.u64(uint64(g.Time.UnixNano()))
	w.text(g.Digest)
	w.b = append(w.b, g.Raw...)
}

func (w *encoder) servers(list []policy.SavedServer) {
	for i := range list {
		m := &list[i]
		w.u32(uint32(m.ID))
		w.bool(m.HasStart)
		w.u64(uint64(m.Start))
		w.f64(m.RelativeLatency)
		w.f64(m.MonitoredLatency)
		w.u16(uint16(len(m.Health)))
		for _, f := range m.Health {
			w.text(f.Class)
			w.f64(f.FailureAverage)
			w.u64(uint64(f.OutOfUseFor))
		}
	}
}

// Decode parses a file of the edge node with this name.
func Decode(b []byte, name string) (*State, error) {
	r := decoder{b: b}
	if string(r.take(len(magic))) != magic {
		return nil, fmt.Errorf("%w: no snapshot magic", ErrDamaged)
	}
	v := r.u16()
	if r.invalid || len(b) < trailerBytes {
		return nil, fmt.Errorf("%w: only %d bytes", ErrDamaged, len(b))
	}
	if v > version {
		return nil, fmt.Errorf("%w: %d", ErrNewer, v) // a newer format may have another trailer
	}
	body := b[:len(b)-trailerBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	r.b = r.b[:len(r.b)-trailerBytes]
	s := &State{Name: r.text(), Incarnation: r.u64(), Sequence: r.u64()}
	if int(r.u32()) != len(r.b) || r.invalid || v != version {
		return nil, fmt.Errorf("%w: length mismatch", ErrDamaged)
	}
	if s.Name != name {
		return nil, fmt.Errorf("%w: %q", ErrForeign, s.Name)
	}
	for len(r.b) > 0 {
		kind, part := r.u16(), decoder{}
		part.b = r.take(int(r.u32()))
		if r.invalid || !s.read(kind, &part) {
			return nil, fmt.Errorf("%w: invalid section %d", ErrDamaged, kind)
		}
	}
	return s, nil
}

// read decodes one section and reports whether it is valid.
func (s *State) read(kind uint16, r *decoder) bool {
	switch kind {
	case sectionTaken:
		s.Taken = Moment{Wall: time.Unix(0, int64(r.u64())), Up: time.Duration(r.u64()), Boot: r.text()}
		s.Clean = r.bool()
	case sectionJSONList:
		if json.Unmarshal(r.b, &s.List) != nil || s.List != nil && s.List.Invalid > 0 {
			return false
		}
		return true
	case sectionBinaryList:
		var err error
		s.List, err = roster.ParseBinary(r.b)
		return err == nil
	case sectionCurrent:
		s.Current = r.generation()
	case sectionBefore:
		s.Previous = r.generation()
	case sectionRolledBack:
		s.RolledBackDigest = r.text()
	case sectionServers:
		for len(r.b) > 0 && !r.invalid {
			s.Memory.Servers = append(s.Memory.Servers, r.server())
		}
	case sectionTokens:
		s.Memory.Tokens = make(map[uint64]float64, len(r.b)/16)
		for len(r.b) > 0 && !r.invalid {
			key, v := r.u64(), r.f64()
			if !(v >= 0) { // also true for NaN
				return false
			}
			s.Memory.Tokens[key] = v
		}
	default:
		return true
	}
	return !r.invalid && len(r.b) == 0
}

// decoder consumes fields from b. It sets invalid if a field is incomplete or invalid.
type decoder struct {
	b       []byte
	invalid bool
}

func (r *decoder) take(n int) []byte {
	if r.invalid || n < 0 || n > len(r.b) {
		r.invalid, r.b = true, nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *decoder) number(n int) (v uint64) {
	for _, c := range r.take(n) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (r *decoder) u16() uint16  { return uint16(r.number(2)) }
func (r *decoder) u32() uint32  { return uint32(r.number(4)) }
func (r *decoder) u64() uint64  { return r.number(8) }
func (r *decoder) f64() float64 { return math.Float64frombits(r.u64()) }
func (r *decoder) text() string { return string(r.take(int(r.u16()))) }

func (r *decoder) bool() bool {
	v := r.number(1)
	r.invalid = r.invalid || v > 1
	return v == 1
}

func (r *decoder) generation() Generation {
	g := Generation{Number: r.u64(), Time: time.Unix(0, int64(r.u64())), Digest: r.text()}
	g.Raw = bytes.Clone(r.b)
	r.b = nil
	return g
}

func (r *decoder) server() policy.SavedServer {
	m := policy.SavedServer{ID: policy.ServerID(r.u32()), HasStart: r.bool(), Start: time.Duration(r.u64()),
		RelativeLatency: r.f64(), MonitoredLatency: r.f64()}
	for n := r.u16(); n > 0 && !r.invalid; n-- {
		m.Health = append(m.Health, policy.SavedHealth{Class: r.text(), FailureAverage: r.f64(),
			OutOfUseFor: time.Duration(r.u64())})
	}
	return m
}
