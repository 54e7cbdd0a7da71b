package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	sweepEvery = time.Second
	knownWait  = time.Second // discovery is given so long before the known list has to do

	// The addresses must be had so soon after the start. An edge node has 30 s to be ready.
	addressWait  = 10 * time.Second
	addressPause = 20 * time.Millisecond
)

// Node is an edge node whose sockets are open.
type Node struct {
	cfg      *config.File // as it was at the start
	changing sync.Mutex   // held while a generation is proposed and put in force
	history  *config.History
	kept     *Kept
	keep     *keeper // nil: no snapshots are kept
	duties   *duties // nil: the configuration names none
	status   atomic.Pointer[Status]
	ctx      context.Context // ends with Run
	end      context.CancelFunc
	loop     *loop
	server   *server
	up       *upstream
	peers    *peers
	disc     *discovery
	listener *net.TCPListener
	phase    atomic.Int32
	stay     chan chan error // planned stops called off
}

// New opens the sockets of an edge node.
// It goes on from what was kept; nil: no snapshots are kept.
func New(h *config.History, kept *Kept) (*Node, error) {
	cfg := h.Current().File
	g, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	clk := clock{time.Now()}
	up := newUpstream(clk, roster.NewDirectory(), cfg.Settings.ReportNames)
	clients, servers := descriptors(cfg)
	up.limit(cfg, servers)
	n := &Node{cfg: cfg, history: h, kept: kept, stay: make(chan chan error), up: up, loop: newLoop(clk, g, up)}
	n.ctx, n.end = context.WithCancel(context.Background())
	n.server = newServer(clk, h.Current(), up, n.loop.events, clients)
	n.publish()
	n.loop.gen, n.loop.onApply, n.loop.reread = h.Current(), n.onApply, n.server.read
	n.loop.mustAsk = cfg.Settings.MustAsk
	held := false // a remembered list
	n.loop.onList = func(kind policy.MembersKind) {
		switch kind {
		case policy.Whole:
			n.server.ready.Store(true)
		case policy.Remembered: // has to do while discovery is silent
			held = true
			time.AfterFunc(knownWait, func() { n.server.ready.Store(true) })
		case policy.AskFailed: // and where it has refused, at once
			if held {
				n.server.ready.Store(true)
			}
		}
	}
	free := time.Now().Add(addressWait)
	if cfg.Settings.CanTell {
		hear := func(from int, data []byte) {
			if n.duties != nil && n.duties.hear(from, data) {
				return
			}
			select {
			case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
			default: // lost, like one on the way
			}
		}
		err := patiently(free, func() (err error) {
			n.peers, err = listenPeers(cfg.PeerListen, cfg.Peers, cfg.PeersAll, hear)
			return err
		})
		if err != nil {
			return nil, err
		}
		n.loop.tell = n.peers.tell
		if len(cfg.Duties) > 0 {
			n.duties = newDuties(cfg.Duties, cfg.Settings.Me, cfg.Settings.Gateways, cfg.Seed, clk, n.peers.tell)
		}
	}
	if err := patiently(free, n.listen); err != nil {
		n.closePeers()
		return nil, err
	}
	n.disc = newDiscovery(cfg, n.loop.feed)
	if kept != nil {
		n.keep = newKeeper(kept.Store, up.list, n.status.Load)
		n.loop.keep = n.keep
	}
	return n, nil
}

// Addr is where clients connect.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

func (n *Node) closePeers() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
}

// Run serves until a signal on term and everything open is answered; a second one
// hastens that. Signals on hup tell that the configuration file is new.
func (n *Node) Run(term, hup <-chan os.Signal) error {
	ctx := n.ctx
	defer n.end()
	defer n.closePeers()
	for _, w := range n.cfg.Warnings {
		slog.Warn("configuration", "passed over", w)
	}
	fresh := n.restore(n.kept)
	if n.server.ready.Store(fresh); n.keep != nil {
		go every(ctx, keepLook, n.look)
	}
	go n.loop.run(ctx.Done())
	go n.disc.run(ctx)
	go n.reload(ctx, hup)
	go every(ctx, sweepEvery, n.up.sweep)
	if n.peers != nil {
		if n.duties != nil {
			go n.duties.run(ctx)
		}
		go n.peers.send(ctx.Done())
		go n.peers.receive()
	}
	if err := n.serve(term); err != nil {
		return err
	}
	n.loop.post(shutdown{})
	select {
	case <-n.loop.over:
	case <-time.After(stopHand):
		slog.Warn("counts not handed on in time")
		n.loop.post(shutdown{now: true})
		<-n.loop.over
	}
	if n.duties != nil {
		n.duties.leave()
	}
	if n.peers != nil {
		n.peers.flush()
	}
	if n.keep != nil {
		n.keepLast()
	}
	return nil
}

// serve accepts clients until a planned stop has come to its end.
func (n *Node) serve(term <-chan os.Signal) error {
	served := make(chan error, 1)
	accept := func() {
		ln := n.listener
		go func() { served <- n.server.serve(ln) }()
	}
	accept()
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	poll.Stop() // until there is a stop to look after
	var d shutdownState
	var s steps
	for !s.end {
		s = steps{}
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", cmp.Or(err, net.ErrClosed)) // not by a stop
		case <-term:
			was := d.phase
			if s = d.signal(n.loop.clock.now()); s.giveUp {
				slog.Info("planned stop hastened")
			}
			if was == phaseServing { // once: signals that keep coming must not put it off
				slog.Info("planned stop begins")
				poll.Reset(stopPoll)
			}
		case back := <-n.stay:
			shut := d.phase == finishing
			err := d.callOff()
			if err == nil && shut {
				if err = n.listen(); err != nil { // the address is another's by now
					d.signal(n.loop.clock.now())
				} else {
					accept()
				}
			}
			if err == nil {
				poll.Stop()
				n.loop.post(giveUp(false))
				slog.Info("planned stop called off")
			}
			n.enter(d.phase)
			back <- err
			continue
		case <-poll.C:
			open, quiet := n.server.state()
			s = d.step(n.loop.clock.now(), open, quiet)
		}
		if s.shutListener && n.listener.SetDeadline(time.Unix(1, 0)) == nil { // else a stop that was called off too late closed it
			if err := <-served; err != nil {
				return fmt.Errorf("serve: %w", err)
			}
		}
		n.enter(d.phase)
		if s.giveUp {
			n.loop.post(giveUp(true))
		}
		if s.shutIdle {
			n.server.shutIdle(stopQuiet)
		}
	}
	if open, _ := n.server.state(); open > 0 {
		return fmt.Errorf("planned stop: %d %w", open, ErrUnanswered)
	}
	return nil
}

// enter shows the phase to clients, peers and operators.
func (n *Node) enter(p phase) {
	n.phase.Store(int32(p))
	n.server.draining.Store(p != phaseServing)
}

// listen opens the clients' listener.
func (n *Node) listen() error {
	lc := net.ListenConfig{KeepAlive: -1} // time-outs of our own are shorter: four system calls saved at each accept
	ln, err := lc.Listen(n.ctx, "tcp", n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = ln.(*net.TCPListener)
	return nil
}

// patiently opens an address. One that is still taken is asked for again for a while:
// the process before may be about to end.
func patiently(until time.Time, open func() error) error {
	for first := true; ; first = false {
		err := open()
		if !among(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL) || !time.Now().Before(until) {
			return err
		}
		if first {
			slog.Warn("an address can't be had yet; asked for again", "err", err, "for", addressWait)
		}
		time.Sleep(addressPause)
	}
}

// Stay calls a planned stop off, as long as it has not come to its end.
func (n *Node) Stay(ctx context.Context) error {
	back := make(chan error, 1)
	select {
	case n.stay <- back:
		return <-back
	case <-n.ctx.Done():
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// every does something now and then until ctx ends.
func every(ctx context.Context, d time.Duration, do func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do()
		}
	}
}
