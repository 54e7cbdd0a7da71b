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

// fleet holds the parts of a run: edge nodes, stub servers, stub discovery, clients and
// measurements.
type fleet struct {
	Config
	world       *world.World
	list        *serverList
	need        memoryNeed
	dir         string
	applied     *appliedVersions
	network     *network
	discovery   *discovery
	stubServers *stubServers
	clients     *clients
	tenants     *tenants
	reals       []*process
	hollows     []*hollow

	// Shared by the hollow edge nodes.
	hollowDiscoveryAddr string
	decoder             decoder
	http                *http.Client
	listSlots           chan struct{}
	discoveryErrors     atomic.Int64

	realLoad, hollowLoad *loadStats
	stopHollows          context.CancelFunc
	measured             measurements
}

// measurements holds what the phases measured. A nil field belongs to a phase that was not reached.
type measurements struct {
	phases                    []Phase // that ran to their end
	interrupted               bool
	rest                      *span
	lines                     *span
	lineRevs                  []int64
	load                      *span
	loadCounts                [nodeKinds]loadCount
	traffic                   *traffic
	zoneCounts                [nodeKinds]loadCount
	zoneRemoved, zoneRestored *zoneChange
	flood                     *span
	flooded                   int         // datagrams sent to each real edge node
	heap                      [2]float64  // of the lab, in bytes: without and with the hollow edge nodes
	resident                  [][]float64 // of real edge nodes, in MB: current, peak, live heap
	windows                   []Window
	startedAt                 time.Time
}

// zoneChange is a change of all servers of a zone in one version of the list.
type zoneChange struct {
	rev   int64
	lines int
	span  *span
}

// Phase is a part of a run.
type Phase string

// The phases, in the order of a run.
const (
	PhaseStart     Phase = "start"
	PhaseRest      Phase = "rest"
	PhaseLines     Phase = "lines"
	PhaseLoad      Phase = "load"
	PhaseZone      Phase = "zone"
	PhaseDatagrams Phase = "datagrams"
)

// The kinds of edge node.
const (
	realNode = iota
	hollowNode
	nodeKinds
)

// open opens the sockets of the stubs and prepares the edge nodes.
func (f *fleet) open() error {
	var err error
	if f.stubServers, err = newStubServers(f.world, f.Seed); err != nil {
		return err
	}
	f.list = drawList(&f.Config, f.stubServers.addrs)
	f.applied = newAppliedVersions()
	f.discovery = newDiscovery(f.list, f.applied)
	if f.hollowDiscoveryAddr, err = f.discovery.listen(-1); err != nil {
		return err
	}
	f.tenants = drawTenants(&f.Config, f.world)
	f.clients = newClients(f)
	f.realLoad, f.hollowLoad = newLoadStats(), newLoadStats()
	f.listSlots = make(chan struct{}, maxListFetches)
	f.http = &http.Client{Transport: &http.Transport{DisableCompression: true,
		MaxIdleConnsPerHost: f.Hollow + 1}}
	addrs, err := f.openReals()
	if err != nil {
		return err
	}
	if f.network, err = newNetwork(&f.Config, addrs); err != nil {
		return err
	}
	f.network.startReaders()
	return nil
}

// openReals reserves the addresses of the real edge nodes.
func (f *fleet) openReals() ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for i := range f.Real {
		p := &process{number: f.firstReal() + i}
		f.reals = append(f.reals, p)
		var err error
		if p.address, err = loopback.Reserve(); err != nil {
			return nil, err
		}
		if p.discovery, err = f.discovery.listen(p.number); err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(p.address.String())
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// runPhases runs the phases in order until ctx ends.
func (f *fleet) runPhases(ctx context.Context) error {
	f.measured.startedAt = time.Now()
	hollowCtx, stop := context.WithCancel(context.Background())
	f.stopHollows = stop
	var phase atomic.Value
	phase.Store(PhaseStart)
	var sampling sync.WaitGroup
	defer sampling.Wait()
	defer stop()
	for _, p := range []struct {
		name Phase
		do   func(ctx context.Context) error
	}{
		{PhaseStart, func(ctx context.Context) error {
			if err := f.start(ctx, hollowCtx); err != nil {
				return err
			}
			sampling.Go(func() { f.sampleSeconds(hollowCtx, &phase) })
			return nil
		}},
		{PhaseRest, f.measureRest},
		{PhaseLines, f.measureLineChanges},
		{PhaseLoad, f.measureLoad},
		{PhaseZone, f.measureZoneChange},
		{PhaseDatagrams, f.measureDatagramFlood},
	} {
		phase.Store(p.name)
		if f.Step != nil {
			f.Step(string(p.name))
		}
		if err := p.do(ctx); err != nil {
			return err
		}
		for _, r := range f.reals {
			if err := r.exitError(); err != nil {
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

// start starts all edge nodes and waits at most readyTimeout until they are ready.
func (f *fleet) start(ctx, hollowCtx context.Context) error {
	if _, err := f.discovery.response(0); err != nil { // encodes the list before the first request
		return err
	}
	f.measured.heap[0] = heapLive()
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	var starting sync.WaitGroup
	if err := f.startReals(ctx, &starting); err != nil {
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
		h.start(hollowCtx)
	}
	starting.Wait()
	f.awaitHollows(ctx)
	f.decoder.dropCache()
	f.measured.heap[1] = heapLive()
	return nil
}

// startReals starts the processes. Their configuration holds the list.
func (f *fleet) startReals(ctx context.Context, starting *sync.WaitGroup) error {
	initialList := f.discovery.initialList()
	for _, p := range f.reals {
		if err := p.start(f, initialList); err != nil {
			return err
		}
		starting.Go(func() { p.awaitReady(ctx) })
	}
	return nil
}

func (f *fleet) awaitHollows(ctx context.Context) {
	for _, h := range f.hollows {
		for {
			if _, ready, _ := h.stats(); ready > 0 {
				break
			}
			if !sleep(ctx, pollInterval) {
				return
			}
		}
	}
}

// sleep waits for a duration. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// measureRest measures edge nodes without requests.
func (f *fleet) measureRest(ctx context.Context) error {
	sleep(ctx, settleTime)
	before := f.readCPU()
	sleep(ctx, f.restDuration())
	f.measured.rest = f.readCPU().since(before)
	return nil
}

// measureLineChanges restarts single servers one after another.
func (f *fleet) measureLineChanges(ctx context.Context) error {
	before := f.readCPU()
	for i := range lineChangeCount {
		line := i * len(f.list.lines) / lineChangeCount
		f.measured.lineRevs = append(f.measured.lineRevs, f.discovery.change([]int{line}, markRestarted(time.Now())))
		if !sleep(ctx, lineChangeInterval) {
			break
		}
	}
	f.awaitApplied(ctx, f.measured.lineRevs[len(f.measured.lineRevs)-1], f.allNodes())
	f.measured.lines = f.readCPU().since(before)
	return nil
}

// markRestarted returns a function that changes the lines of servers that have started at the given time.
func markRestarted(at time.Time) func(t *roster.Target) {
	return func(t *roster.Target) { t.State, t.BootMS = stateServing, float64(at.UnixMilli()) }
}

func markRemoved(t *roster.Target) { t.State = roster.Removed }

func (f *fleet) allNodes() []int {
	list := make([]int, f.existing())
	for i := range list {
		list[i] = i
	}
	return list
}

// awaitApplied waits at most listTimeout until the given edge nodes have applied a version.
func (f *fleet) awaitApplied(ctx context.Context, rev int64, nodes []int) {
	for end := time.Now().Add(listTimeout); time.Now().Before(end); {
		latencies, missing := f.applied.latencies(rev), 0
		for _, no := range nodes {
			if _, applied := latencies[no]; !applied {
				missing++
			}
		}
		if missing == 0 || !sleep(ctx, pollInterval) {
			return
		}
	}
}

// runUnderLoad sends the load to all edge nodes while a function runs, and returns the counts.
func (f *fleet) runUnderLoad(ctx context.Context,
	do func(ctx context.Context)) (counts [nodeKinds]loadCount) {
	f.realLoad.takePhase()
	f.hollowLoad.takePhase()
	loadCtx, stop := context.WithCancel(ctx)
	var sources sync.WaitGroup
	for _, p := range f.reals {
		sources.Go(func() { f.clients.generateLoad(loadCtx, p) })
	}
	for _, h := range f.hollows {
		sources.Go(func() { h.generateLoad(loadCtx) })
	}
	do(ctx)
	stop()
	sources.Wait()
	f.clients.drain()
	counts[realNode], counts[hollowNode] = f.realLoad.takePhase(), f.hollowLoad.takePhase()
	return counts
}

// measureLoad measures the edge nodes under load.
func (f *fleet) measureLoad(ctx context.Context) error {
	f.network.startCount()
	f.measured.loadCounts = f.runUnderLoad(ctx, func(ctx context.Context) {
		before := f.readCPU()
		sleep(ctx, f.For)
		f.measured.load = f.readCPU().since(before)
		f.measured.traffic = f.readTraffic(f.measured.load.length)
	})
	return nil
}

// measureZoneChange removes and restores all servers of a zone under load, each in one change of
// the list.
func (f *fleet) measureZoneChange(ctx context.Context) error {
	var lines []int
	for i := range f.list.lines {
		if i%zones == 0 {
			lines = append(lines, i)
		}
	}
	var capable []int // edge nodes that refused the first change are not waited for again
	for no := range f.applied.latencies(f.measured.lineRevs[0]) {
		capable = append(capable, no)
	}
	f.measured.zoneCounts = f.runUnderLoad(ctx, func(ctx context.Context) {
		sleep(ctx, settleTime)
		f.measured.zoneRemoved = f.applyZoneChange(ctx, lines, markRemoved, capable)
		f.measured.zoneRestored = f.applyZoneChange(ctx, lines, markRestarted(time.Now()), capable)
	})
	return nil
}

func (f *fleet) applyZoneChange(ctx context.Context, lines []int, edit func(*roster.Target),
	capable []int) *zoneChange {
	if ctx.Err() != nil {
		return nil
	}
	before := f.readCPU()
	z := &zoneChange{rev: f.discovery.change(lines, edit), lines: len(lines)}
	f.awaitApplied(ctx, z.rev, capable)
	sleep(ctx, settleTime)
	z.span = f.readCPU().since(before)
	return z
}

// measureDatagramFlood sends many copies of a captured failure observation to the real edge nodes.
func (f *fleet) measureDatagramFlood(ctx context.Context) error {
	captured := f.network.sample.Load()
	if captured == nil || f.Real == 0 || f.existing() < 2 {
		return nil
	}
	before := f.readCPU()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	pending := 0.0
	for end := before.at.Add(floodDuration); time.Now().Before(end) && ctx.Err() == nil; {
		<-ticker.C
		for pending += floodRate * pollInterval.Seconds(); pending >= 1; pending-- {
			for _, p := range f.reals {
				f.network.deliver((p.number+1)%f.existing(), p.number, captured.data)
			}
			f.measured.flooded++
		}
	}
	f.measured.flood = f.readCPU().since(before)
	return nil
}

// readMemory reads the memory of the real edge nodes.
func (f *fleet) readMemory() {
	for _, p := range f.reals {
		resident, peak, heap := p.memory()
		f.measured.resident = append(f.measured.resident, []float64{resident, peak, heap})
	}
}

// close stops the edge nodes and stubs, closes all sockets and removes the directory.
func (f *fleet) close() {
	if f.stopHollows != nil {
		f.stopHollows()
	}
	var stopping sync.WaitGroup
	for _, p := range f.reals {
		stopping.Go(p.stop)
	}
	stopping.Wait()
	if f.network != nil {
		f.network.close()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
	if f.stubServers != nil {
		f.stubServers.close()
	}
	for _, p := range f.reals {
		if p.address != nil {
			p.address.Close()
		}
	}
	if f.http != nil {
		f.http.CloseIdleConnections()
	}
	if err := os.RemoveAll(f.dir); err != nil && f.Step != nil {
		f.Step(fmt.Sprintf("left behind: %v", err))
	}
}
