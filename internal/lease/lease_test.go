package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings { return Settings{Name: "checks", Term: 3 * time.Second, Drift: 0.01} }

func TestWire(t *testing.T) {
	m := Message{Promise, 1, 2, 3, 4}
	b := m.Append(nil)
	if got, ok := Decode(b); !ok || got != m || len(b) > 256 {
		t.Errorf("%+v %v", got, ok)
	}
	for n := range b {
		if _, ok := Decode(b[:n]); ok {
			t.Errorf("%d bytes were accepted", n)
		}
	}
	for _, bad := range [][]byte{append(b, 0), append([]byte{3}, b[1:]...), append([]byte{Version, 0}, b[2:]...), append([]byte{Version, 9}, b[2:]...)} {
		if _, ok := Decode(bad); ok {
			t.Errorf("%x was accepted", bad)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Message{Promise, Digest("checks"), 2, 3, 4}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, ok := Decode(b)
		if !ok {
			return
		}
		if string(m.Append(nil)) != string(b) {
			t.Fatalf("%x decoded as %+v", b, m)
		}
		d := New(testSettings(), 0, Voters("checks", 5), 1, 0, 0)
		for _, now := range []time.Duration{0, time.Minute} {
			for from := range 7 {
				d.Handle(now, from, m)
			}
			d.Tick(now)
		}
	})
}

// Voters returns the same voters on each call, an odd number of distinct ones, and spreads
// duties over the fleet.
func TestVoters(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 300: 5} {
		if v := Voters("a", n); len(v) != want || !slices.Equal(v, Voters("a", n)) {
			t.Errorf("%d of %d", len(v), n)
		}
	}
	count := map[int]int{}
	for i := range 3000 {
		v := Voters(fmt.Sprint("duty", i), 300)
		slices.Sort(v)
		if len(slices.Compact(v)) != 5 {
			t.Fatalf("duplicate voter: %v", v)
		}
		for _, x := range v {
			count[x]++
		}
	}
	for i := range 300 {
		if count[i] < 20 || count[i] > 90 { // 50 on average
			t.Errorf("edge node %d votes on %d of 3000", i, count[i])
		}
	}
}

// world simulates voters with drifting clocks and a network that loses, delays and
// duplicates messages, in steps of a millisecond of true time.
type world struct {
	rng      *rand.Rand
	settings Settings
	nodes    []*process
	inFlight []delivery
	now      time.Duration // true time
	loss     float64
	maxDelay time.Duration // maximal delay of a message
	isCut    func(from, to int) bool
	msgs     int
	tokens   []uint64 // of the leases, in order
	last     int      // the last holder; -1: none yet

	skipWait         bool // injected fault: a voter takes part right after a restart
	countFromArrival bool // injected fault: a holder measures the term from the arrival of the grant
}

type process struct {
	*Duty
	rate        float64
	offset      time.Duration
	next        time.Duration // time of the next tick, by the local clock
	pausedUntil time.Duration // true time until which the process is paused
	restartAt   time.Duration // true time of the next start; 0: running
	inbox       []delivery    // messages that arrived during a pause
}

type delivery struct {
	at       time.Duration
	from, to int
	m        Message
}

func (n *process) clock(trueTime time.Duration) time.Duration {
	return n.offset + time.Duration(float64(trueTime)*n.rate)
}

func newWorld(seed uint64, voters int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 11)), settings: testSettings(), last: -1,
		isCut: func(int, int) bool { return false }, maxDelay: 40 * ms}
	for range voters {
		n := &process{rate: 1 + w.settings.Drift*(2*w.rng.Float64()-1),
			offset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
		w.nodes = append(w.nodes, n)
	}
	for i, n := range w.nodes {
		w.restart(i)
		if w.rng.IntN(2) == 0 { // half of the voters started more than a term ago
			n.activeAt = 0
			n.nextRound = n.clock(0) + n.jitter(roundTimeout)
		}
	}
	return w
}

func (w *world) restart(i int) {
	n := w.nodes[i]
	voters := make([]int, len(w.nodes))
	for k := range voters {
		voters[k] = k
	}
	local := n.clock(w.now)
	n.Duty = New(w.settings, i, voters, w.rng.Uint64(), local, uint64(w.now/ms)+1000)
	if w.skipWait {
		n.activeAt = local
	}
	n.next = local
}

func (w *world) send(from int, out []Outgoing) {
	for _, o := range out {
		w.msgs++
		if w.rng.Float64() < w.loss || w.isCut(from, o.To) {
			continue
		}
		for duplicate := true; duplicate; duplicate = w.rng.IntN(20) == 0 {
			w.inFlight = append(w.inFlight, delivery{w.now + ms + time.Duration(w.rng.Int64N(int64(w.maxDelay))),
				from, o.To, o.Msg})
		}
	}
}

// step advances the time by a millisecond and checks the holders.
func (w *world) step() error {
	w.now += ms
	var delayed []delivery
	arriving := w.inFlight
	w.inFlight = nil
	for _, l := range arriving {
		switch n := w.nodes[l.to]; {
		case l.at > w.now:
			delayed = append(delayed, l)
		case n.restartAt > 0:
		case n.pausedUntil > w.now:
			n.inbox = append(n.inbox, l)
		default:
			w.deliver(l)
		}
	}
	w.inFlight = append(delayed, w.inFlight...)
	for i, n := range w.nodes {
		if n.restartAt > 0 {
			if w.now >= n.restartAt {
				n.restartAt = 0
				w.restart(i)
			}
			continue
		}
		if n.pausedUntil > w.now {
			continue
		}
		messages := n.inbox
		n.inbox = nil
		for _, l := range messages {
			w.deliver(l)
		}
		if local := n.clock(w.now); local >= n.next {
			out, next := n.Tick(local)
			n.next = next
			w.send(i, out)
		}
	}
	return w.check()
}

func (w *world) deliver(l delivery) {
	n := w.nodes[l.to]
	local := n.clock(w.now)
	before := n.leaseEnd
	w.send(l.to, n.Handle(local, l.from, l.m))
	if w.countFromArrival && n.leaseEnd != before {
		n.leaseEnd = local + w.settings.Term
	}
	n.next = min(n.next, max(n.nextRound, local+ms))
	if n.phase != 0 {
		n.next = min(n.next, n.roundStart+roundTimeout)
	}
}

// check returns an error if two nodes hold the duty or a token decreases. It ignores paused
// nodes: they don't act, and call Holds again after the pause.
func (w *world) check() error {
	holder := -1
	for i, n := range w.nodes {
		if n.restartAt > 0 || n.pausedUntil > w.now {
			continue
		}
		token, ok := n.Holds(n.clock(w.now))
		if !ok {
			continue
		}
		if holder >= 0 {
			return fmt.Errorf("at %v both %d and %d hold the duty", w.now, holder, i)
		}
		holder = i
		if len(w.tokens) == 0 || token != w.tokens[len(w.tokens)-1] {
			if len(w.tokens) > 0 && token < w.tokens[len(w.tokens)-1] {
				return fmt.Errorf("at %v a token of %x after %x", w.now, token, w.tokens[len(w.tokens)-1])
			}
			w.tokens = append(w.tokens, token)
		}
		w.last = i
	}
	return nil
}

// injectFault injects a random fault.
func (w *world) injectFault() {
	i := w.rng.IntN(len(w.nodes))
	n := w.nodes[i]
	if n.restartAt > 0 {
		return
	}
	switch w.rng.IntN(8) {
	case 0, 1: // killed, restarts soon
		n.restartAt, n.pausedUntil, n.inbox = w.now+time.Duration(w.rng.Int64N(int64(2*time.Second)))+ms,
			0, nil
	case 2, 3: // paused, perhaps for longer than its lease
		n.pausedUntil = w.now + time.Duration(w.rng.Int64N(int64(5*time.Second)))
	case 4: // a network partition, perhaps in one direction only
		side := w.rng.IntN(1 << len(w.nodes))
		oneWay := w.rng.IntN(2) == 0
		w.isCut = func(from, to int) bool {
			return side>>from&1 == 1 && side>>to&1 == 0 || !oneWay && side>>from&1 == 0 && side>>to&1 == 1
		}
	case 5:
		w.isCut = func(int, int) bool { return false }
	case 6:
		w.loss = w.rng.Float64() * 0.3
	case 7: // shutdown
		if n.pausedUntil <= w.now {
			w.send(i, n.Resign(n.clock(w.now)))
			n.restartAt = w.now + time.Duration(w.rng.Int64N(int64(time.Second))) + ms
		}
	}
}

// simulate runs a world for 25 seconds with random faults and returns the number of leases.
func simulate(seed uint64, inject func(*world)) (leases int, err error) {
	w := newWorld(seed, 3+2*int(seed%2))
	if inject != nil {
		inject(w)
	}
	w.maxDelay = time.Duration(1+w.rng.IntN(150)) * ms
	faultInterval := 500 + w.rng.IntN(4000) // average milliseconds between faults
	for range 25000 {
		if w.rng.IntN(faultInterval) == 0 {
			w.injectFault()
		}
		if err := w.step(); err != nil {
			return 0, err
		}
	}
	return len(w.tokens), nil
}

var manySeeds = flag.Uint64("seeds", 400, "worlds that TestNeverTwo plays")

// Under random faults, two nodes never hold the duty at the same time, and tokens increase.
func TestNeverTwo(t *testing.T) {
	seeds, leases := *manySeeds, 0
	for seed := range seeds {
		n, err := simulate(seed, nil)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		leases += n
	}
	if leases < int(seeds) {
		t.Errorf("only %d leases in %d worlds: too few for the test", leases, seeds)
	}
}

// The model detects a voter that takes part right after a restart and a holder that measures
// its lease from the arrival of the grant.
func TestModelCatchesFaults(t *testing.T) {
	for name, inject := range map[string]func(*world){
		"forgets": func(w *world) { w.skipWait = true },
		"sloppy":  func(w *world) { w.countFromArrival = true },
	} {
		caught := false
		for seed := uint64(0); seed < 400 && !caught; seed++ {
			_, err := simulate(seed, inject)
			caught = err != nil
		}
		if !caught {
			t.Errorf("the fault %q was not detected", name)
		}
	}
}

// runUntilHeld runs the world until a node holds the duty and returns the time it took.
func (w *world) runUntilHeld(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	from := w.now
	for w.now < from+limit {
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
		for _, n := range w.nodes {
			if _, ok := n.Holds(n.clock(w.now)); ok && n.restartAt == 0 && n.pausedUntil <= w.now {
				return w.now - from
			}
		}
	}
	t.Fatalf("no holder after %v", limit)
	return 0
}

// Without faults, one node keeps the duty and its token.
func TestHolderStays(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 5)
		w.runUntilHeld(t, 10*time.Second)
		before := w.msgs
		for range 60000 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
		if len(w.tokens) != 1 {
			t.Errorf("seed %d: %d leases in a minute without faults", seed, len(w.tokens))
		}
		if n := w.msgs - before; n > 60*20 {
			t.Errorf("seed %d: %d messages in a minute", seed, n)
		}
	}
}

// In a partition without a majority on any side, the lease expires and no node holds the
// duty. A node holds it again after the partition ends.
func TestNoMajority(t *testing.T) {
	w := newWorld(3, 5)
	w.runUntilHeld(t, 10*time.Second)
	w.isCut = func(from, to int) bool { return from != to }
	for range 4000 {
		if err := w.step(); err != nil {
			t.Fatal(err)
		}
	}
	for i, n := range w.nodes {
		if _, ok := n.Holds(n.clock(w.now)); ok {
			t.Errorf("%d holds the duty though it receives no messages", i)
		}
	}
	w.isCut = func(int, int) bool { return false }
	w.runUntilHeld(t, 5*time.Second)
}

// If all nodes start a round at the same time, random pauses let one of them succeed.
func TestCollisions(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 5)
		for _, n := range w.nodes {
			n.activeAt, n.nextRound, n.next = 0, 0, 0
		}
		w.runUntilHeld(t, 10*time.Second)
	}
}

// Messages from non-voters, for other duties, of past rounds or with the ballot of another
// node change nothing.
func TestStrayMessages(t *testing.T) {
	w := newWorld(1, 3)
	w.runUntilHeld(t, 10*time.Second)
	holder := w.nodes[w.last]
	now := holder.clock(w.now)
	other := w.nodes[(w.last+1)%3]
	ballot := other.ballot
	for _, m := range []Message{{Accept, holder.id, holder.ballot - 1<<16, 0, 0}, {Promise, holder.id, holder.ballot, 0, 0},
		{Propose, holder.id + 1, 1 << 60, 9, 0}, {Propose, holder.id, 1<<60 | 9, 9, 0}, {Release, holder.id, holder.ballot, 0, 0}} {
		from := (w.last + 1) % 3
		if m.Kind == Propose {
			from = (w.last + 2) % 3
		}
		holder.Handle(now, from, m)
		if token, ok := holder.Holds(now); !ok || token != holder.token || holder.Holder(now) != w.last {
			t.Errorf("%+v changed the holder", m)
		}
	}
	if out := holder.Handle(now, 7, Message{Kind: Prepare, Duty: holder.id, Ballot: 1<<60 | 7}); len(out) != 0 || other.ballot != ballot {
		t.Errorf("%v sent to a node that is not a voter", out)
	}
}

// BenchmarkEmpty measures how long a duty has no holder after a crash and after a release,
// and how many messages a lease costs.
func BenchmarkEmpty(b *testing.B) {
	for _, how := range []string{"crash", "release"} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("%s/lost %v", how, loss), func(b *testing.B) {
				var took []float64
				msgs, secs := 0, 0.0
				for i := range b.N {
					w := newWorld(uint64(i), 5)
					for _, n := range w.nodes {
						n.activeAt = 0
					}
					w.loss = loss
					w.runUntilHeld(b, 20*time.Second)
					before := w.msgs
					for range 5000 {
						if err := w.step(); err != nil {
							b.Fatal(err)
						}
					}
					msgs, secs = msgs+w.msgs-before, secs+5
					n := w.nodes[w.last]
					if how == "release" {
						w.send(w.last, n.Resign(n.clock(w.now)))
					}
					n.restartAt = w.now + time.Hour
					took = append(took, w.runUntilHeld(b, 30*time.Second).Seconds()*1e3)
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2], "ms-empty")
				b.ReportMetric(took[len(took)-1], "ms-empty-worst")
				b.ReportMetric(float64(msgs)/secs, "messages/s")
			})
		}
	}
}
