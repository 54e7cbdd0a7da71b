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
	actions := s.state.signal(s.node.loop.clock.now())
	if actions.refuseWaiting {
		slog.Info("shutdown shortened by a second signal")
	}
	if previous == phaseServing { // only at the first signal: later ones must not delay the poll
		slog.Info("shutdown begins")
		s.poll.Reset(shutdownPollInterval)
	}
	return actions
}

// cancel cancels a shutdown and opens the listener again if it is closed.
func (s *serving) cancel() error {
	n := s.node
	defer func() { n.setPhase(s.state.phase) }()
	listenerClosed := s.state.phase == phaseFinishing
	if err := s.state.cancel(); err != nil {
		return err
	}
	if listenerClosed {
		if err := n.listen(); err != nil { // another process has taken the address
			s.state.signal(n.loop.clock.now())
			return err
		}
		s.accept()
	}
	s.poll.Stop()
	n.loop.post(refuseWaiting(false))
	slog.Info("shutdown cancelled")
	return nil
}

// perform carries out a step of a shutdown.
func (s *serving) perform(actions shutdownActions) error {
	n := s.node
	// SetDeadline fails when the listener is closed already and could not be opened again.
	if actions.closeListener && n.listener.SetDeadline(time.Unix(1, 0)) == nil {
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
	}
	return nil
}
