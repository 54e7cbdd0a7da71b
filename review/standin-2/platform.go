package standin2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// freePorts returns loopback addresses whose TCP and UDP ports are free.
func freePorts(n int) ([]string, error) {
	var out []string
	var keep []io.Closer
	defer func() {
		for _, c := range keep {
			c.Close()
		}
	}()
	for tries := 0; len(out) < n && tries < 20*n+50; tries++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		keep = append(keep, l)
		if u, err := net.ListenPacket("udp", l.Addr().String()); err == nil {
			keep = append(keep, u)
			out = append(out, l.Addr().String())
		}
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

// Settings of a small deployment, with the figures that the wire page shows for sendangrejo-pustaka.

type class map[string]any

func katalog() class {
	return class{"name": "katalog", "aim_ms": 300.0, "hard_limit_ms": 1000.0, "semantics": "repeatable",
		"group": "all", "window_ms": 5000.0, "value": 1.0, "late_worth": 0.0, "stream": false}
}
func pinjam() class {
	return class{"name": "pinjam", "aim_ms": 1200.0, "hard_limit_ms": 5000.0, "semantics": "by_key",
		"group": "all", "window_ms": 5000.0, "value": 5.0, "late_worth": 0.0, "stream": false}
}
func perpanjang() class {
	return class{"name": "perpanjang", "aim_ms": 1500.0, "hard_limit_ms": 6000.0, "semantics": "once",
		"group": "all", "window_ms": 5000.0, "value": 2.0, "late_worth": 0.2, "stream": false}
}

func settings(me, balancers int, classes ...class) map[string]any {
	return map[string]any{
		"me": me, "balancers": balancers, "stage": 0, "tiers": []string{"pinjam-fleet"}, "tick_ms": 2.0,
		"zone": "balaikota-dc", "zones": []string{"balaikota-dc"}, "flavors": []string{"dua-inti"},
		"family": "gate", "discovery": "push", "weight_kind": "nominal",
		"report":  map[string]any{"names": []string{"rps"}, "via": "probe"},
		"clients": map[string]any{"marks_retry": true},
		"caps": map[string]any{"cancel": true, "conn_idle_ms": 30000.0, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 693063, "dial_timeout_ms": 250.0, "max_attempts": 6, "max_open": 27722,
			"max_retry_after_ms": 1000.0, "may_duplicate": false, "peers": true, "probes": true,
			"retry_after": true, "streams_per_conn": 32},
		"charges": map[string]any{"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.0,
			"late_fail": 0.069, "moves": 0.0, "origin": 0.0, "peer": 0.023, "probe": 0.0089, "waste": 0.16},
		"family_info": map[string]any{"cost_after": false, "count_fee": 0.0, "count_limit_ms": 0.0,
			"counter": false, "largest": 3, "mail_per_s": 100.0, "use_period_ms": 0.0},
		"goal": map[string]any{"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
		"rules": map[string]any{"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_share": 0.21,
			"drain_grace_ms": 2000.0, "fall_ms": 1500.0, "fall_multiple": 3.0, "warm_within_ms": 18000.0},
		"classes": classes,
		"plans": []map[string]any{
			{"name": "dasar", "rate": 1.5, "store_size": 8.0, "parallel": 0, "price": 0.5, "beyond_costs": 0.8,
				"beyond_earns": 0.0, "hard_rate": 0.0, "hard_burst": 0.0, "tolerance": 0.0},
			{"name": "penuh", "rate": 18.0, "store_size": 37.0, "parallel": 0, "price": 1.4, "beyond_costs": 0.0,
				"beyond_earns": 0.1, "hard_rate": 0.0, "hard_burst": 0.0, "tolerance": 0.0},
		},
	}
}

// node is an edge node: its addresses, and its present process.
type node struct {
	p                       *play
	name, listen, discovery string
	path                    string
	log                     *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	asked bool // the process was told to end
	ended chan struct{}
	how   string
}

// write replaces the configuration file of an edge node by rename.
func (n *node) write(config map[string]any) error {
	data, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}

// launch starts the program with the run command of the deploy file.
func (n *node) launch() error {
	cmd := exec.Command("/bin/sh", "-c", n.p.run)
	cmd.Dir = n.p.root
	cmd.Env = append(slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "GW_") || strings.HasPrefix(v, "VALVERING_")
	}), "GW_CONFIG="+n.path)
	if n.log == nil {
		var err error
		if n.log, err = os.Create(filepath.Join(n.p.dir, n.name+".log")); err != nil {
			return err
		}
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.asked, n.how = cmd, ended, false, ""
	n.mu.Unlock()
	n.p.note("%s: started, process %d", n.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.how = cmd.ProcessState.String()
		n.mu.Unlock()
		n.p.note("%s: process %d ended: %s", n.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.how != "" {
		return
	}
	n.asked = n.asked || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	n.p.note("%s: %v sent", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// endedByItself reports how the process ended if nobody told it to; empty: it runs.
func (n *node) endedByItself() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asked {
		return ""
	}
	return n.how
}

// health returns the status of the readiness check; 0: no answer.
func (n *node) health() int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.listen + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitReady waits until the edge node is ready.
func (n *node) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.health() == 200 {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, n.name)
}

// logLines returns the lines of the log that contain a word, at most a few.
func (n *node) logLines(words ...string) (out []string) {
	data, _ := os.ReadFile(filepath.Join(n.p.dir, n.name+".log"))
	for line := range bytes.Lines(data) {
		for _, w := range words {
			if bytes.Contains(line, []byte(w)) && len(out) < 8 {
				out = append(out, strings.TrimSpace(string(line)))
				break
			}
		}
	}
	return out
}

// Lending servers.

// lender is a lending server.
type lender struct {
	p    *play
	addr string
	uid  string
	work time.Duration
	http *http.Server

	hangs atomic.Bool // keeps the requests that come, and answers none of them
	spoiling

	mu   sync.Mutex
	runs map[string]int // by request id
}

func (p *play) newLender(uid string, work time.Duration) (*lender, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lender{p: p, addr: ln.Addr().String(), uid: uid, work: work, runs: map[string]int{}}
	l.http = &http.Server{Handler: l, IdleTimeout: 30 * time.Second}
	go l.http.Serve(ln)
	return l, nil
}

// answerOf is the body that a lending server makes for a request.
func answerOf(id string) string { return "lent " + id }

func (l *lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		fmt.Fprint(w, "X-Load: t rps=1")
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	if l.hangs.Load() {
		l.p.note("%s has %s and hangs", l.uid, id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-r.Context().Done(): // cancelled: the work stops
		panic(http.ErrAbortHandler)
	case <-time.After(l.work):
	}
	if !l.spoil(w) {
		fmt.Fprint(w, answerOf(id))
	}
}

// spoiling is the part of a lending server that spoils answers.
type spoiling struct {
	spoilOneIn atomic.Int64 // one answer in so many never ends; 0: none
	answers    atomic.Int64
	endless    atomic.Int64 // answers without end that are being sent
}

// spoil sends an answer that never ends, if it is this one's turn, until the connection ends.
func (l *spoiling) spoil(w http.ResponseWriter) bool {
	n := l.spoilOneIn.Load()
	if n == 0 || l.answers.Add(1)%n != 0 {
		return false
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	l.endless.Add(1)
	defer l.endless.Add(-1)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(c, "book ")
	}
	return true
}

// Discovery: the agent of the edge nodes' machines.
type discovery struct {
	addr string
	mu   sync.Mutex
	rev  int
	list []*lender
	wake chan struct{}
}

func newDiscovery(list []*lender) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), rev: 41, list: list, wake: make(chan struct{})}
	go (&http.Server{Handler: d}).Serve(ln)
	return d, nil
}

func (d *discovery) lines() string {
	var out []string
	for _, l := range d.list {
		out = append(out, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"balaikota-dc","model":"dua-inti",`+
			`"pod_group":0,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}`, l.uid, l.addr))
	}
	return strings.Join(out, ",")
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err == nil && since == d.rev {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(ms, 60000)) * time.Millisecond):
		}
		fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[]}`, d.rev)
		return
	}
	fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, d.rev, d.lines())
}

// known is the list in the configuration.
func (d *discovery) known() json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, d.rev, d.lines()))
}

// Clients.

var lastID atomic.Int64

// request is a client's request and what became of it.
type request struct {
	id, class, plan, key string
	deadline             time.Duration
	body                 []byte
	spread, first        int

	sentAt  time.Time // the last byte was written
	endedAt time.Time // the last byte of the answer, or the end of the connection
	status  int       // 0: no whole answer
	answer  string
	err     error
}

func newRequest(class, plan string, customer int, deadline time.Duration, spread, first int) *request {
	return &request{id: fmt.Sprintf("%016x", 0x5eed0000+lastID.Add(1)), class: class, plan: plan,
		key: fmt.Sprintf("%016x", customer), deadline: deadline, spread: spread, first: first}
}

// head returns the head of the request as it is sent.
func (r *request) head() []byte {
	method, extra := "POST", fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	switch r.class {
	case "katalog":
		method, extra = "GET", ""
	case "pinjam":
		extra += "Idempotency-Key: " + r.id + r.id + "\r\n"
	}
	return fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\n"+
		"Cookie: key=%s\r\nX-Deadline-Ms: %d\r\nX-Call-Terms: units=1,spread=%d,first=%d\r\n%s\r\n",
		method, r.class, r.id, r.class, r.plan, r.key, r.deadline.Milliseconds(), r.spread, r.first, extra)
}

// exchange writes the request on a connection, in pieces over the given time, and reads the answer. It waits
// for the answer well past the deadline, until the connection ends.
func (r *request) exchange(c net.Conn, in *bufio.Reader, slow time.Duration) {
	data := append(r.head(), r.body...)
	pieces := 1
	if slow > 0 {
		pieces = 16
	}
	for i := range pieces {
		if i > 0 {
			time.Sleep(slow / time.Duration(pieces-1))
		}
		if _, r.err = c.Write(data[i*len(data)/pieces : (i+1)*len(data)/pieces]); r.err != nil {
			r.endedAt = time.Now()
			return
		}
	}
	r.sentAt = time.Now()
	_ = c.SetReadDeadline(r.sentAt.Add(r.deadline + 2*time.Second))
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		r.status, r.answer = resp.StatusCode, string(body)
		if resp.Close {
			err = errors.Join(err, errCloses)
		}
	}
	r.err, r.endedAt = err, time.Now()
	if err != nil && !errors.Is(err, errCloses) {
		r.status = 0
	}
}

var errCloses = errors.New("the answer announces the close")
