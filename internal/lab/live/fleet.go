// Package live plays a world in real time: real processes of the edge node on loopback,
// and stand-ins written from the platform's protocol round them: clients and the front,
// lending servers, an agent of discovery for each edge node, and a relay for their
// datagrams. It starts only the edge node's program, ends what it has started, and
// sends nothing beyond loopback. Real time is not repeatable; a run whose own load came
// late says so.
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

// MostNodes is how many edge nodes a machine bears beside the stand-ins.
const MostNodes = 30

// Config says what to play, and by which program.
type Config struct {
	World   *world.World
	Seed    uint64
	Program string         // the edge node's
	Stories bool           // keep what happens to each request
	Step    func(s Status) // called at each second; may be nil
}

// Status is how a run is getting on.
type Status struct {
	Second   int
	Requests int // answered or given up within the last second
	Served   int
	Refused  int
	Failed   int
	Lost     int
	P50, P99 float64 // ms, of the last second
	Up       int     // edge nodes
	Serving  int     // lending servers
	Faults   []string
}

// fleet is a run.
type fleet struct {
	Config
	w     *world.World
	begun time.Time
	dir   string

	mu     sync.Mutex // over all below, and the book
	book   *tally.Book
	log    *trace.Log
	rng    *rand.Rand // clients'
	nodes  []*node
	lend   []*lender
	people []*customer
	drawn  *world.Drawn
	tries  map[string]*try
	sent   map[string]bool // ids of all that clients have sent
	nextID uint64
	nextNo int
	last   []tally.End // of the second at hand
	late   int         // requests that the lab itself made late
	asked  int
	eager  float64

	cutBoth, cutOut map[int]bool
	deaf            map[int]bool
	loss, lost      float64
	reset, shared   float64
	listLate        time.Duration
	listDown        time.Time
	mail            *rand.Rand
	faulty          *rand.Rand
	relay           *relay
	open            sync.WaitGroup // requests of clients
}

// epoch keeps start times above nothing.
const epoch = time.Hour

func (f *fleet) now() time.Duration { return epoch + time.Since(f.begun) }

// since is the time since the run began.
func (f *fleet) since() time.Duration { return time.Since(f.begun) }

// Play plays a world to its end, or until ctx is over: then what was played counts.
func Play(ctx context.Context, c Config) (*tally.Result, *trace.Log, error) {
	if c.World.Nodes > MostNodes {
		return nil, nil, fmt.Errorf("%d edge nodes: the live engine plays %d at most", c.World.Nodes, MostNodes)
	}
	dir, err := os.MkdirTemp("", "valverlab-")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	f := &fleet{Config: c, w: c.World, begun: time.Now(), dir: dir, book: tally.NewBook(c.World), rng: world.Stream(c.Seed, world.StreamClients), tries: map[string]*try{}, sent: map[string]bool{},
		eager: 1, shared: 1, loss: c.World.Net.Loss, cutBoth: map[int]bool{}, cutOut: map[int]bool{}, deaf: map[int]bool{},
		mail: world.Stream(c.Seed, world.StreamMail), faulty: world.Stream(c.Seed, world.StreamFaults), drawn: c.World.Draw(c.Seed)}
	if c.Stories {
		f.log = &trace.Log{Most: 1_000_000}
	}
	defer f.close()
	if err := f.build(); err != nil {
		return nil, nil, err
	}
	if err := f.start(ctx); err != nil {
		return nil, nil, err
	}
	source, err := load.New(&f.w.Load, c.Seed, func(name string) (io.ReadCloser, error) { return os.Open(name) })
	if err != nil {
		return nil, nil, err
	}
	f.begun = time.Now() // clients come once all are ready
	f.mu.Lock()
	for i := range f.w.Faults {
		f.schedule(ctx, &f.w.Faults[i])
	}
	f.mu.Unlock()
	played := f.clients(ctx, source)
	f.drain()
	f.mu.Lock()
	defer f.mu.Unlock()
	if played < f.w.For.D() && ctx.Err() != nil {
		f.book.Shorten(played)
	}
	if share := float64(f.late) / math.Max(1, float64(f.asked)); share > mostLate {
		f.book.Unsound = fmt.Sprintf("%.1f%% of the requests were made over %v late: the machine is too busy for this load", 100*share, lateBy)
	}
	r := f.book.Result(c.Seed)
	r.Engine = "live"
	return r, f.log, nil
}

// A run whose requests are late is unsound: it did not ask what it was to ask.
const (
	lateBy   = 50 * time.Millisecond
	mostLate = 0.01
)

// listen opens a loopback address.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// build opens the stand-ins' sockets.
func (f *fleet) build() error {
	for i := range f.w.Nodes {
		n, err := newNode(f, i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	for i, size := range f.drawn.Sizes {
		if _, err := f.addLender(i, size); err != nil {
			return err
		}
	}
	f.populate()
	var err error
	f.relay, err = newRelay(f)
	return err
}

// start starts the edge nodes and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, n := range f.nodes {
		if err := n.launch(); err != nil {
			return err
		}
	}
	ctx, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	for _, n := range f.nodes {
		for !n.ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("edge node %d is not ready after %v: %s", n.no, readyWithin, n.tail())
			case <-n.exited():
				return fmt.Errorf("edge node %d ended at its start: %s", n.no, n.tail())
			case <-time.After(pollReady):
			}
		}
	}
	return nil
}

const (
	readyWithin = 20 * time.Second
	pollReady   = 10 * time.Millisecond
)

// drain waits for the requests that are open, then stops the edge nodes as planned.
func (f *fleet) drain() {
	f.open.Wait()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() { n.stop(stopWithin) })
	}
	wg.Wait()
}

const stopWithin = 8 * time.Second

// close ends everything that is left.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.close()
	}
	for _, l := range f.lend {
		l.close()
	}
	if f.relay != nil {
		f.relay.close()
	}
}

// note adds to a request's story; the fleet's lock is held.
func (f *fleet) note(w *want, node int, what trace.What, format string, args ...any) {
	if w != nil && w.story != nil {
		f.log.Add(w.story, f.since(), node, what, format, args...)
	}
}

// passes tells whether anything gets from one zone to another; the lock is held.
func (f *fleet) passes(from, to int) bool {
	return from == to || !f.cutBoth[from] && !f.cutBoth[to] && !f.cutOut[from]
}

var errClosed = errors.New("the run is over")
