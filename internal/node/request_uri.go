package node

import (
	"bytes"
	"errors"
	"strings"
)

var (
	errTarget = errors.New("the target is no path with an optional query")
	errHost   = errors.New("the Host field is missing or invalid")
)

// hostPunctuation are the characters of a Host field besides letters and digits (RFC 3986, section 3.2.2).
const hostPunctuation = "-._~%!$&'()*+,;=:[]"

// checkURI rejects a target or a Host field that RFC 9112 doesn't allow. A server that gets such a request may
// close the connection without a response, which says nothing about whether the request ran.
func (r *clientRequest) checkURI() error {
	if !isValidTarget(r.target) {
		return errTarget
	}
	host, n := r.lookup("Host")
	if n == 0 && !bytes.HasSuffix(r.startLine, []byte("1.0")) || !isValidHost(host) {
		return errHost
	}
	return nil
}

// isValidTarget reports whether a target of visible characters has no fragment, and only whole escapes in its
// path. Escapes in the query are not checked, since servers treat it as plain text.
func isValidTarget(target []byte) bool {
	path, _, _ := bytes.Cut(target, []byte("?"))
	return bytes.IndexByte(target, '#') < 0 && hasWholeEscapes(path)
}

// hasWholeEscapes reports whether each % is followed by two hexadecimal digits.
func hasWholeEscapes(path []byte) bool {
	for {
		_, rest, found := bytes.Cut(path, []byte("%"))
		if !found {
			return true
		}
		if len(rest) < 2 {
			return false
		}
		if _, ok := parseHex(rest[:2]); !ok {
			return false
		}
		path = rest[2:]
	}
}

func isValidHost(host []byte) bool {
	for _, c := range host {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(hostPunctuation, c) < 0 {
			return false
		}
	}
	return true
}
