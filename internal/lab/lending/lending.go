// Package lending models the processing at one server, for both engines: cores that all requests in
// process share equally, a limited number of slots, a queue, and a cold start. The caller supplies the
// clock; the package neither sleeps nor draws random numbers. A Processor is not safe for concurrent use, and
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
	Work      float64       // core-seconds
	Until     time.Duration // its client stops waiting at this time
	Abandoned bool          // nobody waits for the result any longer
	// Done is called once, by the caller of Clear for the jobs that Clear returns. A job that was abandoned
	// in the queue, or before Clear, ends without the call.
	Done   func(End)
	doneAt float64 // value of Processor.workPerJob at which the job is complete
}

// End is the way in which a job ended.
type End int

// Ends of a job.
const (
	Worked   End = iota
	Expired      // its client stopped waiting before work began
	Unneeded     // completed after its client disconnected
	Aborted      // dropped because the process ended
)

// Processor holds the jobs in process and in the queue of a server.
type Processor struct {
	clock      Clock
	settings   *world.Server
	Cores      float64
	Start      time.Duration // start of its process; 0: fully warm
	slowdown   float64
	active     []*Job
	queue      []*Job
	workPerJob float64 // core-seconds that each job in process has received since the Processor was created
	advancedTo time.Duration
	generation int // generation of the scheduled end of the next job; older events are ignored
}

// New returns an idle Processor.
func New(c Clock, settings *world.Server, cores float64) *Processor {
	return &Processor{clock: c, settings: settings, Cores: cores, slowdown: 1, advancedTo: c.Now()}
}

// WarmUpFraction returns the warm-up fraction of the process: the fraction of its capacity that it has now.
func (p *Processor) WarmUpFraction() float64 {
	if p.Start == 0 {
		return 1
	}
	age := float64(p.clock.Now()-p.Start) / max(1, float64(p.settings.Warm))
	return min(1, p.settings.ColdShare+(1-p.settings.ColdShare)*age)
}

// Load returns the number of requests in process and in the queue.
func (p *Processor) Load() (working, waiting int) { return len(p.active), len(p.queue) }

// Capacity returns the effective number of cores now.
func (p *Processor) Capacity() float64 { return p.Cores * p.WarmUpFraction() / p.slowdown }

// speed returns the processing speed of each job in process, in core-seconds per second.
func (p *Processor) speed() float64 {
	n := float64(len(p.active))
	if n == 0 {
		return 0
	}
	perJob := min(1, p.Cores/n)
	if over := n - p.Cores; over > 0 {
		perJob /= 1 + p.settings.Thrash*over
	}
	return perJob * p.WarmUpFraction() / p.slowdown
}

// advance accounts for the work done up to now.
func (p *Processor) advance() {
	now := p.clock.Now()
	p.workPerJob += p.speed() * (now - p.advancedTo).Seconds()
	p.advancedTo = now
}

// recomputeInterval is the interval at which the end of a job is recomputed during warm-up.
const recomputeInterval = 100 * time.Millisecond

// scheduleNext schedules the end of the job that completes first.
func (p *Processor) scheduleNext() {
	if p.generation++; len(p.active) == 0 {
		return
	}
	first := p.active[0]
	for _, j := range p.active {
		if j.doneAt < first.doneAt {
			first = j
		}
	}
	wait := time.Duration((first.doneAt - p.workPerJob) / p.speed() * float64(time.Second))
	if p.WarmUpFraction() < 1 {
		wait = min(wait, recomputeInterval)
	}
	gen := p.generation
	p.clock.After(max(wait, time.Microsecond), func() {
		if p.generation == gen {
			p.processDue()
		}
	})
}

const negligibleWork = 1e-9 // remaining core-seconds that count as complete

// processDue ends the jobs that are complete and starts queued ones.
func (p *Processor) processDue() {
	p.advance()
	remaining := p.active[:0]
	var completed []*Job
	for _, j := range p.active {
		if j.doneAt <= p.workPerJob+negligibleWork {
			completed = append(completed, j)
		} else {
			remaining = append(remaining, j)
		}
	}
	p.active = remaining
	for _, j := range completed {
		if j.Abandoned {
			j.Done(Unneeded)
		} else {
			j.Done(Worked)
		}
	}
	for len(p.active) < p.settings.Slots && len(p.queue) > 0 {
		j := p.queue[0]
		p.queue = p.queue[1:]
		switch {
		case j.Abandoned:
		case p.clock.Now() >= j.Until:
			j.Done(Expired)
		default:
			j.doneAt = p.workPerJob + j.Work
			p.active = append(p.active, j)
		}
	}
	p.scheduleNext()
}

// Offer accepts a job. It returns false if the slots and the queue are full.
func (p *Processor) Offer(j *Job) bool {
	switch {
	case len(p.active) < p.settings.Slots:
		p.advance()
		j.doneAt = p.workPerJob + j.Work
		p.active = append(p.active, j)
		p.scheduleNext()
	case len(p.queue) < p.settings.Queue:
		p.queue = append(p.queue, j)
	default:
		return false
	}
	return true
}

// SetSlowdown sets the factor on the duration of all work from now on.
func (p *Processor) SetSlowdown(factor float64) {
	p.advance()
	p.slowdown = factor
	p.scheduleNext()
}

// Clear removes and returns all jobs.
func (p *Processor) Clear() []*Job {
	p.advance()
	all := append(p.active, p.queue...)
	p.active, p.queue = nil, nil
	p.generation++
	return all
}

// OverloadCheck evaluates the rule on cold servers: it compares the work that a server recently received with
// what the server can handle, and tracks how much of it came from edge nodes that knew of its start.
type OverloadCheck struct {
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

// NewOverloadCheck returns the check for a process that has just started.
func NewOverloadCheck(w *world.World) *OverloadCheck {
	return &OverloadCheck{rules: &w.Rules, meanWork: w.MeanWork()}
}

// RecordAttempt records an attempt. overloaded is true if the attempt overloads the server, which then
// crashes. sendersKnew is true if in addition at least two thirds of the recent load came from edge nodes
// that knew of its start.
func (c *OverloadCheck) RecordAttempt(p *Processor, work float64, knewStart bool) (overloaded,
	sendersKnew bool) {
	now := p.clock.Now()
	if p.Start == 0 || c.rules.FallFor == 0 || p.WarmUpFraction() >= 1 {
		return false, false
	}
	c.sent = append(c.sent, arrival{now, work, knewStart})
	for len(c.sent) > 0 && now-c.sent[0].at > c.rules.FallFor.D() {
		c.sent = c.sent[1:]
	}
	totalWork, informedWork := 0.0, 0.0
	for _, x := range c.sent {
		if totalWork += x.work; x.knewStart {
			informedWork += x.work
		}
	}
	limit := c.rules.Fall*p.Cores*p.WarmUpFraction()*c.rules.FallFor.D().Seconds() + slackRequests*c.meanWork
	if totalWork <= limit || now-p.Start < c.rules.FallFor.D() {
		return false, false
	}
	return true, informedWork >= totalWork*2/3
}
