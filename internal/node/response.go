package node

import (
	"errors"
	"os"
	"strconv"
	"time"

	"valvering.example/valvering/internal/memory"
)

// rejectUnread answers a request that can't be read. The connection is closed then.
func (s *httpServer) rejectUnread(cc *clientConn, err error) {
	if reason, closing := s.interrupted(cc); closing {
		s.requests.record(requestCrossed, requestDetails{client: cc, reason: string(reason)})
		return
	}
	details := requestDetails{client: cc, reason: err.Error()}
	end := s.readEndOf(cc)
	if errors.Is(err, memory.ErrFull) || end == endedForMemory {
		s.requests.record(requestNoMemory, details)
		s.refuseForMemory(cc)
		return
	}
	if end == endedByShutdown {
		s.requests.record(requestLate, details)
		s.refuseUnread(cc, refusalRetryAfter, "the edge node is about to end")
		return
	}
	status := errorStatus(err)
	if status == 0 {
		s.requests.record(requestIncomplete, details)
		return
	}
	s.requests.record(requestUnreadable, details)
	s.rejectAndClose(cc, status, "", err.Error())
}

// errorStatus returns the status of the response to a request that can't be read, or 0 for no response.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, errLongBody):
		return 413
	case errors.Is(err, errLongHead):
		return 431
	case errors.Is(err, errSyntax), errors.Is(err, errFraming):
		return 400
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	}
	return 0
}

// rejectAndClose answers a request that is not processed, after which the connection is closed.
func (s *httpServer) rejectAndClose(cc *clientConn, status int, fields, reason string) {
	if s.setState(cc, connReading, 0) { // false: it is being closed already
		_ = s.writeResponse(cc, status, fields+"Connection: close\r\n", []byte(reason))
	}
}

// writeResponse writes a response, with a single write if it is small.
func (s *httpServer) writeResponse(cc *clientConn, status int, fields string, body []byte) error {
	return cc.write(appendResponseHead(cc.writeBuf[:0], status, fields, len(body)), body)
}

// appendResponseHead appends the head of a response. Each of fields ends with CRLF.
func appendResponseHead(b []byte, status int, fields string, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 408: "Request Timeout", 409: "Conflict",

	413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable"}

// write writes a head, whose memory is reused for the next response, and a body.
func (cc *clientConn) write(head, body []byte) error {
	if err := cc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	buf, _, err := writeMessage(cc, head, body)
	if cc.writeBuf = buf; cap(buf) > smallBufferBytes {
		cc.writeBuf = nil // frees a large buffer
	}
	return err
}

// respondServed writes a server's response. It returns false if the connection must be closed.
func (s *httpServer) respondServed(cc *clientConn, res *result) bool {
	defer s.upstream.memory.Release(res.reserved)
	cc.badRequests = 0
	fields := ""
	if len(res.contentType) > 0 {
		fields = "Content-Type: " + res.contentType + "\r\n"
	}
	return s.respondBytes(cc, 200, fields, res.body)
}

// respond writes the response to a request. It returns false if the connection must be closed.
func (s *httpServer) respond(cc *clientConn, status int, fields, body string) bool {
	return s.respondBytes(cc, status, fields, []byte(body))
}

func (s *httpServer) respondBytes(cc *clientConn, status int, fields string, body []byte) bool {
	cc.readAhead.endWait()
	closeAfter := s.draining.Load() || cc.request.wantsClose() || s.exceedsLimit()
	if closeAfter {
		fields += "Connection: close\r\n"
	}
	return s.writeResponse(cc, status, fields, body) == nil && !closeAfter
}

// rejectInvalid answers an invalid request at once and delays the next one. After maxBadRequests invalid
// requests in a row the connection is closed. It returns false if the connection must be closed.
func (s *httpServer) rejectInvalid(cc *clientConn, status int, reason string) bool {
	if cc.badRequests++; cc.badRequests < maxBadRequests {
		keepOpen := s.respond(cc, status, "", reason)
		time.Sleep(badRequestDelay)
		return keepOpen
	}
	s.rejectAndClose(cc, status, "", reason)
	return false
}

// respondUnserved writes the response to a request that was not served successfully.
func (s *httpServer) respondUnserved(cc *clientConn, cmd command) bool {
	switch {
	case cmd.badStatus != 0:
		return s.rejectInvalid(cc, cmd.badStatus, "this request can't be used")
	case !cmd.refuse:
		cc.badRequests = 0
		return s.respond(cc, 502, "", "failed")
	}
	cc.badRequests = 0
	fields := ""
	if cmd.retryAfter > 0 {
		fields = retryAfterField(cmd.retryAfter)
	}
	return s.respond(cc, 429, fields, "refused")
}
