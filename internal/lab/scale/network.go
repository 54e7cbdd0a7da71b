package scale

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const maxDatagramBytes = 256 // bytes, the platform's limit

// network carries the datagrams between edge nodes. Each hollow edge node and the relay of each
// real one has a socket, whose address is in the list of peers of all edge nodes. An edge node that
// does not exist has a sink socket. Each datagram is written to a socket of its receiver from the
// address that the receiver's list of peers has for the sender.
type network struct {
	config      *Config
	peers       []string               // the list of peers of all edge nodes
	conns       []*net.UDPConn         // by existing edge node: socket of a hollow one, relay of a real one
	targets     []netip.AddrPort       // by existing edge node: the destination of its datagrams
	nodeByAddr  map[netip.AddrPort]int // edge node by its own source address
	nodeByRelay map[netip.AddrPort]int // real edge node by the address of its relay
	sinks       []*net.UDPConn
	sinkAddrs   []netip.AddrPort   // by edge node that does not exist, starting with the first
	broadcast   *net.UDPConn       // broadcasts the datagrams of real edge nodes
	counters    []*datagramCounter // by existing edge node
	sinkCounter datagramCounter    // datagrams to edge nodes that don't exist
	sample      atomic.Pointer[sample]
	oversized   atomic.Int64 // datagrams over maxDatagramBytes
}

// sample is the first failure observation that the network carried, stored for the flood.
type sample struct{ data []byte }

// newNetwork opens all sockets except those of the real edge nodes.
func newNetwork(c *Config, real []netip.AddrPort) (*network, error) {
	n := &network{config: c, nodeByAddr: map[netip.AddrPort]int{}, nodeByRelay: map[netip.AddrPort]int{}}
	for no := range c.existing() {
		if err := n.addNode(no, real); err != nil {
			return n, err
		}
	}
	if err := n.addSinks(c.Nodes - c.existing()); err != nil {
		return n, err
	}
	var err error
	n.broadcast, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	return n, err
}

func (n *network) addNode(no int, real []netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return fmt.Errorf("opening the socket of edge node %d: %w", no, err)
	}
	peerAddr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	target := peerAddr
	if n.config.isReal(no) {
		target = real[no-n.config.firstReal()]
		n.nodeByRelay[peerAddr] = no
	}
	n.conns, n.peers, n.targets = append(n.conns, conn), append(n.peers, peerAddr.String()),
		append(n.targets, target)
	n.nodeByAddr[target] = no
	n.counters = append(n.counters, &datagramCounter{})
	return nil
}

// addSinks opens a socket for each edge node that does not exist. All have the same port.
func (n *network) addSinks(count int) error {
	port := 0
	for i := range count {
		at := &net.UDPAddr{IP: net.IPv4(127, 2, byte(i>>8), byte(i)), Port: port}
		conn, err := net.ListenUDP("udp4", at)
		if err != nil {
			return fmt.Errorf("opening sink socket %d of %d: %w", i+1, count, err)
		}
		addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		port = int(addr.Port())
		n.sinks, n.sinkAddrs, n.peers = append(n.sinks, conn), append(n.sinkAddrs, addr),
			append(n.peers, addr.String())
	}
	return nil
}

// startReaders starts the readers of all sockets except those of hollow edge nodes.
func (n *network) startReaders() {
	for no := range n.conns {
		if n.config.isReal(no) {
			go n.read(n.conns[no], func(from sender, data []byte) {
				n.countOut(from.number, data)
				n.deliver(from.number, no, data)
			})
		}
	}
	for _, conn := range n.sinks {
		go n.read(conn, func(from sender, data []byte) {
			n.sinkCounter.count(directionIn, data)
			n.countFirst(from, data)
		})
	}
	go n.read(n.broadcast, func(from sender, data []byte) {
		n.countOut(from.number, data)
		n.deliverAll(from.number, data)
	})
}

// sender is the edge node that sent a datagram.
type sender struct {
	number  int
	relayed bool // came through the lab, which has counted it as sent
}

// senderAt returns the sender with a source address.
func (n *network) senderAt(addr netip.AddrPort) (from sender, known bool) {
	if no, own := n.nodeByAddr[addr]; own {
		return sender{number: no}, true
	}
	no, known := n.nodeByRelay[addr]
	return sender{no, true}, known
}

// read passes the datagrams that existing edge nodes send to a socket to a function, until the
// socket is closed. The data is valid until the function returns.
func (n *network) read(conn *net.UDPConn, handle func(from sender, data []byte)) {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		size, addr, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		from, known := n.senderAt(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
		if !known {
			continue
		}
		if size > maxDatagramBytes {
			n.oversized.Add(1)
			continue
		}
		handle(from, buf[:size])
	}
}

const readRetryDelay = time.Millisecond // after a read error, to avoid a busy loop

// send sends a datagram of a hollow edge node to another one, or to all others if to is negative.
func (n *network) send(from, to int, data []byte) {
	n.countOut(from, data)
	switch {
	case to < 0:
		n.deliverAll(from, data)
	case to < len(n.conns):
		n.deliver(from, to, data)
	case to < n.config.Nodes:
		// An error loses the datagram, as a network may.
		_, _ = n.conns[from].WriteToUDPAddrPort(data, n.sinkAddrs[to-len(n.conns)])
	}
}

// deliver writes a datagram to an existing edge node.
func (n *network) deliver(from, to int, data []byte) {
	if n.config.isReal(to) {
		n.countIn(to, data) // a hollow edge node counts what it reads
	}
	_, _ = n.conns[from].WriteToUDPAddrPort(data, n.targets[to]) // an error loses it, as a network may
}

func (n *network) deliverAll(from int, data []byte) {
	for to := range n.conns {
		if to != from {
			n.deliver(from, to, data)
		}
	}
}

func (n *network) countIn(to int, data []byte) { n.counters[to].count(directionIn, data) }

func (n *network) countOut(from int, data []byte) {
	n.counters[from].count(directionOut, data)
	if k := kindOf(data); n.sample.Load() == nil && (k == kindObservation || k == kindMarkedObservation) {
		n.sample.CompareAndSwap(nil, &sample{append([]byte(nil), data...)})
	}
}

// countFirst counts a datagram of a real edge node as sent where the lab first receives it.
// Datagrams of hollow edge nodes are counted by send.
func (n *network) countFirst(from sender, data []byte) {
	if !from.relayed && n.config.isReal(from.number) {
		n.countOut(from.number, data)
	}
}

// startCount resets all counters.
func (n *network) startCount() {
	for _, l := range n.counters {
		l.reset()
	}
	n.sinkCounter.reset()
}

func (n *network) close() {
	for _, conn := range append(append([]*net.UDPConn{n.broadcast}, n.conns...), n.sinks...) {
		if conn != nil {
			conn.Close()
		}
	}
}

// kind is the kind of a datagram, from its second byte. Datagrams with another version byte are
// reports.
type kind int

// Failure observations, which edge nodes send to a server's health monitor.
const (
	kindObservation       kind = 3
	kindMarkedObservation kind = 6
)

// kindNames are the kinds of datagram of package policy, and a last one for reports and unknown
// datagrams.
var kindNames = [...]string{"ask", "answer", "ended", "sight", "verdict", "tables", "marked sight",
	"marked verdict", "leave", "handed", "took", "judged", "ended for", "still out", "report or other"}

const (
	shortVersion = 3 // version byte of all datagrams except reports
	kindOther    = kind(len(kindNames) - 1)
)

func kindOf(data []byte) kind {
	if len(data) < 2 || data[0] != shortVersion || kind(data[1]) >= kindOther {
		return kindOther
	}
	return kind(data[1])
}

// direction is the direction of a datagram as seen from an edge node.
type direction int

const (
	directionIn direction = iota
	directionOut
	directions
)

// flow counts datagrams and their bytes.
type flow struct{ datagrams, bytes int64 }

// datagramCounter counts the datagrams of one edge node.
type datagramCounter struct {
	mu            sync.Mutex
	flows         [directions][len(kindNames)]flow
	currentSecond int64 // Unix time of the current second
	inSecond      int   // datagrams received in the current second
	peak          int   // maximum datagrams received in a second
}

func (l *datagramCounter) count(d direction, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.flows[d][kindOf(data)]
	f.datagrams++
	f.bytes += int64(len(data))
	if d != directionIn {
		return
	}
	if now := time.Now().Unix(); now != l.currentSecond {
		l.currentSecond, l.inSecond = now, 0
	}
	l.inSecond++
	l.peak = max(l.peak, l.inSecond)
}

func (l *datagramCounter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows, l.peak, l.inSecond = [directions][len(kindNames)]flow{}, 0, 0
}

// read returns the counts and the peak.
func (l *datagramCounter) read() (flows [directions][len(kindNames)]flow, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flows, l.peak
}
