package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against clients that make a gateway remember any number of customers: those beyond the bound are
// refused, the known ones are served, and the places of customers that are forgotten are free again.
func TestCustomersAreBounded(t *testing.T) {
	const limit = 10
	s := baseSettings()
	s.MaxCustomers = limit
	w := newHarness(t, s, testServers(4))
	var known []Send
	for i := range 3 * limit {
		_, acts := w.request("safe", "rate", fmt.Sprint("customer", i), 1)
		sends, refusals := of[Send](acts), of[Refuse](acts)
		if i < limit && len(sends) != 1 || i >= limit && (len(sends) > 0 || len(refusals) != 1) {
			t.Fatalf("request of customer %d: %v", i, acts)
		}
		if i >= limit && refusals[0].RetryAfter <= 0 {
			t.Errorf("refused without advice: %+v", refusals[0])
		}
		known = append(known, sends...)
	}
	if _, acts := w.request("safe", "rate", "customer0", 1); len(of[Send](acts)) != 1 {
		t.Errorf("request of a known customer: %v", acts)
	}
	changed := s
	changed.MaxCustomers = 0 // a new configuration doesn't change the bound
	w.do(Reconfigure{Settings: changed})
	for i := range known {
		w.end(known[i], 0, OK)
	}
	if n := len(w.g.customers); n != limit {
		t.Errorf("%d customers known, the bound is %d", n, limit)
	}
	w.g.requests = map[RequestID]*request{}
	for _, c := range w.g.customerList {
		c.inFlight = 0
	}
	w.advance(time.Minute)
	if _, acts := w.request("safe", "rate", "new", 1); len(of[Send](acts)) != 1 {
		t.Errorf("request of a new customer after the others are forgotten: %v", acts)
	}
}

// Guards against other gateways that make a root remember any number of customers and of their requests:
// messages beyond the bounds count as lost.
func TestRemoteStateIsBounded(t *testing.T) {
	const limit, gateways = 20, 100
	s := baseSettings()
	s.Gateways, s.MaxCustomers = gateways, limit
	w := newHarness(t, s, testServers(20))
	if !w.g.largeFleet {
		t.Fatal("no roots in this fleet")
	}
	sent := 0
	send := func(customer uint64, m func(askMessage) any) {
		sent++
		ask := askMessage{Customer: customer, Spread: 1, Plan: w.g.plans["both"].index, Units: 1, RemainingMS: 2000,
			Tag: w.g.newTag(w.g.tables[0]), TokenFill: unknownTokens, AskChance: 250}
		w.do(PeerMessage{From: 1 + sent%(gateways-1), Data: encode(m(ask))})
	}
	for i := range 50 * limit {
		send(uint64(i%7), func(a askMessage) any { return a })
		send(uint64(i), func(a askMessage) any { return a })
		send(uint64(1000+i), func(a askMessage) any { return stillInFlight(a) })
	}
	remote := 0
	for _, c := range w.g.customerList {
		remote += c.countRemote()
	}
	if n := len(w.g.customers); n != limit || remote > limit || remote == 0 {
		t.Errorf("%d customers and %d requests of others, the bound is %d", n, remote, limit)
	}
	w.advance(20 * time.Second) // the requests' deadlines pass
	if w.g.remoteRequests != 0 || !w.g.hasRoomForRemote() {
		t.Errorf("%d requests of others after their end", w.g.remoteRequests)
	}
}

// Guards against other gateways that make this one keep state of the whole server list.
func TestTrackedServersAreBounded(t *testing.T) {
	for customers, limit := range map[int]int{0: maxTrackedServers, 1 << 20: maxTrackedServers, 500: 500} {
		s := baseSettings()
		s.Gateways, s.MaxCustomers = 100, customers
		w := newHarness(t, s, testServers(3*maxTrackedServers))
		for i := range 3 * maxTrackedServers {
			w.do(PeerMessage{From: 1, Data: encode(verdictMessage{Server: uint32(i + 1), OutOfUse: 1})})
		}
		if n := len(w.g.tracked); n > limit+len(w.g.subset) || n < limit || w.g.TracksAllServers() {
			t.Errorf("%d servers tracked, the bound is %d", n, limit)
		}
	}
}
