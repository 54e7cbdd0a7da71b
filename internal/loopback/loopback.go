// Package loopback reserves local addresses for programs that start later or restart.
// A port that was found free by opening and closing it may belong to another program
// by the time the intended one opens it. Clients would then reach the wrong program.
//
// An Address stays reserved until it is closed: the package keeps its port open at
// 127.0.0.1, while the address itself has another loopback IP. This works against
// programs that request any free port at 127.0.0.1 or at all addresses. Nothing listens
// at the reserved address.
package loopback

import (
	"fmt"
	"net"
)

// reservedIP is the IP of reserved addresses. Their ports are kept open at 127.0.0.1.
const reservedIP = "127.1.0.1"

// Address is a reserved address, for TCP and UDP.
type Address struct {
	listener net.Listener
	text     string
}

// Reserve reserves an address.
func Reserve() (*Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("reserve a loopback address: %w", err)
	}
	_, port, err := net.SplitHostPort(ln.Addr().String())
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("reserve a loopback address: %w", err)
	}
	return &Address{ln, net.JoinHostPort(reservedIP, port)}, nil
}

// String returns the address in the form host:port.
func (a *Address) String() string { return a.text }

// Close ends the reservation.
func (a *Address) Close() { a.listener.Close() }
