// Package testkit provides helpers for tests of several packages.
package testkit

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"valvering.example/valvering/internal/loopback"
)

// WaitTimeout limits the time that a test waits for a condition. It is far longer than a
// slow machine needs, so it only determines how long a failing test takes.
const WaitTimeout = 30 * time.Second

const pollInterval = 2 * time.Millisecond

// Eventually polls a condition until it is true, and fails the test after WaitTimeout.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// FreeAddr returns a loopback address that nothing listens on. It stays reserved for the
// test and the programs that the test starts.
func FreeAddr(t testing.TB) string {
	t.Helper()
	a, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a.String()
}

// Log collects the output of a program and can be read while the program runs.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends p to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns everything written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
