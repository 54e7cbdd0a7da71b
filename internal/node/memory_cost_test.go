package node

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/memory"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // frees what the first one has put into pools' second generation
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// gatewayOf returns the policy module of an edge node in a fleet of the given size.
func gatewayOf(t *testing.T, gateways int) *policy.Gateway {
	t.Helper()
	g, err := policy.New(policy.Settings{Gateways: gateways, Resolution: time.Millisecond, CanSendMessages: true,
		DatagramsPerSecond: 100, MaxUnits: 6, MaxAttempts: 6,
		Classes: []policy.Class{{Name: "safe", LatencyTarget: time.Second, Deadline: time.Second}},
		Plans:   []policy.Plan{{Name: "rate", Rate: 1, Burst: 1000, MaxInFlight: 1000}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against a server list that takes more memory than the plan assumes for its lines, which would take an
// edge node over its limit: the directory, the policy module, and a new list that is decoded and compared.
func TestServerLineTakesPlannedMemory(t *testing.T) {
	const servers = 20000
	var text strings.Builder
	text.WriteString(`{"rev":1,"all":true,"targets":[`)
	for i := range servers {
		fmt.Fprintf(&text, `%s{"uid":"s-%08x","endpoint":"10.%d.%d.%d:8443","az":"zone-%d","model":"m","pod_group":%d,`+
			`"state":"SERVING","capacity_hint":1,"boot_ms":0}`, ","[:min(i, 1)], i, i>>16, i>>8&255, i&255, i%18, i%1000)
	}
	text.WriteString(`]}`)
	for _, fleet := range []struct {
		gateways int
		planned  int64
	}{{6200, memory.ServerLineBytes},
		{13, memory.ServerLineBytes + memory.TrackedServerBytes + memory.TrackedClassBytes}} {
		before := liveHeap()
		g, directory := gatewayOf(t, fleet.gateways), roster.NewDirectory()
		l := &loop{upstream: &upstream{directory: directory}}
		decode := func() *serverList {
			list, err := roster.Decode(strings.NewReader(text.String()), roster.LimitsFor(192))
			if err != nil {
				t.Fatal(err)
			}
			return list
		}
		list := decode()
		directory.Update(list, true, 0, func(policy.ServerID) {})
		for _, part := range splitList(1, list.Targets, maxPartLines, policy.FullList, policy.Changes) {
			g.Handle(time.Second, policy.ServerListUpdate{Kind: part.kind, Servers: l.policyServers(part.list.Targets)}, nil)
		}
		list = decode()
		used := liveHeap() - before
		runtime.KeepAlive(list)
		runtime.KeepAlive(g)
		runtime.KeepAlive(directory)
		t.Logf("%d bytes a line in a fleet of %d", used/servers, fleet.gateways)
		if used > servers*fleet.planned {
			t.Errorf("%d bytes a line in a fleet of %d, the plan has %d", used/servers, fleet.gateways, fleet.planned)
		}
	}
}

// Guards against customers that take more memory than the plan assumes, in a fleet with roots and in a small
// one with reports of all others.
func TestCustomerTakesPlannedMemory(t *testing.T) {
	const customers = 20000
	for _, gateways := range []int{1, 3, 13, 300, 6200} {
		before := liveHeap()
		g := gatewayOf(t, gateways)
		for i := range customers {
			g.Handle(time.Second, policy.Request{ID: policy.RequestID(i), Customer: fmt.Sprintf("%016x", i),
				Plan: "rate", Class: "safe", Units: 1, Remaining: time.Second, Spread: min(gateways, 16)}, nil)
			g.Handle(time.Second, policy.ClientDisconnected{ID: policy.RequestID(i)}, nil)
		}
		used := liveHeap() - before
		runtime.KeepAlive(g)
		t.Logf("%d bytes a customer in a fleet of %d", used/customers, gateways)
		if used > customers*memory.CustomerBytes {
			t.Errorf("%d bytes a customer in a fleet of %d, the plan has %d", used/customers, gateways,
				memory.CustomerBytes)
		}
	}
}

// Guards against connections that take more fixed memory than the plan assumes: idle ones, ones with a
// partial request of many header fields, and ones whose request is in flight, with its server connection.
func TestConnectionTakesPlannedMemory(t *testing.T) {
	const conns = 200
	n := startNodeWithServers(t, newTestServer(t, neverRespond).addr())
	fields := strings.Repeat("A-field-of-usual-length: b\r\n", 85)
	for state, text := range map[string]func(i int) string{
		"idle":    func(int) string { return "GET /healthz HTTP/1.1\r\n" + fields + "\r\n" },
		"reading": func(int) string { return "POST /loan HTTP/1.1\r\n" + fields + "Content-Length: 1000\r\n\r\n" },
		"in flight": func(i int) string {
			return strings.Replace(loanOf(fmt.Sprint("flight", i), 1000), "Host: a\r\n", "Host: a\r\n"+fields, 1)
		},
	} {
		t.Run(state, func(t *testing.T) {
			before, stackBefore := liveHeap(), stackBytes()
			var open []net.Conn
			for i := range conns {
				open = append(open, sendText(t, n, text(i)))
			}
			testkit.Eventually(t, "all requests read", func() bool {
				n.server.mu.Lock()
				defer n.server.mu.Unlock()
				return len(n.server.conns) >= conns
			})
			time.Sleep(200 * time.Millisecond) // until their texts are read
			used := liveHeap() - before + stackBytes() - stackBefore - n.server.memory.Usage().Reserved
			t.Logf("%d bytes a connection, %d to servers", used/conns, n.upstream.openConns())
			planned := int64(conns*memory.ClientConnBytes + n.upstream.openConns()*memory.ServerConnBytes)
			if used > planned {
				t.Errorf("%d bytes a connection, the plan has %d", used/conns, planned/conns)
			}
			for _, c := range open {
				c.Close()
			}
			testkit.Eventually(t, "most connections closed", func() bool {
				n.server.mu.Lock()
				defer n.server.mu.Unlock()
				return len(n.server.conns) < conns/10
			})
		})
	}
}

// stackBytes returns the memory of goroutines' stacks.
func stackBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.StackInuse)
}

// openConns returns the number of open connections to servers.
func (u *upstream) openConns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}
