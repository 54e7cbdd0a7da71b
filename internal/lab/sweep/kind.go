package sweep

import "valvering.example/valvering/policy"

// kind is the kind of a datagram of package policy. The first byte is a version; in short messages
// the second byte is the kind.
type kind string

// The kinds that the sweeps distinguish.
const (
	kindAsk           kind = "ask"
	kindAnswer        kind = "answer"
	kindEnded         kind = "ended"
	kindObservation   kind = "sight"
	kindVerdict       kind = "verdict"
	kindStillInFlight kind = "still out"
	kindReport        kind = "report"
	kindOther         kind = "other"
)

const shortVersion, reportVersion = 3, 6

var shortKinds = map[byte]kind{0: kindAsk, 1: kindAnswer, 2: kindEnded, 3: kindObservation, 4: kindVerdict,
	13: kindStillInFlight}

// kindOf returns the kind of a datagram.
func kindOf(data []byte) kind {
	switch {
	case len(data) > 0 && data[0] == reportVersion:
		return kindReport
	case len(data) > 1 && data[0] == shortVersion && shortKinds[data[1]] != "":
		return shortKinds[data[1]]
	}
	return kindOther
}

// datagramsOfKind returns the datagrams of one kind among actions.
func datagramsOfKind(acts []policy.Action, want kind) (list []policy.SendMessage) {
	for _, a := range acts {
		if t, ok := a.(policy.SendMessage); ok && kindOf(t.Data) == want {
			list = append(list, t)
		}
	}
	return list
}

// sendActions returns the attempts among actions.
func sendActions(acts []policy.Action) (list []policy.Send) {
	for _, a := range acts {
		if s, ok := a.(policy.Send); ok {
			list = append(list, s)
		}
	}
	return list
}
