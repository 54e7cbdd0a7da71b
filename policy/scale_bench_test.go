package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleetSize measures one gateway in fleets of the present and of the planned size: a request
// without a quota and its outcome, an idle tick, and a change of one server in the list.
func BenchmarkFleetSize(b *testing.B) {
	for _, size := range []struct{ gateways, servers, zones int }{{300, 200, 4}, {300, 2000, 4},
		{plannedGateways, plannedServers, plannedZones}} {
		set := baseSettings()
		set.Gateways = size.gateways
		servers := zonedServers(size.servers, size.zones)
		name := fmt.Sprintf("%dx%d", size.gateways, size.servers)
		b.Run("request/"+name, func(b *testing.B) {
			w := newHarness(b, set, servers)
			for range b.N {
				w.now += time.Millisecond
				_, acts := w.request("safe", "free", "c", 1)
				for _, s := range of[Send](acts) {
					w.do(Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 50 * ms, Answered: true})
				}
			}
		})
		b.Run("tick/"+name, func(b *testing.B) {
			w := newHarness(b, set, servers)
			for range b.N {
				w.advance(w.g.tick)
			}
		})
		b.Run("change/"+name, func(b *testing.B) {
			w := newHarness(b, set, servers)
			for i := range b.N {
				m := servers[i*7919%len(servers)]
				m.State = State(i / len(servers) % 2)
				w.do(ServerListUpdate{Kind: Changes, Servers: []Server{m}})
			}
		})
	}
}
