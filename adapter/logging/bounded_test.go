package logging

import (
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	b       strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// A log that can't be written, such as a pipe that is not read, must not block requests. Lines
// beyond the buffer must be dropped and their number logged.
func TestBoundedDropsLinesInsteadOfBlocking(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	b := NewBoundedWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000
	for range lines {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(w.unblock)
	b.Close()
	got := w.b.String()
	if n := strings.Count(got, string(line)); n == 0 || n >= lines {
		t.Errorf("got %d of %d lines written, want some written and some dropped", n, lines)
	}
	if !strings.Contains(got, "event=log_lines_dropped count=") {
		t.Error("got no event log_lines_dropped, want one with the number of dropped lines")
	}
	if _, err := b.Write(line); err != nil {
		t.Error("write after Close: want no error, got", err)
	}
}
