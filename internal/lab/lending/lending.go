// Package lending models the processing at one server, for both engines: cores that all requests in
// process share equally, a limited number of slots, a queue, and a cold start. The caller supplies the
// clock; the package neither sleeps nor draws random numbers. A Desk is not safe for concurrent use, and
// its clock's callbacks count as use.
package lending

import (
	"time"

	"valvering.example/valvering/internal/lab/world"
)

// Clock returns the time and schedules callbacks.
type Clock interface {
	Now() time.Duration
	After(d time.Duration, do func())
}

// Job is the work of one request.
type Job struct {
	Work  float64       // core-seconds
	Until time.Duration // its client stops waiting at this time
	Gone  bool          // nobody waits for the result any longer
	Done  func(End)     // called once; for jobs that Clear returns, by the caller of Clear
	left  float64       // value of Desk.had at which the job is complete
}

// End is the way in which a job ended.
type End int

// Ends of a job.
const (
	Worked End = iota
	Over       // its client stopped waiting before work began
	Vain       // completed after its client was gone
	Broken     // dropped because the process ended
)

// Desk holds the jobs in process and in the queue of a server.
type Desk struct {
	clock  Clock
	figs   *world.Server
	Cores  float64
	Start  time.Duration // start of its process; 0: fully warm
	slow   float64
	active []*Job
	queue  []*Job
	had    float64 // core-seconds that each job in process has received since the desk was created
	at     time.Duration
	gen    int // generation of the scheduled end of the next job; older events are ignored
}

// New returns an idle desk.
func New(c Clock, figs *world.Server, cores float64) *Desk {
	return &Desk{clock: c, figs: figs, Cores: cores, slow: 1, at: c.Now()}
}

// Warmth returns the warm-up fraction of the process: the fraction of its capacity that it has now.
func (d *Desk) Warmth() float64 {
	if d.Start == 0 {
		return 1
	}
	age := float64(d.clock.Now()-d.Start) / max(1, float64(d.figs.Warm))
	return min(1, d.figs.ColdShare+(1-d.figs.ColdShare)*age)
}

// Load returns the number of requests in process and in the queue.
func (d *Desk) Load() (working, waiting int) { return len(d.active), len(d.queue) }

// Capacity returns the effective number of cores now.
func (d *Desk) Capacity() float64 { return d.Cores * d.Warmth() / d.slow }

// pace returns the processing speed of each job in process, in core-seconds per second.
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

// advance accounts for the work done up to now.
func (d *Desk) advance() {
	now := d.clock.Now()
	d.had += d.pace() * (now - d.at).Seconds()
	d.at = now
}

// recheck is the interval at which the end of a job is recomputed during warm-up.
const recheck = 100 * time.Millisecond

// next schedules the end of the job that completes first.
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

const none = 1e-9 // remaining core-seconds that count as complete

// work ends the jobs that are complete and starts queued ones.
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

// Offer accepts a job. It returns false if the slots and the queue are full.
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

// Slow sets the factor on the duration of all work from now on.
func (d *Desk) Slow(by float64) {
	d.advance()
	d.slow = by
	d.next()
}

// Clear removes and returns all jobs.
func (d *Desk) Clear() []*Job {
	d.advance()
	all := append(d.active, d.queue...)
	d.active, d.queue = nil, nil
	d.gen++
	return all
}

// Budget evaluates the rule on cold servers: it compares the work that a server recently received with
// what the server can handle, and tracks how much of it came from edge nodes that knew of its start.
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

// slack is the allowance for random variation, in mean requests.
const slack = 8

// NewBudget returns the budget of a process that has just started.
func NewBudget(w *world.World) *Budget { return &Budget{rules: &w.Rules, mean: w.MeanWork()} }

// Came records an attempt. falls is true if the attempt overloads the server so that it crashes, and
// known if in that case two thirds of the load came from edge nodes that knew of its start.
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
