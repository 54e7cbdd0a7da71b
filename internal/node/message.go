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
	maxTrailerLine    = 2 << 10 // trailer field

	// Sizes of a connection's read buffer. The connection's fixed memory includes a small one.
	minBufferBytes   = 2 << 10
	smallBufferBytes = 4 << 10
	maxBufferBytes   = maxHeadBytes + maxRetainedBody + maxTrailerLine + 1<<10

	// largeHeadBytes is reserved for a head that needs the largest buffer: it is held a second time while it
	// is forwarded.
	largeHeadBytes = 2 * maxBufferBytes

	// maxRetainedBody is the number of first bytes of a chunked body that stay in the buffer as received, to
	// be compared with a second response.
	maxRetainedBody = 1 << 10
)

// Errors in a message. After any of them nothing more can be read from the connection, since the start of the
// next message is unknown.
var (
	errSyntax   = errors.New("the message can't be read")
	errFraming  = errors.New("the message's length is not clear")
	errLongHead = errors.New("the head is too long")
	errLongBody = errors.New("the body is too long")
)

// messageMemory accounts for the memory that a message takes beyond the fixed memory of its connection.
type messageMemory interface {
	reserve(n int) error // may wait for a limited time
	release(n int)
}

// stream reads HTTP messages from a connection. It rejects ambiguous messages, since a server or a proxy
// might interpret them differently (request smuggling). Slices that it returns are valid until discardRead.
//
// Its buffer holds the head of a message and has at most maxBufferBytes. A body that doesn't fit is read into
// memory of its own (body.go).
type stream struct {
	src      io.Reader
	memory   messageMemory // nil: without a limit
	buf      []byte
	off      int  // start of the unread bytes in buf
	retained int  // bytes at the start of buf that stay there until discardRead
	moved    bool // bytes behind the retained ones were overwritten

	bodyInBuf bool // the last body is a part of buf

	// Reserved bytes.
	bufReserved  int
	bodyReserved int
}

func (s *stream) buffered() int { return len(s.buf) - s.off }

// reserve and release do nothing without a limit.
func (s *stream) reserve(n int) error {
	if s.memory == nil {
		return nil
	}
	return s.memory.reserve(n)
}

func (s *stream) release(n int) {
	if s.memory != nil && n > 0 {
		s.memory.release(n)
	}
}

// discardRead discards the message that has been read, with its body, and shrinks a large buffer.
func (s *stream) discardRead() {
	s.releaseBody()
	rest := s.buf[s.off:]
	if cap(s.buf) > smallBufferBytes && len(rest) < minBufferBytes {
		s.buf = append(make([]byte, 0, minBufferBytes), rest...)
		s.release(s.bufReserved)
		s.bufReserved = 0
	} else {
		s.buf = s.buf[:copy(s.buf, rest)]
	}
	s.off, s.retained, s.moved = 0, 0, false
}

// discardAll discards all bytes and releases their memory.
func (s *stream) discardAll() {
	s.releaseBody()
	s.release(s.bufReserved)
	*s = stream{src: s.src, memory: s.memory}
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
		if err := s.makeRoom(); err != nil {
			return err
		}
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

// makeRoom makes room at the end of the buffer. It overwrites bytes that have been read, or else enlarges
// the buffer.
func (s *stream) makeRoom() error {
	if !s.moved {
		s.retained = min(s.off, s.retained+maxRetainedBody)
	}
	if s.off == s.retained || cap(s.buf) < smallBufferBytes {
		return s.growBuffer()
	}
	end := s.retained + copy(s.buf[s.retained:], s.buf[s.off:])
	s.buf, s.off, s.moved = s.buf[:end], s.retained, true
	return nil
}

// growBuffer enlarges the buffer: from its initial size to a small one, and from there to the largest.
func (s *stream) growBuffer() error {
	size := maxBufferBytes
	switch {
	case cap(s.buf) < minBufferBytes:
		size = minBufferBytes
	case cap(s.buf) < smallBufferBytes:
		size = smallBufferBytes
	case cap(s.buf) == maxBufferBytes:
		return errLongHead
	default:
		if err := s.reserve(largeHeadBytes); err != nil {
			return err
		}
		s.bufReserved = largeHeadBytes
	}
	s.buf = append(make([]byte, 0, size), s.buf...)
	return nil
}

// firstBytes returns the first bytes of the message that was read, as received: all of them unless some were
// overwritten.
func (s *stream) firstBytes() []byte {
	if s.moved {
		return s.buf[:s.retained]
	}
	return s.buf[:s.off]
}

// readN returns the next n bytes, which must fit into the buffer.
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
		if i >= limit {
			return nil, errLongHead
		}
		for s.buffered() <= i {
			if err := s.fill(); err != nil {
				return nil, err
			}
		}
		b := s.buf[s.off:]
		switch c := b[i]; {
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
	text       []byte // the whole head, a part of the read buffer
	startLine  []byte // request line or status line
	fields     []field
	bodyLength int // of the body; -1: chunked, -2: not specified
}

// field is a header field. Offsets into the head take an eighth of the memory of slices.
type field struct{ name, value span }

// span is a part of a head's text, which has at most maxHeadBytes.
type span struct{ start, end uint16 }

// of returns the part of the text.
func (p span) of(text []byte) []byte { return text[p.start:p.end] }

// trimmed returns the part without blanks and tabs at its ends.
func (p span) trimmed(text []byte) span {
	isBlank := func(i uint16) bool { return text[i] == ' ' || text[i] == '\t' }
	for p.start < p.end && isBlank(p.start) {
		p.start++
	}
	for p.start < p.end && isBlank(p.end-1) {
		p.end--
	}
	return p
}

// reset drops the values, which refer to a read buffer.
func (h *head) reset() {
	h.text, h.startLine, h.fields = nil, nil, h.fields[:0]
}

// readHead reads a head whose first bytes equal prefix.
func (s *stream) readHead(h *head, prefix string) error {
	text, err := s.readLines(prefix, true, maxHeadBytes)
	if err != nil {
		return err
	}
	s.retained = s.off
	h.text, h.fields, h.bodyLength = text, h.fields[:0], -2
	lineEnd := bytes.Index(text, []byte("\r\n"))
	h.startLine = text[:lineEnd]
	for start := lineEnd + 2; start < len(text)-2; start = lineEnd + 2 {
		lineEnd = start + bytes.Index(text[start:], []byte("\r\n"))
		colon := bytes.IndexByte(text[start:lineEnd], ':')
		if colon < 0 || !isToken(text[start:start+colon]) || len(h.fields) == maxFields {
			return errSyntax // also for a folded line or a blank before the colon
		}
		name := span{uint16(start), uint16(start + colon)}
		value := span{name.end + 1, uint16(lineEnd)}
		h.fields = append(h.fields, field{name, value.trimmed(text)})
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
		field := h.fields[i].name.of(h.text)
		if len(field) != len(name) || !strings.EqualFold(string(field), name) {
			continue
		}
		if n++; n == 1 {
			value = h.fields[i].value.of(h.text)
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
		if !strings.EqualFold(string(h.fields[i].name.of(h.text)), name) {
			continue
		}
		for w := range strings.SplitSeq(string(h.fields[i].value.of(h.text)), ",") {
			if strings.EqualFold(strings.Trim(w, " \t"), word) {
				return true
			}
		}
	}
	return false
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
