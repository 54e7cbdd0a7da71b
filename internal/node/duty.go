package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"valvering.example/valvering/internal/lease"
)

const (
	dutyTerm  = 3 * time.Second  // of a lease; a duty has no holder for about this long after a crash
	dutyDrift = 0.01             // far above the clock drift of real machines
	dutyQueue = 64               // messages waiting to be handled; more are dropped, as the network may do
	dutyLeast = time.Millisecond // between two ticks
)

// duties manages the leases of the duties that the configuration names. An edge node takes
// part in a duty only if it is one of its voters.
type duties struct {
	clock clock
	tell  func(to int, data []byte)
	in    chan dutyMessage

	mu    sync.Mutex
	names []string
	parts map[string]*lease.Duty // by name
	byID  map[uint32]*lease.Duty // by the digest of the name
}

// dutyMessage is a received message and the number of the edge node that sent it.
type dutyMessage struct {
	from int
	msg  lease.Message
}

// DutyStatus is the state of a duty as an edge node sees it.
type DutyStatus struct {
	Name   string
	Voter  bool   // whether this edge node is a voter; others don't know the state of the duty
	Token  uint64 // the fencing token if this edge node holds the duty, otherwise 0
	Holder int    // number of the edge node that holds the duty; -1: unknown or none
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

// hear queues a message of the lease protocol. It returns false if the datagram is of another kind.
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

// run handles messages and timers until ctx is done.
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

// tick runs the due actions of all duties and returns when to call it next.
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

// say sends messages to other edge nodes.
func (d *duties) say(out []lease.Out) {
	for _, o := range out {
		d.tell(o.To, o.Msg.Append(nil))
	}
}

// leave releases the duties held here, so that another edge node can acquire them at once.
func (d *duties) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range d.parts {
		d.say(part.Leave(d.clock.now()))
	}
}

// status returns the current state of all configured duties.
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
