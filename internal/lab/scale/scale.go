// Package scale measures edge nodes that are configured for a large fleet of which only a part
// exists on this machine. A real edge node is a process of the edge node's program. Hollow edge
// nodes share the lab's process. They run the decisions of package policy, exchange datagrams with
// their peers over UDP sockets and fetch discovery's list over HTTP, but have no client or server
// sockets: their requests are generated, and a model of a server ends them. Datagrams to edge nodes
// that don't exist go to sink sockets and are counted. All sockets use the loopback interface.
// Times are durations or have their unit in their name, rates are per second, and memory is in MB
// of 1<<20 bytes.
package scale

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Limits of a configuration.
const (
	maxNodes     = 1 << 15 // limit of peers in an edge node's configuration
	maxServers   = 90_000  // their list fits into an edge node's configuration file
	maxTenants   = 10_000_000
	maxRate      = 10_000
	maxProcesses = 50 // including the lab
	minDuration  = time.Second
	maxDuration  = time.Hour
)

// zones is the number of zones of the planned fleet.
const zones = 18

// Config configures a run.
type Config struct {
	Nodes   int           // edge nodes in the configuration of each
	Servers int           // servers on discovery's list
	Tenants int           // of the whole fleet
	Rate    float64       // requests a second to each edge node
	Real    int           // processes of the edge node's program
	Hollow  int           // edge nodes inside this process
	For     time.Duration // of the load
	Seed    uint64        // of all random numbers
	Program string        // path of the edge node's program
	Step    func(phase string)
}

// Problem is an error in a field of a configuration.
type Problem struct{ Field, What string }

func (p Problem) Error() string { return p.Field + ": " + p.What }

// Check returns the first Problem of the configuration, or nil. Its fields have the names of the
// command's flags.
func (c *Config) Check() error {
	checkRange := func(field string, v, low, high int) error {
		if v < low || v > high {
			return Problem{field, fmt.Sprintf("%d is not from %d to %d", v, low, high)}
		}
		return nil
	}
	for _, err := range []error{
		checkRange("nodes", c.Nodes, 1, maxNodes),
		checkRange("servers", c.Servers, 1, maxServers),
		checkRange("tenants", c.Tenants, 1, maxTenants),
		checkRange("real", c.Real, 0, maxNodes),
		checkRange("hollow", c.Hollow, 0, maxNodes),
	} {
		if err != nil {
			return err
		}
	}
	switch {
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return Problem{"rate", fmt.Sprintf("%g is not above 0 and up to %d", c.Rate, maxRate)}
	case c.For < minDuration || c.For > maxDuration:
		return Problem{"for", fmt.Sprintf("%v is not from %v to %v", c.For, minDuration, maxDuration)}
	case c.Real+1 > maxProcesses:
		return Problem{"real", fmt.Sprintf("%d edge nodes and the lab are %d processes, %d at most", c.Real,
			c.Real+1, maxProcesses)}
	case c.Real+c.Hollow < 1:
		return Problem{"hollow", "there is no edge node, real or hollow"}
	case c.Real+c.Hollow > c.Nodes:
		return Problem{"hollow", fmt.Sprintf("%d real and %d hollow edge nodes are more than the %d of --nodes", c.Real, c.Hollow, c.Nodes)}
	}
	return c.checkDescriptors()
}

// existing returns the number of edge nodes that exist. They are numbered from 0.
func (c *Config) existing() int { return c.Real + c.Hollow }

// firstReal returns the number of the first real edge node. Real edge nodes have the middle
// numbers, so that the sets of their tenants extend to both sides.
func (c *Config) firstReal() int { return c.Hollow / 2 }

func (c *Config) isReal(no int) bool { return no >= c.firstReal() && no < c.firstReal()+c.Real }

// Durations and counts of a run.
const (
	readyTimeout       = 60 * time.Second
	settleTime         = 500 * time.Millisecond
	maxRest            = 10 * time.Second
	minRest            = time.Second
	listTimeout        = 10 * time.Second // for all edge nodes to apply a change
	lineChangeCount    = 8                // number of changes of one line
	lineChangeInterval = 250 * time.Millisecond
	floodDuration      = 2 * time.Second
	floodRate          = 1000.0 // datagrams a second to each real edge node
	gcPercent          = 50     // garbage collection target of the lab
)

func (c *Config) restDuration() time.Duration { return max(minRest, min(maxRest, c.For/2)) }

// Run runs the measurement. If ctx ends early, the result holds what was measured until then. The
// error is a Problem for a configuration that can't be run.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	f, err := newFleet(c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	if err := f.runPhases(ctx); err != nil {
		return nil, err
	}
	return f.result(), nil
}

// newFleet returns a fleet without open sockets and checks that it fits into the machine's memory.
func newFleet(c Config) (*fleet, error) {
	f := &fleet{Config: c, world: plannedWorld(&c), list: drawList(&c, nil)}
	need, err := f.memoryNeed()
	if err != nil {
		return nil, err
	}
	if err := need.check(&c); err != nil {
		return nil, err
	}
	f.need = need
	f.dir, err = os.MkdirTemp("", "valverlab-scale-")
	return f, err
}

// plannedWorld returns the platform as all edge nodes are configured for it. Classes, rules and
// network are the lab's defaults. The quotas of the plans are scaled so that the tenants' demand is
// about their quota.
func plannedWorld(c *Config) *world.World {
	w := world.Default(c.Nodes, c.Servers)
	w.Zones = min(zones, max(1, c.Nodes))
	w.Load.Customers = c.Tenants
	w.Load.Spread = min(8, max(2, c.Nodes/2))
	w.Load.Rate = c.Rate * float64(c.Nodes)
	demand, partSum := 0.0, 0.0
	for _, p := range w.Plans {
		demand, partSum = demand+p.Part*w.Demand(p), partSum+p.Part
	}
	scale := w.Load.Rate / float64(c.Tenants) / (demand / partSum)
	for i := range w.Plans {
		p := &w.Plans[i]
		p.Rate *= scale
		p.Store = max(float64(2*w.Load.Units), p.Store*scale)
		if p.Parallel > 0 {
			p.Parallel = max(1, int(float64(p.Parallel)*scale+0.5))
		}
	}
	return w
}
