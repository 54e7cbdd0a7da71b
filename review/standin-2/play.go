// Package standin2 plays the cases 6 to 10 of the review: it starts the project's programs as separate processes,
// plays discovery, the lending servers and the clients for them, and checks one rule.
package standin2

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// errNotRun ends a case that could not be played.
var errNotRun = errors.New("the case could not run")

// Case plays a case. It reports each break of the rule, and returns an error if the case could not run.
type Case func(*play) error

// play is one run of a case.
type play struct {
	root, run string // the repository, and the run command of its deploy file
	dir       string // temporary folder
	trouble   bool   // false: the disruption is left out
	start     time.Time

	mu     sync.Mutex
	record io.Writer
	broken []string

	nodes []*node
}

// Main plays a case and exits. The first argument is the folder of the case, to which the record is written.
func Main(c Case) {
	runtime.LockOSThread() // processes are started by this thread, which never ends (Pdeathsig)
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := run(c, os.Args[1])
	if err != nil {
		fmt.Println("could not run:", err)
	}
	os.Exit(code)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func run(c Case, folder string) (int, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return exitNotRun, err
	}
	root := filepath.Dir(filepath.Dir(folder))
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return exitNotRun, err
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		return exitNotRun, errors.New("the deploy file has no run command")
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	p := &play{root: root, run: string(line[1]), dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		start: time.Now(), record: record}
	defer p.end()
	p.endInTime()
	p.note("disruption: %v", p.trouble)
	if err := c(p); err != nil {
		p.note("%v", err)
		return exitNotRun, err
	}
	return p.report(), nil
}

// endInTime ends the run at a signal, and when it takes too long.
func (p *play) endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		p.end()
		os.RemoveAll(p.dir)
		os.Exit(exitNotRun)
	}()
}

// report prints the result and returns the exit code.
func (p *play) report() int {
	const shown = 5
	if len(p.broken) == 0 {
		p.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for i, b := range p.broken {
		if i == shown {
			fmt.Printf("and %d more\n", len(p.broken)-i)
			break
		}
		fmt.Println("rule broken:", b)
	}
	return exitBroken
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.start).Seconds()}, args...)...)
}

// breaks records that the rule is broken.
func (p *play) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.note("RULE BROKEN: %s", text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, text)
}

// end ends all edge nodes that the case started.
func (p *play) end() {
	for _, n := range p.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range p.nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}
