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

// How old a piece of a snapshot may be. Stores need no limit: the time since fills
// them.
const (
	keptList    = 24 * time.Hour   // addresses may have gone to other servers since
	freshList   = 10 * time.Second // no older than what discovery may tell
	keptServers = 30 * time.Second // judgements wear off in a third of that
)

const (
	keepLook  = time.Second     // a new list or generation is kept after so long at the latest
	keepEvery = 5 * time.Second // and the servers' paces, which wear off in twice that
	keepStart = time.Second     // the first snapshot of a process is given so long before it serves
	keepStop  = time.Second     // and the last one after it has served
)

// Kept is where an edge node keeps its snapshots, and what it found there.
type Kept struct {
	Store *snapshot.Store
	Found snapshot.Found
}

// keeper hands the edge node's state to the writer. It is the loop's, but for
// the writer.
type keeper struct {
	writer *snapshot.Writer
	status func() *Status
	list   *roster.Directory
	news   bool   // the list has changed since it was kept last
	number uint64 // generation that was kept last
	at     time.Duration

	lines roster.Encoded // the writer's
}

func newKeeper(s *snapshot.Store, list *roster.Directory, status func() *Status) *keeper {
	return &keeper{writer: snapshot.NewWriter(s), list: list, status: status, news: true}
}

// capture has the loop hand a state to the writer.
type capture struct{}

// encode is the list's binary form, made in the writer's goroutine.
func (k *keeper) encode() []byte {
	k.list.Encode(&k.lines)
	return k.lines.Bytes
}

// state is what is to be kept, or nil where nothing has changed for long enough.
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

// unjudged tells whether nothing is known of a server that a new process would not take
// for granted: before a large fleet it is so with most.
func unjudged(s policy.ServerMemory) bool { return s.Slow == 1 && s.Pace == 1 && len(s.Faults) == 0 }

// restore gives the loop what was kept, before anything else comes, and tells
// whether the list is as good as discovery's. The token buckets of a planned stop count
// once a snapshot without them is in place: a crash from now on must not find them
// again.
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
		slog.Info("snapshot found", "sequence", old.Sequence, "age", age.Round(time.Millisecond), "stores", len(event.Tokens),
			"servers", len(event.Servers), "planned stop", event.Clean, "list", fresh)
	}
	st := n.status.Load()
	n.keep.writer.Offer(&snapshot.State{Taken: snapshot.Now(), List: known, Current: st.Current.Kept(), Before: st.Before.Kept(),
		Left: st.Left, Memory: policy.Memory{Servers: event.Servers}})
	ctx, end := context.WithTimeout(n.ctx, keepStart)
	defer end()
	if !n.keep.writer.First(ctx) {
		slog.Error("no snapshot could be written before the start", "err", n.keep.writer.Counts().Error)
		event.Clean = false
	}
	n.remember(known)
	if old != nil || len(found.Problems) > 0 {
		n.loop.events <- event
	}
	return fresh && known != nil && len(known.Targets) > 0
}

// remember gives the loop a list from before the start.
func (n *Node) remember(l *roster.List) {
	if l == nil || len(l.Targets) == 0 {
		return
	}
	most := max(largeList, len(l.Targets)/maxParts+1)
	for _, part := range inParts(l.Rev, l.Targets, most, policy.Remembered, policy.Remembered) {
		n.loop.events <- part
	}
}

// look has the loop see whether there is something to keep.
func (n *Node) look() { n.loop.post(capture{}) }

// keepLast waits until the state of an edge node that has answered all it took is
// on disk.
func (n *Node) keepLast() {
	ctx, end := context.WithTimeout(context.Background(), keepStop)
	defer end()
	if !n.keep.writer.Close(ctx) {
		slog.Error("the last snapshot is not written: the next start counts as one after a crash", "err", n.keep.writer.Counts().Error)
	}
}
