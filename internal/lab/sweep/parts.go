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

// exchangeLimit bounds the wait for datagrams and answers on loopback.
const exchangeLimit = 10 * time.Second

// What lies beside the module, each measured alone.

// partsOfServers measures what is done with a list: decoding, and a snapshot of it.
func partsOfServers(servers int, memory policy.SavedState) ([]sample, error) {
	text := listText(servers)
	var err error
	decode := 0.0
	list, heap := heapOf(func() *roster.List {
		l := &roster.List{}
		decode = timed(func() { err = json.Unmarshal(text, l) })
		return l
	})
	if err != nil || len(list.Targets) != servers {
		return nil, fmt.Errorf("%d of %d lines decoded: %w", len(list.Targets), servers, err)
	}
	state := &snapshot.State{Name: "n0", List: list, Memory: memory}
	var file []byte
	encode := timed(func() { file, err = snapshot.Encode(state) })
	if err != nil {
		return nil, err
	}
	return []sample{
		{"list: text", bytesUnit, float64(len(text))},
		{"list: decoded and checked", micros, decode},
		{"list: heap", bytesUnit, heap},
		{"snapshot: encoded", micros, encode},
		{"snapshot: file", bytesUnit, float64(len(file))},
	}, nil
}

// listText is a list in discovery's form.
func listText(servers int) []byte {
	l := roster.List{Rev: 1, All: true}
	for i := range servers {
		l.Targets = append(l.Targets, roster.Target{UID: fmt.Sprintf("s-%08x", i+1), Endpoint: fmt.Sprintf("10.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
			Zone: zone(i), Cell: i / serversPerCell, State: "SERVING", Weight: 1, BootMS: 1})
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain fields
	}
	return text
}

// partsOfNodes measures what grows with the table of peers.
func partsOfNodes(nodes int) ([]sample, error) {
	text := []byte(fileText(nodes))
	source := config.Source{Getenv: func(string) string { return "" }}
	var file *config.File
	var err error
	parse := timed(func() { file, err = source.Parse(text) })
	if err != nil {
		return nil, err
	}
	parsed, fileHeap := heapOf(func() *config.File {
		f, _ := source.Parse(text) // as it was a moment ago
		return f
	})
	table, tableHeap := heapOf(func() map[netip.AddrPort]int { return addressTable(file.Peers) })
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(table)
	voters := timed(func() { lease.Voters("nightly", nodes) })
	vote, err := leaseMessage(nodes)
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
		{"configuration: parsed and checked", micros, parse},
		{"configuration: heap", bytesUnit, fileHeap},
		{"peers: table of addresses", bytesUnit, tableHeap},
		{"lease: choice of voters", micros, voters},
		{"lease: a message at a voter", micros, vote},
		{"a datagram over loopback, sent and received", micros, exchange},
		{"operators: GET /status, both ends", micros, status},
	}, nil
}

// addressTable is the table by which datagrams are told apart, as the edge node keeps it.
func addressTable(peers []netip.AddrPort) map[netip.AddrPort]int {
	table := make(map[netip.AddrPort]int, len(peers))
	for i, a := range peers {
		table[a] = i
	}
	return table
}

// fileText is a configuration of so many edge nodes.
func fileText(nodes int) string {
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

// leaseMessage is the time that a voter spends on a candidate's question.
func leaseMessage(nodes int) (float64, error) {
	const term = 3 * time.Second
	voters := lease.Voters("nightly", nodes)
	if len(voters) < 2 {
		return 0, fmt.Errorf("%d voters", len(voters))
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
			d.Handle(now, voters[1], lease.Message{Kind: lease.Prepare, Duty: lease.Digest("nightly"), Ballot: ballot, Holder: uint16(voters[1])})
		}
	})
	return w.micros(), nil
}

// exchangeTime is the processor time of a datagram between two sockets on loopback, both
// ends together, without what is made of it.
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
	if err := to.SetReadDeadline(time.Now().Add(exchangeLimit)); err != nil {
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
	return w.micros(), err
}

// operated answers operators with a fixed status.
type operated struct{}

func (operated) Status() node.Status {
	return node.Status{Name: "n0", Ready: true, Phase: "serving", Current: &config.Generation{Number: 1}}
}
func (operated) Check([]byte) error                   { return nil }
func (operated) Apply(context.Context) error          { return nil }
func (operated) RollBack(context.Context) error       { return nil }
func (operated) CancelShutdown(context.Context) error { return nil }

// statusTime is the processor time of a question for the status over loopback, the
// client's included.
func statusTime() (float64, error) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	ln, err := admin.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return 0, err
	}
	served := make(chan error, 1)
	go func() { served <- admin.Serve(ctx, ln, operated{}) }()
	client := &http.Client{Transport: &http.Transport{}, Timeout: exchangeLimit}
	defer client.CloseIdleConnections()
	us := timed(func() {
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

// routeHeap is the memory of a table of so many entries by name, each with a small record:
// what routes and services would cost, had the settings a field for them.
func routeHeap(entries int) float64 {
	type route struct{ service, plan, class string }
	table, heap := heapOf(func() map[string]*route {
		m := make(map[string]*route, entries)
		for i := range entries {
			m[fmt.Sprintf("/library/%06d/loans", i)] = &route{service: fmt.Sprintf("service-%03d", i%1000), plan: planRate, class: class}
		}
		return m
	})
	runtime.KeepAlive(table)
	return heap
}
