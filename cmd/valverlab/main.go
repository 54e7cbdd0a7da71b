// Command valverlab is the project's own emulator of a platform: it plays fleets of
// edge nodes against stand-ins of clients, lending servers, discovery and the network,
// in simulated or in real time, and reports what became of the requests. docs/LAB.md
// says what it models.
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

// The exit codes.
const (
	exitSound   = 0 // played, no rule broken
	exitBroken  = 1 // a rule was broken
	exitUnusual = 2 // input that can't be used
	exitUnsound = 3 // played, but the load was not kept
)

// errBroken and errUnsound end the program with codes of their own; what they are
// about has been told by then.
var (
	errBroken  = errors.New("a rule was broken")
	errUnsound = errors.New("the load was not kept: the run proves nothing")
)

// app is what all commands need.
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

func main() { os.Exit(command(os.Args[1:], os.Stdout, os.Stderr)) }

// command carries out one command and returns the exit code.
func command(args []string, out, warn io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name("valverlab"), kong.Writers(out, warn), kong.Exit(func(code int) { ended = code }),
		kong.Description("Plays fleets of edge nodes against an emulated platform."), kong.UsageOnError(),
		kong.Vars{"cpus": fmt.Sprint(runtime.NumCPU())})
	if err != nil {
		panic(err) // the commands above are wrong
	}
	run, err := parser.Parse(args)
	if ended >= 0 {
		return ended // -h
	}
	if err != nil {
		fmt.Fprintln(warn, "valverlab:", err)
		return exitUnusual
	}
	err = run.Run(&app{ctx, out, warn})
	switch {
	case err == nil:
		return exitSound
	case errors.Is(err, errBroken):
		return exitBroken
	case errors.Is(err, errUnsound):
		return exitUnsound
	}
	fmt.Fprintln(warn, "valverlab:", err)
	return exitUnusual
}
