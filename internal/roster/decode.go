package roster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"valvering.example/valvering/policy"
)

// Limits bound a list while it is decoded.
type Limits struct {
	Bytes int64 // of its JSON text
	Lines int   // that can be used
}

const (
	listPart     = 6         // a list's text may take this fraction of the memory limit
	leastBytes   = 4 << 20   // whatever the memory limit
	defaultBytes = 32 << 20  // where there is no memory limit
	bytesPerLine = 160       // of text, in a list of ordinary lines
	yieldEvery   = 32        // lines; the event loop shares the processor with the decoder
	mostWords    = 256       // distinct zones that are shared between lines
	mostWordSize = 64        // bytes; longer ones are not shared
	mostBlanks   = 1024      // between two tokens; discovery writes none
	noBytes      = 1<<63 - 1 // as a limit: none
)

// LimitsFor bounds lists by the memory limit of the process in MiB; 0: it has none.
func LimitsFor(memoryMB int) Limits {
	size := int64(defaultBytes)
	if memoryMB > 0 {
		size = max(leastBytes, int64(memoryMB)<<20/listPart)
	}
	return Limits{Bytes: size, Lines: int(min(size/bytesPerLine, math.MaxInt32))}
}

// What is wrong with a list as a whole.
var (
	ErrTooLong = errors.New("the list is too long")
	ErrTwice   = errors.New("a uid is there twice")
	errNoList  = errors.New("not a JSON object")
	errBlanks  = fmt.Errorf("over %d blank bytes in a row", mostBlanks)
)

// limitedReader fails behind the limit, where io.LimitedReader ends, and at a long run
// of blank bytes: json.Decoder looks at such a run anew with each read, so that the time
// it takes would grow with the run's square.
type limitedReader struct {
	from   io.Reader
	left   int64
	blanks int   // so many came last
	err    error // that ended it
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.err == nil && r.left <= 0 {
		r.err = r.end()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	for _, c := range b[:n] {
		if c > ' ' {
			r.blanks = 0
		} else if r.blanks++; r.blanks > mostBlanks {
			r.err = errBlanks
			return 0, r.err
		}
	}
	return n, err
}

// end tells whether the text ends at the limit.
func (r *limitedReader) end() error {
	var one [1]byte
	if n, err := io.ReadFull(r.from, one[:]); n == 0 {
		return err
	}
	return ErrTooLong
}

// Decode reads one list from its JSON text as a stream: beside the lines taken only
// one line's text is held. Lines that can't be used are counted and passed over. It fails
// for what is no whole list, for one with lines of which none can be used, and for one
// beyond the limits; the error names the line where there is one.
func Decode(from io.Reader, limits Limits) (*List, error) {
	d := decoder{json: json.NewDecoder(&limitedReader{from: from, left: limits.Bytes}), most: limits.Lines,
		words: words{}, named: map[policy.ServerID]int32{}, list: List{Targets: []Target{}}}
	if err := d.object(); err != nil {
		return nil, whole(err)
	}
	if _, err := d.json.Token(); err != io.EOF {
		if err == nil {
			err = errors.New("more behind it")
		}
		return nil, err
	}
	if l := &d.list; l.Bad > 0 && len(l.Targets) == 0 {
		return nil, fmt.Errorf("none of %d lines can be used; %w", l.Bad, l.BadWhy)
	}
	return &d.list, nil
}

// whole turns an early end into an error: to a reader EOF means that all was read.
func whole(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("the list is cut short: %v", err)
	}
	return err
}

// decoder reads a list's JSON text.
type decoder struct {
	json  *json.Decoder
	most  int
	words words
	named map[policy.ServerID]int32 // the line taken that names it last
	had   bool                      // the lines were there
	list  List
}

// object reads the outermost object.
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

// delim reads one delimiter; what else stands there is wrong.
func (d *decoder) delim(want json.Delim, wrong error) error {
	switch got, err := d.json.Token(); {
	case err != nil:
		return err
	case got != want:
		return wrong
	}
	return nil
}

// skip passes over a value of any kind without holding it.
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

// lines reads the array of lines; null is none.
func (d *decoder) lines() error {
	if d.had {
		return errors.New("there twice")
	}
	d.had = true
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
		pause(i)
		if err := d.line(i); err != nil {
			return fmt.Errorf("line %d: %w", i, err)
		}
	}
	if _, err := d.json.Token(); err != nil {
		return fmt.Errorf("line %d: %w", i, err)
	}
	return nil
}

// line reads one line; it fails where the list can't be read on.
func (d *decoder) line(i int) error {
	l := &d.list
	var next decodedLine
	if err := d.json.Decode(&next); err != nil {
		return err
	}
	if next.err == nil {
		next.err = d.identify(i, next.target.UID)
	}
	if next.err != nil {
		if l.Bad++; l.Bad == 1 {
			l.BadWhy = fmt.Errorf("targets[%d]: %w", i, next.err)
		}
		return nil
	}
	if len(l.Targets) == d.most {
		return fmt.Errorf("%w: over %d lines", ErrTooLong, d.most)
	}
	t := next.target
	t.Zone, t.State = d.words.share(t.Zone), d.words.share(t.State)
	l.Targets = append(l.Targets, t)
	return nil
}

// identify notes a uid that is there twice. A line whose ID is another uid's can't be
// used: messages between edge nodes name servers by their IDs.
func (d *decoder) identify(i int, uid string) error {
	l, id := &d.list, ID(uid)
	if before, have := d.named[id]; have {
		if other := l.Targets[before].UID; other != uid {
			return fmt.Errorf("uid: %.80q and %.80q have the same ID", uid, other)
		}
		if l.Twice == nil {
			l.Twice = fmt.Errorf("targets[%d]: %w: %.80q", i, ErrTwice, uid)
		}
	}
	d.named[id] = int32(len(l.Targets))
	return nil
}

// words shares strings that come often, in bounded memory.
type words map[string]string

func (w words) share(s string) string {
	if shared, ok := w[s]; ok {
		return shared
	}
	if len(w) < mostWords && len(s) <= mostWordSize {
		w[s] = s
	}
	return s
}

// decodedLine is a line, or why it can't be used.
type decodedLine struct {
	target Target
	err    error
}

// UnmarshalJSON never fails: one line must not keep others from being used.
func (l *decodedLine) UnmarshalJSON(raw []byte) error {
	if plainNames(raw) {
		type plain Target // without methods
		if json.Unmarshal(raw, (*plain)(&l.target)) == nil {
			l.err = l.target.check()
			return nil
		}
		l.target = Target{} // the exact decoding names the field
	}
	l.err = l.target.read(raw)
	return nil
}

// lineNames are the fields of a line.
var lineNames = []string{"uid", "endpoint", "az", "pod_group", "state", "capacity_hint", "boot_ms"}

// plainNames tells whether the standard decoder of structs finds the fields of a
// valid JSON object just as fields does: each name is plain lower-case ASCII, so that
// none differs from another's in case alone, and none of a line's is there twice.
func plainNames(raw []byte) bool {
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
			if name := raw[i+1 : end]; depth == 1 && isName(raw[end+1:]) {
				at := slices.Index(lineNames, string(name))
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

// stringEnd finds the closing quote of the string that begins at i.
func stringEnd(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return min(i, len(raw)-1)
}

// isName tells whether a string stood for a name, by what follows it.
func isName(rest []byte) bool {
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
