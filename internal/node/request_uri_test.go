package node

import (
	"strings"
	"testing"
)

// Targets and hosts that RFC 9112 allows, and such that a server may not be able to read.
func TestURIs(t *testing.T) {
	for text, valid := range map[string]bool{
		"GET /lookup HTTP/1.1\r\nHost: app.svc:8443\r\n\r\n":             true,
		"GET /lookup HTTP/1.1\r\nHost: [::1]:80\r\n\r\n":                 true,
		"GET /lookup HTTP/1.1\r\nHost:\r\n\r\n":                          true,
		"GET /lookup HTTP/1.0\r\n\r\n":                                   true,
		"GET /lookup/%41%2f?a=%zz&b=100% HTTP/1.1\r\nHost: a\r\n\r\n":    true,
		"GET /lookup/a.b/..c/%2e%2e%2e?../x HTTP/1.1\r\nHost: a\r\n\r\n": true,
		"GET /lookup/.. HTTP/1.1\r\nHost: a\r\n\r\n":                     false,
		"GET /lookup/./a HTTP/1.1\r\nHost: a\r\n\r\n":                    false,
		"GET /lookup/%2E./loan HTTP/1.1\r\nHost: a\r\n\r\n":              false,
		"GET /lookup/a%2f..%5cloan HTTP/1.1\r\nHost: a\r\n\r\n":          false,
		"GET /lookup/a|b HTTP/1.1\r\nHost: a\r\n\r\n":                    false,
		"GET /lookup HTTP/1.1\r\n\r\n":                                   false,
		"GET /lookup HTTP/1.1\r\nHost: a b\r\n\r\n":                      false,
		"GET /lookup HTTP/1.1\r\nHost: a/b\r\n\r\n":                      false,
		"GET /lookup HTTP/1.1\r\nHost: a\\b\r\n\r\n":                     false,
		"GET /lookup HTTP/1.1\r\nHost: u@a\r\n\r\n":                      false,
		"GET /lookup HTTP/1.1\r\nHost: \xe9\r\n\r\n":                     false,
		"GET /lookup#a HTTP/1.1\r\nHost: a\r\n\r\n":                      false,
		"GET /lookup?a#b HTTP/1.1\r\nHost: a\r\n\r\n":                    false,
		"GET /lookup/% HTTP/1.1\r\nHost: a\r\n\r\n":                      false,
		"GET /lookup/%4 HTTP/1.1\r\nHost: a\r\n\r\n":                     false,
		"GET /lookup/%g1 HTTP/1.1\r\nHost: a\r\n\r\n":                    false,
		"GET /lookup/%4g?a HTTP/1.1\r\nHost: a\r\n\r\n":                  false,
	} {
		var r clientRequest
		input := stream{src: strings.NewReader(text)}
		if err := input.readHead(&r.head, ""); err != nil {
			t.Fatal(text, err)
		}
		if err := r.parseRequestLine(); err != nil {
			t.Fatal(text, err)
		}
		if err := r.checkURI(); (err == nil) != valid {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against a request of HTTP/1.0 without a Host field that is forwarded as HTTP/1.1, which needs one.
func TestForwardedRequestHasHost(t *testing.T) {
	var r clientRequest
	input := stream{src: strings.NewReader("GET /lookup HTTP/1.0\r\n\r\n")}
	if err := input.readHead(&r.head, ""); err != nil {
		t.Fatal(err)
	}
	if err := r.parseRequestLine(); err != nil {
		t.Fatal(err)
	}
	if text := string(appendRequestHead(nil, &r, 0)); strings.Count(text, "\r\nHost: \r\n") != 1 {
		t.Errorf("forwarded as %q", text)
	}
}
