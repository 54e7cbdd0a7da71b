package memory

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"
)

// The parts of a plan, with the connections that it allows, fit the limit beside the program and the garbage.
func TestPlanFitsLimit(t *testing.T) {
	if sum := connectionShare + requestShare + responseShare + serverListShare + customerShare; math.Abs(sum-1) > 1e-9 {
		t.Errorf("the shares' sum is %v", sum)
	}
	for _, limit := range []int{32, 48, 64, 96, 128, 192, 512, 2048} {
		for _, conns := range [][2]int{{128, 89}, {192, 134}, {512, 358}, {2048, 1433}} {
			p := NewPlan(limit)
			clients, servers := p.Connections(conns[0], conns[1])
			sum := int64(clients*ClientConnBytes+servers*ServerConnBytes) + p.RequestBytes + p.ResponseBytes +
				int64(p.MaxServerLines()*ServerLineBytes) + int64(p.MaxCustomers()*CustomerBytes) + programBytes
			if garbage := int64((1 - liveShare) * float64(GoLimit(limit))); sum+garbage > GoLimit(limit) {
				t.Errorf("%d MB, %v connections: %d bytes and %d of garbage in %d", limit, conns, sum, garbage, GoLimit(limit))
			}
			if clients > conns[0] || servers > conns[1] || clients < 1 || servers < 1 {
				t.Errorf("%d MB: %d and %d connections of %v", limit, clients, servers, conns)
			}
		}
		if !Fits(limit) {
			t.Errorf("%d MB do not fit", limit)
		}
	}
	if Fits(8) || !Fits(0) || NewPlan(0) != NewPlan(defaultMB) || NewPlan(1).MaxCustomers() < 1 {
		t.Error("limits that are missing or too low")
	}
}

// The limits of days that were played lose no connection, and the planned size fits its limit.
func TestPlanKeepsUsualSizes(t *testing.T) {
	for _, c := range []struct{ limit, clients, servers int }{{64, 192, 134}, {192, 512, 358}} {
		if clients, servers := NewPlan(c.limit).Connections(c.clients, c.servers); clients != c.clients || servers != c.servers {
			t.Errorf("%+v: %d and %d", c, clients, servers)
		}
	}
	if n := NewPlan(192).MaxServerLines(); n < 56000 {
		t.Errorf("%d servers at 192 MB", n)
	}
	if n := NewPlan(32).MaxServerLines(); n < 3200 {
		t.Errorf("%d servers at 32 MB", n)
	}
	if p := NewPlan(64); p.MaxServers(0) != p.MaxServerLines() ||
		p.MaxServers(500)*(ServerLineBytes-DecodedLineBytes+500)+p.MaxServerLines()*DecodedLineBytes > int(p.ServerListBytes) {
		t.Errorf("%d servers with state of %d lines", p.MaxServers(500), p.MaxServerLines())
	}
}

func TestPool(t *testing.T) {
	p := NewPool(10)
	if !p.TryReserve(6) || p.TryReserve(5) || !p.TryReserve(4) {
		t.Fatal("reserved more or less than the limit")
	}
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := p.Reserve(short, 1); !errors.Is(err, ErrFull) {
		t.Errorf("%v from a full pool", err)
	}
	time.AfterFunc(10*time.Millisecond, func() { p.Release(4) })
	if err := p.Reserve(t.Context(), 3); err != nil {
		t.Errorf("%v after a release", err)
	}
	if err := p.Reserve(t.Context(), 11); !errors.Is(err, ErrFull) {
		t.Errorf("%v for more than the limit", err)
	}
	if u := p.Usage(); u != (Usage{Limit: 10, Reserved: 9, Peak: 10, Refused: 2}) {
		t.Errorf("%+v", u)
	}
	var none *Pool
	if !none.TryReserve(1<<30) || none.Reserve(t.Context(), 1<<30) != nil || none.Usage() != (Usage{}) {
		t.Error("no pool has a limit")
	}
	none.Release(1)
}
