// Package node is an edge node with its sockets: it reads clients' HTTP requests, has package policy decide
// about each, sends attempts to the servers that discovery lists, and exchanges datagrams with the other
// edge nodes.
package node

import (
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
	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

const (
	sweepInterval       = time.Second
	rememberedListDelay = time.Second // time for discovery to answer before the remembered list is used

	// Opening the listen addresses at the start. An edge node must be ready within 30 s of its start.
	listenRetryTimeout = 10 * time.Second
	listenRetryDelay   = 20 * time.Millisecond // between two tries
)

// Node is an edge node with open sockets.
type Node struct {
	cfg            *config.File // as read at the start
	memoryPlan     memory.Plan
	changeMu       sync.Mutex // held while a new generation is checked and applied
	history        *config.History
	restoreFrom    *Snapshots
	snapshots      *snapshotWriter // nil: no snapshots are written
	duties         *duties         // nil: the configuration names none
	status         atomic.Pointer[Status]
	ctx            context.Context // cancelled when Run returns
	cancel         context.CancelFunc
	loop           *loop
	server         *httpServer
	upstream       *upstream
	peers          *peers
	discovery      *discovery
	listener       *net.TCPListener
	phase          atomic.Int32
	cancelShutdown chan chan error // requests to cancel a shutdown, each with the channel for its result
}

// New opens the sockets of an edge node. Run restores the state from snapshots and then writes new ones to
// their store. If snapshots is nil, none are read or written.
func New(h *config.History, snapshots *Snapshots) (*Node, error) {
	cfg := h.Current().File
	plan := memory.NewPlan(cfg.MemoryMB)
	if !memory.Fits(cfg.MemoryMB) {
		slog.Warn("limits.memory_mb is too low for an edge node", "memory_mb", cfg.MemoryMB)
	}
	g, err := newGateway(cfg, plan)
	if err != nil {
		return nil, err
	}
	clk := clock{time.Now()}
	clients, servers := connLimits(cfg, plan)
	up := newUpstream(clk, roster.NewDirectory(), cfg.Settings.ReportNames)
	up.directory.SetLimit(maxServers(plan, g, len(cfg.Settings.Classes)))
	up.memory = memory.NewPool(plan.ResponseBytes)
	up.applyConfig(cfg, servers)
	n := &Node{cfg: cfg, memoryPlan: plan, history: h, restoreFrom: snapshots,
		cancelShutdown: make(chan chan error), upstream: up, loop: newLoop(clk, g, up)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.server = newHTTPServer(clk, h.Current(), up, n.loop.events, clients,
		memory.NewPool(plan.RequestBytes))
	requests := &requestLog{clock: clk}
	n.loop.requests, n.server.requests = requests, requests
	n.publish()
	n.loop.generation, n.loop.onApply, n.loop.reparse = h.Current(), n.onApply, n.server.parseHeaders
	n.loop.pollsDiscovery, n.loop.onServerList = cfg.Settings.MustWatch, n.readiness()
	if err := n.openSockets(clk); err != nil {
		return nil, err
	}
	n.discovery = newDiscovery(cfg, n.loop.postList)
	if snapshots != nil {
		n.snapshots = newSnapshotWriter(snapshots.Store, up.directory, n.status.Load)
		n.loop.snapshots = n.snapshots
	}
	return n, nil
}

// newGateway returns the policy module, whose state fits the memory plan.
func newGateway(cfg *config.File, plan memory.Plan) (*policy.Gateway, error) {
	settings := cfg.Settings
	settings.MaxCustomers = plan.MaxCustomers()
	g, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return g, nil
}

// readiness returns the function that the loop calls at each server list or failed call to discovery. It makes
// the edge node ready.
func (n *Node) readiness() func(kind policy.UpdateKind) {
	hasRememberedList := false // a list of the configuration or of a snapshot is in force
	return func(kind policy.UpdateKind) {
		switch kind {
		case policy.FullList:
			n.server.ready.Store(true)
		case policy.StoredList: // used if discovery does not answer
			hasRememberedList = true
			time.AfterFunc(rememberedListDelay, func() { n.server.ready.Store(true) })
		case policy.WatchFailed: // no need to wait for discovery any longer
			if hasRememberedList {
				n.server.ready.Store(true)
			}
		}
	}
}

// openSockets opens the socket for datagrams, if edge nodes may send them, and the clients' listener.
func (n *Node) openSockets(clk clock) error {
	deadline := time.Now().Add(listenRetryTimeout)
	if n.cfg.Settings.CanSendMessages {
		if err := n.openPeers(deadline, clk); err != nil {
			return err
		}
	}
	if err := retryListen(deadline, n.listen); err != nil {
		n.closePeers()
		return err
	}
	return nil
}

// openPeers opens the socket for datagrams, and sets up the duties that use it.
func (n *Node) openPeers(deadline time.Time, clk clock) error {
	cfg := n.cfg
	err := retryListen(deadline, func() (err error) {
		n.peers, err = listenPeers(cfg.PeerListen, cfg.Peers, cfg.PeersAll, n.receiveDatagram)
		return err
	})
	if err != nil {
		return err
	}
	n.loop.sendToPeer = n.peers.send
	n.loop.claims = newClaims(cfg.Settings, n.loop.gateway.ReportsToAll())
	if len(cfg.Duties) > 0 {
		n.duties = newDuties(cfg.Duties, cfg.Settings.Self, cfg.Settings.Gateways, cfg.Seed, clk, n.peers.send)
	}
	return nil
}

// receiveDatagram passes a datagram of another edge node to the duties or the loop. It is lost if the loop's
// queue is full, as the network may lose any.
func (n *Node) receiveDatagram(from int, data []byte) {
	if n.duties != nil && n.duties.receive(from, data) {
		return
	}
	select {
	case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
	default:
	}
}

// maxServers returns the number of servers that fit the memory plan.
func maxServers(plan memory.Plan, g *policy.Gateway, classes int) int {
	if g.TracksAllServers() {
		return plan.MaxServers(memory.TrackedServerBytes + classes*memory.TrackedClassBytes)
	}
	return plan.MaxServerLines()
}

// Addr returns the address that clients connect to.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

func (n *Node) closePeers() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
}

// Run serves clients until a signal on term, then answers all open requests and returns. A second signal
// shortens the shutdown. A signal on hup means that the configuration file has changed.
func (n *Node) Run(term, hup <-chan os.Signal) error {
	ctx := n.ctx
	defer n.cancel()
	defer n.closePeers()
	for _, w := range n.cfg.Warnings {
		slog.Warn("configuration", "passed over", w)
	}
	listFresh := n.restore(n.restoreFrom)
	if n.server.ready.Store(listFresh); n.snapshots != nil {
		go runEvery(ctx, snapshotCheckInterval, n.requestSnapshot)
	}
	go n.loop.run(ctx.Done())
	go n.discovery.run(ctx)
	go n.reload(ctx, hup)
	go runEvery(ctx, sweepInterval, n.upstream.sweep)
	if n.peers != nil {
		if n.duties != nil {
			go n.duties.run(ctx)
		}
		go n.peers.sendLoop(ctx.Done())
		go n.peers.receiveLoop()
	}
	if err := n.serve(term); err != nil {
		return err
	}
	n.loop.post(endLoop{})
	select {
	case <-n.loop.done:
	case <-time.After(shutdownHandoverTimeout):
		slog.Warn("counts were not handed to other edge nodes in time")
		n.loop.post(endLoop{now: true})
		<-n.loop.done
	}
	if n.duties != nil {
		n.duties.releaseAll()
	}
	if n.peers != nil {
		n.peers.flush()
	}
	if n.snapshots != nil {
		n.writeLastSnapshot()
	}
	return nil
}

// setPhase sets the phase of the shutdown that clients and operators see.
func (n *Node) setPhase(p phase) {
	n.phase.Store(int32(p))
	n.server.draining.Store(p != phaseServing)
}

// listen opens the clients' listener.
func (n *Node) listen() error {
	// Without keep-alive probes each accept needs four system calls fewer. The edge node needs no probes: its
	// own timeouts for clients are shorter.
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(n.ctx, "tcp", n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = ln.(*net.TCPListener)
	return nil
}

// retryListen calls open, and repeats it until the deadline while the address is in use or not yet assigned:
// the previous process may be about to exit.
func retryListen(deadline time.Time, open func() error) error {
	for first := true; ; first = false {
		err := open()
		if !isAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL) || !time.Now().Before(deadline) {
			return err
		}
		if first {
			slog.Warn("an address can't be had yet; trying again", "err", err, "for", listenRetryTimeout)
		}
		time.Sleep(listenRetryDelay)
	}
}

// CancelShutdown cancels a shutdown that is not complete yet, and returns to serving.
func (n *Node) CancelShutdown(ctx context.Context) error {
	reply := make(chan error, 1)
	select {
	case n.cancelShutdown <- reply:
		return <-reply
	case <-n.ctx.Done():
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runEvery calls f periodically until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
