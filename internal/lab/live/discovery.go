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

// agent emulates the discovery agent on an edge node's machine. It serves the server list
// that it has received and supports long polling.
type agent struct {
	fleet            *fleet
	node             *node
	ln               net.Listener
	srv              *http.Server
	mu               sync.Mutex
	revision         int64
	entries          map[string]entry
	changed          chan struct{} // closed and replaced at each change
	earliestDelivery time.Time     // earliest delivery of the next update, which keeps updates in order
	lastSequence     int64         // number of updates sent, delivered or not
}

// entry is the state of a server in an agent's list.
type entry struct {
	roster.Target
	revision int64
	sequence int64 // sequence number of the update
	server   *server
	start    time.Duration
}

func newAgent(f *fleet, n *node) (*agent, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	a := &agent{fleet: f, node: n, ln: ln, entries: map[string]entry{}, changed: make(chan struct{}),
		revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.serve)
	a.srv = &http.Server{Handler: mux}
	go func() { _ = a.srv.Serve(ln) }() // returns after close
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

func (a *agent) close() { a.srv.Close() }

// sendUpdate delivers the current state of a server to the agent: at once if immediate is
// true, otherwise in order and after the delay of discovery. The fleet's lock is held.
func (a *agent) sendUpdate(l *server, immediate bool) {
	a.lastSequence++
	e := entry{Target: l.target(a.node.index), server: l, start: l.processor.Start, sequence: a.lastSequence}
	if immediate {
		a.apply(e)
		return
	}
	now := time.Now()
	at := now
	if a.fleet.discoveryDownUntil.After(at) {
		at = a.fleet.discoveryDownUntil
	}
	at = at.Add(time.Duration(a.fleet.faultRand.ExpFloat64() *
		float64(a.fleet.world.Disc.Late.D()+a.fleet.discoveryDelay)))
	if at.Before(a.earliestDelivery) {
		at = a.earliestDelivery
	}
	a.earliestDelivery = at
	time.AfterFunc(at.Sub(now), func() { a.apply(e) })
}

func (a *agent) apply(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries[e.UID].sequence > e.sequence {
		return // timers that are due at the same time fire in any order
	}
	a.revision++
	e.revision = a.revision
	a.entries[e.UID] = e
	close(a.changed)
	a.changed = make(chan struct{})
}

// updatesSince returns the whole list, or the changes since a revision, and the entries
// that an edge node has received once this list is delivered.
func (a *agent) updatesSince(since int64) (l roster.List, delivered []entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l = roster.List{Rev: a.revision, All: since <= 0, Targets: []roster.Target{}}
	for _, e := range a.entries {
		if since <= 0 && e.State != roster.Removed || since > 0 && e.revision > since {
			l.Targets = append(l.Targets, e.Target)
			delivered = append(delivered, e)
		}
	}
	return l, delivered
}

// initialList returns the list that an edge node has in its configuration at its start.
func (a *agent) initialList() roster.List {
	l, delivered := a.updatesSince(0)
	a.recordDelivery(delivered, "by the list it started with")
	return l
}

// recordDelivery records what the edge node has received. The drain rule counts from the
// first notice that a server drains or is removed.
func (a *agent) recordDelivery(list []entry, how string) {
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	now := a.fleet.now()
	for _, e := range list {
		a.node.knownStarts[e.server.index] = e.start
		if e.State == "SERVING" {
			delete(a.node.drainNotices, e.server.index)
		} else if _, already := a.node.drainNotices[e.server.index]; !already {
			a.node.drainNotices[e.server.index] = drainNotice{now,
				fmt.Sprintf("%s, process %d", how, a.node.incarnation)}
		}
	}
}

const maxWatchWait = time.Minute // longest long poll

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	a.fleet.mu.Lock()
	down := time.Until(a.fleet.discoveryDownUntil)
	a.fleet.mu.Unlock()
	if down > 0 { // discovery doesn't answer during an outage
		select {
		case <-time.After(down):
		case <-r.Context().Done():
			return
		}
	}
	for {
		a.mu.Lock()
		changed, updated := a.changed, a.revision > since
		a.mu.Unlock()
		if since <= 0 || updated {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		break
	}
	l, delivered := a.updatesSince(since)
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // the list holds only strings and numbers
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if _, err := w.Write(data); err == nil {
		a.recordDelivery(delivered, "by discovery")
	}
}
