package main

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

var (
	soaks     = flag.Int("soaks", 6, "soaks of planned stops to play")
	soakSeed  = flag.Uint64("soak-seed", 1, "seed of the first")
	soakStops = flag.Int("soak-stops", 2, "planned stops in each")
)

// Growth of resident memory allowed, between the first and the last stop, in a process that runs
// through all stops. A leak at each stop exceeds it over many stops.
const maxGrowthKB = 16 << 10

// Shutdowns, restarts and reloads of the real program, checked from outside: three edge nodes with
// peers and quotas serve clients that use their connections until these close. Signals come in
// series. Every third seed adds many idle clients, the others a fault of discovery, a server or a
// peer during the shutdown. A violation is reported with its request and the seed, and
// -soaks 1 -soak-seed N repeats the run.
func TestStopSoak(t *testing.T) {
	for i := range *soaks {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed, *soakStops) })
	}
}

// extraDrainTime is how long a server drains beyond the time for which requests may still be sent to it.
const extraDrainTime = 500 * time.Millisecond

// fault is what fails during a shutdown.
type fault int

const (
	noFault fault = iota
	discoveryRefuses
	discoverySilent
	serverHangs
	serverResets
	serverDrains
	peerKilled
	faultCount
)

func (t fault) String() string {
	return [...]string{"no fault", "discovery refuses", "discovery silent", "a server hangs", "a server resets",
		"a server drains", "a peer is killed"}[t]
}

// signalSeries is the order of the signals that shut a process down.
type signalSeries int

const (
	term signalSeries = iota
	hupTerm
	termHup
	termTerm
	hupTermHupTerm
	badHupTerm
	signalSeriesCount
)

func (s signalSeries) String() string {
	return [...]string{"TERM", "HUP TERM", "TERM HUP", "TERM TERM", "HUP TERM HUP TERM", "HUP with a bad file, TERM"}[s]
}

// runSoak runs one soak.
func runSoak(t *testing.T, seed uint64, stops int) {
	f := newSoakFleet(t, seed, seed%3 == 0)
	quit := make(chan struct{})
	var background, clients sync.WaitGroup
	defer func() { close(quit); background.Wait() }()
	background.Go(func() { f.observed.measureLateness(quit) })
	for _, n := range f.nodes {
		n.launch()
	}
	for _, n := range f.nodes {
		n.awaitReady()
	}
	var idle []*idleClients
	if f.descriptorsShort {
		for _, n := range f.nodes {
			idle = append(idle, fillDescriptors(n.listen, 2*fewSockets))
		}
	}
	done := make(chan struct{})
	for _, n := range f.nodes {
		f.startClients(n, done, &clients)
	}
	time.Sleep(400 * time.Millisecond)

	survivor := f.nodes[soakNodes-1] // runs on through all stops, unless the fault kills it
	var first, last resources
	var events []string
	for stop := range stops {
		n, series, during := f.nodes[stop%(soakNodes-1)],
			signalSeries(f.schedule.intN(int(signalSeriesCount))), noFault
		if !f.descriptorsShort { // each fault after the other: four seeds cover all
			during = fault((int(seed-seed/3)*stops + stop) % int(faultCount))
		}
		events = append(events, fmt.Sprintf("%s: %v, %v", n.name, series, during))
		f.stop(n, series, during, survivor)
		if last = survivor.resources(); stop == 0 || during == peerKilled {
			first = last // of a new process
		}
	}
	close(done)
	clients.Wait()
	for _, c := range idle {
		c.closeAll()
	}
	if last.residentKB > first.residentKB+maxGrowthKB {
		t.Errorf("%s holds %d kB at the last stop, %d at the first", survivor.name, last.residentKB,
			first.residentKB)
	}
	f.finish()
	f.report(seed, events)
}

// stop shuts a process down with a fault at the same time, and starts the next process.
func (f *soakFleet) stop(n *soakNode, series signalSeries, during fault, peer *soakNode) {
	endFault := f.beginFault(during, peer)
	time.Sleep(f.schedule.upTo(150 * time.Millisecond))
	from := n.sendSignals(series)
	time.Sleep(time.Until(from.Add(200*time.Millisecond + f.schedule.upTo(200*time.Millisecond))))
	n.setAccepting(false)
	record := n.awaitExit(from)
	n.write(n.settings(""))
	n.launch()
	if f.schedule.chance(4) { // SIGTERM before it is ready
		time.Sleep(f.schedule.upTo(40 * time.Millisecond))
		n.signal(syscall.SIGTERM)
		early := n.awaitExit(time.Now())
		if early.killed {
			f.t.Errorf("%s: did not exit after a SIGTERM during its start", n.name)
		}
		n.launch()
	}
	record.restartTook, record.restarted = n.awaitReady(), true
	f.observed.mu.Lock()
	f.observed.stops = append(f.observed.stops, record)
	f.observed.mu.Unlock()
	endFault()
	time.Sleep(f.schedule.upTo(300 * time.Millisecond))
}

// beginFault begins a fault and returns a function that ends it.
func (f *soakFleet) beginFault(kind fault, peer *soakNode) (end func()) {
	s := f.servers[f.schedule.intN(len(f.servers))]
	agents := func(mode discoveryMode) func() {
		for _, n := range f.nodes {
			n.agent.mode.Store(int32(mode))
		}
		return func() {
			for _, n := range f.nodes {
				n.agent.mode.Store(int32(answering))
			}
		}
	}
	switch kind {
	case discoveryRefuses:
		return agents(refusing)
	case discoverySilent:
		return agents(silent)
	case serverHangs, serverResets:
		s.mode.Store(int32(map[fault]serverMode{serverHangs: hanging, serverResets: resetting}[kind]))
		return func() { s.mode.Store(int32(serving)) }
	case serverDrains:
		s.draining.Store(true)
		f.changeList()
		over := time.Now().Add(drainGrace + extraDrainTime)
		return func() { time.Sleep(time.Until(over)); s.draining.Store(false); f.changeList() }
	case peerKilled:
		wait := f.schedule.upTo(500 * time.Millisecond)
		var group sync.WaitGroup
		group.Go(func() { time.Sleep(wait); peer.kill() })
		return group.Wait
	}
	return func() {}
}

// sendSignals sends a series of signals and returns the time of the first SIGTERM.
func (n *soakNode) sendSignals(series signalSeries) (from time.Time) {
	pause := func() { time.Sleep(n.fleet.schedule.upTo(30 * time.Millisecond)) }
	reload := func() { n.write(n.settings(fmt.Sprint("plan", n.fleet.schedule.intN(100)))); n.signal(syscall.SIGHUP) }
	end := func() time.Time { at := time.Now(); n.signal(syscall.SIGTERM); return at }
	switch series {
	case hupTerm:
		reload()
		return end()
	case termHup:
		from = end()
		pause()
		reload()
	case termTerm:
		from = end()
		pause()
		end()
	case hupTermHupTerm:
		reload()
		pause()
		from = end()
		reload()
		pause()
		end()
	case badHupTerm:
		n.write(`{"name":`)
		n.signal(syscall.SIGHUP)
		pause()
		from = end()
	default:
		from = end()
	}
	return from
}

// measureLateness records how late timers fire in the test's process, until quit is closed.
func (o *observations) measureLateness(quit <-chan struct{}) {
	for {
		from := time.Now()
		select {
		case <-quit:
			return
		case <-time.After(latenessInterval):
		}
		late := time.Since(from) - latenessInterval
		o.mu.Lock()
		o.lateness = max(o.lateness, late)
		o.mu.Unlock()
	}
}

// finish ends all processes and checks what they still hold without load.
func (f *soakFleet) finish() {
	for _, n := range f.nodes {
		testkit.Eventually(f.t, n.name+"'s descriptors being closed", func() bool {
			return n.resources().descriptors <= idleDescriptors
		})
		n.signal(syscall.SIGQUIT) // the runtime writes all stacks and ends
		<-n.exited
		log := n.log.String()
		if count := strings.Count(log, "\ngoroutine "); count == 0 || count > idleGoroutines {
			f.t.Errorf("%s: %d goroutines left:\n%s", n.name, count, log)
		}
		for _, bad := range []string{"panic:", "fatal error:", "too many open files"} {
			if strings.Contains(log, bad) {
				f.t.Errorf("%s: %s in the log:\n%s", n.name, bad, log)
			}
		}
	}
}

// report logs what was observed and fails the test for each violation.
func (f *soakFleet) report(seed uint64, events []string) {
	o := f.observed
	violations := o.violations()
	o.mu.Lock()
	defer o.mu.Unlock()
	counts, closeRaces := map[outcome]int{}, 0
	longest := time.Duration(0)
	for _, r := range o.requests {
		counts[r.outcome]++
		if r.outcome == connectionClosed && r.disconnected.IsZero() && !r.stalled {
			closeRaces++
		}
	}
	for _, s := range o.stops {
		longest = max(longest, s.took)
	}
	f.t.Logf("seed %d: %d requests, %d answered, %d raced with a close, %d stops, the longest %v, lateness %v; %s",
		seed, len(o.requests), counts[answered], closeRaces, len(o.stops), longest, o.lateness,
		strings.Join(events, "; "))
	if o.lateness > maxReliableLateness {
		f.t.Logf("seed %d: the machine was %v late: too late to check time bounds", seed, o.lateness)
	}
	for _, v := range violations {
		f.t.Errorf("seed %d: %s", seed, v)
	}
	if counts[answered] < 100 {
		f.t.Errorf("seed %d: fewer than 100 requests were answered", seed)
	}
}
