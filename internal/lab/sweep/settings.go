package sweep

import (
	"fmt"
	"time"

	"valvering.example/valvering/policy"
)

// The plans by what they limit.
const (
	planFree  = "free" // neither
	planRate  = "rate" // units a second
	planOpen  = "cap"  // attempts out at once
	planBoth  = "both"
	planWide  = "wide"  // a rate that takes several roots
	planTight = "tight" // a rate with a small burst
)

const class = "read"

// tightRate is the rate of a tenant on the tight plan, in units a second.
const tightRate = 6.0

// Figures of the fleet that the plan of the users leaves open: docs/CAPACITY.md names them
// as assumptions.
const (
	datagramsPerSecond = 100 // that an edge node takes in
	zones              = 18
	serversPerCell     = 4
	latency            = 30 * time.Millisecond
	epoch              = time.Hour // when a sweep begins, by the module's clock
)

// settings are those of one edge node of a fleet.
func settings(me, nodes int) policy.Settings {
	return policy.Settings{Self: me, Gateways: nodes, Zone: zone(me), Resolution: 2 * time.Millisecond, MaxAttempts: 6,
		CanCancel: true, CanSendMessages: true, DatagramsPerSecond: datagramsPerSecond, MaxUnits: 3, MaxRetryAfter: time.Second,
		Classes: []policy.Class{
			{Name: class, LatencyTarget: 300 * time.Millisecond, Deadline: time.Second},
			{Name: "lend", LatencyTarget: 1200 * time.Millisecond, Deadline: 5 * time.Second, Effect: policy.Keyed, Window: 5 * time.Second},
			{Name: "renew", LatencyTarget: 1500 * time.Millisecond, Deadline: 6 * time.Second, Effect: policy.Unsafe},
		},
		Plans: []policy.Plan{
			{Name: planFree},
			{Name: planRate, Rate: 6, Burst: 240},
			{Name: planOpen, MaxInFlight: 4},
			{Name: planBoth, Rate: 6, Burst: 240, MaxInFlight: 4},
			{Name: planWide, Rate: 200, Burst: 400},
			{Name: planTight, Rate: tightRate, Burst: 12},
		},
		AnswerSlack: 8 * time.Millisecond, MinWarmUpFraction: 0.2, WarmUpTime: 12 * time.Second, OverloadMultiple: 3, OverloadTime: 1500 * time.Millisecond}
}

func zone(i int) string { return fmt.Sprintf("zone-%02d", i%zones) }

// serverList is a list of warm servers.
func serverList(n int) []policy.Server {
	list := make([]policy.Server, n)
	for i := range list {
		list[i] = policy.Server{ID: policy.ServerID(i + 1), Zone: zone(i), Cell: i / serversPerCell, State: policy.Running,
			HasStart: true, Start: time.Second, Weight: 1}
	}
	return list
}

// newGateway makes an edge node's module that has been told a list.
func newGateway(me, nodes int, list []policy.Server) (*policy.Gateway, error) {
	g, err := policy.New(settings(me, nodes), uint64(me)+1)
	if err != nil {
		return nil, err
	}
	g.Handle(epoch, policy.ServerListUpdate{Kind: policy.FullList, Servers: list}, nil)
	return g, nil
}

// tenantName is a name that differs from others in its first characters too: names that
// differ in their last ones alone share roots, which is measured by itself.
func tenantName(i int) string { return fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15) }

// numberedName is one of names that differ in their last characters alone.
func numberedName(i int) string { return fmt.Sprintf("library-%06d", i) }
