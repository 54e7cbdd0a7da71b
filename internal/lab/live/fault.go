package live

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// scheduleFault sets timers for the start and the end of a fault, with the same effects
// as in the simulated engine. The fleet's lock is held.
func (f *fleet) scheduleFault(ctx context.Context, fault *world.Fault) {
	zone := fault.Zone
	if zone < 0 {
		zone = f.faultRand.IntN(f.world.Zones)
	}
	at := func(d time.Duration, do func()) {
		time.AfterFunc(d-f.elapsed(), func() {
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
	during := func(start, stop func()) {
		at(fault.Start.D(), locked(start))
		at(fault.End(), locked(stop))
	}
	drawIndexes := func(n int) []int { return f.faultRand.Perm(n)[:max(1, int(fault.Part*float64(n)+0.5))] }
	servers := slices.Clone(f.servers) // a release appends to f.servers
	picked := drawIndexes(len(servers))
	forPicked := func(do func(l *server)) func() {
		return func() {
			for _, i := range picked {
				do(servers[i])
			}
		}
	}
	switch fault.Kind {
	case "crash-wave":
		for _, index := range drawIndexes(len(f.nodes)) {
			down := time.Duration((0.2 + 0.8*f.faultRand.Float64()) * fault.Size * float64(time.Second))
			at(fault.Start.D(), func() { f.nodes[index].crash(down) })
		}
	case "roll":
		steps := max(1, int(1/fault.Part+0.5))
		for index, n := range f.nodes {
			at(fault.StepTime(index, len(f.nodes), steps), n.restart)
		}
	case "release":
		steps := max(1, int(fault.Size))
		for i, index := range picked {
			l := servers[index]
			begin := fault.StepTime(i, len(picked), steps)
			at(begin, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				replacement, err := f.addServer(l.zone, l.weight)
				if err != nil {
					return // no sockets are left: the old server keeps running
				}
				replacement.bootTime = time.Now()
				replacement.processor.Start = f.now()
				replacement.publishChange()
			})
			at(begin+world.DrainAfter, locked(func() {
				l.state = "DRAINING"
				l.publishChange()
			}))
			at(begin+world.EndAfter, func() {
				l.crash()
				f.mu.Lock()
				defer f.mu.Unlock()
				l.state = "DELETED"
				l.publishChange()
			})
		}
	case "zone-loss":
		at(fault.Start.D(), func() {
			for _, l := range servers {
				if l.zone == zone {
					l.setUnresponsive(true)
				}
			}
		})
		at(fault.End(), func() {
			for _, l := range servers {
				if l.zone == zone {
					l.setUnresponsive(false)
					l.restart()
				}
			}
		})
	case "zone-cut", "zone-cut-out":
		cutZones := f.cutBoth
		if fault.Kind == "zone-cut-out" {
			cutZones = f.cutOut
		}
		at(fault.Start.D(), func() { locked(func() { cutZones[zone] = true })(); f.updateBlocked() })
		at(fault.End(), func() { locked(func() { delete(cutZones, zone) })(); f.updateBlocked() })
	case "server-silent":
		at(fault.Start.D(), forPicked(func(l *server) { l.setUnresponsive(true) }))
		at(fault.End(), forPicked(func(l *server) { l.setUnresponsive(false) }))
	case "server-slow":
		at(fault.Start.D(), forPicked(func(l *server) { l.setSlowdown(fault.Size * f.sharedSlowdown) }))
		at(fault.End(), forPicked(func(l *server) { l.setSlowdown(f.sharedSlowdown) }))
	case "shared-slow":
		at(fault.Start.D(), func() {
			for _, l := range servers {
				l.setSlowdown(fault.Size)
			}
		})
		at(fault.End(), func() {
			for _, l := range servers {
				l.setSlowdown(1)
			}
		})
	case "server-wrong":
		during(forPicked(func(l *server) { l.errorRate = fault.Size }),
			forPicked(func(l *server) { l.errorRate = 0 }))
	case "server-spoilt":
		during(forPicked(func(l *server) { l.corruptRate = fault.Size }),
			forPicked(func(l *server) { l.corruptRate = 0 }))
	case "server-dead":
		at(fault.Start.D(), forPicked((*server).crash))
		at(fault.End(), forPicked((*server).restart))
	case "server-replace":
		for i, index := range picked {
			at(fault.StepTime(i, len(picked), len(picked)), servers[index].restart)
		}
	case "cold-bulk":
		at(fault.Start.D(), forPicked((*server).restart))
	case "hot-customer", "burst":
		customers := []*customer(nil)
		rate := f.world.Load.Rate * (fault.Size - 1)
		if fault.Kind == "hot-customer" {
			hot := drawIndexes(len(f.customers))
			for _, i := range hot {
				customers = append(customers, f.customers[i])
			}
			rate *= f.population.Share(hot)
		}
		rng := world.Stream(f.Seed, world.StreamNodes+len(f.nodes))
		at(fault.Start.D(), func() {
			f.runAtRate(ctx, fault, rate, rng, func(t time.Duration) {
				c := f.drawCustomer()
				if len(customers) > 0 {
					c = customers[rng.IntN(len(customers))]
				}
				f.startRequest(c, t)
			})
		})
	case "peers-deaf":
		nodes := drawIndexes(len(f.nodes))
		during(func() {
			for _, index := range nodes {
				f.receivesNone[index] = true
			}
		}, func() {
			for _, index := range nodes {
				delete(f.receivesNone, index)
			}
		})
	case "peers-lossy":
		during(func() { f.datagramLoss += fault.Size }, func() { f.datagramLoss -= fault.Size })
	case "answers-lost":
		during(func() { f.answerLoss += fault.Size }, func() { f.answerLoss -= fault.Size })
	case "resets":
		during(func() { f.resetRate += fault.Size }, func() { f.resetRate -= fault.Size })
	case "discovery-down":
		at(fault.Start.D(), locked(func() { f.discoveryDownUntil = f.startTime.Add(fault.End()) }))
	case "discovery-late":
		delay := time.Duration(fault.Size * float64(time.Second))
		during(func() { f.discoveryDelay += delay }, func() { f.discoveryDelay -= delay })
	case "rude-clients":
		at(fault.Start.D(), func() { f.runRudeClients(ctx, fault) })
	case "eager-clients":
		during(func() { f.eagerness *= fault.Size }, func() { f.eagerness /= fault.Size })
	}
}

// runAtRate calls do at the times of a Poisson process with the given rate per second,
// for the duration of a fault.
func (f *fleet) runAtRate(ctx context.Context, fault *world.Fault, rate float64, rng *rand.Rand,
	do func(at time.Duration)) {
	for t := fault.Start.D(); t < fault.End() && ctx.Err() == nil && rate > 0; {
		t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(t - f.elapsed())
		do(t)
	}
}

// setUnresponsive makes a server unreachable, or reachable again. Connections that were
// open are reset when the server comes back.
func (l *server) setUnresponsive(on bool) {
	f := l.fleet
	f.mu.Lock()
	if l.unresponsive = on; !on {
		for k := range l.conns {
			reset(k.Conn)
		}
	}
	f.mu.Unlock()
	f.updateBlocked()
}

// updateBlocked blocks each endpoint whose edge node and server can't reach one another,
// and unblocks the others.
func (f *fleet) updateBlocked() {
	type change struct {
		endpoint *endpoint
		blocked  bool
	}
	var changes []change
	f.mu.Lock()
	for _, l := range f.servers {
		for _, d := range l.endpoints {
			changes = append(changes, change{d, l.unresponsive || !f.reachable(d.node.zone, l.zone) ||
				!f.reachable(l.zone, d.node.zone)})
		}
	}
	f.mu.Unlock()
	for _, c := range changes {
		c.endpoint.setBlocked(c.blocked)
	}
}
