// Command adapter runs gateways behind the line protocol: it reads events from standard
// input, writes actions to standard output, and keeps one Gateway for each instance.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"valvering.example/valvering/internal/wire"
	"valvering.example/valvering/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with actions on out until in ends.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	w := bufio.NewWriter(out)
	gateways := map[string]*policy.Gateway{}
	var reply []byte
	var actions []policy.Action
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = reply[:0]
		for _, item := range batch.Items {
			switch ev := item.Event.(type) {
			case wire.Configure:
				g, err := policy.New(ev.Settings, ev.Seed)
				if err != nil {
					return fmt.Errorf("line %d: %w", item.Line, err)
				}
				gateways[item.Node] = g
			case wire.Kill:
				delete(gateways, item.Node)
			default:
				g := gateways[item.Node]
				if g == nil {
					return fmt.Errorf("line %d: unknown instance %q", item.Line, item.Node)
				}
				event, ok := item.Event.(policy.Event)
				if !ok {
					continue
				}
				actions, err = handle(g, batch.Now, event, actions[:0])
				for _, a := range actions {
					reply = wire.Append(reply, item.Node, a)
				}
				if err != nil {
					reply = wire.AppendCrash(reply, item.Node, err.Error())
				}
			}
		}
		reply = wire.AppendEnd(reply)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handle calls g.Handle and returns a panic in it as an error.
func handle(g *policy.Gateway, now time.Duration, ev policy.Event, out []policy.Action) (
	actions []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions, err = out, fmt.Errorf("%T: %v", ev, p)
		}
	}()
	return g.Handle(now, ev, out), nil
}
