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
	maxDatagramBytes = 256
	peerQueueLength  = 256 // datagrams waiting to be sent; more are dropped
	flushTimeout     = 100 * time.Millisecond
)

// peers exchanges datagrams with the other edge nodes.
type peers struct {
	conn          *net.UDPConn
	addrs         []netip.AddrPort // by number of the edge node
	broadcastAddr netip.AddrPort   // one address that reaches all edge nodes; invalid: there is none
	outgoing      chan datagram
	onMessage     func(from int, data []byte) // receives datagrams; data is its own copy
}

// datagram is a queued message, or a marker of flush if flushed is set.
type datagram struct {
	to      netip.AddrPort
	data    []byte
	flushed chan struct{} // closed once all datagrams queued before are sent
}

// listenPeers opens the UDP socket for datagrams of the other edge nodes.
func listenPeers(listen string, addrs []netip.AddrPort, broadcastAddr netip.AddrPort,
	onMessage func(int, []byte)) (*peers, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return &peers{conn: conn, addrs: addrs, broadcastAddr: broadcastAddr,
		outgoing: make(chan datagram, peerQueueLength), onMessage: onMessage}, nil
}

// send queues a message to one edge node, or to all if the number is negative. It
// never blocks: when the queue is full it drops the message, as the network may.
func (p *peers) send(to int, data []byte) {
	switch {
	case len(data) > maxDatagramBytes || to >= len(p.addrs):
		slog.Error("message to a peer dropped", "to", to, "bytes", len(data))
	case to >= 0:
		p.enqueue(p.addrs[to], data)
	case p.broadcastAddr.IsValid():
		p.enqueue(p.broadcastAddr, data)
	default:
		for _, a := range p.addrs {
			p.enqueue(a, data)
		}
	}
}

// enqueue adds a datagram to the queue, or drops it if the queue is full.
func (p *peers) enqueue(to netip.AddrPort, data []byte) {
	select {
	case p.outgoing <- datagram{to: to, data: data}:
	default:
	}
}

// flush waits until the queued datagrams are sent, for at most flushTimeout. A longer wait would
// guarantee nothing: the network may still lose them.
func (p *peers) flush() {
	flushed, timeout := make(chan struct{}), time.After(flushTimeout)
	select {
	case p.outgoing <- datagram{flushed: flushed}:
	case <-timeout:
		return
	}
	select {
	case <-flushed:
	case <-timeout:
	}
}

// sendLoop writes queued datagrams to the socket until done is closed.
func (p *peers) sendLoop(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case d := <-p.outgoing:
			if d.flushed != nil {
				close(d.flushed)
				continue
			}
			_, _ = p.conn.WriteToUDPAddrPort(d.data, d.to) // equivalent to loss in the network
		}
	}
}

// receiveLoop passes datagrams from known edge nodes to onMessage until the socket is closed.
func (p *peers) receiveLoop() {
	numbers := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		numbers[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// An ICMP error of an earlier send, or a lack of memory. The pause prevents a busy loop.
			time.Sleep(minAcceptDelay)
			continue
		}
		number, known := numbers[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && n > 0 && n <= maxDatagramBytes {
			p.onMessage(number, append([]byte(nil), buf[:n]...))
		}
	}
}
