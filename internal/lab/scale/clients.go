package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// clients send the load to the real edge nodes over HTTP.
type clients struct {
	fleet  *fleet
	http   *http.Client
	nextID atomic.Uint64
	open   sync.WaitGroup
}

const (
	connections = 512              // idle connections kept to one edge node
	lostAfter   = 2 * time.Second  // a request without a response this long after its deadline is lost
	maxAnswer   = 64 << 10         // bytes
	drainFor    = 10 * time.Second // for requests that are in flight when the load ends
)

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}}
}

// generateLoad sends requests to an edge node in an open loop until ctx ends.
func (c *clients) ask(ctx context.Context, p *process) {
	w, rng := c.fleet.world, rand.New(rand.NewPCG(c.fleet.Seed, uint64(p.no)+1))
	c.fleet.openLoop(ctx, p.no, func(at time.Duration) {
		class := w.ClassOf(rng)
		tenant := c.fleet.tenants.at(p.no, rng)
		units := 1 + rng.IntN(max(1, w.Load.Units))
		c.fleet.realLoad.asked(unixNow() - at)
		c.open.Go(func() { c.request(p, at, &w.Classes[class], tenant, units) })
	})
}

// sendRequest makes one request. Its time counts from when it was scheduled.
func (c *clients) request(p *process, at time.Duration, class *world.Class, tenant *world.Person, units int) {
	id := fmt.Sprintf("%016x", c.fleet.Seed<<40^c.nextID.Add(1)*0x9e3779b97f4a7c15)
	ctx, end := context.WithTimeout(context.Background(), class.Deadline.D()+lostAfter)
	defer end()
	how, err := c.do(ctx, p.at.String(), id, class, tenant, units)
	c.close(id, how, err, at)
}

// record counts the outcome of a request that was scheduled at a time.
func (c *clients) close(id string, how ending, err error, at time.Duration) {
	took := unixNow() - at
	server, known := c.fleet.lender.took(id)
	if how == endServed && !known {
		how, err = endLost, errForeign
	}
	if how == endLost {
		c.fleet.realLoad.lost(err)
	}
	c.fleet.realLoad.end(how, took-server)
}

// errForeignResponse reports a response that no server made for the request.
var errForeign = errors.New("served with what no lending server made for it")

// do makes a request. The error says why the request was lost.
func (c *clients) do(ctx context.Context, addr, id string, class *world.Class, tenant *world.Person, units int) (ending, error) {
	req, err := c.build(ctx, addr, id, class, tenant, units)
	if err != nil {
		return endFailed, nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return endLost, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return endLost, err
	case resp.StatusCode == http.StatusOK && string(body) == loanOf(id):
		return endServed, nil
	case resp.StatusCode == http.StatusOK:
		return endLost, errForeign
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return endRefused, nil
	}
	return endFailed, nil
}

// newRequest builds the HTTP request.
func (c *clients) build(ctx context.Context, addr, id string, class *world.Class, tenant *world.Person, units int) (*http.Request, error) {
	method, body := http.MethodPost, fmt.Sprintf(`{"book":%d}`, units)
	if class.Effect == "repeatable" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class.Name, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "app.svc"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Class": class.Name, "X-Tier": c.fleet.world.Plans[tenant.Plan].Name, "Cookie": "key=" + tenant.Key,
		"X-Deadline-Ms": fmt.Sprint(class.Deadline.D().Milliseconds()),
		"X-Call-Terms":  fmt.Sprintf("units=%d,spread=%d,first=%d", units, tenant.Spread, tenant.First),
	} {
		req.Header.Set(name, value)
	}
	if class.Effect == "by_key" {
		req.Header.Set("Idempotency-Key", id+id)
	}
	return req, nil
}

// drain waits at most drainTimeout for the requests in flight.
func (c *clients) drain() {
	done := make(chan struct{})
	go func() {
		c.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainFor):
	}
}
