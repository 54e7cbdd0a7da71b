package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// countedMemory is a messageMemory that counts what is reserved.
type countedMemory struct {
	limit    int // 0: none
	reserved int
	peak     int
}

var errNoMemory = errors.New("no memory")

func (m *countedMemory) reserve(n int) error {
	if m.limit > 0 && m.reserved+n > m.limit {
		return errNoMemory
	}
	m.reserved += n
	m.peak = max(m.peak, m.reserved)
	return nil
}

func (m *countedMemory) release(n int) { m.reserved -= n }

// largeMessages are messages of the largest body in each framing, with the most that may stand around it.
func largeMessages() map[string]string {
	body, extension := strings.Repeat("x", maxBodyBytes), ";"+strings.Repeat("e", maxChunkLineBytes-10)
	trailer := strings.Repeat("A: "+strings.Repeat("t", 1000)+"\r\n", 10) + "\r\n"
	return map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBodyBytes, body),
		"chunks of one byte": "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1\r\nx\r\n", maxBodyBytes) + "0\r\n\r\n",
		"chunk extensions": "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("40"+extension+"\r\n"+body[:64]+"\r\n", maxBodyBytes/64) + "0" + extension + "\r\n\r\n",
		"trailers":  "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + body + "\r\n0\r\n" + trailer,
		"one chunk": "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + body + "\r\n0\r\n\r\n",
	}
}

// Guards against a message whose framing makes the connection keep many times its data: the review's case 2.
// The largest body in any framing takes its own size and a bounded buffer, and all of it is reserved beyond
// the connection's fixed memory.
func TestLargestBodyTakesItsSize(t *testing.T) {
	for _, start := range []string{"POST / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nA: " + strings.Repeat("h", maxHeadBytes-200) + "\r\n"} {
		for framing, text := range largeMessages() {
			for _, source := range []io.Reader{strings.NewReader(start + text),
				iotest.OneByteReader(strings.NewReader(start + text))} {
				memory := &countedMemory{}
				s, h := stream{src: source, memory: memory}, head{}
				if err := s.readHead(&h, ""); err != nil {
					t.Fatal(framing, err)
				}
				body, err := s.readBody(&h)
				if err != nil || string(body) != strings.Repeat("x", maxBodyBytes) {
					t.Fatalf("%s: %d bytes, %v", framing, len(body), err)
				}
				if cap(s.buf) > maxBufferBytes || cap(body) > maxBodyBytes {
					t.Errorf("%s: a buffer of %d bytes, a body of %d", framing, cap(s.buf), cap(body))
				}
				extra := cap(body) + max(0, cap(s.buf)-smallBufferBytes)
				if memory.reserved < extra || memory.peak > maxBodyBytes+largeHeadBytes {
					t.Errorf("%s: %d bytes reserved for %d, at most %d", framing, memory.reserved, extra, memory.peak)
				}
				if s.discardRead(); memory.reserved != 0 || cap(s.buf) > smallBufferBytes {
					t.Errorf("%s: %d bytes still reserved, a buffer of %d", framing, memory.reserved, cap(s.buf))
				}
			}
		}
	}
}

// A body that finds no memory fails, small messages need none, and a body that was taken stays reserved until
// its receiver releases it.
func TestBodyReservations(t *testing.T) {
	read := func(text string, memory *countedMemory) (*stream, []byte, error) {
		s, h := &stream{src: strings.NewReader("POST / HTTP/1.1\r\n" + text), memory: memory}, head{}
		if err := s.readHead(&h, ""); err != nil {
			t.Fatal(err)
		}
		body, err := s.readBody(&h)
		return s, body, err
	}
	for framing, text := range largeMessages() {
		memory := &countedMemory{limit: maxBodyBytes - 1}
		s, _, err := read(text, memory)
		if s.discardAll(); !errors.Is(err, errNoMemory) || memory.reserved != 0 {
			t.Errorf("%s: %v, %d bytes reserved", framing, err, memory.reserved)
		}
		memory = &countedMemory{}
		s, body, err := read(text, memory)
		taken, reserved := s.takeBody(body)
		if s.discardRead(); err != nil || len(taken) != maxBodyBytes || reserved != cap(taken) ||
			memory.reserved != reserved {
			t.Errorf("%s: %v, %d bytes taken, %d reserved, %d counted", framing, err, len(taken), reserved,
				memory.reserved)
		}
	}
	full := &countedMemory{limit: 1}
	for _, text := range []string{"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"} {
		if _, body, err := read(text, full); err != nil || string(body) != "abc" {
			t.Errorf("%q: %q, %v", text, body, err)
		}
	}
}

// A trailer that never ends fails within the size of a head.
func TestEndlessTrailer(t *testing.T) {
	text := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for _, line := range []string{"A: " + strings.Repeat("t", maxTrailerLine), "A: " + strings.Repeat("t", 1000) + "\r\n"} {
		s, h := stream{src: strings.NewReader(text + strings.Repeat(line, maxFields))}, head{}
		if err := s.readHead(&h, ""); err != nil {
			t.Fatal(err)
		}
		if _, err := s.readBody(&h); !errors.Is(err, errLongHead) || cap(s.buf) > maxBufferBytes {
			t.Errorf("%.10q: %v, a buffer of %d bytes", line, err, cap(s.buf))
		}
	}
}

// A body without a length is read to the end of the connection, up to the largest size.
func TestBodyToEnd(t *testing.T) {
	for _, size := range []int{0, 1, smallBodyBytes, smallBodyBytes + 1, maxBodyBytes, maxBodyBytes + 1} {
		s := stream{src: iotest.HalfReader(strings.NewReader(strings.Repeat("x", size)))}
		body, err := s.readToEOF()
		if size > maxBodyBytes {
			if !errors.Is(err, errLongBody) {
				t.Errorf("%d bytes: %v", size, err)
			}
			continue
		}
		if err != nil || len(body) != size || cap(body) > max(maxBodyBytes, smallBodyBytes) {
			t.Errorf("%d bytes: %d read, capacity %d, %v", size, len(body), cap(body), err)
		}
	}
}
