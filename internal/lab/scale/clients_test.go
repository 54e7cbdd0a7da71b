package scale

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// TestRequestOutcomes checks that a client derives the outcome of a request from the response, and
// that the statistics keep the error of the first lost request.
func TestRequestOutcomes(t *testing.T) {
	c := smallConfig()
	f := &fleet{Config: c, world: plannedWorld(&c), realLoad: newLoadStats()}
	f.stubServers = &stubServers{model: latencyModel{f.world}, serviceTimes: map[string]time.Duration{}}
	var asked atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		switch asked.Load() {
		case 0:
			f.stubServers.mu.Lock()
			f.stubServers.serviceTimes[id] = time.Microsecond
			f.stubServers.mu.Unlock()
			_, _ = w.Write([]byte(loanBody(id)))
		case 1:
			_, _ = w.Write([]byte(loanBody(id))) // the request reached no server
		case 2:
			_, _ = w.Write([]byte("something else"))
		case 3:
			w.WriteHeader(http.StatusTooManyRequests)
		case 4:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 5:
			w.WriteHeader(http.StatusGatewayTimeout)
		default:
			panic(http.ErrAbortHandler)
		}
	}
	srv := httptest.NewServer(http.HandlerFunc(answer))
	defer srv.Close()
	f.clients = newClients(f)
	base := strings.TrimPrefix(srv.URL, "http://")
	customer := &world.Customer{Key: "00000000000000ff", Spread: 1}
	for range 7 {
		outcome, err := f.clients.do(t.Context(), base, "0123456789abcdef", &f.world.Classes[0], customer, 1)
		f.clients.close("0123456789abcdef", outcome, err, unixNow())
		asked.Add(1)
	}
	got := f.realLoad.takePhase()
	want := [outcomeCount]int{outcomeServed: 1, outcomeRefused: 2, outcomeFailed: 1, outcomeLost: 3}
	if got.outcomes != want || got.lossCause != errForeignResponse || got.added.TotalCount() != 1 {
		t.Errorf("%v, want %v; lost: %v", got.outcomes, want, got.lossCause)
	}
}
