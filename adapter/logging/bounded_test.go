package logging

import (
	"strings"
	"sync"
	"testing"
)

// stuck is a writer that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	b    strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func TestBoundedNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	w := &stuck{free: make(chan struct{})}
	b := NewBounded(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 5000
	for range lines {
		if _, err := b.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(w.free)
	b.Close()
	got := w.b.String()
	if n := strings.Count(got, string(line)); n == 0 || n >= lines {
		t.Errorf("%d of %d lines were written, want some to be dropped", n, lines)
	}
	if !strings.Contains(got, "event=log_lines_dropped count=") {
		t.Error("what was dropped is not told")
	}
	if _, err := b.Write(line); err != nil {
		t.Error("a line after the close:", err)
	}
}
