// Package trace records what happened to each request of a run: where it arrived, what was asked of
// roots, where it was sent and with which outcome. A Log holds a limited number of notes; it drops and
// counts the rest.
package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// What is the kind of a note.
type What string

// Kinds of notes.
const (
	Asked       What = "client asks"
	Accepted    What = "comes in"
	NotAccepted What = "not taken: edge node is down"
	RootAsked   What = "root is asked"
	Granted     What = "root grants"
	Denied      What = "root refuses"
	Held        What = "root holds it"
	Sent        What = "sent to server"
	Arrived     What = "reaches server"
	Outcome     What = "attempt ends"
	Answered    What = "answered"
	Crashed     What = "edge node dies"
	GaveUp      What = "client gives up"
	Ended       What = "ends"
)

// Note is one step in the course of a request.
type Note struct {
	At     time.Duration `json:"at"`
	Node   int           `json:"node"`
	What   What          `json:"what"`
	Detail string        `json:"detail,omitempty"`
}

// Story is the trace of one request of a client.
type Story struct {
	ID    string  `json:"id"`
	Class string  `json:"class"`
	Plan  string  `json:"plan"`
	Key   string  `json:"customer"`
	Worth float64 `json:"worth"` // value if served within aim and quota
	Lost  float64 `json:"lost"`  // value lost
	// WithinQuota is true if the request fitted within the quota when it arrived.
	WithinQuota bool   `json:"inside"`
	How         string `json:"how"`
	Cause       string `json:"cause,omitempty"`
	Notes       []Note `json:"notes"`
}

// Log holds the stories of a run.
type Log struct {
	Stories   []*Story
	MaxNotes  int // maximum number of notes
	noteCount int
	Dropped   int // notes and stories dropped because the log was full
}

// Begin starts the story of a request. It returns nil for a nil log or a full one.
func (l *Log) Begin(s Story) *Story {
	if l == nil || l.noteCount >= l.MaxNotes {
		if l != nil {
			l.Dropped++
		}
		return nil
	}
	l.Stories = append(l.Stories, &s)
	return &s
}

// Add adds a note to a story; a nil story is ignored.
func (l *Log) Add(s *Story, at time.Duration, node int, what What, format string, args ...any) {
	if s == nil {
		return
	}
	if l.noteCount >= l.MaxNotes {
		l.Dropped++
		return
	}
	l.noteCount++
	detail := format
	if len(args) > 0 {
		detail = fmt.Sprintf(format, args...)
	}
	s.Notes = append(s.Notes, Note{at, node, what, detail})
}

// Write writes the stories as gzip-compressed JSON lines.
func (l *Log) Write(w io.Writer) error {
	z := gzip.NewWriter(w)
	enc := json.NewEncoder(z)
	for _, s := range l.Stories {
		if err := enc.Encode(s); err != nil {
			return fmt.Errorf("stories: %w", err)
		}
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("stories: %w", err)
	}
	return nil
}

const maxLineBytes = 1 << 20 // bytes of a story's line

// Read calls each for every story until each returns false.
func Read(r io.Reader, each func(*Story) bool) error {
	z, err := gzip.NewReader(r)
	if err != nil {
		return fmt.Errorf("stories: %w", err)
	}
	lines := bufio.NewScanner(z)
	lines.Buffer(make([]byte, 1<<16), maxLineBytes)
	for no := 1; lines.Scan(); no++ {
		var s Story
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return fmt.Errorf("stories, line %d: %w", no, err)
		}
		if !each(&s) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("stories: %w", err)
	}
	return nil
}
