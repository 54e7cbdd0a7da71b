package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// door is a listener that gives out what it is handed.
type door struct{ next chan any }

func (d door) Accept() (net.Conn, error) {
	switch v := (<-d.next).(type) {
	case net.Conn:
		return v, nil
	case error:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", v)}
	}
	return nil, net.ErrClosed
}

func (door) Close() error   { return nil }
func (door) Addr() net.Addr { return nil }

// Whatever error the system gives at the door, the next client is let in: errors that
// belong to a connection on its way come out there. Only a listener that is none any
// more ends serving.
func TestNoAcceptErrorEndsServing(t *testing.T) {
	const lastErrno = 133 // of Linux
	for n := syscall.Errno(1); n <= lastErrno; n++ {
		gone := n == syscall.EBADF || n == syscall.EINVAL || n == syscall.ENOTSOCK
		synctest.Test(t, func(t *testing.T) {
			s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 4)
			d, done := door{make(chan any)}, make(chan error, 1)
			go func() { done <- s.serve(d) }()
			for range 3 {
				d.next <- n
				if gone {
					if err := <-done; !errors.Is(err, n) {
						t.Errorf("%v: %v", n, err)
					}
					return
				}
			}
			mine, theirs := net.Pipe()
			select {
			case d.next <- theirs:
			case err := <-done:
				t.Errorf("%v ended serving: %v", n, err)
				return
			}
			fmt.Fprint(mine, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			if all, err := io.ReadAll(mine); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
				t.Errorf("%v: then %q, %v", n, all, err)
			}
			d.next <- nil
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// Where descriptors are used up one is freed at once and no more than one: a connection
// that lingered would have the next error come 5 ms later, and another close.
func TestDescriptorsUsedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 100)
		d, done := door{make(chan any)}, make(chan error, 1)
		go func() { done <- s.serve(d) }()
		var mine []net.Conn
		for range 3 {
			c, theirs := net.Pipe()
			mine = append(mine, c)
			d.next <- theirs
		}
		synctest.Wait()
		d.next <- syscall.EMFILE
		synctest.Wait()
		if open, _ := s.activity(); open != 2 {
			t.Errorf("%d of 3 connections open behind an error", open)
		}
		d.next <- nil
		if err := <-done; err != nil {
			t.Error(err)
		}
		for _, c := range mine {
			c.Close()
		}
		time.Sleep(time.Second)
	})
}

// An address that the process before still has is waited for, but not for ever; any other
// fault is told at once.
func TestAddressWaitedFor(t *testing.T) {
	for _, c := range []struct {
		errs  []error // the last again and again
		tries int     // 0: as many as fit
		want  error
	}{
		{[]error{nil}, 1, nil},
		{[]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, nil}, 4, nil},
		{[]error{syscall.EADDRINUSE, syscall.EACCES}, 2, syscall.EACCES},
		{[]error{syscall.EADDRINUSE}, 0, syscall.EADDRINUSE},
	} {
		synctest.Test(t, func(t *testing.T) {
			tries, began := 0, time.Now()
			err := retryListen(began.Add(listenRetryTimeout), func() error {
				tries++
				return c.errs[min(tries, len(c.errs))-1]
			})
			took := time.Since(began)
			if !errors.Is(err, c.want) || (c.tries > 0) != (tries == c.tries) || took > listenRetryTimeout+listenRetryDelay || c.tries == 0 && took < listenRetryTimeout {
				t.Errorf("%v: %v after %d tries, %v", c.errs, err, tries, took)
			}
		})
	}
}

// A client that asks before it sends its body is told to go on, however long ago its
// connection carried an answer.
func TestContinueOnAnOldConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 4)
		mine, theirs := net.Pipe()
		cc := s.addConn(theirs)
		go s.serveConn(cc)
		r := bufio.NewReader(mine)
		line := func(want string) {
			t.Helper()
			if got, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
				t.Fatalf("%q, %v, want %q", got, err, want)
			}
		}
		fmt.Fprint(mine, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		line("HTTP/1.1 503 ")
		for range 2 {
			_, _ = r.ReadString('\n')
		}
		_, _ = io.ReadFull(r, make([]byte, len("not ready")))
		time.Sleep(writeTimeout + time.Second)
		fmt.Fprint(mine, "GET /healthz HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line("HTTP/1.1 100 ")
		line("\r\n")
		fmt.Fprint(mine, "ab")
		line("HTTP/1.1 503 ")
		mine.Close()
	})
}

// A timer that the module sets anew each time, as soon as can be, does not keep events
// from being taken.
func TestTimersLeaveRoomForEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // the clock stands still while the loop works
		l := newLoop(clock{time.Now()}, nil, nil)
		for range 3 {
			l.perform(policy.SetTimer{Token: "again", After: -time.Second})
		}
		now := l.clock.now()
		for _, x := range l.timers {
			if x.at <= now {
				t.Fatalf("a timer is due at %v, and it is %v: fire would never end", x.at, now)
			}
		}
	})
}

// A line of the list that can't be used keeps no edge node from being ready, nor the
// others from being served by.
func TestBadLineOfTheList(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "hits"))
	n := start(t, testConfig(t, newRegistry(t, target{UID: "s-1", State: "ASLEEP"}, serving("s-00000002", a.addr()),
		serving("", a.addr()), serving("s-00000003", "nowhere")).addr))
	if resp, body := ask(t, request(n.url, "lookup", patience)); resp.StatusCode != 200 || body != "hits" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
}

// Signals that keep coming put a planned stop off no longer than the first.
func TestStopUnderSignalsThatKeepComing(t *testing.T) {
	n := nodeWith(t, refusing(t))
	testkit.Eventually(t, "its end", func() bool { n.stop(); return len(n.done) > 0 })
}
