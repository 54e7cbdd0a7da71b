// Package lending models the work at one lending server, for both engines: some cores
// that all requests at work share evenly, up to so many places, a queue behind them,
// and a cold start. The clock is given; nothing here sleeps or draws at random. A Desk
// is for one goroutine at a time, that of its clock's callbacks included.
package lending

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Clock tells the time and calls back.
type Clock interface {
	Now() time.Duration
	After(d time.Duration, do func())
}

// Job is one request's work.
type Job struct {
	Work  float64       // seconds of a core
	Until time.Duration // its client waits
	Gone  bool          // nobody waits for it any longer
	Done  func(End)     // called once; by the caller of Clear for what that returns
	left  float64       // of what each job has had by its end
}

// End is how a job ended.
type End int

// The ends of a job.
const (
	Worked End = iota
	Over       // its client had left before work began
	Vain       // worked, for nobody
	Broken     // dropped with the process
)

// Desk is the work at hand.
type Desk struct {
	clock  Clock
	figs   *world.Server
	Cores  float64
	Start  time.Duration // of its process; 0: long ago
	slow   float64
	active []*Job
	queue  []*Job
	had    float64 // seconds of a core that each job at work has had since the beginning
	at     time.Duration
	gen    int // of the event that ends the next job
}

// New returns an idle desk.
func New(c Clock, figs *world.Server, cores float64) *Desk {
	return &Desk{clock: c, figs: figs, Cores: cores, slow: 1, at: c.Now()}
}

// Warmth is the part of its capacity that a process has by now.
func (d *Desk) Warmth() float64 {
	if d.Start == 0 {
		return 1
	}
	age := float64(d.clock.Now()-d.Start) / max(1, float64(d.figs.Warm))
	return min(1, d.figs.ColdShare+(1-d.figs.ColdShare)*age)
}

// Load is how many requests are at work and waiting.
func (d *Desk) Load() (working, waiting int) { return len(d.active), len(d.queue) }

// Capacity is the cores it has by now.
func (d *Desk) Capacity() float64 { return d.Cores * d.Warmth() / d.slow }

// pace is how fast each job at work gets on, in seconds of a core a second.
func (d *Desk) pace() float64 {
	n := float64(len(d.active))
	if n == 0 {
		return 0
	}
	each := min(1, d.Cores/n)
	if over := n - d.Cores; over > 0 {
		each /= 1 + d.figs.Thrash*over
	}
	return each * d.Warmth() / d.slow
}

// advance brings the work done up to now.
func (d *Desk) advance() {
	now := d.clock.Now()
	d.had += d.pace() * (now - d.at).Seconds()
	d.at = now
}

// recheck is how often the end of work is reckoned anew while the process gets warmer.
const recheck = 100 * time.Millisecond

// next schedules the end of the job that is done first.
func (d *Desk) next() {
	if d.gen++; len(d.active) == 0 {
		return
	}
	first := d.active[0]
	for _, j := range d.active {
		if j.left < first.left {
			first = j
		}
	}
	wait := time.Duration((first.left - d.had) / d.pace() * float64(time.Second))
	if d.Warmth() < 1 {
		wait = min(wait, recheck)
	}
	gen := d.gen
	d.clock.After(max(wait, time.Microsecond), func() {
		if d.gen == gen {
			d.work()
		}
	})
}

const none = 1e-9 // seconds of work that count as none

// work ends what is done and begins what waits.
func (d *Desk) work() {
	d.advance()
	rest := d.active[:0]
	var ready []*Job
	for _, j := range d.active {
		if j.left <= d.had+none {
			ready = append(ready, j)
		} else {
			rest = append(rest, j)
		}
	}
	d.active = rest
	for _, j := range ready {
		if j.Gone {
			j.Done(Vain)
		} else {
			j.Done(Worked)
		}
	}
	for len(d.active) < d.figs.Slots && len(d.queue) > 0 {
		j := d.queue[0]
		d.queue = d.queue[1:]
		switch {
		case j.Gone:
		case d.clock.Now() >= j.Until:
			j.Done(Over)
		default:
			j.left = d.had + j.Work
			d.active = append(d.active, j)
		}
	}
	d.next()
}

// Offer takes a job in; it is false where there is no room.
func (d *Desk) Offer(j *Job) bool {
	switch {
	case len(d.active) < d.figs.Slots:
		d.advance()
		j.left = d.had + j.Work
		d.active = append(d.active, j)
		d.next()
	case len(d.queue) < d.figs.Queue:
		d.queue = append(d.queue, j)
	default:
		return false
	}
	return true
}

// Slow sets how many times as long all work takes from now on.
func (d *Desk) Slow(by float64) {
	d.advance()
	d.slow = by
	d.next()
}

// Clear drops all work, and returns it.
func (d *Desk) Clear() []*Job {
	d.advance()
	all := append(d.active, d.queue...)
	d.active, d.queue = nil, nil
	d.gen++
	return all
}

// Budget judges the rule on cold servers: what came to one of late against what it
// bears, and who sent it.
type Budget struct {
	rules *world.Rules
	mean  float64 // work of a request, in seconds
	sent  []arrival
}

type arrival struct {
	at   time.Duration
	work float64
	knew bool
}

// slack is what chance may add, in mean requests.
const slack = 8

// NewBudget begins with a process's start.
func NewBudget(w *world.World) *Budget { return &Budget{rules: &w.Rules, mean: w.MeanWork()} }

// Came enters an attempt. falls is true when the server is pushed over by it, and known
// when two thirds of the load came from edge nodes that knew of its start.
func (b *Budget) Came(d *Desk, work float64, knew bool) (falls, known bool) {
	now := d.clock.Now()
	if d.Start == 0 || b.rules.FallFor == 0 || d.Warmth() >= 1 {
		return false, false
	}
	b.sent = append(b.sent, arrival{now, work, knew})
	for len(b.sent) > 0 && now-b.sent[0].at > b.rules.FallFor.D() {
		b.sent = b.sent[1:]
	}
	all, by := 0.0, 0.0
	for _, x := range b.sent {
		if all += x.work; x.knew {
			by += x.work
		}
	}
	bears := b.rules.Fall*d.Cores*d.Warmth()*b.rules.FallFor.D().Seconds() + slack*b.mean
	if all <= bears || now-d.Start < b.rules.FallFor.D() {
		return false, false
	}
	return true, by >= all*2/3
}
