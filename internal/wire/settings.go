package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/policy"
)

// facts holds the settings of a CONFIGURE line. Unknown keys are ignored. Each of errs
// begins with the key of a fault.
type facts struct {
	m    map[string]string
	errs []error
}

const (
	maxNumber  = 1e12 // largest number; larger ones may overflow the fields that hold them
	maxEntries = 200  // classes or plans; messages store their indexes in one byte
)

func (f *facts) addFault(key, format string, args ...any) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
}

func (f *facts) number(key string) float64 {
	w, have := f.m[key]
	if !have {
		return 0
	}
	p := parser{words: []string{w}}
	v := p.num()
	switch {
	case p.err != nil:
		f.addFault(key, "%v", p.err)
	case math.Abs(v) > maxNumber:
		f.addFault(key, "%g is out of range", v)
		return 0
	}
	return v
}

func (f *facts) ms(key string) time.Duration {
	v := f.number(key)
	if v < 0 {
		f.addFault(key, "negative")
	}
	return duration(v)
}

func (f *facts) int(key string) int { return int(f.number(key)) }

func (f *facts) bool(key string) bool {
	switch w := f.m[key]; w {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		f.addFault(key, "%q is not a boolean", clip(w))
	}
	return false
}

var effects = map[string]policy.Effect{"repeatable": policy.Safe, "by_key": policy.Keyed,
	"once": policy.Unsafe}

var groups = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll,
	"zone": policy.GroupZone, "cell": policy.GroupCell}

func parseSettings(pairs []string) (policy.Settings, error) {
	f := facts{m: make(map[string]string, len(pairs))}
	for _, p := range pairs {
		if p == "" {
			continue
		}
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return policy.Settings{}, fmt.Errorf("setting %q has no value", clip(p))
		}
		f.m[k] = v
	}
	s := policy.Settings{
		Self: f.int("me"), Gateways: f.int("balancers"), Zone: f.m["zone"],
		Resolution: f.ms("tick_ms"), MaxAttempts: f.int("caps.max_attempts"),
		CanCancel: f.bool("caps.cancel"), CanSendMessages: f.bool("caps.peers"),
		DatagramsPerSecond: f.number("family_info.mail_per_s"), MaxUnits: f.number("family_info.largest"),
		MustWatch:     f.m["discovery"] == "ask",
		SizeKnown:     f.m["weight_kind"] == "nominal" || f.m["weight_kind"] == "rough",
		CrossZoneCost: f.number("charges.cross_zone"),
		AnswerSlack:   f.ms("rules.answer_slack_ms"), MinWarmUpFraction: f.number("rules.cold_share"),
		WarmUpTime: f.ms("rules.warm_within_ms"), OverloadMultiple: f.number("rules.fall_multiple"),
		OverloadTime: f.ms("rules.fall_ms"),
	}
	if f.bool("caps.retry_after") {
		s.MaxRetryAfter = f.ms("caps.max_retry_after_ms")
	}
	if names := f.m["report.names"]; names != "" {
		s.ReportNames = strings.Split(names, ",")
	}
	count := func(key string) int {
		n := f.int(key)
		if n < 0 || n > maxEntries {
			f.addFault(key, "%d is not from 0 to %d", n, maxEntries)
			return 0
		}
		return n
	}
	for i := range count("classes.count") {
		k := "classes." + strconv.Itoa(i) + "."
		effect, effectKnown := effects[f.m[k+"semantics"]]
		group, groupKnown := groups[f.m[k+"group"]]
		if !effectKnown {
			f.addFault(k+"semantics", "unknown value %q", clip(f.m[k+"semantics"]))
		}
		if !groupKnown {
			f.addFault(k+"group", "unknown value %q", clip(f.m[k+"group"]))
		}
		s.Classes = append(s.Classes, policy.Class{Name: f.m[k+"name"], LatencyTarget: f.ms(k + "aim_ms"),
			Deadline: f.ms(k + "hard_limit_ms"), Effect: effect, Group: group,
			Window: f.ms(k + "window_ms"), Stream: f.bool(k + "stream")})
	}
	for i := range count("plans.count") {
		k := "plans." + strconv.Itoa(i) + "."
		s.Plans = append(s.Plans, policy.Plan{Name: f.m[k+"name"], Rate: f.number(k + "rate"),
			Burst: f.number(k + "store_size"), MaxInFlight: f.int(k + "parallel"),
			EarnedBeyondQuota: f.number(k + "beyond_earns"), ChargedBeyondQuota: f.number(k + "beyond_costs"),
			HardRate: f.number(k + "hard_rate"), HardBurst: f.number(k + "hard_burst")})
	}
	return s, errors.Join(f.errs...)
}
