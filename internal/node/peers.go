package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"
)

const (
	maxDatagram = 256 // bytes
	peerQueue   = 256 // datagrams waiting to be sent; more are dropped
	maxFlush    = 100 * time.Millisecond
)

// peers exchanges datagrams with the other edge nodes.
type peers struct {
	conn *net.UDPConn
	to   []netip.AddrPort // by number of the edge node
	all  netip.AddrPort   // one address that reaches all edge nodes; invalid: there is none
	out  chan datagram
	hear func(from int, data []byte) // receives datagrams; data is its own copy
}

// datagram is a queued message, or a marker for flush if sent is set.
type datagram struct {
	to   netip.AddrPort
	data []byte
	sent chan struct{} // closed once all datagrams queued before are sent
}

// listenPeers opens the UDP socket for datagrams of the other edge nodes.
func listenPeers(
	listen string, to []netip.AddrPort, all netip.AddrPort, hear func(int, []byte),
) (*peers, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{conn: conn, to: to, all: all, out: make(chan datagram, peerQueue), hear: hear}, nil
}

// tell queues a message to one edge node, or to all if the number is negative. It
// never blocks: when the queue is full it drops the message, as the network may.
func (p *peers) tell(to int, data []byte) {
	switch {
	case len(data) > maxDatagram || to >= len(p.to):
		slog.Error("message to a peer dropped", "to", to, "bytes", len(data))
	case to >= 0:
		p.queue(p.to[to], data)
	case p.all.IsValid():
		p.queue(p.all, data)
	default:
		for _, a := range p.to {
			p.queue(a, data)
		}
	}
}

// queue adds a datagram to the queue, or drops it if the queue is full.
func (p *peers) queue(to netip.AddrPort, data []byte) {
	select {
	case p.out <- datagram{to: to, data: data}:
	default:
	}
}

// flush waits until the queued datagrams are sent, for at most maxFlush. A longer wait would
// guarantee nothing: the network may still lose them.
func (p *peers) flush() {
	sent, late := make(chan struct{}), time.After(maxFlush)
	select {
	case p.out <- datagram{sent: sent}:
	case <-late:
		return
	}
	select {
	case <-sent:
	case <-late:
	}
}

// send writes queued datagrams to the socket until done is closed.
func (p *peers) send(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case d := <-p.out:
			if d.sent != nil {
				close(d.sent)
				continue
			}
			_, _ = p.conn.WriteToUDPAddrPort(d.data, d.to) // equivalent to loss in the network
		}
	}
}

// receive passes datagrams from known edge nodes to hear until the socket is closed.
func (p *peers) receive() {
	from := make(map[netip.AddrPort]int, len(p.to))
	for i, a := range p.to {
		from[a] = i
	}
	buf := make([]byte, maxDatagram+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// An ICMP error of an earlier send, or a lack of memory. The pause prevents a busy loop.
			time.Sleep(acceptPause)
			continue
		}
		num, known := from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n > 0 && n <= maxDatagram {
			p.hear(num, append([]byte(nil), buf[:n]...))
		}
	}
}
