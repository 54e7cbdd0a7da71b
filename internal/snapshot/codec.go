// Package snapshot keeps on disk what an edge node should know after a crash, a
// power loss or a planned stop.
//
// Encode and Decode turn a State into a file and back. Store writes files so that
// a start finds the newest or the one before it whole, whatever happens in
// between; it holds a lock, since a directory has one writer. Writer keeps the
// disk away from whoever hands states over: it takes the newest and drops those
// it has no time for, and failures are counted and logged, never waited for.
//
// What a file holds is untrusted. Decode gives a whole State or a plain error, in
// memory bounded by the size of the file, and a file of at most mostFile bytes is
// read.
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

// State is what is kept of an edge node.
type State struct {
	Name        string
	Incarnation uint64 // counts the starts of the edge node on this directory
	Sequence    uint64 // counts the snapshots
	Taken       Moment
	Clean       bool // the edge node let in nothing after it was taken
	List        *roster.List
	Lines       func() []byte // in place of List: its binary form as it is when the state is written; empty: none
	Current     Generation
	Before      Generation // empty: none
	Left        string     // digest of the configuration that was rolled back from
	Memory      policy.Memory
}

// Generation is a configuration file that was in force.
type Generation = config.Kept

// What is wrong with a file.
var (
	ErrDamaged = errors.New("damaged")
	ErrNewer   = errors.New("of a newer format")
	ErrForeign = errors.New("another edge node's")
)

const (
	magic    = "valvsnap"
	version  = 1
	mostFile = 64 << 20 // 56,000 servers take 3 MB of list and as much of judgements
	mostName = 255
	trailer  = 4 // CRC-32C
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sections of the file. A reader passes over kinds that it does not know.
const (
	sectionTaken = iota + 1
	sectionList  // as JSON; by earlier programs
	sectionCurrent
	sectionBefore
	sectionLeft
	sectionServers
	sectionStores
	sectionLines // the list in its binary form
)

// Encode writes a file: magic, version, name, incarnation, sequence, length,
// sections, CRC-32C of all that.
func Encode(s *State) ([]byte, error) {
	if len(s.Name) > mostName {
		return nil, fmt.Errorf("a name of %d bytes", len(s.Name))
	}
	lines, err := s.lines()
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	w := writer{b: append(make([]byte, 0, 1<<16+len(lines)+len(s.Current.Raw)+len(s.Before.Raw)), magic...)}
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
			w.section(sectionLines, func() { w.b = append(w.b, lines...) })
		}
		w.section(sectionCurrent, func() { w.generation(&s.Current) })
		if s.Before.Number > 0 {
			w.section(sectionBefore, func() { w.generation(&s.Before) })
		}
		w.section(sectionLeft, func() { w.text(s.Left) })
		w.section(sectionServers, func() { w.servers(s.Memory.Servers) })
		if s.Memory.Tokens != nil {
			w.section(sectionStores, func() {
				for key, v := range s.Memory.Tokens {
					w.u64(key)
					w.f64(v)
				}
			})
		}
	})
	if len(w.b) > mostFile-trailer {
		return nil, fmt.Errorf("a snapshot of %d bytes", len(w.b))
	}
	return binary.BigEndian.AppendUint32(w.b, crc32.Checksum(w.b, castagnoli)), nil
}

// lines is the list in its binary form.
func (s *State) lines() ([]byte, error) {
	switch {
	case s.Lines != nil:
		return s.Lines(), nil
	case s.List != nil:
		return s.List.AppendBinary(nil)
	}
	return nil, nil
}

// writer appends fields.
type writer struct{ b []byte }

func (w *writer) u16(v uint16)  { w.b = binary.BigEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32)  { w.b = binary.BigEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64)  { w.b = binary.BigEndian.AppendUint64(w.b, v) }
func (w *writer) f64(v float64) { w.u64(math.Float64bits(v)) }
func (w *writer) text(s string) { w.u16(uint16(len(s))); w.b = append(w.b, s...) }
func (w *writer) bool(v bool) {
	if v {
		w.b = append(w.b, 1)
	} else {
		w.b = append(w.b, 0)
	}
}

// sized writes what fill writes, behind its length.
func (w *writer) sized(fill func()) {
	at := len(w.b)
	w.u32(0)
	fill()
	binary.BigEndian.PutUint32(w.b[at:], uint32(len(w.b)-at-4))
}

func (w *writer) section(kind uint16, fill func()) {
	w.u16(kind)
	w.sized(fill)
}

func (w *writer) generation(g *Generation) {
	w.u64(g.Number)
	w.u64(uint64(g.Time.UnixNano()))
	w.text(g.Digest)
	w.b = append(w.b, g.Raw...)
}

func (w *writer) servers(list []policy.ServerMemory) {
	for i := range list {
		k := &list[i]
		w.u32(uint32(k.ID))
		w.bool(k.HasStart)
		w.u64(uint64(k.Start))
		w.f64(k.Slow)
		w.f64(k.Pace)
		w.u16(uint16(len(k.Faults)))
		for _, f := range k.Faults {
			w.text(f.Class)
			w.f64(f.Errs)
			w.u64(uint64(f.Bad))
		}
	}
}

// Decode reads the file of the edge node of this name.
func Decode(b []byte, name string) (*State, error) {
	r := reader{b: b}
	if string(r.take(len(magic))) != magic {
		return nil, fmt.Errorf("%w: it does not begin as a snapshot does", ErrDamaged)
	}
	v := r.u16()
	if r.bad || len(b) < trailer {
		return nil, fmt.Errorf("%w: %d bytes only", ErrDamaged, len(b))
	}
	if v > version {
		return nil, fmt.Errorf("%w: %d", ErrNewer, v) // its end may be told otherwise
	}
	body := b[:len(b)-trailer]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return nil, fmt.Errorf("%w: its check sum is another", ErrDamaged)
	}
	r.b = r.b[:len(r.b)-trailer]
	s := &State{Name: r.text(), Incarnation: r.u64(), Sequence: r.u64()}
	if int(r.u32()) != len(r.b) || r.bad || v != version {
		return nil, fmt.Errorf("%w: its length is another", ErrDamaged)
	}
	if s.Name != name {
		return nil, fmt.Errorf("%w: %q", ErrForeign, s.Name)
	}
	for len(r.b) > 0 {
		kind, part := r.u16(), reader{}
		part.b = r.take(int(r.u32()))
		if r.bad || !s.read(kind, &part) {
			return nil, fmt.Errorf("%w: section %d can't be read", ErrDamaged, kind)
		}
	}
	return s, nil
}

// read takes in one section.
func (s *State) read(kind uint16, r *reader) bool {
	switch kind {
	case sectionTaken:
		s.Taken = Moment{Wall: time.Unix(0, int64(r.u64())), Up: time.Duration(r.u64()), Boot: r.text()}
		s.Clean = r.bool()
	case sectionList:
		if json.Unmarshal(r.b, &s.List) != nil || s.List != nil && s.List.Bad > 0 {
			return false
		}
		return true
	case sectionLines:
		var err error
		s.List, err = roster.ParseBinary(r.b)
		return err == nil
	case sectionCurrent:
		s.Current = r.generation()
	case sectionBefore:
		s.Before = r.generation()
	case sectionLeft:
		s.Left = r.text()
	case sectionServers:
		for len(r.b) > 0 && !r.bad {
			s.Memory.Servers = append(s.Memory.Servers, r.server())
		}
	case sectionStores:
		s.Memory.Tokens = make(map[uint64]float64, len(r.b)/16)
		for len(r.b) > 0 && !r.bad {
			key, v := r.u64(), r.f64()
			if !(v >= 0) { // nor NaN
				return false
			}
			s.Memory.Tokens[key] = v
		}
	default:
		return true
	}
	return !r.bad && len(r.b) == 0
}

// reader takes fields off; bad is set when one is not whole.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n < 0 || n > len(r.b) {
		r.bad, r.b = true, nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) number(n int) (v uint64) {
	for _, c := range r.take(n) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (r *reader) u16() uint16  { return uint16(r.number(2)) }
func (r *reader) u32() uint32  { return uint32(r.number(4)) }
func (r *reader) u64() uint64  { return r.number(8) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }
func (r *reader) text() string { return string(r.take(int(r.u16()))) }

func (r *reader) bool() bool {
	v := r.number(1)
	r.bad = r.bad || v > 1
	return v == 1
}

func (r *reader) generation() Generation {
	g := Generation{Number: r.u64(), Time: time.Unix(0, int64(r.u64())), Digest: r.text()}
	g.Raw = bytes.Clone(r.b)
	r.b = nil
	return g
}

func (r *reader) server() policy.ServerMemory {
	k := policy.ServerMemory{ID: policy.ServerID(r.u32()), HasStart: r.bool(), Start: time.Duration(r.u64()),
		Slow: r.f64(), Pace: r.f64()}
	for n := r.u16(); n > 0 && !r.bad; n-- {
		k.Faults = append(k.Faults, policy.FaultMemory{Class: r.text(), Errs: r.f64(), Bad: time.Duration(r.u64())})
	}
	return k
}
