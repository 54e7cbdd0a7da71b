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

// serversPerCell is the number of servers in a cell.
const serversPerCell = 4

// serverList holds the lines of discovery's list.
type serverList struct{ lines []roster.Target }

// drawList makes the list of a fleet whose servers have long been running. All lines share the
// endpoints, where the stub servers respond for every server.
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
		l.lines = append(l.lines, roster.Target{UID: fmt.Sprintf("s-%08x", name),
			Endpoint: endpoints[zone%len(endpoints)],
			Zone:     world.ZoneName(zone), Cell: zone*100_000 + i/zones/serversPerCell, State: stateServing,
			Weight: 1})
	}
	return l
}

const stateServing = "SERVING" // state of a line, besides roster.Removed

// policyServers returns the list in the form of package policy.
func (l *serverList) policyServers() []policy.Server { return toPolicyServers(l.lines) }

func toPolicyServers(lines []roster.Target) []policy.Server {
	servers := make([]policy.Server, len(lines))
	for i := range lines {
		servers[i] = lines[i].Server()
	}
	return servers
}

// decodedList is a list received from discovery, in the form of package policy.
type decodedList struct {
	rev     int64
	all     bool
	servers []policy.Server
}

var errBadLines = errors.New("the list has an unusable line")

// decodeList decodes a list for the hollow edge nodes.
func decodeList(body []byte) (*decodedList, error) {
	var l roster.List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	if l.Invalid > 0 {
		return nil, fmt.Errorf("%w: %w", errBadLines, l.InvalidErr)
	}
	return &decodedList{l.Rev, l.All, toPolicyServers(l.Targets)}, nil
}

// decoder decodes each distinct response of discovery once for all hollow edge nodes. A real edge
// node decodes its own; decoder measures the cost.
type decoder struct {
	mu      sync.Mutex
	cache   map[uint64]*cacheEntry
	largest DecodeCost // of the largest response
}

type cacheEntry struct {
	once sync.Once
	list *decodedList
	err  error
}

// maxCachedLists is the number of decoded responses in the cache.
const maxCachedLists = 16

// decode returns the decoded form of a response.
func (d *decoder) decode(body []byte) (*decodedList, error) {
	key := xxhash.Sum64(body)
	d.mu.Lock()
	if d.cache == nil || len(d.cache) >= maxCachedLists {
		d.cache = map[uint64]*cacheEntry{}
	}
	e := d.cache[key]
	if e == nil {
		e = &cacheEntry{}
		d.cache[key] = e
	}
	d.mu.Unlock()
	e.once.Do(func() {
		spent := threadTime(func() { e.list, e.err = decodeList(body) })
		d.recordCost(len(body), spent)
	})
	return e.list, e.err
}

func (d *decoder) recordCost(bytes int, spent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if bytes >= d.largest.Bytes {
		d.largest = DecodeCost{Bytes: bytes, MS: milliseconds(spent)}
	}
}

// cost returns the decoding cost of the largest response.
func (d *decoder) cost() DecodeCost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.largest
}

// dropCache releases the decoded lists.
func (d *decoder) dropCache() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cache = nil
}
