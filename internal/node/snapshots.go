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
	maxListAge        = 24 * time.Hour   // other servers may have taken over the addresses since
	maxFreshListAge   = 10 * time.Second // discovery's own list may be as old
	maxServerStateAge = 30 * time.Second // health verdicts decay within a third of that
)

const (
	// A new list or generation is stored within this time.
	snapshotCheckInterval = time.Second

	// The relative latencies of servers, which decay within twice this time, are stored this often.
	snapshotInterval = 5 * time.Second

	firstSnapshotTimeout = time.Second // limit on the first snapshot of a process, before it serves
	lastSnapshotTimeout  = time.Second // limit on the last one, after it has served
)

// Snapshots is the store of an edge node's snapshots and what was found there at the start.
type Snapshots struct {
	Store *snapshot.Store
	Found snapshot.Found
}

// snapshotWriter passes the state of the edge node to writer. Only the loop uses it, except for encode
// and encoded, which belong to the goroutine of writer.
type snapshotWriter struct {
	writer      *snapshot.Writer
	status      func() *Status
	directory   *roster.Directory
	listChanged bool          // the list has changed since the last snapshot
	generation  uint64        // generation in the last snapshot
	takenAt     time.Duration // when the last snapshot was taken

	encoded roster.Encoded // used by the writer's goroutine only
}

func newSnapshotWriter(s *snapshot.Store, directory *roster.Directory,
	status func() *Status) *snapshotWriter {
	return &snapshotWriter{writer: snapshot.NewWriter(s), directory: directory, status: status,
		listChanged: true}
}

// captureState is an event that makes the loop pass its state to the snapshot writer if a snapshot is due.
type captureState struct{}

// encode returns the binary form of the list. The writer's goroutine calls it.
func (w *snapshotWriter) encode() []byte {
	w.directory.Encode(&w.encoded)
	return w.encoded.Bytes
}

// nextState returns the state for the next snapshot, or nil if none is due. last is set for the final
// snapshot of a shutdown.
func (w *snapshotWriter) nextState(l *loop, last bool) *snapshot.State {
	now, st := l.clock.now(), w.status()
	if !last && !w.listChanged && w.generation == st.Current.Number && now-w.takenAt < snapshotInterval {
		return nil
	}
	w.listChanged = false
	w.takenAt, w.generation = now, st.Current.Number
	memory := l.gateway.SaveState(now, last)
	memory.Servers = slices.DeleteFunc(memory.Servers, hasDefaultState)
	return &snapshot.State{Taken: snapshot.Now(), Clean: last, EncodedList: w.encode,
		Current: st.Current.Stored(), Previous: st.Previous.Stored(),
		RolledBackDigest: st.RolledBackDigest, Memory: memory}
}

// hasDefaultState reports whether a server has the state that a new process assumes anyway. In a large fleet
// most servers do, so they are left out of snapshots.
func hasDefaultState(s policy.SavedServer) bool {
	return s.RelativeLatency == 1 && s.MonitoredLatency == 1 && len(s.Health) == 0
}

// restore passes the state from the last snapshot to the loop, before all other events. It reports
// whether the restored list is as current as discovery's. The token buckets that a shutdown stored
// are used only after a snapshot without them has been written: a start after a crash must not restore
// them a second time.
func (n *Node) restore(snapshots *Snapshots) (listFresh bool) {
	known := n.cfg.KnownServers
	n.cfg.KnownServers = nil // a large list takes much memory, and nothing else uses it
	if snapshots == nil {
		n.postRememberedList(known)
		return false
	}
	stored, found := snapshots.Found.State, snapshots.Found
	event := policy.Restore{}
	if stored != nil {
		now := snapshot.Now()
		event.Elapsed = now.Since(stored.Taken)
		age := max(event.Elapsed, now.Wall.Sub(stored.Taken.Wall))
		if stored.List != nil && age <= maxListAge && (known == nil || stored.List.Rev >= known.Rev) {
			known, listFresh = stored.List, age <= maxFreshListAge
		}
		if age <= maxServerStateAge {
			event.Servers = stored.Memory.Servers
		}
		event.Clean = stored.Clean && found.Complete
		event.Tokens = stored.Memory.Tokens
		slog.Info("snapshot found", "sequence", stored.Sequence, "age", age.Round(time.Millisecond),
			"stores", len(event.Tokens), "servers", len(event.Servers),
			"planned stop", event.Clean, "list", listFresh)
	}
	st := n.status.Load()
	n.snapshots.writer.Offer(&snapshot.State{Taken: snapshot.Now(), List: known, Current: st.Current.Stored(),
		Previous: st.Previous.Stored(), RolledBackDigest: st.RolledBackDigest,
		Memory: policy.SavedState{Servers: event.Servers}})
	ctx, cancel := context.WithTimeout(n.ctx, firstSnapshotTimeout)
	defer cancel()
	if !n.snapshots.writer.WaitFirst(ctx) {
		slog.Error("no snapshot could be written before the start",
			"err", n.snapshots.writer.Counts().Error)
		event.Clean = false
	}
	n.postRememberedList(known)
	if stored != nil || len(found.Problems) > 0 {
		n.loop.events <- event
	}
	return listFresh && known != nil && len(known.Targets) > 0
}

// postRememberedList queues a list from before the start for the loop.
func (n *Node) postRememberedList(l *roster.List) {
	if l == nil || len(l.Targets) == 0 {
		return
	}
	maxLines := max(maxUnsplitLines, len(l.Targets)/maxQueuedParts+1)
	for _, part := range splitList(l.Rev, l.Targets, maxLines, policy.StoredList, policy.StoredList) {
		n.loop.events <- part
	}
}

// requestSnapshot makes the loop check whether a snapshot is due.
func (n *Node) requestSnapshot() { n.loop.post(captureState{}) }

// writeLastSnapshot waits until the final state of the edge node is on disk, for at most
// lastSnapshotTimeout. All accepted requests have been answered before.
func (n *Node) writeLastSnapshot() {
	ctx, cancel := context.WithTimeout(context.Background(), lastSnapshotTimeout)
	defer cancel()
	if !n.snapshots.writer.Close(ctx) {
		slog.Error("the last snapshot is not written: the next start counts as one after a crash",
			"err", n.snapshots.writer.Counts().Error)
	}
}
