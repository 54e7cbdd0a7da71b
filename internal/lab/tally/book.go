// Package tally keeps the accounts of a run: what was asked for, what became of it
// and what that was worth; the true quotas; and the platform's rules. Both engines
// feed it. Latencies count from the time a request was meant to be made, not from when
// a late generator or a stalled edge node got round to it. Equal runs give
// equal bytes.
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

// How a request ended.
type How int

// The ends of a request, over all its tries.
const (
	Served  How = iota
	Late        // served after its aim
	Refused     // its last answer said that trying again is harmless
	Failed      // it got another answer, or none in time
	Lost        // no final answer came from an edge node that took it
)

var hows = [...]string{"served", "late", "refused", "failed", "lost"}

func (h How) String() string { return hows[h] }

// End is what became of one request of a client.
type End struct {
	Class, Plan int
	Node        int           // that gave the last answer
	Units       float64       //
	At          time.Duration // when it was meant to be made, since the run began
	Latency     time.Duration // from then to the last answer
	How         How
	Inside      bool // what was to be had: its units fitted as it came
	Beyond      bool // it was sent on beyond quota or cap
	Tries       int
	Sends       int
	HeldBack    bool // given up after half of its time with nothing sent on
}

// Histograms hold latencies in microseconds, up to two minutes, to three digits.
const (
	leastLatency, mostLatency = 1, 120_000_000
	latencyDigits             = 3
)

// Book adds up the ends of requests, and the rest that is charged.
type Book struct {
	Referee
	w       *world.World
	windows []Window // of one second, by the time of asking
	classes []Part
	plans   []Part
	all     Part
	lat     []*hdrhistogram.Histogram // by class, of what was served
	nodes   []NodePart

	FirstSends, Beyond int
	Sends              int     // attempts
	Wasted, Worked     float64 // seconds of work at lending servers
	Handshakes         int
	Rude, RudeIgnored  int    // clients that sent what can't be read, and that got neither an error nor a close
	Mail, MailLost     int    // datagrams that came, and that did not
	MailBytes          int64  // that came
	MailPeak           int    // most that one edge node took in within a second
	Unsound            string // why the run proves nothing; empty: it does
	digest             *xxhash.Digest

	lateWorth, overWorth, heldWorth float64 // worth that is charged for
}

// Part adds up the requests of a class, a plan or all.
type Part struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Lost     int     `json:"lost"`
	Asked    float64 `json:"asked"`  // worth that was to be had
	Earned   float64 `json:"earned"` // worth earned
	Share    float64 `json:"share"`  // of the one in the other
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	// Latencies is the whole histogram, of a class: HdrHistogram's own encoding (V2,
	// compressed, base64), in microseconds. Those of several runs merge without loss.
	Latencies string `json:"latencies,omitempty"`
}

// Window is one second.
type Window struct {
	Second    int     `json:"second"`
	Requests  int     `json:"requests"`
	Served    int     `json:"served"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Lost      int     `json:"lost"`
	Asked     float64 `json:"asked"`
	Earned    float64 `json:"earned"`
	Sent      int     `json:"sent"`   // first sends
	Beyond    int     `json:"beyond"` // of them beyond quota or cap
	Mail      int     `json:"mail"`
	Out       int     `json:"out"` // most attempts out at once
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	latencies []float64
}

// NodePart is one edge node's.
type NodePart struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
}

// NewBook begins the accounts of a run.
func NewBook(w *world.World) *Book {
	b := &Book{w: w, windows: make([]Window, int(math.Ceil(w.For.D().Seconds()))), digest: xxhash.New(), nodes: make([]NodePart, w.Nodes)}
	for i := range b.windows {
		b.windows[i].Second = i
	}
	for _, c := range w.Classes {
		b.classes = append(b.classes, Part{Name: c.Name})
		b.lat = append(b.lat, hdrhistogram.New(leastLatency, mostLatency, latencyDigits))
	}
	for _, p := range w.Plans {
		b.plans = append(b.plans, Part{Name: p.Name})
	}
	return b
}

// Worth is what a request earns when it is served inside its aim and quota.
func (b *Book) Worth(class, plan int, units float64) float64 {
	return b.w.Classes[class].Value * b.w.Plans[plan].Price * units
}

// Window is the second that a moment lies in; nil: none of the run.
func (b *Book) Window(at time.Duration) *Window {
	if i := int(at / time.Second); at >= 0 && i < len(b.windows) {
		return &b.windows[i]
	}
	return nil
}

// Close enters the end of a request.
func (b *Book) Close(e End) {
	fmt.Fprintf(b.digest, "%d %d %d %d %d %d %v %d\n", e.Class, e.Plan, e.Node, e.At, e.Latency, e.How, e.Beyond, e.Sends)
	if e.At < b.w.Warm.D() {
		return
	}
	worth := b.Worth(e.Class, e.Plan, e.Units)
	plan, class := b.w.Plans[e.Plan], b.w.Classes[e.Class]
	asked, earned := worth, 0.0
	if !e.Inside {
		asked *= plan.Earns
	}
	if e.How == Served || e.How == Late {
		earned = worth
		if e.Beyond {
			earned *= plan.Earns
		}
		if e.How == Late {
			earned *= class.Late
		}
	}
	if e.Beyond {
		b.overWorth += worth * plan.Costs
	}
	if e.How > Late && e.Latency > class.Aim.D() {
		b.lateWorth += asked
	}
	if e.HeldBack && e.How > Late {
		b.heldWorth += asked
	}
	win := b.Window(e.At)
	for _, p := range []*Part{&b.all, &b.classes[e.Class], &b.plans[e.Plan]} {
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
		b.nodes[e.Node].Requests++
	}
	if e.How <= Late {
		if e.Node >= 0 {
			b.nodes[e.Node].Served++
		}
		// A latency outside the histogram's range can't be: clients give up before.
		_ = b.lat[e.Class].RecordValue(max(leastLatency, min(e.Latency.Microseconds(), mostLatency)))
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

// Result is a run's outcome, as it is printed and kept.
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
	Worth    float64            `json:"worth"` // the figure of the run: goals less charges
	Goals    map[string]float64 `json:"goals"`
	Charges  map[string]float64 `json:"charges"`
	Rules    map[Rule]int       `json:"rules"` // broken, how often; empty: none
	Breaches []Breach           `json:"breaches,omitempty"`
	Unsound  string             `json:"unsound,omitempty"`
	Beyond   float64            `json:"beyond"`                 // share of first sends beyond quota or cap
	Sends    float64            `json:"sends"`                  // attempts a request
	Mail     float64            `json:"mail"`                   // datagrams an edge node and second
	MailPeak int                `json:"mailpeak"`               // most in a second at one
	MailLost float64            `json:"maillost"`               // share that did not come
	Rude     int                `json:"rude,omitempty"`         // clients that sent what can't be read
	Ignored  int                `json:"rude_ignored,omitempty"` // of them, got neither an error nor a close in time
	Digest   string             `json:"digest"`
	Classes  []Part             `json:"classes"`
	Plans    []Part             `json:"plans"`
	Windows  []Window           `json:"windows"`
	PerNode  []NodePart         `json:"pernode"`
}

// Weights of the goals, and the span of the worst window, as on the platform.
const (
	goalWhole, goalWindow, goalTenant, goalClass = 0.5, 0.25, 0.15, 0.1
	worstSpan                                    = 10
)

// Result closes the accounts.
func (b *Book) Result(seed uint64) *Result {
	share := func(p *Part) float64 { return min(1, p.Earned/max(p.Asked, 1e-9)) }
	first := float64(max(1, b.all.Requests))
	if b.FirstSends > 0 && float64(b.Beyond) > b.w.Rules.Beyond*float64(b.FirstSends) && b.FirstSends > 100 {
		b.Broken(Quota, "-", -1, b.w.For.D(), "%d of %d first sends beyond quota or cap, over %g of them", b.Beyond, b.FirstSends, b.w.Rules.Beyond)
	}
	r := &Result{Seed: seed, Nodes: b.w.Nodes, Servers: b.w.Servers, Unsound: b.Unsound, Rules: map[Rule]int{}}
	worst := func(list []Part) float64 {
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
		p.P50, p.P99, p.P999 = quantile(b.lat[i], 50), quantile(b.lat[i], 99), quantile(b.lat[i], 99.9)
		p.Latencies = encode(b.lat[i])
	}
	for i := range b.plans {
		b.plans[i].Share = share(&b.plans[i])
	}
	for i := range b.windows {
		w := &b.windows[i]
		w.P50, w.P99 = quantileOf(w.latencies, 0.5), quantileOf(w.latencies, 0.99)
	}
	r.Goals = map[string]float64{"whole": share(&b.all), "worst_window": b.worstWindow(), "worst_plan": worst(b.plans), "worst_class": worst(b.classes)}
	c := b.w.Charges
	r.Charges = map[string]float64{
		"waste":      c.Waste * b.Wasted / max(b.Worked, 1e-9),
		"handshake":  c.Handshake * float64(b.Handshakes) / first,
		"peer":       c.Peer * float64(b.MailBytes) / 256 / first,
		"late_fail":  c.LateFail * b.lateWorth / max(b.all.Asked, 1e-9),
		"over_quota": b.overWorth / max(b.all.Asked, 1e-9),
		"held_back":  c.HeldBack * b.heldWorth / max(b.all.Asked, 1e-9),
		"rude":       c.Rude * float64(b.RudeIgnored) / float64(max(1, b.Rude)),
	}
	r.Worth = goalWhole*r.Goals["whole"] + goalWindow*r.Goals["worst_window"] + goalTenant*r.Goals["worst_plan"] + goalClass*r.Goals["worst_class"]
	for _, name := range []string{"waste", "handshake", "peer", "late_fail", "over_quota", "held_back", "rude"} {
		r.Worth -= r.Charges[name]
	}
	r.Requests, r.Served, r.Refused, r.Failed, r.Lost = b.all.Requests, b.all.Served+b.all.Late, b.all.Refused, b.all.Failed, b.all.Lost
	r.Beyond, r.Sends = float64(b.Beyond)/float64(max(1, b.FirstSends)), float64(b.Sends)/first
	r.Mail = float64(b.Mail) / float64(b.w.Nodes) / max(b.w.For.D().Seconds(), 1e-9)
	r.Rude, r.Ignored = b.Rude, b.RudeIgnored
	r.MailPeak, r.MailLost = b.MailPeak, float64(b.MailLost)/float64(max(1, b.Mail+b.MailLost))
	r.Classes, r.Plans, r.Windows, r.PerNode = b.classes, b.plans, b.windows, b.nodes
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
		panic(err) // plain figures
	}
	_, _ = b.digest.Write(figures) // a hash takes all
	r.Digest = fmt.Sprintf("%016x", b.digest.Sum64())
	return r
}

// worstWindow is the least share over worstSpan seconds.
func (b *Book) worstWindow() float64 {
	list := b.windows[min(len(b.windows), int(b.w.Warm.D()/time.Second)):]
	low := 1.0
	for i := range list {
		span := list[i:min(len(list), i+worstSpan)]
		if i > 0 && len(span) < worstSpan {
			break
		}
		p := Part{}
		for _, w := range span {
			p.Asked, p.Earned = p.Asked+w.Asked, p.Earned+w.Earned
		}
		if p.Asked > 0 {
			low = min(low, p.Earned/p.Asked)
		}
	}
	return low
}

// quantileOf sorts the list.
func quantileOf(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return stat.Quantile(q, stat.Empirical, list, nil)
}

// encode words a histogram; it can't fail for one that is empty or whole.
func encode(h *hdrhistogram.Histogram) string {
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		panic(err) // it is made here
	}
	return string(data)
}

// Merged is a class of several runs taken together.
type Merged struct {
	Name           string
	Served         int64
	P50, P99, P999 float64 // ms
}

// Merge takes the classes of several runs together, whichever worker played them.
func Merge(runs []*Result) ([]Merged, error) {
	var list []Merged
	all := map[string]*hdrhistogram.Histogram{}
	for _, r := range runs {
		for _, p := range r.Classes {
			if p.Latencies == "" {
				continue // of an older program
			}
			h, err := hdrhistogram.Decode([]byte(p.Latencies))
			if err != nil {
				return nil, fmt.Errorf("class %s, seed %d: latencies: %w", p.Name, r.Seed, err)
			}
			if all[p.Name] == nil {
				all[p.Name] = hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
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

// Shorten ends the accounts where a run was broken off.
func (b *Book) Shorten(played time.Duration) {
	b.windows = b.windows[:min(len(b.windows), int(math.Ceil(played.Seconds())))]
}
