package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// endpointCount is the number of addresses that all lines of the list share, one for each zone: a server that comes
// up at the address of another replaces it.
const endpointCount = zones

// latencyModel draws the service time of a request from a log-normal distribution of its class.
type latencyModel struct{ world *world.World }

func (m latencyModel) draw(class int, rng *rand.Rand) time.Duration {
	sigma := m.world.Server.Spread
	mean := m.world.Classes[class].Work.D()
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// stubServers emulates all servers of the real edge nodes.
type stubServers struct {
	model        latencyModel
	servers      []*http.Server
	addrs        []string
	mu           sync.Mutex
	rng          *rand.Rand
	serviceTimes map[string]time.Duration // by request: the service time
}

func newStubServers(w *world.World, seed uint64) (*stubServers, error) {
	l := &stubServers{model: latencyModel{w}, rng: world.Stream(seed, world.StreamWork),
		serviceTimes: map[string]time.Duration{}}
	for range endpointCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return l, fmt.Errorf("opening a socket for the stub servers: %w", err)
		}
		srv := &http.Server{Handler: l}
		l.servers, l.addrs = append(l.servers, srv), append(l.addrs, ln.Addr().String())
		go func() { _ = srv.Serve(ln) }() // returns after close
	}
	return l, nil
}

// ServeHTTP responds after a service time that it draws.
func (l *stubServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	id := r.Header.Get("X-Request-Id")
	class := l.classOf(strings.TrimPrefix(r.URL.Path, "/"))
	if id == "" || class < 0 {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	latency := l.model.draw(class, l.rng)
	l.mu.Unlock()
	time.Sleep(latency)
	l.mu.Lock()
	l.serviceTimes[id] = time.Since(began)
	l.mu.Unlock()
	_, _ = w.Write([]byte(loanBody(id))) // the edge node may have cancelled the attempt
}

func (l *stubServers) classOf(name string) int {
	for i := range l.model.world.Classes {
		if l.model.world.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// takeServiceTime returns the service time of a request and removes the entry.
func (l *stubServers) takeServiceTime(id string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, known := l.serviceTimes[id]
	delete(l.serviceTimes, id)
	return d, known
}

func (l *stubServers) close() {
	for _, srv := range l.servers {
		srv.Close()
	}
}

// loanBody returns the response body for a request.
func loanBody(id string) string { return `{"loan":"` + id + `"}` }
