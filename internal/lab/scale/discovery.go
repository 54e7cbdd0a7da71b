package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"valvering.example/valvering/internal/roster"
)

const maxWatch = time.Minute // a watch gets a response by then

// discovery serves one list of servers to all edge nodes and pushes its changes.
type discovery struct {
	mu        sync.Mutex
	rev       int64
	list      *serverList
	lineRevs  []int64          // by line: the version of its last change
	responses map[int64][]byte // responses of the current version, by the version that the edge node has
	changed   chan struct{}    // closed and replaced at each change
	servers   []*http.Server
	applied   *appliedVersions
}

// firstRev is the version of the list with which edge nodes start.
const firstRev = 1

func newDiscovery(list *serverList, applied *appliedVersions) *discovery {
	d := &discovery{rev: firstRev, list: list, lineRevs: make([]int64, len(list.lines)),
		responses: map[int64][]byte{}, changed: make(chan struct{}), applied: applied}
	for i := range d.lineRevs {
		d.lineRevs[i] = firstRev
	}
	return d
}

// listen opens an address for an edge node. A watch from a version shows that this edge node has
// applied that version. For a negative number nothing is recorded.
func (d *discovery) listen(no int) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) { d.serve(no, w, r) })
	srv := &http.Server{Handler: mux}
	d.servers = append(d.servers, srv)
	go func() { _ = srv.Serve(ln) }() // returns after close
	return ln.Addr().String(), nil
}

func (d *discovery) serve(no int, w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if no >= 0 && since > 0 {
		d.applied.record(no, since, time.Now())
	}
	limit := min(time.Duration(wait)*time.Millisecond, maxWatch)
	if since > 0 && !d.waitForChange(r.Context(), since, limit) {
		return
	}
	text, err := d.response(since)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // after an error the edge node asks again
}

// waitForChange waits until the list is newer than a version or the time limit is over. It returns
// false when the request is cancelled.
func (d *discovery) waitForChange(ctx context.Context, since int64, limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		changed, newer := d.changed, d.rev > since
		d.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// response returns the encoded whole list, or the changes after a version. Each is encoded once.
func (d *discovery) response(since int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since = max(0, since)
	if text := d.responses[since]; text != nil {
		return text, nil
	}
	text, err := json.Marshal(d.listSince(since))
	if err == nil {
		d.responses[since] = text
	}
	return text, err
}

// listSince collects the lines of a response. The caller holds the lock.
func (d *discovery) listSince(since int64) roster.List {
	l := roster.List{Rev: d.rev, All: since == 0, Targets: []roster.Target{}}
	for i := range d.list.lines {
		whole := since == 0 && d.list.lines[i].State != roster.Removed
		if whole || since > 0 && d.lineRevs[i] > since {
			l.Targets = append(l.Targets, d.list.lines[i])
		}
	}
	return l
}

// initialList returns the list that edge nodes have in their configuration.
func (d *discovery) initialList() roster.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(0)
}

// change changes some lines in one version of the list and returns this version.
func (d *discovery) change(lines []int, edit func(*roster.Target)) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, i := range lines {
		edit(&d.list.lines[i])
		d.lineRevs[i] = d.rev
	}
	clear(d.responses)
	d.applied.start(d.rev, time.Now())
	close(d.changed)
	d.changed = make(chan struct{})
	return d.rev
}

func (d *discovery) close() {
	for _, srv := range d.servers {
		srv.Close()
	}
}

// appliedVersions records when each edge node has applied a version of the list.
type appliedVersions struct {
	mu        sync.Mutex
	changedAt map[int64]time.Time
	latency   map[int64]map[int]time.Duration // by version and edge node: the time since the change
}

func newAppliedVersions() *appliedVersions {
	return &appliedVersions{changedAt: map[int64]time.Time{}, latency: map[int64]map[int]time.Duration{}}
}

func (t *appliedVersions) start(rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changedAt[rev], t.latency[rev] = now, map[int]time.Duration{}
}

// record notes that an edge node has applied a version, and with it all earlier versions.
func (t *appliedVersions) record(no int, rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, changedAt := range t.changedAt {
		if _, recorded := t.latency[r][no]; r <= rev && !recorded {
			t.latency[r][no] = now.Sub(changedAt)
		}
	}
}

// latencies returns how long each edge node that has applied a version took.
func (t *appliedVersions) latencies(rev int64) map[int]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[int]time.Duration, len(t.latency[rev]))
	for no, d := range t.latency[rev] {
		copied[no] = d
	}
	return copied
}
