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

// Memory that a process which serves on through all stops may hold more of at the last than at
// the first: a leak of each stop would show over many.
const maxGrowthKB = 16 << 10

// Planned stops, restarts and reloads of the real program, seen from outside: three edge nodes
// with peers and quotas under clients that use their connections until these end. Signals come in
// series; every third seed has a crowd of idle clients, and the others trouble at discovery, at the
// servers or at a peer through the stop. A violation is told with its request and the seed, and
// played again by -soaks 1 -soak-seed N.
func TestStopSoak(t *testing.T) {
	for i := range *soaks {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSoak(t, seed, *soakStops) })
	}
}

// longEnough is how long a server drains beyond the time for which it may still be sent to.
const longEnough = 500 * time.Millisecond

// trouble is what happens beside a planned stop.
type trouble int

const (
	noTrouble trouble = iota
	discoveryRefuses
	discoverySilent
	serverHangs
	serverResets
	serverDrains
	peerKilled
	troubles
)

func (t trouble) String() string {
	return [...]string{"no trouble", "discovery refuses", "discovery silent", "a server hangs", "a server resets",
		"a server drains", "a peer is killed"}[t]
}

// signalSeries is the order of signals with which a process is told to end.
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

func playSoak(t *testing.T, seed uint64, stops int) {
	f := newSoakFleet(t, seed, seed%3 == 0)
	quit := make(chan struct{})
	var aside, clients sync.WaitGroup
	defer func() { close(quit); aside.Wait() }()
	aside.Go(func() { f.seen.measureLateness(quit) })
	for _, n := range f.nodes {
		n.begin()
	}
	for _, n := range f.nodes {
		n.ready()
	}
	var crowds []*idleClients
	if f.crowded {
		for _, n := range f.nodes {
			crowds = append(crowds, fillDescriptors(n.listen, 2*crowdSockets))
		}
	}
	done := make(chan struct{})
	for _, n := range f.nodes {
		f.clientsOf(n, done, &clients)
	}
	time.Sleep(400 * time.Millisecond)

	stays := f.nodes[soakNodes-1] // but for being killed
	var first, last resources
	var story []string
	for stop := range stops {
		n, series, beside := f.nodes[stop%(soakNodes-1)], signalSeries(f.schedule.intN(int(signalSeriesCount))), noTrouble
		if !f.crowded { // in turn, so that four seeds have met each
			beside = trouble((int(seed-seed/3)*stops + stop) % int(troubles))
		}
		story = append(story, fmt.Sprintf("%s: %v, %v", n.name, series, beside))
		f.stop(n, series, beside, stays)
		if last = stays.resources(); stop == 0 || beside == peerKilled {
			first = last // of another process from now on
		}
	}
	close(done)
	clients.Wait()
	for _, c := range crowds {
		c.end()
	}
	if last.residentKB > first.residentKB+maxGrowthKB {
		t.Errorf("%s holds %d kB at the last stop, %d at the first", stays.name, last.residentKB, first.residentKB)
	}
	f.finish()
	f.report(seed, story)
}

// stop has a process end and starts the next one, with trouble beside it.
func (f *soakFleet) stop(n *soakNode, series signalSeries, beside trouble, peer *soakNode) {
	ended := f.begin(beside, peer)
	time.Sleep(f.schedule.upTo(150 * time.Millisecond))
	from := n.tellToEnd(series)
	time.Sleep(time.Until(from.Add(200*time.Millisecond + f.schedule.upTo(200*time.Millisecond))))
	n.setFront(false)
	seen := n.ending(from)
	n.write(n.text(""))
	n.begin()
	if f.schedule.chance(4) { // told to end before it is ready
		time.Sleep(f.schedule.upTo(40 * time.Millisecond))
		n.signal(syscall.SIGTERM)
		early := n.ending(time.Now())
		if early.killed {
			f.t.Errorf("%s: told to end at its start, it did not", n.name)
		}
		n.begin()
	}
	seen.restart, seen.restarts = n.ready(), true
	f.seen.mu.Lock()
	f.seen.stops = append(f.seen.stops, seen)
	f.seen.mu.Unlock()
	ended()
	time.Sleep(f.schedule.upTo(300 * time.Millisecond))
}

// begin has a trouble begin; what it returns ends it.
func (f *soakFleet) begin(beside trouble, peer *soakNode) (end func()) {
	s := f.servers[f.schedule.intN(len(f.servers))]
	agents := func(mode discoveryMode) func() {
		for _, n := range f.nodes {
			n.agent.mode.Store(int32(mode))
		}
		return func() {
			for _, n := range f.nodes {
				n.agent.mode.Store(int32(telling))
			}
		}
	}
	switch beside {
	case discoveryRefuses:
		return agents(refusing)
	case discoverySilent:
		return agents(silent)
	case serverHangs, serverResets:
		s.mode.Store(int32(map[trouble]serverMode{serverHangs: hanging, serverResets: resetting}[beside]))
		return func() { s.mode.Store(int32(serving)) }
	case serverDrains:
		s.drain.Store(true)
		f.change()
		over := time.Now().Add(drainGrace + longEnough)
		return func() { time.Sleep(time.Until(over)); s.drain.Store(false); f.change() }
	case peerKilled:
		wait := f.schedule.upTo(500 * time.Millisecond)
		var group sync.WaitGroup
		group.Go(func() { time.Sleep(wait); peer.kill() })
		return group.Wait
	}
	return func() {}
}

// tellToEnd sends a series of signals and returns when the first SIGTERM was sent.
func (n *soakNode) tellToEnd(series signalSeries) (from time.Time) {
	pause := func() { time.Sleep(n.fleet.schedule.upTo(30 * time.Millisecond)) }
	reload := func() { n.write(n.text(fmt.Sprint("plan", n.fleet.schedule.intN(100)))); n.signal(syscall.SIGHUP) }
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

// measureLateness notes how late the machine runs.
func (o *observations) measureLateness(quit <-chan struct{}) {
	for {
		from := time.Now()
		select {
		case <-quit:
			return
		case <-time.After(measureLateness):
		}
		late := time.Since(from) - measureLateness
		o.mu.Lock()
		o.lateness = max(o.lateness, late)
		o.mu.Unlock()
	}
}

// finish ends all processes and looks at what they hold with nobody asking any more.
func (f *soakFleet) finish() {
	for _, n := range f.nodes {
		testkit.Eventually(f.t, n.name+"'s descriptors let go", func() bool { return n.resources().descriptors <= idleDescriptors })
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

// report tells what was seen and what of it breaks a rule.
func (f *soakFleet) report(seed uint64, story []string) {
	o := f.seen
	violations := o.violations()
	o.mu.Lock()
	defer o.mu.Unlock()
	counts, crossed := map[outcome]int{}, 0
	longest := time.Duration(0)
	for _, r := range o.requests {
		counts[r.outcome]++
		if r.outcome == ended && r.left.IsZero() && !r.halted {
			crossed++
		}
	}
	for _, s := range o.stops {
		longest = max(longest, s.after)
	}
	f.t.Logf("seed %d: %d requests, %d answered, %d crossed the end of their connection, %d stops, the longest %v, lateness %v; %s",
		seed, len(o.requests), counts[answered], crossed, len(o.stops), longest, o.lateness, strings.Join(story, "; "))
	if o.lateness > tooLateToJudge {
		f.t.Logf("seed %d: the machine was %v late: too late to judge times", seed, o.lateness)
	}
	for _, v := range violations {
		f.t.Errorf("seed %d: %s", seed, v)
	}
	if counts[answered] < 100 {
		f.t.Errorf("seed %d: a soak that shows nothing", seed)
	}
}
