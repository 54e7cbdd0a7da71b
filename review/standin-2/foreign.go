package standin2

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// ForeignID plays a bad client that sends, to one edge node, requests with the ids of requests that usual clients have
// open at another one.
func ForeignID(p *play) error {
	f, err := newFleet(p, 2, 4, 240*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	send := func(r *request, to *node) {
		c, err := net.Dial("tcp", to.listen)
		if err != nil {
			r.err = err
			return
		}
		defer c.Close()
		r.exchange(c, bufio.NewReader(c), 0)
	}
	var usual, bad []*request
	var wg sync.WaitGroup
	for i := range 20 {
		u := newRequest("perpanjang", "penuh", 0x100+i, 6*time.Second, 2, 0)
		b := newRequest("perpanjang", "penuh", 0x900+i, 6*time.Second, 2, 0)
		b.id = u.id
		usual, bad = append(usual, u), append(bad, b)
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(u, f.nodes[0])
		}()
		if p.trouble {
			time.Sleep(80 * time.Millisecond)
			wg.Add(1)
			go func() {
				defer wg.Done()
				send(b, f.nodes[1])
			}()
		}
		time.Sleep(320 * time.Millisecond)
	}
	wg.Wait()
	f.describe(usual)
	if !p.trouble {
		for _, u := range usual {
			if u.status == 0 {
				p.breaks("request %s: no answer", u.id)
			}
		}
		return nil
	}
	p.note("the bad client's requests:")
	f.describe(bad)
	for i, b := range bad {
		if u := usual[i]; b.status == 200 && b.sentAt.Before(u.endedAt) {
			p.breaks("n1 served the bad client's request with the id %s, which was open at n0; lending servers ran that id twice",
				u.id)
		}
	}
	return nil
}
