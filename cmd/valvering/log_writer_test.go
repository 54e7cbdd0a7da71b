package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A blocked log reader must not block the program. The number of dropped lines is
// logged once the reader continues, and Close waits for a limited time only.
func TestLogWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		output := newLogWriter(w)
		const lines = 3 * maxQueuedLines
		for i := range lines {
			if n, err := fmt.Fprintf(output, "line %d\n", i); n == 0 || err != nil {
				t.Fatal(n, err)
			}
		}
		synctest.Wait()
		var got strings.Builder
		readAll := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, r)
			close(readAll)
		}()
		synctest.Wait()
		fmt.Fprintln(output, "last")
		output.Close()
		output.Close()
		fmt.Fprintln(output, "after Close")
		w.Close()
		<-readAll
		// Each line appears in order or is counted as dropped.
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
		if next != lines || len(text) < maxQueuedLines || len(text) > maxQueuedLines+8 ||
			text[len(text)-1] != "last" {
			t.Errorf("%d of %d lines accounted for in %d", next, lines, len(text))
		}

		_, w = io.Pipe()
		output = newLogWriter(w)
		fmt.Fprintln(output, "never read")
		began := time.Now()
		if output.Close(); time.Since(began) != flushTimeout {
			t.Errorf("Close took %v", time.Since(began))
		}
		w.Close()
	})
}
