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
		text := strings.Split(strings.TrimSpace(got.String()), "\n")
		kept := len(text) - 2
		if kept < tapeLines || text[0] != "line 0" || text[kept-1] != fmt.Sprintf("line %d", kept-1) ||
			text[kept] != fmt.Sprintf("%d lines of the log dropped: nobody took them", lines-kept) || text[kept+1] != "last" {
			t.Errorf("%d lines, the last of them %q", len(text), text[max(0, len(text)-3):])
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
