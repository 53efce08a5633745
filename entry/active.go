package entry

import (
	"context"
	"sync"
	"time"
)

// activeForwards are the opaque requests in progress with the functions that cancel them. Their
// timeout timers stop while the machine is suspended.
type activeForwards struct {
	mu      sync.Mutex
	cancels map[*forwarding]context.CancelFunc
	// ended is set once no request goes on.
	ended bool
}

func newActiveForwards() *activeForwards {
	return &activeForwards{cancels: map[*forwarding]context.CancelFunc{}}
}

func (u *activeForwards) add(w *forwarding, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancels[w] = cancel
	if u.ended {
		cancel()
	}
}

func (u *activeForwards) remove(w *forwarding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.cancels, w)
}

func (u *activeForwards) isEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended
}

// EndForwards ends the opaque requests in progress, and those that still come, since the instance stops. Each fails with
// what is known of its run.
func (r *Router) EndForwards() {
	u := r.activeForwards
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	for _, cancel := range u.cancels {
		cancel()
	}
}

// AfterSuspension has to be called after the machine was suspended. It ends requests whose
// deadline passed meanwhile, and sets new timers for the others.
func (r *Router) AfterSuspension() {
	now := r.clock()
	r.activeForwards.mu.Lock()
	defer r.activeForwards.mu.Unlock()
	for w, cancel := range r.activeForwards.cancels {
		time.AfterFunc(max(0, w.q.EffectiveDeadline().Sub(now)), cancel)
	}
}
