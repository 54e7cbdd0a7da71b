package live

import (
	"io"
	"net"
	"testing"
	"time"

	"valvering.example/valvering/internal/lab/tally"
	"valvering.example/valvering/internal/lab/world"
)

// TestMalformedInputMustGetErrorOrClose checks that an edge node that answers malformed input
// with neither an error nor a close counts as ignoring the client, that one that serves it also
// breaks a rule, and that one that refuses or closes passes.
func TestMalformedInputMustGetErrorOrClose(t *testing.T) {
	for _, c := range []struct {
		name            string
		serve           func(net.Conn)
		ignored, broken int
	}{
		{"says nothing", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, 1, 0},
		{"serves", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, 1, 1},
		{"refuses", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		}, 0, 0},
		{"closes", func(net.Conn) {}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ln, err := listen()
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				if conn, err := ln.Accept(); err == nil {
					c.serve(conn)
					conn.Close()
				}
			}()
			f := &fleet{book: tally.NewBook(world.Default(3, 3)), startTime: time.Now()}
			f.sendMalformed(&node{fleet: f, addr: ln.Addr().String(), running: true}, c.name, "GET")
			_, counts := f.book.Breaches()
			if f.book.UnreadableRequests != 1 || f.book.UnreadableIgnored != c.ignored ||
				counts[tally.AnswerLost] != c.broken {
				t.Errorf("%d, %d ignored, %v", f.book.UnreadableRequests, f.book.UnreadableIgnored, counts)
			}
		})
	}
}
