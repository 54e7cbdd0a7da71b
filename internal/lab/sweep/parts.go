package sweep

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"valvering.example/valvering/internal/admin"
	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/lease"
	"valvering.example/valvering/internal/node"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/snapshot"
	"valvering.example/valvering/policy"
)

// exchangeTimeout is the timeout for datagrams and responses on loopback.
const exchangeTimeout = 10 * time.Second

// The functions below measure parts of an edge node outside package policy, each on its own.

// partsOfServers measures the decoding of a list and its encoding in a snapshot.
func partsOfServers(servers int, saved policy.SavedState) ([]sample, error) {
	text := listText(servers)
	var err error
	decode := 0.0
	list, heap := heapOf(func() *roster.List {
		l := &roster.List{}
		decode = timeOperation(func() { err = json.Unmarshal(text, l) })
		return l
	})
	if err != nil || len(list.Targets) != servers {
		return nil, fmt.Errorf("decoded only %d of %d lines: %w", len(list.Targets), servers, err)
	}
	state := &snapshot.State{Name: "n0", List: list, Memory: saved}
	var file []byte
	encode := timeOperation(func() { file, err = snapshot.Encode(state) })
	if err != nil {
		return nil, err
	}
	return []sample{
		{"list: text", bytesUnit, float64(len(text))},
		{"list: decoded and checked", microsUnit, decode},
		{"list: heap", bytesUnit, heap},
		{"snapshot: encoded", microsUnit, encode},
		{"snapshot: file", bytesUnit, float64(len(file))},
	}, nil
}

// listText returns a list in discovery's encoding.
func listText(servers int) []byte {
	l := roster.List{Rev: 1, All: true}
	for i := range servers {
		l.Targets = append(l.Targets, roster.Target{UID: fmt.Sprintf("s-%08x", i+1),
			Endpoint: fmt.Sprintf("10.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
			Zone:     zoneName(i), Cell: i / serversPerCell, State: "SERVING", Weight: 1, BootMS: 1})
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // the fields always encode
	}
	return text
}

// partsOfNodes measures costs that grow with the number of peers.
func partsOfNodes(nodes int) ([]sample, error) {
	text := []byte(configText(nodes))
	source := config.Source{Getenv: func(string) string { return "" }}
	var file *config.File
	var err error
	parse := timeOperation(func() { file, err = source.Parse(text) })
	if err != nil {
		return nil, err
	}
	parsed, fileHeap := heapOf(func() *config.File {
		f, _ := source.Parse(text) // parsed without error above
		return f
	})
	table, tableHeap := heapOf(func() map[netip.AddrPort]int { return addressTable(file.Peers) })
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(table)
	voters := timeOperation(func() { lease.Voters("nightly", nodes) })
	vote, err := leaseMessageTime(nodes)
	if err != nil {
		return nil, err
	}
	exchange, err := exchangeTime()
	if err != nil {
		return nil, err
	}
	status, err := statusTime()
	if err != nil {
		return nil, err
	}
	return []sample{
		{"configuration: text", bytesUnit, float64(len(text))},
		{"configuration: parsed and checked", microsUnit, parse},
		{"configuration: heap", bytesUnit, fileHeap},
		{"peers: table of addresses", bytesUnit, tableHeap},
		{"lease: choice of voters", microsUnit, voters},
		{"lease: a message at a voter", microsUnit, vote},
		{"a datagram over loopback, sent and received", microsUnit, exchange},
		{"operators: GET /status, both ends", microsUnit, status},
	}, nil
}

// addressTable returns a table of peers by address, which an edge node uses to identify the sender
// of a datagram.
func addressTable(peers []netip.AddrPort) map[netip.AddrPort]int {
	table := make(map[netip.AddrPort]int, len(peers))
	for i, a := range peers {
		table[a] = i
	}
	return table
}

// configText returns the configuration of an edge node with the given number of peers.
func configText(nodes int) string {
	var peers []string
	for i := range nodes {
		peers = append(peers, fmt.Sprintf(`"10.%d.%d.%d:7946"`, i>>16, i>>8&255, i&255))
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","peer_listen":"127.0.0.1:0","seed":"1","peers":[%s],
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":{"me":0,"balancers":%d,"zone":"a","tick_ms":2,"discovery":"push",
"caps":{"max_attempts":6,"cancel":true,"peers":true,"retry_after":true,"max_retry_after_ms":1000,"dial_timeout_ms":250,"conn_idle_ms":15000},
"family_info":{"largest":6,"mail_per_s":100},"rules":{"drain_grace_ms":2000},
"classes":[{"name":"katalog","aim_ms":300,"hard_limit_ms":1000,"semantics":"repeatable","group":"all"}],
"plans":[{"name":"dasar","rate":10,"store_size":50}]}}`, strings.Join(peers, ","), nodes)
}

// leaseMessageTime returns the time of a voter for a candidate's prepare message in microseconds.
func leaseMessageTime(nodes int) (float64, error) {
	const term = 3 * time.Second
	voters := lease.Voters("nightly", nodes)
	if len(voters) < 2 {
		return 0, fmt.Errorf("the lease has %d voters, want at least 2", len(voters))
	}
	now, ballot := time.Duration(0), uint64(0)
	d := lease.New(lease.Settings{Name: "nightly", Term: term, Drift: 0.01}, voters[0], voters, 1, now, 1)
	now += 2 * term
	const times = 100
	var w stopwatch
	w.run(times, func() {
		for range times {
			ballot += 1 << 16
			now += time.Millisecond
			d.Handle(now, voters[1], lease.Message{Kind: lease.Prepare, Duty: lease.Digest("nightly"),
				Ballot: ballot, Holder: uint16(voters[1])})
		}
	})
	return w.meanMicros(), nil
}

// exchangeTime returns the processor time of sending and receiving a datagram on loopback in
// microseconds, without its handling.
func exchangeTime() (float64, error) {
	const times, size = 200, 32
	here := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	from, err := net.ListenUDP("udp4", here)
	if err != nil {
		return 0, err
	}
	defer from.Close()
	to, err := net.ListenUDP("udp4", here)
	if err != nil {
		return 0, err
	}
	defer to.Close()
	if err := to.SetReadDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return 0, err
	}
	addr, data := to.LocalAddr().(*net.UDPAddr).AddrPort(), make([]byte, size)
	var w stopwatch
	w.run(times, func() {
		for i := 0; i < times && err == nil; i++ {
			if _, err = from.WriteToUDPAddrPort(data, addr); err == nil {
				_, _, err = to.ReadFromUDPAddrPort(data)
			}
		}
	})
	return w.meanMicros(), err
}

// stubNode implements admin's interface to an edge node with a fixed status.
type stubNode struct{}

func (stubNode) Status() node.Status {
	return node.Status{Name: "n0", Ready: true, Phase: "serving", Current: &config.Generation{Number: 1}}
}
func (stubNode) Check([]byte) error                   { return nil }
func (stubNode) Apply(context.Context) error          { return nil }
func (stubNode) RollBack(context.Context) error       { return nil }
func (stubNode) CancelShutdown(context.Context) error { return nil }

// statusTime returns the processor time of a status request over loopback in microseconds,
// including the client.
func statusTime() (float64, error) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	ln, err := admin.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return 0, err
	}
	served := make(chan error, 1)
	go func() { served <- admin.Serve(ctx, ln, stubNode{}) }()
	client := &http.Client{Transport: &http.Transport{}, Timeout: exchangeTimeout}
	defer client.CloseIdleConnections()
	us := timeOperation(func() {
		resp, getErr := client.Get("http://" + ln.Addr().String() + "/status")
		if getErr != nil {
			err = getErr
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	})
	end()
	<-served
	return us, err
}

// routeHeap returns the memory of a map with the given number of small records by name. This
// estimates the cost of routes and services, for which the settings have no field.
func routeHeap(entries int) float64 {
	type route struct{ service, plan, class string }
	table, heap := heapOf(func() map[string]*route {
		m := make(map[string]*route, entries)
		for i := range entries {
			m[fmt.Sprintf("/library/%06d/loans", i)] = &route{service: fmt.Sprintf("service-%03d", i%1000),
				plan: planRate, class: className}
		}
		return m
	})
	runtime.KeepAlive(table)
	return heap
}
