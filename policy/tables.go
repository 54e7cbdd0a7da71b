package policy

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Numbers in messages. A class or plan is identified by its index in the sender's
// settings. While a fleet is being reconfigured the indexes differ, and a number must
// not be read by the wrong table. So each table has a mark, and numbers of another
// table are translated by name or, where that table is not known, ignored.
//
// An ask always includes its table's mark, in the upper bits of its tag. The root
// does not interpret the tag and returns it as it was, so older programs lose nothing.
// The other messages include a mark once this gateway has met a second table;
// older programs ignore these. A number without a mark counts only where all
// tables known here agree on it.

// table is the classes and plans of one generation of the settings, by index.
type table struct {
	mark    uint16 // hash of the names and their order
	classes []string
	plans   []string
}

// A tag consists of check bits that tell it from an older program's tag, the mark's lowest
// bits, and a counter. The counter does not wrap round while a client waits, since a gateway
// gets at most some hundreds of answers a second.
const (
	countBits, checkBits = 14, 8
	markMask             = 1<<(32-countBits-checkBits) - 1
)

// tablesMessage tells a peer, whose table is not known here, which one this gateway uses.
type tablesMessage struct{ Mark uint16 }

// markedObservation and markedVerdict name the table that numbers their classes.
type markedObservation struct {
	Mark        uint16
	Observation observation
}

type markedVerdict struct {
	Mark    uint16
	Verdict verdictMessage
}

func newTable(s *Settings) *table {
	t, h := &table{}, fnv.New32a()
	for i := range s.Classes {
		t.classes = append(t.classes, s.Classes[i].Name)
		h.Write(append([]byte(s.Classes[i].Name), 0))
	}
	h.Write([]byte{0})
	for i := range s.Plans {
		t.plans = append(t.plans, s.Plans[i].Name)
		h.Write(append([]byte(s.Plans[i].Name), 0))
	}
	sum := h.Sum32()
	t.mark = uint16(sum>>16) ^ uint16(sum)
	return t
}

// newTag returns a tag for a request, with the mark of table t. The check bits cover the counter
// too, so that an older program's successive tags don't all pass the check.
func (g *Gateway) newTag(t *table) uint32 {
	g.nextTag++
	body := uint32(t.mark)<<countBits&(1<<(32-checkBits)-1) | g.nextTag&(1<<countBits-1)
	return body | tagCheck(body)<<(32-checkBits)
}

func tagCheck(body uint32) uint32 { return (body + 1) * 0x9e3779b1 >> (32 - checkBits) }

// tagMark returns the mark's lowest bits from a tag, if it holds a mark.
func tagMark(tag uint32) (mark uint16, ok bool) {
	body := tag & (1<<(32-checkBits) - 1)
	return uint16(body >> countBits), tagCheck(body) == tag>>(32-checkBits)
}

// tableByMark finds a table by its mark's lowest bits; nil: not known.
func (g *Gateway) tableByMark(mark uint16) *table {
	for _, t := range g.tables {
		if (t.mark^mark)&markMask == 0 {
			return t
		}
	}
	return nil
}

// tableFor returns the table for asking a gateway: the newest, unless that gateway uses
// another one or a name is missing from the newest. It is nil where the gateway would
// understand none.
func (g *Gateway) tableFor(num int, r *request) *table {
	t := g.tables[0]
	if !g.mixedTables {
		return t
	}
	list := g.tables
	if mark, known := g.peerTableMarks[num]; known {
		list = list[max(0, slices.Index(list, g.tableByMark(mark))):] // it knows no newer one
		if g.tableByMark(mark) == nil {
			return nil
		}
	}
	for _, t := range list {
		if slices.Contains(t.plans, r.customer.plan.Name) && slices.Contains(t.classes, r.class.Name) {
			return t
		}
	}
	return nil
}

// resolveAsk returns the plan and class that a gateway asks for. They are nil if they can't be
// determined; a gateway whose table is not known is sent the mark of the newest table here.
func (g *Gateway) resolveAsk(from int, m *askMessage) (*quota, *class) {
	if g.shuttingDown {
		return nil, nil // another gateway sums these counts now
	}
	mark, marked := tagMark(m.Tag)
	t := g.tables[0]
	if marked {
		if t = g.tableByMark(mark); t == nil {
			g.sendTableMark(from)
			return nil, nil
		}
		if g.mixedTables {
			g.peerTableMarks[from] = mark
		}
	}
	if int(m.Plan) >= len(t.plans) || int(m.Class) >= len(t.classes) ||
		!marked && (!g.sameInAllTables(m.Plan, func(t *table) []string { return t.plans }) ||
			!g.sameInAllTables(m.Class, func(t *table) []string { return t.classes })) {
		return nil, nil
	}
	plan, cl := g.plans[t.plans[m.Plan]], g.classes[t.classes[m.Class]]
	if plan == nil {
		plan = g.removedPlans[t.plans[m.Plan]]
	}
	if cl == nil {
		cl = g.removedClasses[t.classes[m.Class]]
	}
	if plan == nil {
		return nil, nil
	}
	if c := g.customers[m.Customer]; c != nil && g.mixedTables {
		g.changePlan(c, plan)
	}
	return plan, cl
}

// sendTableMark sends the mark of the newest table, at most once a tick, to a gateway that
// uses a table not known here.
func (g *Gateway) sendTableMark(to int) {
	if !slices.Contains(g.hintedPeers, to) {
		g.hintedPeers = append(g.hintedPeers, to)
		g.emit(SendMessage{To: to, Data: encode(tablesMessage{g.tables[0].mark})})
	}
}

// noteMixedTables records that more than one table is in use. This is never reset, since
// nothing shows that the last gateway has changed its table.
func (g *Gateway) noteMixedTables() {
	if !g.mixedTables {
		g.mixedTables, g.peerTableMarks = true, map[int]uint16{}
	}
}

// onTablesMessage records the table that a gateway uses. If that is new, the gateway is sent
// the mark of the table here, so that neither gateway reads numbers by the wrong table.
func (g *Gateway) onTablesMessage(from int, m tablesMessage) {
	if m.Mark == g.tables[0].mark && !g.mixedTables {
		return
	}
	g.noteMixedTables()
	if was, known := g.peerTableMarks[from]; !known || was != m.Mark&markMask {
		g.peerTableMarks[from] = m.Mark & markMask
		g.sendTableMark(from)
	}
}

// sameInAllTables reports whether a number without a mark means the same in all tables.
func (g *Gateway) sameInAllTables(index byte, names func(*table) []string) bool {
	first := names(g.tables[0])
	for _, t := range g.tables[1:] {
		if list := names(t); int(index) >= len(first) || int(index) >= len(list) ||
			list[index] != first[index] {
			return false
		}
	}
	return int(index) < len(first)
}

// withMark returns a message as it is sent: with a mark once tables are mixed.
func (g *Gateway) withMark(m any) any {
	if !g.mixedTables {
		return m
	}
	switch m := m.(type) {
	case observation:
		return markedObservation{g.tables[0].mark, m}
	case verdictMessage:
		return markedVerdict{g.tables[0].mark, m}
	}
	return m
}

// localClass returns the index here of a class that a message numbers by a marked table, or
// by none; -1: not known.
func (g *Gateway) localClass(index byte, marked bool, mark uint16) int {
	if !marked {
		if g.sameInAllTables(index, func(t *table) []string { return t.classes }) {
			return int(index)
		}
		return -1
	}
	t := g.tableByMark(mark)
	if t == nil || int(index) >= len(t.classes) {
		return -1
	}
	if cl := g.classes[t.classes[index]]; cl != nil {
		return cl.index
	}
	return -1
}

// localClassMask translates a mask of classes to the indexes here.
func (g *Gateway) localClassMask(mask byte, marked bool, mark uint16) (here byte) {
	for i := range 8 {
		if at := g.localClass(byte(i), marked, mark); mask>>i&1 == 1 && at >= 0 {
			here |= 1 << at
		}
	}
	return here
}

// reconfigure applies new settings. State is kept by name. A pending request keeps the
// class that it has, and a customer whose plan is removed keeps that plan until a request
// names another.
func (g *Gateway) reconfigure(s Settings) {
	if err := s.check(); err != nil {
		g.emit(Log{Text: "new settings rejected: " + err.Error()})
		return
	}
	for _, c := range g.customerList {
		g.advance(c) // the old settings apply up to now
	}
	oldPlans := make(map[*quota]Plan, len(g.plans))
	for _, q := range g.plans {
		oldPlans[q] = q.Plan
	}
	s.MaxCustomers = g.settings.MaxCustomers
	g.settings = s
	removedClasses, removedPlans := g.replaceClasses(s.Classes), g.replacePlans(s.Plans)
	if t := newTable(&s); !slices.Equal(t.classes, g.tables[0].classes) ||
		!slices.Equal(t.plans, g.tables[0].plans) {
		g.tables, g.removedClasses, g.removedPlans = []*table{t, g.tables[0]}, removedClasses, removedPlans
		g.noteMixedTables()
	}
	for _, c := range g.customerList {
		if old, known := oldPlans[c.plan]; known {
			g.applyPlanChange(c, old)
		}
	}
}

// changePlan moves a customer whose plan was removed to the plan that it names now.
func (g *Gateway) changePlan(c *customer, plan *quota) {
	if plan != nil && g.plans[c.plan.Name] != c.plan {
		g.advance(c)
		old := c.plan.Plan
		c.plan = plan
		g.applyPlanChange(c, old)
	}
}

// replaceClasses makes the classes of new settings. A class whose settings changed becomes
// a new one, so that pending requests keep the old settings. It returns the removed classes.
func (g *Gateway) replaceClasses(list []Class) (old map[string]*class) {
	old = g.classes
	g.classes, g.minTarget = map[string]*class{}, math.Inf(1)
	oldIndexes := make([]int, len(list)) // in the old settings; -1: new
	for i, c := range list {
		oldIndexes[i] = -1
		cl := old[c.Name]
		if cl == nil {
			cl = &class{Class: c, meanLatency: c.LatencyTarget.Seconds() / initialLatencyDivisor}
		} else if oldIndexes[i] = cl.index; cl.Class != c {
			cl = &class{Class: c, meanLatency: cl.meanLatency, outcomes: cl.outcomes}
		}
		g.classes[c.Name] = cl
		g.minTarget = min(g.minTarget, c.LatencyTarget.Seconds())
	}
	for _, cl := range old {
		cl.index = -1
	}
	for i, c := range list {
		g.classes[c.Name].index = i
		if cl := old[c.Name]; cl != nil {
			cl.index = i
			delete(old, c.Name)
		}
	}
	for _, srv := range g.tracked {
		health := make([]classHealth, len(list))
		for i, at := range oldIndexes {
			if at >= 0 {
				health[i] = srv.health[at]
			}
		}
		srv.health = health
	}
	return old
}

// replacePlans changes the settings of the plans in place, so that they apply to attempts
// in flight and held requests too. It returns the removed plans.
func (g *Gateway) replacePlans(list []Plan) (old map[string]*quota) {
	old = g.plans
	g.plans = map[string]*quota{}
	for i, p := range list {
		q := old[p.Name]
		if q == nil {
			q = &quota{admittedShare: 1}
		}
		q.Plan, q.index = p, byte(i)
		g.plans[p.Name] = q
		delete(old, p.Name)
	}
	for _, s := range g.tracked {
		for q := range s.fullUntil {
			if g.plans[q.Name] != q {
				delete(s.fullUntil, q)
			}
		}
	}
	return old
}

// onObservation adds an outcome that another gateway observed at a server monitored here.
func (g *Gateway) onObservation(m observation, class int) {
	s := g.trackForPeer(ServerID(m.Server))
	if s != nil && slices.Contains(s.monitors[:], g.settings.Self) && class >= 0 {
		g.observeOutcome(s, class, Code(m.Code), time.Duration(m.Latency)*time.Millisecond)
	}
}
