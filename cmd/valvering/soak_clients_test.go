package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// clientKind is how a client behaves.
type clientKind int

const (
	plainClient    clientKind = iota // one request at a time on a connection that it keeps
	leavingClient                    // closes its connection under some requests
	haltingClient                    // stops in the middle of some requests, and stays
	pipelineClient                   // sends several requests at once
)

const pipelined = 3 // requests that a pipelining client sends at once

// soakClient sends requests to one node, without pause for as long as its connection stays open.
type soakClient struct {
	node   *soakNode
	kind   clientKind
	class  string
	plan   string
	no     int
	random *randomSource
	done   <-chan struct{}

	conn  net.Conn
	in    *bufio.Reader
	first bool // nothing was answered on the connection yet
}

// clientsOf starts the clients of a node.
func (f *soakFleet) clientsOf(n *soakNode, done <-chan struct{}, group *sync.WaitGroup) {
	first := clientStreams * uint64(1+slices.Index(f.nodes, n))
	kinds := []clientKind{plainClient, plainClient, plainClient, plainClient, plainClient, plainClient,
		leavingClient, leavingClient, haltingClient, pipelineClient}
	for i, kind := range kinds {
		c := &soakClient{node: n, kind: kind, class: []string{safeClass, keyedClass, onceClass}[i%3],
			plan: []string{freePlan, ratePlan, ceilingPlan}[i/2%3], no: i, random: newRandomSource(f.seed, first+uint64(i)), done: done}
		group.Go(c.run)
	}
}

func (c *soakClient) run() {
	defer c.hangUp()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		if !c.connected() {
			time.Sleep(5 * time.Millisecond) // the node is being restarted
			continue
		}
		random := c.random
		switch {
		case c.kind == leavingClient && random.chance(2):
			c.leave()
		case c.kind == haltingClient && random.chance(4):
			c.halt()
		case c.kind == pipelineClient:
			c.exchange(pipelined)
		default:
			c.exchange(1)
		}
		if random.chance(8) {
			time.Sleep(random.upTo(50 * time.Millisecond))
		}
	}
}

// connected keeps the open connection, and opens one while the front does.
func (c *soakClient) connected() bool {
	if c.conn != nil {
		return true
	}
	if !c.node.frontOpens() {
		return false
	}
	conn, err := net.Dial("tcp", c.node.listen)
	if err != nil {
		return false
	}
	c.conn, c.in, c.first = conn, bufio.NewReader(conn), true
	return true
}

func (c *soakClient) hangUp() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// customer is whom a client asks for: all nodes are asked for the same ones.
func (c *soakClient) customer() string { return fmt.Sprintf("%s-%d", c.plan, c.no%2) }

// request enters a request and returns it with its text.
func (c *soakClient) request() (seen *requestSeen, id, text string) {
	f := c.node.fleet
	f.mu.Lock()
	f.ids++
	id = fmt.Sprintf("%s-%d-%d", c.node.name, c.no, f.ids)
	f.mu.Unlock()
	deadline := 300*time.Millisecond + c.random.upTo(longestDeadline-300*time.Millisecond)
	deadline = deadline.Truncate(time.Millisecond)
	seen = &requestSeen{node: c.node.name, class: c.class, customer: c.customer(), deadline: deadline, first: c.first, crowded: f.crowded}
	f.seen.mu.Lock()
	f.seen.requests[id] = seen
	f.seen.mu.Unlock()
	method, more := "POST", "Content-Length: 5\r\n"
	body := "hello"
	switch c.class {
	case safeClass:
		method, more, body = "GET", "", ""
	case keyedClass:
		more += "Idempotency-Key: " + id + "\r\n"
	}
	text = fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\nCookie: key=%016x\r\n"+
		"X-Deadline-Ms: %d\r\n%sX-Call-Terms: units=1,spread=%d,first=0\r\n\r\n%s", method, c.class, id, c.class, c.plan,
		c.no%2+10*len(c.plan), deadline.Milliseconds(), more, soakNodes, body)
	return seen, id, text
}

// exchange sends requests at once and reads their answers.
func (c *soakClient) exchange(requests int) {
	var pending []*requestSeen
	var ids []string
	var text strings.Builder
	for range requests {
		seen, id, one := c.request()
		pending, ids = append(pending, seen), append(ids, id)
		text.WriteString(one)
	}
	began := time.Now()
	_, err := io.WriteString(c.conn, text.String())
	c.mark(pending, func(r *requestSeen) {
		if r.sent = time.Now(); err != nil {
			r.outcome = neverTaken
		}
	})
	if err != nil {
		c.hangUp()
		return
	}
	for i, r := range pending {
		if i > 0 {
			c.mark(pending[i:i+1], func(r *requestSeen) { r.first, r.sent = false, time.Now() }) // taken up behind the one before
		}
		if !c.read(r, ids[i], began) {
			c.mark(pending[i+1:], func(r *requestSeen) { r.first, r.done, r.outcome = false, r.sent, ended }) // never taken up
			c.hangUp()
			return
		}
	}
}

// mark changes what was seen of requests.
func (c *soakClient) mark(list []*requestSeen, change func(*requestSeen)) {
	o := c.node.fleet.seen
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range list {
		change(r)
	}
}

// read reads an answer; it is false when the connection is over.
func (c *soakClient) read(r *requestSeen, id string, began time.Time) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(2*longestDeadline + c.node.fleet.seen.patience()))
	resp, err := http.ReadResponse(c.in, nil)
	var body []byte
	headed := err == nil
	if headed {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	c.mark([]*requestSeen{r}, func(r *requestSeen) {
		r.done = time.Now()
		switch {
		case err != nil && c.node.killedSince(began):
			r.outcome = overtaken
		case err != nil && headed:
			r.outcome = broken
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.outcome = unanswered
		case err != nil:
			r.outcome = ended
		case resp.StatusCode == http.StatusOK && string(body) != servedBody(id):
			r.outcome = wrong
		default:
			r.outcome = answered
			r.answers++
		}
	})
	c.first = false
	return err == nil && !resp.Close
}

// patience is how much longer a client of the test's waits than it has to, so that late is told from never.
func (o *observations) patience() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Second + o.allowed()
}

// leave sends a request and closes the connection under it.
func (c *soakClient) leave() {
	seen, _, text := c.request()
	_, err := io.WriteString(c.conn, text)
	c.mark([]*requestSeen{seen}, func(r *requestSeen) {
		if r.sent = time.Now(); err != nil {
			r.outcome = neverTaken
		}
	})
	time.Sleep(c.random.upTo(120 * time.Millisecond))
	c.hangUp()
	c.mark([]*requestSeen{seen}, func(r *requestSeen) { r.left, r.done = time.Now(), time.Now() })
}

// halt sends half of a request and waits for what the node does about it.
func (c *soakClient) halt() {
	seen, _, text := c.request()
	began := time.Now()
	_, err := io.WriteString(c.conn, text[:len(text)/2])
	c.mark([]*requestSeen{seen}, func(r *requestSeen) { r.sent, r.halted = time.Now(), true })
	if err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(2*haltedSlack + c.node.fleet.seen.patience()))
		_, err = io.Copy(io.Discard, c.conn) // its error, and the end
	}
	c.mark([]*requestSeen{seen}, func(r *requestSeen) {
		r.done = time.Now()
		switch {
		case c.node.killedSince(began):
			r.outcome, r.done = overtaken, r.sent
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.outcome = unanswered
		default:
			r.outcome = ended
		}
	})
	c.hangUp()
}
