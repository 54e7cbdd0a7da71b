package standin2

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Pipeline plays a usual client that sends many requests at once on one connection. Without the disruption it sends
// them one at a time, each after the answer to the one before.
func Pipeline(p *play) error {
	const atOnce, rounds = 40, 3
	f, err := newFleet(p, 2, 4, 60*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.startAll(katalog(), pinjam(), perpanjang()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	customer := 0x100
	for range rounds {
		var list []*request
		for range atOnce {
			customer++
			list = append(list, newRequest("katalog", "penuh", customer, time.Second, 2, 0))
		}
		c, err := net.Dial("tcp", f.nodes[0].listen)
		if err != nil {
			return err
		}
		in := bufio.NewReader(c)
		if p.trouble {
			exchangeAll(c, in, list)
		} else {
			for _, r := range list {
				r.exchange(c, in, 0)
			}
		}
		c.Close()
		f.describe(list)
		for _, r := range list {
			if late := r.endedAt.Sub(r.sentAt) - r.deadline; r.status == 0 || late > 500*time.Millisecond+slack {
				p.breaks("request %s of class %s: status %d, %.2f s after its time", r.id, r.class, r.status, late.Seconds())
			}
		}
	}
	return nil
}

// exchangeAll writes all requests at once and reads their answers in turn.
func exchangeAll(c net.Conn, in *bufio.Reader, list []*request) {
	var data []byte
	for _, r := range list {
		data = append(data, r.head()...)
		data = append(data, r.body...)
	}
	_, err := c.Write(data)
	sentAt := time.Now()
	_ = c.SetReadDeadline(sentAt.Add(20 * time.Second))
	for _, r := range list {
		r.sentAt, r.err = sentAt, err
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(resp.Body); err == nil {
				r.status, r.answer = resp.StatusCode, string(body)
			}
		}
		r.err, r.endedAt = err, time.Now()
	}
}
