package sweep

import "valvering.example/valvering/policy"

// kind names a datagram by what it tells, as the module writes it: a version, and behind
// the version of the short messages a byte for the kind.
type kind string

// The kinds that the sweeps tell apart.
const (
	kindAsk     kind = "ask"
	kindAnswer  kind = "answer"
	kindEnded   kind = "ended"
	kindSight   kind = "sight"
	kindVerdict kind = "verdict"
	kindStill   kind = "still out"
	kindReport  kind = "report"
	kindOther   kind = "other"
)

const shortVersion, reportVersion = 3, 6

var shortKinds = map[byte]kind{0: kindAsk, 1: kindAnswer, 2: kindEnded, 3: kindSight, 4: kindVerdict, 13: kindStill}

// kindOf tells a datagram's kind.
func kindOf(data []byte) kind {
	switch {
	case len(data) > 0 && data[0] == reportVersion:
		return kindReport
	case len(data) > 1 && data[0] == shortVersion && shortKinds[data[1]] != "":
		return shortKinds[data[1]]
	}
	return kindOther
}

// tells returns the datagrams of one kind among actions.
func tells(acts []policy.Action, want kind) (list []policy.SendMessage) {
	for _, a := range acts {
		if t, ok := a.(policy.SendMessage); ok && kindOf(t.Data) == want {
			list = append(list, t)
		}
	}
	return list
}

// sends returns the attempts among actions.
func sends(acts []policy.Action) (list []policy.Send) {
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			list = append(list, s)
		}
	}
	return list
}
