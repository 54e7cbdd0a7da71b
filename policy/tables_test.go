package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// newer is base with its tables turned about: a class and a plan inserted in
// front, the others in reverse order.
func newer(s Settings) Settings {
	s.Classes = append([]Class{{Name: "front", LatencyTarget: 800 * ms, Deadline: 3 * time.Second}}, s.Classes...)
	slices.Reverse(s.Classes[1:])
	s.Plans = append([]Plan{{Name: "front", Rate: 1, Burst: 1}}, s.Plans...)
	slices.Reverse(s.Plans[1:])
	return s
}

// A tag bears its table's mark, and an older program's tags are seldom taken for
// marked ones.
func TestTags(t *testing.T) {
	s := base()
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[uint32]bool{}
	for range 1 << countBits {
		tag := g.newTag(g.tables[0])
		if mark, ok := tagMark(tag); !ok || g.tableByMark(mark) != g.tables[0] || seen[tag] {
			t.Fatalf("tag %x: %x, %v", tag, mark, ok)
		}
		seen[tag] = true
	}
	rng, marked := rand.New(rand.NewPCG(1, 1)), 0
	for range 100000 {
		if _, ok := tagMark(rng.Uint32()); ok {
			marked++
		}
	}
	if marked > 100000/128 {
		t.Errorf("%d of 100000 foreign tags taken for marked", marked)
	}
}

// While half of a fleet has tables of another order, no number is taken for
// another: each customer is counted under the plan that its request names, and
// nothing goes unanswered. Afterwards the quota of a customer holds.
func TestTablesThatDiffer(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			w := newCluster(t, 100, fleet(40))
			w.lose = func(int, int) bool { return rng.IntN(20) == 0 }
			for i := range w.gs { // half by a reload, half of them by a new start
				s := newer(base())
				s.Self, s.Gateways = i, 100
				switch rng.IntN(4) {
				case 0:
					w.do(i, Reconfigure{s})
				case 1:
					g, err := New(s, uint64(i+1))
					if err != nil {
						t.Fatal(err)
					}
					w.gs[i] = g
					w.do(i, ServerListUpdate{Kind: StoredList, Servers: fleet(40)})
				}
			}
			plans := []string{"free", "rate", "open", "both"}
			classes := []string{"safe", "cell", "all", "once"}
			names, asked := map[uint64]string{}, 0
			w.pass(5*time.Second, func(at time.Duration) {
				if at > 14*time.Second {
					return
				}
				asked++
				k := rng.IntN(40)
				customer, plan := fmt.Sprint("k", k), plans[k%len(plans)]
				names[customerKey(customer)] = plan
				w.request(rng.IntN(50), RequestID(asked), customer, plan, classes[rng.IntN(len(classes))], 50)
				for i, g := range w.gs {
					for key, c := range g.customers {
						if want := names[key]; want != "" && c.plan.Name != want {
							t.Fatalf("gateway %d counts a customer of plan %s under %s", i, want, c.plan.Name)
						}
					}
				}
			})
			if got := len(w.sends) + w.final; got != asked {
				t.Errorf("%d of %d answered", got, asked)
			}
			if len(w.sends) < asked/2 {
				t.Errorf("%d of %d passed", len(w.sends), asked)
			}
		})
	}
}

// Where all tables are alike nothing is sent that an older program does not send
// too, also after a reload of other figures.
func TestAlikeTablesSendNothingMore(t *testing.T) {
	w := newCluster(t, 100, fleet(40))
	w.pass(2*time.Second, func(at time.Duration) {
		w.request(int(at/ms)%50, RequestID(at), "k", "rate", "safe", 50)
		if at == 11*time.Second {
			for i := range w.gs {
				s := base()
				s.Self, s.Gateways = i, 100
				s.Plans[1].Rate, s.Classes[0].LatencyTarget = 12, 700*ms
				w.do(i, Reconfigure{s})
			}
		}
		for _, l := range w.inFlight {
			switch m := decode(l.data).(type) {
			case tablesMessage, markedObservation, markedVerdict:
				t.Fatalf("%T sent", m)
			}
		}
	})
}

// A class and a mask of classes are translated by name; without a mark they
// count only where all tables known agree.
func TestPlacesByName(t *testing.T) {
	w := newWorld(t, base(), fleet(4))
	old := w.g.tables[0]
	s := base()
	s.Classes = append(s.Classes[:1:1], append([]Class{{Name: "new", LatencyTarget: 1, Deadline: 1}}, s.Classes[2:]...)...) // "cell" is gone
	w.do(Reconfigure{s})
	for no, want := range map[byte]int{0: 0, 1: -1, 2: 2, 4: 4, 5: -1, 255: -1} {
		if at := w.g.localClass(no, true, old.mark); at != want {
			t.Errorf("class %d of the old table: %d, want %d", no, at, want)
		}
		if at := w.g.localClass(no, false, 0); at != want {
			t.Errorf("class %d without a mark: %d, want %d", no, at, want)
		}
	}
	if at := w.g.localClass(1, true, w.g.tables[0].mark); at != 1 {
		t.Errorf("class 1 of the new table: %d", at)
	}
	if at := w.g.localClass(0, true, old.mark+1); at != -1 {
		t.Errorf("class 0 of an unknown table: %d", at)
	}
	if mask := w.g.localClassMask(0b10111, true, old.mark); mask != 0b10101 {
		t.Errorf("mask %b", mask)
	}
}

// New figures of a plan: a token bucket is cut and never filled, also not by many
// reloads; attempts out and held requests stay and are judged by the new cap.
func TestReconfigureKeepsStores(t *testing.T) {
	one := func() Settings {
		s := base()
		s.Gateways = 1
		return s
	}
	w := newWorld(t, one(), fleet(8))
	if n := w.spend(4, "rate"); n != 4 {
		t.Fatalf("%d passed", n)
	}
	store := func() float64 { return w.g.customers[customerKey("c")].tokens }
	before := store()
	for range 1000 {
		s := one()
		s.Plans[1].Burst = 1000
		w.do(Reconfigure{s})
		w.do(Reconfigure{one()})
	}
	if store() > before {
		t.Errorf("a store of %.1f became %.1f", before, store())
	}
	s := one()
	s.Plans[1].Burst = 2
	w.do(Reconfigure{s})
	if store() > 2 {
		t.Errorf("a store of %.1f under a burst of 2", store())
	}
	w.do(Reconfigure{one()})
	if store() > 2 {
		t.Errorf("filled to %.1f by a larger burst", store())
	}
	w.pass(time.Second)
	if w.spend(1, "rate"); store() < 5 {
		t.Errorf("%.1f after a second at 10 units a second", store())
	}
}

func TestReconfigureCaps(t *testing.T) {
	s := base()
	s.Gateways, s.Plans[2].MaxInFlight = 1, 6
	w := newWorld(t, s, fleet(8))
	var out []Send
	for range 6 {
		_, acts := w.ask("safe", "open", "c", 1)
		out = append(out, of[Send](acts)...)
	}
	_, acts := w.ask("safe", "open", "c", 1)
	if len(out) != 6 || len(acts) != 0 {
		t.Fatalf("%d out, then %v", len(out), acts)
	}
	s.Plans = slices.Clone(s.Plans)
	s.Plans[2].MaxInFlight = 2 // below what is out
	w.do(Reconfigure{s})
	for i := range 4 { // until two are out
		if acts := w.end(out[i], 0, OK); len(of[Send](acts)) > 0 {
			t.Fatalf("released with %d out under a cap of 2", 5-i)
		}
	}
	if acts := w.end(out[4], 0, OK); len(of[Send](acts)) != 1 {
		t.Errorf("%v once one is out", acts)
	}
}

// Requests of a class and a plan that vanish while they are held, out and being
// retried get their one answer, by the figures they came under.
func TestVanishedClassAndPlan(t *testing.T) {
	s := base()
	s.Gateways = 1
	w := newWorld(t, s, fleet(8))
	out := w.send("all", "open")
	again := w.send("all", "open")
	held, acts := w.ask("all", "open", "c", 1)
	if len(acts) != 0 {
		t.Fatalf("%v, want it held", acts)
	}
	less := s
	less.Classes = []Class{s.Classes[0]}
	less.Plans = []Plan{s.Plans[0], s.Plans[1]}
	w.do(Reconfigure{less})
	if acts := w.end(again, 0, Reset); len(of[Send](acts)) != 1 { // keyed, inside its window
		t.Fatalf("%v, want a further attempt", acts)
	}
	acts = append(w.end(out, 0, OK), w.pass(time.Second)...)
	answered := 0
	for _, a := range acts {
		if r, ok := a.(Refuse); ok && r.ID == held {
			answered++
		}
		if s, ok := a.(Send); ok && s.ID == held {
			answered++
		}
	}
	if answered != 1 {
		t.Errorf("%d answers for what was held: %v", answered, acts)
	}
	// Its customer comes under a plan that there is, and under its own again.
	for _, plan := range []string{"rate", "free"} {
		if _, acts := w.ask("safe", plan, "c", 1); len(of[Send](acts)) != 1 {
			t.Errorf("%s: %v", plan, acts)
		}
	}
	if c := w.g.customers[customerKey("c")]; c.plan.Name != "rate" {
		t.Errorf("plan %s", c.plan.Name)
	}
}

// What is known of a server stays with its class by name.
func TestReconfigureKeepsRecords(t *testing.T) {
	w := newWorld(t, base(), fleet(8))
	for i := range w.g.tracked[0].health {
		w.g.tracked[0].health[i].failureAverage = float64(i + 1)
	}
	mean := w.g.classes["once"].meanLatency * 3
	w.g.classes["once"].meanLatency = mean
	s := newer(base())
	w.do(Reconfigure{s})
	for i, c := range s.Classes {
		want := float64(slices.IndexFunc(base().Classes, func(b Class) bool { return b.Name == c.Name }) + 1)
		if got := w.g.tracked[0].health[i].failureAverage; got != want || w.g.classes[c.Name].index != i {
			t.Errorf("class %s: %v, want %v", c.Name, got, want)
		}
	}
	if w.g.classes["once"].meanLatency != mean {
		t.Error("a class's learned latency is gone")
	}
}

// Reloads leave nothing behind, whatever comes and goes with them.
func TestReloadsLeaveNothingBehind(t *testing.T) {
	w := newWorld(t, base(), fleet(8))
	w.spend(1, "rate")
	size := func() string {
		g := w.g
		n := 0
		for _, s := range g.tracked {
			n += len(s.fullUntil)
		}
		return fmt.Sprint(len(g.classes), len(g.plans), len(g.tables), len(g.removedClasses), len(g.removedPlans), n, len(g.peerTableMarks))
	}
	a, b := base(), newer(base())
	w.do(Reconfigure{b})
	w.do(Reconfigure{a})
	want := size()
	for range 500 {
		w.do(Reconfigure{b})
		w.g.tracked[0].fullUntil[w.g.plans["front"]] = w.now
		w.do(Reconfigure{a})
	}
	if got := size(); got != want {
		t.Errorf("%s, was %s", got, want)
	}
}

// Settings that can't be meant change nothing.
func TestReconfigureRefuses(t *testing.T) {
	w := newWorld(t, base(), fleet(2))
	bad := base()
	bad.Plans = nil
	if acts := w.do(Reconfigure{bad}); len(of[Log](acts)) != 1 || !reflect.DeepEqual(w.g.settings, base()) {
		t.Errorf("%v", acts)
	}
}

// Whatever a peer sends, marked or not, with two tables about.
func FuzzPeerMessages(f *testing.F) {
	f.Add(encode(askMessage{Customer: 7, Spread: 2, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, AskChance: 250, TokenFill: 3}))
	f.Add(encode(tablesMessage{1}))
	f.Add(encode(markedVerdict{1, verdictMessage{Server: 1, OutOfUse: 255, RelativeLatency: 255}}))
	f.Add(encode(markedObservation{1, observation{Server: 1, Class: 255, Code: 255}}))
	s := base()
	f.Add((&customerTransfer{Mark: newTable(&s).mark, Plan: 1, Spread: 9, Tokens: 3, Grants: []transferredGrant{{1, 2, 3, 4}}}).encode())
	f.Add(encode(transferAck{1, 2}))
	f.Add(encode(shutdownMessage{1}))
	f.Add((&report{incarnation: 1, customers: []customerEntry{{hash: 1}}}).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		s := base()
		s.Gateways = 100
		g, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(1, ServerListUpdate{Servers: fleet(4)}, nil)
		n := newer(s)
		g.Handle(2, Reconfigure{n}, nil)
		for i := range 3 {
			for _, a := range g.Handle(time.Duration(3+i)*time.Second, PeerMessage{From: i, Data: data}, nil) {
				if tell, ok := a.(SendMessage); ok && len(tell.Data) > maxMessage {
					t.Fatalf("%d bytes", len(tell.Data))
				}
			}
			g.Handle(time.Duration(4+i)*time.Second, Timer{Token: "tick"}, nil)
		}
	})
}

// An older program's ask bears no mark and is counted as ever, and what it asks
// by stays understood by it: an ask is no longer than it was. With a second table
// about, its numbers count only where both agree.
func TestOlderProgramAsks(t *testing.T) {
	s := base()
	s.Gateways = 100
	w := newWorld(t, s, fleet(4))
	asks := func(plan byte, tag uint32) []SendMessage {
		if _, marked := tagMark(tag); marked {
			t.Fatalf("tag %d passes for marked", tag)
		}
		return of[SendMessage](w.do(PeerMessage{From: 9, Data: encode(askMessage{Customer: uint64(tag) << 40, Spread: 50, Plan: plan, Units: 1,
			RemainingMS: 2000, Tag: tag, AskChance: 250, TokenFill: unknownTokens})}))
	}
	granted := func(acts []SendMessage) bool {
		if len(acts) != 1 || acts[0].To != 9 {
			return false
		}
		_, ok := decode(acts[0].Data).(answerMessage)
		return ok
	}
	if !granted(asks(1, 5)) {
		t.Error("not answered")
	}
	s.Plans = append(slices.Clone(s.Plans[:2]), Plan{Name: "between", Rate: 1, Burst: 9}, s.Plans[2])
	w.do(Reconfigure{s})
	if !granted(asks(1, 6)) {
		t.Error("not answered where both tables agree")
	}
	for _, plan := range []byte{2, 3, 4} {
		if acts := asks(plan, 7); len(acts) != 0 {
			t.Errorf("plan %d of an unknown table: %v", plan, acts)
		}
	}
	if n := len(encode(askMessage{})); n != 27 {
		t.Errorf("an ask of %d bytes", n)
	}
}

// A root hears of its customers' plans by asks alone: one whose plan is gone comes
// under the plan that is asked by now, with what is left in its token bucket.
func TestRootReplans(t *testing.T) {
	s := base()
	s.Gateways = 100
	w := newWorld(t, s, fleet(4))
	asks := func(plan byte, units uint16) *customer {
		w.do(PeerMessage{From: 9, Data: encode(askMessage{Customer: 7, Spread: 50, Plan: plan, Units: units, RemainingMS: 2000,
			Tag: w.g.newTag(w.g.tables[0]), AskChance: 250, TokenFill: unknownTokens})})
		return w.g.customers[7]
	}
	if c := asks(1, 4); c == nil || c.plan.Name != "rate" {
		t.Fatalf("%+v", c)
	}
	store := w.g.customers[7].tokens
	s.Plans = []Plan{s.Plans[0], {Name: "other", Rate: 20, Burst: 30}, s.Plans[2]}
	w.do(Reconfigure{s})
	if c := asks(1, 1); c.plan.Name != "other" || c.tokens > store {
		t.Errorf("plan %s, a store of %v that held %v", c.plan.Name, c.tokens, store)
	}
}
