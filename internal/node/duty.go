package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"valvering.example/valvering/internal/lease"
)

const (
	dutyTerm         = 3 * time.Second  // of a lease; about how long a duty lacks a holder after a crash
	dutyClockDrift   = 0.01             // far above the clock drift of real machines
	dutyQueueLength  = 64               // messages waiting to be handled; more are dropped
	minDutyTickDelay = time.Millisecond // between two ticks
)

// duties manages the leases of the duties that the configuration names. An edge node takes
// part in a duty only if it is one of its voters.
type duties struct {
	clock    clock
	send     func(to int, data []byte)
	incoming chan dutyMessage

	mu     sync.Mutex
	names  []string
	byName map[string]*lease.Duty
	byID   map[uint32]*lease.Duty // by the digest of the name
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

func newDuties(names []string, me, n int, seed uint64, c clock, send func(int, []byte)) *duties {
	d := &duties{clock: c, send: send, incoming: make(chan dutyMessage, dutyQueueLength), names: names,
		byName: map[string]*lease.Duty{}, byID: map[uint32]*lease.Duty{}}
	for _, name := range names {
		if voters := lease.Voters(name, n); slices.Contains(voters, me) {
			settings := lease.Settings{Name: name, Term: dutyTerm, Drift: dutyClockDrift}
			duty := lease.New(settings, me, voters, seed, c.now(), uint64(time.Now().UnixMilli()))
			d.byName[name], d.byID[lease.Digest(name)] = duty, duty
		}
	}
	return d
}

// receive queues a message of the lease protocol. It returns false if the datagram is of another kind.
func (d *duties) receive(from int, data []byte) bool {
	if len(data) == 0 || data[0] != lease.Version {
		return false
	}
	if m, ok := lease.Decode(data); ok {
		select {
		case d.incoming <- dutyMessage{from, m}:
		default:
		}
	}
	return true
}

// run handles messages and timers until ctx is done.
func (d *duties) run(ctx context.Context) {
	if len(d.byName) == 0 {
		return
	}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.incoming:
			d.mu.Lock()
			if duty := d.byID[m.msg.Duty]; duty != nil {
				d.sendAll(duty.Handle(d.clock.now(), m.from, m.msg))
			}
			d.mu.Unlock()
		case <-t.C:
		}
		t.Reset(max(minDutyTickDelay, d.tick()-d.clock.now()))
	}
}

// tick runs the due actions of all duties and returns when to call it next.
func (d *duties) tick() (next time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	next = now + dutyTerm
	for _, duty := range d.byName {
		out, due := duty.Tick(now)
		d.sendAll(out)
		next = min(next, due)
	}
	return next
}

// sendAll sends messages to other edge nodes.
func (d *duties) sendAll(out []lease.Outgoing) {
	for _, o := range out {
		d.send(o.To, o.Msg.Append(nil))
	}
}

// releaseAll releases the duties held here, so that another edge node can acquire them at once.
func (d *duties) releaseAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, duty := range d.byName {
		d.sendAll(duty.Resign(d.clock.now()))
	}
}

// status returns the current state of all configured duties.
func (d *duties) status() (list []DutyStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now()
	for _, name := range d.names {
		s := DutyStatus{Name: name, Holder: -1}
		if duty := d.byName[name]; duty != nil {
			s.Voter, s.Holder = true, duty.Holder(now)
			s.Token, _ = duty.Holds(now)
		}
		list = append(list, s)
	}
	return list
}
