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
	during := func(start, stop func()) {
		s.at(begin, start)
		s.at(end, stop)
	}
	// Draw the affected servers now, so that one fault does not change the draw of another.
	servers := s.drawIndexes(len(s.servers), f.Part)
	each := func(do func(v *server)) func() {
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
			for i, no := range nodes {
				s.nodes[no].crash(restartAfter[i])
			}
		})
	case "roll":
		steps := max(1, int(1/f.Part+0.5))
		for no, n := range s.nodes {
			s.at(epoch+f.Turn(no, len(s.nodes), steps), n.beginShutdown)
		}
	case "release":
		steps := max(1, int(f.Size))
		for i, no := range servers {
			srv, at := s.servers[no], epoch+f.Turn(i, len(servers), steps)
			s.at(at, func() { // the new server is listed before the old one begins to drain
				fresh := s.addServer(srv.zone, srv.weight)
				fresh.desk.Start = s.now
				s.publishChange(fresh)
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
		during(func() {
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
		during(func() { s.cutBoth[zone] = true }, func() { delete(s.cutBoth, zone) })
	case "zone-cut-out":
		during(func() { s.cutOut[zone] = true }, func() { delete(s.cutOut, zone) })
	case "server-silent":
		during(each(func(v *server) { v.unresponsive = true }), each(func(v *server) { v.unresponsive = false }))
	case "server-slow":
		during(each(func(v *server) { v.setSlowdown(v.slowdown * f.Size) }), each(func(v *server) { v.setSlowdown(v.slowdown / f.Size) }))
	case "server-wrong":
		during(each(func(v *server) { v.errorRate = f.Size }), each(func(v *server) { v.errorRate = 0 }))
	case "server-spoilt":
		during(each(func(v *server) { v.corruptRate = f.Size }), each(func(v *server) { v.corruptRate = 0 }))
	case "server-dead":
		during(each((*server).crash), each((*server).restart))
	case "server-replace":
		for i, no := range servers {
			s.at(epoch+f.Turn(i, len(servers), len(servers)), s.servers[no].restart)
		}
	case "cold-bulk":
		s.at(begin, each((*server).restart))
	case "shared-slow":
		during(func() { s.scaleSharedSlowdown(f.Size) }, func() { s.scaleSharedSlowdown(1 / f.Size) })
	case "hot-customer":
		hot := s.drawIndexes(len(s.customers), f.Part)
		s.addLoad(begin, end, s.world.Load.Rate*s.population.Share(hot)*(f.Size-1), func() *customer { return s.customers[hot[s.clientRand.IntN(len(hot))]] })
	case "burst":
		s.addLoad(begin, end, s.world.Load.Rate*(f.Size-1), s.drawCustomer)
	case "peers-deaf":
		nodes := s.drawIndexes(len(s.nodes), f.Part)
		during(func() {
			for _, no := range nodes {
				s.receivesNone[no] = true
			}
		}, func() {
			for _, no := range nodes {
				delete(s.receivesNone, no)
			}
		})
	case "peers-lossy":
		during(func() { s.datagramLoss += f.Size }, func() { s.datagramLoss -= f.Size })
	case "answers-lost":
		during(func() { s.answerLoss += f.Size }, func() { s.answerLoss -= f.Size })
	case "resets":
		during(func() { s.resetRate += f.Size }, func() { s.resetRate -= f.Size })
	case "discovery-down":
		s.at(begin, func() { s.discoveryDownUntil = max(s.discoveryDownUntil, end) })
	case "discovery-late":
		late := time.Duration(f.Size * float64(time.Second))
		during(func() { s.discoveryDelay += late }, func() { s.discoveryDelay -= late })
	case "rude-clients": // unreadable requests never reach the module
	case "eager-clients":
		during(func() { s.eagerness *= f.Size }, func() { s.eagerness /= f.Size })
	}
}

// drawIndexes draws a fraction of n indexes, at least one, in random order.
func (s *Sim) drawIndexes(n int, part float64) []int {
	return s.faultRand.Perm(n)[:max(1, int(part*float64(n)+0.5))]
}

// scaleSharedSlowdown changes the slowdown that all servers share by a factor.
func (s *Sim) scaleSharedSlowdown(factor float64) {
	s.sharedSlowdown *= factor
	for _, v := range s.servers {
		v.setSlowdown(v.slowdown)
	}
}

// addLoad adds Poisson arrivals at a given rate between begin and end.
func (s *Sim) addLoad(begin, end time.Duration, rate float64, customerOf func() *customer) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.now < end {
			s.startRequest(customerOf())
			s.after(exponential(s.clientRand, time.Duration(float64(time.Second)/rate)), next)
		}
	}
	s.at(begin, next)
}
