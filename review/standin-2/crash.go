package main

import (
	"syscall"
	"time"
)

// crash plays two new configurations, two seconds apart, while one of four lending servers hangs: the first
// changes a figure of the class perpanjang, the second has the class no longer.
func crash(p *play) error {
	f, err := newFleet(p, 2, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	n, deadlines := f.nodes[0], map[string]time.Duration{
		"katalog": time.Second, "pinjam": 5 * time.Second, "perpanjang": 6 * time.Second}
	customer := 0x100
	draw := func(names ...string) func() *request {
		next := make(chan string)
		go func() {
			for {
				for _, c := range names {
					next <- c
				}
			}
		}()
		ids := make(chan int)
		go func() {
			for {
				customer++
				ids <- customer
			}
		}()
		return func() *request {
			class := <-next
			return newRequest(class, "penuh", <-ids%40, deadlines[class], 2, 0)
		}
	}
	ordinary := f.startLoad(6, 200*time.Millisecond, n, draw("katalog", "pinjam"))
	renewals := f.startLoad(12, 200*time.Millisecond, n, draw("perpanjang"))
	time.Sleep(2 * time.Second)
	f.lenders[0].hangs.Store(true)
	p.note("%s hangs", f.lenders[0].uid)
	time.Sleep(2 * time.Second)
	if p.trouble {
		tuned := perpanjang()
		tuned["aim_ms"] = 1600.0
		for i, node := range f.nodes {
			if err := f.write(i, 2, katalog(), pinjam(), tuned); err != nil {
				return err
			}
			node.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(500 * time.Millisecond)
	close(renewals.stop) // clients no longer send the class; what they have sent stays open
	time.Sleep(1500 * time.Millisecond)
	if p.trouble {
		for i, node := range f.nodes {
			if err := f.write(i, 2, katalog(), pinjam()); err != nil {
				return err
			}
			node.signal(syscall.SIGHUP)
		}
	}
	renewals.wg.Wait()
	time.Sleep(2 * time.Second)
	f.lenders[0].hangs.Store(false)
	all := append(ordinary.end(), renewals.all...)
	f.describe(all)
	for _, node := range f.nodes {
		if how := node.endedByItself(); how != "" {
			open := 0
			for _, r := range all {
				if r.status == 0 && !r.sentAt.IsZero() {
					open++
				}
			}
			for _, line := range node.logLines("panic", "policy.", "new configuration") {
				p.note("%s's log: %s", node.name, line)
			}
			p.breaks("%s ended by itself: %s; %d requests that it had taken got no answer", node.name, how, open)
		}
	}
	return nil
}
