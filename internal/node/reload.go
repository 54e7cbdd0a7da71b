package node

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/snapshot"
)

var errEnded = errors.New("the edge node has ended")

const (
	reloadPause = 50 * time.Millisecond // a file that can't be used may be half written: it is read again
	reloadTries = 40
)

// Status is what operators see of an edge node.
type Status struct {
	Name        string
	Ready       bool
	Phase       string // of a planned stop
	Current     *config.Generation
	Before      *config.Generation // nil: there is none to return to
	Left        string             // digest of the file that was rolled back from; empty: none
	Refused     *config.Refusal    // the last file, if it was refused
	Keeping     *snapshot.Counts   // how snapshots are written; nil: none are kept
	Duties      []DutyStatus
	Lag         time.Duration // how far the event loop is behind now; it grows while the loop stands still
	MostLag     time.Duration // and the most of the last half to whole minute
	Looks       int64         // of the loop for clients that have gone, since the start: it gets on as long as they grow
	Disconnects Disconnects

	Unsolicited Unsolicited
}

// Disconnects counts the requests whose client left before their first attempt, by where that
// was noticed: none of them was sent on. Hidden are those sent on whose client had sent so
// much ahead that its leaving could not have been seen.
type Disconnects struct{ Held, Dialing, Writing, Hidden int64 }

// Status may be called at any time; it waits for nothing.
func (n *Node) Status() Status {
	s := *n.status.Load()
	p := phase(n.phase.Load())
	s.Ready, s.Phase = n.server.ready.Load() && p == phaseServing, p.String()
	s.Lag, s.MostLag = n.loop.heartbeat.lag(n.loop.clock.now())
	s.Looks = n.loop.heartbeat.looks.Load()
	left := &n.loop.disconnects
	s.Disconnects = Disconnects{left.held.Load(), left.dialing.Load(), left.writing.Load(), left.hidden.Load()}
	s.Unsolicited = n.up.unsolicited.load()
	if n.duties != nil {
		s.Duties = n.duties.status()
	}
	if n.keep != nil {
		counts := n.keep.writer.Counts()
		s.Keeping = &counts
	}
	return s
}

// publish shows the history to operators. The caller holds n.changing.
func (n *Node) publish() {
	n.status.Store(&Status{Name: n.cfg.Name, Current: n.history.Current(), Before: n.history.Before(), Left: n.history.Left(),
		Refused: n.history.Refused()})
}

// reload takes over the configuration file whenever hup says that it is new.
// What can't be used changes nothing.
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
		case errors.Is(err, config.ErrPassedOver):
			slog.Info("configuration unchanged", "why", err)
		case err != nil:
			slog.Error("new configuration refused; the one in force stays", "generation", n.Status().Current.Number, "err", err)
		}
	}
}

// readAndApply puts the file in force as it is now. One that may be half written
// is read again for a while.
func (n *Node) readAndApply(ctx context.Context, forced bool) error {
	for try := 1; ; try++ {
		err := n.change(ctx, func() (*config.Generation, error) { return n.history.Offer(time.Now(), forced) })
		if !errors.Is(err, config.ErrUnreadable) || try == reloadTries || !sleep(ctx, reloadPause) {
			return err
		}
	}
}

// change puts the generation that is proposed in force, one change at a time, and
// returns once it is.
func (n *Node) change(ctx context.Context, propose func() (*config.Generation, error)) error {
	n.changing.Lock()
	defer n.changing.Unlock()
	defer n.publish()
	next, err := propose()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	select {
	case n.loop.events <- apply{next, done}:
	case <-n.ctx.Done():
		return errEnded
	}
	select {
	case <-done:
	case <-n.ctx.Done():
		return errEnded
	}
	before := n.history.Current()
	n.history.Accept(next)
	slog.Info("new configuration in force", "generation", next.Number, "digest", next.Digest, "before", before.Digest,
		"discovery", next.File.Discovery)
	for _, w := range next.File.Warnings {
		slog.Warn("configuration", "passed over", w)
	}
	return ctx.Err()
}

// Check tells all that keeps a file from being put in force here.
func (n *Node) Check(raw []byte) error {
	n.changing.Lock()
	defer n.changing.Unlock()
	_, err := n.history.Check(raw)
	return err
}

// Apply puts the file in force as it is now, also one that was rolled back from.
func (n *Node) Apply(ctx context.Context) error { return n.readAndApply(ctx, true) }

// RollBack returns to the generation before; the file stays as it is.
func (n *Node) RollBack(ctx context.Context) error {
	return n.change(ctx, func() (*config.Generation, error) { return n.history.Back(time.Now()) })
}

// onApply puts a generation's limits in force outside the module. The loop calls
// it between two events.
func (n *Node) onApply(next *config.Generation) {
	n.server.gen.Store(next)
	clients, servers := descriptors(next.File)
	n.up.limit(next.File, servers)
	n.server.keepTo(clients)
	n.disc.apply(next.File)
}

// sleep waits; it is false when ctx ended first.
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
