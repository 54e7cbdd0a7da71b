package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/policy"
)

// Limits bounds a list while it is decoded.
type Limits struct {
	Bytes  int64        // of JSON text
	Lines  int          // valid lines
	Memory *memory.Pool // for the decoded lines of all lists at the same time; nil: no limit
}

const (
	// Limits of a list's JSON text.
	memoryDivisor  = 6         // a list's text may take a sixth of the memory limit
	minBytes       = 4 << 20   // the lower bound for any memory limit
	defaultBytes   = 32 << 20  // without a memory limit
	unlimitedBytes = 1<<63 - 1 // no limit
	maxValueBytes  = 64 << 10  // a line, or the value of another field
	maxBlanks      = 1024      // whitespace bytes in a row; discovery sends none

	// Strings that lines share.
	maxShared      = 256 // distinct strings
	maxSharedBytes = 64  // bytes; longer strings are not shared

	yieldEvery = 32 // lines between two yields to the event loop, which may share the processor
)

// Memory of decoded lines, in bytes.
const (
	typicalStrings = 64 // total length of a line's strings that memory.DecodedLineBytes includes
	reserveLines   = 32 // typical lines whose memory is reserved at once
)

// LimitsFor derives the limits from the memory limit of the process in MiB. 0 means that
// there is no memory limit. The limits of one process share the memory for decoded lists.
func LimitsFor(memoryMB int) Limits {
	size := int64(defaultBytes)
	if memoryMB > 0 {
		size = max(minBytes, int64(memoryMB)<<20/memoryDivisor)
	}
	plan := memory.NewPlan(memoryMB)
	lines := plan.MaxServerLines()
	return Limits{Bytes: size, Lines: lines, Memory: memory.NewPool(int64(lines) * memory.DecodedLineBytes)}
}

// Errors of a list as a whole.
var (
	ErrTooLong      = errors.New("the list is too long")
	ErrDuplicateUID = errors.New("duplicate uid")
	errLongValue    = fmt.Errorf("a value of over %d bytes", maxValueBytes)
	errNoMemory     = fmt.Errorf("%w: no memory for further lines", ErrTooLong)
	errNoList       = errors.New("not a JSON object")
	errBlanks       = fmt.Errorf("over %d whitespace bytes in a row", maxBlanks)
)

// limitedReader fails beyond its limit, where io.LimitedReader returns io.EOF. It also
// fails at a long run of whitespace: json.Decoder scans such a run again on each read,
// which takes quadratic time.
//
// It fails at a long value too, since json.Decoder buffers a value as a whole.
type limitedReader struct {
	from      io.Reader
	decoded   func() int64 // the offset up to which the text is decoded
	offset    int64        // the offset up to which it is read
	remaining int64        // bytes
	blanks    int          // whitespace bytes at the end of what was read
	err       error        // returned by all further reads
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.err == nil && r.offset-r.decoded() > maxValueBytes {
		r.err = errLongValue
	}
	if r.err == nil && r.remaining <= 0 {
		r.err = r.checkEnd()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	r.offset += int64(n)
	for _, c := range b[:n] {
		if c > ' ' {
			r.blanks = 0
		} else if r.blanks++; r.blanks > maxBlanks {
			r.err = errBlanks
			return 0, r.err
		}
	}
	return n, err
}

// checkEnd returns ErrTooLong if the text continues beyond the limit, and io.EOF if not.
func (r *limitedReader) checkEnd() error {
	var one [1]byte
	if n, err := io.ReadFull(r.from, one[:]); n == 0 {
		return err
	}
	return ErrTooLong
}

// Decode reads one list from a stream of JSON text. Besides the decoded lines it holds
// the text of a single line in memory. It counts and drops invalid lines.
//
// Decode fails if the list is incomplete, exceeds the limits, or has lines that are all
// invalid. The error names the line, if there is one.
//
// The list's memory is reserved from the pool of the limits. The caller releases
// List.Reserved bytes once it no longer needs the list.
func Decode(from io.Reader, limits Limits) (*List, error) {
	reader := &limitedReader{from: from, remaining: limits.Bytes}
	d := decoder{json: json.NewDecoder(reader), maxLines: limits.Lines, memory: limits.Memory,
		pool: stringPool{}, lastLine: map[policy.ServerID]int32{}, list: List{Targets: []Target{}}}
	reader.decoded = d.json.InputOffset
	l, err := d.decode()
	if err != nil {
		d.memory.Release(d.list.Reserved)
	}
	return l, err
}

// decode decodes the whole text.
func (d *decoder) decode() (*List, error) {
	if err := d.object(); err != nil {
		return nil, noEarlyEOF(err)
	}
	if _, err := d.json.Token(); err != io.EOF {
		if err == nil {
			err = errors.New("data after the list")
		}
		return nil, err
	}
	if l := &d.list; l.Invalid > 0 && len(l.Targets) == 0 {
		return nil, fmt.Errorf("none of %d lines is valid; %w", l.Invalid, l.InvalidErr)
	}
	return &d.list, nil
}

// noEarlyEOF replaces an early io.EOF, since callers treat io.EOF as the normal end.
func noEarlyEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("the list is truncated: %v", err)
	}
	return err
}

// decoder decodes a list from JSON text.
type decoder struct {
	json     *json.Decoder
	maxLines int // limit of valid lines
	memory   *memory.Pool
	used     int // bytes of the reserved memory
	pool     stringPool
	lastLine map[policy.ServerID]int32 // index in list.Targets of the ID's last line
	hasLines bool                      // the field targets was read
	list     List
}

// object decodes the outermost object.
func (d *decoder) object() error {
	if err := d.delim('{', errNoList); err != nil {
		return err
	}
	for d.json.More() {
		name, err := d.json.Token()
		if err != nil {
			return err
		}
		switch name {
		case "rev":
			err = d.json.Decode(&d.list.Rev)
		case "all":
			err = d.json.Decode(&d.list.All)
		case "targets":
			err = d.lines()
		default:
			err = d.skip()
		}
		if err != nil {
			return fmt.Errorf("%v: %w", name, err)
		}
	}
	_, err := d.json.Token()
	return err
}

// delim reads one token and returns wrong if it isn't the wanted delimiter.
func (d *decoder) delim(want json.Delim, wrong error) error {
	switch got, err := d.json.Token(); {
	case err != nil:
		return err
	case got != want:
		return wrong
	}
	return nil
}

// skip discards a value of any kind without storing it.
func (d *decoder) skip() error {
	for depth := 0; ; {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// lines decodes the array of lines. A null is an empty array.
func (d *decoder) lines() error {
	if d.hasLines {
		return errors.New("duplicate field")
	}
	d.hasLines = true
	switch token, err := d.json.Token(); {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return errors.New("not an array")
	}
	i := 0
	for ; d.json.More(); i++ {
		yieldEach(i)
		if err := d.line(i); err != nil {
			return fmt.Errorf("line %d: %w", i, err)
		}
	}
	if _, err := d.json.Token(); err != nil {
		return fmt.Errorf("line %d: %w", i, err)
	}
	return nil
}

// line decodes one line. It returns an error only if the rest of the list can't be read.
func (d *decoder) line(i int) error {
	l := &d.list
	var next decodedLine
	if err := d.json.Decode(&next); err != nil {
		return err
	}
	if next.err == nil {
		next.err = d.checkUID(i, next.target.UID)
	}
	if next.err != nil {
		if l.Invalid++; l.Invalid == 1 {
			l.InvalidErr = fmt.Errorf("targets[%d]: %w", i, next.err)
		}
		return nil
	}
	if len(l.Targets) == d.maxLines {
		return fmt.Errorf("%w: over %d lines", ErrTooLong, d.maxLines)
	}
	t := next.target
	if !d.reserve(&t) {
		return errNoMemory
	}
	t.Zone, t.State = d.pool.intern(t.Zone), d.pool.intern(t.State)
	l.Targets = append(l.Targets, t)
	return nil
}

// reserve reserves memory for a line, and reports whether there is any.
func (d *decoder) reserve(t *Target) bool {
	if d.memory == nil {
		return true
	}
	strings := len(t.UID) + len(t.Endpoint) + len(t.Zone)
	d.used += memory.DecodedLineBytes + max(0, strings-typicalStrings)
	missing := d.used - d.list.Reserved
	if missing <= 0 {
		return true
	}
	for _, size := range []int{max(missing, reserveLines*memory.DecodedLineBytes), missing} {
		if d.memory.TryReserve(size) {
			d.list.Reserved += size
			return true
		}
	}
	return false
}

// checkUID records a duplicate uid. It returns an error for a line whose ID belongs to
// another uid, since messages between edge nodes refer to servers by their IDs.
func (d *decoder) checkUID(i int, uid string) error {
	l, id := &d.list, ID(uid)
	if before, have := d.lastLine[id]; have {
		if other := l.Targets[before].UID; other != uid {
			return fmt.Errorf("uid: %.80q and %.80q have the same ID", uid, other)
		}
		if l.DuplicateErr == nil {
			l.DuplicateErr = fmt.Errorf("targets[%d]: %w: %.80q", i, ErrDuplicateUID, uid)
		}
	}
	d.lastLine[id] = int32(len(l.Targets))
	return nil
}

// stringPool deduplicates repeated strings in bounded memory.
type stringPool map[string]string

func (w stringPool) intern(s string) string {
	if shared, ok := w[s]; ok {
		return shared
	}
	if len(w) < maxShared && len(s) <= maxSharedBytes {
		w[s] = s
	}
	return s
}

// decodedLine is a line, or the reason why it is invalid.
type decodedLine struct {
	target Target
	err    error
}

// UnmarshalJSON always returns nil, so that an invalid line doesn't end the decoding of
// the list.
func (l *decodedLine) UnmarshalJSON(raw []byte) error {
	if hasPlainNames(raw) {
		type plain Target // without methods
		if json.Unmarshal(raw, (*plain)(&l.target)) == nil {
			l.err = l.target.validate()
			return nil
		}
		l.target = Target{} // decode returns an error that names the field
	}
	l.err = l.target.decode(raw)
	return nil
}

// lineFields lists the fields of a line.
var lineFields = []string{"uid", "endpoint", "az", "pod_group", "state", "capacity_hint", "boot_ms"}

// hasPlainNames reports whether the faster decoding into a struct gives the same result as
// decoding by exact names. That holds if all names of the valid JSON object are
// lower-case ASCII, so that none differs from a line's field in case alone, and no field
// of a line is a duplicate.
func hasPlainNames(raw []byte) bool {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] != '{' {
		return false
	}
	var seen [16]bool
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			end := stringEnd(raw, i)
			if name := raw[i+1 : end]; depth == 1 && isFieldName(raw[end+1:]) {
				at := slices.Index(lineFields, string(name))
				if !lowerCase(name) || at >= 0 && seen[at] {
					return false
				}
				if at >= 0 {
					seen[at] = true
				}
			}
			i = end
		}
	}
	return true
}

// stringEnd returns the index of the closing quote of the string that begins at i.
func stringEnd(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return min(i, len(raw)-1)
}

// isFieldName reports whether a string that is followed by rest is the name of a field.
func isFieldName(rest []byte) bool {
	rest = bytes.TrimLeft(rest, " \t\r\n")
	return len(rest) > 0 && rest[0] == ':'
}

func lowerCase(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' {
			return false
		}
	}
	return true
}
