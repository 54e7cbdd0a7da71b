package sweep

import (
	"fmt"
	"time"

	"valvering.example/valvering/policy"
)

// The plans, by their limits.
const (
	planFree  = "free" // none
	planRate  = "rate" // units a second
	planCap   = "cap"  // attempts in flight
	planBoth  = "both"
	planWide  = "wide"  // a rate that needs several roots
	planTight = "tight" // a rate with a small burst
)

const className = "read"

// tightRate is the rate of a tenant on the tight plan, in units a second.
const tightRate = 6.0

// Assumptions about the planned fleet, listed in docs/CAPACITY.md.
const (
	datagramsPerSecond = 100 // datagram budget of an edge node's receiver
	zones              = 18
	serversPerCell     = 4
	latency            = 30 * time.Millisecond
	startTime          = time.Hour // start of a sweep on the module's clock
)

// settings returns the settings of one edge node of a fleet.
func settings(me, nodes int) policy.Settings {
	return policy.Settings{Self: me, Gateways: nodes, Zone: zoneName(me), Resolution: 2 * time.Millisecond,
		MaxAttempts: 6, CanCancel: true, CanSendMessages: true, DatagramsPerSecond: datagramsPerSecond,
		MaxUnits: 3, MaxRetryAfter: time.Second,
		Classes: []policy.Class{
			{Name: className, LatencyTarget: 300 * time.Millisecond, Deadline: time.Second},
			{Name: "lend", LatencyTarget: 1200 * time.Millisecond, Deadline: 5 * time.Second,
				Effect: policy.Keyed, Window: 5 * time.Second},
			{Name: "renew", LatencyTarget: 1500 * time.Millisecond, Deadline: 6 * time.Second,
				Effect: policy.Unsafe},
		},
		Plans: []policy.Plan{
			{Name: planFree},
			{Name: planRate, Rate: 6, Burst: 240},
			{Name: planCap, MaxInFlight: 4},
			{Name: planBoth, Rate: 6, Burst: 240, MaxInFlight: 4},
			{Name: planWide, Rate: 200, Burst: 400},
			{Name: planTight, Rate: tightRate, Burst: 12},
		},
		AnswerSlack: 8 * time.Millisecond, MinWarmUpFraction: 0.2, WarmUpTime: 12 * time.Second,
		OverloadMultiple: 3, OverloadTime: 1500 * time.Millisecond}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// serverList returns a list of servers that are past their slow start.
func serverList(n int) []policy.Server {
	list := make([]policy.Server, n)
	for i := range list {
		list[i] = policy.Server{ID: policy.ServerID(i + 1), Zone: zoneName(i), Cell: i / serversPerCell,
			State: policy.Running, HasStart: true, Start: time.Second, Weight: 1}
	}
	return list
}

// newGateway returns the policy module of an edge node that has received a list of servers.
func newGateway(me, nodes int, list []policy.Server) (*policy.Gateway, error) {
	g, err := policy.New(settings(me, nodes), uint64(me)+1)
	if err != nil {
		return nil, err
	}
	g.Handle(startTime, policy.ServerListUpdate{Kind: policy.FullList, Servers: list}, nil)
	return g, nil
}

// tenantName returns a name that differs from the others also in its first characters. Names that
// differ only in their last characters share roots, which is a separate measure.
func tenantName(i int) string { return fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15) }

// numberedName returns a name that differs from the others only in its last characters.
func numberedName(i int) string { return fmt.Sprintf("library-%06d", i) }
