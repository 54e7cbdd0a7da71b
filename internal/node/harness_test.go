package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/testkit"
)

const clientTimeout = 10 * time.Second // how long a test client waits for a response

// testServer is a server that handles each request as the test specifies.
type testServer struct {
	ln           net.Listener
	conns        atomic.Int32 // accepted
	requests     atomic.Int32 // complete requests received
	closedByNode atomic.Int32 // connections that the edge node closed
}

// newTestServer starts a server. handle returns false to close the connection.
func newTestServer(t *testing.T, handle func(c net.Conn, r *http.Request, body string) bool) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &testServer{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.conns.Add(1)
			t.Cleanup(func() { c.Close() })
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						a.closedByNode.Add(1)
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					a.requests.Add(1)
					if !handle(c, r, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return a
}

func (a *testServer) addr() string { return a.ln.Addr().String() }

// respondWith returns a handler that sends a response with the given status line and headers.
func respondWith(status, headers, body string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return true
	}
}

// addField adds a field to a head that was not read from a connection.
func (h *head) addField(name, value string) {
	start := len(h.text)
	h.text = append(h.text, name+value...)
	colon, end := uint16(start+len(name)), uint16(len(h.text))
	h.fields = append(h.fields, field{span{uint16(start), colon}, span{colon, end}})
}

// neverRespond reads requests and never answers.
func neverRespond(net.Conn, *http.Request, string) bool { return true }

// unusedAddr returns an address where nothing listens.
var unusedAddr = testkit.FreeAddr

// discoveryServer is a discovery service with long-polling.
type discoveryServer struct {
	mu      sync.Mutex
	rev     int64
	list    []target
	changed chan struct{} // closed and replaced at each change
	down    bool
	calls   atomic.Int32
	http    *http.Server
	addr    string
}

func newDiscoveryServer(t *testing.T, list ...target) *discoveryServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &discoveryServer{rev: 1, list: list, changed: make(chan struct{}), addr: ln.Addr().String()}
	g.http = &http.Server{Handler: g}
	go g.http.Serve(ln)
	t.Cleanup(func() { g.http.Close() })
	return g
}

func (g *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	g.mu.Lock()
	since, changed, down := r.URL.Query().Get("since"), g.changed, g.down
	if down {
		g.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if since == fmt.Sprint(g.rev) {
		g.mu.Unlock()
		wait, _ := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		g.mu.Lock()
	}
	defer g.mu.Unlock()
	l := serverList{Rev: g.rev, All: since == "", Targets: g.list}
	if since == fmt.Sprint(g.rev) {
		l.Targets = []target{}
	}
	_ = json.NewEncoder(w).Encode(l)
}

func (g *discoveryServer) set(down bool, list ...target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	g.list, g.down = list, down
	close(g.changed)
	g.changed = make(chan struct{})
}

func servingTarget(uid, addr string) target {
	return target{UID: uid, Endpoint: addr, Zone: "a", State: "SERVING", Weight: 1}
}

const testSettings = `{"me":0,"balancers":1,"zone":"a","zones":["a"],"tick_ms":1,"discovery":"push",
 "caps":{"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_ms":1500.0,"dial_timeout_ms":250.0,"conn_idle_ms":15000.0},
 "family_info":{"largest":6,"mail_per_s":60},"report":{"names":["cpu","rps"]},"rules":{"drain_grace_ms":250},
 "classes":[{"name":"lookup","aim_ms":400.0,"hard_limit_ms":10000.0,"semantics":"repeatable","group":"all"},
  {"name":"loan","aim_ms":1000,"hard_limit_ms":10000,"semantics":"by_key","group":"cell","window_ms":2500}],
 "plans":[{"name":"town"},{"name":"tiny","rate":0.001,"store_size":0.5}]}`

func testConfig(t *testing.T, discovery string) *config.History {
	t.Helper()
	return fileConfig(t, discovery, "", testSettings)
}

// fileConfig writes a configuration file, which the test may rewrite, and loads it. extraFields are further
// fields of the file.
func fileConfig(t *testing.T, discovery, extraFields, settings string) *config.History {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, discovery, extraFields, settings)
	h, err := config.Start(config.Source{Getenv: func(key string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": discovery}[key]
	}}.Load(), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func writeConfig(t *testing.T, path, discovery, extraFields, settings string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",%s
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, extraFields, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// testNode is an edge node under test.
type testNode struct {
	*Node
	url  string
	term chan os.Signal
	hup  chan os.Signal
	done chan error
}

func startNode(t *testing.T, cfg *config.History) *testNode {
	t.Helper()
	return startNodeFromSnapshots(t, cfg, nil)
}

func startNodeFromSnapshots(t *testing.T, cfg *config.History, snapshots *Snapshots) *testNode {
	t.Helper()
	n, err := New(cfg, snapshots)
	if err != nil {
		t.Fatal(err)
	}
	r := &testNode{Node: n, url: "http://" + n.Addr().String(), term: make(chan os.Signal, 2),
		hup:  make(chan os.Signal, 1),
		done: make(chan error, 1)}
	go func() { r.done <- n.Run(r.term, r.hup) }()
	t.Cleanup(func() {
		r.requestShutdown()
		http.DefaultClient.CloseIdleConnections()
	})
	testkit.Eventually(t, "healthz 200", func() bool {
		resp, err := http.Get(r.url + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// requestShutdown sends a signal that starts a shutdown or shortens one in progress.
func (r *testNode) requestShutdown() {
	select {
	case r.term <- syscall.SIGTERM:
	default: // two signals are queued already
	}
}

// startNodeWithServers starts an edge node whose discovery lists servers at the given addresses.
func startNodeWithServers(t *testing.T, addrs ...string) *testNode {
	t.Helper()
	var list []target
	for i, a := range addrs {
		list = append(list, servingTarget(fmt.Sprintf("s-%08x", i+1), a))
	}
	return startNode(t, testConfig(t, newDiscoveryServer(t, list...).addr))
}

var lastRequestID atomic.Int64

// newRequest returns a client's request, with a new id. For the keyed class it is a POST.
func newRequest(url, class string, deadline time.Duration) *http.Request {
	method, body := http.MethodGet, ""
	if class == "loan" {
		method, body = http.MethodPost, "order=17"
	}
	r, err := http.NewRequest(method, url+"/"+class+"?q=1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastRequestID.Add(1)))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Tier", "town")
	r.Header.Set("Cookie", "key=00000000b4d65521")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Call-Terms", "units=2,spread=1,first=0")
	if class == "loan" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// doRequest sends a request and returns the response with its body.
func doRequest(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}
