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
	maxRequestIDBytes      = 64  // X-Request-Id
	maxIdempotencyKeyBytes = 128 // Idempotency-Key

	// Customer ids in the cookie.
	customerHexDigits = 16 // hexadecimal digits
	customerBits      = 33 // significant bits
)

// parseRequestLine parses the request line and checks that there is at most one Host field.
func (r *clientRequest) parseRequestLine() error {
	var version []byte
	var hasTarget, hasVersion bool
	r.method, version, hasTarget = bytes.Cut(r.startLine, []byte(" "))
	r.target, version, hasVersion = bytes.Cut(version, []byte(" "))
	if !hasTarget || !hasVersion || !isToken(r.method) || len(r.target) == 0 ||
		r.target[0] != '/' || !isVisible(r.target) {
		return errSyntax
	}
	if v := string(version); v != "HTTP/1.1" && (v != "HTTP/1.0" || r.bodyLength == -1) {
		return errSyntax
	}
	if _, n := r.lookup("Host"); n > 1 {
		return errSyntax
	}
	return nil
}

// wantsClose reports whether the client asks to close the connection after the response.
func (r *clientRequest) wantsClose() bool {
	return r.listContains("Connection", "close") ||
		bytes.HasSuffix(r.startLine, []byte("1.0")) && !r.listContains("Connection", "keep-alive")
}

// isVisible reports whether b has only visible ASCII characters.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// requestPath returns a request target without its query.
func requestPath(target []byte) string {
	p, _, _ := bytes.Cut(target, []byte("?"))
	return string(p)
}

// parse turns a client's message into a call. It rejects invalid requests before policy sees them, so that
// they don't create or change the counts of a customer. The text of its error is sent to the client.
func (s *httpServer) parse(r *clientRequest) (*call, error) {
	c := &call{arrivedAt: s.clock.now(), commands: make(chan command, 1), message: r}
	if err := s.parseHeaders(c); err != nil {
		return c, err
	}
	return c, r.checkURI()
}

// parseHeaders fills in a call from its request headers, with the generation in force.
func (s *httpServer) parseHeaders(c *call) error {
	r := c.message
	c.generation = s.generation.Load()
	settings := &c.generation.File.Settings
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tier", "Cookie", "X-Deadline-Ms",
		"Idempotency-Key", "X-Call-Terms", "X-Retry", "Content-Type"} {
		if _, n := r.lookup(name); n > 1 {
			return fmt.Errorf("%s: more than once", name)
		}
	}
	id := r.get("X-Request-Id")
	if len(id) == 0 || len(id) > maxRequestIDBytes || !isVisible(id) {
		return errors.New("X-Request-Id: missing, too long or not plain")
	}
	c.requestID = string(id)
	if err := c.parseClass(settings, r); err != nil {
		return err
	}
	c.Plan = wire.EscapeWord(string(r.get("X-Tier")))
	known := false
	for i := range settings.Plans {
		known = known || settings.Plans[i].Name == c.Plan
	}
	if !known {
		return fmt.Errorf("X-Tier: unknown plan %.80q", c.Plan)
	}
	var err error
	if c.Customer, err = parseCustomer(string(r.get("Cookie"))); err != nil {
		return err
	}
	ms, n := parseDecimal(r.get("X-Deadline-Ms"))
	c.timeout = time.Duration(ms) * time.Millisecond
	// The tolerance of 1 ms is for a class deadline that was rounded.
	if n == 0 || n > 9 || c.timeout > c.class.Deadline+time.Millisecond {
		return fmt.Errorf("X-Deadline-Ms: not whole milliseconds up to the class's %v", c.class.Deadline)
	}
	c.Retry = string(r.get("X-Retry")) == "1"
	return parseTerms(settings, &c.Request, string(r.get("X-Call-Terms")))
}

// parseClass finds the class of a request and checks its method, path and idempotency key against the class.
func (c *call) parseClass(settings *policy.Settings, r *clientRequest) error {
	c.class, c.Class = nil, wire.EscapeWord(string(r.get("X-Class")))
	for i := range settings.Classes {
		if settings.Classes[i].Name == c.Class {
			c.class = &settings.Classes[i]
		}
	}
	if c.class == nil {
		return fmt.Errorf("X-Class: unknown class %.80q", c.Class)
	}
	first, _, _ := strings.Cut(requestPath(r.target)[1:], "/")
	key := r.get("Idempotency-Key")
	switch {
	case wire.EscapeWord(first) != c.Class:
		return errors.New("X-Class: not the path's")
	case c.class.Effect == policy.Safe && (string(r.method) != "GET" || len(r.body) > 0):
		return fmt.Errorf("class %s: not GET without a body", c.Class)
	case c.class.Effect != policy.Safe && string(r.method) != "POST":
		return fmt.Errorf("class %s: not POST", c.Class)
	case c.class.Effect == policy.Keyed &&
		(len(key) == 0 || len(key) > maxIdempotencyKeyBytes || !isVisible(key)):
		return errors.New("Idempotency-Key: missing, too long or not plain")
	}
	return nil
}

// parseCustomer returns the customer id in the cookies.
func parseCustomer(cookies string) (string, error) {
	found := ""
	for pair := range strings.SplitSeq(cookies, ";") {
		if k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "="); k == "key" {
			if found != "" {
				return "", errors.New("cookie key: more than once")
			}
			found = v
		}
	}
	if _, err := strconv.ParseUint(found, 16, customerBits); err != nil || len(found) != customerHexDigits {
		return "", fmt.Errorf("cookie key: not %d hexadecimal digits of a number below 2^%d",
			customerHexDigits, customerBits)
	}
	return strings.ToLower(found), nil
}

// parseTerms parses X-Call-Terms: the units that a request takes, and the edge nodes that the customer is
// spread over.
func parseTerms(settings *policy.Settings, r *policy.Request, text string) error {
	r.Units, r.Spread, r.First = 1, settings.Gateways, 0
	if text == "" {
		return nil
	}
	hasUnits, hasSpread, hasFirst := false, false, false
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		x, n := parseDecimal([]byte(v))
		ok := n > 0
		switch k {
		case "units":
			ok = ok && !hasUnits && x >= 1 && float64(x) <= max(settings.MaxUnits, 1)
			r.Units, hasUnits = float64(x), true
		case "spread":
			ok = ok && !hasSpread && x >= 1 && x <= settings.Gateways
			r.Spread, hasSpread = x, true
		case "first":
			ok = ok && !hasFirst && x < settings.Gateways
			r.First, hasFirst = x, true
		}
		if !ok {
			return fmt.Errorf("X-Call-Terms: %.80q is no whole number, out of range or there twice", k)
		}
	}
	return nil
}
