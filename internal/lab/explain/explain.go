// Package explain prints what happened to a request and groups lost value by cause.
package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"valvering.example/valvering/internal/lab/trace"
)

// Cause returns why a request earned less than its full value, according to its story.
// Each request has one cause, that of its last try.
func Cause(s *trace.Story) string {
	last := 0
	for i, n := range s.Notes {
		if n.What == trace.Accepted || n.What == trace.NotAccepted || n.What == trace.Crashed {
			last = i
		}
	}
	if len(s.Notes) == 0 {
		return "not kept"
	}
	notes := s.Notes[last:]
	has := func(w trace.What) bool {
		return slices.ContainsFunc(notes, func(n trace.Note) bool { return n.What == w })
	}
	outcome := func(text string) bool {
		return slices.ContainsFunc(notes, func(n trace.Note) bool {
			return n.What == trace.Outcome && strings.Contains(n.Detail, text)
		})
	}
	askedRoot := has(trace.RootAsked)
	answered := has(trace.Granted) || has(trace.Denied) || has(trace.Held)
	switch {
	case has(trace.Crashed):
		return "its edge node died"
	case has(trace.NotAccepted):
		return "sent to an edge node that is down"
	case s.How == "late":
		return lateness(s)
	case has(trace.Sent) && outcome("could not connect"):
		return "sent where no connection came up"
	case has(trace.Sent) && !has(trace.Arrived):
		return "sent where it did not arrive"
	case has(trace.Sent) && outcome("timed out"):
		return "not answered by its server in time"
	case has(trace.Sent) && outcome("reset"):
		return "its connection broke"
	case has(trace.Sent) && outcome("error"):
		return "its server answered wrong"
	case has(trace.Sent) && outcome("turned away"):
		return "its server turned it away"
	case has(trace.Sent):
		return "sent, and given up"
	case has(trace.Denied):
		return "refused by its root"
	case has(trace.Granted):
		return "granted, but no server had room"
	case has(trace.Held):
		return "held by its root until too late"
	case askedRoot && !answered:
		return "neither root nor deputy was heard"
	}
	return "refused where it came in"
}

// lateness returns where a late request spent most of its time.
func lateness(s *trace.Story) string {
	spent := map[string]time.Duration{}
	where := "between its client's tries"
	for i, n := range s.Notes {
		if i > 0 {
			spent[where] += n.At - s.Notes[i-1].At
		}
		switch n.What {
		case trace.Accepted:
			where = "at its edge node"
		case trace.RootAsked:
			where = "for its root's answer"
		case trace.Held:
			where = "held by its root"
		case trace.Granted:
			where = "for a server with room"
		case trace.Sent:
			where = "on the way to a server"
		case trace.Arrived:
			where = "at its server"
		case trace.Outcome:
			where = "for another attempt"
		case trace.Answered:
			where = "between its client's tries"
		}
	}
	names := slices.Sorted(maps.Keys(spent))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(spent[b], spent[a]) })
	if len(names) == 0 {
		return "late"
	}
	return "late: most of its time " + names[0]
}

// Print prints all events of a request.
func Print(w io.Writer, run string, s *trace.Story) error {
	_, err := fmt.Fprintf(w, "request %s of run %s\n%s, plan %s, customer %s: %s, worth %.3g, lost %.3g\n",
		s.ID, run, s.Class, s.Plan, s.Key,
		s.How, s.Worth, s.Lost)
	for _, n := range s.Notes {
		node := "client      "
		if n.Node >= 0 {
			node = fmt.Sprintf("edge node %-3d", n.Node)
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "%10.3f s  %s %-26s %s\n", n.At.Seconds(), node, n.What, n.Detail)
		}
	}
	return err
}

// Group is the loss by one cause.
type Group struct {
	Cause    string         `json:"cause"`
	Requests int            `json:"requests"`
	Lost     float64        `json:"lost"`
	Share    float64        `json:"share"` // of the total loss
	Classes  map[string]int `json:"classes"`
	First    time.Duration  `json:"first"` // start times of the first and the last request
	Last     time.Duration  `json:"last"`
	Dearest  []Example      `json:"dearest"`
}

// Example is one request of a group.
type Example struct {
	Run  string  `json:"run"`
	ID   string  `json:"id"`
	Lost float64 `json:"lost"`
}

// Worst groups the lost value by cause and retains the requests with the greatest loss of
// each group. The losses of the groups sum to the total loss.
type Worst struct {
	MaxExamples int // maximum number of examples of a group
	groups      map[string]*Group
	Lost        float64
	Asked       float64
}

// Add counts a story.
func (w *Worst) Add(run string, s *trace.Story) {
	w.Asked += s.Worth
	if s.Lost <= 0 {
		return
	}
	if w.groups == nil {
		w.groups = map[string]*Group{}
	}
	cause := Cause(s)
	g := w.groups[cause]
	if g == nil {
		g = &Group{Cause: cause, Classes: map[string]int{}, First: 1 << 62}
		w.groups[cause] = g
	}
	g.Requests++
	g.Classes[s.Class]++
	g.Lost += s.Lost
	w.Lost += s.Lost
	if len(s.Notes) > 0 {
		g.First, g.Last = min(g.First, s.Notes[0].At), max(g.Last, s.Notes[0].At)
	}
	g.Dearest = append(g.Dearest, Example{run, s.ID, s.Lost})
	if len(g.Dearest) > 4*w.MaxExamples+16 {
		g.trim(w.MaxExamples)
	}
}

func (g *Group) trim(maxExamples int) {
	slices.SortStableFunc(g.Dearest, func(a, b Example) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Run, b.Run), cmp.Compare(a.ID, b.ID))
	})
	g.Dearest = g.Dearest[:min(maxExamples, len(g.Dearest))]
}

// Groups returns the groups in descending order of loss.
func (w *Worst) Groups() []*Group {
	list := slices.SortedFunc(maps.Values(w.groups), func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	for _, g := range list {
		g.trim(w.MaxExamples)
		g.Share = g.Lost / w.Lost
	}
	return list
}

// Print prints the total loss, the groups and their examples.
func (w *Worst) Print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "lost %.0f of a worth of %.0f\n", w.Lost, w.Asked)
	for _, g := range w.Groups() {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%5.1f%%  %6d requests  %s (%.1f to %.1f s)", 100*g.Share, g.Requests,
			g.Cause, g.First.Seconds(), g.Last.Seconds())
		for _, name := range slices.Sorted(maps.Keys(g.Classes)) {
			fmt.Fprintf(out, "  %s %d", name, g.Classes[name])
		}
		fmt.Fprintln(out)
		for _, e := range g.Dearest {
			fmt.Fprintf(out, "          %s  %s  lost %.3g\n", e.ID, e.Run, e.Lost)
		}
	}
	return err
}
