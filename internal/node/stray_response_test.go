package node

import (
	"bufio"
	"flag"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"valvering.example/valvering/policy"
)

var (
	strayAnswers = flag.Int("strays", 200, "stray answers to send")
	straySlow    = flag.Bool("strays-slow", false,
		"send them on connections whose requests are acknowledged at once")
	straySeed = flag.Uint64("strays-seed", 1, "seed of the moments at which they are sent")
)

// delayedAcknowledgment is longer than Linux delays a TCP acknowledgment.
const delayedAcknowledgment = 50 * time.Millisecond

// strayServer is a server that responds to requests and sends stray responses without a request.
type strayServer struct {
	addr    string
	conn    chan *net.TCPConn
	arrived atomic.Bool // a byte of the next request has been received
	// delays responses until the kernel has acknowledged the request, also for the next one
	slow atomic.Bool
}

// serve responds to each request on a connection. It sets arrived before it reads the first byte of a
// request from the kernel.
func (s *strayServer) serve(c *net.TCPConn) {
	defer c.Close()
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	s.conn <- c
	in := bufio.NewReader(c)
	for {
		if in.Buffered() == 0 {
			_ = raw.Read(func(fd uintptr) bool {
				var first [1]byte
				_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return err != syscall.EAGAIN
			})
			s.arrived.Store(true)
		}
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if s.slow.Load() {
			time.Sleep(delayedAcknowledgment)
		}
		if _, err := io.WriteString(c, responseHits); err != nil {
			return
		}
	}
}

// sendStray sends a stray response. It reports whether the kernel had received no byte of the next request
// by then, so that the response can't belong to that request.
func (s *strayServer) sendStray(c *net.TCPConn) (before bool) {
	_, err := io.WriteString(c, responseOther)
	raw, rawErr := c.SyscallConn()
	if err != nil || rawErr != nil {
		return false
	}
	unread, readErr := 1, error(nil)
	_ = raw.Control(func(fd uintptr) { unread, readErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return readErr == nil && unread == 0 && !s.arrived.Load()
}

// strayCounts counts the trials of one run by their result.
type strayCounts struct{ before, wrong, wrongBefore, served, failed int }

// A server sends a stray response within 300 us of the next request on its idle connection. A stray
// response that was sent before the request arrived must not be accepted as the response to it. If the
// server's kernel acknowledges a request before the response, some are still accepted: with -strays-slow
// the test only counts them.
func TestStrayAnswersAtAnyMoment(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	server := &strayServer{addr: ln.Addr().String(), conn: make(chan *net.TCPConn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go server.serve(c.(*net.TCPConn))
		}
	}()
	u := newTestUpstream(ln.Addr().String())
	rng := rand.New(rand.NewPCG(*straySeed, 1))
	var counts strayCounts
	for range *strayAnswers {
		counts.add(strayTrial(t, u, server, rng))
	}
	t.Logf("%+v", counts)
	if counts.wrongBefore > 0 && !*straySlow {
		t.Errorf("%d of %d requests got a response that was sent before they arrived", counts.wrongBefore,
			counts.before)
	}
}

func (n *strayCounts) add(before bool, r result, body string) {
	wrong := r.code == policy.OK && body != "hits"
	if before {
		n.before++
	}
	switch {
	case wrong && before:
		n.wrongBefore++
		fallthrough
	case wrong:
		n.wrong++
	case r.code == policy.OK:
		n.served++
	default:
		n.failed++
	}
}

// strayTrial leaves a connection idle, sends a stray response on it around the time of the next request,
// and returns the result of that request.
func strayTrial(t *testing.T, u *upstream, server *strayServer, rng *rand.Rand) (before bool, r result,
	body string) {
	const maxOffset = 300 * time.Microsecond
	u.update(&serverList{}, true) // closes the connections of earlier trials
	u.reusePauses = reusePauses{} // the reuse pauses of earlier trials must not apply
	for len(server.conn) > 0 {
		<-server.conn
	}
	u.update(&serverList{Targets: []target{servingTarget("s-00000001", server.addr)}}, true)
	server.slow.Store(*straySlow)
	var conn *net.TCPConn
	for i := range 1 + rng.IntN(4) {
		_, do := u.newAttempt(clientTimeout)
		if r, body := do(); r.code != policy.OK || body != "hits" {
			t.Fatalf("request %d: code %d, %q", i, r.code, body)
		}
		if i == 0 {
			conn = <-server.conn
		}
	}
	time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Millisecond))))
	server.slow.Store(false)
	server.arrived.Store(false)
	_, do := u.newAttempt(clientTimeout)
	requestAt := time.Now().Add(2 * maxOffset)
	strayAt := requestAt.Add(time.Duration(rng.Int64N(int64(2*maxOffset))) - maxOffset)
	sent := make(chan bool, 1)
	go func() {
		spinUntil(strayAt)
		sent <- server.sendStray(conn)
	}()
	spinUntil(requestAt)
	r, body = do()
	return <-sent, r, body
}

// spinUntil waits until a time more precisely than a timer.
func spinUntil(at time.Time) {
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}
