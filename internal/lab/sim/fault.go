package sim

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// scheduleFault schedules the start and the end of a fault.
func (s *Sim) scheduleFault(f *world.Fault) {
	zone := f.Zone
	if zone < 0 {
		zone = s.faultRand.IntN(s.world.Zones)
	}
	begin, end := epoch+f.Start.D(), epoch+f.End()
	atStartAndEnd := func(start, stop func()) {
		s.at(begin, start)
		s.at(end, stop)
	}
	// Draw the affected servers now, so that one fault does not change the draw of another.
	servers := s.drawIndexes(len(s.servers), f.Part)
	forEachServer := func(do func(v *server)) func() {
		return func() {
			for _, i := range servers {
				do(s.servers[i])
			}
		}
	}
	switch f.Kind {
	case "crash-wave":
		nodes := s.drawIndexes(len(s.nodes), f.Part)
		restartAfter := make([]time.Duration, len(nodes))
		for i := range restartAfter {
			restartAfter[i] = time.Duration((0.2 + 0.8*s.faultRand.Float64()) * f.Size * float64(time.Second))
		}
		s.at(begin, func() {
			for i, index := range nodes {
				s.nodes[index].crash(restartAfter[i])
			}
		})
	case "roll":
		steps := max(1, int(1/f.Part+0.5))
		for index, n := range s.nodes {
			s.at(epoch+f.StepTime(index, len(s.nodes), steps), n.beginShutdown)
		}
	case "release":
		steps := max(1, int(f.Size))
		for i, index := range servers {
			srv, at := s.servers[index], epoch+f.StepTime(i, len(servers), steps)
			s.at(at, func() { // the new server is listed before the old one begins to drain
				replacement := s.addServer(srv.zone, srv.weight)
				replacement.processor.Start = s.now
				s.publishChange(replacement)
			})
			s.at(at+world.DrainAfter, func() {
				srv.state = policy.Draining
				s.publishChange(srv)
			})
			s.at(at+world.EndAfter, func() {
				srv.state = policy.Removed
				srv.crash()
				s.publishChange(srv)
			})
		}
	case "zone-loss":
		atStartAndEnd(func() {
			for _, v := range s.servers {
				if v.zone == zone {
					v.unresponsive = true
				}
			}
		}, func() {
			for _, v := range s.servers {
				if v.zone == zone && v.unresponsive {
					v.restart()
				}
			}
		})
	case "zone-cut":
		atStartAndEnd(func() { s.cutBoth[zone] = true }, func() { delete(s.cutBoth, zone) })
	case "zone-cut-out":
		atStartAndEnd(func() { s.cutOut[zone] = true }, func() { delete(s.cutOut, zone) })
	case "server-silent":
		atStartAndEnd(forEachServer(func(v *server) { v.unresponsive = true }),
			forEachServer(func(v *server) { v.unresponsive = false }))
	case "server-slow":
		atStartAndEnd(forEachServer(func(v *server) { v.setSlowdown(v.slowdown * f.Size) }),
			forEachServer(func(v *server) { v.setSlowdown(v.slowdown / f.Size) }))
	case "server-wrong":
		atStartAndEnd(forEachServer(func(v *server) { v.errorRate = f.Size }),
			forEachServer(func(v *server) { v.errorRate = 0 }))
	case "server-spoilt":
		atStartAndEnd(forEachServer(func(v *server) { v.corruptRate = f.Size }),
			forEachServer(func(v *server) { v.corruptRate = 0 }))
	case "server-dead":
		atStartAndEnd(forEachServer((*server).crash), forEachServer((*server).restart))
	case "server-replace":
		for i, index := range servers {
			s.at(epoch+f.StepTime(i, len(servers), len(servers)), s.servers[index].restart)
		}
	case "cold-bulk":
		s.at(begin, forEachServer((*server).restart))
	case "shared-slow":
		atStartAndEnd(func() { s.scaleSharedSlowdown(f.Size) }, func() { s.scaleSharedSlowdown(1 / f.Size) })
	case "hot-customer":
		hot := s.drawIndexes(len(s.customers), f.Part)
		s.addLoad(begin, end, s.world.Load.Rate*s.population.Share(hot)*(f.Size-1),
			func() *customer { return s.customers[hot[s.clientRand.IntN(len(hot))]] })
	case "burst":
		s.addLoad(begin, end, s.world.Load.Rate*(f.Size-1), s.drawCustomer)
	case "peers-deaf":
		nodes := s.drawIndexes(len(s.nodes), f.Part)
		atStartAndEnd(func() {
			for _, index := range nodes {
				s.receivesNone[index] = true
			}
		}, func() {
			for _, index := range nodes {
				delete(s.receivesNone, index)
			}
		})
	case "peers-lossy":
		atStartAndEnd(func() { s.datagramLoss += f.Size }, func() { s.datagramLoss -= f.Size })
	case "answers-lost":
		atStartAndEnd(func() { s.answerLoss += f.Size }, func() { s.answerLoss -= f.Size })
	case "resets":
		atStartAndEnd(func() { s.resetRate += f.Size }, func() { s.resetRate -= f.Size })
	case "discovery-down":
		s.at(begin, func() { s.discoveryDownUntil = max(s.discoveryDownUntil, end) })
	case "discovery-late":
		delay := time.Duration(f.Size * float64(time.Second))
		atStartAndEnd(func() { s.discoveryDelay += delay }, func() { s.discoveryDelay -= delay })
	case "rude-clients": // unreadable requests never reach the module
	case "eager-clients":
		atStartAndEnd(func() { s.eagerness *= f.Size }, func() { s.eagerness /= f.Size })
	}
}

// drawIndexes draws a fraction of n indexes, at least one, in random order.
func (s *Sim) drawIndexes(n int, fraction float64) []int {
	return s.faultRand.Perm(n)[:max(1, int(fraction*float64(n)+0.5))]
}

// scaleSharedSlowdown changes the slowdown that all servers share by a factor.
func (s *Sim) scaleSharedSlowdown(factor float64) {
	s.sharedSlowdown *= factor
	for _, v := range s.servers {
		v.setSlowdown(v.slowdown)
	}
}

// addLoad adds Poisson arrivals at a given rate between begin and end.
func (s *Sim) addLoad(begin, end time.Duration, rate float64, pickCustomer func() *customer) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.now < end {
			s.startRequest(pickCustomer())
			s.after(exponential(s.clientRand, time.Duration(float64(time.Second)/rate)), next)
		}
	}
	s.at(begin, next)
}
