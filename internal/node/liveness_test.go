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

// fakeListener is a listener whose Accept returns the connections and errors that the test sends.
type fakeListener struct{ next chan any }

func (d fakeListener) Accept() (net.Conn, error) {
	switch v := (<-d.next).(type) {
	case net.Conn:
		return v, nil
	case error:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", v)}
	}
	return nil, net.ErrClosed
}

func (fakeListener) Close() error   { return nil }
func (fakeListener) Addr() net.Addr { return nil }

// Whatever error accept returns, the next client is accepted: accept also reports errors of single
// connections that failed before they were accepted. Only an unusable listener ends serving.
func TestNoAcceptErrorEndsServing(t *testing.T) {
	const lastErrno = 133 // the last errno of Linux
	for n := syscall.Errno(1); n <= lastErrno; n++ {
		unusable := n == syscall.EBADF || n == syscall.EINVAL || n == syscall.ENOTSOCK
		synctest.Test(t, func(t *testing.T) {
			s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 4, nil)
			d, done := fakeListener{make(chan any)}, make(chan error, 1)
			go func() { done <- s.serve(d) }()
			for range 3 {
				d.next <- n
				if unusable {
					if err := <-done; !errors.Is(err, n) {
						t.Errorf("%v: %v", n, err)
					}
					return
				}
			}
			client, server := net.Pipe()
			select {
			case d.next <- server:
			case err := <-done:
				t.Errorf("%v ended serving: %v", n, err)
				return
			}
			fmt.Fprint(client, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			if all, err := io.ReadAll(client); err != nil ||
				!strings.HasPrefix(string(all), "HTTP/1.1 503 ") {
				t.Errorf("%v: then %q, %v", n, all, err)
			}
			d.next <- nil
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// When descriptors run out, exactly one connection is closed, and its descriptor is freed at once. If it
// lingered, the next accept would fail 5 ms later and close another connection.
func TestOutOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 100, nil)
		d, done := fakeListener{make(chan any)}, make(chan error, 1)
		go func() { done <- s.serve(d) }()
		var clients []net.Conn
		for range 3 {
			c, server := net.Pipe()
			clients = append(clients, c)
			d.next <- server
		}
		synctest.Wait()
		d.next <- syscall.EMFILE
		synctest.Wait()
		if open, _ := s.activity(); open != 2 {
			t.Errorf("%d of 3 connections open after an error", open)
		}
		d.next <- nil
		if err := <-done; err != nil {
			t.Error(err)
		}
		for _, c := range clients {
			c.Close()
		}
		time.Sleep(time.Second)
	})
}

// Listening is retried for a limited time while the previous process still has the address. Any other error
// is returned at once.
func TestRetriesBusyAddress(t *testing.T) {
	for _, c := range []struct {
		errs  []error // results of the tries; the last one repeats
		tries int     // 0: any number until the timeout
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
			if !errors.Is(err, c.want) || (c.tries > 0) != (tries == c.tries) ||
				took > listenRetryTimeout+listenRetryDelay || c.tries == 0 && took < listenRetryTimeout {
				t.Errorf("%v: %v after %d tries, %v", c.errs, err, tries, took)
			}
		})
	}
}

// A client that sends "Expect: 100-continue" gets the interim response, however old its connection is.
func TestContinueOnAnOldConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHTTPServer(clock{time.Now()}, nil, nil, nil, 4, nil)
		client, server := net.Pipe()
		cc := s.addConn(server)
		go s.serveConn(cc)
		r := bufio.NewReader(client)
		expectLine := func(want string) {
			t.Helper()
			if got, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
				t.Fatalf("%q, %v, want %q", got, err, want)
			}
		}
		fmt.Fprint(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		expectLine("HTTP/1.1 503 ")
		for range 2 {
			_, _ = r.ReadString('\n')
		}
		_, _ = io.ReadFull(r, make([]byte, len("not ready")))
		time.Sleep(writeTimeout + time.Second)
		fmt.Fprint(client,
			"GET /healthz HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		expectLine("HTTP/1.1 100 ")
		expectLine("\r\n")
		fmt.Fprint(client, "ab")
		expectLine("HTTP/1.1 503 ")
		client.Close()
	})
}

// A timer that policy sets again with the shortest delay doesn't keep the loop from handling events.
func TestTimersLeaveRoomForEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // the clock stands still while the loop works
		l := newLoop(clock{time.Now()}, nil, nil)
		for range 3 {
			l.perform(policy.SetTimer{Token: "again", After: -time.Second})
		}
		now := l.clock.now()
		for _, x := range l.timers {
			if x.at <= now {
				t.Fatalf("a timer is due at %v, and it is %v: fireTimers would never return", x.at, now)
			}
		}
	})
}

// An invalid line of the list doesn't prevent readiness or the use of other servers.
func TestInvalidLineOfList(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "hits"))
	n := startNode(t, testConfig(t, newDiscoveryServer(t, target{UID: "s-1", State: "ASLEEP"},
		servingTarget("s-00000002", a.addr()),
		servingTarget("", a.addr()), servingTarget("s-00000003", "nowhere")).addr))
	if resp, body := doRequest(t, newRequest(n.url, "lookup", clientTimeout)); resp.StatusCode != 200 ||
		body != "hits" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
}

// Repeated signals don't delay a shutdown.
func TestShutdownUnderRepeatedSignals(t *testing.T) {
	n := startNodeWithServers(t, unusedAddr(t))
	testkit.Eventually(t, "the end of Run", func() bool { n.requestShutdown(); return len(n.done) > 0 })
}
