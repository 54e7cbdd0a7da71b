package scale

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/internal/loopback"
	"valvering.example/valvering/internal/roster"
)

// fleet is what a run consists of.
type fleet struct {
	Config
	world     *world.World
	list      *serverList
	need      memoryNeed
	dir       string
	takes     *takes
	network   *network
	discovery *discovery
	lender    *lender
	clients   *clients
	tenants   *tenants
	reals     []*process
	hollows   []*hollow

	// What hollow edge nodes share.
	hollowDiscovery string
	decoder         decoder
	http            *http.Client
	listSlots       chan struct{}
	discoveryErrors atomic.Int64

	realLoad, hollowLoad *loadBook
	end                  context.CancelFunc // of the hollow edge nodes
	measured             measured
}

// measured is what the phases found; a nil part was not reached.
type measured struct {
	phases      []Phase // that were played whole
	interrupted bool
	rest        *span
	lines       *span
	lineRevs    []int64
	load        *span
	loadCounts  [sorts]loadCount
	traffic     *traffic
	zoneCounts  [sorts]loadCount
	lost, back  *zoneChange
	flood       *span
	flooded     int         // datagrams that each real edge node was sent
	heap        [2]float64  // of the lab, in bytes: before the hollow edge nodes, and with them
	resident    [][]float64 // of real ones, in MB: now, most, live heap
	windows     []Window
	begun       time.Time
}

// zoneChange is a change of all servers of a zone.
type zoneChange struct {
	rev   int64
	lines int
	span  *span
}

// Phase is a part of a run.
type Phase string

// The phases, in their order.
const (
	PhaseStart     Phase = "start"
	PhaseRest      Phase = "rest"
	PhaseLines     Phase = "lines"
	PhaseLoad      Phase = "load"
	PhaseZone      Phase = "zone"
	PhaseDatagrams Phase = "datagrams"
)

// Sorts of edge node.
const (
	sortReal = iota
	sortHollow
	sorts
)

// open opens the stand-ins' sockets and describes the edge nodes.
func (f *fleet) open() error {
	var err error
	if f.lender, err = newLender(f.world, f.Seed); err != nil {
		return err
	}
	f.list = drawList(&f.Config, f.lender.addrs)
	f.takes = newTakes()
	f.discovery = newDiscovery(f.list, f.takes)
	if f.hollowDiscovery, err = f.discovery.listen(-1); err != nil {
		return err
	}
	f.tenants = drawTenants(&f.Config, f.world)
	f.clients = newClients(f)
	f.realLoad, f.hollowLoad = newLoadBook(), newLoadBook()
	f.listSlots = make(chan struct{}, listsAtOnce)
	f.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: f.Hollow + 1}}
	addrs, err := f.openReals()
	if err != nil {
		return err
	}
	if f.network, err = newNetwork(&f.Config, addrs); err != nil {
		return err
	}
	f.network.run()
	return nil
}

// openReals sets the real edge nodes' addresses aside.
func (f *fleet) openReals() ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for i := range f.Real {
		p := &process{no: f.firstReal() + i}
		f.reals = append(f.reals, p)
		var err error
		if p.at, err = loopback.Reserve(); err != nil {
			return nil, err
		}
		if p.discovery, err = f.discovery.listen(p.no); err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(p.at.String())
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// play goes through the phases until ctx ends.
func (f *fleet) play(ctx context.Context) error {
	f.measured.begun = time.Now()
	inner, end := context.WithCancel(context.Background())
	f.end = end
	var phase atomic.Value
	phase.Store(PhaseStart)
	var sampling sync.WaitGroup
	defer sampling.Wait()
	defer end()
	for _, p := range []struct {
		name Phase
		do   func(ctx context.Context) error
	}{
		{PhaseStart, func(ctx context.Context) error {
			if err := f.start(ctx, inner); err != nil {
				return err
			}
			sampling.Go(func() { f.sampleSeconds(inner, &phase) })
			return nil
		}},
		{PhaseRest, f.rest}, {PhaseLines, f.changeLines}, {PhaseLoad, f.underFullLoad}, {PhaseZone, f.changeZone}, {PhaseDatagrams, f.floodDatagrams},
	} {
		phase.Store(p.name)
		if f.Step != nil {
			f.Step(string(p.name))
		}
		if err := p.do(ctx); err != nil {
			return err
		}
		for _, r := range f.reals {
			if err := r.ended(); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			f.measured.interrupted = true
			break
		}
		f.measured.phases = append(f.measured.phases, p.name)
	}
	f.readMemory()
	return nil
}

// start starts all edge nodes and waits until they are ready.
func (f *fleet) start(ctx, inner context.Context) error {
	if _, err := f.discovery.answer(0); err != nil { // written before it is asked for
		return err
	}
	f.measured.heap[0] = heapLive()
	ctx, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	var awaited sync.WaitGroup
	if err := f.startReals(ctx, &awaited); err != nil {
		return err
	}
	for no := range f.existing() {
		if f.isReal(no) {
			continue
		}
		h, err := newHollow(f, no)
		if err != nil {
			return err
		}
		f.hollows = append(f.hollows, h)
		h.start(inner)
	}
	awaited.Wait()
	f.awaitHollows(ctx)
	f.decoder.drop()
	f.measured.heap[1] = heapLive()
	return nil
}

// startReals starts the processes, which know the list from their configuration.
func (f *fleet) startReals(ctx context.Context, awaited *sync.WaitGroup) error {
	known := f.discovery.known()
	for _, p := range f.reals {
		if err := p.start(f, known); err != nil {
			return err
		}
		awaited.Go(func() { p.await(ctx) })
	}
	return nil
}

func (f *fleet) awaitHollows(ctx context.Context) {
	for _, h := range f.hollows {
		for {
			if _, ready, _ := h.reading(); ready > 0 {
				break
			}
			if !pause(ctx, pollReady) {
				return
			}
		}
	}
}

// pause waits; it is false when ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// rest measures edge nodes that nobody asks for anything.
func (f *fleet) rest(ctx context.Context) error {
	pause(ctx, settleFor)
	before := f.read()
	pause(ctx, f.restFor())
	f.measured.rest = f.read().since(before)
	return nil
}

// changeLines has single servers restart, one after another.
func (f *fleet) changeLines(ctx context.Context) error {
	before := f.read()
	for i := range lineChanges {
		line := i * len(f.list.lines) / lineChanges
		f.measured.lineRevs = append(f.measured.lineRevs, f.discovery.change([]int{line}, restarted))
		if !pause(ctx, lineEvery) {
			break
		}
	}
	f.awaitTakes(ctx, f.measured.lineRevs[len(f.measured.lineRevs)-1], f.everyone())
	f.measured.lines = f.read().since(before)
	return nil
}

// restarted is the change of a server that has just started.
func restarted(t *roster.Target) { t.State, t.BootMS = stateServing, float64(time.Now().UnixMilli()) }

func removed(t *roster.Target) { t.State = roster.Removed }

func (f *fleet) everyone() []int {
	list := make([]int, f.existing())
	for i := range list {
		list[i] = i
	}
	return list
}

// awaitTakes waits until some edge nodes have taken a version, but not for ever.
func (f *fleet) awaitTakes(ctx context.Context, rev int64, awaited []int) {
	for end := time.Now().Add(listWait); time.Now().Before(end); {
		took, missing := f.takes.of(rev), 0
		for _, no := range awaited {
			if _, have := took[no]; !have {
				missing++
			}
		}
		if missing == 0 || !pause(ctx, pollReady) {
			return
		}
	}
}

// underLoad has all edge nodes asked while something is done, and returns the counts.
func (f *fleet) underLoad(ctx context.Context, do func(ctx context.Context)) (counts [sorts]loadCount) {
	f.realLoad.takePhase()
	f.hollowLoad.takePhase()
	asking, stop := context.WithCancel(ctx)
	var sources sync.WaitGroup
	for _, p := range f.reals {
		sources.Go(func() { f.clients.ask(asking, p) })
	}
	for _, h := range f.hollows {
		sources.Go(func() { h.ask(asking) })
	}
	do(ctx)
	stop()
	sources.Wait()
	f.clients.drain()
	counts[sortReal], counts[sortHollow] = f.realLoad.takePhase(), f.hollowLoad.takePhase()
	return counts
}

// underFullLoad measures the load.
func (f *fleet) underFullLoad(ctx context.Context) error {
	f.network.startCount()
	f.measured.loadCounts = f.underLoad(ctx, func(ctx context.Context) {
		before := f.read()
		pause(ctx, f.For)
		f.measured.load = f.read().since(before)
		f.measured.traffic = f.readTraffic(f.measured.load.length)
	})
	return nil
}

// changeZone has a zone's servers leave and come back under load, each in one change.
func (f *fleet) changeZone(ctx context.Context) error {
	var lines []int
	for i := range f.list.lines {
		if i%zones == 0 {
			lines = append(lines, i)
		}
	}
	var able []int // a list that is refused is not waited for again
	for no := range f.takes.of(f.measured.lineRevs[0]) {
		able = append(able, no)
	}
	f.measured.zoneCounts = f.underLoad(ctx, func(ctx context.Context) {
		pause(ctx, settleFor)
		f.measured.lost = f.changeAtOnce(ctx, lines, removed, able)
		f.measured.back = f.changeAtOnce(ctx, lines, restarted, able)
	})
	return nil
}

func (f *fleet) changeAtOnce(ctx context.Context, lines []int, edit func(*roster.Target), able []int) *zoneChange {
	if ctx.Err() != nil {
		return nil
	}
	before := f.read()
	z := &zoneChange{rev: f.discovery.change(lines, edit), lines: len(lines)}
	f.awaitTakes(ctx, z.rev, able)
	pause(ctx, settleFor)
	z.span = f.read().since(before)
	return z
}

// floodDatagrams sends real edge nodes many datagrams of a kind that was seen.
func (f *fleet) floodDatagrams(ctx context.Context) error {
	seen := f.network.sample.Load()
	if seen == nil || f.Real == 0 || f.existing() < 2 {
		return nil
	}
	before := f.read()
	every := time.NewTicker(pollReady)
	defer every.Stop()
	due := 0.0
	for end := before.at.Add(floodFor); time.Now().Before(end) && ctx.Err() == nil; {
		<-every.C
		for due += floodRate * pollReady.Seconds(); due >= 1; due-- {
			for _, p := range f.reals {
				f.network.deliver((p.no+1)%f.existing(), p.no, seen.data)
			}
			f.measured.flooded++
		}
	}
	f.measured.flood = f.read().since(before)
	return nil
}

// readMemory reads what the real edge nodes hold.
func (f *fleet) readMemory() {
	for _, p := range f.reals {
		resident, peak, heap := p.memory()
		f.measured.resident = append(f.measured.resident, []float64{resident, peak, heap})
	}
}

// close ends everything that was started.
func (f *fleet) close() {
	if f.end != nil {
		f.end()
	}
	var ending sync.WaitGroup
	for _, p := range f.reals {
		ending.Go(p.stop)
	}
	ending.Wait()
	if f.network != nil {
		f.network.close()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
	if f.lender != nil {
		f.lender.close()
	}
	for _, p := range f.reals {
		if p.at != nil {
			p.at.Close()
		}
	}
	if f.http != nil {
		f.http.CloseIdleConnections()
	}
	if err := os.RemoveAll(f.dir); err != nil && f.Step != nil {
		f.Step(fmt.Sprintf("left behind: %v", err))
	}
}
