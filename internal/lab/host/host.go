// Package host runs another build's simulator host as the deciders of a run: it
// speaks the simulator's wire from the simulator's side. One process hosts all edge
// nodes of a run and is ended with it. What it says is not trusted: a line that can't
// be meant ends the run with an error that names it.
package host

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/internal/lab/sim"
	"valvering.example/valvering/internal/lab/world"
	"valvering.example/valvering/policy"
)

// Host is a running program.
type Host struct {
	cmd  *exec.Cmd
	in   *bufio.Writer
	pipe io.Closer
	out  *bufio.Reader
	err  error // the first; nothing is asked of it behind that
	tail *tail // of what it says on standard error
}

// Start starts the program at a path.
func Start(path string) (*Host, error) {
	h := &Host{cmd: exec.Command(path), tail: &tail{}}
	h.cmd.Stderr = h.tail
	in, err := h.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("adapter %s: %w", path, err)
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("adapter %s: %w", path, err)
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("adapter %s: %w", path, err)
	}
	h.in, h.pipe, h.out = bufio.NewWriterSize(in, 1<<16), in, bufio.NewReaderSize(out, 1<<16)
	return h, nil
}

// Err is what went wrong, so far.
func (h *Host) Err() error { return h.err }

// Close ends the program, and tells of what went wrong with it.
func (h *Host) Close() error {
	h.pipe.Close()
	if err := h.cmd.Wait(); err != nil && h.err == nil {
		h.err = err
	}
	if h.err != nil {
		return fmt.Errorf("adapter %s: %w %s", h.cmd.Path, h.err, h.tail.text())
	}
	return nil
}

// Maker has the program host each edge node's process.
func (h *Host) Maker() sim.Maker {
	return func(me int, w *world.World, seed uint64, _ *sim.Truth) (sim.Decider, error) {
		pairs, err := w.Pairs(me)
		if err != nil {
			return nil, err
		}
		n := &instance{h: h, name: "node/" + strconv.Itoa(me)}
		n.first = fmt.Sprintf("CONFIGURE %s %d %s\n", n.name, seed, strings.Join(pairs, " "))
		return n, h.err
	}
}

// instance is one process of an edge node.
type instance struct {
	h     *Host
	name  string
	first string // told ahead of the first event
}

// Handle asks the program. After an error it is silent.
func (n *instance) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	if _, leaves := ev.(policy.Shutdown); leaves { // not on this wire
		return append(out, policy.ShutdownDone{})
	}
	if n.h.err != nil {
		return out
	}
	w := n.h.in
	fmt.Fprintf(w, "FRAME %s\n", ms(now))
	if n.first != "" {
		fmt.Fprintf(w, "CRASH_NOW %s\n%s", n.name, n.first)
		n.first = ""
	}
	n.event(w, ev)
	w.WriteString("EOF_BATCH\n")
	if err := w.Flush(); err != nil {
		n.h.err = fmt.Errorf("it does not take events: %w", err)
		return out
	}
	acts, err := n.reply(out)
	if err != nil {
		n.h.err = err
	}
	return acts
}

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

var stateWords = map[policy.State]string{policy.Running: "Running", policy.Draining: "Stopping", policy.Removed: "Deleted"}
var kindWords = map[policy.UpdateKind]string{policy.Changes: "changes", policy.FullList: "all", policy.StoredList: "remembered", policy.WatchFailed: "refused"}
var codeWords = [...]string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE", "ABORTED", "CANCELLED", "TOO_LATE"}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// event writes an event as a line, and the list ahead of one that brings servers.
func (n *instance) event(w io.Writer, ev policy.Event) {
	switch ev := ev.(type) {
	case policy.ServerListUpdate:
		if ev.Kind != policy.WatchFailed {
			fmt.Fprintf(w, "TABLE 0 %d\n", len(ev.Servers))
			for _, s := range ev.Servers {
				start := "-"
				if s.HasStart {
					start = ms(s.Start)
				}
				fmt.Fprintf(w, "M %s %g %s %d %s - %d\n", start, s.Weight, s.Zone, s.Cell, stateWords[s.State], s.ID)
			}
		}
		fmt.Fprintf(w, "MEMBERSHIP %s %s 1 0\n", n.name, kindWords[ev.Kind])
	case policy.Request:
		fmt.Fprintf(w, "INGRESS %s %016x %d %s %d %s %g %d %s %s\n", n.name, uint64(ev.ID), ev.Spread, ev.Class, ev.First, ms(ev.Remaining),
			ev.Units, 2*bit(ev.Retry), ev.Customer, ev.Plan)
	case policy.Outcome:
		fmt.Fprintf(w, "VERDICT %s %016x %d 0 %s %d %d %g %s -\n", n.name, uint64(ev.ID), ev.Attempt, ms(ev.Latency), ev.Server, bit(ev.Answered), ev.ActualUnits,
			codeWords[ev.Code])
	case policy.ClientDisconnected:
		fmt.Fprintf(w, "LAPSED %s %016x\n", n.name, uint64(ev.ID))
	case policy.Timer:
		fmt.Fprintf(w, "ELAPSED %s %s\n", n.name, ev.Token)
	case policy.PeerMessage:
		data := "-"
		if len(ev.Data) > 0 {
			data = base64.StdEncoding.EncodeToString(ev.Data)
		}
		fmt.Fprintf(w, "WHISPER %s %d %s\n", n.name, ev.From, data)
	}
}

// reply reads the actions up to the end of the reply.
func (n *instance) reply(out []policy.Action) ([]policy.Action, error) {
	for {
		line, err := n.h.out.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return out, errors.New("it ended within a reply")
		}
		if err != nil {
			return out, fmt.Errorf("its reply can't be read: %w", err)
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "FINISHED" {
			return out, nil
		}
		a, err := n.action(strings.Split(line, " "))
		if err != nil {
			return out, fmt.Errorf("reply %.60q: %w", line, err)
		}
		if a != nil {
			out = append(out, a)
		}
	}
}

var errFields = errors.New("too few fields")

// action reads one action; nil: it is none that the lab carries out.
func (n *instance) action(f []string) (policy.Action, error) {
	if len(f) < 2 {
		return nil, errFields
	}
	if f[1] != n.name {
		return nil, fmt.Errorf("acts for %q, asked was %q", f[1], n.name)
	}
	field := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return "-"
	}
	var err error
	note := func(e error) {
		if err == nil && e != nil {
			err = e
		}
	}
	id := func() policy.RequestID {
		v, e := strconv.ParseUint(field(2), 16, 64)
		note(e)
		return policy.RequestID(v)
	}
	length := func(i int) time.Duration {
		if field(i) == "-" {
			return 0
		}
		v, e := strconv.ParseFloat(field(i), 64)
		if note(e); math.IsNaN(v) || math.Abs(v) > 1e10 {
			note(errors.New("a time is out of range"))
			return 0
		}
		return time.Duration(v * float64(time.Millisecond))
	}
	whole := func(i int) int {
		v, e := strconv.Atoi(field(i))
		note(e)
		return v
	}
	var a policy.Action
	switch f[0] {
	case "SEND":
		server, e := strconv.ParseUint(field(3), 10, 32)
		note(e)
		a = policy.Send{ID: id(), Server: policy.ServerID(server), Timeout: length(4)}
	case "UNDO_SEND":
		a = policy.Cancel{ID: id(), Attempt: whole(3)}
	case "PUSH_BACK":
		a = policy.Refuse{ID: id(), RetryAfter: length(3)}
	case "REPORT_FAILURE":
		a = policy.Fail{ID: id()}
	case "SET_ALARM":
		a = policy.SetTimer{Token: field(2), After: max(0, length(3))}
	case "POST":
		data := []byte{}
		if field(3) != "-" {
			var e error
			data, e = base64.StdEncoding.DecodeString(field(3))
			note(e)
		}
		a = policy.SendMessage{To: whole(2), Data: data}
	case "LISTEN":
		a = policy.Watch{}
	case "SAY_LOG", "TOUCH", "SHUT_IDLE", "PULL", "ADD_AND_GET":
		return nil, nil
	case "CRASH":
		return nil, errors.New("its decisions broke")
	default:
		return nil, errors.New("unknown action")
	}
	return a, err
}

// tail keeps the end of what is written to it.
type tail struct{ b []byte }

const mostTail = 2000

func (t *tail) Write(p []byte) (int, error) {
	t.b = append(t.b, p...)
	if len(t.b) > mostTail {
		t.b = t.b[len(t.b)-mostTail:]
	}
	return len(p), nil
}

func (t *tail) text() string {
	if len(t.b) == 0 {
		return ""
	}
	return "(it said: " + strings.TrimSpace(string(t.b)) + ")"
}
