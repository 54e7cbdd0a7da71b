package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Discovery serves the list of lending servers, as a whole or by long polls.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	rev     int64
	targets []Target
	changed chan struct{}
}

// Target is a line of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// NewDiscovery starts discovery with the given servers.
func (r *Run) NewDiscovery(servers []*Server) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "discovery")
	d := &Discovery{Addr: l.Addr().String(), rev: 41, changed: make(chan struct{})}
	for _, s := range servers {
		d.targets = append(d.targets, Target{s.UID, s.Addr, "balaikota-dc", "dua-inti", 0, "SERVING", 1, 0})
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(d.serve)) }()
	return d
}

func (d *Discovery) serve(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(q.Get("timeout_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		rev, list, changed := d.rev, d.targets, d.changed
		d.mu.Unlock()
		answer := map[string]any{"rev": rev, "all": true, "targets": list}
		if !whole && rev == since {
			select {
			case <-changed:
				continue
			case <-timeout:
				answer["all"], answer["targets"] = false, []Target{}
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
}

// List returns the list in discovery's form.
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"rev": d.rev, "all": true, "targets": d.targets}
}

// Server is a sound lending server: it answers each request with 200 and a body that names it, after its work.
type Server struct {
	UID, Addr string
	r         *Run
	work      func() time.Duration // the working time of a request
}

// NewServer starts a lending server.
func (r *Run) NewServer(i int, work func() time.Duration) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "lending server")
	s := &Server{UID: fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x01234567), Addr: l.Addr().String(), r: r, work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id, class := req.Header.Get("X-Request-Id"), req.Header.Get("X-Class")
		if id == "" { // a probe or none of a client
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.r.Logf("%s begins %s %s, may take %s ms", s.UID, class, id, req.Header.Get("X-Deadline-Ms"))
		time.Sleep(s.work())
		body := "done " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// Request is a client's request.
type Request struct {
	ID, Class string
	Deadline  time.Duration
	Customer  int
	Plan      string
	Terms     string
	Key       string // Idempotency-Key of a keyed class
	GET       bool
}

// Text is the request on the wire.
func (q *Request) Text() string {
	method, length := "POST", "Content-Length: 2\r\n"
	if q.GET {
		method, length = "GET", ""
	}
	key := ""
	if q.Key != "" {
		key = "Idempotency-Key: " + q.Key + "\r\n"
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\n"+
		"Cookie: key=%016x\r\nX-Deadline-Ms: %d\r\n%s%sX-Call-Terms: %s\r\n\r\n", method, q.Class, q.ID, q.Class,
		q.Plan, q.Customer, q.Deadline.Milliseconds(), key, length, q.Terms)
	if !q.GET {
		text += "{}"
	}
	return text
}

// Ask sends a request on a new connection and returns the status of its answer; 0: the connection ended without
// one, -1: none came within the deadline and half a second, -2: it could not be sent.
func (r *Run) Ask(addr string, q *Request) (status int, body string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return -2, ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.Deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		return -2, ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return -1, ""
		}
		return 0, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// AwaitReady waits until an edge node answers its readiness probe with 200.
func (r *Run) AwaitReady(addr string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			r.Logf("%s is ready", addr)
			return
		}
	}
	r.End(NotRun, "%s was not ready within %v", addr, limit)
}

// Class is a class of the settings.
func Class(name, semantics string, aim, limit int) map[string]any {
	return map[string]any{"name": name, "semantics": semantics, "aim_ms": aim, "hard_limit_ms": limit,
		"group": "all", "window_ms": 5000, "late_worth": 0, "value": 1, "stream": false}
}

// Classes are those of the site sendangrejo-pustaka.
func Classes() []any {
	return []any{Class("katalog", "repeatable", 300, 1000), Class("pinjam", "by_key", 1200, 5000),
		Class("perpanjang", "once", 1500, 6000)}
}

// Settings are those of a small deployment, with plans wide enough for the load of the cases.
func Settings(me, nodes int, classes []any) map[string]any {
	return map[string]any{"me": me, "balancers": nodes, "zone": "balaikota-dc", "zones": []any{"balaikota-dc"},
		"tick_ms": 2, "discovery": "push", "weight_kind": "nominal", "classes": classes,
		"plans": []any{map[string]any{"name": "penuh", "rate": 200, "store_size": 400, "parallel": 0, "price": 1.4,
			"beyond_earns": 0.1, "beyond_costs": 0}},
		"caps": map[string]any{"cancel": true, "peers": true, "probes": true, "retry_after": true,
			"may_duplicate": false, "max_attempts": 6, "max_retry_after_ms": 1000, "dial_timeout_ms": 250,
			"conn_idle_ms": 30000},
		"family": "gate", "family_info": map[string]any{"largest": 3, "mail_per_s": 100},
		"rules": map[string]any{"answer_slack_ms": 50, "drain_grace_ms": 2000, "fall_multiple": 3, "fall_ms": 1500,
			"cold_share": 0.21, "warm_within_ms": 18000},
		"charges": map[string]any{"cross_zone": 0}, "report": map[string]any{"names": []any{"rps"}, "via": "probe"}}
}

// EdgeNode is an edge node of a case.
type EdgeNode struct {
	Name, Listen, Peer, Admin, Config string
	Proc                              *Proc
}

// NewEdgeNode reserves the addresses of an edge node.
func (r *Run) NewEdgeNode(i int) *EdgeNode {
	name := fmt.Sprintf("n%d", i)
	return &EdgeNode{Name: name, Listen: r.FreeAddr(), Peer: r.FreeAddr(), Admin: r.FreeAddr(),
		Config: filepath.Join(r.Tmp, name+".json")}
}

// WriteConfig writes an edge node's configuration file and puts it in place by a rename.
func (r *Run) WriteConfig(n *EdgeNode, d *Discovery, peers []*EdgeNode, settings, own map[string]any, memoryMB, sockets int) {
	var addrs []string
	for _, p := range peers {
		addrs = append(addrs, p.Peer)
	}
	text, err := json.Marshal(map[string]any{"name": n.Name, "listen": n.Listen, "discovery": d.Addr,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": map[string]any{"cores": 1, "memory_mb": memoryMB,
			"sockets": sockets}, "peer_listen": n.Peer, "peers": addrs, "known": d.List(), "settings": settings,
		"valvering": own})
	r.Check(err, "configuration")
	r.Check(os.WriteFile(n.Config+".new", text, 0o600), "configuration")
	r.Check(os.Rename(n.Config+".new", n.Config), "configuration")
}

// StartEdgeNode starts an edge node by the command of the deploy file.
func (r *Run) StartEdgeNode(n *EdgeNode) {
	n.Proc = r.Start(n.Name, r.RunLine("run"), "GW_NAME="+n.Name, "GW_LISTEN="+n.Listen, "GW_CONFIG="+n.Config)
}
