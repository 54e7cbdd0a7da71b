package node

import (
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/testkit"
)

func TestPulse(t *testing.T) {
	var p heartbeat
	expect := func(at, present, worst time.Duration) {
		t.Helper()
		if got, most := p.lag(at); got != present || most != worst {
			t.Errorf("at %v: %v behind, %v at worst; want %v, %v", at, got, most, present, worst)
		}
	}
	const s = time.Second
	expect(5*s, 0, 0) // not begun
	p.record(10*s, 11*s)
	expect(11*s, 0, 0)
	expect(13*s, 2*s, 2*s) // standing still
	p.record(14*s, 15*s)
	expect(15*s, 0, 3*s)
	for at := 15 * s; at < 14*s+lagWindow; at += s { // on time again
		p.record(at, at+s)
	}
	expect(14*s+lagWindow, 0, 3*s)
	for at := 14*s + lagWindow; at <= 14*s+3*lagWindow; at += s {
		p.record(at, at+s)
	}
	expect(14*s+3*lagWindow, 0, 0)
}

// An event loop that stands still is seen by operators while it does.
func TestStandstillIsSeen(t *testing.T) {
	h := testConfig(t, newRegistry(t).addr)
	n := start(t, h)
	held, let := make(chan struct{}), make(chan struct{})
	stall := applyGeneration{generation: h.Current(), done: make(chan struct{})}
	n.loop.onApply = func(*config.Generation) { close(held); <-let }
	n.loop.events <- stall
	<-held
	testkit.Eventually(t, "the standstill", func() bool { s := n.Status(); return s.Lag > 2*checkInterval && s.MaxLag >= s.Lag })
	close(let)
	<-stall.done
	testkit.Eventually(t, "the loop's going on", func() bool { s := n.Status(); return s.Lag < checkInterval && s.MaxLag > 2*checkInterval })
}
