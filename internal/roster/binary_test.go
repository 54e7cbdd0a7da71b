package roster

import (
	"math"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

func sampleList() *List {
	l := listOf(40)
	l.Rev = 1 << 40
	l.Targets[1].State = "DRAINING"
	l.Targets[2].Endpoint = "[2001:db8::1%eth0]:443"
	l.Targets[4].Endpoint = "[fe80::1%" + strings.Repeat("e", 300) + "]:443"
	l.Targets[3].Cell, l.Targets[3].BootMS = -5, 1.5e12
	return l
}

// A List and a Directory encode to binary data that decodes to the same list.
func TestBinaryRoundTrip(t *testing.T) {
	want := sampleList()
	b, err := want.AppendBinary(nil)
	if err != nil {
		t.Fatal(err)
	}
	d, e := NewDirectory(), Encoded{}
	if d.Encode(&e); len(e.Bytes) != 0 {
		t.Errorf("%d bytes before there is a list", len(e.Bytes))
	}
	d.Update(want, true, time.Second, ignoreEnded)
	d.Encode(&e)
	for name, b := range map[string][]byte{"list": b, "directory": e.Bytes} {
		if got, err := ParseBinary(b); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", name, err, got, want)
		}
	}
	if size := len(b) / len(want.Targets); size > 72 { // one has a long address
		t.Errorf("%d bytes a line", size)
	}
}

// Encode encodes again only after an update, and not while parts of a list are missing.
func TestEncodeFollowsWholeUpdates(t *testing.T) {
	d, e := NewDirectory(), Encoded{}
	revision := func() int64 {
		d.Encode(&e)
		l, err := ParseBinary(e.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		return l.Rev
	}
	d.Update(&List{Rev: 1}, true, 0, ignoreEnded)
	if revision() != 1 {
		t.Error("the first update is not in it")
	}
	e.Bytes[0] = 0x22 // revision 17, to detect a new encoding
	if revision() != 17 {
		t.Error("encoded again without an update")
	}
	d.SetPartial(true)
	d.Update(&List{Rev: 2}, false, 0, ignoreEnded)
	if revision() != 17 {
		t.Error("a partial list was encoded")
	}
	d.SetPartial(false)
	if revision() != 2 {
		t.Error("the second update is not in it")
	}
}

// ParseBinary rejects truncated data and invalid lines. It replaces invalid numbers by 0.
func TestParseBinaryRejects(t *testing.T) {
	one := &List{Rev: 3, Targets: listOf(1).Targets}
	b, _ := one.AppendBinary(nil)
	for n := range b {
		if l, err := ParseBinary(b[:n]); err == nil && len(l.Targets) > 0 {
			t.Errorf("cut at %d: %+v", n, l)
		}
	}
	for why, change := range map[string]func(*Entry){
		"no uid":     func(e *Entry) { e.UID = "" },
		"no address": func(e *Entry) { e.Addr = Entry{}.Addr },
		"state":      func(e *Entry) { e.State = 2 },
	} {
		d, e := NewDirectory(), Encoded{}
		d.Update(one, true, 0, ignoreEnded)
		change(&d.entries[0])
		d.Encode(&e)
		if _, err := ParseBinary(e.Bytes); err == nil {
			t.Errorf("%s: accepted", why)
		}
	}
	d, e := NewDirectory(), Encoded{}
	d.Update(one, true, 0, ignoreEnded)
	d.entries[0].Weight = math.NaN()
	d.Encode(&e)
	if l, err := ParseBinary(e.Bytes); err != nil || l.Targets[0].Weight != 0 {
		t.Errorf("%+v, %v: an invalid number was not replaced by 0", l, err)
	}
}

// Any bytes are rejected or decode to a list that survives another round trip.
func FuzzParseBinary(f *testing.F) {
	b, _ := sampleList().AppendBinary(nil)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := ParseBinary(b)
		if err != nil {
			return
		}
		encoded, err := l.AppendBinary(nil)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := ParseBinary(encoded); err != nil || !reflect.DeepEqual(decoded, l) {
			t.Fatalf("%v\n got %+v\nwant %+v", err, decoded, l)
		}
	})
}

// Encode yields the lock in between, so updates run concurrently. Its result must still be
// the list after exactly one of the updates.
func TestEncodeWithConcurrentUpdates(t *testing.T) {
	const size = 3 * encodeYieldEvery
	d, e := NewDirectory(), Encoded{}
	d.Update(listOf(size), true, 0, ignoreEnded)
	var changes sync.WaitGroup
	changes.Go(func() {
		for round := range 200 {
			first, last := listOf(1).Targets[0], listOf(1).Targets[0]
			last.UID = "s-00000c00" // the last
			first.Weight, last.Weight = float64(round), float64(round)
			d.Update(&List{Rev: int64(round), Targets: []Target{first, last}}, false, 0, ignoreEnded)
		}
	})
	for range 50 {
		d.Encode(&e)
		l, err := ParseBinary(e.Bytes)
		if err != nil || len(l.Targets) != size || l.Targets[0].Weight != l.Targets[size-1].Weight {
			t.Fatalf("%v: %d lines, %+v", err, len(l.Targets), l.Targets[0])
		}
	}
	changes.Wait()
}
