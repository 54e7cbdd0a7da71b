package node

import (
	"bytes"
	"io"
)

// smallBodyBytes is the first size of a body whose length is unknown. It is part of the connection's fixed
// memory.
const smallBodyBytes = 512

// readBody reads the body that the head announces. Without a specified length the body is empty.
func (s *stream) readBody(h *head) ([]byte, error) {
	switch {
	case h.bodyLength >= 0:
		return s.readSized(h.bodyLength)
	case h.bodyLength == -1:
		return s.readChunks()
	}
	return nil, nil
}

// readSized reads a body of n bytes, into the buffer if it fits.
func (s *stream) readSized(n int) ([]byte, error) {
	if s.off+n <= max(smallBufferBytes, cap(s.buf)) {
		s.bodyInBuf = true
		return s.readN(n)
	}
	if err := s.reserveBody(n); err != nil {
		return nil, err
	}
	body := make([]byte, n)
	copied := s.takeBuffered(body)
	_, err := io.ReadFull(s.src, body[copied:])
	return body, err
}

// readChunks reads a chunked body. It keeps the data alone: chunk lines and trailers are overwritten.
func (s *stream) readChunks() ([]byte, error) {
	var body []byte
	for {
		n, err := s.readChunkSize()
		switch {
		case err != nil:
			return nil, err
		case len(body)+n > maxBodyBytes:
			return nil, errLongBody
		case n == 0:
			s.shrinkReservation(body)
			return body, s.skipTrailer()
		}
		if body, err = s.appendChunk(body, n); err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the line that begins a chunk and returns the size of the chunk's data.
func (s *stream) readChunkSize() (int, error) {
	line, err := s.readLines("", false, maxChunkLineBytes)
	if err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line[:len(line)-2], []byte(";"))
	n, ok := parseHex(size)
	if !ok {
		return 0, errFraming
	}
	return n, nil
}

// appendChunk reads a chunk's data of n bytes, and the end of its line.
func (s *stream) appendChunk(body []byte, n int) ([]byte, error) {
	body, err := s.growBody(body, len(body)+n)
	if err != nil {
		return nil, err
	}
	for n > 0 {
		read, err := s.readSome(body[len(body) : len(body)+n])
		if err != nil {
			return nil, err
		}
		body, n = body[:len(body)+read], n-read
	}
	end, err := s.readN(2)
	if err == nil && string(end) != "\r\n" {
		err = errFraming
	}
	return body, err
}

// readSome reads at least one byte into b: from the buffer if it has any, otherwise from the connection.
func (s *stream) readSome(b []byte) (int, error) {
	if s.buffered() > 0 {
		return s.takeBuffered(b), nil
	}
	n, err := s.src.Read(b)
	switch {
	case n > 0:
		return n, nil
	case err == nil:
		return 0, io.ErrNoProgress
	}
	return 0, err
}

// takeBuffered moves unread bytes from the buffer to b and returns their number.
func (s *stream) takeBuffered(b []byte) int {
	n := copy(b, s.buf[s.off:])
	s.off += n
	return n
}

// readToEOF reads a body that extends to the end of the connection.
func (s *stream) readToEOF() ([]byte, error) {
	var body []byte
	for {
		if len(body) == maxBodyBytes {
			return s.expectEOF(body)
		}
		var err error
		if body, err = s.growBody(body, max(len(body)+1, min(s.buffered(), maxBodyBytes))); err != nil {
			return nil, err
		}
		n, err := s.readSome(body[len(body):cap(body)])
		switch err {
		case nil:
			body = body[:len(body)+n]
		case io.EOF:
			s.shrinkReservation(body)
			return body, nil
		default:
			return nil, err
		}
	}
}

// expectEOF returns a body of the largest size if the connection ends there.
func (s *stream) expectEOF(body []byte) ([]byte, error) {
	var next [1]byte
	switch _, err := s.readSome(next[:]); err {
	case nil:
		return nil, errLongBody
	case io.EOF:
		return body, nil
	default:
		return nil, err
	}
}

// growBody enlarges a body of unknown length to room for at least n bytes. It reserves the memory of the
// largest body at once, so that no message waits for memory while it holds some that others wait for.
func (s *stream) growBody(body []byte, n int) ([]byte, error) {
	if n <= cap(body) {
		return body, nil
	}
	size := smallBodyBytes
	for size < n {
		size *= 4
	}
	if size = min(size, maxBodyBytes); size > smallBodyBytes && s.bodyReserved == 0 {
		if err := s.reserveBody(maxBodyBytes); err != nil {
			return nil, err
		}
	}
	return append(make([]byte, 0, size), body...), nil
}

// reserveBody reserves memory for the body of the current message.
func (s *stream) reserveBody(n int) error {
	if err := s.reserve(n); err != nil {
		return err
	}
	s.bodyReserved = n
	return nil
}

// shrinkReservation releases what was reserved for a body and isn't used.
func (s *stream) shrinkReservation(body []byte) {
	if unused := s.bodyReserved - cap(body); unused > 0 {
		s.release(unused)
		s.bodyReserved -= unused
	}
}

// releaseBody releases the memory of the body.
func (s *stream) releaseBody() {
	s.release(s.bodyReserved)
	s.bodyReserved, s.bodyInBuf = 0, false
}

// takeBody returns a body that stays valid after discardRead, and its reservation, which the caller has to
// release.
func (s *stream) takeBody(body []byte) (taken []byte, reserved int) {
	if s.bodyInBuf {
		return bytes.Clone(body), 0
	}
	reserved, s.bodyReserved = s.bodyReserved, 0
	return body, reserved
}

// writeMessage writes a head that is in a reusable buffer, and a body. It appends a small body to the buffer
// and writes both at once. A large body is written by itself, since a copy would need as much memory again.
// It returns the buffer and the number of bytes written.
func writeMessage(w io.Writer, head, body []byte) (buf []byte, n int, err error) {
	if len(head)+len(body) <= smallBufferBytes {
		head = append(head, body...)
		n, err = w.Write(head)
		return head, n, err
	}
	if n, err = w.Write(head); err != nil || len(body) == 0 {
		return head, n, err
	}
	written, err := w.Write(body)
	return head, n + written, err
}

// skipTrailer skips the trailer fields after the last chunk.
func (s *stream) skipTrailer() error {
	total := 0
	for range maxFields {
		line, err := s.readLines("", false, maxTrailerLine)
		if err != nil {
			return err
		}
		if len(line) == 2 {
			return nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return errSyntax
		}
		if total += len(line); total > maxHeadBytes {
			break
		}
	}
	return errLongHead
}
