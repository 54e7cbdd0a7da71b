package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// reorderTables reorders the classes and plans of s: a new one is inserted in front, the others are
// reversed.
func reorderTables(s Settings) Settings {
	s.Classes = append([]Class{{Name: "front", LatencyTarget: 800 * ms, Deadline: 3 * time.Second}},
		s.Classes...)
	slices.Reverse(s.Classes[1:])
	s.Plans = append([]Plan{{Name: "front", Rate: 1, Burst: 1}}, s.Plans...)
	slices.Reverse(s.Plans[1:])
	return s
}

// A tag contains its table's mark. Tags of older programs contain none, and few of them may be accepted as
// marked; the test uses random tags in their place.
func TestTags(t *testing.T) {
	s := baseSettings()
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
		t.Errorf("%d of 100000 random tags accepted as marked", marked)
	}
}

// While half of a fleet has its classes and plans in another order, no index is misread: each customer is
// counted under the plan that its requests name, and every request is answered.
func TestMixedTables(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			w := newCluster(t, 100, testServers(40))
			w.lose = func(int, int) bool { return rng.IntN(20) == 0 }
			for i := range w.gs { // a quarter changes by a reload, a quarter by a restart
				s := reorderTables(baseSettings())
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
					w.do(i, ServerListUpdate{Kind: StoredList, Servers: testServers(40)})
				}
			}
			plans := []string{"free", "rate", "open", "both"}
			classes := []string{"safe", "cell", "all", "once"}
			planOf, asked := map[uint64]string{}, 0
			w.advance(5*time.Second, func(at time.Duration) {
				if at > 14*time.Second {
					return
				}
				asked++
				k := rng.IntN(40)
				customer, plan := fmt.Sprint("k", k), plans[k%len(plans)]
				planOf[customerKey(customer)] = plan
				w.request(rng.IntN(50), RequestID(asked), customer, plan, classes[rng.IntN(len(classes))], 50)
				for i, g := range w.gs {
					for key, c := range g.customers {
						if want := planOf[key]; want != "" && c.plan.Name != want {
							t.Fatalf("gateway %d counts a customer of plan %s under plan %s", i, want,
								c.plan.Name)
						}
					}
				}
			})
			if got := len(w.sends) + w.rejected; got != asked {
				t.Errorf("%d of %d answered", got, asked)
			}
			if len(w.sends) < asked/2 {
				t.Errorf("%d of %d admitted", len(w.sends), asked)
			}
		})
	}
}

// While all tables are equal, no message kinds are sent that older programs don't know, not even after a
// reload that changes other settings.
func TestEqualTablesSendNoMarks(t *testing.T) {
	w := newCluster(t, 100, testServers(40))
	w.advance(2*time.Second, func(at time.Duration) {
		w.request(int(at/ms)%50, RequestID(at), "k", "rate", "safe", 50)
		if at == 11*time.Second {
			for i := range w.gs {
				s := baseSettings()
				s.Self, s.Gateways = i, 100
				s.Plans[1].Rate, s.Classes[0].LatencyTarget = 12, 700*ms
				w.do(i, Reconfigure{s})
			}
		}
		for _, d := range w.inFlight {
			switch m := decode(d.data).(type) {
			case tablesMessage, markedObservation, markedVerdict:
				t.Fatalf("%T sent", m)
			}
		}
	})
}

// A class and a mask of classes are translated by name. Without a mark they count only where all known
// tables agree.
func TestClassIndexesAreTranslatedByName(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(4))
	old := w.g.tables[0]
	s := baseSettings()
	s.Classes = append(s.Classes[:1:1], append([]Class{{Name: "new", LatencyTarget: 1, Deadline: 1}},
		s.Classes[2:]...)...) // without "cell"
	w.do(Reconfigure{s})
	for index, want := range map[byte]int{0: 0, 1: -1, 2: 2, 4: 4, 5: -1, 255: -1} {
		if at := w.g.localClass(index, true, old.mark); at != want {
			t.Errorf("class %d of the old table: %d, want %d", index, at, want)
		}
		if at := w.g.localClass(index, false, 0); at != want {
			t.Errorf("class %d without a mark: %d, want %d", index, at, want)
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

// New settings of a plan may reduce the content of a token bucket but never increase it, not even over many
// reloads.
func TestReconfigureNeverAddsTokens(t *testing.T) {
	singleGateway := func() Settings {
		s := baseSettings()
		s.Gateways = 1
		return s
	}
	w := newHarness(t, singleGateway(), testServers(8))
	if n := w.countAdmitted(4, "rate"); n != 4 {
		t.Fatalf("%d units admitted, want 4", n)
	}
	tokens := func() float64 { return w.g.customers[customerKey("c")].tokens }
	before := tokens()
	for range 1000 {
		s := singleGateway()
		s.Plans[1].Burst = 1000
		w.do(Reconfigure{s})
		w.do(Reconfigure{singleGateway()})
	}
	if tokens() > before {
		t.Errorf("tokens grew from %.1f to %.1f", before, tokens())
	}
	s := singleGateway()
	s.Plans[1].Burst = 2
	w.do(Reconfigure{s})
	if tokens() > 2 {
		t.Errorf("%.1f tokens under a burst of 2", tokens())
	}
	w.do(Reconfigure{singleGateway()})
	if tokens() > 2 {
		t.Errorf("%.1f tokens after the burst was raised again", tokens())
	}
	w.advance(time.Second)
	if w.countAdmitted(1, "rate"); tokens() < 5 {
		t.Errorf("%.1f tokens after a second at 10 units a second", tokens())
	}
}

// Attempts in flight and held requests stay at a reload, and the new cap applies to them.
func TestReconfigureCaps(t *testing.T) {
	s := baseSettings()
	s.Gateways, s.Plans[2].MaxInFlight = 1, 6
	w := newHarness(t, s, testServers(8))
	var sends []Send
	for range 6 {
		_, acts := w.request("safe", "open", "c", 1)
		sends = append(sends, of[Send](acts)...)
	}
	_, acts := w.request("safe", "open", "c", 1)
	if len(sends) != 6 || len(acts) != 0 {
		t.Fatalf("%d in flight, then %v", len(sends), acts)
	}
	s.Plans = slices.Clone(s.Plans)
	s.Plans[2].MaxInFlight = 2 // fewer than are in flight
	w.do(Reconfigure{s})
	for i := range 4 { // until two are in flight
		if acts := w.end(sends[i], 0, OK); len(of[Send](acts)) > 0 {
			t.Fatalf("held request sent with %d in flight under a cap of 2", 5-i)
		}
	}
	if acts := w.end(sends[4], 0, OK); len(of[Send](acts)) != 1 {
		t.Errorf("%v with one attempt in flight", acts)
	}
}

// Requests whose class and plan are removed while they are held, in flight or retried still get exactly one
// answer, by the settings under which they arrived.
func TestRemovedClassAndPlan(t *testing.T) {
	s := baseSettings()
	s.Gateways = 1
	w := newHarness(t, s, testServers(8))
	inFlight := w.send("all", "open")
	retried := w.send("all", "open")
	held, acts := w.request("all", "open", "c", 1)
	if len(acts) != 0 {
		t.Fatalf("%v, want it held", acts)
	}
	reduced := s
	reduced.Classes = []Class{s.Classes[0]}
	reduced.Plans = []Plan{s.Plans[0], s.Plans[1]}
	w.do(Reconfigure{reduced})
	if acts := w.end(retried, 0, Reset); len(of[Send](acts)) != 1 { // keyed, within its window
		t.Fatalf("%v, want a further attempt", acts)
	}
	acts = append(w.end(inFlight, 0, OK), w.advance(time.Second)...)
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
		t.Errorf("%d answers for the held request: %v", answered, acts)
	}
	// The customer moves to the first listed plan that a request names, and keeps it.
	for _, plan := range []string{"rate", "free"} {
		if _, acts := w.request("safe", plan, "c", 1); len(of[Send](acts)) != 1 {
			t.Errorf("%s: %v", plan, acts)
		}
	}
	if c := w.g.customers[customerKey("c")]; c.plan.Name != "rate" {
		t.Errorf("plan %s", c.plan.Name)
	}
}

// A server's health and a class's mean latency are kept by the name of the class.
func TestReconfigureKeepsServerState(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	for i := range w.g.tracked[0].health {
		w.g.tracked[0].health[i].failureAverage = float64(i + 1)
	}
	mean := w.g.classes["once"].meanLatency * 3
	w.g.classes["once"].meanLatency = mean
	s := reorderTables(baseSettings())
	w.do(Reconfigure{s})
	for i, c := range s.Classes {
		want := float64(slices.IndexFunc(baseSettings().Classes,
			func(b Class) bool { return b.Name == c.Name }) + 1)
		if got := w.g.tracked[0].health[i].failureAverage; got != want || w.g.classes[c.Name].index != i {
			t.Errorf("class %s: %v, want %v", c.Name, got, want)
		}
	}
	if w.g.classes["once"].meanLatency != mean {
		t.Error("the mean latency of a class was lost")
	}
}

// State doesn't grow over many reloads that add and remove classes and plans.
func TestReloadsDontGrowState(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(8))
	w.countAdmitted(1, "rate")
	size := func() string {
		g := w.g
		n := 0
		for _, s := range g.tracked {
			n += len(s.fullUntil)
		}
		return fmt.Sprint(len(g.classes), len(g.plans), len(g.tables), len(g.removedClasses),
			len(g.removedPlans), n, len(g.peerTableMarks))
	}
	a, b := baseSettings(), reorderTables(baseSettings())
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

// Invalid settings change nothing.
func TestReconfigureRejectsInvalidSettings(t *testing.T) {
	w := newHarness(t, baseSettings(), testServers(2))
	bad := baseSettings()
	bad.Plans = nil
	if acts := w.do(Reconfigure{bad}); len(of[Log](acts)) != 1 ||
		!reflect.DeepEqual(w.g.settings, baseSettings()) {
		t.Errorf("%v", acts)
	}
}

// FuzzPeerMessages passes arbitrary peer messages, with and without a mark, to a gateway that knows two
// tables.
func FuzzPeerMessages(f *testing.F) {
	f.Add(encode(askMessage{Customer: 7, Spread: 2, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9,
		AskChance: 250, TokenFill: 3}))
	f.Add(encode(tablesMessage{1}))
	f.Add(encode(markedVerdict{1, verdictMessage{Server: 1, OutOfUse: 255, RelativeLatency: 255}}))
	f.Add(encode(markedObservation{1, observation{Server: 1, Class: 255, Code: 255}}))
	s := baseSettings()
	f.Add((&customerTransfer{Mark: newTable(&s).mark, Plan: 1, Spread: 9, Tokens: 3,
		Grants: []transferredGrant{{1, 2, 3, 4}}}).encode())
	f.Add(encode(transferAck{1, 2}))
	f.Add(encode(shutdownMessage{1}))
	f.Add((&report{incarnation: 1, customers: []customerEntry{{hash: 1}}}).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		s := baseSettings()
		s.Gateways = 100
		g, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(1, ServerListUpdate{Servers: testServers(4)}, nil)
		n := reorderTables(s)
		g.Handle(2, Reconfigure{n}, nil)
		for i := range 3 {
			for _, a := range g.Handle(time.Duration(3+i)*time.Second, PeerMessage{From: i, Data: data},
				nil) {
				if message, ok := a.(SendMessage); ok && len(message.Data) > maxMessage {
					t.Fatalf("%d bytes", len(message.Data))
				}
			}
			g.Handle(time.Duration(4+i)*time.Second, Timer{Token: "tick"}, nil)
		}
	})
}

// An ask of an older program has no mark and is still counted. The size of an ask stays the same, so
// that older programs understand it. While two tables are known, the indexes of an unmarked ask count
// only where both agree.
func TestOlderProgramAsks(t *testing.T) {
	s := baseSettings()
	s.Gateways = 100
	w := newHarness(t, s, testServers(4))
	sendAsk := func(plan byte, tag uint32) []SendMessage {
		if _, marked := tagMark(tag); marked {
			t.Fatalf("tag %d is accepted as marked", tag)
		}
		return of[SendMessage](w.do(PeerMessage{From: 9, Data: encode(askMessage{Customer: uint64(tag) << 40,
			Spread: 50, Plan: plan, Units: 1,
			RemainingMS: 2000, Tag: tag, AskChance: 250, TokenFill: unknownTokens})}))
	}
	granted := func(acts []SendMessage) bool {
		if len(acts) != 1 || acts[0].To != 9 {
			return false
		}
		_, ok := decode(acts[0].Data).(answerMessage)
		return ok
	}
	if !granted(sendAsk(1, 5)) {
		t.Error("not answered")
	}
	s.Plans = append(slices.Clone(s.Plans[:2]), Plan{Name: "between", Rate: 1, Burst: 9}, s.Plans[2])
	w.do(Reconfigure{s})
	if !granted(sendAsk(1, 6)) {
		t.Error("not answered where both tables agree")
	}
	for _, plan := range []byte{2, 3, 4} {
		if acts := sendAsk(plan, 7); len(acts) != 0 {
			t.Errorf("plan %d of an unknown table: %v", plan, acts)
		}
	}
	if n := len(encode(askMessage{})); n != 27 {
		t.Errorf("an ask of %d bytes", n)
	}
}

// A root learns its customers' plans from asks alone. A customer whose plan was removed moves to the
// plan of the next ask, with the tokens that are left.
func TestRootAppliesPlanOfAsk(t *testing.T) {
	s := baseSettings()
	s.Gateways = 100
	w := newHarness(t, s, testServers(4))
	sendAsk := func(plan byte, units uint16) *customer {
		w.do(PeerMessage{From: 9, Data: encode(askMessage{Customer: 7, Spread: 50, Plan: plan, Units: units,
			RemainingMS: 2000, Tag: w.g.newTag(w.g.tables[0]), AskChance: 250, TokenFill: unknownTokens})})
		return w.g.customers[7]
	}
	if c := sendAsk(1, 4); c == nil || c.plan.Name != "rate" {
		t.Fatalf("%+v", c)
	}
	tokens := w.g.customers[7].tokens
	s.Plans = []Plan{s.Plans[0], {Name: "other", Rate: 20, Burst: 30}, s.Plans[2]}
	w.do(Reconfigure{s})
	if c := sendAsk(1, 1); c.plan.Name != "other" || c.tokens > tokens {
		t.Errorf("plan %s, %v tokens, before %v", c.plan.Name, c.tokens, tokens)
	}
}
