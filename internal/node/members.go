package node

import (
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	// A list or change of more lines is passed to the loop in parts.
	maxUnsplitLines = 1024

	// Lines of one part, which bounds how long other events wait for the loop.
	maxPartLines = 256

	// Limit on the parts of a list that is queued before the loop starts. A longer list has larger parts, so
	// that it doesn't fill the loop's queue. Larger parts delay nothing: no other events come between them.
	maxQueuedParts = eventQueueSize / 4
)

// listUpdate is an event that brings the loop a list, changes to it, or a part of either.
type listUpdate struct {
	list     *serverList       // nil: a call to discovery failed
	kind     policy.UpdateKind // of this part
	listKind policy.UpdateKind // of the list or change that the part belongs to
	more     bool              // further parts follow, before any other list
	done     chan struct{}     // closed once the loop has handled the event; nil: nobody waits
}

// postList passes a list, or changes to it, from discovery to the loop. It compares a large list with the
// directory in the caller's goroutine and passes on only the differences, in parts, so that the loop
// can handle other events between them. It returns once the loop has handled all parts of a large
// list. Only one goroutine may call postList.
func (l *loop) postList(list *serverList, kind policy.UpdateKind) {
	if list == nil ||
		len(list.Targets) <= maxUnsplitLines &&
			(kind == policy.Changes || l.upstream.directory.Len() <= maxUnsplitLines) {
		l.post(listUpdate{list: list, kind: kind, listKind: kind})
		return
	}
	// Wait until the directory contains all earlier updates.
	l.postAndWait(func(done chan struct{}) any { return barrier{done} })
	lines, firstKind := list.Targets, policy.Changes
	switch {
	case kind == policy.Changes && list.DuplicateErr != nil:
		// The order of the lines stays: a server has several, and the last one counts.
	case kind == policy.Changes:
		roster.SortEndedFirst(lines)
	case l.upstream.directory.Len() == 0:
		firstKind = kind
	default:
		lines = l.upstream.directory.Difference(list)
	}
	for _, part := range splitList(list.Rev, lines, maxPartLines, firstKind, kind) {
		l.postAndWait(func(done chan struct{}) any {
			part.done = done
			return part
		})
	}
}

// barrier is an event that reports that the loop has handled all events before it.
type barrier struct{ done chan struct{} }

// postAndWait posts an event and returns once the loop has handled it or has ended.
func (l *loop) postAndWait(event func(done chan struct{}) any) {
	done := make(chan struct{})
	l.post(event(done))
	select {
	case <-done:
	case <-l.done:
	}
}

// splitList splits the lines of a list or change into events of at most maxLines lines. The first event
// is of kind firstKind, the others are changes. There is at least one event, which may have no lines.
func splitList(rev int64, lines []target, maxLines int, firstKind, listKind policy.UpdateKind) []listUpdate {
	var out []listUpdate
	for kind := firstKind; ; kind = policy.Changes {
		n := min(maxLines, len(lines))
		part := &serverList{Rev: rev, Targets: lines[:n:n]}
		lines = lines[n:]
		out = append(out, listUpdate{list: part, kind: kind, listKind: listKind, more: len(lines) > 0})
		if len(lines) == 0 {
			return out
		}
	}
}
