package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A log that nobody takes holds up nobody who writes to it; what was dropped is told
// once it is taken again, and the end waits for it in bounds.
func TestTapeNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		tape := newTape(w)
		const lines = 3 * tapeLines
		for i := range lines {
			if n, err := fmt.Fprintf(tape, "line %d\n", i); n == 0 || err != nil {
				t.Fatal(n, err)
			}
		}
		synctest.Wait()
		var got strings.Builder
		taken := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, r)
			close(taken)
		}()
		synctest.Wait()
		fmt.Fprintln(tape, "last")
		tape.End()
		tape.End()
		fmt.Fprintln(tape, "behind the end")
		w.Close()
		<-taken
		// Each line is there, in its order, or counted where it is not.
		next, text := 0, strings.Split(strings.TrimSpace(got.String()), "\n")
		for _, l := range text[:len(text)-1] {
			var n int
			if _, err := fmt.Sscanf(l, "%d lines of the log dropped", &n); err == nil {
				next += n
			} else if _, err := fmt.Sscanf(l, "line %d", &n); err != nil || n != next {
				t.Errorf("%q, want line %d", l, next)
			} else {
				next++
			}
		}
		if next != lines || len(text) < tapeLines || len(text) > tapeLines+8 || text[len(text)-1] != "last" {
			t.Errorf("%d of %d lines told of in %d", next, lines, len(text))
		}

		_, w = io.Pipe()
		tape = newTape(w)
		fmt.Fprintln(tape, "nobody takes this")
		began := time.Now()
		if tape.End(); time.Since(began) != tapeEnd {
			t.Errorf("the end took %v", time.Since(began))
		}
		w.Close()
	})
}
