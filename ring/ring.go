// Package ring joins the duties of a process by bounded queues. A full ring
// refuses instead of growing, so that overload shows at once where it arises.
package ring

import "context"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	c chan T
}

// New returns a ring that holds at most n items.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{c: make(chan T, n)}
}

// Offer adds x and reports whether there was room.
func (r *Ring[T]) Offer(x T) bool {
	select {
	case r.c <- x:
		return true
	default:
		return false
	}
}

// Put waits for room and adds x. It reports false if ctx ended first.
func (r *Ring[T]) Put(ctx context.Context, x T) bool {
	select {
	case r.c <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// Take waits for an item. It fails only with ctx's error.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case x := <-r.c:
		return x, nil
	case <-ctx.Done():
		var z T
		return z, ctx.Err()
	}
}

// Drain returns the items queued now, at most n of them, without waiting.
func (r *Ring[T]) Drain(n int) []T {
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

// Len returns the number of items queued.
func (r *Ring[T]) Len() int { return len(r.c) }

// Chan is for use in a select beside other waits.
func (r *Ring[T]) Chan() <-chan T { return r.c }
