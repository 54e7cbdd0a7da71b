package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

var cases = map[string]func(*play) error{"crash": crash, "shutdown": shutdown, "holder": holder, "machine": machine, "rollback": rollback, "foreign": foreign}

// main plays one case: standin CASE ROOT RECORD, with RUN and TROUBLE in the environment.
func main() {
	runtime.LockOSThread() // processes are started by this thread, which never ends (Pdeathsig)
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	p := &play{root: root, run: os.Getenv("RUN"), dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		start: time.Now(), record: record}
	defer p.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		p.end()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	p.note("case %s, trouble: %v", name, p.trouble)
	err = cases[name](p)
	switch {
	case err != nil:
		p.note("%v", err)
		fmt.Println("could not run:", err)
		if errors.Is(err, errCannotRun) || len(p.broken) == 0 {
			return 2
		}
	case len(p.broken) == 0:
		p.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	for i, b := range p.broken {
		if i == 5 {
			fmt.Printf("and %d more\n", len(p.broken)-i)
			break
		}
		fmt.Println("rule broken:", b)
	}
	return 1
}
