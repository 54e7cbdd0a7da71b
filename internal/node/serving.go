package node

import (
	"cmp"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"
)

// serving accepts clients and carries out the steps of a shutdown.
type serving struct {
	node   *Node
	state  shutdownState
	served chan error   // the result of the accepting goroutine
	poll   *time.Ticker // runs only during a shutdown
}

// serve accepts clients until a shutdown is complete.
func (n *Node) serve(term <-chan os.Signal) error {
	s := &serving{node: n, served: make(chan error, 1), poll: time.NewTicker(shutdownPollInterval)}
	defer s.poll.Stop()
	s.poll.Stop()
	s.accept()
	for done := false; !done; {
		select {
		case err := <-s.served:
			return fmt.Errorf("serve: %w", cmp.Or(err, net.ErrClosed)) // not caused by a shutdown
		case reply := <-n.cancelShutdown:
			reply <- s.cancel()
		case <-term:
			actions := s.signal()
			if err := s.perform(actions); err != nil {
				return err
			}
			done = actions.done
		case <-s.poll.C:
			open, quiet := n.server.activity()
			actions := s.state.step(n.loop.clock.now(), open, quiet)
			if err := s.perform(actions); err != nil {
				return err
			}
			done = actions.done
		}
	}
	if open, _ := n.server.activity(); open > 0 {
		return fmt.Errorf("shutdown: %d %w", open, ErrOpenConnections)
	}
	return nil
}

// accept starts the accepting goroutine.
func (s *serving) accept() {
	listener := s.node.listener
	go func() { s.served <- s.node.server.serve(listener) }()
}

// signal begins a shutdown, or shortens one.
func (s *serving) signal() shutdownActions {
	previous := s.state.phase
	n := s.node
	actions := s.state.signal(n.loop.clock.now(), n.server.longestDeadline())
	if actions.refuseWaiting {
		slog.Info("shutdown shortened by a second signal")
	}
	if previous == phaseServing { // only at the first signal: later ones must not delay the poll
		slog.Info("shutdown begins")
		n.loop.post(s.state.late)
		s.poll.Reset(shutdownPollInterval)
	}
	return actions
}

// cancel cancels a shutdown and opens the listener again if it is closed.
func (s *serving) cancel() error {
	n := s.node
	defer func() { n.setPhase(s.state.phase) }()
	interrupted := s.state
	listenerClosed := s.state.phase == phaseFinishing
	if err := s.state.cancel(); err != nil {
		return err
	}
	if listenerClosed {
		if err := n.listen(); err != nil { // another process has taken the address
			s.state = interrupted
			return err
		}
		s.accept()
	}
	s.poll.Stop()
	n.loop.post(lateRequests{})
	n.loop.post(refuseWaiting(false))
	slog.Info("shutdown cancelled")
	return nil
}

// perform carries out a step of a shutdown.
func (s *serving) perform(actions shutdownActions) error {
	n := s.node
	// SetDeadline fails if the listener is closed already.
	if actions.closeListener && n.listener.SetDeadline(expired) == nil {
		if err := <-s.served; err != nil {
			return fmt.Errorf("serve: %w", err)
		}
	}
	n.setPhase(s.state.phase)
	if actions.refuseWaiting {
		n.loop.post(refuseWaiting(true))
	}
	if actions.closeIdle {
		n.server.closeIdle(shutdownQuietTime)
		n.server.endReading(shutdownReadTimeout, endedByShutdown)
	}
	if actions.endReading {
		n.server.endReading(0, endedByShutdown)
	}
	return nil
}
