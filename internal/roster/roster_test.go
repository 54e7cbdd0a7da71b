package roster

import "testing"

// Names in messages between edge nodes must come out alike at all of them.
func TestServerID(t *testing.T) {
	if id := ID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("%x", id)
	}
	if a, b := ID("loan-7"), ID("loan-8"); a == b || a != ID("loan-7") {
		t.Errorf("%x %x", a, b)
	}
}

// A list that can't be meant is refused: it comes from outside.
func TestCheck(t *testing.T) {
	good := Target{UID: "s-00000001", Endpoint: "127.0.0.1:1", State: "SERVING"}
	if err := (&List{Targets: []Target{good, {UID: "s-2", State: Gone}}}).Check(); err != nil {
		t.Error(err)
	}
	for why, change := range map[string]func(*Target){
		"no uid":        func(t *Target) { t.UID = "" },
		"unknown state": func(t *Target) { t.State = "ASLEEP" },
		"no address":    func(t *Target) { t.Endpoint = "here" },
	} {
		bad := good
		change(&bad)
		if (&List{Targets: []Target{good, bad}}).Check() == nil {
			t.Errorf("%s passed", why)
		}
	}
}
