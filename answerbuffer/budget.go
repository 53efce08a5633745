// Package answerbuffer holds answers that were read from a replica and not yet written to the
// client. Each answer has a queue of its own with a limit in bytes, and all queues of an instance
// share a budget.
package answerbuffer

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget bounds the memory of all queues of an instance. It is safe for concurrent use.
type Budget struct {
	total       int64
	answerBytes int64
	available   *semaphore.Weighted
	held        atomic.Int64
}

// NewBudget returns a budget of totalBytes for all queues and of answerBytes for each of them.
func NewBudget(totalBytes, answerBytes int64) *Budget {
	return &Budget{total: totalBytes, answerBytes: min(answerBytes, totalBytes), available: semaphore.NewWeighted(totalBytes)}
}

// Held returns the memory that the queues hold, in bytes.
func (b *Budget) Held() int64 { return b.held.Load() }

// Total returns the most memory that the queues may hold, in bytes.
func (b *Budget) Total() int64 { return b.total }

// NewQueue returns an empty queue for one answer.
func (b *Budget) NewQueue() *Queue { return &Queue{budget: b, filled: make(chan struct{}, 1)} }

// tryReserve reserves n bytes if they are available and no other queue waits for some.
func (b *Budget) tryReserve(n int64) bool {
	if !b.available.TryAcquire(n) {
		return false
	}
	b.held.Add(n)
	return true
}

// reserve waits until n bytes are available. Queues that wait are served in order.
func (b *Budget) reserve(ctx context.Context, n int64) error {
	if err := b.available.Acquire(ctx, n); err != nil {
		return err
	}
	b.held.Add(n)
	return nil
}

func (b *Budget) release(n int64) {
	if n == 0 {
		return
	}
	b.held.Add(-n)
	b.available.Release(n)
}
