package policy

import "time"

// Handle processes one event and appends the resulting actions to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = now, out
	if !g.started {
		g.started, g.startedAt, g.lastTick = true, now, now
		g.emit(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tick))) + 1})
		g.requestServerList()
	}
	switch ev := ev.(type) {
	case Request:
		if !g.hasRoomFor(customerKey(ev.Customer)) {
			g.refuseUnknown(ev)
			break
		}
		g.onRequest(g.newRequest(ev))
	case Outcome:
		g.onOutcome(ev)
	case Started:
		if r := g.requests[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.server != nil {
			r.streaming = true
		}
	case ClientDisconnected:
		if r := g.requests[ev.ID]; r != nil {
			g.close(r)
		}
	case Timer:
		switch {
		case ev.Token == "tick" && now > g.lastTick:
			g.onTick()
		case ev.Token == "ask":
			g.onAskTimer()
		case ev.Token == "hand":
			g.sendTransfers()
		}
	case PeerMessage:
		g.onPeerMessage(ev)
	case ServerListUpdate:
		g.onServerList(ev)
	case Reconfigure:
		g.reconfigure(ev.Settings)
	case Restore:
		g.restore(ev)
	case Shutdown:
		g.onShutdown()
	}
	out, g.actions = g.actions, nil
	return out
}

// onServerList applies a whole server list, or changes to it.
func (g *Gateway) onServerList(ev ServerListUpdate) {
	if ev.Kind == WatchFailed {
		g.watchSent = false
		return
	}
	if ev.Kind != Changes {
		g.allServers.beginFullList()
		for _, s := range g.tracked {
			s.markRemoved(g.now)
		}
	}
	for _, m := range ev.Servers {
		g.allServers.put(m)
		g.updateTracked(m)
	}
	if ev.Kind != Changes {
		g.allServers.endFullList()
	}
	g.runningServers, g.meanWeight = g.allServers.running, g.allServers.meanWeight()
	g.chooseSubset()
	g.capacity = g.usableCapacity()
}

// onPeerMessage decodes another gateway's message and passes it to its handler.
func (g *Gateway) onPeerMessage(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.settings.Self {
		return
	}
	g.unansweredAsks = 0
	switch m := decode(ev.Data).(type) {
	case askMessage:
		if plan, cl := g.resolveAsk(ev.From, &m); cl != nil && m.Spread > 0 {
			g.onAsk(ev.From, m, plan, cl)
		}
	case answerMessage:
		g.onAnswer(ev.From, m)
	case endMessage:
		g.onEnd(ev.From, m)
	case observation:
		g.onObservation(m, g.localClass(m.Class, false, 0))
	case verdictMessage:
		g.onVerdict(m, g.localClassMask(m.OutOfUse, false, 0))
	case report:
		g.onReport(g.peers[ev.From], m)
	default:
		g.onNewerMessage(ev.From, m)
	}
}
