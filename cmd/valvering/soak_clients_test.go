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

// clientKind is a kind of client behaviour.
type clientKind int

const (
	plainClient         clientKind = iota // one request at a time on a persistent connection
	disconnectingClient                   // closes its connection during some requests
	stallingClient                        // stalls in the middle of some requests
	pipelineClient                        // sends several requests at once
	slowClient                            // writes unsafe requests slowly, and waits long for their answers
)

const (
	slowPieces     = 8                       // in which a slow client writes a request,
	longestPause   = 1500 * time.Millisecond // with pauses of up to this in sum
	pipelineDepth  = 3                       // requests that a pipelining client sends at once
	maxBytesBehind = 700 << 10               // sent behind a request by a client that then leaves
)

// soakClient sends requests to one node over connections that it keeps until the node closes them.
type soakClient struct {
	node   *soakNode
	kind   clientKind
	class  string
	plan   string
	number int
	random *randomSource
	done   <-chan struct{}

	conn         net.Conn
	in           *bufio.Reader
	firstRequest bool // no request was answered on the connection yet
}

// startClients starts the clients of a node.
func (f *soakFleet) startClients(n *soakNode, done <-chan struct{}, group *sync.WaitGroup) {
	first := clientStreams * uint64(1+slices.Index(f.nodes, n))
	kinds := []clientKind{plainClient, plainClient, plainClient, plainClient, plainClient, plainClient,
		disconnectingClient, disconnectingClient, stallingClient, pipelineClient, plainClient, disconnectingClient,
		slowClient, slowClient, slowClient}
	for i, kind := range kinds {
		c := &soakClient{node: n, kind: kind, class: []string{safeClass, keyedClass, onceClass}[i%3],
			plan: []string{freePlan, ratePlan, ceilingPlan}[i/2%3], number: i,
			random: newRandomSource(f.seed, first+uint64(i)), done: done}
		if kind == slowClient {
			c.class = onceClass
		}
		group.Go(c.run)
	}
}

func (c *soakClient) run() {
	defer c.closeConn()
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
		case c.kind == disconnectingClient && random.chance(2):
			c.sendAndDisconnect()
		case c.kind == stallingClient && random.chance(4):
			c.sendHalf()
		case c.kind == pipelineClient:
			c.exchange(pipelineDepth)
		default:
			c.exchange(1)
		}
		if random.chance(8) {
			time.Sleep(random.upTo(50 * time.Millisecond))
		}
	}
}

// connected reports whether the client has a connection, opening one if the node accepts connections.
func (c *soakClient) connected() bool {
	if c.conn != nil {
		return true
	}
	if !c.node.isAccepting() {
		return false
	}
	conn, err := net.Dial("tcp", c.node.listen)
	if err != nil {
		return false
	}
	c.conn, c.in, c.firstRequest = conn, bufio.NewReader(conn), true
	return true
}

func (c *soakClient) closeConn() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

// customer returns the customer of the client's requests. All nodes serve the same customers.
func (c *soakClient) customer() string { return fmt.Sprintf("%s-%d", c.plan, c.number%2) }

// newRequest records a new request and returns its record, id and text.
func (c *soakClient) newRequest() (record *requestRecord, id, text string) {
	f := c.node.fleet
	f.mu.Lock()
	f.lastID++
	id = fmt.Sprintf("%s-%d-%d", c.node.name, c.number, f.lastID)
	f.mu.Unlock()
	deadline := 300*time.Millisecond + c.random.upTo(longestDeadline-300*time.Millisecond)
	if deadline = deadline.Truncate(time.Millisecond); c.kind == slowClient {
		deadline = longestDeadline
	}
	record = &requestRecord{node: c.node.name, class: c.class, customer: c.customer(), deadline: deadline,
		firstOnConn: c.firstRequest, descriptorsShort: f.descriptorsShort}
	f.observed.mu.Lock()
	f.observed.requests[id] = record
	f.observed.mu.Unlock()
	method, headers := "POST", "Content-Length: 5\r\n"
	body := "hello"
	switch c.class {
	case safeClass:
		method, headers, body = "GET", "", ""
	case keyedClass:
		headers += "Idempotency-Key: " + id + "\r\n"
	}
	text = fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: app\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\nCookie: key=%016x\r\n"+
		"X-Deadline-Ms: %d\r\n%sX-Call-Terms: units=1,spread=%d,first=0\r\n\r\n%s", method, c.class, id, c.class, c.plan,
		c.number%2+10*len(c.plan), deadline.Milliseconds(), headers, soakNodes, body)
	return record, id, text
}

// exchange sends several requests at once and reads their answers.
func (c *soakClient) exchange(requests int) {
	var pending []*requestRecord
	var ids []string
	var text strings.Builder
	for range requests {
		record, id, one := c.newRequest()
		pending, ids = append(pending, record), append(ids, id)
		text.WriteString(one)
	}
	began := time.Now()
	err := c.write(text.String())
	c.update(pending, func(r *requestRecord) {
		if r.sent = time.Now(); err != nil {
			r.outcome = notSent
		}
	})
	if err != nil {
		c.closeConn()
		return
	}
	for i, r := range pending {
		if i > 0 {
			// the node handles it after the previous one
			c.update(pending[i:i+1], func(r *requestRecord) { r.firstOnConn, r.sent = false, time.Now() })
		}
		if !c.readAnswer(r, ids[i], began) {
			// never handled
			c.update(pending[i+1:], func(r *requestRecord) {
				r.firstOnConn, r.done, r.outcome = false, r.sent, connectionClosed
			})
			c.closeConn()
			return
		}
	}
}

// write writes to the connection, at once or slowly.
func (c *soakClient) write(text string) error {
	pieces, pause := 1, time.Duration(0)
	if c.kind == slowClient {
		pieces, pause = slowPieces, c.random.upTo(longestPause/slowPieces)
	}
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// update changes the records of requests.
func (c *soakClient) update(list []*requestRecord, change func(*requestRecord)) {
	o := c.node.fleet.observed
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range list {
		change(r)
	}
}

// readAnswer reads one answer and reports whether the connection can be used further.
func (c *soakClient) readAnswer(r *requestRecord, id string, began time.Time) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(2*longestDeadline + c.node.fleet.observed.extraWait()))
	resp, err := http.ReadResponse(c.in, nil)
	var body []byte
	headRead := err == nil
	if headRead {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	c.update([]*requestRecord{r}, func(r *requestRecord) {
		r.done = time.Now()
		switch {
		case err != nil && c.node.killedSince(began):
			r.outcome = processKilled
		case err != nil && headRead:
			r.outcome = partialAnswer
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.outcome = unanswered
		case err != nil:
			r.outcome = connectionClosed
		case resp.StatusCode == http.StatusOK && string(body) != servedBody(id):
			r.outcome = wrongAnswer
		default:
			r.outcome = answered
			r.answers++
		}
	})
	c.firstRequest = false
	return err == nil && !resp.Close
}

// extraWait is added to the clients' read timeouts, so that a late answer is distinguished from
// a missing one.
func (o *observations) extraWait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Second + o.tolerance()
}

// sendAndDisconnect sends a request, sometimes with much behind it, and closes the connection without reading an
// answer. Then the id of an unsafe request may come again, on a connection that was opened before, so that it is the
// same process that gets it.
func (c *soakClient) sendAndDisconnect() {
	var impostor net.Conn
	if c.class == onceClass {
		impostor, _ = net.Dial("tcp", c.node.listen) // the node may be restarting
	}
	record, _, text := c.newRequest()
	_, err := io.WriteString(c.conn, text)
	c.update([]*requestRecord{record}, func(r *requestRecord) {
		if r.sent = time.Now(); err != nil {
			r.outcome = notSent
		}
	})
	if c.random.chance(4) {
		_ = c.conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = c.conn.Write(make([]byte, c.random.intN(maxBytesBehind)))
	}
	time.Sleep(c.random.upTo(120 * time.Millisecond))
	c.closeConn()
	mayHaveRun := false
	c.update([]*requestRecord{record}, func(r *requestRecord) {
		r.disconnected, r.done = time.Now(), time.Now()
		mayHaveRun = slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.mayHaveRun })
	})
	if impostor != nil {
		c.sendAgain(impostor, text, mayHaveRun)
	}
}

// sendAgain sends a request again if it may have run, after its client has left. An attempt for it breaks the rules
// on unsafe requests and on clients that have left.
func (c *soakClient) sendAgain(conn net.Conn, text string, mayHaveRun bool) {
	defer conn.Close()
	if !mayHaveRun {
		return
	}
	time.Sleep(c.random.upTo(300 * time.Millisecond))
	_ = conn.SetDeadline(time.Now().Add(longestDeadline))
	_, _ = io.WriteString(conn, text)
	_, _ = bufio.NewReader(conn).ReadByte()
}

// sendHalf sends half of a request and waits until the node answers or closes the connection.
func (c *soakClient) sendHalf() {
	record, _, text := c.newRequest()
	began := time.Now()
	_, err := io.WriteString(c.conn, text[:len(text)/2])
	c.update([]*requestRecord{record}, func(r *requestRecord) { r.sent, r.stalled = time.Now(), true })
	if err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(2*stalledSlack + c.node.fleet.observed.extraWait()))
		_, err = io.Copy(io.Discard, c.conn) // returns at the end of the connection or at the deadline
	}
	c.update([]*requestRecord{record}, func(r *requestRecord) {
		r.done = time.Now()
		switch {
		case c.node.killedSince(began):
			r.outcome, r.done = processKilled, r.sent
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.outcome = unanswered
		default:
			r.outcome = connectionClosed
		}
	})
	c.closeConn()
}
