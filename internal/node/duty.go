package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"valvering.example/valvering/internal/lease"
)

const (
	dutyTerm  = 3 * time.Second // a duty stands empty for about so long after a crash
	dutyDrift = 0.01            // far beyond what clocks of machines do
	dutyQueue = 64              // messages that wait to be handled; more are lost like others on the way
	dutyLeast = time.Millisecond
)

// duties is this edge node's part in the duties that the configuration names. Only
// voters take part in one; the others know of none.
type duties struct {
	clock clock
	tell  func(to int, data []byte)
	in    chan dutyMessage

	mu    sync.Mutex
	names []string
	parts map[string]*lease.Duty
	byID  map[uint32]*lease.Duty
}

type dutyMessage struct {
	from int
	msg  lease.Message
}

// DutyStatus is what an edge node knows of a duty.
type DutyStatus struct {
	Name   string
	Voter  bool   // else nothing is known here
	Token  uint64 // the fencing token, where it is held here; 0: it is not
	Holder int    // the edge node's number, -1: none is known
}

func newDuties(names []string, me, n int, seed uint64, c clock, tell func(int, []byte)) *duties {
	d := &duties{clock: c, tell: tell, in: make(chan dutyMessage, dutyQueue), names: names,
		parts: map[string]*lease.Duty{}, byID: map[uint32]*lease.Duty{}}
	for _, name := range names {
		if voters := lease.Voters(name, n); slices.Contains(voters, me) {
			set := lease.Settings{Name: name, Term: dutyTerm, Drift: dutyDrift}
			part := lease.New(set, me, voters, seed, c.now(), uint64(time.Now().UnixMilli()))
			d.parts[name], d.byID[lease.Digest(name)] = part, part
		}
	}
	return d
}

// hear takes in a datagram if it is one of duties.
func (d *duties) hear(from int, data []byte) bool {
	if len(data) == 0 || data[0] != lease.Version {
		return false
	}
	if m, ok := lease.Decode(data); ok {
		select {
		case d.in <- dutyMessage{from, m}:
		default:
		}
	}
	return true
}

// run takes part until ctx ends.
func (d *duties) run(ctx context.Context) {
	if len(d.parts) == 0 {
		return
	}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.in:
			d.mu.Lock()
			if part := d.byID[m.msg.Duty]; part != nil {
				d.say(part.Handle(d.clock.now(), m.from, m.msg))
			}
			d.mu.Unlock()
		case <-t.C:
		}
		t.Reset(max(dutyLeast, d.tick()-d.clock.now()))
	}
}

// tick does what is due at all duties and tells when the next is.
func (d *duties) tick() (next time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	next = now + dutyTerm
	for _, part := range d.parts {
		out, at := part.Tick(now)
		d.say(out)
		next = min(next, at)
	}
	return next
}

func (d *duties) say(out []lease.Out) {
	for _, o := range out {
		d.tell(o.To, o.Msg.Append(nil))
	}
}

// leave gives up what is held here, so that another may take it at once.
func (d *duties) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range d.parts {
		d.say(part.Leave(d.clock.now()))
	}
}

// status tells of all duties, by the clock as it is now.
func (d *duties) status() (list []DutyStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	for _, name := range d.names {
		s := DutyStatus{Name: name, Holder: -1}
		if part := d.parts[name]; part != nil {
			s.Voter, s.Holder = true, part.Holder(now)
			s.Token, _ = part.Holds(now)
		}
		list = append(list, s)
	}
	return list
}
