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
	f     *fleet
	socks []*net.UDPConn // by edge node; the last one reaches all
	addrs []string
	all   string
	from  map[netip.AddrPort]int
	in    []int // datagrams in the current second, by receiver
	sec   int
	peers []netip.AddrPort
}

func newRelay(f *fleet) (*relay, error) {
	r := &relay{f: f, from: map[netip.AddrPort]int{}, in: make([]int, len(f.nodes))}
	for i := range len(f.nodes) + 1 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return r, err
		}
		r.socks = append(r.socks, c)
		if i == len(f.nodes) {
			r.all = c.LocalAddr().String()
			continue
		}
		r.addrs = append(r.addrs, c.LocalAddr().String())
		at, err := netip.ParseAddrPort(f.nodes[i].addr)
		if err != nil {
			return r, err
		}
		r.peers = append(r.peers, at)
		r.from[at] = i
	}
	for i, c := range r.socks {
		go r.carry(i, c)
	}
	return r, nil
}

// carry reads the datagrams sent to one relay address and passes them on.
func (r *relay) carry(to int, c *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, src, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a temporary error, as when a receiver is down
		}
		from, known := r.from[netip.AddrPortFrom(src.Addr().Unmap(), src.Port())]
		if !known {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if len(data) > 256 {
			r.f.book.Broken(tally.Datagram, "-", from, r.f.since(), "a datagram of %d bytes", len(data))
		}
		for other := range r.f.nodes {
			if other != from && (other == to || to == len(r.f.nodes)) {
				r.post(from, other, data)
			}
		}
	}
}

// post drops, duplicates or delays a datagram on its way to a receiver.
func (r *relay) post(from, to int, data []byte) {
	f := r.f
	f.mu.Lock()
	copies := 1
	if f.mail.Float64() < f.w.Net.Duplicate {
		copies = 2
	}
	for range copies {
		if f.mail.Float64() < f.loss || f.deaf[to] || !f.passes(f.nodes[from].zone, f.nodes[to].zone) {
			f.book.MailLost++
			continue
		}
		wait := f.w.Net.Peer.D() + time.Duration(f.mail.ExpFloat64()*float64(f.w.Net.PeerMore))
		time.AfterFunc(wait, func() { r.arrive(from, to, data) })
	}
	f.mu.Unlock()
}

func (r *relay) arrive(from, to int, data []byte) {
	f := r.f
	f.mu.Lock()
	if sec := int(f.since() / time.Second); sec != r.sec {
		r.sec = sec
		clear(r.in)
	}
	if float64(r.in[to]) >= f.w.Net.Mail {
		f.book.MailLost++
		f.mu.Unlock()
		return
	}
	r.in[to]++
	f.book.MailPeak = int(math.Max(float64(f.book.MailPeak), float64(r.in[to])))
	f.book.Mail++
	f.book.MailBytes += int64(len(data))
	if w := f.book.Window(f.since()); w != nil {
		w.Mail++
	}
	f.mu.Unlock()
	_, _ = r.socks[from].WriteToUDPAddrPort(data, r.peers[to]) // a failed write counts as a datagram lost in the network
}

func (r *relay) close() {
	for _, c := range r.socks {
		c.Close()
	}
}
