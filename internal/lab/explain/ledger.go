package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"valvering.example/valvering/internal/lab/trace"
)

// Keys are the functions that assign a story to a column of a Ledger, by name.
var Keys = map[string]func(s *trace.Story) string{
	"":      func(*trace.Story) string { return "all" },
	"class": func(s *trace.Story) string { return s.Class },
	"plan":  func(s *trace.Story) string { return s.Plan },
	"second": func(s *trace.Story) string {
		if len(s.Notes) == 0 {
			return "-"
		}
		return fmt.Sprintf("%4d", int(s.Notes[0].At.Seconds()))
	},
}

// Ledger accounts for the value of all requests that fit their quota: each value is earned,
// or lost by one cause. In each column earned and lost value sum to the value asked for.
type Ledger struct {
	columnOf func(*trace.Story) string
	columns  map[string]*Account
}

// Account is a column of a Ledger.
type Account struct {
	Name   string             `json:"name"`
	Asked  float64            `json:"asked"`
	Earned float64            `json:"earned"`
	Lost   map[string]float64 `json:"lost"` // by cause
}

// NewLedger returns an empty Ledger with the columns of one of Keys.
func NewLedger(by string) *Ledger {
	return &Ledger{columnOf: Keys[by], columns: map[string]*Account{}}
}

// Add counts a story. A request beyond its quota has nothing to earn and is not counted.
func (l *Ledger) Add(s *trace.Story) {
	if !s.WithinQuota {
		return
	}
	name := l.columnOf(s)
	a := l.columns[name]
	if a == nil {
		a = &Account{Name: name, Lost: map[string]float64{}}
		l.columns[name] = a
	}
	a.Asked += s.Worth
	a.Earned += s.Worth - s.Lost
	if s.Lost > 0 {
		a.Lost[Cause(s)] += s.Lost
	}
}

// Accounts returns the columns in the order of their names.
func (l *Ledger) Accounts() []*Account {
	return slices.SortedFunc(maps.Values(l.columns),
		func(a, b *Account) int { return cmp.Compare(a.Name, b.Name) })
}

// Print prints a row for each cause, in descending order of loss, as a percentage of the
// value asked for in each column.
func (l *Ledger) Print(w io.Writer) error {
	list := l.Accounts()
	total := map[string]float64{}
	for _, a := range list {
		for cause, lost := range a.Lost {
			total[cause] += lost
		}
	}
	causes := slices.SortedFunc(maps.Keys(total),
		func(a, b string) int { return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b)) })
	var b strings.Builder
	row := func(name string, cell func(*Account) string) {
		fmt.Fprintf(&b, "%-52s", name)
		for _, a := range list {
			fmt.Fprintf(&b, " %10s", cell(a))
		}
		b.WriteByte('\n')
	}
	percent := func(name string, of func(*Account) float64) {
		row(name, func(a *Account) string { return fmt.Sprintf("%.2f", 100*of(a)/max(a.Asked, 1e-9)) })
	}
	row("% of the worth asked for", func(a *Account) string { return a.Name })
	row("asked for (worth)", func(a *Account) string { return fmt.Sprintf("%.2f", a.Asked) })
	percent("earned", func(a *Account) float64 { return a.Earned })
	for _, cause := range causes {
		percent(cause, func(a *Account) float64 { return a.Lost[cause] })
	}
	_, err := io.WriteString(w, b.String())
	return err
}
