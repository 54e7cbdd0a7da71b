package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/world"
)

// rudeAnswerTimeout is the time from connect within which a client that sends malformed input
// must get an error response or a close.
const rudeAnswerTimeout = 3*time.Second + socketSlack

// maxRudeClients is the maximum number of such clients at once; further ones wait.
const maxRudeClients = 200

// malformedInputs lists what misbehaving clients send, by name. The request ids differ from
// those of other clients.
var malformedInputs = []struct {
	name string
	text func(f *fleet, rng *rand.Rand, key string) string
}{
	{"nothing", func(*fleet, *rand.Rand, string) string { return "" }},
	{"no head", func(*fleet, *rand.Rand, string) string { return "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" }},
	{"a head without end", func(*fleet, *rand.Rand, string) string {
		return "GET /katalog HTTP/1.1\r\nHost: app.svc\r\nX-Filler: " + strings.Repeat("a", 1<<20)
	}},
	{"half a request", func(f *fleet, r *rand.Rand, key string) string {
		whole := rudeRequest(f, r, key, "", "")
		return whole[:len(whole)/2]
	}},
	{"a negative length", withHeader("Content-Length: ", "Content-Length: -7\r\n")},
	{"a length that is no number", withHeader("Content-Length: ", "Content-Length: ten\r\n")},
	{"a length beyond all bounds", withHeader("Content-Length: ",
		"Content-Length: 99999999999999999999\r\n")},
	{"a body of 60 MB", withHeader("Content-Length: ", "Content-Length: 62914560\r\n")},
	{"two framings", withHeader("Content-Length: ", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")},
	{"no id", withHeader("X-Request-Id: ", "")},
	{"a class that does not exist", withHeader("X-Class: ", "X-Class: hantu\r\n")},
	{"a plan that does not exist", withHeader("X-Tier: ", "X-Tier: hantu\r\n")},
	{"units that are no number", withHeader("X-Call-Terms: ",
		"X-Call-Terms: units=many,spread=1,first=0\r\n")},
	{"units out of range", withHeader("X-Call-Terms: ", "X-Call-Terms: units=70000,spread=1,first=0\r\n")},
	{"a set out of range", withHeader("X-Call-Terms: ", "X-Call-Terms: units=1,spread=-3,first=900000\r\n")},
	{"a deadline that is no number", withHeader("X-Deadline-Ms: ", "X-Deadline-Ms: soon\r\n")},
	{"hundreds at once", func(f *fleet, r *rand.Rand, key string) string {
		return strings.Repeat(rudeRequest(f, r, key, "X-Class: ", "X-Class: hantu\r\n"), 200)
	}},
}

func withHeader(header, replacement string) func(*fleet, *rand.Rand, string) string {
	return func(f *fleet, rng *rand.Rand, key string) string {
		return rudeRequest(f, rng, key, header, replacement)
	}
}

// rudeRequest returns a valid request in which one header line is replaced.
func rudeRequest(f *fleet, rng *rand.Rand, key, header, replacement string) string {
	class := &f.world.Classes[len(f.world.Classes)-1]
	lines := []string{"POST /" + class.Name + " HTTP/1.1\r\n", "Host: app.svc\r\n",
		fmt.Sprintf("X-Request-Id: rude%012x\r\n", rng.Uint64()>>16),
		"X-Class: " + class.Name + "\r\n", "X-Tier: " + f.world.Plans[0].Name + "\r\n",
		"Cookie: key=" + key + "\r\n", "X-Deadline-Ms: 2000\r\n",
		"X-Call-Terms: units=1,spread=1,first=0\r\n", "Content-Length: 4\r\n"}
	for i := range lines {
		if header != "" && strings.HasPrefix(lines[i], header) {
			lines[i] = replacement
		}
	}
	return strings.Join(lines, "") + "\r\nbody"
}

// runRudeClients starts fault.Size misbehaving clients a second until the fault ends.
func (f *fleet) runRudeClients(ctx context.Context, fault *world.Fault) {
	rng := world.Stream(f.Seed, world.StreamNodes+len(f.nodes)+1)
	slots := make(chan struct{}, maxRudeClients)
	var clients sync.WaitGroup
	defer clients.Wait()
	f.runAtRate(ctx, fault, fault.Size, rng, func(time.Duration) {
		input, n := malformedInputs[rng.IntN(len(malformedInputs))], f.nodes[rng.IntN(len(f.nodes))]
		text := input.text(f, rng, f.drawCustomer().key)
		if running, _ := n.isRunning(); !running {
			return
		}
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			f.sendMalformed(n, input.name, text)
		})
	})
}

// sendMalformed sends malformed input to an edge node and checks the reaction.
func (f *fleet) sendMalformed(n *node, name, text string) {
	_, incarnation := n.isRunning()
	c, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return // the edge node is restarting
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(rudeAnswerTimeout)) // fails only on a closed connection
	go func() { _, _ = io.WriteString(c, text) }()       // the edge node may close before all is written
	br := bufio.NewReader(c)
	status, answered := 0, false
	resp, err := http.ReadResponse(br, nil)
	var netErr net.Error
	switch {
	case err == nil:
		status, answered = resp.StatusCode, resp.StatusCode >= 400
	case errors.As(err, &netErr) && netErr.Timeout():
	default:
		answered = true // closed or reset by the edge node
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if running, current := n.isRunning(); !running || current != incarnation {
		return
	}
	if f.book.UnreadableRequests++; !answered {
		f.book.UnreadableIgnored++
	}
	if status == http.StatusOK {
		f.book.Broken(tally.AnswerLost, "-", n.index, f.elapsed(), "served a client that sent %s", name)
	}
}
