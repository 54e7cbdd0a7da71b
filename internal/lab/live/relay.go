package live

import (
	"errors"
	"math"
	"net"
	"net/netip"
	"time"

	"valvering.example/valvering/internal/lab/tally"
)

// relay emulates the network between the edge nodes. Each edge node has a relay address,
// to which the others send datagrams and from which its own datagrams arrive; one more
// address reaches all edge nodes. The relay delays, drops and duplicates datagrams and
// applies network cuts.
type relay struct {
	fleet         *fleet
	sockets       []*net.UDPConn // by edge node; the last one reaches all
	addrs         []string
	broadcastAddr string
	senders       map[netip.AddrPort]int
	received      []int // datagrams in the current second, by receiver
	currentSecond int
	nodeAddrs     []netip.AddrPort
}

func newRelay(f *fleet) (*relay, error) {
	r := &relay{fleet: f, senders: map[netip.AddrPort]int{}, received: make([]int, len(f.nodes))}
	for i := range len(f.nodes) + 1 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return r, err
		}
		r.sockets = append(r.sockets, c)
		if i == len(f.nodes) {
			r.broadcastAddr = c.LocalAddr().String()
			continue
		}
		r.addrs = append(r.addrs, c.LocalAddr().String())
		addr, err := netip.ParseAddrPort(f.nodes[i].addr)
		if err != nil {
			return r, err
		}
		r.nodeAddrs = append(r.nodeAddrs, addr)
		r.senders[addr] = i
	}
	for i, c := range r.sockets {
		go r.forward(i, c)
	}
	return r, nil
}

// forward reads the datagrams sent to one relay address and passes them on.
func (r *relay) forward(to int, c *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, src, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a temporary error, as when a receiver is down
		}
		from, known := r.senders[netip.AddrPortFrom(src.Addr().Unmap(), src.Port())]
		if !known {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if len(data) > 256 {
			r.fleet.book.Broken(tally.Datagram, "-", from, r.fleet.elapsed(), "a datagram of %d bytes",
				len(data))
		}
		for other := range r.fleet.nodes {
			if other != from && (other == to || to == len(r.fleet.nodes)) {
				r.transmit(from, other, data)
			}
		}
	}
}

// transmit drops, duplicates or delays a datagram on its way to a receiver.
func (r *relay) transmit(from, to int, data []byte) {
	f := r.fleet
	f.mu.Lock()
	copies := 1
	if f.datagramRand.Float64() < f.world.Net.Duplicate {
		copies = 2
	}
	for range copies {
		if f.datagramRand.Float64() < f.datagramLoss || f.receivesNone[to] ||
			!f.reachable(f.nodes[from].zone, f.nodes[to].zone) {
			f.book.DatagramsLost++
			continue
		}
		delay := f.world.Net.Peer.D() +
			time.Duration(f.datagramRand.ExpFloat64()*float64(f.world.Net.PeerMore))
		time.AfterFunc(delay, func() { r.deliver(from, to, data) })
	}
	f.mu.Unlock()
}

func (r *relay) deliver(from, to int, data []byte) {
	f := r.fleet
	f.mu.Lock()
	if second := int(f.elapsed() / time.Second); second != r.currentSecond {
		r.currentSecond = second
		clear(r.received)
	}
	if float64(r.received[to]) >= f.world.Net.Mail {
		f.book.DatagramsLost++
		f.mu.Unlock()
		return
	}
	r.received[to]++
	f.book.DatagramPeak = int(math.Max(float64(f.book.DatagramPeak), float64(r.received[to])))
	f.book.DatagramsReceived++
	f.book.DatagramBytes += int64(len(data))
	if w := f.book.Window(f.elapsed()); w != nil {
		w.DatagramsReceived++
	}
	f.mu.Unlock()
	// a failed write counts as a datagram lost in the network
	_, _ = r.sockets[from].WriteToUDPAddrPort(data, r.nodeAddrs[to])
}

func (r *relay) close() {
	for _, c := range r.sockets {
		c.Close()
	}
}
