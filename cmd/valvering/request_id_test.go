package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

const (
	unsoundAnswerTimeout = 3 * time.Second        // an unsound request is answered or its connection closed
	clientStay           = 400 * time.Millisecond // until the client of the first request leaves
	impostorStay         = 2 * time.Second        // longer than the first request would have taken
	impostorPause        = 20 * time.Millisecond  // between two requests of an impostor
)

// rawClient is a client's connection.
type rawClient struct {
	net.Conn
	in *bufio.Reader
}

func (s *deployment) dialClient() rawClient {
	s.t.Helper()
	c, err := net.DialTimeout("tcp", s.listen, time.Second)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(unsoundAnswerTimeout))
	return rawClient{c, bufio.NewReader(c)}
}

// exchange sends a message and returns the status of the response, or 0 if the connection was closed.
func (c rawClient) exchange(t *testing.T, message string) int {
	t.Helper()
	go func() { _, _ = io.WriteString(c, message) }() // the edge node may close before all is written
	resp, err := http.ReadResponse(c.in, nil)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("neither answered nor closed within %v", unsoundAnswerTimeout)
	}
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// soundRequest returns a valid request of a class.
func soundRequest(class, id string) string {
	method, length, body := "POST", "Content-Length: 2\r\n", "{}"
	if class == "katalog" {
		method, length, body = "GET", "", ""
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: dasar\r\n"+
		"Cookie: key=%016x\r\nX-Deadline-Ms: 2000\r\n%s\r\n%s", method, class, id, class, 7, length, body)
}

// attemptsOf returns the number of attempts of a request that servers have answered.
func (s *deployment) attemptsOf(id string) int {
	n, ok := s.attempts.Load(id)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int32).Load())
}

// swallowRequests makes all servers keep the requests that come from now on, or serve them again.
func (s *deployment) swallowRequests(swallows bool) {
	for _, server := range s.servers {
		server.swallows.Store(swallows)
	}
}

// Guards against a request being run a second time, for another client, when its id comes again after its
// client has left and while a server still has it.
func TestRequestIDComesAgainAfterItsClientLeft(t *testing.T) {
	for _, class := range []string{"katalog", "perpanjang"} {
		t.Run(class, func(t *testing.T) {
			s := newDeployment(t)
			s.write(`{"name":"dasar"}`)
			s.start()
			s.swallowRequests(true)
			id := "4fcbc5439ae44f14"
			first := s.dialClient()
			if _, err := io.WriteString(first, soundRequest(class, id)); err != nil {
				t.Fatal(err)
			}
			testkit.Eventually(t, "the request at a server", func() bool {
				return s.servers[0].swallowed.Load()+s.servers[1].swallowed.Load() == 1
			})
			sendAgain := func(what string, until time.Time) {
				for time.Now().Before(until) {
					if status := s.dialClient().exchange(t, soundRequest(class, id)); status == http.StatusOK {
						t.Fatalf("the id was served again %s, %v before the end", what, time.Until(until))
					}
					time.Sleep(impostorPause)
				}
			}
			sendAgain("beside its client", time.Now().Add(clientStay))
			first.Close()
			s.swallowRequests(false)
			sendAgain("after its client left", time.Now().Add(impostorStay))
			if got := s.attemptsOf(id); got != 0 {
				t.Errorf("the request was sent on %d times more", got)
			}
		})
	}
}

// Guards against a request being run a second time when its id comes again after it was answered.
func TestRequestIDComesAgainAfterItsResponse(t *testing.T) {
	s := newDeployment(t)
	s.write(`{"name":"dasar"}`)
	s.start()
	for _, class := range []string{"katalog", "perpanjang"} {
		c, id := s.dialClient(), "id-"+class
		if status := c.exchange(t, soundRequest(class, id)); status != http.StatusOK {
			t.Fatalf("%s: the first request got status %d", class, status)
		}
		if status := c.exchange(t, soundRequest(class, id)); status < 400 {
			t.Errorf("%s: the second request with the id got status %d", class, status)
		}
		if got := s.attemptsOf(id); got != 1 {
			t.Errorf("%s: %d attempts", class, got)
		}
	}
}
