package policy

import (
	"testing"
	"time"
)

// cluster drives hundreds of gateways in simulated time. A message takes 20 ms.
type cluster struct {
	t          testing.TB
	now        time.Duration
	gs         []*Gateway
	inFlight   []datagram
	lose       func(from, to int) bool
	onDelivery func(from, to int, data []byte) // called as a message is sent, unless it is lost; may be nil

	messagesSent int   // messages sent, counted once for each receiver
	sentTo       []int // messages sent, by receiver
	sends        []Send
	senders      []int
	sentAt       []time.Duration
	endedSends   int // sends that have ended
	rejected     int // requests refused or failed
}

type datagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newCluster(t testing.TB, n int, servers []Server) *cluster {
	t.Helper()
	c := &cluster{t: t, now: 10 * time.Second, sentTo: make([]int, n),
		lose: func(int, int) bool { return false }}
	for i := range n {
		s := baseSettings()
		s.Self, s.Gateways = i, n
		g, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		c.gs = append(c.gs, g)
		c.do(i, ServerListUpdate{Kind: StoredList, Servers: servers})
	}
	return c
}

func (c *cluster) do(i int, ev Event) { c.execute(i, c.gs[i].Handle(c.now, ev, nil)) }

// execute executes a gateway's actions.
func (c *cluster) execute(i int, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SendMessage:
			if len(a.Data) > 256 || a.To >= len(c.gs) || a.To == i {
				c.t.Fatalf("gateway %d sends %d a message of %d bytes", i, a.To, len(a.Data))
			}
			for to := range c.gs {
				if to == a.To || a.To < 0 && to != i {
					c.messagesSent++
					c.sentTo[to]++
					if c.lose(i, to) {
						continue
					}
					c.inFlight = append(c.inFlight, datagram{c.now + 20*ms, i, to, a.Data})
					if c.onDelivery != nil {
						c.onDelivery(i, to, a.Data)
					}
				}
			}
		case Send:
			c.sends, c.senders, c.sentAt = append(c.sends, a), append(c.senders, i), append(c.sentAt, c.now)
		case Refuse, Fail:
			c.rejected++
		}
	}
}

// advance advances the clock by d in steps of 10 ms. Each attempt succeeds after 50 ms.
func (c *cluster) advance(d time.Duration, step func(at time.Duration)) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * ms
		var due []datagram
		for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
			due, c.inFlight = append(due, c.inFlight[0]), c.inFlight[1:]
		}
		for _, m := range due {
			c.do(m.to, PeerMessage{From: m.from, Data: m.data})
		}
		for i := range c.gs {
			c.do(i, Timer{Token: "ask"})
			c.do(i, Timer{Token: "hand"})
			if (c.now/ms/10+time.Duration(i))%25 == 0 {
				c.do(i, Timer{Token: "tick"})
			}
		}
		for ; c.endedSends < len(c.sends) && c.sentAt[c.endedSends]+50*ms <= c.now; c.endedSends++ {
			s := c.sends[c.endedSends]
			c.do(c.senders[c.endedSends], Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 50 * ms,
				Answered: true})
		}
		if step != nil {
			step(c.now)
		}
	}
}

// shutDown shuts a gateway down and returns once it has announced its shutdown.
func (c *cluster) shutDown(i int) {
	c.do(i, Shutdown{})
	for range 300 {
		if c.gs[i].shutdownAnnounced {
			return
		}
		c.advance(10*ms, nil)
	}
	c.t.Fatalf("gateway %d never announced its shutdown", i)
}

func (c *cluster) request(i int, id RequestID, customer, plan, class string, spread int) {
	c.do(i, Request{ID: id, Customer: customer, Plan: plan, Class: class, Units: 1,
		Remaining: 2 * time.Second, Spread: spread})
}

// Reports from all gateways to all stay within their share of the datagram budget at any fleet size; in
// larger fleets gateways ask roots instead. Without that bound, fleets of 20 to 38 gateways sent each
// other more than they could receive.
func TestReportsFitDatagramBudget(t *testing.T) {
	for n := 2; n <= 300; n++ {
		s := baseSettings()
		s.Gateways, s.DatagramsPerSecond = n, 100
		g, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if reportRate := float64(n-1) / g.tick.Seconds(); !g.largeFleet &&
			reportRate > 1.001*reportBudgetShare*s.DatagramsPerSecond {
			t.Errorf("%d gateways: %.0f reports a second to each", n, reportRate)
		}
		if wantLarge := n > 13; g.largeFleet != wantLarge {
			t.Errorf("%d gateways: large fleet %v", n, g.largeFleet)
		}
	}
}

// A customer sends up to five times its quota over hundreds of gateways, each of which gets few of the
// requests. Together they admit no more than the quota, leave little of it unused, and send a few messages
// a request.
func TestHundredsOfGatewaysKeepTheQuota(t *testing.T) {
	for _, c := range []struct {
		name            string
		requestInterval int // steps of 10 ms between requests
		lossInterval    int // one message in this many is lost
		minAdmitted     int
	}{
		{"far above", 2, 1 << 30, 85}, {"far above, datagrams lost", 2, 12, 85}, {"inside", 20, 1 << 30, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(t, 300, testServers(40))
			n := 0
			w.lose = func(int, int) bool { n++; return n%c.lossInterval == 0 }
			asked := 0
			w.advance(10*time.Second, func(at time.Duration) {
				if int(at/ms/10)%c.requestInterval == 0 && at < 19*time.Second {
					asked++
					w.request(asked*37%200, RequestID(asked), "k", "rate", "safe", 200)
				}
			})
			admitted := len(w.sends)
			if maxAdmitted := 10 + 10*10; admitted > maxAdmitted*23/20 ||
				admitted < min(c.minAdmitted, asked) {
				t.Errorf("%d of %d admitted, the quota is %d", admitted, asked, maxAdmitted)
			}
			if admitted+w.rejected != asked {
				t.Errorf("%d admitted and %d refused of %d", admitted, w.rejected, asked)
			}
			if w.messagesSent > 6*asked {
				t.Errorf("%d messages for %d requests", w.messagesSent, asked)
			}
		})
	}
}

// A root that doesn't answer must not block its customers: the deputy counts in its place.
func TestDeputyReplacesSilentRoot(t *testing.T) {
	w := newCluster(t, 100, testServers(20))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	w.lose = func(from, to int) bool { return to == roots[0] || from == roots[0] }
	asked := 0
	w.advance(8*time.Second, func(at time.Duration) {
		if i := asked * 7 % 50; int(at/ms/10)%5 == 0 && at < 17*time.Second && i != roots[0] {
			w.request(i, RequestID(asked+1), "k", "rate", "safe", 50)
		}
		asked++
	})
	if n := len(w.sends); n < 45 || n > 120 {
		t.Errorf("%d admitted with root %v cut off and deputy %d, the quota is 90", n, roots, deputy)
	}
}

// Hundreds of gateways together must not overload a cold server, as they would if each of them were always
// allowed one attempt.
func TestColdShareIsBoundedOverTheFleet(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStart, servers[0].Start = true, 10*time.Second
	w := newCluster(t, 300, servers)
	for _, g := range w.gs { // the warm servers are all slow
		for _, s := range g.tracked[1:] {
			s.relativeLatency = maxRelativeLatency
		}
	}
	id := 0
	for range 4 {
		for i := range w.gs {
			id++
			w.request(i, RequestID(id), "k", "free", "safe", 300)
		}
	}
	cold := 0
	for _, s := range w.sends {
		if s.Server == 1 {
			cold++
		}
	}
	// An equal share is 60. The server has a fifth of its capacity, and fails at twice that.
	if cold > 24 {
		t.Errorf("%d of %d sent to a server that handles %d", cold, len(w.sends), 24)
	}
}

// A health monitor that observes failures of one class at a server sends its verdict to all gateways; the
// server stays in use for the other classes.
func TestVerdictCoversOneClass(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	s := w.gs[0].trackedByID[3]
	id := 0
	for range 6 {
		for i := range 12 {
			from := (s.monitors[0] + 1 + i) % 100
			w.do(from, PeerMessage{From: s.monitors[0], Data: []byte{shortVersion}}) // malformed: ignored
			g := w.gs[from]
			w.do(s.monitors[0], PeerMessage{From: from,
				Data: encode(observation{uint32(s.ID), byte(g.classes["safe"].index), byte(Error), 5})})
			w.do(s.monitors[0], PeerMessage{From: from,
				Data: encode(observation{uint32(s.ID), byte(g.classes["once"].index), byte(OK), 80})})
		}
	}
	w.advance(100*ms, nil)
	hits := map[string]int{}
	for _, class := range []string{"safe", "once"} {
		before := len(w.sends)
		for i := range w.gs {
			if i != s.monitors[0] {
				for range 4 {
					id++
					w.request(i, RequestID(id), "k", "free", class, 100)
				}
			}
		}
		for _, x := range w.sends[before:] {
			if x.Server == s.ID {
				hits[class]++
			}
		}
	}
	if hits["safe"] > 0 || hits["once"] < 5 {
		t.Errorf("attempts at a server that fails class safe, by class: %v", hits)
	}
}

// A health monitor may fail together with the server, so failures to connect are sent to the second
// monitor too.
func TestSecondMonitorReportsUnreachableServer(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	s := w.gs[0].trackedByID[3]
	w.lose = func(from, to int) bool { return from == s.monitors[0] || to == s.monitors[0] }
	cl := w.gs[70].classes["safe"]
	for range 6 {
		w.gs[70].now, w.gs[70].actions = w.now, nil
		w.gs[70].notifyMonitors(w.gs[70].trackedByID[3], cl, ConnectFailed, 250*ms)
		acts := w.gs[70].actions
		for _, a := range of[SendMessage](acts) {
			if a.To == s.monitors[1] {
				w.do(a.To, PeerMessage{From: 70, Data: a.Data})
			}
		}
	}
	w.advance(100*ms, nil)
	if v := w.gs[20].healthOf(w.gs[20].trackedByID[3], cl); !v.outOfUse {
		t.Error("another gateway did not receive the verdict")
	}
}

// A repeated ask counts once, but each copy is answered, since the first answer may be lost.
func TestRepeatedAskCountsOnce(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, _ := w.gs[0].roots(c)
	m := encode(askMessage{Customer: customerKey("k"), Spread: 50, Plan: 1, Units: 4, RemainingMS: 2000,
		Tag: 9, AskChance: 250, TokenFill: unknownTokens})
	for range 3 {
		w.do(roots[0], PeerMessage{From: 99, Data: m})
	}
	if got := w.gs[roots[0]].customers[customerKey("k")].admittedUnits; got != 4 || w.messagesSent != 3 {
		t.Errorf("%d units counted, %d answers", got, w.messagesSent)
	}
}

// A gateway tells the root when the client of a request that it asked for disconnects. Neither a request
// held at the root nor a grant in transit may keep its place under the cap.
func TestAbandonedRequestFreesItsPlace(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	member := 0
	for member == roots[0] || member == deputy {
		member++
	}
	m := askMessage{Customer: customerKey("k"), Spread: 50, Plan: 2, Units: 1, RemainingMS: 5000,
		AskChance: 250, TokenFill: unknownTokens}
	for m.Tag = range uint32(2) {
		w.do(roots[0], PeerMessage{From: 99, Data: encode(m)})
	}
	root := w.gs[roots[0]].customers[customerKey("k")]
	w.request(member, 1, "k", "open", "safe", 50)
	w.advance(100*ms, nil)
	if root.inFlight != 2 || len(root.held) != 1 {
		t.Fatalf("%d in flight, %d held", root.inFlight, len(root.held))
	}
	w.do(member, ClientDisconnected{ID: 1})
	w.advance(100*ms, nil)
	if len(root.held) != 0 {
		t.Error("held at the root after its client disconnected")
	}

	w.request(member, 2, "k", "open", "safe", 50)
	w.advance(100*ms, nil)
	w.do(roots[0], PeerMessage{From: 99, Data: encode(endMessage{Customer: customerKey("k"), Tag: 0})})
	if root.inFlight != 2 || len(root.held) != 0 {
		t.Fatalf("%d in flight, %d held: not granted", root.inFlight, len(root.held))
	}
	w.do(member, ClientDisconnected{ID: 2}) // the grant is in transit
	w.advance(100*ms, nil)
	if root.inFlight != 1 {
		t.Errorf("%d in flight: an unused grant keeps its place", root.inFlight)
	}
}

// A root repeats its answer that a request is held, since the answer may be lost. Otherwise the asking
// gateway would ask the deputy, which knows of no attempt in flight and would grant beyond the cap.
func TestLostHeldAnswerIsRepeated(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	member := 0
	for member == roots[0] || member == deputy {
		member++
	}
	m := askMessage{Customer: customerKey("k"), Spread: 50, Plan: 2, Units: 1, RemainingMS: 5000,
		AskChance: 250, TokenFill: unknownTokens}
	for m.Tag = range uint32(2) {
		w.do(roots[0], PeerMessage{From: 99, Data: encode(m)})
	}
	messages := 0
	w.lose = func(from, to int) bool {
		messages++
		return from == roots[0] && to == member && messages == 2
	}
	w.request(member, 1, "k", "open", "safe", 50)
	w.advance(250*ms, nil)
	if len(w.sends) != 0 {
		t.Error("attempt sent beyond the cap")
	}
}

// A granted attempt counts at its root while it is in flight, however late it is, and for at most a tick
// after its end, even if one message is lost. If all are lost, its lease expires after leaseTicks. A root
// that restarts learns of the attempt within two ticks.
func TestGrantCountsUntilAttemptEnds(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	member := 0
	for member == roots[0] || member == deputy {
		member++
	}
	w.do(roots[0], PeerMessage{From: 99, Data: encode(askMessage{Customer: customerKey("k"), Spread: 50,
		Plan: 2, Units: 1, RemainingMS: 2000, AskChance: 250, TokenFill: unknownTokens})})
	root := w.gs[roots[0]].customers[customerKey("k")]
	w.advance(500*ms, nil)
	if root.inFlight != 1 {
		t.Errorf("%d in flight, one was granted", root.inFlight)
	}
	w.advance(500*ms, nil) // that gateway renews no lease
	if root.inFlight != 0 {
		t.Errorf("%d in flight after the lease expired", root.inFlight)
	}
	w.endedSends = 1 << 30 // attempts don't end
	w.request(member, 9, "k", "open", "once", 50)
	w.advance(1500*ms, nil) // the latency target is 800 ms
	if root.inFlight != 1 {
		t.Errorf("%d in flight for a client that waits", root.inFlight)
	}
	set := baseSettings()
	set.Self, set.Gateways = roots[0], 100
	w.gs[roots[0]], _ = New(set, 99)
	w.do(roots[0], ServerListUpdate{Kind: StoredList, Servers: testServers(10)})
	w.advance(500*ms, nil)
	if root = w.gs[roots[0]].customers[customerKey("k")]; root == nil || root.inFlight != 1 {
		t.Fatalf("a restarted root does not know of the attempt in flight: %+v", root)
	}
	w.do(member, Outcome{ID: 9, Server: w.sends[len(w.sends)-1].Server, Code: OK, Answered: true})
	w.endedSends = len(w.sends)
	w.advance(300*ms, nil) // its end has been sent twice
	w.request(member, 1, "k", "open", "safe", 50)
	w.advance(40*ms, nil)
	endsSent := 0
	w.lose = func(from, to int) bool {
		if from == member && to == roots[0] {
			endsSent++
		}
		return from == member && to == roots[0] && endsSent == 1
	}
	w.advance(time.Second, nil) // the first client has disconnected by then
	if endsSent != 2 || root.inFlight != 0 {
		t.Errorf("end sent %d times, %d in flight", endsSent, root.inFlight)
	}
}

// Where most servers have just started, they get a share of the requests by their capacity, since the few
// warm servers can't handle all.
func TestColdServersGetTheirShare(t *testing.T) {
	servers := testServers(20)
	for i := range 12 {
		servers[i].HasStart, servers[i].Start = true, 10*time.Second
	}
	w := newCluster(t, 300, servers)
	for id := range 1200 {
		w.request(id%300, RequestID(id+1), "k", "free", "safe", 300)
	}
	cold := 0
	for _, s := range w.sends {
		if s.Server <= 12 {
			cold++
		}
	}
	// Twelve servers with a fifth of their capacity are about a fifth of the total capacity; half of the
	// load at which they fail is a seventh of the requests.
	if cold < 130 || cold > 210 {
		t.Errorf("%d of %d sent to the cold servers", cold, len(w.sends))
	}
}

// A server that has just started is slow by its warm-up fraction. Its health monitor must not count that
// slowness a second time in its relative latency.
func TestColdServerIsNotMeasuredAsSlow(t *testing.T) {
	servers := testServers(20)
	servers[0].HasStart, servers[0].Start = true, 10*time.Second
	w := newCluster(t, 100, servers)
	monitor := w.gs[0].trackedByID[1].monitors[0]
	g := w.gs[monitor]
	s := g.trackedByID[1]
	for range 200 {
		latency := g.classes["safe"].meanLatency / g.warmUpFraction(s) * 1000
		w.do(monitor, PeerMessage{From: (monitor + 1) % 100,
			Data: encode(observation{Server: 1, Latency: uint16(latency)})})
	}
	if s.monitoredLatency < 0.9 || s.monitoredLatency > 1.1 {
		t.Errorf("relative latency %.1f, want about 1", s.monitoredLatency)
	}
}

// A gateway of a large fleet uses a subset of the servers, which keeps the number of connections low, and
// each server is in about as many subsets. When its subset drains, a gateway uses other servers.
func TestGatewayUsesSubsetOfServers(t *testing.T) {
	w := newCluster(t, 80, testServers(60))
	usersOf := map[ServerID]map[int]bool{}
	usedBy := map[int]map[ServerID]bool{}
	sendRequests := func() {
		w.sends, w.senders, w.sentAt, w.endedSends = nil, nil, nil, 0
		clear(usersOf)
		clear(usedBy)
		for id := range 80 * 200 {
			w.request(id%80, RequestID(id+1), "k", "free", "safe", 80)
		}
		for k, s := range w.sends {
			if usersOf[s.Server] == nil {
				usersOf[s.Server] = map[int]bool{}
			}
			if usedBy[w.senders[k]] == nil {
				usedBy[w.senders[k]] = map[ServerID]bool{}
			}
			usersOf[s.Server][w.senders[k]], usedBy[w.senders[k]][s.Server] = true, true
		}
		w.advance(100*ms, nil)
	}
	sendRequests()
	for i, servers := range usedBy {
		if len(servers) > minSubsetSize {
			t.Errorf("gateway %d uses %d servers", i, len(servers))
		}
	}
	for id := range ServerID(60) {
		if n := len(usersOf[id+1]); n < 24 || n > 30 { // 80 gateways of 20 servers each: 26.7
			t.Errorf("server %d is used by %d gateways", id+1, n)
		}
	}
	drained := []Server{}
	for id := range usedBy[0] {
		drained = append(drained, Server{ID: id, Zone: "a", State: Draining, Weight: 1})
	}
	for i := range w.gs {
		w.do(i, ServerListUpdate{Kind: Changes, Servers: drained})
	}
	sendRequests()
	if len(usedBy[0]) == 0 || len(usedBy[0]) > minSubsetSize {
		t.Errorf("after its subset drained, gateway 0 uses %d other servers", len(usedBy[0]))
	}
}

// A request without time left is refused at once, since it can't wait for an answer of its root.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	for i := range 20 {
		w.do(i, Request{ID: RequestID(i + 1), Customer: "k", Plan: "rate", Class: "safe", Units: 1,
			Spread: 100})
	}
	if w.rejected != 20 || len(w.sends) > 0 {
		t.Errorf("%d refused, %d sent", w.rejected, len(w.sends))
	}
}

// Rounding can make a timer fire slightly early. The request must then not be left without a timer.
func TestTimerFiresSlightlyEarly(t *testing.T) {
	w := newCluster(t, 100, testServers(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	member := 0
	for member == roots[0] || member == deputy {
		member++
	}
	acts := w.gs[member].Handle(w.now, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 1,
		Remaining: time.Second, Spread: 50}, nil)
	timers := of[SetTimer](acts)
	if len(timers) != 1 {
		t.Fatalf("got %v", acts)
	}
	acts = w.gs[member].Handle(w.now+timers[0].After-time.Microsecond/2, Timer{Token: "ask"}, nil)
	if len(of[SendMessage](acts)) != 1 || len(of[SetTimer](acts)) != 1 {
		t.Errorf("not asked again: %v", acts)
	}
}

// After a root announces its shutdown, the other gateways ask its deputy at once, and all ask the root
// again after shutdownAbsence. Where the announcement is lost, their asks time out instead.
func TestAbsentRootIsNotAsked(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newCluster(t, 100, testServers(40))
		roots, deputy := w.gs[0].roots(&customer{key: customerKey("k"), plan: w.gs[0].plans["rate"], first: 0,
			spread: 50})
		root, member := roots[0], 0
		for member == root || member == deputy {
			member++
		}
		asked := map[int]int{}
		dead := false
		w.lose = func(from, to int) bool {
			if from == member {
				asked[to]++
			}
			return lost && from == root || dead && to == root
		}
		w.shutDown(root)
		dead = true
		w.advance(30*ms, nil)
		clear(asked)
		w.request(member, 1, "k", "rate", "safe", 50)
		w.advance(40*ms, nil)
		if lost && asked[root] == 0 {
			t.Error("the root is not asked though its announcement was lost")
		}
		if !lost && (asked[root] > 0 || asked[deputy] == 0 || len(w.sends) != 1) {
			t.Errorf("%d asks to the root that shut down, %d to its deputy, %d attempts", asked[root],
				asked[deputy], len(w.sends))
		}
		w.advance(shutdownAbsence+300*ms, nil)
		dead = false
		clear(asked)
		w.request(member, 2, "k", "rate", "safe", 50)
		w.advance(100*ms, nil)
		if asked[root] == 0 || asked[deputy] > 0 || len(w.gs[member].absentUntil) > 0 {
			t.Errorf("lost %v: %d asks to the restarted root, %d to its deputy", lost, asked[root],
				asked[deputy])
		}
	}
}

// In a small fleet, a peer's share of a cap and of a rate is free once the peer announces its shutdown. A
// delayed report of the old process doesn't restore the share, and a report of the peer's next process
// does. A gateway that shuts down sends a last report, with its last units, before the announcement.
func TestShutdownFreesPeerShare(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	countSends := func() int {
		_, acts := w.request("safe", "open", "c", 1)
		return len(of[Send](acts))
	}
	firstSends := countSends()
	w.receiveReport(1, 1, 1, true, customerEntry{hash: hashOf("c"), inFlight: 15, rate: 60})
	if firstSends != 1 || countSends() != 0 {
		t.Fatal("the cap is not full")
	}
	w.do(PeerMessage{From: 1, Data: encode(shutdownMessage{Incarnation: 7})}) // of an earlier process
	w.now += ms
	if w.g.peers[1].shutDown {
		t.Error("the shutdown of another process counts")
	}
	w.do(PeerMessage{From: 1, Data: encode(shutdownMessage{Incarnation: 1})})
	w.receiveReport(1, 1, 2, true, customerEntry{hash: hashOf("c"), inFlight: 15})
	w.advance(50 * ms)
	if n := countSends() + countSends(); w.g.customers[customerKey("c")].inFlight != 2 {
		t.Errorf("%d sent under a cap of 2, %d in flight", n, w.g.customers[customerKey("c")].inFlight)
	}
	w.advance(time.Minute) // the peer stays silent and counts for nothing
	if inFlight, _ := w.g.peerCounts(w.g.customers[customerKey("c")]); inFlight != 0 {
		t.Errorf("%v in flight at a peer that shut down", inFlight)
	}
	w.receiveReport(1, 2, 1, true, customerEntry{hash: hashOf("c"), inFlight: 4})
	if inFlight, _ := w.g.peerCounts(w.g.customers[customerKey("c")]); inFlight != 1 {
		t.Errorf("%v in flight at its next process", inFlight)
	}
	if messages := of[SendMessage](w.do(Shutdown{})); len(messages) != 2 || messages[0].To != 1 ||
		messages[1].To != -1 {
		t.Errorf("%v, want a last report and the announcement to all", messages)
	}
}
