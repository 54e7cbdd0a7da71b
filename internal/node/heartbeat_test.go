package node

import (
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/testkit"
)

func TestHeartbeatLag(t *testing.T) {
	var beat heartbeat
	expect := func(at, present, worst time.Duration) {
		t.Helper()
		if got, most := beat.lag(at); got != present || most != worst {
			t.Errorf("at %v: lag %v, at worst %v; want %v, %v", at, got, most, present, worst)
		}
	}
	const s = time.Second
	expect(5*s, 0, 0) // no beat yet
	beat.record(10*s, 11*s)
	expect(11*s, 0, 0)
	expect(13*s, 2*s, 2*s) // blocked
	beat.record(14*s, 15*s)
	expect(15*s, 0, 3*s)
	for at := 15 * s; at < 14*s+lagWindow; at += s { // on time again
		beat.record(at, at+s)
	}
	expect(14*s+lagWindow, 0, 3*s)
	for at := 14*s + lagWindow; at <= 14*s+3*lagWindow; at += s {
		beat.record(at, at+s)
	}
	expect(14*s+3*lagWindow, 0, 0)
}

// A blocked event loop is visible in the status while it is blocked.
func TestBlockedLoopIsReported(t *testing.T) {
	h := testConfig(t, newDiscoveryServer(t).addr)
	n := startNode(t, h)
	blocked, release := make(chan struct{}), make(chan struct{})
	event := applyGeneration{generation: h.Current(), done: make(chan struct{})}
	n.loop.onApply = func(*config.Generation) { close(blocked); <-release }
	n.loop.events <- event
	<-blocked
	testkit.Eventually(t, "the lag",
		func() bool { s := n.Status(); return s.Lag > 2*checkInterval && s.MaxLag >= s.Lag })
	close(release)
	<-event.done
	testkit.Eventually(t, "the loop running again",
		func() bool { s := n.Status(); return s.Lag < checkInterval && s.MaxLag > 2*checkInterval })
}
