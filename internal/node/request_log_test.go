package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a flood of one kind of event that fills the log or hides the other kinds.
func TestRequestLogLimitsEachKind(t *testing.T) {
	previous := slog.Default()
	defer slog.SetDefault(previous)
	var out bytes.Buffer
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	l := &requestLog{clock: clock{time.Now()}}
	for range 10 * maxEventLines {
		l.record(requestInvalid, requestDetails{id: "a1", reason: "X-Tier: unknown plan"})
	}
	l.record(requestIDInUse, requestDetails{id: "b2", class: "loan", attempts: 2})
	l.record(requestServed, requestDetails{id: "c3"})
	text := out.String()
	// The events may fall into two seconds.
	if n := strings.Count(text, "event=invalid id=a1 reason="); n < maxEventLines || n > 2*maxEventLines {
		t.Errorf("%d lines of one kind:\n%s", n, text)
	}
	if !strings.Contains(text, `event="id in use" id=b2 class=loan attempts=2`) {
		t.Errorf("the other kind is not in the log:\n%s", text)
	}
	if want := (RequestCounts{Invalid: 10 * maxEventLines, IDInUse: 1, Served: 1}); l.load() != want {
		t.Errorf("counted %+v", l.load())
	}
	time.Sleep(time.Second)
	out.Reset()
	l.record(requestInvalid, requestDetails{id: "d4"})
	if !strings.Contains(out.String(), "not_logged=") {
		t.Errorf("the next line doesn't tell how many were left out: %s", out.String())
	}
}
