package node

import (
	"bufio"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/policy"
)

// Guards against a discovery service whose response has an endless header: without a limit of its own the
// HTTP client would keep 10 MB of it for each of up to eight parallel calls.
func TestDiscoveryHeaderIsBounded(t *testing.T) {
	network := newPipeListener()
	var written atomic.Int64
	go func() {
		for {
			c, err := network.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
				for line := "A: " + strings.Repeat("h", 1000) + "\r\n"; err == nil; {
					n := 0
					n, err = c.Write([]byte(line))
					written.Add(int64(n))
				}
			}()
		}
	}()
	d := newDiscovery(&config.File{Discovery: "agent", DrainGrace: 2 * time.Second, MemoryMB: 64},
		func(*serverList, policy.UpdateKind) {})
	d.client.Transport.(*http.Transport).DialContext = network.DialContext
	if l, err := d.fetchOnce(t.Context(), "http://agent/v1/servers", clientTimeout, new(atomic.Int64)); err == nil {
		t.Errorf("a list %+v", l)
	}
	if n := written.Load(); n > 2*maxHeadBytes {
		t.Errorf("%d bytes of a header were read", n)
	}
}
