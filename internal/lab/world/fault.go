package world

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fault is one fault of the platform: its kind, start, duration, scope and severity. Kinds explains what
// the part and the size mean for each kind.
type Fault struct {
	Kind  string   `toml:"kind" json:"kind"`
	Start Duration `toml:"start" json:"start"` // since the start of the run
	For   Duration `toml:"for" json:"for"`
	Part  float64  `toml:"part" json:"part"` // fraction of edge nodes, servers or customers
	Size  float64  `toml:"size" json:"size"`
	Zone  int      `toml:"zone" json:"zone"` // for faults of one zone; -1: drawn from the seed
}

// End returns the time at which the fault ends.
func (f *Fault) End() time.Duration { return f.Start.D() + f.For.D() }

// StepTime returns the time at which the fault affects the i-th of n members, if it affects them in steps
// that are spread evenly over its duration.
func (f *Fault) StepTime(i, n, steps int) time.Duration {
	return f.Start.D() + f.For.D()*time.Duration(i*steps/n)/time.Duration(steps)
}

// Times of a release, after the new server is listed: the old server begins to drain, and ends.
const (
	DrainAfter = 500 * time.Millisecond
	EndAfter   = 4 * time.Second
)

// Kinds holds the kinds of fault by name, with their effect and their defaults.
var Kinds = map[string]struct {
	What       string
	For        time.Duration
	Part, Size float64
}{
	"crash-wave":     {"part of the edge nodes are killed at once, back within size seconds", time.Second, 0.7, 2},
	"roll":           {"all edge nodes are stopped as planned, a part at a time, spread over the time", 16 * time.Second, 0.1, 1},
	"release":        {"part of the lending servers are replaced in steps: drained, gone, new ones cold", 12 * time.Second, 0.5, 10},
	"zone-loss":      {"a zone's lending servers vanish and return cold", 5 * time.Second, 1, 1},
	"zone-cut":       {"a zone is cut off from the others, both ways", 6 * time.Second, 1, 1},
	"zone-cut-out":   {"nothing gets out of a zone, all gets in", 6 * time.Second, 1, 1},
	"server-silent":  {"part of the lending servers fall silent: connections stay open, nothing comes", 6 * time.Second, 0.2, 1},
	"server-slow":    {"part of the lending servers take size times as long", 10 * time.Second, 0.125, 4},
	"server-wrong":   {"part of the lending servers answer 500 at once to size of the requests", 10 * time.Second, 0.125, 0.9},
	"server-spoilt":  {"part of the lending servers spoil size of their answers", 10 * time.Second, 0.125, 0.3},
	"server-dead":    {"part of the lending servers die and return cold", 5 * time.Second, 0.1, 1},
	"server-replace": {"part of the lending servers are replaced at the same address by cold ones, spread over the time", 7 * time.Second, 0.6, 1},
	"cold-bulk":      {"part of the lending servers start anew in one instant", time.Second, 0.5, 1},
	"shared-slow":    {"all lending servers take size times as long", 5 * time.Second, 1, 1.6},
	"hot-customer":   {"part of the customers ask size times as much", 8 * time.Second, 0.01, 10},
	"peers-deaf":     {"part of the edge nodes hear no other", 6 * time.Second, 1, 1},
	"peers-lossy":    {"size of the datagrams are lost", 10 * time.Second, 1, 0.2},
	"answers-lost":   {"size of the answers of lending servers get lost on the way", 6 * time.Second, 1, 0.03},
	"resets":         {"size of the connections are reset under a request", 6 * time.Second, 1, 0.03},
	"discovery-down": {"discovery is silent", 6 * time.Second, 1, 1},
	"discovery-late": {"lists come size seconds late", 8 * time.Second, 1, 3},
	"eager-clients":  {"clients come again size times as often and soon", 10 * time.Second, 1, 3},
	"rude-clients":   {"size clients a second send what can't be read, or nothing, to any edge node (real time only)", 10 * time.Second, 1, 40},
	"burst":          {"size times the load is asked for", 5 * time.Second, 1, 1.5},
}

// Days holds named combinations of faults: the days that the platform defines, and calm.
var Days = map[string][]Fault{
	"calm": {newFault("burst", 10, 5, 1, 1.5)},
	"roll": {newFault("roll", 2.5, 16, 0.1, 1), newFault("release", 3.5, 11, 0.5, 10)},
	"herd": {newFault("release", 4, 10, 0.5, 8), newFault("crash-wave", 10, 1, 0.7, 2),
		newFault("server-wrong", 6, 16, 0.125, 0.7)},
	"zone": {newFault("zone-loss", 6, 5, 1, 1), newFault("zone-cut", 16, 5, 1, 1),
		newFault("server-slow", 4, 18, 0.125, 3)},
	"split": {newFault("zone-cut", 8, 6, 1, 1), newFault("peers-deaf", 8, 6, 1, 1),
		newFault("discovery-late", 6, 12, 1, 3), newFault("answers-lost", 6, 10, 1, 0.03),
		newFault("resets", 6, 10, 1, 0.02)},
	"join": {newFault("server-replace", 6, 7, 0.6, 1), newFault("server-spoilt", 4, 18, 0.2, 0.1),
		newFault("eager-clients", 6, 14, 1, 2)},
}

func newFault(kind string, start, length, part, size float64) Fault {
	seconds := func(v float64) Duration { return Duration(v * float64(time.Second)) }
	return Fault{Kind: kind, Start: seconds(start), For: seconds(length), Part: part, Size: size, Zone: -1}
}

// Named returns the faults of a day, or one fault of a kind with its defaults that starts after a third
// of the run. It returns nil if the name is unknown.
func Named(name string, length time.Duration) []Fault {
	if list, known := Days[name]; known {
		return slices.Clone(list)
	}
	k, known := Kinds[name]
	if !known {
		return nil
	}
	return []Fault{{Kind: name, Start: Duration(length / 3), For: Duration(min(k.For, length/3)), Part: k.Part, Size: k.Size, Zone: -1}}
}

// Names returns all names that Named accepts.
func Names() []string {
	return append(slices.Sorted(maps.Keys(Days)), slices.Sorted(maps.Keys(Kinds))...)
}

func (f *Fault) check(w *World) (list []Problem) {
	need := func(ok bool, field, format string, args ...any) {
		if !ok {
			list = append(list, Problem{field, fmt.Sprintf(format, args...)})
		}
	}
	if _, known := Kinds[f.Kind]; !known {
		need(false, "kind", "%q is not one of %s", f.Kind, joinKeys(Kinds))
		return list
	}
	need(f.Start >= 0, "start", "negative")
	need(f.For > 0, "for", "not above 0")
	need(f.Part > 0 && f.Part <= 1, "part", "%g is not above 0 and up to 1", f.Part)
	need(f.Size > 0 && f.Size <= 1000, "size", "%g is not above 0 and up to 1000", f.Size)
	switch f.Kind {
	case "server-wrong", "server-spoilt", "peers-lossy", "answers-lost", "resets":
		need(f.Size <= 1, "size", "%g is a share, and above 1", f.Size)
	}
	need(f.Zone >= -1 && f.Zone < w.Zones, "zone", "%d is not from -1 to below zones", f.Zone)
	return list
}
