package node

import (
	"fmt"
	"slices"
	"testing"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

// largeFleet returns a list of n servers, distributed over the zones.
func largeFleet(n, zones int) *serverList {
	l := &serverList{Rev: 1, All: true}
	for i := range n {
		line := servingTarget(fmt.Sprintf("s-%08x", i+1),
			fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255))
		line.Zone = fmt.Sprint("z", i%zones)
		l.Targets = append(l.Targets, line)
	}
	return l
}

// feedList passes a list to a loop that the test runs itself. After each part it posts another event. It
// returns the parts and how often that event was handled between them.
func feedList(t *testing.T, l *loop, list *serverList, kind policy.UpdateKind) (got []listUpdate,
	between int) {
	t.Helper()
	done := make(chan struct{})
	go func() { l.postList(list, kind); close(done) }()
	handle := func(ev any) {
		switch ev := ev.(type) {
		case listUpdate:
			got = append(got, ev)
			l.events <- refuseWaiting(false)
		case refuseWaiting:
			between++
		}
		l.handle(ev)
	}
	for {
		select {
		case ev := <-l.events:
			handle(ev)
		case <-done: // events that were posted without waiting are still queued
			for len(l.events) > 0 {
				handle(<-l.events)
			}
			return got, between
		}
	}
}

// A large list or change reaches the loop in parts of limited size, with other events between them. Only
// the differences are passed on, ended servers first.
func TestLargeListsComeInParts(t *testing.T) {
	n, err := New(testConfig(t, unusedAddr(t)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	defer n.listener.Close()
	const servers, zones = 6000, 18
	withZone := func(change func(*target)) *serverList {
		l := largeFleet(servers, zones)
		for i := range l.Targets {
			if l.Targets[i].Zone == "z3" {
				change(&l.Targets[i])
			}
		}
		return l
	}
	drained := func(t *target) { t.State = "DRAINING" }
	onlyZone := func(l *serverList, zone string) *serverList {
		l.All = false
		l.Targets = slices.DeleteFunc(l.Targets, func(t target) bool { return t.Zone != zone })
		return l
	}
	missing := withZone(drained)
	missing.Targets = slices.DeleteFunc(missing.Targets, func(t target) bool { return t.Zone == "z3" })
	ofZone := servers/zones + 1 // 6,000 isn't divisible by 18: the first zones have one more
	for _, c := range []struct {
		name    string
		list    *serverList
		kind    policy.UpdateKind
		lines   int
		first   policy.UpdateKind
		listed  int
		running int
	}{
		{"the first list", largeFleet(servers, zones), policy.FullList, servers, policy.FullList, servers,
			servers},
		{"the same again", largeFleet(servers, zones), policy.FullList, 0, policy.Changes, servers, servers},
		{"a zone drains", withZone(drained), policy.FullList, ofZone, policy.Changes, servers,
			servers - ofZone},
		{"the zone is back", largeFleet(servers, zones), policy.FullList, ofZone, policy.Changes, servers,
			servers},
		{"the zone is missing", missing, policy.FullList, ofZone, policy.Changes, servers - ofZone,
			servers - ofZone},
		{"back through changes", onlyZone(largeFleet(servers, 2), "z1"), policy.Changes, servers / 2,
			policy.Changes, servers, servers},
		{"a short list", largeFleet(10, 1), policy.FullList, 0, policy.Changes, 10, 10},
	} {
		completed := []policy.UpdateKind{}
		n.loop.onServerList = func(kind policy.UpdateKind) { completed = append(completed, kind) }
		got, between := feedList(t, n.loop, c.list, c.kind)
		lines := 0
		for i, part := range got {
			lines += len(part.list.Targets)
			if want := policy.Changes; i > 0 && part.kind != want || i == 0 && part.kind != c.first ||
				len(part.list.Targets) > maxPartLines ||
				part.more != (i < len(got)-1) {
				t.Errorf("%s: part %d of %d: kind %v, %d lines, more %v", c.name, i, len(got), part.kind,
					len(part.list.Targets), part.more)
			}
		}
		if c.lines > 0 && lines != c.lines || between < len(got)-1 {
			t.Errorf("%s: %d lines in %d parts, want %d; %d events between them", c.name, lines, len(got),
				c.lines, between)
		}
		if !slices.Equal(completed, []policy.UpdateKind{c.kind}) {
			t.Errorf("%s: completed as %v", c.name, completed)
		}
		running := 0
		for id := range policy.ServerID(servers) {
			if e, listed := n.upstream.directory.Find(id + 1); listed && e.State == policy.Running {
				running++
			}
		}
		if n.upstream.directory.Len() != c.listed || running != c.running {
			t.Errorf("%s: %d listed and %d running, want %d and %d", c.name, n.upstream.directory.Len(),
				running, c.listed, c.running)
		}
	}
}

// Ended servers come first. If a change has several lines of one server, the last line counts.
func TestOrderWithinALargeChange(t *testing.T) {
	n, err := New(testConfig(t, unusedAddr(t)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	defer n.listener.Close()
	list := largeFleet(2*maxUnsplitLines, 1)
	last := &list.Targets[len(list.Targets)-1]
	last.State = roster.Removed
	got, _ := feedList(t, n.loop, list, policy.Changes)
	if got[0].list.Targets[0].State != roster.Removed {
		t.Error("the removed server is not first")
	}
	list = largeFleet(2*maxUnsplitLines, 1)
	list.DuplicateErr = roster.ErrDuplicateUID
	list.Targets[len(list.Targets)-1] = target{UID: list.Targets[0].UID, State: roster.Removed}
	feedList(t, n.loop, list, policy.Changes)
	if _, listed := n.upstream.directory.Find(1); listed {
		t.Error("the first of two lines of a server counts")
	}
}

// A small list is passed on unchanged as a single event.
func TestSmallListsAreOneEvent(t *testing.T) {
	n, err := New(testConfig(t, unusedAddr(t)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	defer n.listener.Close()
	for _, kind := range []policy.UpdateKind{policy.FullList, policy.Changes, policy.FullList} {
		list := largeFleet(maxUnsplitLines, 3)
		got, _ := feedList(t, n.loop, list, kind)
		if len(got) != 1 || got[0].kind != kind || got[0].list != list || got[0].more {
			t.Errorf("%v: %d events, the first %+v", kind, len(got), got[0].kind)
		}
	}
}
