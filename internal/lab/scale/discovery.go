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

const mostWatch = time.Minute // a watch gets a response by then

// discovery serves one list of servers to all edge nodes and pushes its changes.
type discovery struct {
	mu      sync.Mutex
	rev     int64
	list    *serverList
	revs    []int64          // by line: the version of its last change
	texts   map[int64][]byte // responses of the current version, by the version that the edge node has
	news    chan struct{}    // closed and replaced at each change
	servers []*http.Server
	takes   *takes
}

// firstRev is the version of the list with which edge nodes start.
const firstRev = 1

func newDiscovery(list *serverList, takes *takes) *discovery {
	d := &discovery{rev: firstRev, list: list, revs: make([]int64, len(list.lines)), texts: map[int64][]byte{}, news: make(chan struct{}), takes: takes}
	for i := range d.revs {
		d.revs[i] = firstRev
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
	go func() { _ = srv.Serve(ln) }() // ends with close
	return ln.Addr().String(), nil
}

func (d *discovery) serve(no int, w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if no >= 0 && since > 0 {
		d.takes.note(no, since, time.Now())
	}
	limit := min(time.Duration(wait)*time.Millisecond, mostWatch)
	if since > 0 && !d.await(r.Context(), since, limit) {
		return
	}
	text, err := d.answer(since)
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
func (d *discovery) await(ctx context.Context, since int64, limit time.Duration) bool {
	over := time.NewTimer(limit)
	defer over.Stop()
	for {
		d.mu.Lock()
		news, fresh := d.news, d.rev > since
		d.mu.Unlock()
		if fresh {
			return true
		}
		select {
		case <-news:
		case <-over.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// response returns the encoded whole list, or the changes after a version. Each is encoded once.
func (d *discovery) answer(since int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since = max(0, since)
	if text := d.texts[since]; text != nil {
		return text, nil
	}
	text, err := json.Marshal(d.pick(since))
	if err == nil {
		d.texts[since] = text
	}
	return text, err
}

// listSince collects the lines of a response. The caller holds the lock.
func (d *discovery) pick(since int64) roster.List {
	l := roster.List{Rev: d.rev, All: since == 0, Targets: []roster.Target{}}
	for i := range d.list.lines {
		whole := since == 0 && d.list.lines[i].State != roster.Removed
		if whole || since > 0 && d.revs[i] > since {
			l.Targets = append(l.Targets, d.list.lines[i])
		}
	}
	return l
}

// initialList returns the list that edge nodes have in their configuration.
func (d *discovery) known() roster.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(0)
}

// change changes some lines in one version of the list and returns this version.
func (d *discovery) change(lines []int, edit func(*roster.Target)) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, i := range lines {
		edit(&d.list.lines[i])
		d.revs[i] = d.rev
	}
	clear(d.texts)
	d.takes.begin(d.rev, time.Now())
	close(d.news)
	d.news = make(chan struct{})
	return d.rev
}

func (d *discovery) close() {
	for _, srv := range d.servers {
		srv.Close()
	}
}

// appliedVersions records when each edge node has applied a version of the list.
type takes struct {
	mu    sync.Mutex
	begun map[int64]time.Time
	took  map[int64]map[int]time.Duration // by version and edge node: the time since the change
}

func newTakes() *takes {
	return &takes{begun: map[int64]time.Time{}, took: map[int64]map[int]time.Duration{}}
}

func (t *takes) begin(rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun[rev], t.took[rev] = now, map[int]time.Duration{}
}

// record notes that an edge node has applied a version, and with it all earlier versions.
func (t *takes) note(no int, rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, begun := range t.begun {
		if _, already := t.took[r][no]; r <= rev && !already {
			t.took[r][no] = now.Sub(begun)
		}
	}
}

// delays returns how long each edge node that has applied a version took.
func (t *takes) of(rev int64) map[int]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[int]time.Duration, len(t.took[rev]))
	for no, d := range t.took[rev] {
		copied[no] = d
	}
	return copied
}
