// Command valverlab emulates the platform around a fleet of edge nodes: clients, lending
// servers, discovery and the network. It runs fleets in simulated or in real time and
// reports the outcome of the requests. docs/LAB.md describes the model.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK               = 0 // the run finished and broke no rule
	exitRuleBroken       = 1 // the run broke a rule
	exitFailure          = 2 // invalid input, or any other error
	exitLoadNotSustained = 3 // the run finished, but did not sustain its load
)

// errRuleBroken and errLoadNotSustained select an exit code. They are not printed, since the
// result that explains them has been printed before.
var (
	errRuleBroken       = errors.New("a rule was broken")
	errLoadNotSustained = errors.New("the load was not kept: the run proves nothing")
)

// app holds what all commands use.
type app struct {
	ctx  context.Context
	out  io.Writer
	warn io.Writer
}

type cli struct {
	Demo    demoCmd    `cmd:"" help:"Start a small fleet of real edge nodes on loopback under load, show it, and report."`
	Run     runCmd     `cmd:"" help:"Play an experiment."`
	Sim     simCmd     `cmd:"" help:"Play one fleet in simulated time."`
	Scale   scaleCmd   `cmd:"" help:"Measure real and hollow edge nodes that are told the size of a large fleet."`
	Compare compareCmd `cmd:"" help:"Compare the results of two folders, paired by seed."`
	Report  reportCmd  `cmd:"" help:"Write a folder's report anew, and print its table."`
	Explain explainCmd `cmd:"" help:"Tell a request's whole way, or what was lost by cause."`
	Ledger  ledgerCmd  `cmd:"" help:"Account for all worth that was to be had: earned, or lost by one cause each."`
	List    listCmd    `cmd:"" help:"List the faults, baselines and loads there are."`
	Check   checkCmd   `cmd:"" help:"Check an experiment's file."`
	Sweep   sweepCmd   `cmd:"" help:"Measure what the parts of an edge node cost as one quantity grows, and fit slopes."`
}

func main() { os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr)) }

// runCommand runs one command and returns its exit code.
func runCommand(args []string, out, warn io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	exitCode := -1
	parser, err := kong.New(&c, kong.Name("valverlab"), kong.Writers(out, warn),
		kong.Exit(func(code int) { exitCode = code }),
		kong.Description("Plays fleets of edge nodes against an emulated platform."), kong.UsageOnError(),
		kong.Vars{"cpus": fmt.Sprint(runtime.NumCPU())})
	if err != nil {
		panic(err) // invalid tags in cli
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode // help was printed
	}
	if err != nil {
		fmt.Fprintln(warn, "valverlab:", err)
		return exitFailure
	}
	err = parsed.Run(&app{ctx, out, warn})
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRuleBroken):
		return exitRuleBroken
	case errors.Is(err, errLoadNotSustained):
		return exitLoadNotSustained
	}
	fmt.Fprintln(warn, "valverlab:", err)
	return exitFailure
}
