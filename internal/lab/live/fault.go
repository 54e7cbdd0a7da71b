package live

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// schedule sets timers for the start and the end of a fault, with the same effects as
// in the simulated engine. The fleet's lock is held.
func (f *fleet) schedule(ctx context.Context, x *world.Fault) {
	zone := x.Zone
	if zone < 0 {
		zone = f.faulty.IntN(f.w.Zones)
	}
	at := func(d time.Duration, do func()) {
		time.AfterFunc(d-f.since(), func() {
			if ctx.Err() == nil {
				do()
			}
		})
	}
	locked := func(do func()) func() {
		return func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			do()
		}
	}
	during := func(on, off func()) {
		at(x.Start.D(), locked(on))
		at(x.End(), locked(off))
	}
	pick := func(n int) []int { return f.faulty.Perm(n)[:max(1, int(x.Part*float64(n)+0.5))] }
	all := slices.Clone(f.lend) // a release appends servers to f.lend
	lend := pick(len(all))
	each := func(do func(l *lender)) func() {
		return func() {
			for _, i := range lend {
				do(all[i])
			}
		}
	}
	switch x.Kind {
	case "crash-wave":
		for _, no := range pick(len(f.nodes)) {
			down := time.Duration((0.2 + 0.8*f.faulty.Float64()) * x.Size * float64(time.Second))
			at(x.Start.D(), func() { f.nodes[no].crash(down) })
		}
	case "roll":
		steps := max(1, int(1/x.Part+0.5))
		for no, n := range f.nodes {
			at(x.Turn(no, len(f.nodes), steps), n.restart)
		}
	case "release":
		steps := max(1, int(x.Size))
		for i, no := range lend {
			l := all[no]
			begin := x.Turn(i, len(lend), steps)
			at(begin, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				fresh, err := f.addLender(l.zone, l.weight)
				if err != nil {
					return // no sockets are left: the old server keeps running
				}
				fresh.booted = time.Now()
				fresh.desk.Start = f.now()
				fresh.changed()
			})
			at(begin+world.DrainAfter, locked(func() {
				l.state = "DRAINING"
				l.changed()
			}))
			at(begin+world.EndAfter, func() {
				l.die()
				f.mu.Lock()
				defer f.mu.Unlock()
				l.state = "DELETED"
				l.changed()
			})
		}
	case "zone-loss":
		at(x.Start.D(), func() {
			for _, l := range all {
				if l.zone == zone {
					l.silence(true)
				}
			}
		})
		at(x.End(), func() {
			for _, l := range all {
				if l.zone == zone {
					l.silence(false)
					l.boot()
				}
			}
		})
	case "zone-cut", "zone-cut-out":
		set := f.cutBoth
		if x.Kind == "zone-cut-out" {
			set = f.cutOut
		}
		at(x.Start.D(), func() { locked(func() { set[zone] = true })(); f.bars() })
		at(x.End(), func() { locked(func() { delete(set, zone) })(); f.bars() })
	case "server-silent":
		at(x.Start.D(), each(func(l *lender) { l.silence(true) }))
		at(x.End(), each(func(l *lender) { l.silence(false) }))
	case "server-slow":
		at(x.Start.D(), each(func(l *lender) { l.retime(x.Size * f.shared) }))
		at(x.End(), each(func(l *lender) { l.retime(f.shared) }))
	case "shared-slow":
		at(x.Start.D(), func() {
			for _, l := range all {
				l.retime(x.Size)
			}
		})
		at(x.End(), func() {
			for _, l := range all {
				l.retime(1)
			}
		})
	case "server-wrong":
		during(each(func(l *lender) { l.wrong = x.Size }), each(func(l *lender) { l.wrong = 0 }))
	case "server-spoilt":
		during(each(func(l *lender) { l.spoilt = x.Size }), each(func(l *lender) { l.spoilt = 0 }))
	case "server-dead":
		at(x.Start.D(), each((*lender).die))
		at(x.End(), each((*lender).boot))
	case "server-replace":
		for i, no := range lend {
			at(x.Turn(i, len(lend), len(lend)), all[no].boot)
		}
	case "cold-bulk":
		at(x.Start.D(), each((*lender).boot))
	case "hot-customer", "burst":
		people := []*customer(nil)
		rate := f.w.Load.Rate * (x.Size - 1)
		if x.Kind == "hot-customer" {
			hot := pick(len(f.people))
			for _, i := range hot {
				people = append(people, f.people[i])
			}
			rate *= f.drawn.Share(hot)
		}
		rng := world.Stream(f.Seed, world.StreamNodes+len(f.nodes))
		at(x.Start.D(), func() {
			f.atRate(ctx, x, rate, rng, func(t time.Duration) {
				c := f.anyone()
				if len(people) > 0 {
					c = people[rng.IntN(len(people))]
				}
				f.ask(c, t)
			})
		})
	case "peers-deaf":
		nodes := pick(len(f.nodes))
		during(func() {
			for _, no := range nodes {
				f.deaf[no] = true
			}
		}, func() {
			for _, no := range nodes {
				delete(f.deaf, no)
			}
		})
	case "peers-lossy":
		during(func() { f.loss += x.Size }, func() { f.loss -= x.Size })
	case "answers-lost":
		during(func() { f.lost += x.Size }, func() { f.lost -= x.Size })
	case "resets":
		during(func() { f.reset += x.Size }, func() { f.reset -= x.Size })
	case "discovery-down":
		at(x.Start.D(), locked(func() { f.listDown = f.begun.Add(x.End()) }))
	case "discovery-late":
		late := time.Duration(x.Size * float64(time.Second))
		during(func() { f.listLate += late }, func() { f.listLate -= late })
	case "rude-clients":
		at(x.Start.D(), func() { f.rude(ctx, x) })
	case "eager-clients":
		during(func() { f.eager *= x.Size }, func() { f.eager /= x.Size })
	}
}

// atRate calls do at the times of a Poisson process with the given rate per second,
// for the duration of a fault.
func (f *fleet) atRate(ctx context.Context, x *world.Fault, rate float64, rng *rand.Rand, do func(at time.Duration)) {
	for t := x.Start.D(); t < x.End() && ctx.Err() == nil && rate > 0; {
		t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(t - f.since())
		do(t)
	}
}

// silence makes a server unreachable, or reachable again. Connections that were open
// are reset when the server comes back.
func (l *lender) silence(on bool) {
	f := l.f
	f.mu.Lock()
	if l.silent = on; !on {
		for k := range l.conns {
			reset(k.Conn)
		}
	}
	f.mu.Unlock()
	f.bars()
}

// bars blocks each listener whose edge node and server can't reach one another, and
// unblocks the others.
func (f *fleet) bars() {
	type change struct {
		d    *door
		shut bool
	}
	var list []change
	f.mu.Lock()
	for _, l := range f.lend {
		for _, d := range l.doors {
			list = append(list, change{d, l.silent || !f.passes(d.n.zone, l.zone) || !f.passes(l.zone, d.n.zone)})
		}
	}
	f.mu.Unlock()
	for _, c := range list {
		c.d.bar(c.shut)
	}
}
