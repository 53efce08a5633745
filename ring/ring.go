// Package ring provides the bounded queues between the goroutines of a process. A full
// queue rejects items instead of growing, so that an overload becomes visible immediately
// where it occurs.
package ring

import "context"

// Queue is a bounded FIFO queue between goroutines.
type Queue[T any] struct {
	c chan T
}

// New returns a queue with room for n items.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{c: make(chan T, n)}
}

// TryPut adds x if there is room and reports whether it did. It does not wait.
func (r *Queue[T]) TryPut(x T) bool {
	select {
	case r.c <- x:
		return true
	default:
		return false
	}
}

// Put waits for room and adds x. It returns false if ctx is done first.
func (r *Queue[T]) Put(ctx context.Context, x T) bool {
	select {
	case r.c <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for an item and removes it. It returns an error only if ctx is done first.
func (r *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case x := <-r.c:
		return x, nil
	case <-ctx.Done():
		var z T
		return z, ctx.Err()
	}
}

// Drain removes and returns at most n of the queued items without waiting.
func (r *Queue[T]) Drain(n int) []T {
	var d []T
	for len(d) < n {
		select {
		case x := <-r.c:
			d = append(d, x)
		default:
			return d
		}
	}
	return d
}

// Len returns the number of queued items.
func (r *Queue[T]) Len() int { return len(r.c) }

// Chan returns the channel of the queue, for receiving in a select statement.
func (r *Queue[T]) Chan() <-chan T { return r.c }
