package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func nodeNames(n int) (l []string) {
	for i := range n {
		l = append(l, fmt.Sprintf("n%d", i))
	}
	return l
}

// states describes the edge nodes' states for error messages.
func (c *supervisor) states() string {
	var out []string
	for _, u := range c.sorted() {
		out = append(out, fmt.Sprint(u.name, [...]string{" waiting", " running", " draining", " ended"}[u.state]))
	}
	return strings.Join(out, ", ")
}

// A crashed edge node restarts after delays that double up to a limit, with a
// jitter. The delay is reset for one that ran for a long time.
func TestBackoff(t *testing.T) {
	c := newSupervisor(nodeNames(1), time.Minute, 1)
	now := time.Second
	var last time.Duration
	for i := range 12 {
		if o := c.tick(now); len(o) != 1 || o[0] != (order{"n0", start}) {
			t.Fatalf("start %d: %v", i, o)
		}
		c.exited("n0", now, "exit status 1", false)
		wait := c.edgeNodes["n0"].startAt - now
		minDelay := min(minRestartDelay<<i, maxRestartDelay)
		if wait < minDelay || float64(wait) > (1+jitterFraction)*float64(minDelay) {
			t.Errorf("delay %d: %v, want %v plus jitter", i, wait, minDelay)
		}
		if o := c.tick(now + wait - 1); len(o) != 0 {
			t.Errorf("started before its delay was over: %v", o)
		}
		now, last = now+wait, wait
	}
	c.tick(now)
	c.exited("n0", now+stableAfter, "signal: killed", false)
	if wait := c.edgeNodes["n0"].startAt - now - stableAfter; wait >= last/2 {
		t.Errorf("delay of %v after a long run", wait)
	}
	other := newSupervisor(nodeNames(1), time.Minute, 2)
	other.tick(0)
	other.exited("n0", 0, "", false)
	first := newSupervisor(nodeNames(1), time.Minute, 1)
	first.tick(0)
	first.exited("n0", 0, "", false)
	if other.edgeNodes["n0"].startAt == first.edgeNodes["n0"].startAt {
		t.Error("two machines have equal delays")
	}
}

// A reload drains edge nodes whose file was removed, starts new ones, and restarts a
// crashed one at once; an edge node whose file is restored while it drains starts again.
func TestUpdateFiles(t *testing.T) {
	c := newSupervisor(nodeNames(3), time.Minute, 1)
	c.tick(0)
	c.exited("n2", time.Second, "exit status 2", false)
	c.edgeNodes["n2"].startAt = time.Hour
	got := fmt.Sprint(c.updateFiles([]string{"n0", "n2", "n9"}, 2*time.Second))
	if want := fmt.Sprint([]order{{"n0", reload}, {"n1", stop}}); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if o := fmt.Sprint(c.tick(2 * time.Second)); o != fmt.Sprint([]order{{"n2", start}, {"n9", start}}) {
		t.Errorf("%s: want the crashed and the new edge node started at once", o)
	}
	// n1's file is restored before n1 has ended, n9's file is removed
	c.updateFiles(nodeNames(3), 3*time.Second)
	c.exited("n1", 4*time.Second, "exit status 0", true)
	c.exited("n9", 4*time.Second, "exit status 0", true)
	if o := fmt.Sprint(c.tick(4 * time.Second)); o != fmt.Sprint([]order{{"n1", start}}) ||
		len(c.edgeNodes) != 3 {
		t.Errorf("%s, %s", o, c.states())
	}
}

// Edge nodes drain one after another while time permits. One in a crash loop has
// no open requests and doesn't drain.
func TestDrainOneAfterAnother(t *testing.T) {
	c := newSupervisor(nodeNames(4), 100*time.Second, 1)
	c.tick(0)
	c.exited("n3", 0, "exit status 1", false)
	c.drain(time.Second)
	now := time.Second
	for _, n := range nodeNames(3) {
		if o := c.tick(now); len(o) != 1 || o[0] != (order{n, stop}) {
			t.Fatalf("%v, want only %s to drain", o, n)
		}
		if o := c.tick(now + time.Second); len(o) != 0 {
			t.Fatalf("%v while %s drains", o, n)
		}
		now += 2 * time.Second
		c.exited(n, now, "exit status 0", true)
	}
	line, lost := c.report(now)
	if !c.finished() || lost || !strings.Contains(line, "nothing lost") || !strings.Contains(line, "n3 (1)") {
		t.Errorf("%v %v: %s", c.finished(), lost, line)
	}
}

// After a second drain request all edge nodes drain at once and are hastened. Those
// that outlast the budget are killed, and the last line names them.
func TestHurriedDrain(t *testing.T) {
	c := newSupervisor(nodeNames(2), 10*time.Second, 1)
	c.tick(0)
	c.drain(time.Second)
	c.tick(time.Second)
	c.drain(2 * time.Second)
	if o := fmt.Sprint(c.tick(2 * time.Second)); o != fmt.Sprint([]order{{"n1", stop}, {"n0", stop}}) {
		t.Errorf("%s: want n1 to begin and n0 to be hastened", o)
	}
	if o := fmt.Sprint(c.tick(3 * time.Second)); o != fmt.Sprint([]order{{"n1", stop}}) {
		t.Errorf("%s: want n1 to be hastened", o)
	}
	c.exited("n0", 4*time.Second, "exit status 1", false)
	if o := fmt.Sprint(c.tick(11 * time.Second)); o != fmt.Sprint([]order{{"n1", kill}}) {
		t.Errorf("%s when the budget was over", o)
	}
	c.exited("n1", 11*time.Second, "signal: killed", false)
	line, lost := c.report(11 * time.Second)
	if !lost || !c.finished() ||
		!strings.Contains(line, "n0 (exit status 1), n1 (killed when the budget was over)") {
		t.Error(line)
	}
}

// Random crashes, reloads and signals: no edge node starts after the drain has begun or
// before its restart delay is over, only one drains at a time while time permits, every
// running edge node is told to stop, and the budget holds.
func TestSupervisorModel(t *testing.T) {
	for seed := range uint64(1000) {
		if err := runModel(seed, newSupervisor(nodeNames(int(seed%9)+1), 20*time.Second, seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// runModel plays random events against the supervisor until the drain is finished.
func runModel(seed uint64, c *supervisor) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	type process struct{ endsAt time.Duration }
	alive := map[string]*process{}
	const never = time.Hour
	drainAt, secondDrainAt := time.Duration(rng.Int64N(int64(30*time.Second))), time.Duration(0)
	if rng.IntN(3) == 0 {
		secondDrainAt = drainAt + time.Duration(rng.Int64N(int64(20*time.Second)))
	}
	slow := rng.IntN(2) == 0           // some drains outlast the budget
	quick := !slow && rng.IntN(2) == 0 // all drains fit into their part of the budget
	drainStarted := false
	for now := time.Duration(0); ; now += tickInterval {
		if now >= drainAt && !drainStarted {
			drainStarted = true
			c.drain(now)
		}
		if secondDrainAt > 0 && now >= secondDrainAt {
			secondDrainAt = 0
			c.drain(now)
		}
		if rng.IntN(200) == 0 {
			for _, o := range c.updateFiles(nodeNames(rng.IntN(9)+1), now) {
				if p := alive[o.name]; o.action == stop && p != nil {
					p.endsAt = now + time.Duration(rng.Int64N(int64(2*time.Second)))
				}
			}
		}
		for name, p := range alive {
			if now >= p.endsAt {
				delete(alive, name)
				c.exited(name, now, "ended", rng.IntN(4) > 0)
			}
		}
		startAt := map[string]time.Duration{}
		for name, u := range c.edgeNodes {
			startAt[name] = u.startAt
		}
		for _, o := range c.tick(now) {
			p := alive[o.name]
			switch {
			case o.action == start && (drainStarted || p != nil || now < startAt[o.name]):
				return fmt.Errorf("%v: started %s", now, o.name)
			case o.action == start:
				alive[o.name] = &process{endsAt: never}
				if rng.IntN(3) == 0 { // the process will crash
					alive[o.name].endsAt = now + time.Duration(rng.Int64N(int64(5*time.Second)))
				}
			case p == nil:
				return fmt.Errorf("%v: order %v for %s, which does not run", now, o.action, o.name)
			case o.action == kill:
				p.endsAt = now
			case o.action == stop:
				if quick {
					p.endsAt = min(p.endsAt, now+100*time.Millisecond)
				} else if p.endsAt == never {
					p.endsAt = now + time.Duration(rng.Int64N(int64(2*time.Second)))
					if slow && rng.IntN(3) == 0 {
						p.endsAt = never
					}
				}
			}
		}
		if !drainStarted {
			continue
		}
		n := 0
		for _, u := range c.edgeNodes {
			if u.state == draining && !u.fileRemoved {
				n++
			}
		}
		if n > 1 && !c.hurry && quick {
			return fmt.Errorf("%v: %d edge nodes drain at once: %s", now, n, c.states())
		}
		if c.finished() {
			if len(alive) > 0 {
				return fmt.Errorf("%v: finished while %d processes run", now, len(alive))
			}
			return nil
		}
		if now > c.drainStartedAt+c.budget+time.Second {
			return fmt.Errorf("%v: not finished: %s", now, c.states())
		}
	}
}
