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

// pathPunctuation are the characters of a path besides letters and digits (RFC 3986, section 3.3).
const pathPunctuation = "-._~%!$&'()*+,;=:@/"

// isValidTarget reports whether a target of visible characters has no fragment, and a path that all servers read
// alike: of the characters that RFC 3986 allows, with whole escapes and no dot segments. The first segment is the
// class, which a dot segment would change. The query is not checked, since servers treat it as plain text.
func isValidTarget(target []byte) bool {
	path, _, _ := bytes.Cut(target, []byte("?"))
	return bytes.IndexByte(target, '#') < 0 && consistsOf(path, pathPunctuation) && hasWholeEscapes(path) &&
		!hasDotSegment(path)
}

// consistsOf reports whether text has only letters, digits and the given punctuation.
func consistsOf(text []byte, punctuation string) bool {
	for _, c := range text {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(punctuation, c) < 0 {
			return false
		}
	}
	return true
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

// hasDotSegment reports whether a segment of the path is "." or "..", also with dots, slashes or backslashes in
// escaped form.
func hasDotSegment(path []byte) bool {
	plain := unescapeDots.Replace(string(path))
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

var unescapeDots = strings.NewReplacer("%2e", ".", "%2E", ".", "%2f", "/", "%2F", "/", "%5c", "/", "%5C", "/")

func isValidHost(host []byte) bool { return consistsOf(host, hostPunctuation) }
