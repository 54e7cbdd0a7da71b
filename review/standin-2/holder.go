package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// holder plays the growth of a fleet from two edge nodes to four: the new ones are started, then the two others are
// restarted one after another, 9 s apart, each with a configuration that names all four.
func holder(p *play) error {
	f, err := newFleet(p, 4, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	duties := []string{"nightly", "stocktake"}
	admins, err := freePorts(4)
	if err != nil {
		return err
	}
	for i := range f.nodes {
		f.own[i] = map[string]any{"admin": admins[i], "duties": duties}
	}
	classes := []class{katalog(), pinjam(), perpanjang()}
	start := func(i, size int) error {
		if err := f.write(i, size, classes...); err != nil {
			return err
		}
		if err := f.nodes[i].launch(); err != nil {
			return err
		}
		return f.nodes[i].awaitReady()
	}
	restart := func(i, size int) error {
		n := f.nodes[i]
		n.signal(syscall.SIGTERM)
		select {
		case <-n.ended:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("%w: %s does not end", errCannotRun, n.name)
		}
		return start(i, size)
	}
	w := newWatcher(p, admins, duties)
	defer w.end()
	// Without the disruption, the fleet has four edge nodes from the start, and the same restarts.
	size := 4
	if p.trouble {
		size = 2
	}
	for i := range size {
		if err := start(i, size); err != nil {
			return err
		}
	}
	const between = 9 * time.Second // two restarts, of one in four at a time
	time.Sleep(between)
	if p.trouble {
		for i := 2; i < 4; i++ {
			if err := start(i, 4); err != nil {
				return err
			}
		}
	}
	for i := range 2 {
		time.Sleep(between)
		if err := restart(i, 4); err != nil {
			return err
		}
	}
	time.Sleep(between)
	w.end()
	w.report()
	return nil
}

// watcher asks every edge node for every duty, again and again, and notes which ones hold it.
type watcher struct {
	p    *play
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	mu    sync.Mutex
	spans map[string][]*span // by duty
}

// span is a time through which an edge node answered that it held a duty: from the first such answer to the last
// question that got one, with no other answer in between. The process and the token are the same throughout.
type span struct {
	node     int
	token    string
	from, to time.Time
}

func newWatcher(p *play, admins, duties []string) *watcher {
	w := &watcher{p: p, stop: make(chan struct{}), spans: map[string][]*span{}}
	for i, addr := range admins {
		for _, duty := range duties {
			w.wg.Add(1)
			go func() {
				defer w.wg.Done()
				w.watch(i, addr, duty)
			}()
		}
	}
	return w
}

func (w *watcher) watch(node int, addr, duty string) {
	client := http.Client{Timeout: time.Second}
	var open *span
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		asked := time.Now()
		token, holds := "", false
		if resp, err := client.Get("http://" + addr + "/duty/" + duty); err == nil {
			var answer struct{ Token string }
			_ = json.NewDecoder(resp.Body).Decode(&answer)
			token, holds = answer.Token, resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		switch {
		case !holds:
			open = nil
		case open != nil && open.token == token:
			w.mu.Lock()
			open.to = asked
			w.mu.Unlock()
		default:
			open = &span{node: node, token: token, from: time.Now(), to: asked}
			w.mu.Lock()
			w.spans[duty] = append(w.spans[duty], open)
			w.mu.Unlock()
			w.p.note("n%d holds %s, token %s", node, duty, token)
		}
	}
}

func (w *watcher) end() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

// report compares the spans of each duty.
func (w *watcher) report() {
	for duty, list := range w.spans {
		slices.SortFunc(list, func(a, b *span) int { return a.from.Compare(b.from) })
		for i, a := range list {
			w.p.note("%s: n%d held it from %.3f to %.3f", duty, a.node, a.from.Sub(w.p.start).Seconds(), a.to.Sub(w.p.start).Seconds())
			for _, b := range list[i+1:] {
				from, to := b.from, a.to
				if b.to.Before(to) {
					to = b.to
				}
				if a.node != b.node && to.After(from) {
					w.p.breaks("n%d and n%d both held the duty %s for %.2f s (%s)", a.node, b.node, duty,
						to.Sub(from).Seconds(), strings.Join([]string{"tokens " + a.token, b.token}, " and "))
				}
			}
		}
	}
}
