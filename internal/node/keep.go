package node

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/snapshot"
	"valvering.example/valvering/policy"
)

// The maximum ages at which parts of a snapshot are used. Token buckets need none: they are credited
// with the tokens for the time that has passed.
const (
	keptList    = 24 * time.Hour   // other servers may have taken over the addresses since
	freshList   = 10 * time.Second // discovery's own list may be as old
	keptServers = 30 * time.Second // health verdicts decay within a third of that
)

const (
	// A new list or generation is stored within this time.
	keepLook = time.Second

	// The relative latencies of servers, which decay within twice this time, are stored this often.
	keepEvery = 5 * time.Second

	keepStart = time.Second // limit on the first snapshot of a process, before it serves
	keepStop  = time.Second // limit on the last one, after it has served
)

// Kept is the store of an edge node's snapshots and what was found there at the start.
type Kept struct {
	Store *snapshot.Store
	Found snapshot.Found
}

// keeper passes the state of the edge node to the snapshot writer. Only the loop uses it, except for
// encode and lines, which belong to the writer's goroutine.
type keeper struct {
	writer *snapshot.Writer
	status func() *Status
	list   *roster.Directory
	news   bool          // the list has changed since the last snapshot
	number uint64        // generation in the last snapshot
	at     time.Duration // when the last snapshot was taken

	lines roster.Encoded // used by the writer's goroutine only
}

func newKeeper(s *snapshot.Store, list *roster.Directory, status func() *Status) *keeper {
	return &keeper{writer: snapshot.NewWriter(s), list: list, status: status, news: true}
}

// capture is an event that makes the loop pass its state to the snapshot writer, if a snapshot is due.
type capture struct{}

// encode returns the binary form of the list. The writer's goroutine calls it.
func (k *keeper) encode() []byte {
	k.list.Encode(&k.lines)
	return k.lines.Bytes
}

// state returns the state for the next snapshot, or nil if none is due. last says that the edge node
// shuts down and this is its final snapshot.
func (k *keeper) state(l *loop, last bool) *snapshot.State {
	now, st := l.clock.now(), k.status()
	if !last && !k.news && k.number == st.Current.Number && now-k.at < keepEvery {
		return nil
	}
	k.news = false
	k.at, k.number = now, st.Current.Number
	memory := l.gateway.Memory(now, last)
	memory.Servers = slices.DeleteFunc(memory.Servers, unjudged)
	return &snapshot.State{Taken: snapshot.Now(), Clean: last, Lines: k.encode, Current: st.Current.Kept(),
		Before: st.Before.Kept(), Left: st.Left, Memory: memory}
}

// unjudged reports whether a server has the state that a new process assumes anyway. In a large fleet
// most servers do, so they are left out of snapshots.
func unjudged(s policy.ServerMemory) bool { return s.Slow == 1 && s.Pace == 1 && len(s.Faults) == 0 }

// restore passes the state from the last snapshot to the loop, before all other events. It reports
// whether the restored list is as current as discovery's. The token buckets that a shutdown stored
// are used only after a snapshot without them has been written: a start after a crash must not restore
// them a second time.
func (n *Node) restore(kept *Kept) (fresh bool) {
	known := n.cfg.Known
	if kept == nil {
		n.remember(known)
		return false
	}
	old, found := kept.Found.State, kept.Found
	event := policy.Restore{}
	if old != nil {
		now := snapshot.Now()
		event.Elapsed = now.Since(old.Taken)
		age := max(event.Elapsed, now.Wall.Sub(old.Taken.Wall))
		if old.List != nil && age <= keptList && (known == nil || old.List.Rev >= known.Rev) {
			known, fresh = old.List, age <= freshList
		}
		if age <= keptServers {
			event.Servers = old.Memory.Servers
		}
		event.Clean = old.Clean && found.Complete
		event.Tokens = old.Memory.Tokens
		slog.Info("snapshot found", "sequence", old.Sequence, "age", age.Round(time.Millisecond),
			"stores", len(event.Tokens), "servers", len(event.Servers),
			"planned stop", event.Clean, "list", fresh)
	}
	st := n.status.Load()
	n.keep.writer.Offer(&snapshot.State{Taken: snapshot.Now(), List: known, Current: st.Current.Kept(),
		Before: st.Before.Kept(), Left: st.Left, Memory: policy.Memory{Servers: event.Servers}})
	ctx, end := context.WithTimeout(n.ctx, keepStart)
	defer end()
	if !n.keep.writer.First(ctx) {
		slog.Error("could not write a snapshot before the start, which is now treated as one after a crash",
			"err", n.keep.writer.Counts().Error)
		event.Clean = false
	}
	n.remember(known)
	if old != nil || len(found.Problems) > 0 {
		n.loop.events <- event
	}
	return fresh && known != nil && len(known.Targets) > 0
}

// remember queues a list from before the start for the loop.
func (n *Node) remember(l *roster.List) {
	if l == nil || len(l.Targets) == 0 {
		return
	}
	most := max(largeList, len(l.Targets)/maxParts+1)
	for _, part := range inParts(l.Rev, l.Targets, most, policy.Remembered, policy.Remembered) {
		n.loop.events <- part
	}
}

// look makes the loop check whether a snapshot is due.
func (n *Node) look() { n.loop.post(capture{}) }

// keepLast waits, for at most keepStop, until the final state of the edge node is on disk. All
// accepted requests have been answered by then.
func (n *Node) keepLast() {
	ctx, end := context.WithTimeout(context.Background(), keepStop)
	defer end()
	if !n.keep.writer.Close(ctx) {
		slog.Error("could not write the last snapshot; the next start will be treated as one after a crash",
			"err", n.keep.writer.Counts().Error)
	}
}
