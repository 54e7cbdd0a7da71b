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

// rudeWithin is the time from connect within which a client that sends malformed input
// must get an error response or a close.
const rudeWithin = 3*time.Second + socketSlack

// mostRude is the maximum number of such clients at once; further ones wait.
const mostRude = 200

// rudeWays are the malformed inputs, by name. Their request ids differ from those of
// other clients.
var rudeWays = []struct {
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
	{"a negative length", rudeWith("Content-Length: ", "Content-Length: -7\r\n")},
	{"a length that is no number", rudeWith("Content-Length: ", "Content-Length: ten\r\n")},
	{"a length beyond all bounds", rudeWith("Content-Length: ", "Content-Length: 99999999999999999999\r\n")},
	{"a body of 60 MB", rudeWith("Content-Length: ", "Content-Length: 62914560\r\n")},
	{"two framings", rudeWith("Content-Length: ", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")},
	{"no id", rudeWith("X-Request-Id: ", "")},
	{"a class that does not exist", rudeWith("X-Class: ", "X-Class: hantu\r\n")},
	{"a plan that does not exist", rudeWith("X-Tier: ", "X-Tier: hantu\r\n")},
	{"units that are no number", rudeWith("X-Call-Terms: ", "X-Call-Terms: units=many,spread=1,first=0\r\n")},
	{"units out of range", rudeWith("X-Call-Terms: ", "X-Call-Terms: units=70000,spread=1,first=0\r\n")},
	{"a set out of range", rudeWith("X-Call-Terms: ", "X-Call-Terms: units=1,spread=-3,first=900000\r\n")},
	{"a deadline that is no number", rudeWith("X-Deadline-Ms: ", "X-Deadline-Ms: soon\r\n")},
	{"hundreds at once", func(f *fleet, r *rand.Rand, key string) string {
		return strings.Repeat(rudeRequest(f, r, key, "X-Class: ", "X-Class: hantu\r\n"), 200)
	}},
}

func rudeWith(field, instead string) func(*fleet, *rand.Rand, string) string {
	return func(f *fleet, rng *rand.Rand, key string) string { return rudeRequest(f, rng, key, field, instead) }
}

// rudeRequest returns a valid request in which one header line is replaced.
func rudeRequest(f *fleet, rng *rand.Rand, key, field, instead string) string {
	class := &f.w.Classes[len(f.w.Classes)-1]
	lines := []string{"POST /" + class.Name + " HTTP/1.1\r\n", "Host: app.svc\r\n", fmt.Sprintf("X-Request-Id: rude%012x\r\n", rng.Uint64()>>16),
		"X-Class: " + class.Name + "\r\n", "X-Tier: " + f.w.Plans[0].Name + "\r\n", "Cookie: key=" + key + "\r\n", "X-Deadline-Ms: 2000\r\n",
		"X-Call-Terms: units=1,spread=1,first=0\r\n", "Content-Length: 4\r\n"}
	for i := range lines {
		if field != "" && strings.HasPrefix(lines[i], field) {
			lines[i] = instead
		}
	}
	return strings.Join(lines, "") + "\r\nbody"
}

// rude starts x.Size misbehaving clients a second until the fault ends.
func (f *fleet) rude(ctx context.Context, x *world.Fault) {
	rng := world.Stream(f.Seed, world.StreamNodes+len(f.nodes)+1)
	places := make(chan struct{}, mostRude)
	var all sync.WaitGroup
	defer all.Wait()
	f.atRate(ctx, x, x.Size, rng, func(time.Duration) {
		way, n := rudeWays[rng.IntN(len(rudeWays))], f.nodes[rng.IntN(len(f.nodes))]
		text := way.text(f, rng, f.anyone().key)
		if up, _ := n.isUp(); !up {
			return
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			f.misbehave(n, way.name, text)
		})
	})
}

// misbehave sends malformed input to an edge node and checks the reaction.
func (f *fleet) misbehave(n *node, name, text string) {
	_, inc := n.isUp()
	c, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return // the edge node is restarting
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(rudeWithin))  // fails only on a closed connection
	go func() { _, _ = io.WriteString(c, text) }() // the edge node may close before all is written
	br := bufio.NewReader(c)
	status, answered := 0, false
	resp, err := http.ReadResponse(br, nil)
	var late net.Error
	switch {
	case err == nil:
		status, answered = resp.StatusCode, resp.StatusCode >= 400
	case errors.As(err, &late) && late.Timeout():
	default:
		answered = true // closed or reset by the edge node
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if up, now := n.isUp(); !up || now != inc {
		return
	}
	if f.book.Rude++; !answered {
		f.book.RudeIgnored++
	}
	if status == http.StatusOK {
		f.book.Broken(tally.AnswerLost, "-", n.no, f.since(), "served a client that sent %s", name)
	}
}
