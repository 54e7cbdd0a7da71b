package node

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/snapshot"
)

var errEnded = errors.New("the edge node has ended")

const (
	// An unreadable file may be half written: it is read again after this pause.
	reloadRetryDelay = 50 * time.Millisecond

	// Limit on the reads of an unreadable file.
	maxReloadReads = 40
)

// Status is the state of an edge node as shown to operators.
type Status struct {
	Name             string
	Ready            bool
	Phase            string // of a shutdown
	Current          *config.Generation
	Previous         *config.Generation // nil: there is none to roll back to
	RolledBackDigest string             // digest of the file that was rolled back from; empty: none
	Refused          *config.Refusal    // the last file, if it was rejected
	Snapshots        *snapshot.Counts   // counts of written snapshots; nil: none are written
	Duties           []DutyStatus
	Lag              time.Duration // how late the event loop is; grows while the loop is blocked
	MaxLag           time.Duration // the largest lag of the last 30 to 60 s
	Heartbeats       int64         // heartbeats of the loop since the start; constant while it is blocked
	Disconnects      Disconnects
	Ends             RequestCounts
	IDsElsewhere     int64 // ids that other edge nodes have claimed, as far as this one was told

	Unsolicited Unsolicited
	Requests    memory.Usage // memory for requests
	Responses   memory.Usage // memory for responses of servers
}

// Disconnects counts the requests whose client disconnected before their first attempt was written,
// by where the disconnect was detected: while the request was held, while its connection to a server
// was being dialed, or right before the write. Undetectable counts requests that were refused because a
// disconnect could not be detected, since the client had pipelined too much data. None of them was sent to a
// server.
type Disconnects struct{ Waiting, Dialing, Writing, Undetectable int64 }

// Status returns the current state. It may be called at any time and doesn't wait for the loop.
func (n *Node) Status() Status {
	s := *n.status.Load()
	p := phase(n.phase.Load())
	s.Ready, s.Phase = n.server.ready.Load() && p == phaseServing, p.String()
	s.Lag, s.MaxLag = n.loop.heartbeat.lag(n.loop.clock.now())
	s.Heartbeats = n.loop.heartbeat.beats.Load()
	disconnects := &n.loop.disconnects
	s.Disconnects = Disconnects{disconnects.held.Load(), disconnects.dialing.Load(),
		disconnects.writing.Load(), disconnects.hidden.Load()}
	s.Ends = n.loop.requests.load()
	s.IDsElsewhere = n.loop.idsElsewhere.Load()
	s.Unsolicited = n.upstream.unsolicited.load()
	s.Requests, s.Responses = n.server.memory.Usage(), n.upstream.memory.Usage()
	if n.duties != nil {
		s.Duties = n.duties.status()
	}
	if n.snapshots != nil {
		counts := n.snapshots.writer.Counts()
		s.Snapshots = &counts
	}
	return s
}

// publish updates the status with the history of generations. The caller holds n.changeMu.
func (n *Node) publish() {
	n.status.Store(&Status{Name: n.cfg.Name, Current: n.history.Current(),
		Previous: n.history.Previous(), RolledBackDigest: n.history.RolledBackDigest(),
		Refused: n.history.Refused()})
}

// reload applies the configuration file at each signal on hup. A file that is rejected changes
// nothing.
func (n *Node) reload(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		err := n.readAndApply(ctx, false)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, config.ErrUnchanged):
			slog.Info("configuration unchanged", "why", err)
		case err != nil:
			slog.Error("new configuration refused; the one in force stays",
				"generation", n.Status().Current.Number, "err", err)
		}
	}
}

// readAndApply reads the configuration file and puts it in force. It retries an unreadable file, which
// may be half written. If forced, it also applies a file that was rolled back from.
func (n *Node) readAndApply(ctx context.Context, forced bool) error {
	for try := 1; ; try++ {
		err := n.changeGeneration(ctx, func() (*config.Generation, error) {
			return n.history.Propose(time.Now(), forced)
		})
		if !errors.Is(err, config.ErrUnreadable) || try == maxReloadReads || !sleep(ctx, reloadRetryDelay) {
			return err
		}
	}
}

// changeGeneration puts the proposed generation in force and returns once the loop has applied it.
// Changes run one at a time.
func (n *Node) changeGeneration(ctx context.Context, propose func() (*config.Generation, error)) error {
	n.changeMu.Lock()
	defer n.changeMu.Unlock()
	defer n.publish()
	next, err := propose()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	select {
	case n.loop.events <- applyGeneration{next, done}:
	case <-n.ctx.Done():
		return errEnded
	}
	select {
	case <-done:
	case <-n.ctx.Done():
		return errEnded
	}
	previous := n.history.Current()
	n.history.Accept(next)
	slog.Info("new configuration in force", "generation", next.Number, "digest", next.Digest,
		"before", previous.Digest, "discovery", next.File.Discovery)
	for _, w := range next.File.Warnings {
		slog.Warn("configuration", "passed over", w)
	}
	return ctx.Err()
}

// Check returns the faults that prevent a file from being put in force here.
func (n *Node) Check(raw []byte) error {
	n.changeMu.Lock()
	defer n.changeMu.Unlock()
	_, err := n.history.Check(raw)
	return err
}

// Apply reads the configuration file and puts it in force, even one that was rolled back from.
func (n *Node) Apply(ctx context.Context) error { return n.readAndApply(ctx, true) }

// RollBack puts the previous generation in force. The configuration file is not changed.
func (n *Node) RollBack(ctx context.Context) error {
	return n.changeGeneration(ctx, func() (*config.Generation, error) {
		return n.history.RollBack(time.Now())
	})
}

// onApply applies a generation outside the policy module. The loop calls it between two events.
func (n *Node) onApply(next *config.Generation) {
	n.server.generation.Store(next)
	clients, servers := connLimits(next.File, n.memoryPlan)
	n.upstream.applyConfig(next.File, servers)
	n.server.setLimit(clients)
	n.discovery.applyConfig(next.File)
}

// sleep pauses for d. It returns false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
