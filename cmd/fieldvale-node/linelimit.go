package main

import (
	"sync"
	"time"
)

// lineLimit bounds the log lines of one kind in a second. It is safe for concurrent use.
type lineLimit struct {
	most int

	mu      sync.Mutex
	endsAt  time.Time
	written int
	omitted int
}

// allow reports whether a line may be written now, and how many were omitted since the last one.
func (l *lineLimit) allow(now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.endsAt) {
		l.endsAt, l.written = now.Add(time.Second), 0
	}
	if l.written >= l.most {
		l.omitted++
		return false, 0
	}
	l.written++
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}
