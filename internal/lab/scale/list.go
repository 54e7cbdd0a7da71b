package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

// serversPerCell is how many lending servers share a cell.
const serversPerCell = 4

// serverList holds the lines of discovery's list.
type serverList struct{ lines []roster.Target }

// drawList makes the list of a fleet whose servers have run for long. All lines share
// the endpoints: a lending stand-in answers there for every server.
func drawList(c *Config, endpoints []string) *serverList {
	if len(endpoints) == 0 {
		endpoints = []string{"127.0.0.1:9"}
	}
	l, rng, drawn := &serverList{}, world.Stream(c.Seed, world.StreamWorld), make(map[uint32]bool, c.Servers)
	for i := range c.Servers {
		zone, name := i%zones, rng.Uint32()
		for drawn[name] {
			name = rng.Uint32()
		}
		drawn[name] = true
		l.lines = append(l.lines, roster.Target{UID: fmt.Sprintf("s-%08x", name), Endpoint: endpoints[i%len(endpoints)],
			Zone: world.ZoneName(zone), Cell: zone*100_000 + i/zones/serversPerCell, State: stateServing, Weight: 1})
	}
	return l
}

// States of a line, beside roster.Removed.
const stateServing = "SERVING"

// module gives the list in the module's form.
func (l *serverList) module() []policy.Server { return moduleServers(l.lines) }

func moduleServers(lines []roster.Target) []policy.Server {
	servers := make([]policy.Server, len(lines))
	for i := range lines {
		servers[i] = lines[i].Server()
	}
	return servers
}

// decodedList is a list as discovery told it, in the module's form.
type decodedList struct {
	rev     int64
	all     bool
	servers []policy.Server
}

var errBadLines = errors.New("a line of the list can't be used")

// decodeList is the one place where the lab reads a list.
func decodeList(body []byte) (*decodedList, error) {
	var l roster.List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	if l.Invalid > 0 {
		return nil, fmt.Errorf("%w: %w", errBadLines, l.InvalidErr)
	}
	return &decodedList{l.Rev, l.All, moduleServers(l.Targets)}, nil
}

// decoder decodes each distinct answer of discovery once for all hollow edge nodes: an
// edge node of its own would decode its own, and what that takes is measured here.
type decoder struct {
	mu     sync.Mutex
	held   map[uint64]*decoding
	decode DecodeCost // of the largest answer
}

type decoding struct {
	once sync.Once
	list *decodedList
	err  error
}

// mostHeld is how many decoded answers are kept.
const mostHeld = 16

// take returns a decoded answer.
func (d *decoder) take(body []byte) (*decodedList, error) {
	key := xxhash.Sum64(body)
	d.mu.Lock()
	if d.held == nil || len(d.held) >= mostHeld {
		d.held = map[uint64]*decoding{}
	}
	e := d.held[key]
	if e == nil {
		e = &decoding{}
		d.held[key] = e
	}
	d.mu.Unlock()
	e.once.Do(func() {
		spent := onThread(func() { e.list, e.err = decodeList(body) })
		d.note(len(body), spent)
	})
	return e.list, e.err
}

func (d *decoder) note(bytes int, spent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if bytes >= d.decode.Bytes {
		d.decode = DecodeCost{Bytes: bytes, MS: milliseconds(spent)}
	}
}

// cost is that of the largest answer.
func (d *decoder) cost() DecodeCost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decode
}

// drop lets go of what is held.
func (d *decoder) drop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = nil
}
