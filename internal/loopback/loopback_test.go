package loopback

import (
	"net"
	"testing"
)

// Nothing listens at a reserved address. Its user can open it repeatedly, and no request for
// any free port gets it.
func TestReserve(t *testing.T) {
	a, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if c, err := net.Dial("tcp", a.String()); err == nil {
		c.Close()
		t.Fatal("a program listens at the reserved address")
	}
	_, port, _ := net.SplitHostPort(a.String())
	for range 3 {
		ln, err := net.Listen("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		udp, err := net.ListenPacket("udp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		udp.Close()
	}
	var open []net.Listener
	for range 500 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, ln)
		if _, other, _ := net.SplitHostPort(ln.Addr().String()); other == port {
			t.Errorf("port %s was given to another listener", port)
		}
	}
	for _, ln := range open {
		ln.Close()
	}
}
