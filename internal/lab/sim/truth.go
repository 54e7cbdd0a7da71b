package sim

import "valvering.example/valvering/policy"

// Truth gives access to the true state of a run, for ideal baselines that modules are compared with.
type Truth struct{ s *Sim }

// Server returns the load of a server relative to its capacity, and whether it serves requests.
func (t *Truth) Server(id policy.ServerID) (load float64, serves bool) {
	v := t.s.byID[id]
	if v == nil || v.dead || v.silent || v.state != policy.Running {
		return 0, false
	}
	working, waiting := v.desk.Load()
	return float64(working+waiting+1) * (1 + 10*(v.wrong+v.spoilt)) / v.desk.Capacity(), true
}

// Room reports whether a request fits within the customer's quota and cap.
func (t *Truth) Room(key string, units float64) bool {
	for _, c := range t.s.customers {
		if c.key == key {
			return c.account.Room(units, t.s.now)
		}
	}
	return true
}
