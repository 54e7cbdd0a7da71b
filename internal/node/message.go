package node

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// Limits on an HTTP/1.1 message, in bytes unless noted.
const (
	maxBodyBytes      = 64 << 10
	maxHeadBytes      = 16 << 10
	maxFields         = 100     // header or trailer fields
	maxChunkLineBytes = 256     // chunk size line with its extensions
	minBufferBytes    = 2 << 10 // initial size of a read buffer
)

// Errors in a message. After any of them nothing more can be read from the connection, since the start of the
// next message is unknown.
var (
	errSyntax   = errors.New("the message can't be read")
	errFraming  = errors.New("the message's length is not clear")
	errLongHead = errors.New("the head is too long")
	errLongBody = errors.New("the body is too long")
)

// stream reads HTTP messages from a connection. It rejects ambiguous messages, since a server or a proxy
// might interpret them differently (request smuggling). Slices that it returns are valid until discardRead.
type stream struct {
	src io.Reader
	buf []byte
	off int // start of the unread bytes in buf
}

func (s *stream) buffered() int { return len(s.buf) - s.off }

// discardRead discards the bytes that have been read, and shrinks a large buffer.
func (s *stream) discardRead() {
	rest := s.buf[s.off:]
	if cap(s.buf) > 2*minBufferBytes && len(rest) < minBufferBytes {
		s.buf = append(make([]byte, 0, minBufferBytes), rest...)
	} else {
		s.buf = s.buf[:copy(s.buf, rest)]
	}
	s.off = 0
}

// dropEmptyLine skips an empty line at the front of the unread bytes. It returns false if there is none.
func (s *stream) dropEmptyLine() bool {
	empty := bytes.HasPrefix(s.buf[s.off:], []byte("\r\n"))
	if empty {
		s.off += 2
	}
	return empty
}

// fill reads at least one byte from the connection into the buffer.
func (s *stream) fill() error {
	if len(s.buf) == cap(s.buf) {
		s.buf = append(make([]byte, 0, max(minBufferBytes, 2*cap(s.buf))), s.buf...)
	}
	n, err := s.src.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	switch {
	case n > 0:
		return nil
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// readN returns the next n bytes.
func (s *stream) readN(n int) ([]byte, error) {
	for s.buffered() < n {
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
	s.off += n
	return s.buf[s.off-n : s.off], nil
}

// readLines returns the bytes up to and including the first CRLF or, with untilEmptyLine set, the first
// empty line. It checks each byte as it arrives, so that an invalid line fails early. The first bytes must
// equal prefix. At most limit bytes are allowed.
func (s *stream) readLines(prefix string, untilEmptyLine bool, limit int) ([]byte, error) {
	for i := 0; ; i++ {
		for s.buffered() <= i {
			if err := s.fill(); err != nil {
				return nil, err
			}
		}
		b := s.buf[s.off:]
		switch c := b[i]; {
		case i >= limit:
			return nil, errLongHead
		case i < len(prefix) && c != prefix[i]:
			return nil, errSyntax
		case c == '\n':
			if i == 0 || b[i-1] != '\r' {
				return nil, errSyntax
			}
			if !untilEmptyLine || i < 2 || b[i-2] == '\n' {
				s.off += i + 1
				return b[:i+1], nil
			}
		case i > 0 && b[i-1] == '\r', c < ' ' && c != '\t' && c != '\r', c == 0x7f:
			return nil, errSyntax
		}
	}
}

// head is the head of a message.
type head struct {
	startLine  []byte // request line or status line
	fields     []field
	bodyLength int // of the body; -1: chunked, -2: not specified
}

type field struct{ name, value []byte }

// readHead reads a head whose first bytes equal prefix.
func (s *stream) readHead(h *head, prefix string) error {
	b, err := s.readLines(prefix, true, maxHeadBytes)
	if err != nil {
		return err
	}
	h.startLine, b, _ = bytes.Cut(b, []byte("\r\n"))
	h.fields, h.bodyLength = h.fields[:0], -2
	for string(b) != "\r\n" && len(b) > 0 {
		var line []byte
		line, b, _ = bytes.Cut(b, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || len(h.fields) == maxFields {
			return errSyntax // also for a folded line or a blank before the colon
		}
		h.fields = append(h.fields, field{name, bytes.Trim(value, " \t")})
	}
	return h.setBodyLength()
}

// setBodyLength determines the length of the body. More than one framing field is an error.
func (h *head) setBodyLength() error {
	length, n := h.lookup("Content-Length")
	coding, m := h.lookup("Transfer-Encoding")
	switch {
	case n+m > 1:
		return errFraming
	case n == 1:
		if h.bodyLength, n = parseDecimal(length); n == 0 {
			return errFraming
		}
		if h.bodyLength > maxBodyBytes {
			return errLongBody
		}
	case m == 1:
		if !strings.EqualFold(string(coding), "chunked") {
			return errFraming
		}
		h.bodyLength = -1
	}
	return nil
}

// lookup returns the first value of a field and the number of its occurrences.
func (h *head) lookup(name string) (value []byte, n int) {
	for i := range h.fields {
		if f := &h.fields[i]; len(f.name) == len(name) && strings.EqualFold(string(f.name), name) {
			if n++; n == 1 {
				value = f.value
			}
		}
	}
	return value, n
}

// get returns the first value of a field, or nil.
func (h *head) get(name string) []byte {
	v, _ := h.lookup(name)
	return v
}

// listContains reports whether the comma-separated list in a field contains a word.
func (h *head) listContains(name, word string) bool {
	for i := range h.fields {
		if !strings.EqualFold(string(h.fields[i].name), name) {
			continue
		}
		for w := range strings.SplitSeq(string(h.fields[i].value), ",") {
			if strings.EqualFold(strings.Trim(w, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// readBody reads the body that the head announces. Without a specified length the body is empty.
func (s *stream) readBody(h *head) ([]byte, error) {
	if h.bodyLength >= 0 {
		return s.readN(h.bodyLength)
	}
	var body []byte
	for h.bodyLength == -1 {
		line, err := s.readLines("", false, maxChunkLineBytes)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line[:len(line)-2], []byte(";"))
		n, ok := parseHex(size)
		switch {
		case !ok:
			return nil, errFraming
		case len(body)+n > maxBodyBytes:
			return nil, errLongBody
		case n == 0:
			return body, s.skipTrailer()
		}
		chunk, err := s.readN(n + 2)
		if err != nil {
			return nil, err
		}
		if string(chunk[n:]) != "\r\n" {
			return nil, errFraming
		}
		body = append(body, chunk[:n]...)
	}
	return body, nil
}

// readToEOF reads a body that extends to the end of the connection.
func (s *stream) readToEOF() ([]byte, error) {
	for {
		if s.buffered() > maxBodyBytes {
			return nil, errLongBody
		}
		switch err := s.fill(); err {
		case nil:
		case io.EOF:
			return s.readN(s.buffered())
		default:
			return nil, err
		}
	}
}

// skipTrailer skips the trailer fields after the last chunk.
func (s *stream) skipTrailer() error {
	for range maxFields {
		line, err := s.readLines("", false, maxHeadBytes)
		if err != nil {
			return err
		}
		if len(line) == 2 {
			return nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return errSyntax
		}
	}
	return errLongHead
}

// isToken reports whether b is a token as RFC 9110 defines it.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal parses a number that consists of digits alone. It returns the number of digits, or 0 on
// failure.
func parseDecimal(b []byte) (v, n int) {
	if len(b) == 0 || len(b) > 18 {
		return 0, 0
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, 0
		}
		v = 10*v + int(c-'0')
	}
	return v, len(b)
}

// parseHex parses a number of 1 to 8 hexadecimal digits.
func parseHex(b []byte) (v int, ok bool) {
	for _, c := range b {
		d := strings.IndexByte("0123456789abcdef", c|0x20)
		if d < 0 || c < '0' {
			return 0, false
		}
		v = 16*v + d
	}
	return v, len(b) > 0 && len(b) <= 8
}
