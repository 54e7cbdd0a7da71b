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

// A restarted edge node is ready by the list it knows, though discovery answers no call: with
// a list from its snapshot or from its file, after a kill and after a planned stop, whether
// discovery refuses, swallows or is long overbooked. The time is logged; what bounds it is
// knownWait, and openWait for a disk that hangs, which are far below 10 s.
func TestRestartedIsReadyWithoutDiscovery(t *testing.T) {
	const restarts = 4
	for _, discovery := range []string{"refuses", "swallows", "overbooked"} {
		for _, known := range []string{"snapshot", "file", "both"} {
			t.Run(fmt.Sprintf("discovery %s, list from %s", discovery, known), func(t *testing.T) {
				s := newService(t)
				if known != "snapshot" {
					s.more = fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[%s]},`, strings.Join(*s.list.Load(), ","))
				}
				if known == "file" {
					s.state = "" // the configuration names no state directory
				}
				s.write(`{"name":"dasar"}`)
				s.start()
				if known != "file" {
					testkit.Eventually(t, "the list on disk", func() bool { return s.keeps(s.lenders[1].Addr().String()) })
				}
				s.overrun(discovery)
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
				t.Logf("%d restarts, ready after %v at the latest", restarts, longest.Round(time.Millisecond))
				c := s.load(2)
				c.more(10)
				c.finish()
			})
		}
	}
}

// overrun has discovery answer no call from now on.
func (s *service) overrun(how string) {
	switch how {
	case "refuses":
		s.down.Store(true)
	case "swallows":
		hold := make(chan struct{})
		s.silent.Store(&hold)
	case "overbooked": // it works on others' calls meanwhile, and refuses this one late
		s.disc = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		s.t.Cleanup(s.disc.Close)
		s.write(`{"name":"dasar"}`)
	}
}
