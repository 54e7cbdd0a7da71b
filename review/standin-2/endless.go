package standin2

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Endless plays lending servers that spoil some answers: such an answer has a length, and a few bytes of it come
// again and again. Clients give up early. When all deadlines are over and the lending servers have long been sound
// again, the edge node is told to end.
func Endless(p *play) error {
	const spoilOneIn = 8
	f, err := newFleet(p, 2, 4, 60*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	n := f.nodes[0]
	time.Sleep(time.Second)
	if p.trouble {
		for _, l := range f.lenders {
			l.spoilOneIn.Store(spoilOneIn)
		}
		p.note("lending servers spoil one answer in %d", spoilOneIn)
	}
	// Clients that give up after 50 to 100% of the class's time, and close.
	const clients, giveUpMin = 24, 0.5
	deadlines := []time.Duration{time.Second, 5 * time.Second, 6 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*request
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			class := i % 3
			stop := time.Now().Add(6 * time.Second)
			for k := 0; time.Now().Before(stop); k++ {
				r := newRequest([]string{"katalog", "pinjam", "perpanjang"}[class], "penuh", 0x100+i, deadlines[class], 2, 0)
				part := giveUpMin + (1-giveUpMin)*float64((7*i+3*k)%10)/10
				r.giveUp(n.listen, time.Duration(part*float64(deadlines[class])))
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	for _, l := range f.lenders {
		l.spoilOneIn.Store(0)
	}
	p.note("all clients have gone; lending servers are sound from now on")
	const rest = 8 * time.Second // longer than the longest deadline
	time.Sleep(rest)
	held := int64(0)
	for _, l := range f.lenders {
		held += l.endless.Load()
	}
	p.note("%v after the last client has gone, %d attempts are still held", rest, held)
	term := time.Now()
	n.signal(syscall.SIGTERM)
	f.describe(all)
	const wait = 30 * time.Second
	select {
	case <-n.ended:
		p.note("%s ended %.2f s after SIGTERM", n.name, time.Since(term).Seconds())
		if took := time.Since(term); took > killAfter+slack {
			p.breaks("%s took %.2f s to end after SIGTERM, with no client", n.name, took.Seconds())
		}
	case <-time.After(wait):
		p.breaks("%s has not ended %v after SIGTERM, with no client and all deadlines over by %v; it holds %d attempts", n.name,
			wait, rest, held)
	}
	return nil
}

// giveUp sends the request on a connection of its own, and closes it at the answer or after the given time.
func (r *request) giveUp(addr string, after time.Duration) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		r.err, r.endedAt = err, time.Now()
		return
	}
	defer c.Close()
	if _, r.err = c.Write(append(r.head(), r.body...)); r.err != nil {
		r.endedAt = time.Now()
		return
	}
	r.sentAt = time.Now()
	_ = c.SetReadDeadline(r.sentAt.Add(after))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(resp.Body); err == nil {
			r.status, r.answer = resp.StatusCode, string(body)
		}
	}
	r.err, r.endedAt = err, time.Now()
}
