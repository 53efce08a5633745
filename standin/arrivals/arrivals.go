// Package arrivals records when a fake server received its requests, so that a test can check
// the number of requests in any time window.
package arrivals

import (
	"sync"
	"time"
)

// Log is the arrival times of the requests of a fake server. It is safe for concurrent use; its
// zero value is empty.
type Log struct {
	mu sync.Mutex
	at []time.Time
}

// Add records a request that arrived at t.
func (l *Log) Add(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, t)
}

// Between returns the arrival times from `from` up to, but not including, `to`, in the order in
// which they were recorded.
func (l *Log) Between(from, to time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matched []time.Time
	for _, t := range l.at {
		if !t.Before(from) && t.Before(to) {
			matched = append(matched, t)
		}
	}
	return matched
}

// MaxInWindow returns the largest number of arrival times that fall within any window of the given
// length. The times must be in ascending order.
func MaxInWindow(at []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
