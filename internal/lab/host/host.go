// Package host runs a simulator adapter of another build as a child process, which decides
// for the edge nodes of a run. The package speaks the simulator's side of the wire protocol.
// One process hosts all edge nodes of a run and ends with it. Its output is not trusted: an
// invalid line ends the run with an error that quotes the line.
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

// Host is a running adapter.
type Host struct {
	cmd       *exec.Cmd
	stdin     *bufio.Writer
	stdinPipe io.Closer
	stdout    *bufio.Reader
	err       error // first error; no event is sent after it
	stderr    *tail // end of its standard error
}

// Start starts the adapter at a path.
func Start(path string) (*Host, error) {
	h := &Host{cmd: exec.Command(path), stderr: &tail{}}
	h.cmd.Stderr = h.stderr
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
	h.stdin, h.stdinPipe, h.stdout = bufio.NewWriterSize(in, 1<<16), in, bufio.NewReaderSize(out, 1<<16)
	return h, nil
}

// Err returns the first error so far.
func (h *Host) Err() error { return h.err }

// Close ends the adapter and returns its first error.
func (h *Host) Close() error {
	h.stdinPipe.Close()
	if err := h.cmd.Wait(); err != nil && h.err == nil {
		h.err = err
	}
	if h.err != nil {
		return fmt.Errorf("adapter %s: %w %s", h.cmd.Path, h.err, h.stderr.text())
	}
	return nil
}

// Maker returns a maker whose deciders are hosted by the adapter.
func (h *Host) Maker() sim.Maker {
	return func(index int, w *world.World, seed uint64, _ *sim.Truth) (sim.Decider, error) {
		pairs, err := w.Pairs(index)
		if err != nil {
			return nil, err
		}
		n := &instance{host: h, name: "node/" + strconv.Itoa(index)}
		n.configLine = fmt.Sprintf("CONFIGURE %s %d %s\n", n.name, seed, strings.Join(pairs, " "))
		return n, h.err
	}
}

// instance is one process of an edge node.
type instance struct {
	host       *Host
	name       string
	configLine string // configuration line, sent before the first event
}

// Handle sends an event to the adapter and returns its actions. After an error it sends
// nothing and returns no action.
func (n *instance) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	if _, isShutdown := ev.(policy.Shutdown); isShutdown { // the wire protocol has no shutdown event
		return append(out, policy.ShutdownDone{})
	}
	if n.host.err != nil {
		return out
	}
	w := n.host.stdin
	fmt.Fprintf(w, "FRAME %s\n", formatMillis(now))
	if n.configLine != "" {
		fmt.Fprintf(w, "CRASH_NOW %s\n%s", n.name, n.configLine)
		n.configLine = ""
	}
	n.writeEvent(w, ev)
	w.WriteString("EOF_BATCH\n")
	if err := w.Flush(); err != nil {
		n.host.err = fmt.Errorf("it does not take events: %w", err)
		return out
	}
	actions, err := n.readActions(out)
	if err != nil {
		n.host.err = err
	}
	return actions
}

func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

var stateNames = map[policy.State]string{policy.Running: "Running", policy.Draining: "Stopping",
	policy.Removed: "Deleted"}
var kindNames = map[policy.UpdateKind]string{policy.Changes: "changes", policy.FullList: "all",
	policy.StoredList: "remembered", policy.WatchFailed: "refused"}
var codeNames = [...]string{"OK", "INTERNAL", "RESOURCE_EXHAUSTED", "DEADLINE_EXCEEDED", "UNAVAILABLE",
	"ABORTED", "CANCELLED", "TOO_LATE"}

func boolDigit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// writeEvent writes an event as a line. An event with servers is preceded by the server table.
func (n *instance) writeEvent(w io.Writer, ev policy.Event) {
	switch ev := ev.(type) {
	case policy.ServerListUpdate:
		if ev.Kind != policy.WatchFailed {
			fmt.Fprintf(w, "TABLE 0 %d\n", len(ev.Servers))
			for _, s := range ev.Servers {
				start := "-"
				if s.HasStart {
					start = formatMillis(s.Start)
				}
				fmt.Fprintf(w, "M %s %g %s %d %s - %d\n", start, s.Weight, s.Zone, s.Cell,
					stateNames[s.State], s.ID)
			}
		}
		fmt.Fprintf(w, "MEMBERSHIP %s %s 1 0\n", n.name, kindNames[ev.Kind])
	case policy.Request:
		fmt.Fprintf(w, "INGRESS %s %016x %d %s %d %s %g %d %s %s\n", n.name, uint64(ev.ID), ev.Spread,
			ev.Class, ev.First, formatMillis(ev.Remaining),
			ev.Units, 2*boolDigit(ev.Retry), ev.Customer, ev.Plan)
	case policy.Outcome:
		fmt.Fprintf(w, "VERDICT %s %016x %d 0 %s %d %d %g %s -\n", n.name, uint64(ev.ID), ev.Attempt,
			formatMillis(ev.Latency), ev.Server, boolDigit(ev.Answered), ev.ActualUnits,
			codeNames[ev.Code])
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

// readActions reads actions up to the end of a reply.
func (n *instance) readActions(out []policy.Action) ([]policy.Action, error) {
	for {
		line, err := n.host.stdout.ReadString('\n')
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
		a, err := n.parseAction(strings.Split(line, " "))
		if err != nil {
			return out, fmt.Errorf("reply %.60q: %w", line, err)
		}
		if a != nil {
			out = append(out, a)
		}
	}
}

var errFields = errors.New("too few fields")

// parseAction parses one action. It returns nil for actions that the lab ignores.
func (n *instance) parseAction(fields []string) (policy.Action, error) {
	if len(fields) < 2 {
		return nil, errFields
	}
	if fields[1] != n.name {
		return nil, fmt.Errorf("acts for %q, asked was %q", fields[1], n.name)
	}
	field := func(i int) string {
		if i < len(fields) {
			return fields[i]
		}
		return "-"
	}
	var err error
	keepFirst := func(e error) {
		if err == nil && e != nil {
			err = e
		}
	}
	id := func() policy.RequestID {
		v, e := strconv.ParseUint(field(2), 16, 64)
		keepFirst(e)
		return policy.RequestID(v)
	}
	duration := func(i int) time.Duration {
		if field(i) == "-" {
			return 0
		}
		v, e := strconv.ParseFloat(field(i), 64)
		if keepFirst(e); math.IsNaN(v) || math.Abs(v) > 1e10 {
			keepFirst(errors.New("a time is out of range"))
			return 0
		}
		return time.Duration(v * float64(time.Millisecond))
	}
	integer := func(i int) int {
		v, e := strconv.Atoi(field(i))
		keepFirst(e)
		return v
	}
	var a policy.Action
	switch fields[0] {
	case "SEND":
		server, e := strconv.ParseUint(field(3), 10, 32)
		keepFirst(e)
		a = policy.Send{ID: id(), Server: policy.ServerID(server), Timeout: duration(4)}
	case "UNDO_SEND":
		a = policy.Cancel{ID: id(), Attempt: integer(3)}
	case "PUSH_BACK":
		a = policy.Refuse{ID: id(), RetryAfter: duration(3)}
	case "REPORT_FAILURE":
		a = policy.Fail{ID: id()}
	case "SET_ALARM":
		a = policy.SetTimer{Token: field(2), After: max(0, duration(3))}
	case "POST":
		data := []byte{}
		if field(3) != "-" {
			var e error
			data, e = base64.StdEncoding.DecodeString(field(3))
			keepFirst(e)
		}
		a = policy.SendMessage{To: integer(2), Data: data}
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

// tail retains the last bytes written to it.
type tail struct{ b []byte }

const maxTailBytes = 2000

func (t *tail) Write(p []byte) (int, error) {
	t.b = append(t.b, p...)
	if len(t.b) > maxTailBytes {
		t.b = t.b[len(t.b)-maxTailBytes:]
	}
	return len(p), nil
}

func (t *tail) text() string {
	if len(t.b) == 0 {
		return ""
	}
	return "(it said: " + strings.TrimSpace(string(t.b)) + ")"
}
