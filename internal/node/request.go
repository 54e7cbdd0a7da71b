package node

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"valvering.example/valvering/internal/wire"
	"valvering.example/valvering/policy"
)

const (
	// Maximum lengths of header values in bytes.
	maxName = 64  // X-Request-Id
	maxKey  = 128 // Idempotency-Key

	// Customer ids in the cookie.
	customerHex  = 16 // hexadecimal digits
	customerBits = 33 // significant bits
)

// startLine parses the request line and checks that there is at most one Host field.
func (r *clientRequest) startLine() error {
	var version []byte
	var ok, whole bool
	r.method, version, ok = bytes.Cut(r.first, []byte(" "))
	r.target, version, whole = bytes.Cut(version, []byte(" "))
	if !ok || !whole || !isToken(r.method) || len(r.target) == 0 || r.target[0] != '/' || !visible(r.target) {
		return errSyntax
	}
	if v := string(version); v != "HTTP/1.1" && (v != "HTTP/1.0" || r.length == -1) {
		return errSyntax
	}
	if _, n := r.one("Host"); n > 1 {
		return errSyntax
	}
	return nil
}

// over reports whether the client asks to close the connection after the response.
func (r *clientRequest) over() bool {
	return r.has("Connection", "close") ||
		bytes.HasSuffix(r.first, []byte("1.0")) && !r.has("Connection", "keep-alive")
}

// visible reports whether b has only visible ASCII characters.
func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// path returns a request target without its query.
func path(target []byte) string {
	p, _, _ := bytes.Cut(target, []byte("?"))
	return string(p)
}

// parse turns a client's message into a call. It rejects invalid requests before policy sees them, so that
// they don't create or change the counts of a customer. The text of its error is sent to the client.
func (s *server) parse(r *clientRequest) (*call, error) {
	c := &call{arrived: s.clock.now(), cmd: make(chan command, 1), req: r}
	return c, s.read(c)
}

// read fills in a call from its request headers, with the generation in force.
func (s *server) read(c *call) error {
	r := c.req
	c.gen = s.gen.Load()
	settings := &c.gen.File.Settings
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tier", "Cookie", "X-Deadline-Ms",
		"Idempotency-Key", "X-Call-Terms", "X-Retry", "Content-Type"} {
		if _, n := r.one(name); n > 1 {
			return fmt.Errorf("%s: more than once", name)
		}
	}
	id := r.get("X-Request-Id")
	if len(id) == 0 || len(id) > maxName || !visible(id) {
		return errors.New("X-Request-Id: missing, too long or not plain")
	}
	c.name = string(id)
	if err := c.readClass(settings, r); err != nil {
		return err
	}
	c.Plan = wire.Word(string(r.get("X-Tier")))
	known := false
	for i := range settings.Plans {
		known = known || settings.Plans[i].Name == c.Plan
	}
	if !known {
		return fmt.Errorf("X-Tier: unknown plan %q", c.Plan)
	}
	var err error
	if c.Customer, err = customer(string(r.get("Cookie"))); err != nil {
		return err
	}
	ms, n := decimal(r.get("X-Deadline-Ms"))
	c.budget = time.Duration(ms) * time.Millisecond
	// The tolerance of 1 ms is for a class deadline that was rounded.
	if n == 0 || n > 9 || c.budget > c.class.Deadline+time.Millisecond {
		return fmt.Errorf("X-Deadline-Ms: not whole milliseconds up to the class's %v", c.class.Deadline)
	}
	c.Retry = string(r.get("X-Retry")) == "1"
	return terms(settings, &c.Request, string(r.get("X-Call-Terms")))
}

// readClass finds the class of a request and checks its method, path and idempotency key against the class.
func (c *call) readClass(settings *policy.Settings, r *clientRequest) error {
	c.class, c.Class = nil, wire.Word(string(r.get("X-Class")))
	for i := range settings.Classes {
		if settings.Classes[i].Name == c.Class {
			c.class = &settings.Classes[i]
		}
	}
	if c.class == nil {
		return fmt.Errorf("X-Class: unknown class %q", c.Class)
	}
	first, _, _ := strings.Cut(path(r.target)[1:], "/")
	key := r.get("Idempotency-Key")
	switch {
	case wire.Word(first) != c.Class:
		return errors.New("X-Class: not the path's")
	case c.class.Effect == policy.Safe && (string(r.method) != "GET" || len(r.body) > 0):
		return fmt.Errorf("class %s: not GET without a body", c.Class)
	case c.class.Effect != policy.Safe && string(r.method) != "POST":
		return fmt.Errorf("class %s: not POST", c.Class)
	case c.class.Effect == policy.Keyed && (len(key) == 0 || len(key) > maxKey || !visible(key)):
		return errors.New("Idempotency-Key: missing, too long or not plain")
	}
	return nil
}

// customer returns the customer id in the cookies.
func customer(cookies string) (string, error) {
	found := ""
	for pair := range strings.SplitSeq(cookies, ";") {
		if k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "="); k == "key" {
			if found != "" {
				return "", errors.New("cookie key: more than once")
			}
			found = v
		}
	}
	if _, err := strconv.ParseUint(found, 16, customerBits); err != nil || len(found) != customerHex {
		return "", fmt.Errorf("cookie key: not %d hexadecimal digits of a number below 2^%d",
			customerHex, customerBits)
	}
	return strings.ToLower(found), nil
}

// terms parses X-Call-Terms: the units that a request takes, and the edge nodes that the customer is spread
// over.
func terms(settings *policy.Settings, r *policy.Request, text string) error {
	r.Units, r.Spread, r.First = 1, settings.Gateways, 0
	if text == "" {
		return nil
	}
	units, spread, first := false, false, false
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		x, n := decimal([]byte(v))
		ok := n > 0
		switch k {
		case "units":
			ok = ok && !units && x >= 1 && float64(x) <= max(settings.LargestUnits, 1)
			r.Units, units = float64(x), true
		case "spread":
			ok = ok && !spread && x >= 1 && x <= settings.Gateways
			r.Spread, spread = x, true
		case "first":
			ok = ok && !first && x < settings.Gateways
			r.First, first = x, true
		}
		if !ok {
			return fmt.Errorf("X-Call-Terms: %q is no whole number, out of range or there twice", k)
		}
	}
	return nil
}
