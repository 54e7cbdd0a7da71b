package roster

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"runtime"
	"slices"

	"valvering.example/valvering/policy"
)

// Snapshots store a complete list in a binary format: the revision, then the lines.
// Values of variable length follow their length.

// minBinaryLine is the size in bytes of a line whose strings are empty: lengths, state,
// cell and two numbers.
const minBinaryLine = 22

// errTruncated is returned for a binary list that ends inside a line.
var errTruncated = errors.New("the list is truncated")

// AppendBinary appends the binary format of a complete list, without removed servers.
func (l *List) AppendBinary(b []byte) ([]byte, error) {
	b = binary.AppendVarint(b, l.Rev)
	for i := range l.Targets {
		t := &l.Targets[i]
		if t.State == Removed {
			continue
		}
		addr, err := netip.ParseAddrPort(t.Endpoint)
		if err != nil {
			return nil, fmt.Errorf("targets[%d]: endpoint: %w", i, err)
		}
		e := Entry{UID: t.UID, Zone: t.Zone, Addr: addr, BootMS: t.BootMS, Weight: t.Weight, Cell: t.Cell,
			State: t.PolicyState()}
		b = e.appendBinary(b)
	}
	return b, nil
}

func (e *Entry) appendBinary(b []byte) []byte {
	b = appendText(b, e.UID)
	b = appendText(b, e.Zone)
	b = appendAddr(b, e.Addr)
	b = binary.AppendVarint(b, int64(e.Cell))
	b = append(b, byte(e.State))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(e.Weight))
	return binary.BigEndian.AppendUint64(b, math.Float64bits(e.BootMS))
}

// appendAddr appends an address after its length. The length takes one byte, except for
// an IPv6 address with a very long interface name.
func appendAddr(b []byte, addr netip.AddrPort) []byte {
	const oneByte = 1 << 7
	length := len(b)
	b, _ = addr.AppendBinary(append(b, 0)) // never returns an error
	if n := len(b) - length - 1; n < oneByte {
		b[length] = byte(n)
		return b
	}
	long, _ := addr.MarshalBinary()
	return append(binary.AppendUvarint(b[:length], uint64(len(long))), long...)
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Encoded is the binary format of a Directory after one of its updates.
type Encoded struct {
	Bytes  []byte // empty before the first update
	update uint64 // number of the update
	spare  []byte // buffer for the next encoding
}

const (
	encodeYieldEvery = 1024 // entries between two releases of the read lock
	encodeTries      = 4    // attempts; the last one holds the lock throughout
)

// Encode brings e up to date and reuses its buffers. It leaves e unchanged while parts
// of a list are still to come.
func (d *Directory) Encode(e *Encoded) {
	for try := 1; !d.encode(e, try < encodeTries); try++ {
	}
}

// encode returns false if it must run again because the directory was updated while its
// lock was released. With yielding set, it releases the lock from time to time. It leaves
// e unchanged and returns true if parts of a list are still to come.
func (d *Directory) encode(e *Encoded, yielding bool) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	update := d.updates
	if d.partial || e.update == update {
		return true
	}
	b := binary.AppendVarint(e.spare[:0], d.rev)
	for i := range d.entries {
		if yielding && i%encodeYieldEvery == encodeYieldEvery-1 && d.yield(update) {
			return d.partial
		}
		if s := &d.entries[i]; s.Incarnation > 0 {
			b = s.appendBinary(b)
		}
	}
	e.update, e.Bytes, e.spare = update, b, e.Bytes
	return true
}

// yield releases the caller's read lock for a moment and reports whether the directory
// was updated meanwhile.
func (d *Directory) yield(update uint64) (changed bool) {
	d.mu.RUnlock()
	runtime.Gosched()
	d.mu.RLock()
	return d.updates != update
}

// SetPartial records whether parts of a list are still to come.
func (d *Directory) SetPartial(partial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partial = partial
}

// ParseBinary decodes the binary format and sorts the lines by uid. It fails if any line
// is invalid, and uses memory in proportion to len(b).
func ParseBinary(b []byte) (*List, error) {
	r := binaryReader{b: b}
	l := &List{Rev: r.varint(), All: true, Targets: make([]Target, 0, len(b)/(2*minBinaryLine))}
	w := stringPool{}
	for len(r.b) > 0 && !r.truncated {
		t := Target{UID: string(r.sized()), Zone: w.intern(string(r.sized()))}
		var addr netip.AddrPort
		if err := addr.UnmarshalBinary(r.sized()); err != nil && !r.truncated {
			return nil, fmt.Errorf("targets[%d]: endpoint: %w", len(l.Targets), err)
		}
		t.Endpoint, t.Cell, t.State = addr.String(), int(r.varint()), r.state()
		t.Weight, t.BootMS = r.number(), r.number()
		if r.truncated {
			break
		}
		if err := t.validate(); err != nil {
			return nil, fmt.Errorf("targets[%d]: %w", len(l.Targets), err)
		}
		l.Targets = append(l.Targets, t)
	}
	if r.truncated {
		return nil, errTruncated
	}
	slices.SortFunc(l.Targets, func(a, b Target) int { return cmp.Compare(a.UID, b.UID) })
	return l, nil
}

// binaryReader consumes values from b. It sets truncated if a value is incomplete.
type binaryReader struct {
	b         []byte
	truncated bool
}

func (r *binaryReader) fixed(n uint64) []byte {
	if r.truncated || n > uint64(len(r.b)) {
		r.truncated, r.b = true, nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

// sized consumes a length and as many bytes.
func (r *binaryReader) sized() []byte {
	length, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.truncated = true
	}
	r.fixed(uint64(max(n, 0)))
	return r.fixed(length)
}

func (r *binaryReader) varint() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.truncated = true
	}
	r.fixed(uint64(max(n, 0)))
	return v
}

func (r *binaryReader) number() float64 {
	b := r.fixed(8)
	if r.truncated {
		return 0
	}
	return math.Float64frombits(binary.BigEndian.Uint64(b))
}

// state returns discovery's name of a state, or "" if it is unknown.
func (r *binaryReader) state() string {
	b := r.fixed(1)
	if r.truncated {
		return ""
	}
	for name, state := range statesByName {
		if state == policy.State(b[0]) && state != policy.Removed {
			return name
		}
	}
	return ""
}
