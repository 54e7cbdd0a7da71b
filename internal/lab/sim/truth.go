package sim

import "valvering.example/valvering/policy"

// Truth gives access to the true state of a run, for ideal baselines that modules are compared with.
type Truth struct{ sim *Sim }

// Server returns the load that a server would have with one more request, relative to its capacity and
// raised by the rate of its errors and corrupt answers. serves is false if it serves no requests.
func (t *Truth) Server(id policy.ServerID) (load float64, serves bool) {
	v := t.sim.byID[id]
	if v == nil || v.crashed || v.unresponsive || v.state != policy.Running {
		return 0, false
	}
	working, waiting := v.processor.Load()
	return float64(working+waiting+1) * (1 + 10*(v.errorRate+v.corruptRate)) / v.processor.Capacity(), true
}

// HasRoom reports whether a request fits within the customer's quota and cap.
func (t *Truth) HasRoom(key string, units float64) bool {
	for _, c := range t.sim.customers {
		if c.key == key {
			return c.account.HasRoom(units, t.sim.now)
		}
	}
	return true
}
