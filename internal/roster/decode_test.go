package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"valvering.example/valvering/internal/memory"
)

// endless repeats a text forever and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(b []byte) (int, error) {
	n := copy(b, e.text[e.read%len(e.text):])
	e.read += n
	return n, nil
}

func lineOf(i int) string {
	return strings.Replace(validLine, "s-00000001", fmt.Sprintf("s-%08x", i), 1)
}

// Decode rejects incomplete and oversize lists, and the error names the place if there is
// one.
func TestDecodeRejects(t *testing.T) {
	limits := Limits{Bytes: 2000, Lines: 5}
	var six []string
	for i := range 6 {
		six = append(six, lineOf(i))
	}
	for why, c := range map[string]struct{ text, place string }{
		"empty":             {``, "truncated"},
		"null":              {`null`, "not a JSON object"},
		"cut in a line":     {`{"targets":[` + lineOf(1) + `,` + lineOf(2)[:40], "targets: line 1"},
		"cut behind a line": {`{"targets":[` + lineOf(1) + `,`, "targets: line 1"},
		"cut behind all":    {`{"targets":[` + lineOf(1) + `]`, "truncated"},
		"more behind it":    {`{"targets":[` + lineOf(1) + `]} {}`, "data after the list"},
		"no JSON":           {`{"targets":[` + lineOf(1) + `,x]}`, "targets: line 1"},
		"lines twice":       {`{"targets":[` + lineOf(1) + `],"targets":[]}`, "targets: duplicate field"},
		"too many lines":    {`{"targets":[` + strings.Join(six, ",") + `]}`, "targets: line 5"},
		"blanks":            {`{"targets":[` + strings.Repeat(" ", maxBlanks+1) + lineOf(1) + `]}`, "whitespace bytes"},
		"too many bytes":    {`{"other":"` + strings.Repeat("x", 2000) + `","targets":[` + lineOf(1) + `]}`, "too long"},
	} {
		l, err := Decode(strings.NewReader(c.text), limits)
		if err == nil || !strings.Contains(err.Error(), c.place) || l != nil {
			t.Errorf("%s: %v, want it to name %q", why, err, c.place)
		}
	}
	if l, err := Decode(strings.NewReader(`{"rev":2,"targets":[`+strings.Join(six[:5], ",")+`]}`), limits); err != nil || len(l.Targets) != 5 {
		t.Errorf("%+v, %v: a list at the limit was rejected", l, err)
	}
}

// Decode reads endless input up to the limit and no further.
func TestDecodeEndless(t *testing.T) {
	limits := Limits{Bytes: 100000, Lines: 1 << 20}
	for _, text := range []string{validLine + ",", " ", "[", `"x":1,`, "x", `{"uid":`, "7,"} {
		e := &endless{text: text}
		for _, before := range []string{`{"targets":[`, `{"targets":[{"uid":"`, `{`, `{"more":`, `{"more":"`} {
			_, err := Decode(io.MultiReader(strings.NewReader(before), e), limits)
			if err == nil || int64(e.read) > limits.Bytes+1 {
				t.Errorf("%s%s...: %v, %d bytes read", before, text, err, e.read)
			}
			e.read = 0
		}
	}
}

// Decode reports the place of a duplicate uid. It drops a line whose ID collides with that
// of another uid.
func TestDecodeDuplicateUID(t *testing.T) {
	l, err := Decode(strings.NewReader(`{"targets":[`+lineOf(1)+`,{},`+lineOf(2)+`,`+lineOf(1)+`]}`),
		LimitsFor(0))
	if err != nil || !errors.Is(l.DuplicateErr, ErrDuplicateUID) || !strings.HasPrefix(l.DuplicateErr.Error(), "targets[3]: ") || l.Invalid != 1 {
		t.Errorf("%+v, %v", l, err)
	}
	other := fmt.Sprintf("s-%08X", 0xabcdef01) // the same number in upper case
	lines := strings.Replace(validLine, "s-00000001", "s-abcdef01", 1) + "," +
		strings.Replace(validLine, "s-00000001", other, 1)
	l, err = Decode(strings.NewReader(`{"targets":[`+lines+`]}`), LimitsFor(0))
	if err != nil || l.DuplicateErr != nil || len(l.Targets) != 1 || l.Invalid != 1 || !strings.HasPrefix(l.InvalidErr.Error(), "targets[1]: uid: ") {
		t.Errorf("%+v, %v", l, err)
	}
}

// Repeated strings share memory, and the table of shared strings is bounded.
func TestDecodeSharesStrings(t *testing.T) {
	var lines []string
	for i := range 2 * maxShared {
		zone := "zone-1"
		if i >= 2 {
			zone = fmt.Sprint("zone-", i)
		}
		lines = append(lines, strings.Replace(lineOf(i), `"a"`, `"`+zone+`"`, 1))
	}
	l, err := Decode(strings.NewReader(`{"targets":[`+strings.Join(lines, ",")+`]}`), LimitsFor(0))
	if err != nil {
		t.Fatal(err)
	}
	a, b := l.Targets[0], l.Targets[1]
	if unsafe.StringData(a.Zone) != unsafe.StringData(b.Zone) || unsafe.StringData(a.State) != unsafe.StringData(b.State) {
		t.Error("equal zones or states don't share memory")
	}
	w := stringPool{}
	for i := range 2 * maxShared {
		w.intern(fmt.Sprint(i))
	}
	w.intern(strings.Repeat("x", maxSharedBytes+1))
	if len(w) != maxShared {
		t.Errorf("%d strings in the table", len(w))
	}
}

// The limits are proportional to the memory limit, with a minimum.
func TestLimitsFor(t *testing.T) {
	for limit, want := range map[int]int64{0: defaultBytes, 1: minBytes, 192: 32 << 20,
		1 << 24: 1 << 44 / memoryDivisor} {
		l, plan := LimitsFor(limit), memory.NewPlan(limit)
		if l.Bytes != want || l.Lines < 1 || int64(l.Lines)*memory.ServerLineBytes > plan.ServerListBytes ||
			l.Memory.Usage().Limit > plan.ServerListBytes {
			t.Errorf("%d MiB: %+v", limit, l)
		}
	}
}

// Both ways to decode a line give the same result for any text.
func FuzzLine(f *testing.F) {
	for _, text := range []string{validLine, `{}`, `null`, `7`, `{"uid":"a","UID":"b","state":"DELETED"}`,
		`{"uid":"a","uid":null,"state":"DELETED"}`,
		`{"uid":"a","more":{"uid":"b","x":["}\""]},"state":"DELETED"}`, `{"u\u0069d":"a","state":"DELETED"}`, `{"uid":"a\\","state":"DELETED","\u017ftate":"x"}`,
		` { "uid" : "s-1" , "state" : "DELETED" , "weight" : -1e400 }`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !json.Valid(raw) {
			return
		}
		var quick decodedLine
		if err := json.Unmarshal(raw, &quick); err != nil {
			t.Fatal(err)
		}
		var exact Target
		err := exact.decode(raw)
		if (err == nil) != (quick.err == nil) || err == nil && !reflect.DeepEqual(exact, quick.target) {
			t.Fatalf("%+v, %v; by exact names %+v, %v", quick.target, quick.err, exact, err)
		}
	})
}

// BenchmarkDecode decodes a list of 56,000 servers.
func BenchmarkDecode(b *testing.B) {
	var text strings.Builder
	text.WriteString(`{"rev":1,"all":true,"targets":[`)
	for i := range 56000 {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(lineOf(i))
	}
	text.WriteString(`]}`)
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if l, err := Decode(strings.NewReader(text.String()), LimitsFor(192)); err != nil || len(l.Targets) != 56000 {
			b.Fatal(err)
		}
	}
}

// Guards against one long value, or many lists at the same time, that take more memory than a list may.
func TestDecodeMemoryIsBounded(t *testing.T) {
	long := strings.Repeat("x", 2*maxValueBytes)
	for _, text := range []string{`{"targets":[{"uid":"` + long + `"}]}`, `{"more":"` + long + `","targets":[]}`,
		`{"targets":[` + strings.Replace(validLine, `"a"`, `"a","more":"`+long+`"`, 1) + `]}`} {
		if _, err := Decode(strings.NewReader(text), LimitsFor(192)); !errors.Is(err, errLongValue) {
			t.Errorf("%.40s...: %v", text, err)
		}
	}
	var lines []string
	for i := range 1000 {
		lines = append(lines, lineOf(i))
	}
	text := `{"targets":[` + strings.Join(lines, ",") + `]}`
	limits := Limits{Bytes: 1 << 20, Lines: 1000, Memory: memory.NewPool(1500 * memory.DecodedLineBytes)}
	first, err := Decode(strings.NewReader(text), limits)
	if err != nil || limits.Memory.Usage().Reserved != int64(first.Reserved) || first.Reserved < 1000*memory.DecodedLineBytes {
		t.Fatalf("%v, %+v", err, limits.Memory.Usage())
	}
	if _, err := Decode(strings.NewReader(text), limits); !errors.Is(err, ErrTooLong) {
		t.Errorf("a second list at the same time: %v", err)
	}
	if limits.Memory.Usage().Reserved != int64(first.Reserved) {
		t.Errorf("a failed list leaves a reservation: %+v", limits.Memory.Usage())
	}
	limits.Memory.Release(first.Reserved)
	if _, err := Decode(strings.NewReader(text), limits); err != nil {
		t.Errorf("after the first list was released: %v", err)
	}
}

// A line with an overlong text field is invalid, and its error names the field.
func TestDecodeLongFields(t *testing.T) {
	long := strings.Repeat("x", maxTextBytes+1)
	for field, line := range map[string]string{
		"uid":      strings.Replace(validLine, "s-00000001", long, 1),
		"az":       strings.Replace(validLine, `"az":"a"`, `"az":"`+long+`"`, 1),
		"endpoint": strings.Replace(validLine, `"endpoint":"`, `"endpoint":"`+long, 1),
	} {
		l, err := Decode(strings.NewReader(`{"targets":[`+line+`,`+lineOf(7)+`]}`), LimitsFor(0))
		if err != nil || len(l.Targets) != 1 || l.Invalid != 1 || !strings.HasPrefix(l.InvalidErr.Error(), "targets[0]: "+field+": ") {
			t.Errorf("%s: %+v, %v", field, l, err)
		}
	}
}
