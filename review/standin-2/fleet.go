package standin2

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"
)

// fleet is a small deployment.
type fleet struct {
	*play
	lenders   []*lender
	discovery *discovery
	addrs     []string
	own       []map[string]any // the "valvering" object of each configuration; nil: none
}

// newFleet plays the lending servers and discovery, and makes the edge nodes without starting them.
func newFleet(p *play, nodes, lenders int, work time.Duration) (*fleet, error) {
	f := &fleet{play: p}
	for i := range lenders {
		l, err := p.newLender(fmt.Sprintf("s-%08x", 0x5be2a000+i), work)
		if err != nil {
			return nil, err
		}
		f.lenders = append(f.lenders, l)
	}
	var err error
	if f.discovery, err = newDiscovery(f.lenders); err != nil {
		return nil, err
	}
	if f.addrs, err = freePorts(nodes); err != nil {
		return nil, err
	}
	f.own = make([]map[string]any, nodes)
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		p.nodes = append(p.nodes, &node{p: p, name: name, listen: f.addrs[i], discovery: f.discovery.addr,
			path: filepath.Join(p.dir, name+".json")})
	}
	return f, nil
}

// write writes the configuration of an edge node, in a fleet of the given size.
func (f *fleet) write(i, size int, classes ...class) error {
	config := map[string]any{"name": f.nodes[i].name, "listen": f.addrs[i], "discovery": f.discovery.addr,
		"seed":        fmt.Sprintf("%016x", rand.Uint64()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": f.addrs[i], "peers": f.addrs[:size], "known": f.discovery.known(),
		"settings": settings(i, size, classes...)}
	if f.own[i] != nil {
		config["valvering"] = f.own[i]
	}
	return f.nodes[i].write(config)
}

// startAll starts all edge nodes and waits until they are ready.
func (f *fleet) startAll(classes ...class) error {
	for i, n := range f.nodes {
		if err := f.write(i, len(f.nodes), classes...); err != nil {
			return err
		}
		if err := n.launch(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// load sends ordinary requests to an edge node on several connections until stop is closed.
type load struct {
	wg   sync.WaitGroup
	stop chan struct{}
	mu   sync.Mutex
	all  []*request
}

func (f *fleet) startLoad(conns int, pause time.Duration, to *node, draw func() *request) *load {
	l := &load{stop: make(chan struct{})}
	for i := range conns {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(pause * time.Duration(i) / time.Duration(conns))
			l.client(to, pause, draw)
		}()
	}
	return l
}

func (l *load) client(to *node, pause time.Duration, draw func() *request) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", to.listen); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		r := draw()
		if r == nil {
			return
		}
		r.exchange(c, in, 0)
		l.mu.Lock()
		l.all = append(l.all, r)
		l.mu.Unlock()
		if r.err != nil || errors.Is(r.err, errCloses) {
			c.Close()
			c = nil
		}
	}
}

func (l *load) end() []*request {
	close(l.stop)
	l.wg.Wait()
	return l.all
}

// describe writes all requests to the record.
func (f *fleet) describe(list []*request) {
	for _, r := range list {
		runs := 0
		for _, l := range f.lenders {
			l.mu.Lock()
			runs += l.runs[r.id]
			l.mu.Unlock()
		}
		what := fmt.Sprintf("answered %d", r.status)
		if r.status == 0 {
			what = fmt.Sprintf("no answer (%v)", r.err)
		}
		f.note("request %s %s: sent %.3f, %s at %.3f, attempts that reached a server: %d", r.id, r.class,
			r.sentAt.Sub(f.start).Seconds(), what, r.endedAt.Sub(f.start).Seconds(), runs)
	}
}
