package main

import (
	"encoding/json"
	"fmt"

	"valvering.example/valvering/internal/lab/sweep"
)

// maxRepetitions limits the duration of a sweep to minutes.
const maxRepetitions = 100

type sweepCmd struct {
	What        string `help:"What grows: servers, nodes, tenants, rate, the length of a cut, or all." enum:"servers,nodes,tenants,rate,cut,all" default:"all"`
	Repetitions int    `help:"How often each point is measured." default:"3"`
	Small       bool   `help:"Few and small points: that all is there, not what it costs."`
	Out         string `help:"Keep results, tables and plots in this folder." placeholder:"DIR"`
	JSON        bool   `help:"Print one JSON object."`
}

// smallSweep returns options that are just enough to check that each measure yields a value.
func smallSweep() sweep.Options {
	o := sweep.Defaults()
	o.Servers, o.Nodes, o.Tenants, o.Rate, o.Cut, o.Seconds = []int{50, 100, 200}, []int{300, 400, 600},
		[]int{100, 200, 300}, []int{4, 8, 16}, []int{2, 4, 6}, 1
	return o
}

func (c *sweepCmd) Run(a *app) error {
	o := sweep.Defaults()
	if c.Small {
		o = smallSweep()
	}
	if c.Repetitions < 1 || c.Repetitions > maxRepetitions {
		return fmt.Errorf("--repetitions: %d is not from 1 to %d", c.Repetitions, maxRepetitions)
	}
	o.Repetitions = c.Repetitions
	if c.What != "all" {
		o.Quantities = []sweep.Quantity{sweep.Quantity(c.What)}
	}
	r, err := sweep.Run(a.ctx, o)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Write(c.Out); err != nil {
			return err
		}
	}
	if err := c.print(a, r); err != nil {
		return err
	}
	if r.Partial {
		return errLoadNotSustained
	}
	return nil
}

// print writes the result as JSON or as a table.
func (c *sweepCmd) print(a *app, r *sweep.Result) error {
	if c.JSON {
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.out, "%s\n", data)
		return err
	}
	if err := r.WriteTable(a.out); err != nil {
		return err
	}
	if r.Partial {
		fmt.Fprintln(a.out, "\nended before all was measured")
	}
	return nil
}
