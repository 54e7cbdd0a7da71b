package node

import (
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	// A list or change of more lines is handed to the loop in parts.
	largeList = 1024
	// So many lines are one event, which bounds how long the loop stands still for them.
	partLines = 256
	// Before the start nothing comes between the parts: they are larger where more would
	// fill the loop's queue.
	maxParts = eventQueue / 4
)

// members hands the loop a list, changes to it, or a part of either.
type members struct {
	list  *serverList        // nil: discovery could not be asked
	kind  policy.MembersKind // of these lines
	whole policy.MembersKind // of what they complete
	more  bool               // further parts follow, before any other list
	taken chan struct{}      // closed once the loop has taken it; nil: nobody waits
}

// feed hands the loop what discovery told. A large list is compared with the directory
// here, beside the loop, and only what has changed is handed over, a part at a time with
// other events between them. It returns once the loop has taken all parts. One goroutine
// feeds a loop.
func (l *loop) feed(list *serverList, kind policy.MembersKind) {
	if list == nil || len(list.Targets) <= largeList && (kind == policy.Changes || l.up.list.Len() <= largeList) {
		l.post(members{list: list, kind: kind, whole: kind})
		return
	}
	l.wait(func(taken chan struct{}) any { return barrier{taken} }) // the directory is up to date
	lines, first := list.Targets, policy.Changes
	switch {
	case kind == policy.Changes && list.Twice != nil: // the last line of a server counts
	case kind == policy.Changes:
		roster.EndsFirst(lines)
	case l.up.list.Len() == 0:
		first = kind
	default:
		lines = l.up.list.Difference(list)
	}
	for _, part := range inParts(list.Rev, lines, partLines, first, kind) {
		l.wait(func(taken chan struct{}) any {
			part.taken = taken
			return part
		})
	}
}

// barrier is an event that only tells that all before it have been taken.
type barrier struct{ taken chan struct{} }

// wait posts an event and returns once the loop has taken it, or has ended.
func (l *loop) wait(event func(taken chan struct{}) any) {
	taken := make(chan struct{})
	l.post(event(taken))
	select {
	case <-taken:
	case <-l.over:
	}
}

// inParts cuts lines that lead to a list into events. The first is of its own kind and the
// others are changes. There is always one, which may have no lines.
func inParts(rev int64, lines []target, most int, first, whole policy.MembersKind) []members {
	var out []members
	for kind := first; ; kind = policy.Changes {
		n := min(most, len(lines))
		part := &serverList{Rev: rev, Targets: lines[:n:n]}
		lines = lines[n:]
		out = append(out, members{list: part, kind: kind, whole: whole, more: len(lines) > 0})
		if len(lines) == 0 {
			return out
		}
	}
}
