// Case 2: clients send bodies in small chunks, stop in the middle and stay.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"valvering.example/review/standin"
)

const (
	nodes, servers = 2, 9
	memoryMB       = 64  // limits as on days that were played (docs/MEASUREMENTS.md); the pages allow 32 to 192 MB
	sockets        = 384 // and 256 to 1,024 descriptors
	rate           = 60  // requests of usual clients a second at each edge node
	badClients     = 200
	bodyBytes      = 65000 // less than the 64 KiB that a body may have
	badTime        = 20 * time.Second
)

// residentMB is the resident memory of a process.
func residentMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kB, _ := strconv.Atoi(f[1])
			return float64(kB) / 1024
		}
	}
	return 0
}

func main() {
	r := standin.Begin(100 * time.Second)
	work := func() time.Duration { return 200 * time.Millisecond }
	var list []*standin.Server
	for i := range servers {
		list = append(list, r.NewServer(i, work))
	}
	d := r.NewDiscovery(list)
	var all []*standin.EdgeNode
	for i := range nodes {
		all = append(all, r.NewEdgeNode(i))
	}
	for i, n := range all {
		r.WriteConfig(n, d, all, standin.Settings(i, nodes, standin.Classes()), nil, memoryMB, sockets)
		r.StartEdgeNode(n)
	}
	for _, n := range all {
		r.AwaitReady(n.Listen, 10*time.Second)
	}

	var mu sync.Mutex
	counts := map[string]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, n := range all {
		clients.Add(1)
		go func() {
			defer clients.Done()
			tick := time.NewTicker(time.Second / rate)
			defer tick.Stop()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					q := &standin.Request{ID: fmt.Sprintf("%04x%012x", i, k), Class: "perpanjang", Plan: "penuh",
						Deadline: 6 * time.Second, Customer: 0x100 + k%20, Terms: "units=1,spread=2,first=0"}
					r.Logf("client sends %s to %s", q.ID, n.Name)
					status, body := r.Ask(n.Listen, q)
					r.Logf("client got %d %q for %s", status, body, q.ID)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case status == 200 && body == "done "+q.ID:
						counts["served"]++
					case status == -2:
						counts["not connected"]++
					case status <= 0:
						counts["lost: sent, never answered"]++
					default:
						counts["refused or failed"]++
					}
				}()
			}
		}()
	}

	time.Sleep(3 * time.Second)
	n := all[0]
	if r.Trouble {
		r.Logf("%d clients send bodies of %d bytes to %s, without their end", badClients, bodyBytes, n.Name)
		for i := range badClients {
			go func() {
				for k := 0; ; k++ {
					badClient(r, n.Listen, i, k)
				}
			}()
		}
	}
	peak := 0.0
	for end := time.Now().Add(badTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n.Proc.HasEnded() {
			close(stop)
			clients.Wait()
			r.End(standin.Broken, "%s crashed (%s); requests of usual clients: %v", n.Name, n.Proc.Status(), counts)
		}
		now := residentMB(n.Proc.Pid())
		if now > peak+1 {
			r.Logf("%s has %.0f MB resident", n.Name, now)
			peak = now
		}
		if now > memoryMB {
			r.Logf("%s is over %d MB: the platform kills it", n.Name, memoryMB)
			r.Signal(n.Proc, syscall.SIGKILL)
			<-n.Proc.Ended
			time.Sleep(200 * time.Millisecond)
			close(stop)
			clients.Wait()
			r.End(standin.Broken, "%s had %.1f MB of %d and was killed; requests of usual clients: %v", n.Name, now,
				memoryMB, counts)
		}
	}
	close(stop)
	clients.Wait()
	if counts["served"] == 0 {
		r.End(standin.NotRun, "nothing was served: %v", counts)
	}
	r.End(standin.Held, "%s had %.0f MB of %d at most; requests of usual clients: %v", n.Name, peak, memoryMB, counts)
}

// badClient sends one request whose body has bodyBytes, in chunks of one byte, stops before the last chunk and stays
// until the edge node turns it away.
func badClient(r *standin.Run, addr string, i, k int) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.Close()
	began := time.Now()
	q := &standin.Request{ID: fmt.Sprintf("bad0%06x%06x", i, k), Class: "perpanjang", Plan: "penuh",
		Deadline: 6 * time.Second, Customer: 0x1000 + i, Terms: "units=1,spread=2,first=0"}
	head, _, _ := strings.Cut(q.Text(), "Content-Length")
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", bodyBytes))
	b := make([]byte, 64)
	size, err := c.Read(b)
	if i < 3 {
		line, _, _ := strings.Cut(string(b[:size]), "\r\n")
		r.Logf("bad client %d got %q, %v after %v", i, line, err, time.Since(began).Round(time.Millisecond))
	}
}
