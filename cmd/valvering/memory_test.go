package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"valvering.example/valvering/internal/memory"
)

const (
	greedyMemoryMB = 64
	greedySockets  = 384
	greedyClients  = 300 // more than the descriptors for clients
	greedyServers  = 40
	greedyTime     = time.Second
	largeBody      = 65000 // bytes; a body may have 64 KiB
	sampleInterval = 5 * time.Millisecond
)

// greedyRequest returns a request of class perpanjang without the fields of its body.
func greedyRequest(id string, customer int) string {
	return fmt.Sprintf("POST /perpanjang HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: perpanjang\r\n"+
		"X-Tier: dasar\r\nCookie: key=%016x\r\nX-Deadline-Ms: 3000\r\n", id, customer)
}

// greedyText is what a greedy client sends behind the first fields of its request, in each of the forms that
// make an edge node keep much. The client then stays until it gets a response or a close.
var greedyText = map[string]string{
	"chunks of one byte": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", largeBody),
	"chunk extensions": "Transfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1;"+strings.Repeat("e", 240)+"\r\nx\r\n", 10000),
	"trailers": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
		strings.Repeat("A: "+strings.Repeat("t", 15000)+"\r\n", 90),
	"one chunk": "Transfer-Encoding: chunked\r\n\r\nfde8\r\n" + strings.Repeat("x", largeBody-1),
	"length":    fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody, strings.Repeat("x", largeBody-1)),
	"head":      "A: " + strings.Repeat("h", 15000),
	"many fields": strings.Repeat("a:\r\n", 90) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody,
		strings.Repeat("x", largeBody-1)),
	"very many short fields":         strings.Repeat("a:\r\n", 4000),
	"short fields in a whole head":   strings.Repeat("a:\r\n", 4000) + "Content-Length: 2\r\n\r\n{}",
	"requests behind one that waits": "Content-Length: 2\r\n\r\n{}" + strings.Repeat("x", 200<<10),
	"a large body that waits": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBody,
		strings.Repeat("x", largeBody)),
}

// greedyResponse is what a greedy server sends, in each of the forms that make an edge node keep much.
var greedyResponse = map[string]string{
	"chunks of one byte": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1\r\nx\r\n", largeBody),
	"chunk extensions": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1;"+strings.Repeat("e", 240)+"\r\nx\r\n", 10000),
	"trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
		strings.Repeat("A: "+strings.Repeat("t", 15000)+"\r\n", 90),
	"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBody,
		strings.Repeat("x", largeBody-1)),
	"whole, with a large head": fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s",
		strings.Repeat("h", 15000), largeBody, strings.Repeat("x", largeBody)),
	"to the end of the connection": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
		strings.Repeat("x", largeBody),
}

// peakMemory samples the resident memory of the program until stop is closed and returns the largest value,
// in MiB.
func (s *deployment) peakMemory(stop <-chan struct{}) (peak float64) {
	path := fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid)
	for {
		text, _ := os.ReadFile(path)
		for line := range strings.Lines(string(text)) {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
				kB, _ := strconv.ParseFloat(f[1], 64)
				peak = max(peak, kB/1024)
			}
		}
		select {
		case <-stop:
			return peak
		case <-time.After(sampleInterval):
		}
	}
}

// sendGreedily sends requests of a form, each on a new connection, until stop is closed. A client that reads
// nothing leaves its response in the socket.
func sendGreedily(addr string, client int, text string, reads bool, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(greedyTime))
		_, _ = io.WriteString(c, greedyRequest(fmt.Sprintf("g%04x%08x", client, i), client<<16+i)+text)
		if reads {
			_, _ = io.Copy(io.Discard, c)
		} else {
			time.Sleep(greedyTime / 4)
		}
		c.Close()
	}
}

// runGreedyClients runs greedy clients for greedyTime and returns the peak of the program's memory.
func (s *deployment) runGreedyClients(forms []string, reads bool) float64 {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range greedyClients {
		wg.Go(func() { sendGreedily(s.listen, i, forms[i%len(forms)], reads, stop) })
	}
	time.AfterFunc(greedyTime, func() { close(stop) })
	peak := s.peakMemory(stop)
	wg.Wait()
	return peak
}

// checkServes checks that the program is still the same process and serves.
func (s *deployment) checkServes() {
	s.t.Helper()
	for i := 0; ; i++ {
		c, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			s.t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(c, greedyRequest(fmt.Sprintf("usual%d", i), 1<<20)+"Content-Length: 2\r\n\r\n{}")
		if err != nil {
			s.t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		c.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		if i == 50 {
			s.t.Fatalf("no request is served any more: %v, %v", resp, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against clients that take an edge node over limits.memory_mb with what it keeps of unfinished and
// waiting requests, in any form of the protocol, at the limit of descriptors.
func TestGreedyClientsStayWithinMemory(t *testing.T) {
	s := newDeployment(t)
	s.memoryMB, s.sockets = greedyMemoryMB, greedySockets
	s.write(`{"name":"dasar"}`)
	s.start()
	var all []string
	for form, text := range greedyText {
		all = append(all, text)
		t.Run(form, func(t *testing.T) {
			waits := strings.HasSuffix(form, "waits")
			if waits { // for its server
				for _, server := range s.servers {
					server.block()
				}
			}
			peak := s.runGreedyClients([]string{text}, true)
			t.Logf("%.1f MB resident at most", peak)
			if peak > greedyMemoryMB {
				t.Errorf("%.1f MB resident with a limit of %d", peak, greedyMemoryMB)
			}
			for _, server := range s.servers {
				server.unblock()
			}
			s.checkServes()
		})
	}
	s.setServers(s.longList())
	s.awaitLog("more servers than there is memory for")
	peak := s.runGreedyClients(all, true)
	t.Logf("all forms at once, with a long list: %.1f MB resident at most", peak)
	if peak > greedyMemoryMB {
		t.Errorf("all forms at once, with a long list: %.1f MB resident with a limit of %d", peak, greedyMemoryMB)
	}
	s.checkServes()
}

// Guards against clients that take an edge node over limits.memory_mb by writing large requests slowly.
func TestSlowClientsStayWithinMemory(t *testing.T) {
	const pieceBytes, pause = 1000, 10 * time.Millisecond
	s := newDeployment(t)
	s.memoryMB, s.sockets = greedyMemoryMB, greedySockets
	s.write(`{"name":"dasar"}`)
	s.start()
	var forms []string
	for _, text := range greedyText {
		forms = append(forms, text)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	writeSlowly := func(client int) {
		for i := 0; ; i++ {
			text := greedyRequest(fmt.Sprintf("s%04x%08x", client, i), client<<16+i) + forms[(client+i)%len(forms)]
			c, err := net.DialTimeout("tcp", s.listen, time.Second)
			for err == nil && len(text) > 0 {
				piece := min(pieceBytes, len(text))
				_, err = io.WriteString(c, text[:piece])
				text = text[piece:]
				select {
				case <-stop:
					c.Close()
					return
				case <-time.After(pause):
				}
			}
			if c != nil {
				c.Close()
			}
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	}
	for i := range greedyClients {
		clients.Go(func() { writeSlowly(i) })
	}
	time.AfterFunc(3*greedyTime, func() { close(stop) })
	peak := s.peakMemory(stop)
	clients.Wait()
	t.Logf("%.1f MB resident at most", peak)
	if peak > greedyMemoryMB {
		t.Errorf("%.1f MB resident with a limit of %d", peak, greedyMemoryMB)
	}
	s.checkServes()
}

// longList returns the longest list that the program accepts. All its servers have the addresses of the sound
// ones.
func (s *deployment) longList() []string {
	lines := make([]string, memory.NewPlan(s.memoryMB).MaxServerLines())
	for i := range lines {
		lines[i] = s.servers[i%len(s.servers)].line(i+1, 0)
	}
	return lines
}

// greedyServer is a server that sends the same text to each request and leaves the connection open for a
// while, or closes it.
func greedyServer(t *testing.T, text string, closes bool) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(c, text); err != nil || closes {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

// Guards against servers that take an edge node over limits.memory_mb with what it keeps of their responses, in
// any form of the protocol, at the limit of descriptors, also where the clients don't read.
func TestGreedyServersStayWithinMemory(t *testing.T) {
	for form, text := range greedyResponse {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, clients read %v", form, reads), func(t *testing.T) {
				s := newDeployment(t)
				s.memoryMB, s.sockets = greedyMemoryMB, greedySockets
				sound := *s.serverLines.Load()
				var lines []string
				for i := range greedyServers {
					l := greedyServer(t, text, strings.HasPrefix(form, "to the end"))
					lines = append(lines, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","state":"SERVING","capacity_hint":1}`,
						100+i, l.Addr()))
				}
				s.setServers(lines)
				s.write(`{"name":"dasar"}`)
				s.start()
				peak := s.runGreedyClients([]string{greedyText["a large body that waits"]}, reads)
				t.Logf("%.1f MB resident at most", peak)
				if peak > greedyMemoryMB {
					t.Errorf("%.1f MB resident with a limit of %d", peak, greedyMemoryMB)
				}
				s.setServers(sound)
				s.checkServes()
			})
		}
	}
}
