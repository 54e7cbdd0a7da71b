package standin2

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"
)

// The platform's terms at a planned restart.
const (
	killAfter    = 3700 * time.Millisecond // longest deadline, counted as 3 s where it is longer, and 0.7 s
	excusedUntil = 700 * time.Millisecond  // SIGKILL may meet requests that came by then
	slack        = 50 * time.Millisecond   // every time limit on sockets is so much longer
)

// Shutdown plays a planned restart of an edge node while some clients are writing requests with a long body, and
// half of the lending servers hang.
func Shutdown(p *play) error {
	f, err := newFleet(p, 2, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	n := f.nodes[0]
	var customers sync.Mutex
	customer := 0x100
	draw := func(class string, deadline time.Duration) func() *request {
		return func() *request {
			customers.Lock()
			defer customers.Unlock()
			customer++
			return newRequest(class, "penuh", customer, deadline, 2, 0)
		}
	}
	ordinary := f.startLoad(6, 100*time.Millisecond, n, draw("katalog", time.Second))
	time.Sleep(2 * time.Second)

	// Clients that write slowly: 16 pieces in 1.6 s. Half of them have begun when the signal comes, the others
	// connect within the 0.3 s after it.
	const slowClients, writing = 24, 1600 * time.Millisecond
	term := time.Now().Add(700 * time.Millisecond)
	var wg sync.WaitGroup
	slow := make([]*request, slowClients)
	for i := range slow {
		class, deadline := "perpanjang", 6*time.Second
		if i%2 == 1 {
			class, deadline = "pinjam", 5*time.Second
		}
		r := draw(class, deadline)()
		r.body = bytes.Repeat([]byte("book "), 24<<10/5)
		slow[i] = r
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(term.Add(time.Duration(i-slowClients*2/3) * 35 * time.Millisecond)))
			c, err := net.Dial("tcp", n.listen)
			if err != nil {
				r.err, r.endedAt = err, time.Now()
				return
			}
			defer c.Close()
			r.exchange(c, bufio.NewReader(c), writing)
		}()
	}
	time.Sleep(time.Until(term))
	if p.trouble {
		for _, l := range f.lenders[:2] {
			l.hangs.Store(true)
			p.note("%s hangs", l.uid)
		}
		term = time.Now()
		n.signal(syscall.SIGTERM)
		close(ordinary.stop)
		time.Sleep(time.Until(term.Add(killAfter + 2*slack)))
	}
	killed := time.Now()
	if p.trouble {
		n.signal(syscall.SIGKILL) // it does nothing if the process has ended
	}
	wg.Wait()
	if !p.trouble {
		close(ordinary.stop)
	}
	ordinary.wg.Wait()
	f.describe(append(slow, ordinary.all...))
	for _, r := range slow {
		switch {
		case r.status != 0 && r.endedAt.Sub(r.sentAt) > r.deadline+500*time.Millisecond+slack:
			p.breaks("request %s: answered later than half a second after its time", r.id)
		case r.status != 0 || r.sentAt.IsZero():
			// It was answered, or its last byte was never written.
		case !p.trouble:
			p.breaks("request %s: no whole answer", r.id)
		case r.endedAt.Before(killed):
			// The end of the connection may have crossed the last bytes of the request.
			p.note("request %s: its connection ended before SIGKILL", r.id)
		case r.sentAt.Sub(term) > excusedUntil+slack:
			p.breaks("request %s of class %s came whole %.2f s after SIGTERM and had no answer at SIGKILL, %.2f s after SIGTERM",
				r.id, r.class, r.sentAt.Sub(term).Seconds(), killed.Sub(term).Seconds())
		}
	}
	if how := f.nodes[1].endedByItself(); how != "" {
		p.breaks("%s ended by itself: %s", f.nodes[1].name, how)
	}
	return nil
}
