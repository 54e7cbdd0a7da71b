package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func names(n int) (l []string) {
	for i := range n {
		l = append(l, fmt.Sprintf("n%d", i))
	}
	return l
}

func (c *supervisor) states() string {
	var out []string
	for _, u := range c.sorted() {
		out = append(out, fmt.Sprint(u.name, [...]string{" waiting", " running", " draining", " ended"}[u.state]))
	}
	return strings.Join(out, ", ")
}

// What crashes is started again after waits that double up to a bound, with a
// jitter, and begin anew for one that ran for long.
func TestBackoff(t *testing.T) {
	c := newSupervisor(names(1), time.Minute, 1)
	now := time.Second
	var last time.Duration
	for i := range 12 {
		if o := c.tick(now); len(o) != 1 || o[0] != (order{"n0", start}) {
			t.Fatalf("start %d: %v", i, o)
		}
		c.exited("n0", now, "exit status 1", false)
		wait := c.units["n0"].due - now
		least := min(leastWait<<i, mostWait)
		if wait < least || float64(wait) > (1+jitterPart)*float64(least) {
			t.Errorf("wait %d: %v, want %v and a jitter", i, wait, least)
		}
		if o := c.tick(now + wait - 1); len(o) != 0 {
			t.Errorf("started before its wait was over: %v", o)
		}
		now, last = now+wait, wait
	}
	c.tick(now)
	c.exited("n0", now+steadyFor, "signal: killed", false)
	if wait := c.units["n0"].due - now - steadyFor; wait >= last/2 {
		t.Errorf("waits %v after it ran for long", wait)
	}
	other := newSupervisor(names(1), time.Minute, 2)
	other.tick(0)
	other.exited("n0", 0, "", false)
	first := newSupervisor(names(1), time.Minute, 1)
	first.tick(0)
	first.exited("n0", 0, "", false)
	if other.units["n0"].due == first.units["n0"].due {
		t.Error("two machines wait alike")
	}
}

func TestListed(t *testing.T) {
	c := newSupervisor(names(3), time.Minute, 1)
	c.tick(0)
	c.exited("n2", time.Second, "exit status 2", false)
	c.units["n2"].due = time.Hour
	got := fmt.Sprint(c.listed([]string{"n0", "n2", "n9"}, 2*time.Second))
	if want := fmt.Sprint([]order{{"n0", reload}, {"n1", stop}}); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if o := fmt.Sprint(c.tick(2 * time.Second)); o != fmt.Sprint([]order{{"n2", start}, {"n9", start}}) {
		t.Errorf("%s: a mended file waits, or a new one", o)
	}
	c.listed(names(3), 3*time.Second) // n1 is back before it has ended, n9 goes
	c.exited("n1", 4*time.Second, "exit status 0", true)
	c.exited("n9", 4*time.Second, "exit status 0", true)
	if o := fmt.Sprint(c.tick(4 * time.Second)); o != fmt.Sprint([]order{{"n1", start}}) || len(c.units) != 3 {
		t.Errorf("%s, %s", o, c.states())
	}
}

// While there is time for it one drains after the other; one in a crash loop has
// nothing open.
func TestDrainInTurn(t *testing.T) {
	c := newSupervisor(names(4), 100*time.Second, 1)
	c.tick(0)
	c.exited("n3", 0, "exit status 1", false)
	c.drain(time.Second)
	now := time.Second
	for _, n := range names(3) {
		if o := c.tick(now); len(o) != 1 || o[0] != (order{n, stop}) {
			t.Fatalf("%v, want %s alone", o, n)
		}
		if o := c.tick(now + time.Second); len(o) != 0 {
			t.Fatalf("%v beside %s", o, n)
		}
		now += 2 * time.Second
		c.exited(n, now, "exit status 0", true)
	}
	line, lost := c.report(now)
	if !c.over() || lost || !strings.Contains(line, "nothing lost") || !strings.Contains(line, "n3 (1)") {
		t.Errorf("%v %v: %s", c.over(), lost, line)
	}
}

// Asked twice, all drain at once and are hastened; what outlasts the budget is
// killed, and the last line says where.
func TestDrainInAHurry(t *testing.T) {
	c := newSupervisor(names(2), 10*time.Second, 1)
	c.tick(0)
	c.drain(time.Second)
	c.tick(time.Second)
	c.drain(2 * time.Second)
	if o := fmt.Sprint(c.tick(2 * time.Second)); o != fmt.Sprint([]order{{"n1", stop}, {"n0", stop}}) {
		t.Errorf("%s: n1 begins, n0 is hastened", o)
	}
	if o := fmt.Sprint(c.tick(3 * time.Second)); o != fmt.Sprint([]order{{"n1", stop}}) {
		t.Errorf("%s: n1 is hastened", o)
	}
	c.exited("n0", 4*time.Second, "exit status 1", false)
	if o := fmt.Sprint(c.tick(11 * time.Second)); o != fmt.Sprint([]order{{"n1", kill}}) {
		t.Errorf("%s at the budget's end", o)
	}
	c.exited("n1", 11*time.Second, "signal: killed", false)
	line, lost := c.report(11 * time.Second)
	if !lost || !c.over() || !strings.Contains(line, "n0 (exit status 1), n1 (killed when the budget was over)") {
		t.Error(line)
	}
}

// Whatever ends when, and however signals come: nothing starts once the drain has
// begun or before its wait is over, no more than one drains while there is time,
// every edge node that runs is told to stop, and the budget holds.
func TestSupervisorModel(t *testing.T) {
	for seed := range uint64(1000) {
		if err := model(seed, newSupervisor(names(int(seed%9)+1), 20*time.Second, seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func model(seed uint64, c *supervisor) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	type proc struct{ ends time.Duration }
	alive := map[string]*proc{}
	const never = time.Hour
	drainAt, again := time.Duration(rng.Int64N(int64(30*time.Second))), time.Duration(0)
	if rng.IntN(3) == 0 {
		again = drainAt + time.Duration(rng.Int64N(int64(20*time.Second)))
	}
	slow := rng.IntN(2) == 0           // some take longer than there is
	quick := !slow && rng.IntN(2) == 0 // all take less than their part
	asked := false
	for now := time.Duration(0); ; now += tickEvery {
		if now >= drainAt && !asked {
			asked = true
			c.drain(now)
		}
		if again > 0 && now >= again {
			again = 0
			c.drain(now)
		}
		if rng.IntN(200) == 0 {
			for _, o := range c.listed(names(rng.IntN(9)+1), now) {
				if p := alive[o.name]; o.what == stop && p != nil {
					p.ends = now + time.Duration(rng.Int64N(int64(2*time.Second)))
				}
			}
		}
		for name, p := range alive {
			if now >= p.ends {
				delete(alive, name)
				c.exited(name, now, "ended", rng.IntN(4) > 0)
			}
		}
		due := map[string]time.Duration{}
		for name, u := range c.units {
			due[name] = u.due
		}
		for _, o := range c.tick(now) {
			p := alive[o.name]
			switch {
			case o.what == start && (asked || p != nil || now < due[o.name]):
				return fmt.Errorf("%v: started %s", now, o.name)
			case o.what == start:
				alive[o.name] = &proc{ends: never}
				if rng.IntN(3) == 0 { // it crashes
					alive[o.name].ends = now + time.Duration(rng.Int64N(int64(5*time.Second)))
				}
			case p == nil:
				return fmt.Errorf("%v: %v to %s, which does not run", now, o.what, o.name)
			case o.what == kill:
				p.ends = now
			case o.what == stop:
				if quick {
					p.ends = min(p.ends, now+100*time.Millisecond)
				} else if p.ends == never {
					p.ends = now + time.Duration(rng.Int64N(int64(2*time.Second)))
					if slow && rng.IntN(3) == 0 {
						p.ends = never
					}
				}
			}
		}
		if !asked {
			continue
		}
		n := 0
		for _, u := range c.units {
			if u.state == draining && !u.gone {
				n++
			}
		}
		if n > 1 && !c.hasty && quick {
			return fmt.Errorf("%v: %d drain at once: %s", now, n, c.states())
		}
		if c.over() {
			if len(alive) > 0 {
				return fmt.Errorf("%v: over while %d run", now, len(alive))
			}
			return nil
		}
		if now > c.began+c.budget+time.Second {
			return fmt.Errorf("%v: not over: %s", now, c.states())
		}
	}
}
