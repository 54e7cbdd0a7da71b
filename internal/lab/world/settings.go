package world

import (
	"encoding/json"
	"fmt"

	"valvering.example/valvering/internal/wire"
	"valvering.example/valvering/policy"
)

// object is an object of the platform's settings.
type object = map[string]any

// NestedSettings returns the settings of edge node me, nested as in its configuration file and named as
// on the wire.
func (w *World) NestedSettings(me int) object {
	ms := func(d Duration) float64 { return d.D().Seconds() * 1000 }
	var classes, plans []any
	for _, c := range w.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, object{"name": c.Name, "aim_ms": ms(c.Aim),
			"hard_limit_ms": ms(c.Deadline), "semantics": c.Effect,
			"group": group, "window_ms": ms(c.Window), "value": c.Value, "late_worth": c.Late, "stream": false})
	}
	for _, p := range w.Plans {
		plans = append(plans, object{"name": p.Name, "rate": p.Rate, "store_size": p.Store,
			"parallel": p.Parallel, "hard_rate": p.HardRate,
			"hard_burst": p.HardSize, "tolerance": w.Rules.Tolerance, "price": p.Price, "beyond_earns": p.Earns, "beyond_costs": p.Costs})
	}
	discovery := "push"
	if w.Disc.Watch {
		discovery = "ask"
	}
	return object{
		"me": me, "balancers": w.Nodes, "zone": ZoneName(w.ZoneOf(me)), "tick_ms": ms(w.Rules.Tick), "discovery": discovery,
		"weight_kind": "nominal", "classes": classes, "plans": plans, "clients": object{"marks_retry": true},
		"caps": object{"cancel": true, "peers": true, "probes": true, "retry_after": true,
			"may_duplicate": false, "max_attempts": w.Rules.Attempts, "max_retry_after_ms": ms(w.Rules.Retry),
			"dial_timeout_ms": ms(w.Net.Dial), "conn_idle_ms": ms(w.Server.Idle)},
		"family_info": object{"mail_per_s": w.Net.Mail, "largest": w.Load.Units},
		"charges":     object{"cross_zone": 0.0},
		"report":      object{"via": "none"},
		"rules": object{"answer_slack_ms": ms(w.Rules.Slack), "cold_share": w.Server.ColdShare,
			"warm_within_ms": ms(w.Server.Warm), "fall_multiple": w.Rules.Fall,
			"fall_ms": ms(w.Rules.FallFor), "drain_grace_ms": ms(w.Rules.Grace), "ask_every_ms": 10000.0},
	}
}

// settingPairs returns the same settings as path=value pairs.
func (w *World) settingPairs(me int) (wire.SettingPairs, error) {
	data, err := json.Marshal(w.NestedSettings(me))
	if err != nil {
		return wire.SettingPairs{}, fmt.Errorf("settings: %w", err)
	}
	return wire.SettingPairsFromJSON(data)
}

// Settings returns the policy settings of edge node me, parsed as the edge node parses its configuration.
func (w *World) Settings(me int) (policy.Settings, error) {
	f, err := w.settingPairs(me)
	if err != nil {
		return policy.Settings{}, err
	}
	return f.Settings()
}

// Pairs returns the settings in the format of the simulator's wire.
func (w *World) Pairs(me int) ([]string, error) {
	f, err := w.settingPairs(me)
	return f.Pairs(), err
}
