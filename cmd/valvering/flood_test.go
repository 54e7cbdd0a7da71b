package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	floodTime         = 2 * time.Second
	floodBatch        = 50                   // requests in a write
	floodPause        = 5 * time.Millisecond // before the flood connects again
	floodMemoryMB     = 64
	usualClients      = 4
	usualPause        = 20 * time.Millisecond // between two requests of a usual client
	usualDeadline     = 2 * time.Second
	shortestAim       = 300 * time.Millisecond // of the classes
	smallestCoreShare = 0.1                    // that an edge node may have; the test's process has a whole core
)

// floods are what one client sends on its connection at full speed: message number i of each form.
var floods = map[string]func(i int) string{
	"probes":      func(int) string { return "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" },
	"empty lines": func(int) string { return "\r\n" },
	"no requests": func(int) string { return "x\r\n\r\n" },
	"unknown classes": func(i int) string {
		return fmt.Sprintf("GET /c%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: c%d\r\n\r\n", i, i, i)
	},
	"unknown plans": func(i int) string {
		return strings.Replace(floodRequest(i, i), "X-Tier: dasar", fmt.Sprintf("X-Tier: p%d", i), 1)
	},
	"the same id":        func(int) string { return floodRequest(0, 0) },
	"one customer":       func(i int) string { return floodRequest(i, 0) },
	"ever new customers": func(i int) string { return floodRequest(i, i) },
	"requests without time": func(i int) string {
		return strings.Replace(floodRequest(i, i), "X-Deadline-Ms: 2000", "X-Deadline-Ms: 0", 1)
	},
	"beyond the quota": func(i int) string {
		return strings.Replace(floodRequest(i, i%7), "X-Tier: dasar", "X-Tier: kecil", 1)
	},
	"chunks of one byte": func(i int) string {
		head, _, _ := strings.Cut(greedyRequest(fmt.Sprintf("f%d", i), i), "\r\n\r\n")
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 2000) + "0\r\n\r\n"
	},
	"invalid requests with large bodies": func(i int) string {
		return strings.Replace(greedyRequest(fmt.Sprintf("f%d", i), i), "X-Tier: dasar", "X-Tier: x", 1) +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, strings.Repeat("x", largeBody))
	},
	"continue": func(i int) string {
		return fmt.Sprintf("POST /perpanjang HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: perpanjang\r\n"+
			"X-Tier: dasar\r\nCookie: key=%016x\r\nX-Deadline-Ms: 2000\r\nExpect: 100-continue\r\n"+
			"Content-Length: 2\r\n\r\n{}", i, i)
	},
}

// floodRequest returns a small valid request.
func floodRequest(id, customer int) string {
	return fmt.Sprintf("GET /katalog HTTP/1.1\r\nHost: a\r\nX-Request-Id: f%d\r\nX-Class: katalog\r\nX-Tier: dasar\r\n"+
		"Cookie: key=%016x\r\nX-Deadline-Ms: 2000\r\n\r\n", id, customer)
}

// flood sends messages of a form on one connection at a time until stop is closed. It returns their number.
func flood(addr string, message func(int) string, stop <-chan struct{}) (sent int) {
	for {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return sent
		}
		closed := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
		for err == nil {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(message(sent))
				sent++
			}
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(c, batch.String())
			select {
			case <-stop:
				err = net.ErrClosed
			case <-closed:
				err = net.ErrClosed
			default:
			}
		}
		c.Close()
		<-closed
		select {
		case <-stop:
			return sent
		case <-time.After(floodPause):
		}
	}
}

// usualResults are the results of usual clients.
type usualResults struct {
	mu        sync.Mutex
	latencies []time.Duration
	notServed []string
}

// runUsualClient sends one request at a time until stop is closed.
func (s *deployment) runUsualClient(number int, results *usualResults, stop <-chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(usualPause):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", s.listen, usualDeadline); err != nil {
				results.fail(err)
				continue
			}
			in = bufio.NewReader(c)
		}
		class := []string{"katalog", "perpanjang"}[i%2]
		began := time.Now()
		_ = c.SetDeadline(began.Add(usualDeadline))
		_, err := io.WriteString(c, soundRequest(class, fmt.Sprintf("usual-%d-%d", number, i)))
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			results.fail(err)
			c.Close()
			c = nil
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		results.add(time.Since(began), resp.StatusCode)
	}
}

func (r *usualResults) add(latency time.Duration, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies = append(r.latencies, latency)
	if status != http.StatusOK {
		r.notServed = append(r.notServed, fmt.Sprint("status ", status))
	}
}

func (r *usualResults) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notServed = append(r.notServed, err.Error())
}

// floodResult is what usual clients saw beside a flood.
type floodResult struct {
	*usualResults
	sent     int           // messages of the flood
	late     time.Duration // at most one usual request in a hundred took longer
	lateness time.Duration // tolerance for the lateness of the machine
	peak     float64       // resident memory in MB
}

// runFlood sends messages of a form on each of some connections at full speed, beside usual clients.
func runFlood(t *testing.T, connections int, message func(int) string) floodResult {
	s := newDeployment(t)
	s.memoryMB = floodMemoryMB
	s.write(`{"name":"dasar"},{"name":"kecil","rate":0.01,"store_size":1}`)
	s.start()
	results, machine, stop := &usualResults{}, newObservations(), make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { machine.measureLateness(stop) })
	for i := range usualClients {
		running.Go(func() { s.runUsualClient(i, results, stop) })
	}
	var sent atomic.Int64
	for i := range connections {
		running.Go(func() {
			sent.Add(int64(flood(s.listen, func(k int) string { return message(i<<20 + k) }, stop)))
		})
	}
	time.AfterFunc(floodTime, func() { close(stop) })
	peak := s.peakMemory(stop)
	running.Wait()
	slices.Sort(results.latencies)
	n := len(results.latencies)
	if n == 0 {
		t.Fatal("no usual request was answered")
	}
	r := floodResult{results, int(sent.Load()), results.latencies[n*99/100], machine.tolerance(), peak}
	t.Logf("%d messages; %d usual requests, median %v, 99%% %v, worst %v; %.1f MB; tolerance %v", r.sent, n,
		results.latencies[n/2], r.late, results.latencies[n-1], peak, r.lateness)
	return r
}

// check checks that one usual request in a hundred at most was late, all were served, and memory stayed within the
// limit.
func (r floodResult) check(t *testing.T, aim time.Duration) {
	t.Helper()
	if r.late > aim+r.lateness {
		t.Errorf("1%% of the usual requests took %v and more, the aim is %v", r.late, aim)
	}
	if len(r.notServed) > 0 {
		t.Errorf("%d usual requests not served: %v", len(r.notServed), r.notServed)
	}
	if r.peak > floodMemoryMB {
		t.Errorf("%.1f MB resident with a limit of %d", r.peak, floodMemoryMB)
	}
}

// Guards against one client that sends small or unsound requests on its connection at full speed, also under ever
// new names, and so delays the responses to other clients or makes memory grow.
func TestFloodOnOneConnection(t *testing.T) {
	for form, message := range floods {
		t.Run(form, func(t *testing.T) {
			runFlood(t, 1, message).check(t, time.Duration(smallestCoreShare*float64(shortestAim)))
		})
	}
}

// Guards against the same from ten connections, where an edge node has a whole core.
func TestFloodOnTenConnections(t *testing.T) {
	for _, form := range []string{"probes", "beyond the quota", "chunks of one byte"} {
		t.Run(form, func(t *testing.T) { runFlood(t, 10, floods[form]).check(t, shortestAim) })
	}
}
