// Package live runs a world in real time. It starts real edge node processes on loopback
// and emulates the rest of the platform from its protocol: clients and their load
// balancer (the front), lending servers, a discovery agent for each edge node, and a
// relay for datagrams between edge nodes. It starts no program but the edge node's, stops
// every process that it started, and sends nothing beyond loopback. Runs in real time are
// not repeatable; a run whose requests were sent late is marked as invalid.
package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
	"valvering.example/valvering/internal/lab/world"
)

// MaxNodes is the maximum number of edge nodes that one machine can run beside the
// emulated platform.
const MaxNodes = 30

// Config describes a run.
type Config struct {
	World   *world.World
	Seed    uint64
	Program string         // path of the edge node's program
	Stories bool           // record the events of each request
	Step    func(s Status) // called each second; may be nil
}

// Status is the progress of a run.
type Status struct {
	Second   int
	Requests int // completed or abandoned within the last second
	Served   int
	Refused  int
	Failed   int
	Lost     int
	P50, P99 float64 // latency in ms, of the last second
	Up       int     // running edge nodes
	Serving  int     // serving lending servers
	Faults   []string
}

// fleet is the state of a run.
type fleet struct {
	Config
	world     *world.World
	startTime time.Time
	dir       string

	mu           sync.Mutex // guards all fields below and the contents of book
	book         *tally.Book
	log          *trace.Log
	clientRand   *rand.Rand // of the clients
	nodes        []*node
	servers      []*server
	customers    []*customer
	population   *world.Population
	tries        map[string]*try
	sentIDs      map[string]bool // ids of all requests that clients have sent
	lastID       uint64
	storyCount   int
	recentEnds   []tally.End // requests that ended in the current second
	lateRequests int         // requests that the lab itself sent late
	requestCount int
	eagerness    float64

	cutBoth, cutOut           map[int]bool
	receivesNone              map[int]bool
	datagramLoss, answerLoss  float64
	resetRate, sharedSlowdown float64
	discoveryDelay            time.Duration
	discoveryDownUntil        time.Time
	datagramRand              *rand.Rand
	faultRand                 *rand.Rand
	relay                     *relay
	openRequests              sync.WaitGroup // client requests in progress
}

// startOffset is the value of now at the start of a run, so that no start time is zero, which
// means unknown.
const startOffset = time.Hour

func (f *fleet) now() time.Duration { return startOffset + time.Since(f.startTime) }

// elapsed returns the time since the run began.
func (f *fleet) elapsed() time.Duration { return time.Since(f.startTime) }

// Run runs a world to its end. If ctx ends earlier, the result covers the time until then.
func Run(ctx context.Context, c Config) (*tally.Result, *trace.Log, error) {
	if c.World.Nodes > MaxNodes {
		return nil, nil, fmt.Errorf("%d edge nodes: the live engine plays %d at most", c.World.Nodes,
			MaxNodes)
	}
	dir, err := os.MkdirTemp("", "valverlab-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	f := &fleet{Config: c, world: c.World, startTime: time.Now(), dir: dir, book: tally.NewBook(c.World),
		clientRand: world.Stream(c.Seed, world.StreamClients),
		tries:      map[string]*try{}, sentIDs: map[string]bool{},
		eagerness: 1, sharedSlowdown: 1, datagramLoss: c.World.Net.Loss,
		cutBoth: map[int]bool{}, cutOut: map[int]bool{}, receivesNone: map[int]bool{},
		datagramRand: world.Stream(c.Seed, world.StreamDatagrams),
		faultRand:    world.Stream(c.Seed, world.StreamFaults),
		population:   c.World.Draw(c.Seed)}
	if c.Stories {
		f.log = &trace.Log{MaxNotes: 1_000_000}
	}
	defer f.close()
	if err := f.build(); err != nil {
		return nil, nil, err
	}
	if err := f.start(ctx); err != nil {
		return nil, nil, err
	}
	source, err := load.New(&f.world.Load, c.Seed,
		func(name string) (io.ReadCloser, error) { return os.Open(name) })
	if err != nil {
		return nil, nil, err
	}
	f.startTime = time.Now() // clients start once all edge nodes are ready
	f.mu.Lock()
	for i := range f.world.Faults {
		f.scheduleFault(ctx, &f.world.Faults[i])
	}
	f.mu.Unlock()
	played := f.runClients(ctx, source)
	f.drain()
	f.mu.Lock()
	defer f.mu.Unlock()
	if played < f.world.For.D() && ctx.Err() != nil {
		f.book.Truncate(played)
	}
	if lateShare := float64(f.lateRequests) / math.Max(1, float64(f.requestCount)); lateShare > maxLateShare {
		f.book.Invalid = fmt.Sprintf("%.1f%% of the requests were made over %v late: the machine is too busy for this load",
			100*lateShare, lateThreshold)
	}
	r := f.book.Result(c.Seed)
	r.Engine = "live"
	return r, f.log, nil
}

// A run in which too many requests are sent late is invalid: it did not apply the
// intended load.
const (
	lateThreshold = 50 * time.Millisecond
	maxLateShare  = 0.01
)

// listen opens a TCP listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// build creates the emulated platform and opens its sockets.
func (f *fleet) build() error {
	for i := range f.world.Nodes {
		n, err := newNode(f, i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for i, size := range f.population.ServerSizes {
		if _, err := f.addServer(i, size); err != nil {
			return err
		}
	}
	f.createCustomers()
	var err error
	f.relay, err = newRelay(f)
	return err
}

// start launches the edge nodes and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, n := range f.nodes {
		if err := n.launch(); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for _, n := range f.nodes {
		for !n.ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("edge node %d is not ready after %v: %s", n.index, readyTimeout, n.tail())
			case <-n.exited():
				return fmt.Errorf("edge node %d ended at its start: %s", n.index, n.tail())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// drain waits for the client requests in progress, then shuts the edge nodes down in
// the planned way.
func (f *fleet) drain() {
	f.openRequests.Wait()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { n.stop(stopTimeout) })
	}
	wg.Wait()
}

const stopTimeout = 8 * time.Second

// close stops the remaining processes and closes all sockets.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.close()
	}
	for _, l := range f.servers {
		l.close()
	}
	if f.relay != nil {
		f.relay.close()
	}
}

// addNote adds an event to the story of a request, if stories are recorded. The fleet's lock
// is held.
func (f *fleet) addNote(w *clientRequest, node int, what trace.What, format string, args ...any) {
	if w != nil && w.story != nil {
		f.log.Add(w.story, f.elapsed(), node, what, format, args...)
	}
}

// reachable reports whether traffic from one zone reaches another. The fleet's lock is held.
func (f *fleet) reachable(from, to int) bool {
	return from == to || !f.cutBoth[from] && !f.cutBoth[to] && !f.cutOut[from]
}

var errClosed = errors.New("the run is over")
