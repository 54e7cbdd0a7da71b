package node

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"reflect"
	"time"

	"yardcleat.example/yardcleat/internal/config"
)

const (
	reloadPause = 50 * time.Millisecond // a file that can't be used may be half written: it is read again
	reloadTries = 40
)

// reload takes over the configuration file whenever hup says that it is new.
// What can't be used changes nothing.
func (n *Node) reload(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		next, err := n.read(ctx, false)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, config.ErrPassedOver):
			slog.Info("configuration unchanged", "why", err)
		case err != nil:
			slog.Error("new configuration refused; the one in force stays", "generation", n.history.Current().Number, "err", err)
		default:
			n.apply(next)
		}
	}
}

// read proposes what the file holds now. One that may be half written is read
// again for a while.
func (n *Node) read(ctx context.Context, forced bool) (*config.Generation, error) {
	for try := 1; ; try++ {
		next, err := n.history.Offer(time.Now(), forced)
		if !errors.Is(err, config.ErrUnreadable) || try == reloadTries || !sleep(ctx, reloadPause) {
			return next, err
		}
	}
}

// apply takes over what may change while the node serves.
func (n *Node) apply(next *config.Generation) {
	if !reflect.DeepEqual(next.File.Settings, n.history.Current().File.Settings) {
		slog.Warn("new configuration: other settings than discovery are taken over at the next start")
	}
	n.history.Accept(next)
	slog.Info("new configuration", "generation", next.Number, "digest", next.Digest, "discovery", next.File.Discovery)
	n.disc.moveTo(next.File.Discovery)
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
