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
	Work   float64       // core-seconds
	Until  time.Duration // its client stops waiting at this time
	Gone   bool          // nobody waits for the result any longer
	Done   func(End)     // called once; for jobs that Clear returns, by the caller of Clear
	doneAt float64       // value of Desk.had at which the job is complete
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
	clock      Clock
	settings   *world.Server
	Cores      float64
	Start      time.Duration // start of its process; 0: fully warm
	slowdown   float64
	active     []*Job
	queue      []*Job
	workPerJob float64 // core-seconds that each job in process has received since the desk was created
	advancedTo time.Duration
	generation int // generation of the scheduled end of the next job; older events are ignored
}

// New returns an idle desk.
func New(c Clock, settings *world.Server, cores float64) *Desk {
	return &Desk{clock: c, settings: settings, Cores: cores, slowdown: 1, advancedTo: c.Now()}
}

// WarmUpFraction returns the warm-up fraction of the process: the fraction of its capacity that it has now.
func (d *Desk) WarmUpFraction() float64 {
	if d.Start == 0 {
		return 1
	}
	age := float64(d.clock.Now()-d.Start) / max(1, float64(d.settings.Warm))
	return min(1, d.settings.ColdShare+(1-d.settings.ColdShare)*age)
}

// Load returns the number of requests in process and in the queue.
func (d *Desk) Load() (working, waiting int) { return len(d.active), len(d.queue) }

// Capacity returns the effective number of cores now.
func (d *Desk) Capacity() float64 { return d.Cores * d.WarmUpFraction() / d.slowdown }

// speed returns the processing speed of each job in process, in core-seconds per second.
func (d *Desk) speed() float64 {
	n := float64(len(d.active))
	if n == 0 {
		return 0
	}
	perJob := min(1, d.Cores/n)
	if over := n - d.Cores; over > 0 {
		perJob /= 1 + d.settings.Thrash*over
	}
	return perJob * d.WarmUpFraction() / d.slowdown
}

// advance accounts for the work done up to now.
func (d *Desk) advance() {
	now := d.clock.Now()
	d.workPerJob += d.speed() * (now - d.advancedTo).Seconds()
	d.advancedTo = now
}

// recomputeInterval is the interval at which the end of a job is recomputed during warm-up.
const recomputeInterval = 100 * time.Millisecond

// scheduleNext schedules the end of the job that completes first.
func (d *Desk) scheduleNext() {
	if d.generation++; len(d.active) == 0 {
		return
	}
	first := d.active[0]
	for _, j := range d.active {
		if j.doneAt < first.doneAt {
			first = j
		}
	}
	wait := time.Duration((first.doneAt - d.workPerJob) / d.speed() * float64(time.Second))
	if d.WarmUpFraction() < 1 {
		wait = min(wait, recomputeInterval)
	}
	gen := d.generation
	d.clock.After(max(wait, time.Microsecond), func() {
		if d.generation == gen {
			d.processDue()
		}
	})
}

const negligibleWork = 1e-9 // remaining core-seconds that count as complete

// processDue ends the jobs that are complete and starts queued ones.
func (d *Desk) processDue() {
	d.advance()
	remaining := d.active[:0]
	var completed []*Job
	for _, j := range d.active {
		if j.doneAt <= d.workPerJob+negligibleWork {
			completed = append(completed, j)
		} else {
			remaining = append(remaining, j)
		}
	}
	d.active = remaining
	for _, j := range completed {
		if j.Gone {
			j.Done(Vain)
		} else {
			j.Done(Worked)
		}
	}
	for len(d.active) < d.settings.Slots && len(d.queue) > 0 {
		j := d.queue[0]
		d.queue = d.queue[1:]
		switch {
		case j.Gone:
		case d.clock.Now() >= j.Until:
			j.Done(Over)
		default:
			j.doneAt = d.workPerJob + j.Work
			d.active = append(d.active, j)
		}
	}
	d.scheduleNext()
}

// Offer accepts a job. It returns false if the slots and the queue are full.
func (d *Desk) Offer(j *Job) bool {
	switch {
	case len(d.active) < d.settings.Slots:
		d.advance()
		j.doneAt = d.workPerJob + j.Work
		d.active = append(d.active, j)
		d.scheduleNext()
	case len(d.queue) < d.settings.Queue:
		d.queue = append(d.queue, j)
	default:
		return false
	}
	return true
}

// Slow sets the factor on the duration of all work from now on.
func (d *Desk) Slow(factor float64) {
	d.advance()
	d.slowdown = factor
	d.scheduleNext()
}

// Clear removes and returns all jobs.
func (d *Desk) Clear() []*Job {
	d.advance()
	all := append(d.active, d.queue...)
	d.active, d.queue = nil, nil
	d.generation++
	return all
}

// Budget evaluates the rule on cold servers: it compares the work that a server recently received with
// what the server can handle, and tracks how much of it came from edge nodes that knew of its start.
type Budget struct {
	rules    *world.Rules
	meanWork float64 // work of a request, in seconds
	sent     []arrival
}

// arrival is an attempt that the server received.
type arrival struct {
	at        time.Duration
	work      float64
	knewStart bool
}

// slackRequests is the allowance for random variation, in mean requests.
const slackRequests = 8

// NewBudget returns the budget of a process that has just started.
func NewBudget(w *world.World) *Budget { return &Budget{rules: &w.Rules, meanWork: w.MeanWork()} }

// Came records an attempt. overloaded is true if the attempt overloads the server, which then crashes, and
// sendersKnew if in that case two thirds of the load came from edge nodes that knew of its start.
func (b *Budget) Came(d *Desk, work float64, knewStart bool) (overloaded, sendersKnew bool) {
	now := d.clock.Now()
	if d.Start == 0 || b.rules.FallFor == 0 || d.WarmUpFraction() >= 1 {
		return false, false
	}
	b.sent = append(b.sent, arrival{now, work, knewStart})
	for len(b.sent) > 0 && now-b.sent[0].at > b.rules.FallFor.D() {
		b.sent = b.sent[1:]
	}
	totalWork, informedWork := 0.0, 0.0
	for _, x := range b.sent {
		if totalWork += x.work; x.knewStart {
			informedWork += x.work
		}
	}
	limit := b.rules.Fall*d.Cores*d.WarmUpFraction()*b.rules.FallFor.D().Seconds() + slackRequests*b.meanWork
	if totalWork <= limit || now-d.Start < b.rules.FallFor.D() {
		return false, false
	}
	return true, informedWork >= totalWork*2/3
}
