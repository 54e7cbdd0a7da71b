package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// A restarted edge node becomes ready with the list it knows although discovery answers no
// call: with a list from its snapshot or from its configuration, after a kill and after an
// orderly shutdown, whether discovery refuses calls, never answers them or is overloaded.
// The test logs the time until ready. The timeouts for the first discovery call and for
// reading the state directory bound it; both are far below 10 s.
func TestRestartedIsReadyWithoutDiscovery(t *testing.T) {
	const restarts = 4
	for _, discovery := range []string{"refuses", "is silent", "is overloaded"} {
		for _, known := range []string{"snapshot", "file", "both"} {
			t.Run(fmt.Sprintf("discovery %s, list from %s", discovery, known), func(t *testing.T) {
				s := newDeployment(t)
				if known != "snapshot" {
					s.extraFields = fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[%s]},`,
						strings.Join(*s.serverLines.Load(), ","))
				}
				if known == "file" {
					s.stateDir = "" // the configuration names no state directory
				}
				s.write(`{"name":"dasar"}`)
				s.start()
				if known != "file" {
					testkit.Eventually(t, "the list on disk", func() bool {
						return s.snapshotLists(s.servers[1].Addr().String())
					})
				}
				s.disableDiscovery(discovery)
				longest := time.Duration(0)
				for i := range restarts {
					if i%2 == 0 {
						s.signal(syscall.SIGKILL)
					} else {
						s.signal(syscall.SIGTERM)
					}
					_ = s.cmd.Wait()
					began := time.Now()
					s.start()
					longest = max(longest, time.Since(began))
				}
				t.Logf("%d restarts, ready after at most %v", restarts, longest.Round(time.Millisecond))
				c := s.startClients(2)
				c.awaitServed(10)
				c.finish()
			})
		}
	}
}

// disableDiscovery makes discovery answer no call with a list from now on.
func (s *deployment) disableDiscovery(how string) {
	switch how {
	case "refuses":
		s.discoveryDown.Store(true)
	case "is silent":
		hold := make(chan struct{})
		s.discoveryHold.Store(&hold)
	case "is overloaded": // it is busy with other calls and refuses this one late
		s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		s.t.Cleanup(s.discovery.Close)
		s.write(`{"name":"dasar"}`)
	}
}
