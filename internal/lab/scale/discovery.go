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

const mostWatch = time.Minute // a watch is answered by then

// discovery serves one list to all edge nodes and pushes its changes.
type discovery struct {
	mu      sync.Mutex
	rev     int64
	list    *serverList
	revs    []int64          // by line: the version in which it changed last
	texts   map[int64][]byte // answers of the version in force, by the version that they follow
	news    chan struct{}    // closed at each change
	servers []*http.Server
	takes   *takes
}

// firstRev is the version of the list that edge nodes start with.
const firstRev = 1

func newDiscovery(list *serverList, takes *takes) *discovery {
	d := &discovery{rev: firstRev, list: list, revs: make([]int64, len(list.lines)), texts: map[int64][]byte{}, news: make(chan struct{}), takes: takes}
	for i := range d.revs {
		d.revs[i] = firstRev
	}
	return d
}

// listen opens an address for an edge node. A watch from a version on tells that this
// edge node has taken that version; for a number below 0 nothing is concluded.
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
	_, _ = w.Write(text) // the edge node asks again
}

// await waits until there is something newer than a version or a time is over; it is
// false when nobody waits any more.
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

// answer is the whole list, or what changed after a version. Each is written once.
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

// pick gathers the lines of an answer; the lock is held.
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

// known is the list that edge nodes start with.
func (d *discovery) known() roster.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(0)
}

// change changes some lines at once and tells the new version.
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

// takes notes when each edge node has taken a version of the list.
type takes struct {
	mu    sync.Mutex
	begun map[int64]time.Time
	took  map[int64]map[int]time.Duration // by version and number: the time since the change
}

func newTakes() *takes {
	return &takes{begun: map[int64]time.Time{}, took: map[int64]map[int]time.Duration{}}
}

func (t *takes) begin(rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun[rev], t.took[rev] = now, map[int]time.Duration{}
}

// note tells that an edge node has taken a version, and with it all before.
func (t *takes) note(no int, rev int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, begun := range t.begun {
		if _, already := t.took[r][no]; r <= rev && !already {
			t.took[r][no] = now.Sub(begun)
		}
	}
}

// of is how long each edge node took that has taken a version.
func (t *takes) of(rev int64) map[int]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[int]time.Duration, len(t.took[rev]))
	for no, d := range t.took[rev] {
		copied[no] = d
	}
	return copied
}
