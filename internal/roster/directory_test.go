package roster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/policy"
)

func listOf(n int) *List {
	l := &List{Rev: 1, All: true}
	for i := range n {
		l.Targets = append(l.Targets, Target{UID: fmt.Sprintf("s-%08x", i+1), Endpoint: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprint("z", i%18), State: "SERVING", Weight: 1})
	}
	return l
}

func ignoreEnded(policy.ServerID) {}

// An update with changes visits one entry for each line, whatever the number of servers.
func TestUpdateVisitsChangedLinesOnly(t *testing.T) {
	for _, size := range []int{200, 2000, 56000} {
		d := NewDirectory()
		d.Update(listOf(size), true, 0, ignoreEnded)
		for _, lines := range []int{1, 100} {
			changed := listOf(size).Targets[:lines]
			for i := range changed {
				changed[i].State = "DRAINING"
			}
			d.visited = 0
			d.Update(&List{Rev: 2, Targets: changed}, false, 0, ignoreEnded)
			if d.visited != lines {
				t.Errorf("%d servers, %d lines: %d entries visited", size, lines, d.visited)
			}
		}
	}
}

// The changes that Difference returns lead to the same directory as the complete list.
// Lines of removed and draining servers come first.
func TestDifferenceYieldsTheList(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 11))
	d, reference, all := NewDirectory(), map[string]Target{}, listOf(300).Targets
	for round := range 60 {
		next := &List{Rev: int64(round), All: true}
		for _, line := range all {
			if rng.IntN(4) == 0 {
				continue
			}
			line.BootMS, line.Weight = float64(rng.IntN(2)), float64(1+rng.IntN(2))
			if line.State = []string{"SERVING", "DRAINING", Removed}[rng.IntN(3)]; rng.IntN(5) == 0 {
				line.Endpoint = "10.9.9.9:1"
			}
			next.Targets = append(next.Targets, line)
		}
		clear(reference)
		for _, line := range next.Targets {
			if line.State != Removed {
				reference[line.UID] = line
			}
		}
		changes := d.Difference(next)
		for i := 1; i < len(changes); i++ {
			if changes[i].PolicyState() > changes[i-1].PolicyState() {
				t.Fatalf("%+v after %+v", changes[i], changes[i-1])
			}
		}
		for len(changes) > 0 {
			part := changes[:min(7, len(changes))]
			d.Update(&List{Rev: int64(round), Targets: part}, false, time.Second, ignoreEnded)
			changes = changes[len(part):]
		}
		if d.Len() != len(reference) {
			t.Fatalf("round %d: %d servers, want %d", round, d.Len(), len(reference))
		}
		for uid, line := range reference {
			e, listed := d.Find(ID(uid))
			got := Target{e.UID, e.Addr.String(), e.Zone, e.Cell, line.State, e.Weight, e.BootMS}
			if !listed || !reflect.DeepEqual(got, line) || e.State != line.PolicyState() {
				t.Fatalf("round %d: %+v, want %+v", round, e, line)
			}
		}
		if len(d.entries) != len(d.index)+len(d.free) || len(d.entries) > 300 {
			t.Fatalf("%d entries for %d servers, %d free", len(d.entries), len(d.index), len(d.free))
		}
	}
}

// Update reports each server whose process ended or drains, and a new process gets a new
// incarnation.
func TestUpdateReportsEndedProcesses(t *testing.T) {
	one := listOf(1).Targets[0]
	with := func(change func(*Target)) *List {
		line := one
		change(&line)
		return &List{Targets: []Target{line}}
	}
	for name, c := range map[string]struct {
		next          *List
		whole, ended  bool
		listed, moved bool
	}{
		"nothing new":   {with(func(*Target) {}), true, false, true, false},
		"other weight":  {with(func(t *Target) { t.Weight = 3 }), false, false, true, false},
		"drains":        {with(func(t *Target) { t.State = "DRAINING" }), false, true, true, false},
		"moved":         {with(func(t *Target) { t.Endpoint = "10.0.0.9:80" }), false, true, true, true},
		"restarted":     {with(func(t *Target) { t.BootMS = 9 }), false, true, true, true},
		"gone":          {with(func(t *Target) { t.State = Removed }), false, true, false, false},
		"missing":       {&List{}, true, true, false, false},
		"not mentioned": {&List{}, false, false, true, false},
		"another's end": {&List{Targets: []Target{{UID: "s-0000001x", State: Removed}}}, false, false, true, false},
	} {
		d := NewDirectory()
		d.Update(listOf(1), true, 0, ignoreEnded)
		before, _ := d.Find(1)
		ended := false
		d.Update(c.next, c.whole, time.Second, func(id policy.ServerID) { ended = ended || id == 1 })
		e, listed := d.Find(1)
		if ended != c.ended || listed != c.listed || listed && (e.Incarnation != before.Incarnation) != c.moved {
			t.Errorf("%s: ended %v, listed %v, %+v, want %+v", name, ended, listed, e, c)
		}
		if e.State == policy.Draining && e.DrainingSince != time.Second {
			t.Errorf("%s: since %v", name, e.DrainingSince)
		}
	}
}

// BenchmarkDirectory measures how long operations occupy the directory of a large fleet.
func BenchmarkDirectory(b *testing.B) {
	const size, part = 56000, 256
	d, e := NewDirectory(), Encoded{}
	d.Update(listOf(size), true, 0, ignoreEnded)
	lines := [2]*List{{Targets: listOf(part).Targets}, {Targets: listOf(part).Targets}}
	for i := range part {
		lines[1].Targets[i].State = "DRAINING"
	}
	round := 0
	update := func(n int) {
		round++
		d.Update(&List{Targets: lines[round%2].Targets[:n]}, false, 0, ignoreEnded)
	}
	b.Run("line", func(b *testing.B) {
		for b.Loop() {
			update(1)
		}
	})
	b.Run("part", func(b *testing.B) {
		for b.Loop() {
			update(part)
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			update(1)
			d.Encode(&e)
		}
		b.ReportMetric(float64(len(e.Bytes))/size, "bytes/server")
	})
	same := listOf(size).Targets
	b.Run("difference", func(b *testing.B) {
		for b.Loop() {
			d.Difference(&List{Targets: slices.Clone(same)})
		}
	})
}

// Guards against changes that add servers without end: new servers beyond the limit are counted and passed
// over, known ones are still changed, and the place of a removed one is free again.
func TestDirectoryLimit(t *testing.T) {
	d := NewDirectory()
	d.SetLimit(10)
	update := func(whole bool, lines ...Target) {
		d.Update(&List{Targets: lines}, whole, 0, func(policy.ServerID) {})
	}
	line := func(uid, state string) Target {
		return Target{UID: uid, Endpoint: "10.0.0.1:1", Zone: "a", State: state, Weight: 1}
	}
	for i := range 30 {
		update(false, line(fmt.Sprintf("s-%08x", i+1), "SERVING"))
	}
	if d.Len() != 10 || d.Dropped() != 20 {
		t.Errorf("%d servers, %d passed over", d.Len(), d.Dropped())
	}
	update(false, line("s-00000001", "DRAINING"), line("s-00000002", Removed), line("s-000000ff", "SERVING"))
	if e, listed := d.Find(1); !listed || e.State != policy.Draining {
		t.Errorf("%+v, %v", e, listed)
	}
	if _, listed := d.Find(0xff); !listed || d.Len() != 10 {
		t.Errorf("%d servers, the new one listed: %v", d.Len(), listed)
	}
	update(true)
	for i := range 30 { // strings that are longer than usual take the place of further servers
		update(false, line(fmt.Sprint(strings.Repeat("u", maxTextBytes-2), i), "SERVING"))
	}
	if d.Len() >= 6 || d.Len() < 3 {
		t.Errorf("%d servers with long names", d.Len())
	}
	update(true)
	if d.Len() != 0 || d.longBytes != 0 {
		t.Errorf("%d servers, %d long bytes after all were removed", d.Len(), d.longBytes)
	}
}
