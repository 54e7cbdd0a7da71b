package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// idleClients hold connections open and send nothing on them. A closed connection is opened
// again, so that the edge node always holds as many descriptors as it allows.
type idleClients struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// fillDescriptors starts n idle clients.
func fillDescriptors(addr string, n int) *idleClients {
	i := &idleClients{stop: make(chan struct{})}
	for range n {
		i.wg.Go(func() { i.holdConnection(addr) })
	}
	return i
}

// holdConnection opens one connection after another until stop is closed.
func (i *idleClients) holdConnection(addr string) {
	for {
		if c, err := net.Dial("tcp", addr); err == nil {
			closed := make(chan struct{})
			go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
			select {
			case <-closed:
			case <-i.stop:
			}
			c.Close()
			<-closed
		}
		select {
		case <-i.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (i *idleClients) closeAll() {
	close(i.stop)
	i.wg.Wait()
}

// replaceDiscovery starts another discovery server, at a new address, with the current list.
func (s *deployment) replaceDiscovery() {
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, s.revision.Load(),
			strings.Join(*s.serverLines.Load(), ","))
	}))
	s.t.Cleanup(s.discovery.Close)
}

// writeWithDrainGrace writes a configuration that allows sending requests to a draining server
// for ms milliseconds.
func (s *deployment) writeWithDrainGrace(ms string) {
	s.t.Helper()
	s.write(`{"name":"dasar"}`)
	text, err := os.ReadFile(s.config)
	if err != nil {
		s.t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"drain_grace_ms":2000`), []byte(`"drain_grace_ms":`+ms), 1)
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// Idle clients fill the descriptors while discovery is down. A descriptor must remain for the
// watch in each case that opens one: the first call, the calls after a watch broke or was
// refused, several concurrent calls to an agent that never answers, and the first call to
// another address.
func TestWatchOpensDespiteIdleClients(t *testing.T) {
	// the shorter the grace, the more concurrent calls
	for maxDescriptors, grace := range map[int]string{32: "250", 64: "2000"} {
		for _, path := range []string{"first call, silent", "first call, refused", "watch, silent", "watch, refused", "other address, silent"} {
			t.Run(fmt.Sprintf("%d descriptors, %s", maxDescriptors, path), func(t *testing.T) {
				s := newDeployment(t)
				s.maxDescriptors = maxDescriptors
				s.extraFields = fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[%s]},`,
					strings.Join(*s.serverLines.Load(), ","))
				s.writeWithDrainGrace(grace)
				hold := make(chan struct{})
				stopDiscovery := func() {
					if strings.HasSuffix(path, "refused") {
						s.discoveryDown.Store(true)
					} else {
						s.discoveryHold.Store(&hold)
					}
				}
				if strings.HasPrefix(path, "first call") {
					stopDiscovery()
					s.start()
				} else {
					s.start()
					listed := newTestServer(s)
					s.servers = append(s.servers, listed)
					s.setServers([]string{listed.line(1<<10, 0)})
					c := s.startClients(1)
					testkit.Eventually(t, "requests to a server of discovery's list", func() bool {
						return listed.requests.Load() > 0
					})
					c.stop()
					stopDiscovery()
				}
				idle := fillDescriptors(s.listen, 3*maxDescriptors)
				s.awaitLog("discovery does not answer")
				testkit.Eventually(t, "the descriptors for clients in use", func() bool {
					return s.descriptors() >= maxDescriptors/2
				})
				c := s.startClientsLike(&clients{deadline: 2000, serversFail: true, descriptorsShort: true},
					2)
				for range 20 { // admin connections compete for descriptors too
					_, _, _ = s.tryAdmin("GET", "/status")
				}
				c.awaitServed(20) // idle connections are closed in favour of those with requests
				fresh := newTestServer(s)
				s.setServers([]string{fresh.line(1<<20, 0)})
				if strings.HasPrefix(path, "other address") {
					s.replaceDiscovery()
					s.writeWithDrainGrace(grace)
					s.signal(syscall.SIGHUP)
				} else {
					s.discoveryHold.Store(nil)
					s.discoveryDown.Store(false)
					close(hold)
				}
				testkit.Eventually(t, "requests to a server of the new list", func() bool {
					return fresh.requests.Load() > 0
				})
				c.stop()
				idle.closeAll()
				if strings.HasPrefix(path, "other address") {
					close(hold)
				}
				if log := s.log.String(); strings.Contains(log, "too many open files") {
					t.Errorf("the program ran out of descriptors:\n%s", log)
				}
			})
		}
	}
}
