// Package tally keeps the statistics of a run: the requests, their outcomes and their value, the
// customers' true quotas, and the breaches of the platform's rules. Both engines report to it. Latencies
// count from the scheduled time of a request, so that delays of the load generator or of a stalled edge
// node are included. Equal runs give equal bytes.
package tally

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat"

	"valvering.example/valvering/internal/lab/world"
)

// How is the outcome of a request.
type How int

// Outcomes of a request, over all its tries.
const (
	Served  How = iota
	Late        // served after its aim
	Refused     // its last answer said that trying again is harmless
	Failed      // it got an error other than a refusal, or no answer in time
	Lost        // an edge node accepted it and gave no final answer
)

var outcomeNames = [...]string{"served", "late", "refused", "failed", "lost"}

func (h How) String() string { return outcomeNames[h] }

// End describes how one request of a client ended.
type End struct {
	Class, Plan int
	Node        int // edge node that gave the last answer; -1: none
	Units       float64
	At          time.Duration // scheduled time, since the start of the run
	Latency     time.Duration // from the scheduled time to the last answer
	How         How
	WithinQuota bool // its units fitted within the quota when it arrived
	BeyondQuota bool // it was sent to a server beyond quota or cap
	Tries       int
	Sends       int
	HeldBack    bool // refused or failed after over half of its time without any attempt
}

// Range and precision of the latency histograms: microseconds, up to two minutes, three significant digits.
const (
	minLatency, maxLatency = 1, 120_000_000
	latencyDigits          = 3
)

// Book accumulates the outcomes of requests and the other quantities that enter a run's result.
type Book struct {
	BreachLog
	w          *world.World
	windows    []Window // of one second, by scheduled time of the request
	classes    []Counts
	plans      []Counts
	all        Counts
	latencies  []*hdrhistogram.Histogram // of served requests, by class
	nodeCounts []NodeCounts

	FirstSends, Beyond                    int
	Sends                                 int     // attempts
	Wasted, Worked                        float64 // work at servers in core-seconds
	Handshakes                            int
	UnreadableRequests, UnreadableIgnored int    // clients with unreadable requests; no error or close
	DatagramsReceived, DatagramsLost      int    // datagrams received; datagrams lost
	DatagramBytes                         int64  // received
	DatagramPeak                          int    // maximum datagrams that one edge node received in a second
	Invalid                               string // why the run is not valid; empty: it is
	digest                                *xxhash.Digest

	lateValue, beyondQuotaValue, heldBackValue float64 // value subject to charges
}

// Counts accumulates the requests of a class, of a plan or of the whole run.
type Counts struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Lost     int     `json:"lost"`
	Asked    float64 `json:"asked"`  // value that could be earned; reduced beyond quota
	Earned   float64 `json:"earned"` // value earned
	Share    float64 `json:"share"`  // Earned / Asked, at most 1
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	// Latencies is the histogram of a class in microseconds, in HdrHistogram's encoding (V2, compressed,
	// base64). Histograms of several runs merge without loss.
	Latencies string `json:"latencies,omitempty"`
}

// Window accumulates one second of a run.
type Window struct {
	Second            int     `json:"second"`
	Requests          int     `json:"requests"`
	Served            int     `json:"served"`
	Refused           int     `json:"refused"`
	Failed            int     `json:"failed"`
	Lost              int     `json:"lost"`
	Asked             float64 `json:"asked"`
	Earned            float64 `json:"earned"`
	Sent              int     `json:"sent"`   // first attempts of tries
	Beyond            int     `json:"beyond"` // first attempts beyond quota or cap
	DatagramsReceived int     `json:"mail"`
	InFlight          int     `json:"out"` // maximum attempts in flight
	P50               float64 `json:"p50_ms"`
	P99               float64 `json:"p99_ms"`
	latencies         []float64
}

// NodeCounts accumulates the requests of one edge node.
type NodeCounts struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
}

// NewBook returns an empty book for a run of a world.
func NewBook(w *world.World) *Book {
	b := &Book{w: w, windows: make([]Window, int(math.Ceil(w.For.D().Seconds()))), digest: xxhash.New(),
		nodeCounts: make([]NodeCounts, w.Nodes)}
	for i := range b.windows {
		b.windows[i].Second = i
	}
	for _, c := range w.Classes {
		b.classes = append(b.classes, Counts{Name: c.Name})
		b.latencies = append(b.latencies, hdrhistogram.New(minLatency, maxLatency, latencyDigits))
	}
	for _, p := range w.Plans {
		b.plans = append(b.plans, Counts{Name: p.Name})
	}
	return b
}

// Worth returns the value that a request earns if it is served within its aim and quota.
func (b *Book) Worth(class, plan int, units float64) float64 {
	return b.w.Classes[class].Value * b.w.Plans[plan].Price * units
}

// Window returns the window of a time, or nil if the time is outside the run.
func (b *Book) Window(at time.Duration) *Window {
	if i := int(at / time.Second); at >= 0 && i < len(b.windows) {
		return &b.windows[i]
	}
	return nil
}

// Close records the end of a request.
func (b *Book) Close(e End) {
	fmt.Fprintf(b.digest, "%d %d %d %d %d %d %v %d\n", e.Class, e.Plan, e.Node, e.At, e.Latency, e.How,
		e.BeyondQuota, e.Sends)
	if e.At < b.w.Warm.D() {
		return
	}
	value := b.Worth(e.Class, e.Plan, e.Units)
	plan, class := b.w.Plans[e.Plan], b.w.Classes[e.Class]
	asked, earned := value, 0.0
	if !e.WithinQuota {
		asked *= plan.Earns
	}
	if e.How == Served || e.How == Late {
		earned = value
		if e.BeyondQuota {
			earned *= plan.Earns
		}
		if e.How == Late {
			earned *= class.Late
		}
	}
	if e.BeyondQuota {
		b.beyondQuotaValue += value * plan.Costs
	}
	if e.How > Late && e.Latency > class.Aim.D() {
		b.lateValue += asked
	}
	if e.HeldBack && e.How > Late {
		b.heldBackValue += asked
	}
	win := b.Window(e.At)
	for _, p := range []*Counts{&b.all, &b.classes[e.Class], &b.plans[e.Plan]} {
		p.Requests++
		p.Asked += asked
		p.Earned += earned
		switch e.How {
		case Served:
			p.Served++
		case Late:
			p.Late++
		case Refused:
			p.Refused++
		case Failed:
			p.Failed++
		case Lost:
			p.Lost++
		}
	}
	if e.Node >= 0 {
		b.nodeCounts[e.Node].Requests++
	}
	if e.How <= Late {
		if e.Node >= 0 {
			b.nodeCounts[e.Node].Served++
		}
		// Recording can't fail: the value is clamped to the histogram's range.
		_ = b.latencies[e.Class].RecordValue(max(minLatency, min(e.Latency.Microseconds(), maxLatency)))
	}
	if win == nil {
		return
	}
	win.Requests++
	win.Asked += asked
	win.Earned += earned
	switch e.How {
	case Served, Late:
		win.Served++
		win.latencies = append(win.latencies, e.Latency.Seconds()*1000)
	case Refused:
		win.Refused++
	case Failed:
		win.Failed++
	case Lost:
		win.Lost++
	}
}

// Result is the outcome of a run, as printed and stored.
type Result struct {
	Seed     uint64             `json:"seed"`
	Engine   string             `json:"engine"`
	Variant  string             `json:"variant"`
	Nodes    int                `json:"nodes"`
	Servers  int                `json:"servers"`
	Fault    string             `json:"fault,omitempty"`
	Requests int                `json:"requests"`
	Served   int                `json:"served"` // late ones included
	Refused  int                `json:"refused"`
	Failed   int                `json:"failed"`
	Lost     int                `json:"lost"`
	Worth    float64            `json:"worth"` // score of the run: goals less charges
	Goals    map[string]float64 `json:"goals"`
	Charges  map[string]float64 `json:"charges"`
	Rules    map[Rule]int       `json:"rules"` // number of breaches per rule; empty: none
	Breaches []Breach           `json:"breaches,omitempty"`
	Invalid  string             `json:"unsound,omitempty"`
	// Beyond is the share of first attempts beyond quota or cap.
	Beyond float64 `json:"beyond"`
	Sends  float64 `json:"sends"` // attempts per request
	// DatagramRate is the number of datagrams received per edge node and second.
	DatagramRate float64 `json:"mail"`
	// DatagramPeak is the maximum per second at one edge node.
	DatagramPeak int `json:"mailpeak"`
	// DatagramLoss is the share of datagrams that were lost.
	DatagramLoss float64 `json:"maillost"`
	// UnreadableRequests counts clients that sent unreadable requests, UnreadableIgnored those of them that
	// got no error or close in time.
	UnreadableRequests int          `json:"rude,omitempty"`
	UnreadableIgnored  int          `json:"rude_ignored,omitempty"`
	Digest             string       `json:"digest"`
	Classes            []Counts     `json:"classes"`
	Plans              []Counts     `json:"plans"`
	Windows            []Window     `json:"windows"`
	PerNode            []NodeCounts `json:"pernode"`
}

// Weights of the goals and length of the worst window in seconds, as on the platform.
const (
	goalWhole, goalWindow, goalPlan, goalClass = 0.5, 0.25, 0.15, 0.1
	worstWindowSeconds                         = 10
)

// Result computes the result of the run.
func (b *Book) Result(seed uint64) *Result {
	share := func(p *Counts) float64 { return min(1, p.Earned/max(p.Asked, 1e-9)) }
	requests := float64(max(1, b.all.Requests))
	if b.FirstSends > 0 && float64(b.Beyond) > b.w.Rules.Beyond*float64(b.FirstSends) && b.FirstSends > 100 {
		b.Broken(Quota, "-", -1, b.w.For.D(), "%d of %d first sends beyond quota or cap, over %g of them", b.Beyond, b.FirstSends, b.w.Rules.Beyond)
	}
	r := &Result{Seed: seed, Nodes: b.w.Nodes, Servers: b.w.Servers, Invalid: b.Invalid, Rules: map[Rule]int{}}
	lowestShare := func(list []Counts) float64 {
		low := 1.0
		for i := range list {
			if list[i].Asked > 0 {
				low = min(low, share(&list[i]))
			}
		}
		return low
	}
	for i := range b.classes {
		p := &b.classes[i]
		p.Share = share(p)
		p.P50, p.P99, p.P999 =
			quantile(b.latencies[i], 50), quantile(b.latencies[i], 99), quantile(b.latencies[i], 99.9)
		p.Latencies = encode(b.latencies[i])
	}
	for i := range b.plans {
		b.plans[i].Share = share(&b.plans[i])
	}
	for i := range b.windows {
		w := &b.windows[i]
		w.P50, w.P99 = quantileOf(w.latencies, 0.5), quantileOf(w.latencies, 0.99)
	}
	r.Goals = map[string]float64{"whole": share(&b.all), "worst_window": b.worstWindow(),
		"worst_plan": lowestShare(b.plans), "worst_class": lowestShare(b.classes)}
	c := b.w.Charges
	r.Charges = map[string]float64{
		"waste":      c.Waste * b.Wasted / max(b.Worked, 1e-9),
		"handshake":  c.Handshake * float64(b.Handshakes) / requests,
		"peer":       c.Peer * float64(b.DatagramBytes) / 256 / requests,
		"late_fail":  c.LateFail * b.lateValue / max(b.all.Asked, 1e-9),
		"over_quota": b.beyondQuotaValue / max(b.all.Asked, 1e-9),
		"held_back":  c.HeldBack * b.heldBackValue / max(b.all.Asked, 1e-9),
		"rude":       c.Rude * float64(b.UnreadableIgnored) / float64(max(1, b.UnreadableRequests)),
	}
	r.Worth = goalWhole*r.Goals["whole"] + goalWindow*r.Goals["worst_window"] +
		goalPlan*r.Goals["worst_plan"] + goalClass*r.Goals["worst_class"]
	for _, name := range []string{"waste", "handshake", "peer", "late_fail", "over_quota", "held_back", "rude"} {
		r.Worth -= r.Charges[name]
	}
	r.Requests, r.Served, r.Refused, r.Failed, r.Lost = b.all.Requests, b.all.Served+b.all.Late, b.all.Refused, b.all.Failed, b.all.Lost
	r.Beyond, r.Sends = float64(b.Beyond)/float64(max(1, b.FirstSends)), float64(b.Sends)/requests
	r.DatagramRate = float64(b.DatagramsReceived) / float64(b.w.Nodes) / max(b.w.For.D().Seconds(), 1e-9)
	r.UnreadableRequests, r.UnreadableIgnored = b.UnreadableRequests, b.UnreadableIgnored
	r.DatagramPeak, r.DatagramLoss = b.DatagramPeak,
		float64(b.DatagramsLost)/float64(max(1, b.DatagramsReceived+b.DatagramsLost))
	r.Classes, r.Plans, r.Windows, r.PerNode = b.classes, b.plans, b.windows, b.nodeCounts
	var counts map[Rule]int
	r.Breaches, counts = b.Breaches()
	for rule, n := range counts {
		r.Rules[rule] = n
	}
	figures, err := json.Marshal(struct {
		W float64
		G map[string]float64
		C map[string]float64
		N []Window
	}{r.Worth, r.Goals, r.Charges, r.Windows})
	if err != nil {
		panic(err) // can't happen: plain numbers
	}
	_, _ = b.digest.Write(figures) // writing to a hash never fails
	r.Digest = fmt.Sprintf("%016x", b.digest.Sum64())
	return r
}

// worstWindow returns the lowest share earned over worstWindowSeconds consecutive seconds.
func (b *Book) worstWindow() float64 {
	list := b.windows[min(len(b.windows), int(b.w.Warm.D()/time.Second)):]
	lowest := 1.0
	for i := range list {
		span := list[i:min(len(list), i+worstWindowSeconds)]
		if i > 0 && len(span) < worstWindowSeconds {
			break
		}
		p := Counts{}
		for _, w := range span {
			p.Asked, p.Earned = p.Asked+w.Asked, p.Earned+w.Earned
		}
		if p.Asked > 0 {
			lowest = min(lowest, p.Earned/p.Asked)
		}
	}
	return lowest
}

// quantileOf returns a quantile of a list, which it sorts in place.
func quantileOf(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return stat.Quantile(q, stat.Empirical, list, nil)
}

// encode encodes a histogram.
func encode(h *hdrhistogram.Histogram) string {
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(err) // can't happen: the histogram is valid
	}
	return string(data)
}

// Merged holds the latencies of a class over several runs.
type Merged struct {
	Name           string
	Served         int64
	P50, P99, P999 float64 // ms
}

// Merge merges the latency histograms of several runs by class.
func Merge(runs []*Result) ([]Merged, error) {
	var list []Merged
	all := map[string]*hdrhistogram.Histogram{}
	for _, r := range runs {
		for _, p := range r.Classes {
			if p.Latencies == "" {
				continue // result of a version that stored no histograms
			}
			h, err := hdrhistogram.Decode([]byte(p.Latencies))
			if err != nil {
				return nil, fmt.Errorf("class %s, seed %d: latencies: %w", p.Name, r.Seed, err)
			}
			if all[p.Name] == nil {
				all[p.Name] = hdrhistogram.New(minLatency, maxLatency, latencyDigits)
				list = append(list, Merged{Name: p.Name})
			}
			if dropped := all[p.Name].Merge(h); dropped > 0 {
				return nil, fmt.Errorf("class %s, seed %d: %d latencies out of range", p.Name, r.Seed, dropped)
			}
		}
	}
	for i := range list {
		h := all[list[i].Name]
		list[i].Served, list[i].P50, list[i].P99, list[i].P999 = h.TotalCount(), quantile(h, 50), quantile(h, 99), quantile(h, 99.9)
	}
	return list, nil
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtPercentile(q)) / 1000
}

// Truncate drops the windows after the time at which a run was interrupted.
func (b *Book) Truncate(played time.Duration) {
	b.windows = b.windows[:min(len(b.windows), int(math.Ceil(played.Seconds())))]
}
