package policy

import (
	"testing"
	"time"
)

// cluster drives hundreds of gateways by hand, a message taking 20 ms.
type cluster struct {
	t        testing.TB
	now      time.Duration
	gs       []*Gateway
	inFlight []datagram
	lose     func(from, to int) bool
	kept     func(from, to int, data []byte) // what is not lost; nil: nobody asks

	told   int   // messages, by receiver
	got    []int // the same for each
	sends  []Send
	from   []int
	sentAt []time.Duration
	over   int // sends that have ended
	final  int
}

type datagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newCluster(t testing.TB, n int, servers []Server) *cluster {
	t.Helper()
	c := &cluster{t: t, now: 10 * time.Second, got: make([]int, n), lose: func(int, int) bool { return false }}
	for i := range n {
		s := base()
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

func (c *cluster) do(i int, ev Event) { c.carry(i, c.gs[i].Handle(c.now, ev, nil)) }

// carry carries out what a gateway wants done.
func (c *cluster) carry(i int, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SendMessage:
			if len(a.Data) > 256 || a.To >= len(c.gs) || a.To == i {
				c.t.Fatalf("gateway %d tells %d %d bytes", i, a.To, len(a.Data))
			}
			for to := range c.gs {
				if to == a.To || a.To < 0 && to != i {
					c.told++
					c.got[to]++
					if c.lose(i, to) {
						continue
					}
					c.inFlight = append(c.inFlight, datagram{c.now + 20*ms, i, to, a.Data})
					if c.kept != nil {
						c.kept(i, to, a.Data)
					}
				}
			}
		case Send:
			c.sends, c.from, c.sentAt = append(c.sends, a), append(c.from, i), append(c.sentAt, c.now)
		case Refuse, Fail:
			c.final++
		}
	}
}

// pass lets time go by in steps of 10 ms, each attempt ending well after 50.
func (c *cluster) pass(d time.Duration, step func(at time.Duration)) {
	for end := c.now + d; c.now < end; {
		c.now += 10 * ms
		var due []datagram
		for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
			due, c.inFlight = append(due, c.inFlight[0]), c.inFlight[1:]
		}
		for _, l := range due {
			c.do(l.to, PeerMessage{From: l.from, Data: l.data})
		}
		for i := range c.gs {
			c.do(i, Timer{Token: "ask"})
			c.do(i, Timer{Token: "hand"})
			if (c.now/ms/10+time.Duration(i))%25 == 0 {
				c.do(i, Timer{Token: "tick"})
			}
		}
		for ; c.over < len(c.sends) && c.sentAt[c.over]+50*ms <= c.now; c.over++ {
			s := c.sends[c.over]
			c.do(c.from[c.over], Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 50 * ms, Answered: true})
		}
		if step != nil {
			step(c.now)
		}
	}
}

// leave has a gateway leave, until it has told so.
func (c *cluster) leave(i int) {
	c.do(i, Shutdown{})
	for range 300 {
		if c.gs[i].shutdownAnnounced {
			return
		}
		c.pass(10*ms, nil)
	}
	c.t.Fatalf("gateway %d never told that it has left", i)
}

func (c *cluster) request(i int, id RequestID, customer, plan, class string, spread int) {
	c.do(i, Request{ID: id, Customer: customer, Plan: plan, Class: class, Units: 1,
		Remaining: 2 * time.Second, Spread: spread})
}

// Reports from all to all take no more of anybody's intake of datagrams than is theirs, at any size of
// the fleet: beyond, members ask roots. Fleets of 20 to 38 gateways told each other more
// than they could take in.
func TestReportsFitTheMail(t *testing.T) {
	for n := 2; n <= 300; n++ {
		s := base()
		s.Gateways, s.DatagramsPerSecond = n, 100
		g, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if told := float64(n-1) / g.tick.Seconds(); !g.largeFleet && told > 1.001*reportBudgetShare*s.DatagramsPerSecond {
			t.Errorf("%d gateways: %.0f reports a second to each", n, told)
		}
		if tree := n > 13; g.largeFleet != tree {
			t.Errorf("%d gateways: roots %v", n, g.largeFleet)
		}
	}
}

// Hundreds of gateways, each seeing few requests of a customer that asks five
// times its quota, pass no more than the quota together and leave little of it
// unused, with a few messages a request.
func TestHundredsOfGatewaysKeepTheQuota(t *testing.T) {
	for _, c := range []struct {
		name  string
		every int // a request in each such step of 10 ms
		lost  int // a message in so many is lost
		least int
	}{
		{"far above", 2, 1 << 30, 85}, {"far above, datagrams lost", 2, 12, 85}, {"inside", 20, 1 << 30, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(t, 300, fleet(40))
			n := 0
			w.lose = func(int, int) bool { n++; return n%c.lost == 0 }
			asked := 0
			w.pass(10*time.Second, func(at time.Duration) {
				if int(at/ms/10)%c.every == 0 && at < 19*time.Second {
					asked++
					w.request(asked*37%200, RequestID(asked), "k", "rate", "safe", 200)
				}
			})
			passed := len(w.sends)
			if most := 10 + 10*10; passed > most*23/20 || passed < min(c.least, asked) {
				t.Errorf("%d of %d passed, the quota holds %d", passed, asked, most)
			}
			if passed+w.final != asked {
				t.Errorf("%d passed and %d refused of %d", passed, w.final, asked)
			}
			if w.told > 6*asked {
				t.Errorf("%d messages for %d requests", w.told, asked)
			}
		})
	}
}

// A root that answers nothing must not stop its customers: the deputy counts
// for it.
func TestDeputyStepsIn(t *testing.T) {
	w := newCluster(t, 100, fleet(20))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	w.lose = func(from, to int) bool { return to == roots[0] || from == roots[0] }
	asked := 0
	w.pass(8*time.Second, func(at time.Duration) {
		if i := asked * 7 % 50; int(at/ms/10)%5 == 0 && at < 17*time.Second && i != roots[0] {
			w.request(i, RequestID(asked+1), "k", "rate", "safe", 50)
		}
		asked++
	})
	if n := len(w.sends); n < 45 || n > 120 {
		t.Errorf("%d passed with root %v lost and deputy %d, the quota holds 90", n, roots, deputy)
	}
}

// Least parts of one each would let hundreds of gateways push a cold server
// over together.
func TestColdShareIsBoundedOverTheFleet(t *testing.T) {
	servers := fleet(20)
	servers[0].HasStart, servers[0].Start = true, 10*time.Second
	w := newCluster(t, 300, servers)
	for _, g := range w.gs { // the warm ones are all slow
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
	// An even share is 60; the server has a fifth of its capacity, and falls
	// at twice that.
	if cold > 24 {
		t.Errorf("%d of %d sent to a server that bears %d", cold, len(w.sends), 24)
	}
}

// A watcher hears of one class failing on a server and tells all; the other
// classes still go there.
func TestWatcherTellsOfOneClass(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	s := w.gs[0].trackedByID[3]
	id := 0
	for range 6 {
		for i := range 12 {
			from := (s.monitors[0] + 1 + i) % 100
			w.do(from, PeerMessage{From: s.monitors[0], Data: []byte{shortVersion}}) // foreign: nothing
			g := w.gs[from]
			w.do(s.monitors[0], PeerMessage{From: from,
				Data: encode(observation{uint32(s.ID), byte(g.classes["safe"].index), byte(Error), 5})})
			w.do(s.monitors[0], PeerMessage{From: from,
				Data: encode(observation{uint32(s.ID), byte(g.classes["once"].index), byte(OK), 80})})
		}
	}
	w.pass(100*ms, nil)
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
		t.Errorf("sent to a server that fails one class: %v", hits)
	}
}

// The watcher may be lost with the server: one that can't be reached is told
// to a second.
func TestSecondWatcherTellsOfUnreachable(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
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
	w.pass(100*ms, nil)
	if v := w.gs[20].healthOf(w.gs[20].trackedByID[3], cl); !v.outOfUse {
		t.Error("a gateway far off has not heard of it")
	}
}

// An ask that comes twice counts once, and is answered twice: the first answer
// may be lost.
func TestRepeatedAskCountsOnce(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, _ := w.gs[0].roots(c)
	m := encode(askMessage{Customer: customerKey("k"), Spread: 50, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, AskChance: 250, TokenFill: unknownTokens})
	for range 3 {
		w.do(roots[0], PeerMessage{From: 99, Data: m})
	}
	if got := w.gs[roots[0]].customers[customerKey("k")].admittedUnits; got != 4 || w.told != 3 {
		t.Errorf("%d units counted, %d answers", got, w.told)
	}
}

// A member that no longer wants what it asked for tells the root: neither a
// request held there nor a grant on its way may keep a place under the cap.
func TestGivenUpRequestFreesItsPlace(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	m := askMessage{Customer: customerKey("k"), Spread: 50, Plan: 2, Units: 1, RemainingMS: 5000, AskChance: 250, TokenFill: unknownTokens}
	for m.Tag = range uint32(2) {
		w.do(roots[0], PeerMessage{From: 99, Data: encode(m)})
	}
	root := w.gs[roots[0]].customers[customerKey("k")]
	w.request(i, 1, "k", "open", "safe", 50)
	w.pass(100*ms, nil)
	if root.inFlight != 2 || len(root.held) != 1 {
		t.Fatalf("%d out, %d held", root.inFlight, len(root.held))
	}
	w.do(i, ClientDisconnected{ID: 1})
	w.pass(100*ms, nil)
	if len(root.held) != 0 {
		t.Error("held at the root after its client has gone")
	}

	w.request(i, 2, "k", "open", "safe", 50)
	w.pass(100*ms, nil)
	w.do(roots[0], PeerMessage{From: 99, Data: encode(endMessage{Customer: customerKey("k"), Tag: 0})})
	if root.inFlight != 2 || len(root.held) != 0 {
		t.Fatalf("%d out, %d held: not granted", root.inFlight, len(root.held))
	}
	w.do(i, ClientDisconnected{ID: 2}) // the grant is on its way
	w.pass(100*ms, nil)
	if root.inFlight != 1 {
		t.Errorf("%d out: a grant that nobody took keeps its place", root.inFlight)
	}
}

// A root's word that a request waits may be lost too: it is said again, or the
// member would turn to the deputy, which knows of no attempt under the cap.
func TestLostWordOfWaitingIsSaidAgain(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	m := askMessage{Customer: customerKey("k"), Spread: 50, Plan: 2, Units: 1, RemainingMS: 5000, AskChance: 250, TokenFill: unknownTokens}
	for m.Tag = range uint32(2) {
		w.do(roots[0], PeerMessage{From: 99, Data: encode(m)})
	}
	said := 0
	w.lose = func(from, to int) bool {
		said++
		return from == roots[0] && to == i && said == 2
	}
	w.request(i, 1, "k", "open", "safe", 50)
	w.pass(250*ms, nil)
	if len(w.sends) != 0 {
		t.Error("sent on beyond the cap")
	}
}

// A granted attempt counts at its root while it is out, however late it is, and no
// longer than a tick after its end, though one message is lost; where all are lost, no
// longer than leaseTicks. A root that starts anew learns of it within two ticks.
func TestGrantCountsUntilItsEnd(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["open"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	w.do(roots[0], PeerMessage{From: 99, Data: encode(askMessage{Customer: customerKey("k"), Spread: 50, Plan: 2, Units: 1,
		RemainingMS: 2000, AskChance: 250, TokenFill: unknownTokens})})
	root := w.gs[roots[0]].customers[customerKey("k")]
	w.pass(500*ms, nil)
	if root.inFlight != 1 {
		t.Errorf("%d out, one was granted", root.inFlight)
	}
	w.pass(500*ms, nil) // that member says no more of it
	if root.inFlight != 0 {
		t.Errorf("%d out of which nothing was heard", root.inFlight)
	}
	w.over = 1 << 30 // attempts last
	w.request(i, 9, "k", "open", "once", 50)
	w.pass(1500*ms, nil) // the latency target is 800 ms
	if root.inFlight != 1 {
		t.Errorf("%d out for a client that waits", root.inFlight)
	}
	set := base()
	set.Self, set.Gateways = roots[0], 100
	w.gs[roots[0]], _ = New(set, 99)
	w.do(roots[0], ServerListUpdate{Kind: StoredList, Servers: fleet(10)})
	w.pass(500*ms, nil)
	if root = w.gs[roots[0]].customers[customerKey("k")]; root == nil || root.inFlight != 1 {
		t.Fatalf("a root that starts anew does not know of the attempt out: %+v", root)
	}
	w.do(i, Outcome{ID: 9, Server: w.sends[len(w.sends)-1].Server, Code: OK, Answered: true})
	w.over = len(w.sends)
	w.pass(300*ms, nil) // its end has been told twice
	w.request(i, 1, "k", "open", "safe", 50)
	w.pass(40*ms, nil)
	lost := 0
	w.lose = func(from, to int) bool {
		if from == i && to == roots[0] {
			lost++
		}
		return from == i && to == roots[0] && lost == 1
	}
	w.pass(time.Second, nil) // the client of the first has given up by then
	if lost != 2 || root.inFlight != 0 {
		t.Errorf("told %d times of the end, %d out", lost, root.inFlight)
	}
}

// Where most servers have just started, they take a part of the work that goes
// with their capacity: the few warm ones can't do it all.
func TestColdServersTakeTheirPart(t *testing.T) {
	servers := fleet(20)
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
	// Twelve with a fifth of their capacity are a fifth of what works; half of
	// what makes them fall is a seventh here.
	if cold < 130 || cold > 210 {
		t.Errorf("%d of %d sent to the cold servers", cold, len(w.sends))
	}
}

// A server that has just started is as slow as its part of the capacity says:
// its watcher does not take it for a slow one on top of that.
func TestColdServerIsNotTakenForSlow(t *testing.T) {
	servers := fleet(20)
	servers[0].HasStart, servers[0].Start = true, 10*time.Second
	w := newCluster(t, 100, servers)
	watcher := w.gs[0].trackedByID[1].monitors[0]
	g := w.gs[watcher]
	s := g.trackedByID[1]
	for range 200 {
		latency := g.classes["safe"].meanLatency / g.warmUpFraction(s) * 1000
		w.do(watcher, PeerMessage{From: (watcher + 1) % 100, Data: encode(observation{Server: 1, Latency: uint16(latency)})})
	}
	if s.monitoredLatency < 0.9 || s.monitoredLatency > 1.1 {
		t.Errorf("taken to be %.1f times as slow as the rest", s.monitoredLatency)
	}
}

// A gateway of a large fleet keeps to a part of the servers, so that few
// connections are made; all servers are in as many parts. Once its own drain it
// moves on to others.
func TestGatewaysKeepToAPartOfTheServers(t *testing.T) {
	w := newCluster(t, 80, fleet(60))
	used := map[ServerID]map[int]bool{}
	by := map[int]map[ServerID]bool{}
	play := func() {
		w.sends, w.from, w.sentAt, w.over = nil, nil, nil, 0
		clear(used)
		clear(by)
		for id := range 80 * 200 {
			w.request(id%80, RequestID(id+1), "k", "free", "safe", 80)
		}
		for k, s := range w.sends {
			if used[s.Server] == nil {
				used[s.Server] = map[int]bool{}
			}
			if by[w.from[k]] == nil {
				by[w.from[k]] = map[ServerID]bool{}
			}
			used[s.Server][w.from[k]], by[w.from[k]][s.Server] = true, true
		}
		w.pass(100*ms, nil)
	}
	play()
	for i, servers := range by {
		if len(servers) > minSubsetSize {
			t.Errorf("gateway %d uses %d servers", i, len(servers))
		}
	}
	for id := range ServerID(60) {
		if n := len(used[id+1]); n < 24 || n > 30 { // 80 gateways of 20 servers each: 26.7
			t.Errorf("server %d is used by %d gateways", id+1, n)
		}
	}
	own := []Server{}
	for id := range by[0] {
		own = append(own, Server{ID: id, Zone: "a", State: Draining, Weight: 1})
	}
	for i := range w.gs {
		w.do(i, ServerListUpdate{Kind: Changes, Servers: own})
	}
	play()
	if len(by[0]) == 0 || len(by[0]) > minSubsetSize {
		t.Errorf("once its own drain, gateway 0 uses %d others", len(by[0]))
	}
}

// A try without time left is refused at once: it can't wait for its root.
func TestNoTimeLeftIsRefused(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	for i := range 20 {
		w.do(i, Request{ID: RequestID(i + 1), Customer: "k", Plan: "rate", Class: "safe", Units: 1, Spread: 100})
	}
	if w.final != 20 || len(w.sends) > 0 {
		t.Errorf("%d refused, %d sent", w.final, len(w.sends))
	}
}

// Times are rounded on their way: a timer that comes a little before its time
// must not leave a request with no timer at all.
func TestTimerARoundingEarly(t *testing.T) {
	w := newCluster(t, 100, fleet(10))
	c := w.gs[0].newCustomer(customerKey("k"), w.gs[0].plans["rate"], 0, 50)
	roots, deputy := w.gs[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	acts := w.gs[i].Handle(w.now, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 1,
		Remaining: time.Second, Spread: 50}, nil)
	timers := of[SetTimer](acts)
	if len(timers) != 1 {
		t.Fatalf("got %v", acts)
	}
	acts = w.gs[i].Handle(w.now+timers[0].After-time.Microsecond/2, Timer{Token: "ask"}, nil)
	if len(of[SendMessage](acts)) != 1 || len(of[SetTimer](acts)) != 1 {
		t.Errorf("not asked again: %v", acts)
	}
}

// A root that has told of its end is not waited for: its members turn to the
// deputy at once, and back to it together once it may be there again. Where the
// word is lost they find out as ever.
func TestLeaverIsNotAsked(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newCluster(t, 100, fleet(40))
		roots, deputy := w.gs[0].roots(&customer{key: customerKey("k"), plan: w.gs[0].plans["rate"], first: 0, spread: 50})
		root, i := roots[0], 0
		for i == root || i == deputy {
			i++
		}
		asked := map[int]int{}
		dead := false
		w.lose = func(from, to int) bool {
			if from == i {
				asked[to]++
			}
			return lost && from == root || dead && to == root
		}
		w.leave(root)
		dead = true
		w.pass(30*ms, nil)
		clear(asked)
		w.request(i, 1, "k", "rate", "safe", 50)
		w.pass(40*ms, nil)
		if lost && asked[root] == 0 {
			t.Error("the lost word was heard")
		}
		if !lost && (asked[root] > 0 || asked[deputy] == 0 || len(w.sends) != 1) {
			t.Errorf("%d asks to the root that has left, %d to its deputy, %d sent on", asked[root], asked[deputy], len(w.sends))
		}
		w.pass(shutdownAbsence+300*ms, nil)
		dead = false
		clear(asked)
		w.request(i, 2, "k", "rate", "safe", 50)
		w.pass(100*ms, nil)
		if asked[root] == 0 || asked[deputy] > 0 || len(w.gs[i].absentUntil) > 0 {
			t.Errorf("lost %v: %d asks to the root that is back, %d to its deputy", lost, asked[root], asked[deputy])
		}
	}
}

// In a small fleet the part of a cap and of a rate that a leaver had is free at
// once, its last units are told, a late report does not bring it back, and another
// process of it does.
func TestLeaverFreesItsPart(t *testing.T) {
	w := newWorld(t, base(), fleet(8))
	ask := func() int {
		_, acts := w.ask("safe", "open", "c", 1)
		return len(of[Send](acts))
	}
	first := ask()
	w.hear(1, 1, 1, true, customerEntry{hash: hashOf("c"), inFlight: 15, rate: 60})
	if first != 1 || ask() != 0 {
		t.Fatal("the cap is not full")
	}
	w.do(PeerMessage{From: 1, Data: encode(shutdownMessage{Incarnation: 7})}) // of a process before that one
	w.now += ms
	if w.g.peers[1].shutDown {
		t.Error("another process's end counts")
	}
	w.do(PeerMessage{From: 1, Data: encode(shutdownMessage{Incarnation: 1})})
	w.hear(1, 1, 2, true, customerEntry{hash: hashOf("c"), inFlight: 15})
	w.pass(50 * ms)
	if n := ask() + ask(); w.g.customers[customerKey("c")].inFlight != 2 {
		t.Errorf("%d sent on of a cap of 2, %d out", n, w.g.customers[customerKey("c")].inFlight)
	}
	w.pass(time.Minute) // gone for good, it counts for nothing
	if out, _ := w.g.peerCounts(w.g.customers[customerKey("c")]); out != 0 {
		t.Errorf("%v out at one that has left", out)
	}
	w.hear(1, 2, 1, true, customerEntry{hash: hashOf("c"), inFlight: 4})
	if out, _ := w.g.peerCounts(w.g.customers[customerKey("c")]); out != 1 {
		t.Errorf("%v out at its next process", out)
	}
	if tells := of[SendMessage](w.do(Shutdown{})); len(tells) != 2 || tells[0].To != 1 || tells[1].To != -1 {
		t.Errorf("%v, want a last report and the word to all", tells)
	}
}
