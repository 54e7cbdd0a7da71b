// Package run runs the simulations of an experiment on several workers and passes on each result as it
// completes. Results don't depend on the number of workers.
package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"valvering.example/valvering/internal/lab/baseline"
	"valvering.example/valvering/internal/lab/experiment"
	"valvering.example/valvering/internal/lab/host"
	"valvering.example/valvering/internal/lab/load"
	"valvering.example/valvering/internal/lab/sim"
	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/trace"
)

// Done is a completed run.
type Done struct {
	Run      experiment.Run
	Duration time.Duration
	Result   *tally.Result
	Log      *trace.Log // nil: no traces were recorded
	Err      error
}

// maxNotes is the maximum number of trace notes per run, at a few hundred bytes each.
const maxNotes = 4_000_000

// Sim executes a run in simulated time. step, if not nil, is called every simulated second.
func Sim(ctx context.Context, r experiment.Run, stories bool, step func(second int)) Done {
	start := time.Now()
	d := Done{Run: r}
	d.Result, d.Log, d.Err = simulate(ctx, r, stories, step)
	d.Duration = time.Since(start)
	return d
}

func simulate(ctx context.Context, r experiment.Run, stories bool, step func(second int)) (res *tally.Result, log *trace.Log, err error) {
	mk := sim.Module
	check := ctx.Err
	switch {
	case r.Variant.Baseline != "":
		mk = baseline.Maker(r.Variant.Baseline)
	case r.Variant.Adapter != "":
		h, err2 := host.Start(r.Variant.Adapter)
		if err2 != nil {
			return nil, nil, err2
		}
		mk = h.Maker()
		check = func() error { return errors.Join(ctx.Err(), h.Err()) }
		defer func() {
			if err2 := h.Close(); err2 != nil && ctx.Err() == nil {
				res, err = nil, err2
			}
		}()
	}
	source, err := load.New(&r.World.Load, r.Seed, func(name string) (io.ReadCloser, error) { return os.Open(name) })
	if err != nil {
		return nil, nil, err
	}
	s := sim.New(r.World, r.Seed, mk)
	s.Check = check
	if stories {
		s.Trace = &trace.Log{MaxNotes: maxNotes}
	}
	if res, err = s.Run(source, step); err != nil {
		return nil, nil, err
	}
	res.Engine, res.Variant, res.Fault = "sim", r.Variant.Name, r.Fault
	return res, s.Trace, nil
}

// All executes runs on several workers. It calls done for each result in order of completion, from one
// goroutine at a time, and returns when all runs are complete or ctx is cancelled.
func All(ctx context.Context, runs []experiment.Run, workers int, stories bool, done func(Done) error) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	next := make(chan experiment.Run)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range max(1, workers) {
		wg.Go(func() {
			for r := range next {
				d := Sim(ctx, r, stories, nil)
				if ctx.Err() != nil {
					return // the run was interrupted
				}
				mu.Lock()
				if err := done(d); err != nil {
					stop(err)
				}
				mu.Unlock()
			}
		})
	}
feed:
	for _, r := range runs {
		select {
		case next <- r:
		case <-ctx.Done():
			break feed
		}
	}
	close(next)
	wg.Wait()
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("interrupted: %w", cause)
	}
	return nil
}
