package sim

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// schedule schedules the start and the end of a fault.
func (s *Sim) schedule(f *world.Fault) {
	zone := f.Zone
	if zone < 0 {
		zone = s.faults.IntN(s.w.Zones)
	}
	begin, end := epoch+f.Start.D(), epoch+f.End()
	during := func(on, off func()) {
		s.at(begin, on)
		s.at(end, off)
	}
	// Draw the affected servers now, so that one fault does not change the draw of another.
	servers := s.pick(len(s.servers), f.Part)
	each := func(do func(v *server)) func() {
		return func() {
			for _, i := range servers {
				do(s.servers[i])
			}
		}
	}
	switch f.Kind {
	case "crash-wave":
		nodes := s.pick(len(s.nodes), f.Part)
		back := make([]time.Duration, len(nodes))
		for i := range back {
			back[i] = time.Duration((0.2 + 0.8*s.faults.Float64()) * f.Size * float64(time.Second))
		}
		s.at(begin, func() {
			for i, no := range nodes {
				s.nodes[no].crash(back[i])
			}
		})
	case "roll":
		steps := max(1, int(1/f.Part+0.5))
		for no, n := range s.nodes {
			s.at(epoch+f.Turn(no, len(s.nodes), steps), n.stop)
		}
	case "release":
		steps := max(1, int(f.Size))
		for i, no := range servers {
			srv, at := s.servers[no], epoch+f.Turn(i, len(servers), steps)
			s.at(at, func() { // the new server is listed before the old one begins to drain
				fresh := s.addServer(srv.zone, srv.weight)
				fresh.desk.Start = s.now
				s.changed(fresh)
			})
			s.at(at+world.DrainAfter, func() {
				srv.state = policy.Draining
				s.changed(srv)
			})
			s.at(at+world.EndAfter, func() {
				srv.state = policy.Removed
				srv.die()
				s.changed(srv)
			})
		}
	case "zone-loss":
		during(func() {
			for _, v := range s.servers {
				if v.zone == zone {
					v.silent = true
				}
			}
		}, func() {
			for _, v := range s.servers {
				if v.zone == zone && v.silent {
					v.boot()
				}
			}
		})
	case "zone-cut":
		during(func() { s.cutBoth[zone] = true }, func() { delete(s.cutBoth, zone) })
	case "zone-cut-out":
		during(func() { s.cutOut[zone] = true }, func() { delete(s.cutOut, zone) })
	case "server-silent":
		during(each(func(v *server) { v.silent = true }), each(func(v *server) { v.silent = false }))
	case "server-slow":
		during(each(func(v *server) { v.retime(v.slow * f.Size) }), each(func(v *server) { v.retime(v.slow / f.Size) }))
	case "server-wrong":
		during(each(func(v *server) { v.wrong = f.Size }), each(func(v *server) { v.wrong = 0 }))
	case "server-spoilt":
		during(each(func(v *server) { v.spoilt = f.Size }), each(func(v *server) { v.spoilt = 0 }))
	case "server-dead":
		during(each((*server).die), each((*server).boot))
	case "server-replace":
		for i, no := range servers {
			s.at(epoch+f.Turn(i, len(servers), len(servers)), s.servers[no].boot)
		}
	case "cold-bulk":
		s.at(begin, each((*server).boot))
	case "shared-slow":
		during(func() { s.shareSlow(f.Size) }, func() { s.shareSlow(1 / f.Size) })
	case "hot-customer":
		hot := s.pick(len(s.customers), f.Part)
		s.extra(begin, end, s.w.Load.Rate*s.drawn.Share(hot)*(f.Size-1), func() *customer { return s.customers[hot[s.clients.IntN(len(hot))]] })
	case "burst":
		s.extra(begin, end, s.w.Load.Rate*(f.Size-1), s.anyone)
	case "peers-deaf":
		nodes := s.pick(len(s.nodes), f.Part)
		during(func() {
			for _, no := range nodes {
				s.deaf[no] = true
			}
		}, func() {
			for _, no := range nodes {
				delete(s.deaf, no)
			}
		})
	case "peers-lossy":
		during(func() { s.loss += f.Size }, func() { s.loss -= f.Size })
	case "answers-lost":
		during(func() { s.lost += f.Size }, func() { s.lost -= f.Size })
	case "resets":
		during(func() { s.reset += f.Size }, func() { s.reset -= f.Size })
	case "discovery-down":
		s.at(begin, func() { s.down = max(s.down, end) })
	case "discovery-late":
		late := time.Duration(f.Size * float64(time.Second))
		during(func() { s.late += late }, func() { s.late -= late })
	case "rude-clients": // unreadable requests never reach the module
	case "eager-clients":
		during(func() { s.eager *= f.Size }, func() { s.eager /= f.Size })
	}
}

// pick draws a fraction of n indexes, at least one, in random order.
func (s *Sim) pick(n int, part float64) []int {
	return s.faults.Perm(n)[:max(1, int(part*float64(n)+0.5))]
}

// shareSlow changes the slowdown that all servers share by a factor.
func (s *Sim) shareSlow(by float64) {
	s.shared *= by
	for _, v := range s.servers {
		v.retime(v.slow)
	}
}

// extra adds Poisson arrivals at a given rate between begin and end.
func (s *Sim) extra(begin, end time.Duration, rate float64, who func() *customer) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.now < end {
			s.ask(who())
			s.after(draw(s.clients, time.Duration(float64(time.Second)/rate)), next)
		}
	}
	s.at(begin, next)
}
