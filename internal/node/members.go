package node

import (
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	// A list or change of more lines is passed to the loop in parts.
	largeList = 1024

	// Lines of one part, which bounds how long other events wait for the loop.
	partLines = 256

	// Parts of a list that is queued before the loop starts. Longer lists have larger parts, so that they
	// don't fill the loop's queue.
	maxParts = eventQueue / 4
)

// members is an event that brings the loop a list, changes to it, or a part of either.
type members struct {
	list  *serverList        // nil: a call to discovery failed
	kind  policy.MembersKind // of this part
	whole policy.MembersKind // of the list or change that the part belongs to
	more  bool               // further parts follow, before any other list
	taken chan struct{}      // closed once the loop has handled the event; nil: nobody waits
}

// feed passes a list, or changes to it, from discovery to the loop. It compares a large list with the
// directory in the caller's goroutine and passes on only the differences, in parts, so that the loop
// can handle other events between them. It returns once the loop has handled all parts of a large
// list. Only one goroutine may call feed.
func (l *loop) feed(list *serverList, kind policy.MembersKind) {
	if list == nil ||
		len(list.Targets) <= largeList && (kind == policy.Changes || l.up.list.Len() <= largeList) {
		l.post(members{list: list, kind: kind, whole: kind})
		return
	}
	// Wait until the directory contains all earlier updates.
	l.wait(func(taken chan struct{}) any { return barrier{taken} })
	lines, first := list.Targets, policy.Changes
	switch {
	case kind == policy.Changes && list.Twice != nil:
		// The order of the lines stays: a server has several, and the last one counts.
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

// barrier is an event that reports that the loop has handled all events before it.
type barrier struct{ taken chan struct{} }

// wait posts an event and returns once the loop has handled it or has ended.
func (l *loop) wait(event func(taken chan struct{}) any) {
	taken := make(chan struct{})
	l.post(event(taken))
	select {
	case <-taken:
	case <-l.over:
	}
}

// inParts splits the lines of a list or change into events of at most most lines. The first event is
// of the kind first, the others are changes. There is at least one event, which may have no lines.
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
