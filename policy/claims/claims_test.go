package claims

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"valvering.example/valvering/policy"
)

const (
	testDatagrams = 100.0
	testLifetime  = 3 * time.Second
	testStep      = time.Millisecond
	takeInterval  = 50 * time.Millisecond
)

// network delivers messages between edge nodes after random delays.
type network struct {
	now        time.Duration
	nodes      []*Claims
	maxDelay   time.Duration
	random     *rand.Rand
	inFlight   []delivery
	received   []int // messages, by edge node
	superseded []map[policy.RequestID]bool
}

type delivery struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newNetwork(n int, toAll bool, maxDelay time.Duration) *network {
	w := &network{now: time.Hour, maxDelay: maxDelay, random: rand.New(rand.NewPCG(uint64(n), 7)),
		received: make([]int, n)}
	for i := range n {
		w.nodes = append(w.nodes, New(Settings{Self: i, EdgeNodes: n, ToAll: toAll, DatagramsPerSecond: testDatagrams}))
		w.superseded = append(w.superseded, map[policy.RequestID]bool{})
	}
	return w
}

// claim claims an id at an edge node.
func (w *network) claim(t *testing.T, node int, id string, r policy.RequestID) {
	t.Helper()
	w.nodes[node].Add(id, r, policy.Unsafe, w.now, w.now+testLifetime)
	w.take(t, node)
}

// take sends the messages of an edge node that are due.
func (w *network) take(t *testing.T, node int) {
	t.Helper()
	for _, m := range w.nodes[node].Take(w.now) {
		if len(m.Data) > maxBytes || m.To == node {
			t.Fatalf("%d bytes from %d to %d", len(m.Data), node, m.To)
		}
		at := w.now + time.Duration(w.random.Int64N(int64(w.maxDelay)+1))
		w.inFlight = append(w.inFlight, delivery{at, node, m.To, m.Data})
	}
}

// run lets time pass, step by step.
func (w *network) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for end := w.now + duration; w.now < end; {
		w.now += testStep
		list := w.inFlight
		w.inFlight = nil
		for _, d := range list {
			if d.at > w.now {
				w.inFlight = append(w.inFlight, d)
				continue
			}
			w.received[d.to]++
			superseded, other := w.nodes[d.to].Receive(d.from, d.data, w.now)
			if len(other) != 0 {
				t.Fatal("a message was not recognized")
			}
			for _, r := range superseded {
				w.superseded[d.to][r] = true
			}
			w.take(t, d.to)
		}
		if w.now%takeInterval == 0 {
			for i := range w.nodes {
				w.take(t, i)
			}
		}
	}
}

// Guards against an id that is open at one edge node being accepted at another one.
func TestClaimReachesAllEdgeNodes(t *testing.T) {
	for _, n := range []int{2, 4, 13} {
		w := newNetwork(n, true, 5*time.Millisecond)
		w.claim(t, 0, "id", 1)
		w.run(t, 10*time.Millisecond)
		w.nodes[0].End("id") // it was served
		for i := 1; i < n; i++ {
			if !w.nodes[i].ClaimedElsewhere("id", w.now) || w.nodes[i].ClaimedElsewhere("another", w.now) {
				t.Errorf("%d edge nodes: edge node %d does not know the id alone", n, i)
			}
		}
		w.run(t, testLifetime+remainingUnit)
		for i := range n {
			if w.nodes[i].ClaimedElsewhere("id", w.now) || len(w.nodes[i].foreign) > 0 && w.now%expiryInterval == 0 {
				t.Errorf("%d edge nodes: edge node %d keeps the id beyond the client's deadline", n, i)
			}
		}
	}
}

// Guards against the first request with an id being rejected in favor of a later one, and against the later one being
// served where the messages arrive in time.
func TestLaterClaimIsSuperseded(t *testing.T) {
	const maxDelay = 10 * time.Millisecond
	for _, fleet := range []struct {
		edgeNodes int
		toAll     bool
		messages  time.Duration // each may take maxDelay
	}{{2, true, 1}, {5, true, 1}, {20, false, 2}, {300, false, 2}} {
		for seed := range 200 {
			w := newNetwork(fleet.edgeNodes, fleet.toAll, maxDelay)
			w.random = rand.New(rand.NewPCG(uint64(seed), 11))
			id, first := fmt.Sprint("id ", seed), w.random.IntN(fleet.edgeNodes)
			second := (first + 1 + w.random.IntN(fleet.edgeNodes-1)) % fleet.edgeNodes
			gap := time.Duration(w.random.IntN(40)) * time.Millisecond
			w.claim(t, first, id, 1)
			w.run(t, gap)
			accepted := !w.nodes[second].ClaimedElsewhere(id, w.now)
			if accepted {
				w.claim(t, second, id, 2)
			}
			w.run(t, 200*time.Millisecond)
			if w.superseded[first][1] {
				t.Fatalf("%+v, seed %d: the first request was rejected", fleet, seed)
			}
			if accepted && !w.superseded[second][2] && gap > fleet.messages*(maxDelay+testStep) {
				t.Errorf("%+v, seed %d: the second request was accepted %v after the first", fleet, seed, gap)
			}
		}
	}
}

// Guards against claims being sent beyond the datagrams that an edge node can receive, on top of other messages.
func TestClaimsKeepDatagramBudget(t *testing.T) {
	const duration = 5 * time.Second
	for _, c := range []struct {
		edgeNodes        int
		toAll            bool
		others, requests int // a second, at each edge node
	}{
		{2, true, 40, 500}, {4, true, 75, 140}, {13, true, 75, 140}, {4, true, 95, 140},
		{50, false, 0, 100}, {50, false, 30, 100}, {50, false, 80, 100},
	} {
		w := newNetwork(c.edgeNodes, c.toAll, time.Millisecond)
		report := []byte{0}
		request, before := policy.RequestID(0), []int(nil)
		for elapsed := time.Duration(0); elapsed < duration; elapsed += 10 * time.Millisecond {
			if elapsed == 2*time.Second { // the first measurement is over, and its burst
				before = append(before, w.received...)
			}
			for i, node := range w.nodes {
				for range c.others / 100 {
					node.Receive((i+1)%c.edgeNodes, report, w.now)
				}
				if w.random.IntN(100) < c.others%100 {
					node.Receive((i+1)%c.edgeNodes, report, w.now)
				}
				for range max(1, c.requests/100) {
					request++
					w.claim(t, i, fmt.Sprint(request), request)
				}
			}
			w.run(t, 10*time.Millisecond)
		}
		limit := testDatagrams * (duration - 2*time.Second).Seconds()
		others := float64(c.others) * (duration - 2*time.Second).Seconds()
		mean := 0.0
		for i := range w.nodes {
			mean += float64(w.received[i]-before[i]) / float64(c.edgeNodes)
		}
		if room := max(0, limit-others); mean > room {
			t.Errorf("%+v: %.0f messages received in 3 s beside %.0f others, %.0f are possible", c, mean, others, limit)
		}
		t.Logf("%+v: %.1f messages with claims a second", c, mean/3)
	}
}

// Guards against memory that grows with what other edge nodes claim.
func TestForeignClaimsAreBounded(t *testing.T) {
	const planned = 512 << 10
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	c := New(Settings{Self: 0, EdgeNodes: 2, ToAll: true, DatagramsPerSecond: testDatagrams})
	for i := range uint64(3 * maxForeign) {
		c.Receive(1, encode([]entry{{hash: i * 0x9e3779b97f4a7c15, remaining: testLifetime}}, nil), time.Hour)
	}
	if bytes := heap() - before; bytes > planned || len(c.foreign) != maxForeign {
		t.Errorf("%d claims take %d bytes, %d planned", len(c.foreign), bytes, planned)
	}
	c.Take(time.Hour + 2*testLifetime)
	if len(c.foreign) != 0 {
		t.Errorf("%d claims are kept after they expired", len(c.foreign))
	}
}

// Messages that are cut, too long or from unknown senders change nothing, and other messages are left to others.
func TestSpoiltMessages(t *testing.T) {
	c := New(Settings{Self: 0, EdgeNodes: 2, ToAll: true, DatagramsPerSecond: testDatagrams})
	claim := newEntry(1, 0, time.Hour, 0)
	whole := encode([]entry{claim, claim}, nil)
	for n := range whole {
		if _, other := c.Receive(1, whole[:n], time.Hour); len(other) != 0 {
			t.Errorf("%d bytes were left to others", n)
		}
	}
	for _, from := range []int{-1, 0, 2} {
		c.Receive(from, whole, time.Hour)
	}
	if c.Receive(1, encode([]entry{claim}, make([]byte, maxBytes)), time.Hour); len(c.foreign) != 0 {
		t.Errorf("%d claims", len(c.foreign))
	}
	for _, first := range []byte{3, 6, 0x4c} { // policy and lease
		message := []byte{first, 1, 2}
		if _, other := c.Receive(1, message, time.Hour); !bytes.Equal(other, message) {
			t.Errorf("a message that begins with %d became %v", first, other)
		}
	}
}

// A message of another package arrives unchanged with the claims that it carries, whatever its length. Older programs
// get it alone.
func TestMessagesCarryClaims(t *testing.T) {
	for length := 1; length <= maxBytes; length++ {
		settings := Settings{Self: 0, EdgeNodes: 2, ToAll: true, DatagramsPerSecond: testDatagrams}
		sender, now := New(settings), time.Hour
		settings.Self = 1
		receiver := New(settings)
		const requests = 30
		for i := range requests {
			sender.Add(fmt.Sprint(i), policy.RequestID(i), policy.Safe, now, now+testLifetime)
		}
		message := bytes.Repeat([]byte{6}, length)
		if got := sender.Carry(1, message, now); !bytes.Equal(got, message) {
			t.Fatalf("%d bytes: changed for an edge node that may not read it", length)
		}
		sender.Receive(1, receiver.Take(now)[0].Data, now)
		datagram := sender.Carry(1, message, now)
		if _, other := receiver.Receive(0, datagram, now); len(datagram) > maxBytes || !bytes.Equal(other, message) {
			t.Fatalf("%d bytes: %d sent, %d received", length, len(datagram), len(other))
		}
		if want := max(0, min(requests, (maxBytes-headerBytes-length)/entryBytes)); receiver.Foreign() != want {
			t.Errorf("%d bytes: %d claims, want %d", length, receiver.Foreign(), want)
		}
		if got := sender.Carry(1, message, now+readLifetime); !bytes.Equal(got, message) {
			t.Fatalf("%d bytes: changed for an edge node that was not heard for a while", length)
		}
	}
}

// Guards against claims that wait for a message of their own while reports could carry them.
func TestReportsCarryClaims(t *testing.T) {
	const reportInterval = 40 * time.Millisecond
	w := newNetwork(4, true, time.Millisecond)
	report, request := make([]byte, 100), policy.RequestID(0)
	late := 0
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += reportInterval {
		for from, node := range w.nodes {
			for to := range w.nodes {
				if to != from {
					w.nodes[to].Receive(from, node.Carry(to, report, w.now), w.now)
				}
			}
			request++
			w.claim(t, from, fmt.Sprint(request), request)
		}
		if w.run(t, 0); elapsed > 2*time.Second {
			for to, node := range w.nodes {
				if id := request - 4*2; !node.ClaimedElsewhere(fmt.Sprint(id), w.now) && (int(id)+3)%4 != to {
					late++
				}
			}
		}
		w.run(t, reportInterval)
	}
	if late > 0 {
		t.Errorf("%d claims had not arrived after two reports", late)
	}
}

// An entry survives encoding, and neither seems older nor expires earlier than its claim.
func TestEntryEncoding(t *testing.T) {
	for _, e := range []entry{{hash: 1}, {hash: 1 << 63, age: 5 * time.Millisecond, remaining: time.Millisecond},
		{hash: 7, age: time.Second, remaining: 8 * time.Second}, {hash: 8, age: time.Minute, remaining: time.Minute}} {
		got, _ := decode(encode([]entry{e}, nil))
		if len(got) != 1 || got[0].hash != e.hash || got[0].age > e.age ||
			got[0].remaining < min(e.remaining, maxRemaining) {
			t.Errorf("%+v became %+v", e, got)
		}
	}
}
