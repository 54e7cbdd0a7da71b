package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
	"valvering.example/valvering/policy/claims"
)

// startFleet starts the first edge nodes of a fleet of the given size, which use the same servers.
func startFleet(t *testing.T, started, size int, servers ...*testServer) (nodes []*testNode) {
	t.Helper()
	var list []target
	for i, s := range servers {
		list = append(list, servingTarget(fmt.Sprintf("s-%08x", i+1), s.addr()))
	}
	discovery := newDiscoveryServer(t, list...)
	var peers []string
	for range size {
		peers = append(peers, unusedAddr(t))
	}
	for i := range started {
		extra := fmt.Sprintf(`"peer_listen":%q,"peers":["%s"],`, peers[i], strings.Join(peers, `","`))
		settings := strings.NewReplacer(`"me":0,"balancers":1`, fmt.Sprintf(`"me":%d,"balancers":%d`, i, size),
			`"caps":{`, `"caps":{"peers":true,`).Replace(testSettings)
		nodes = append(nodes, startNode(t, fileConfig(t, discovery.addr, extra, settings)))
	}
	return nodes
}

// send sends a request with the given id, and returns a function that waits for the status.
func (r *testNode) send(t *testing.T, class, id string) (status func() int) {
	t.Helper()
	request := newRequest(r.url, class, clientTimeout)
	request.Header.Set("X-Request-Id", id)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(request)
		if err != nil {
			answered <- 0
			return
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		answered <- resp.StatusCode
	}()
	return func() int {
		t.Helper()
		select {
		case status := <-answered:
			return status
		case <-time.After(clientTimeout):
			t.Fatal("no answer")
			return 0
		}
	}
}

// awaitClaim waits until an edge node knows an id that is in use at another one.
func (r *testNode) awaitClaim(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, "the claim at the other edge node", func() bool { return r.Status().IDsElsewhere == 1 })
}

// Guards against an edge node serving a request whose id belongs to a request that is open at another one.
func TestIDThatIsOpenAtAnotherEdgeNode(t *testing.T) {
	for _, class := range []string{"lookup", "loan"} {
		t.Run(class, func(t *testing.T) {
			server, release := newHeldServer(t)
			nodes := startFleet(t, 2, 2, server)
			first := nodes[0].send(t, class, "first")
			nodes[1].awaitClaim(t)
			if status := nodes[1].send(t, class, "first")(); status != http.StatusConflict {
				t.Errorf("status %d for the second request", status)
			}
			other := nodes[1].send(t, class, "other")
			testkit.Eventually(t, "both requests at the server", func() bool { return server.requests.Load() == 2 })
			release()
			if a, b := first(), other(); a != http.StatusOK || b != http.StatusOK || server.requests.Load() != 2 {
				t.Errorf("status %d and %d of the usual requests, %d requests at the server", a, b, server.requests.Load())
			}
		})
	}
}

// Guards against an edge node of a large fleet, which is not told of all ids, serving a request whose id belongs to
// a request that is open at another one.
func TestIDThatIsOpenInLargeFleet(t *testing.T) {
	const (
		started, size = 3, 30
		pause         = 500 * time.Millisecond // much longer than the messages take
	)
	for owner := range started {
		t.Run(fmt.Sprint("owner ", owner), func(t *testing.T) {
			t.Parallel()
			server, release := newHeldServer(t)
			nodes, id := startFleet(t, started, size, server), idOwnedBy(owner, size)
			first := nodes[0].send(t, "loan", id)
			testkit.Eventually(t, "the request at the server", func() bool { return server.requests.Load() == 1 })
			if owner != 0 {
				nodes[owner].awaitClaim(t)
			}
			time.Sleep(pause)
			if status := nodes[1].send(t, "loan", id)(); status != http.StatusConflict {
				t.Errorf("status %d for the second request", status)
			}
			release()
			if status := first(); status != http.StatusOK {
				t.Errorf("status %d for the first request", status)
			}
		})
	}
}

// Guards against an edge node serving a request that it accepted before it was told that its id had been in use at
// another one, and against the first of two such requests being rejected.
func TestLateClaimOfAnotherEdgeNode(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration // of the claim, when the request here has been open for some time
		status int
	}{{"claimed before", time.Minute, http.StatusConflict}, {"claimed later", 0, http.StatusOK}} {
		t.Run(c.name, func(t *testing.T) {
			server, release := newHeldServer(t)
			nodes := startFleet(t, 2, 2, server)
			status := nodes[1].send(t, "loan", "id")
			testkit.Eventually(t, "the request at the server", func() bool { return server.requests.Load() == 1 })
			now := nodes[1].loop.clock.now()
			other := claims.New(claims.Settings{Self: 0, EdgeNodes: 2, ToAll: true, DatagramsPerSecond: 60})
			other.Add("id", 1, policy.Keyed, now-c.age, now+clientTimeout)
			nodes[1].receiveDatagram(0, other.Take(now)[0].Data)
			if c.status == http.StatusOK {
				done := make(chan struct{})
				nodes[1].loop.post(barrier{done})
				<-done
				release()
			}
			if got := status(); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
		})
	}
}

// idOwnedBy returns an id whose claims a large fleet of the given size sends to the edge node with this number.
func idOwnedBy(number, size int) string {
	for i := 0; ; i++ {
		id := fmt.Sprint("id-", i)
		if claims.Owner(id, size) == number {
			return id
		}
	}
}
