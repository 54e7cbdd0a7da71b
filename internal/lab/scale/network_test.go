package scale

import (
	"net"
	"net/netip"
	"testing"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// TestDatagramsAreCounted checks that datagrams are counted by sender, receiver and kind on every
// path: between hollow and real edge nodes, to all, and to edge nodes that don't exist.
func TestDatagramsAreCounted(t *testing.T) {
	c := &Config{Nodes: 10, Real: 2, Hollow: 2}
	const hollow, real, otherReal = 0, 1, 2
	var reals []*net.UDPConn
	var addrs []netip.AddrPort
	for range c.Real {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reals, addrs = append(reals, conn), append(addrs, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	n, err := newNetwork(c, addrs)
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	n.startReaders()
	go n.read(n.conns[hollow], func(from sender, data []byte) {
		n.countIn(hollow, data)
		n.countFirst(from, data)
	})
	ask, verdict := []byte{shortVersion, 0, 1, 2}, []byte{shortVersion, 4, 1}
	send := func(from *net.UDPConn, to string, data []byte) {
		t.Helper()
		at, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := from.WriteTo(data, at); err != nil {
			t.Fatal(err)
		}
	}
	n.send(hollow, real, ask)                                 // hollow to real
	n.send(hollow, 7, ask)                                    // hollow to a missing one
	send(reals[0], n.peers[hollow], ask)                      // real to hollow
	send(reals[0], n.peers[otherReal], ask)                   // real to real
	send(reals[0], n.peers[9], ask)                           // real to a missing one
	send(reals[0], n.broadcast.LocalAddr().String(), verdict) // real to all
	check := func(no int, d direction, k kind, want, bytes int64) {
		t.Helper()
		testkit.Eventually(t, kindNames[k], func() bool {
			flows, _ := n.counters[no].read()
			return flows[d][k] == flow{want, bytes}
		})
	}
	check(hollow, directionOut, 0, 2, 8)
	check(hollow, directionIn, 0, 1, 4)
	check(hollow, directionIn, 4, 1, 3)
	check(real, directionIn, 0, 1, 4)
	check(real, directionOut, 0, 3, 12)
	check(real, directionOut, 4, 1, 3)
	check(otherReal, directionIn, 0, 1, 4)
	check(otherReal, directionIn, 4, 1, 3)
	testkit.Eventually(t, "two datagrams in the sinks", func() bool {
		flows, _ := n.sinkCounter.read()
		return flows[directionIn][0] == flow{2, 8}
	})
	// Each datagram comes from the address in the list of peers.
	for _, want := range []string{n.peers[hollow], n.peers[otherReal]} {
		buf := make([]byte, maxDatagramBytes)
		conn := reals[0]
		if want == n.peers[otherReal] {
			n.deliver(otherReal, real, ask)
		}
		if _, from, err := conn.ReadFromUDP(buf); err != nil || from.String() != want {
			t.Errorf("from %v, want %s: %v", from, want, err)
		}
	}
}

// TestKinds checks that the names of the kinds match the encoding of package policy.
func TestKinds(t *testing.T) {
	for _, data := range [][]byte{nil, {1}, {shortVersion}, {2, 0, 0}, {shortVersion, 200}} {
		if kindOf(data) != kindOther {
			t.Errorf("%v: kind %s, want the last kind", data, kindNames[kindOf(data)])
		}
	}
	// Fields of an ask: customer, first, spread, plan, class, units, remaining
	// milliseconds, tag, ask chance, token fill, client retry.
	ask := append([]byte{shortVersion, 0}, make([]byte, 8+2+2+1+1+2+2+4+1+1+1)...)
	if _, is := policy.ReadAsk(ask); !is || kindNames[kindOf(ask)] != "ask" {
		t.Errorf("ask: %v, %s", is, kindNames[kindOf(ask)])
	}
	answer := append([]byte{shortVersion, 1}, make([]byte, 4+1+1+1+1)...)
	if _, is := policy.ReadAnswer(answer); !is || kindNames[kindOf(answer)] != "answer" {
		t.Errorf("answer: %v, %s", is, kindNames[kindOf(answer)])
	}
}
