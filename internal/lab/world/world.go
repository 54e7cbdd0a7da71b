// Package world describes the platform that the lab emulates: customers and their plans, classes of
// request, edge nodes, servers, the network between them, discovery, and faults. A World is plain data.
// Both engines run it from a seed, and either can run a World that passes Check. Times are durations,
// rates are per second, and shares lie between 0 and 1.
package world

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"valvering.example/valvering/policy"
)

// Duration is a duration in a description, written in Go's format: "250ms".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalText parses Go's format, such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as 250ms or 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// World is one emulated platform.
type World struct {
	Nodes   int      `toml:"nodes" json:"nodes"`
	Servers int      `toml:"servers" json:"servers"`
	Zones   int      `toml:"zones" json:"zones"`
	For     Duration `toml:"for" json:"for"`
	Warm    Duration `toml:"warm" json:"warm"` // initial time that is left out of the results

	Load    Load    `toml:"load" json:"load"`
	Client  Client  `toml:"client" json:"client"`
	Classes []Class `toml:"class" json:"class"`
	Plans   []Plan  `toml:"plan" json:"plan"`
	Server  Server  `toml:"server" json:"server"`
	Net     Net     `toml:"net" json:"net"`
	Disc    Disc    `toml:"discovery" json:"discovery"`
	Rules   Rules   `toml:"rules" json:"rules"`
	Charges Charges `toml:"charges" json:"charges"`
	Faults  []Fault `toml:"fault" json:"fault"`
}

// Load is the load that clients generate.
type Load struct {
	Rate      float64  `toml:"rate" json:"rate"`     // first tries per second over all edge nodes
	Shape     string   `toml:"shape" json:"shape"`   // poisson, steady, wave, burst, trace
	Swing     float64  `toml:"swing" json:"swing"`   // amplitude of a wave or burst as a fraction of the rate
	Period    Duration `toml:"period" json:"period"` // of a wave, or between the starts of two bursts
	Trace     string   `toml:"trace" json:"trace"`   // file of arrival times in seconds, one per line
	Customers int      `toml:"customers" json:"customers"`
	Spread    int      `toml:"spread" json:"spread"` // mean number of edge nodes in a customer's set
	Skew      float64  `toml:"skew" json:"skew"`     // half the log-normal spread of demand; 0: by plan alone
	Uneven    float64  `toml:"uneven" json:"uneven"` // log-normal spread of edge nodes' shares of the traffic
	Units     int      `toml:"units" json:"units"`   // maximum units of one request
}

// Client describes the behaviour of clients.
type Client struct {
	Tries   int      `toml:"tries" json:"tries"`     // maximum, including the first
	Backoff Duration `toml:"backoff" json:"backoff"` // mean wait before a retry without Retry-After
	Heed    float64  `toml:"heed" json:"heed"`       // share of retries that observe Retry-After
	Leave   float64  `toml:"leave" json:"leave"`     // share of requests that the client abandons early
	Notice  Duration `toml:"notice" json:"notice"`   // delay until the front-end detects a crash
}

// Class is a class of request.
type Class struct {
	Name     string   `toml:"name" json:"name"`
	Part     float64  `toml:"part" json:"part"` // share of the requests
	Aim      Duration `toml:"aim" json:"aim"`
	Deadline Duration `toml:"deadline" json:"deadline"`
	Effect   string   `toml:"effect" json:"effect"` // repeatable, by_key, once
	Group    string   `toml:"group" json:"group"`   // all, zone, cell
	Window   Duration `toml:"window" json:"window"`
	Value    float64  `toml:"value" json:"value"`
	Late     float64  `toml:"late" json:"late"` // share of the value if served after the aim
	Work     Duration `toml:"work" json:"work"` // mean processing time on an idle core
}

// Plan is a plan with its quotas for each customer.
type Plan struct {
	Name     string  `toml:"name" json:"name"`
	Part     float64 `toml:"part" json:"part"` // share of the customers
	Rate     float64 `toml:"rate" json:"rate"`
	Store    float64 `toml:"store" json:"store"`
	Parallel int     `toml:"parallel" json:"parallel"`
	HardRate float64 `toml:"hard_rate" json:"hard_rate"`
	HardSize float64 `toml:"hard_store" json:"hard_store"`
	Price    float64 `toml:"price" json:"price"`
	Earns    float64 `toml:"beyond_earns" json:"beyond_earns"`
	Costs    float64 `toml:"beyond_costs" json:"beyond_costs"`
	Asks     float64 `toml:"asks" json:"asks"` // demand as a multiple of the quota, on average
}

// Server describes the servers; each one is drawn from it.
type Server struct {
	Load        float64  `toml:"load" json:"load"`     // offered work relative to the capacity of all servers
	Slots       int      `toml:"slots" json:"slots"`   // maximum requests processed at once
	Queue       int      `toml:"queue" json:"queue"`   // maximum requests waiting
	Spread      float64  `toml:"spread" json:"spread"` // log-normal spread of the work per request
	Thrash      float64  `toml:"thrash" json:"thrash"` // relative slowdown per request beyond the cores
	Connections int      `toml:"connections" json:"connections"`
	Handshake   Duration `toml:"handshake" json:"handshake"` // work per new connection
	Idle        Duration `toml:"idle" json:"idle"`           // time until an idle connection is closed
	ColdShare   float64  `toml:"cold_share" json:"cold_share"`
	Warm        Duration `toml:"warm" json:"warm"` // time until a cold server reaches its full capacity
	Unequal     float64  `toml:"unequal" json:"unequal"`
}

// Net is the network.
type Net struct {
	Near      Duration `toml:"near" json:"near"` // one way, inside a zone
	Far       Duration `toml:"far" json:"far"`   // one way, between zones
	Peer      Duration `toml:"peer" json:"peer"` // minimum latency of a datagram
	PeerMore  Duration `toml:"peer_more" json:"peer_more"`
	Loss      float64  `toml:"loss" json:"loss"`
	Duplicate float64  `toml:"duplicate" json:"duplicate"`
	Mail      float64  `toml:"mail" json:"mail"` // datagrams per second that an edge node can receive
	Dial      Duration `toml:"dial" json:"dial"` // connect timeout
}

// Disc is discovery.
type Disc struct {
	Watch bool     `toml:"watch" json:"watch"` // edge nodes call for lists; otherwise they are pushed
	Late  Duration `toml:"late" json:"late"`   // mean delay until an edge node receives a change
	Calls float64  `toml:"calls" json:"calls"` // calls per second that it can serve; 0: unlimited
}

// Rules holds the limits of the rules and the tolerances of the lab's checks.
type Rules struct {
	Tick      Duration `toml:"tick" json:"tick"`
	Attempts  int      `toml:"attempts" json:"attempts"`
	Slack     Duration `toml:"slack" json:"slack"` // allowed delay of an answer after the deadline
	Grace     Duration `toml:"grace" json:"grace"` // time in which a draining server may still get attempts
	Fall      float64  `toml:"fall" json:"fall"`   // a cold server crashes at this multiple of its capacity
	FallFor   Duration `toml:"fall_for" json:"fall_for"`
	Retry     Duration `toml:"retry" json:"retry"`   // maximum Retry-After that clients observe
	Beyond    float64  `toml:"beyond" json:"beyond"` // maximum share of first attempts beyond quota or cap
	Tolerance float64  `toml:"tolerance" json:"tolerance"`
}

// Charges holds the weights of the deductions from the result, as on the platform.
type Charges struct {
	Waste     float64 `toml:"waste" json:"waste"`
	LateFail  float64 `toml:"late_fail" json:"late_fail"`
	Handshake float64 `toml:"handshake" json:"handshake"`
	Peer      float64 `toml:"peer" json:"peer"`
	HeldBack  float64 `toml:"held_back" json:"held_back"`
	Rude      float64 `toml:"rude" json:"rude"` // per share of unreadable clients without error or close
}

// Default returns a fleet with the given numbers of edge nodes and servers and the platform's usual
// settings.
func Default(nodes, servers int) *World {
	ms := func(n float64) Duration { return Duration(n * float64(time.Millisecond)) }
	w := &World{Nodes: nodes, Servers: servers, Zones: 3, For: Duration(30 * time.Second), Warm: ms(2000),
		Load: Load{Rate: 40 * float64(nodes) / 3, Shape: "poisson", Swing: 0.5, Period: Duration(10 * time.Second),
			Spread: 4, Skew: 0.3, Uneven: 0.4, Units: 3},
		Client: Client{Tries: 4, Backoff: ms(200), Heed: 0.7, Notice: ms(2000)},
		Classes: []Class{
			{Name: "katalog", Part: 0.55, Aim: ms(300), Deadline: ms(1000), Effect: "repeatable", Value: 1, Work: ms(18)},
			{Name: "pinjam", Part: 0.30, Aim: ms(1200), Deadline: ms(5000), Effect: "by_key", Group: "all", Window: ms(5000), Value: 5, Work: ms(50)},
			{Name: "perpanjang", Part: 0.15, Aim: ms(1500), Deadline: ms(6000), Effect: "once", Value: 2, Late: 0.2, Work: ms(40)},
		},
		Plans: []Plan{
			{Name: "dasar", Part: 0.45, Rate: 1.5, Store: 8, Price: 0.5, Costs: 0.8, Asks: 1.0},
			{Name: "madya", Part: 0.30, Rate: 3.3, Store: 13, Price: 0.72, Costs: 0.8, Asks: 1.0},
			{Name: "utama", Part: 0.15, Parallel: 2, Price: 1.2, Costs: 1.2, Asks: 1.0},
			{Name: "penuh", Part: 0.10, Rate: 18, Store: 37, Price: 1.4, Earns: 0.1, Asks: 0.7},
		},
		Server: Server{Load: 0.65, Slots: 8, Queue: 24, Spread: 0.5, Thrash: 0.01, Handshake: ms(2), Idle: Duration(15 * time.Second),
			ColdShare: 0.21, Warm: Duration(12 * time.Second), Unequal: 0.15},
		Net:     Net{Near: ms(0.5), Far: ms(2), Peer: ms(6), PeerMore: ms(8), Loss: 0.01, Mail: 100, Dial: ms(250)},
		Disc:    Disc{Late: ms(50)},
		Rules:   Rules{Tick: ms(2), Attempts: 6, Slack: ms(8), Grace: ms(2000), Fall: 3, FallFor: ms(1500), Retry: ms(1000), Beyond: 0.25},
		Charges: Charges{Waste: 0.16, LateFail: 0.069, Handshake: 0.02, Peer: 0.023, HeldBack: 0.3, Rude: 0.3},
	}
	w.SetRate(w.Load.Rate)
	w.Load.Spread = min(max(2, nodes/2), 8)
	w.Server.Connections = max(16, 4*nodes*20/max(1, servers)/2)
	return w
}

// SetRate sets the rate of first tries and the number of customers that generates it.
func (w *World) SetRate(rate float64) {
	w.Load.Rate = rate
	w.Load.Customers = max(10, int(rate/w.meanDemand()))
}

// meanDemand returns the mean demand of a customer in first tries per second.
func (w *World) meanDemand() float64 {
	sum, parts := 0.0, 0.0
	for _, p := range w.Plans {
		sum, parts = sum+p.Part*w.Demand(p), parts+p.Part
	}
	return sum / max(parts, 1e-9)
}

// Demand returns the demand of a customer on a plan in first tries per second, before it is scaled to the
// load's rate.
func (w *World) Demand(p Plan) float64 {
	units := float64(1+max(1, w.Load.Units)) / 2
	if p.Rate > 0 {
		return p.Asks * p.Rate / units
	}
	// A plan with a cap alone: the demand that would use a fraction of the cap.
	return p.Asks * 0.5 * float64(max(1, p.Parallel)) / max(w.MeanWork()*3, 0.01) / 4
}

// MeanWork returns the mean work of a request in core-seconds.
func (w *World) MeanWork() float64 {
	sum, parts := 0.0, 0.0
	for _, c := range w.Classes {
		sum, parts = sum+c.Part*c.Work.D().Seconds(), parts+c.Part
	}
	return sum / max(parts, 1e-9)
}

// Cores returns the capacity of one server in cores, such that the offered load is Server.Load times the
// capacity of all servers.
func (w *World) Cores() float64 {
	return w.Load.Rate * w.MeanWork() / (w.Server.Load * float64(max(1, w.Servers)))
}

// ZoneOf assigns edge nodes and servers to the zones in turn.
func (w *World) ZoneOf(i int) int { return i % max(1, w.Zones) }

// ZoneName returns a zone's name on the wire.
func ZoneName(z int) string { return "zone-" + string(rune('a'+z)) }

var effects = map[string]policy.Effect{"repeatable": policy.Safe, "by_key": policy.Keyed, "once": policy.Unsafe}
var groups = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell}

// Kind returns the effect of a repeated request of the class and the group of servers that recognize the
// repeat.
func (c *Class) Kind() (policy.Effect, policy.Group) { return effects[c.Effect], groups[c.Group] }

// Upper limits of a description. Larger runs would take too long or need too much memory.
const (
	MaxNodes     = 3000
	MaxServers   = 2000
	maxZones     = 16
	maxDuration  = 2 * time.Hour
	maxRate      = 200_000
	maxCustomers = 1_000_000
)

// Problem is one error in a description: the field and what is wrong.
type Problem struct{ Field, What string }

func (p Problem) Error() string { return p.Field + ": " + p.What }

// Check returns all errors of the description, each with its field.
func (w *World) Check() (list []Problem) {
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			list = append(list, Problem{field, fmt.Sprintf(format, args...)})
		}
	}
	share := func(v float64, field string) { require(v >= 0 && v <= 1, field, "%g is not from 0 to 1", v) }
	positive := func(v float64, field string) {
		require(v > 0 && !math.IsInf(v, 0), field, "%g is not above 0", v)
	}
	duration := func(d Duration, field string, minimum time.Duration) {
		require(d.D() >= minimum && d.D() <= maxDuration, field, "%v is not from %v to %v", d.D(), minimum,
			maxDuration)
	}
	require(w.Nodes >= 1 && w.Nodes <= MaxNodes, "nodes", "%d is not from 1 to %d", w.Nodes, MaxNodes)
	require(w.Servers >= 1 && w.Servers <= MaxServers, "servers", "%d is not from 1 to %d", w.Servers,
		MaxServers)
	require(w.Zones >= 1 && w.Zones <= maxZones, "zones", "%d is not from 1 to %d", w.Zones, maxZones)
	duration(w.For, "for", 100*time.Millisecond)
	require(w.Warm >= 0 && w.Warm < w.For, "warm", "%v is not from 0 to below for", w.Warm.D())
	require(w.Load.Rate > 0 && w.Load.Rate <= maxRate, "load.rate", "%g is not above 0 and up to %d",
		w.Load.Rate, maxRate)
	require(slices.Contains(shapes, w.Load.Shape), "load.shape", "%q is not one of %s", w.Load.Shape,
		strings.Join(shapes, ", "))
	require(w.Load.Shape != "trace" || w.Load.Trace != "", "load.trace", "empty, but the shape is trace")
	share(w.Load.Swing, "load.swing")
	duration(w.Load.Period, "load.period", time.Millisecond)
	require(w.Load.Customers >= 1 && w.Load.Customers <= maxCustomers, "load.customers",
		"%d is not from 1 to %d", w.Load.Customers, maxCustomers)
	require(w.Load.Spread >= 1, "load.spread", "%d is below 1", w.Load.Spread)
	require(w.Load.Skew >= 0 && w.Load.Skew <= 3, "load.skew", "%g is not from 0 to 3", w.Load.Skew)
	require(w.Load.Uneven >= 0 && w.Load.Uneven <= 2, "load.uneven", "%g is not from 0 to 2", w.Load.Uneven)
	require(w.Load.Units >= 1 && w.Load.Units <= 1000, "load.units", "%d is not from 1 to 1000", w.Load.Units)
	require(w.Client.Tries >= 1 && w.Client.Tries <= 20, "client.tries", "%d is not from 1 to 20",
		w.Client.Tries)
	share(w.Client.Heed, "client.heed")
	share(w.Client.Leave, "client.leave")
	duration(w.Client.Backoff, "client.backoff", time.Millisecond)
	duration(w.Client.Notice, "client.notice", 0)
	require(len(w.Classes) > 0 && len(w.Classes) <= 8, "class", "%d are not from 1 to 8", len(w.Classes))
	for i, c := range w.Classes {
		at := fmt.Sprintf("class[%d].", i)
		require(c.Name != "", at+"name", "empty")
		require(c.Part >= 0, at+"part", "negative")
		duration(c.Aim, at+"aim", time.Millisecond)
		duration(c.Deadline, at+"deadline", time.Millisecond)
		duration(c.Work, at+"work", time.Microsecond)
		_, known := effects[c.Effect]
		require(known, at+"effect", "%q is not one of %s", c.Effect, joinKeys(effects))
		_, known = groups[c.Group]
		require(known, at+"group", "%q is not one of all, zone, cell", c.Group)
		positive(c.Value, at+"value")
		share(c.Late, at+"late")
	}
	require(len(w.Plans) > 0 && len(w.Plans) <= 100, "plan", "%d are not from 1 to 100", len(w.Plans))
	for i, p := range w.Plans {
		at := fmt.Sprintf("plan[%d].", i)
		require(p.Name != "", at+"name", "empty")
		require(p.Part >= 0 && p.Rate >= 0 && p.Store >= 0 && p.Parallel >= 0 && p.HardRate >= 0 &&
			p.HardSize >= 0 && p.Asks >= 0 &&
			p.Earns >= 0 && p.Costs >= 0, at+"part", "a figure of the plan is negative")
		require(p.Rate == 0 || p.Store > 0, at+"store", "not above 0, but the plan has a rate")
		positive(p.Price, at+"price")
	}
	positive(w.Server.Load, "server.load")
	require(w.Server.Slots >= 1 && w.Server.Slots <= 10_000, "server.slots", "%d is not from 1 to 10000",
		w.Server.Slots)
	require(w.Server.Queue >= 0 && w.Server.Queue <= 100_000, "server.queue", "%d is not from 0 to 100000",
		w.Server.Queue)
	require(w.Server.Spread >= 0 && w.Server.Spread <= 3, "server.spread", "%g is not from 0 to 3",
		w.Server.Spread)
	share(w.Server.Thrash, "server.thrash")
	require(w.Server.Unequal >= 0 && w.Server.Unequal <= 1, "server.unequal", "%g is not from 0 to 1",
		w.Server.Unequal)
	require(w.Server.Connections >= 1, "server.connections", "%d is below 1", w.Server.Connections)
	duration(w.Server.Idle, "server.idle", time.Millisecond)
	share(w.Server.ColdShare, "server.cold_share")
	duration(w.Server.Warm, "server.warm", 0)
	share(w.Net.Loss, "net.loss")
	share(w.Net.Duplicate, "net.duplicate")
	positive(w.Net.Mail, "net.mail")
	duration(w.Net.Dial, "net.dial", time.Millisecond)
	require(w.Net.Near >= 0 && w.Net.Far >= 0 && w.Net.Peer >= 0 && w.Net.PeerMore >= 0, "net.near",
		"a time of the network is negative")
	duration(w.Rules.Tick, "rules.tick", 100*time.Microsecond)
	require(w.Rules.Attempts >= 1, "rules.attempts", "%d is below 1", w.Rules.Attempts)
	share(w.Rules.Beyond, "rules.beyond")
	for i, f := range w.Faults {
		for _, p := range f.check(w) {
			list = append(list, Problem{fmt.Sprintf("fault[%d].%s", i, p.Field), p.What})
		}
	}
	return list
}

var shapes = []string{"poisson", "steady", "wave", "burst", "trace"}

func joinKeys[V any](m map[string]V) string {
	return strings.Join(slices.SortedFunc(maps.Keys(m), cmp.Compare), ", ")
}
