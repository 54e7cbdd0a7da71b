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

const mostDatagram = 256 // bytes; longer ones break the platform's rule

// network carries the datagrams between edge nodes. Hollow ones and the relays of real
// ones have a socket each, whose address all are told; an edge node that does not exist
// has a sink socket. Each datagram is written to a socket of its receiver from the
// address that the receiver was told for the sender.
type network struct {
	config  *Config
	peers   []string               // as all edge nodes are told
	conns   []*net.UDPConn         // of those that exist: a hollow one's own, or a real one's relay
	targets []netip.AddrPort       // where datagrams to those that exist are written
	from    map[netip.AddrPort]int // by the address that an edge node itself writes from
	relayed map[netip.AddrPort]int // by the relay's address of a real one
	sinks   []*net.UDPConn
	sinkTo  []netip.AddrPort // by number, from the first that does not exist
	all     *net.UDPConn     // reaches all edge nodes, for real senders
	ledgers []*ledger        // by number
	sunk    ledger           // datagrams to those that don't exist
	sample  atomic.Pointer[sample]
	long    atomic.Int64 // datagrams over mostDatagram
}

// sample is a datagram that was seen, to be repeated.
type sample struct{ data []byte }

// newNetwork opens the sockets. The addresses of real edge nodes are theirs to open.
func newNetwork(c *Config, real []netip.AddrPort) (*network, error) {
	n := &network{config: c, from: map[netip.AddrPort]int{}, relayed: map[netip.AddrPort]int{}}
	for no := range c.existing() {
		if err := n.addNode(no, real); err != nil {
			return n, err
		}
	}
	if err := n.addSinks(c.Nodes - c.existing()); err != nil {
		return n, err
	}
	var err error
	n.all, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	return n, err
}

func (n *network) addNode(no int, real []netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return fmt.Errorf("socket of edge node %d: %w", no, err)
	}
	told := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	target := told
	if n.config.isReal(no) {
		target = real[no-n.config.firstReal()]
		n.relayed[told] = no
	}
	n.conns, n.peers, n.targets = append(n.conns, conn), append(n.peers, told.String()), append(n.targets, target)
	n.from[target] = no
	n.ledgers = append(n.ledgers, &ledger{})
	return nil
}

// addSinks opens a socket for each edge node that does not exist, all at one port.
func (n *network) addSinks(count int) error {
	port := 0
	for i := range count {
		at := &net.UDPAddr{IP: net.IPv4(127, 2, byte(i>>8), byte(i)), Port: port}
		conn, err := net.ListenUDP("udp4", at)
		if err != nil {
			return fmt.Errorf("sink socket %d of %d: %w", i+1, count, err)
		}
		addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		port = int(addr.Port())
		n.sinks, n.sinkTo, n.peers = append(n.sinks, conn), append(n.sinkTo, addr), append(n.peers, addr.String())
	}
	return nil
}

// run starts the readers of all sockets but those of hollow edge nodes.
func (n *network) run() {
	for no := range n.conns {
		if n.config.isReal(no) {
			go n.read(n.conns[no], func(from sender, data []byte) {
				n.noteOut(from.no, data)
				n.deliver(from.no, no, data)
			})
		}
	}
	for _, conn := range n.sinks {
		go n.read(conn, func(from sender, data []byte) {
			n.sunk.note(directionIn, data)
			n.noteFirst(from, data)
		})
	}
	go n.read(n.all, func(from sender, data []byte) {
		n.noteOut(from.no, data)
		n.deliverAll(from.no, data)
	})
}

// sender is who a datagram is from.
type sender struct {
	no      int
	relayed bool // it came through the lab, and is counted as sent already
}

// senderAt tells who writes from an address.
func (n *network) senderAt(addr netip.AddrPort) (from sender, known bool) {
	if no, own := n.from[addr]; own {
		return sender{no: no}, true
	}
	no, known := n.relayed[addr]
	return sender{no, true}, known
}

// read hands over what edge nodes that exist send to a socket, until it is closed. The
// data holds until the function returns.
func (n *network) read(conn *net.UDPConn, take func(from sender, data []byte)) {
	buf := make([]byte, mostDatagram+1)
	for {
		size, addr, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readPause)
			continue
		}
		from, known := n.senderAt(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
		if !known {
			continue
		}
		if size > mostDatagram {
			n.long.Add(1)
			continue
		}
		take(from, buf[:size])
	}
}

const readPause = time.Millisecond // behind an error, so that none is met without pause

// tell sends a hollow edge node's datagram to one edge node, or to all for a number
// below 0.
func (n *network) tell(from, to int, data []byte) {
	n.noteOut(from, data)
	switch {
	case to < 0:
		n.deliverAll(from, data)
	case to < len(n.conns):
		n.deliver(from, to, data)
	case to < n.config.Nodes:
		_, _ = n.conns[from].WriteToUDPAddrPort(data, n.sinkTo[to-len(n.conns)]) // lost, like one on the way
	}
}

// deliver writes a datagram to an edge node that exists.
func (n *network) deliver(from, to int, data []byte) {
	if n.config.isReal(to) {
		n.noteIn(to, data) // a hollow one counts what it reads
	}
	_, _ = n.conns[from].WriteToUDPAddrPort(data, n.targets[to]) // lost, like one on the way
}

func (n *network) deliverAll(from int, data []byte) {
	for to := range n.conns {
		if to != from {
			n.deliver(from, to, data)
		}
	}
}

func (n *network) noteIn(to int, data []byte) { n.ledgers[to].note(directionIn, data) }

func (n *network) noteOut(from int, data []byte) {
	n.ledgers[from].note(directionOut, data)
	if k := kindOf(data); n.sample.Load() == nil && (k == kindSight || k == kindMarkedSight) {
		n.sample.CompareAndSwap(nil, &sample{append([]byte(nil), data...)})
	}
}

// noteFirst counts a real edge node's datagram as sent where the lab sees it first; a
// hollow one's is counted when it is told.
func (n *network) noteFirst(from sender, data []byte) {
	if !from.relayed && n.config.isReal(from.no) {
		n.noteOut(from.no, data)
	}
}

// startCount forgets what was counted before.
func (n *network) startCount() {
	for _, l := range n.ledgers {
		l.reset()
	}
	n.sunk.reset()
}

func (n *network) close() {
	for _, conn := range append(append([]*net.UDPConn{n.all}, n.conns...), n.sinks...) {
		if conn != nil {
			conn.Close()
		}
	}
}

// kind is that of a datagram, by its second byte; those that start otherwise are reports.
type kind int

// Words on an outcome to the server's watcher.
const (
	kindSight       kind = 3
	kindMarkedSight kind = 6
)

// The kinds of datagram of the module's wire, and one for reports and unknown ones.
var kindNames = [...]string{"ask", "answer", "ended", "sight", "verdict", "tables", "marked sight", "marked verdict",
	"leave", "handed", "took", "judged", "ended for", "still out", "report or other"}

const (
	shortVersion = 3 // of all datagrams but reports
	kindOther    = kind(len(kindNames) - 1)
)

func kindOf(data []byte) kind {
	if len(data) < 2 || data[0] != shortVersion || kind(data[1]) >= kindOther {
		return kindOther
	}
	return kind(data[1])
}

// direction of a datagram, seen from an edge node.
type direction int

const (
	directionIn direction = iota
	directionOut
	directions
)

// flow counts datagrams and their bytes.
type flow struct{ datagrams, bytes int64 }

// ledger counts the datagrams of one edge node.
type ledger struct {
	mu     sync.Mutex
	flows  [directions][len(kindNames)]flow
	second int64 // Unix time of the second at hand
	within int   // datagrams taken in during that second
	peak   int   // most taken in during a second
}

func (l *ledger) note(d direction, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.flows[d][kindOf(data)]
	f.datagrams++
	f.bytes += int64(len(data))
	if d != directionIn {
		return
	}
	if now := time.Now().Unix(); now != l.second {
		l.second, l.within = now, 0
	}
	l.within++
	l.peak = max(l.peak, l.within)
}

func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows, l.peak, l.within = [directions][len(kindNames)]flow{}, 0, 0
}

// read is what was counted.
func (l *ledger) read() (flows [directions][len(kindNames)]flow, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flows, l.peak
}
