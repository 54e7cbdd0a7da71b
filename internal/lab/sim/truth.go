package sim

import "valvering.example/valvering/policy"

// Truth is the true state, for a policy that no real one can be: it is what a module
// is measured against.
type Truth struct{ s *Sim }

// Server tells how much is at hand at a server, against its capacity, and whether it
// serves.
func (t *Truth) Server(id policy.ServerID) (load float64, serves bool) {
	v := t.s.byID[id]
	if v == nil || v.dead || v.silent || v.state != policy.Running {
		return 0, false
	}
	working, waiting := v.desk.Load()
	return float64(working+waiting+1) * (1 + 10*(v.wrong+v.spoilt)) / v.desk.Capacity(), true
}

// Room tells whether a customer's request fits under its quota and cap.
func (t *Truth) Room(key string, units float64) bool {
	for _, c := range t.s.customers {
		if c.key == key {
			return c.account.Room(units, t.s.now)
		}
	}
	return true
}
