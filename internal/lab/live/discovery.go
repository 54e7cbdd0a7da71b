package live

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"valvering.example/valvering/internal/roster"
)

// agent is discovery's agent on an edge node's machine. It answers at once with what
// it has been sent, and waits where it is asked to.
type agent struct {
	f    *fleet
	n    *node
	ln   net.Listener
	srv  *http.Server
	mu   sync.Mutex
	rev  int64
	list map[string]entry
	news chan struct{} // closed at each change
	next time.Time     // nothing is sent to it before
	sent int64         // news on the way or come
}

// entry is a server as the agent was sent it.
type entry struct {
	roster.Target
	rev    int64
	no     int64 // in the order in which news was sent
	lender *lender
	start  time.Duration
}

func newAgent(f *fleet, n *node) (*agent, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	a := &agent{f: f, n: n, ln: ln, list: map[string]entry{}, news: make(chan struct{}), rev: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.serve)
	a.srv = &http.Server{Handler: mux}
	go func() { _ = a.srv.Serve(ln) }() // ends with close
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

func (a *agent) close() { a.srv.Close() }

// send brings the agent news of a server, after a time, in order. The fleet's lock is
// held.
func (a *agent) send(l *lender, first bool) {
	a.sent++
	e := entry{Target: l.target(a.n.no), lender: l, start: l.desk.Start, no: a.sent}
	if first {
		a.take(e)
		return
	}
	now := time.Now()
	at := now
	if a.f.listDown.After(at) {
		at = a.f.listDown
	}
	at = at.Add(time.Duration(a.f.faulty.ExpFloat64() * float64(a.f.w.Disc.Late.D()+a.f.listLate)))
	if at.Before(a.next) {
		at = a.next
	}
	a.next = at
	time.AfterFunc(at.Sub(now), func() { a.take(e) })
}

func (a *agent) take(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.list[e.UID].no > e.no {
		return // two timers of one moment fire in any order
	}
	a.rev++
	e.rev = a.rev
	a.list[e.UID] = e
	close(a.news)
	a.news = make(chan struct{})
}

// roster is the list, or what has changed in it since a version, with what the edge
// node counts as told by it.
func (a *agent) roster(since int64) (l roster.List, told []entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l = roster.List{Rev: a.rev, All: since <= 0, Targets: []roster.Target{}}
	for _, e := range a.list {
		if since <= 0 && e.State != roster.Removed || since > 0 && e.rev > since {
			l.Targets = append(l.Targets, e.Target)
			told = append(told, e)
		}
	}
	return l, told
}

// known is the list for an edge node that starts.
func (a *agent) known() roster.List {
	l, told := a.roster(0)
	a.tell(told, "by the list it started with")
	return l
}

// tell notes what the edge node has been told.
func (a *agent) tell(list []entry, how string) {
	a.n.mu.Lock()
	defer a.n.mu.Unlock()
	now := a.f.now()
	for _, e := range list {
		a.n.starts[e.lender.no] = e.start
		if e.State == "SERVING" {
			delete(a.n.told, e.lender.no)
		} else if _, already := a.n.told[e.lender.no]; !already {
			a.n.told[e.lender.no] = telling{now, fmt.Sprintf("%s, process %d", how, a.n.inc)}
		}
	}
}

const mostWait = time.Minute // of a watch

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(min(time.Duration(ms)*time.Millisecond, mostWait))
	a.f.mu.Lock()
	down := time.Until(a.f.listDown)
	a.f.mu.Unlock()
	if down > 0 { // silent
		select {
		case <-time.After(down):
		case <-r.Context().Done():
			return
		}
	}
	for {
		a.mu.Lock()
		news, fresh := a.news, a.rev > since
		a.mu.Unlock()
		if since <= 0 || fresh {
			break
		}
		select {
		case <-news:
			continue
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		break
	}
	l, told := a.roster(since)
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain figures
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if _, err := w.Write(data); err == nil {
		a.tell(told, "by discovery")
	}
}
