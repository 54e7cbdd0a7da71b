// Package testkit is what tests of several packages share.
package testkit

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"valvering.example/valvering/internal/loopback"
)

// Patience is how long a test waits for a condition. It decides nothing but how long
// a failing test takes: it is far beyond what a slow machine needs.
const Patience = 30 * time.Second

const look = 2 * time.Millisecond

// Eventually waits until something is so.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(look) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// FreeAddr is a loopback address that nothing listens on, until the test or what it starts
// does.
func FreeAddr(t testing.TB) string {
	t.Helper()
	a, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a.String()
}

// Log is what a program writes, to be read while it does.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String is all that was written.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
