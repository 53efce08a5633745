// Package reply matches responses that arrive as datagrams to their pending requests.
package reply

import (
	"context"
	"sync"
	"time"
)

// Pending holds the requests that wait for a response. It is safe for concurrent use.
type Pending[T any] struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan T
}

// New returns an empty set of pending requests. Request ids follow start, which has to
// differ from run to run so that late responses to an earlier process match no request.
func New[T any](start uint64) *Pending[T] {
	return &Pending[T]{next: start, pending: map[uint64]chan T{}}
}

// Call sends a request by calling send with a new id, and waits for the response. It
// reports false if send fails, or if no response arrives within the given time or before ctx ends.
func (w *Pending[T]) Call(ctx context.Context, within time.Duration, send func(id uint64) error) (T, bool) {
	var zero T
	id, c := w.add()
	defer w.remove(id)
	if err := send(id); err != nil {
		return zero, false
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case a := <-c:
		return a, true
	case <-t.C:
	case <-ctx.Done():
	}
	// A response that has already arrived is returned although the time is over: the
	// responder has accounted for it, such as for a permit, and it would be lost otherwise.
	select {
	case a := <-c:
		return a, true
	default:
		return zero, false
	}
}

// Deliver passes a response to its request and reports whether the request was still
// pending. Further responses to the same request are dropped.
func (w *Pending[T]) Deliver(id uint64, a T) bool {
	w.mu.Lock()
	c := w.pending[id]
	w.mu.Unlock()
	if c == nil {
		return false
	}
	select {
	case c <- a:
	default:
	}
	return true
}

func (w *Pending[T]) add() (uint64, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := make(chan T, 1)
	w.pending[w.next] = c
	return w.next, c
}

func (w *Pending[T]) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, id)
}
