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
	fleet    *fleet
	http     *http.Client
	nextID   atomic.Uint64
	inFlight sync.WaitGroup
}

const (
	idleConnections  = 512              // per edge node
	lossTimeout      = 2 * time.Second  // a request without a response this long after its deadline is lost
	maxResponseBytes = 64 << 10         // bytes
	drainTimeout     = 10 * time.Second // for requests that are in flight when the load ends
)

func newClients(f *fleet) *clients {
	return &clients{fleet: f,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections,
			DisableCompression: true}}}
}

// generateLoad sends requests to an edge node in an open loop until ctx ends.
func (c *clients) generateLoad(ctx context.Context, p *process) {
	w, rng := c.fleet.world, rand.New(rand.NewPCG(c.fleet.Seed, uint64(p.number)+1))
	c.fleet.openLoop(ctx, p.number, func(at time.Duration) {
		class := w.ClassOf(rng)
		tenant := c.fleet.tenants.pick(p.number, rng)
		units := 1 + rng.IntN(max(1, w.Load.Units))
		c.fleet.realLoad.addRequest(unixNow() - at)
		c.inFlight.Go(func() { c.sendRequest(p, at, &w.Classes[class], tenant, units) })
	})
}

// sendRequest makes one request. Its time counts from when it was scheduled.
func (c *clients) sendRequest(p *process, scheduledAt time.Duration, class *world.Class,
	tenant *world.Customer, units int) {
	id := fmt.Sprintf("%016x", c.fleet.Seed<<40^c.nextID.Add(1)*0x9e3779b97f4a7c15)
	ctx, end := context.WithTimeout(context.Background(), class.Deadline.D()+lossTimeout)
	defer end()
	outcome, err := c.do(ctx, p.address.String(), id, class, tenant, units)
	c.close(id, outcome, err, scheduledAt)
}

// close records the outcome of a request that was scheduled at a time.
func (c *clients) close(id string, outcome requestOutcome, err error, scheduledAt time.Duration) {
	elapsed := unixNow() - scheduledAt
	serviceTime, known := c.fleet.stubServers.takeServiceTime(id)
	if outcome == outcomeServed && !known {
		outcome, err = outcomeLost, errForeignResponse
	}
	if outcome == outcomeLost {
		c.fleet.realLoad.addLoss(err)
	}
	c.fleet.realLoad.addOutcome(outcome, elapsed-serviceTime)
}

// errForeignResponse reports a response that no server made for the request.
var errForeignResponse = errors.New("served with what no lending server made for it")

// do makes a request. The error says why the request was lost.
func (c *clients) do(ctx context.Context, addr, id string, class *world.Class, tenant *world.Customer,
	units int) (requestOutcome, error) {
	req, err := c.newRequest(ctx, addr, id, class, tenant, units)
	if err != nil {
		return outcomeFailed, nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcomeLost, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return outcomeLost, err
	case resp.StatusCode == http.StatusOK && string(body) == loanBody(id):
		return outcomeServed, nil
	case resp.StatusCode == http.StatusOK:
		return outcomeLost, errForeignResponse
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return outcomeRefused, nil
	}
	return outcomeFailed, nil
}

// newRequest builds the HTTP request.
func (c *clients) newRequest(ctx context.Context, addr, id string, class *world.Class, tenant *world.Customer,
	units int) (*http.Request, error) {
	method, body := http.MethodPost, fmt.Sprintf(`{"book":%d}`, units)
	if class.Effect == "repeatable" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+class.Name,
		strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "app.svc"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Class": class.Name, "X-Tier": c.fleet.world.Plans[tenant.Plan].Name,
		"Cookie":        "key=" + tenant.Key,
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
		c.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
	}
}
