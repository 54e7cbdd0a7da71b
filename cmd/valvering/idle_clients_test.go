package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
)

// idleClients hold connections open and say nothing on them. One that is closed is opened
// again, so that the edge node's descriptors stay as full as it lets them be.
type idleClients struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

func fillDescriptors(addr string, n int) *idleClients {
	i := &idleClients{stop: make(chan struct{})}
	for range n {
		i.wg.Go(func() { i.hold(addr) })
	}
	return i
}

// hold opens one connection after another until stop is closed.
func (i *idleClients) hold(addr string) {
	for {
		if c, err := net.Dial("tcp", addr); err == nil {
			ended := make(chan struct{})
			go func() { _, _ = io.Copy(io.Discard, c); close(ended) }()
			select {
			case <-ended:
			case <-i.stop:
			}
			c.Close()
			<-ended
		}
		select {
		case <-i.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (i *idleClients) end() {
	close(i.stop)
	i.wg.Wait()
}

// moved has the file name another discovery, which tells the list there is now.
func (s *service) moved() {
	s.disc = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, `{"rev":%d,"all":true,"targets":[%s]}`, s.rev.Load(), strings.Join(*s.list.Load(), ","))
	}))
	s.t.Cleanup(s.disc.Close)
}

// writeWithGrace puts a configuration in place in which sends to a draining server must end
// within so many milliseconds.
func (s *service) writeWithGrace(ms string) {
	s.t.Helper()
	s.write(`{"name":"dasar"}`)
	text, err := os.ReadFile(s.config)
	if err != nil {
		s.t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"drain_grace_ms":2000`), []byte(`"drain_grace_ms":`+ms), 1)
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// Idle clients fill the descriptors while discovery is down. On every path that opens a watch
// there is one left for it: the first call, the calls that follow a watch which broke or was
// refused, several beside one another where an agent swallows them, and the first call at
// another address.
func TestWatchIsOpenedBesideIdleClients(t *testing.T) {
	for most, grace := range map[int]string{32: "250", 64: "2000"} { // the shorter, the more calls beside one another
		for _, path := range []string{"first call, silent", "first call, refused", "watch, silent", "watch, refused", "other address, silent"} {
			t.Run(fmt.Sprintf("%d descriptors, %s", most, path), func(t *testing.T) {
				s := newService(t)
				s.most = most
				s.more = fmt.Sprintf(`"known":{"rev":1,"all":true,"targets":[%s]},`, strings.Join(*s.list.Load(), ","))
				s.writeWithGrace(grace)
				hold := make(chan struct{})
				down := func() {
					if strings.HasSuffix(path, "refused") {
						s.down.Store(true)
					} else {
						s.silent.Store(&hold)
					}
				}
				if strings.HasPrefix(path, "first call") {
					down()
					s.start()
				} else {
					s.start()
					list := newLender(s)
					s.lenders = append(s.lenders, list)
					s.tellList([]string{list.line(1<<10, 0)})
					c := s.load(1)
					testkit.Eventually(t, "work by discovery's list", func() bool { return list.ran.Load() > 0 })
					c.stop()
					down()
				}
				idle := fillDescriptors(s.listen, 3*most)
				s.says("discovery does not answer")
				testkit.Eventually(t, "the clients' descriptors used up", func() bool { return s.descriptors() >= most/2 })
				c := s.loadOf(&clients{deadline: 2000, lossy: true, crowded: true}, 2)
				for range 20 { // the operators' address takes its part too
					_, _, _ = s.tryToOperate("GET", "/status")
				}
				c.more(20) // and idle ones give way to those that ask for something
				fresh := newLender(s)
				s.tellList([]string{fresh.line(1<<20, 0)})
				if strings.HasPrefix(path, "other address") {
					s.moved()
					s.writeWithGrace(grace)
					s.signal(syscall.SIGHUP)
				} else {
					s.silent.Store(nil)
					s.down.Store(false)
					close(hold)
				}
				testkit.Eventually(t, "work by the new list", func() bool { return fresh.ran.Load() > 0 })
				c.stop()
				idle.end()
				if strings.HasPrefix(path, "other address") {
					close(hold)
				}
				if log := s.log.String(); strings.Contains(log, "too many open files") {
					t.Errorf("no descriptor left:\n%s", log)
				}
			})
		}
	}
}
