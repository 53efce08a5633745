package entry

import (
	"context"
	"sync"
	"time"
)

// activeForwards are the requests whose time-outs run. The timers behind them stand still while
// the machine is suspended.
type activeForwards struct {
	mu sync.Mutex
	m  map[*forwarding]context.CancelFunc
}

func newActiveForwards() *activeForwards {
	return &activeForwards{m: map[*forwarding]context.CancelFunc{}}
}

func (u *activeForwards) add(w *forwarding, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.m[w] = cancel
}

func (u *activeForwards) remove(w *forwarding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.m, w)
}

// AfterSuspension is to be called after the machine was suspended: requests whose time ran out
// meanwhile end now, the others when it is over.
func (r *Router) AfterSuspension() {
	now := r.clock()
	r.activeForwards.mu.Lock()
	defer r.activeForwards.mu.Unlock()
	for w, cancel := range r.activeForwards.m {
		time.AfterFunc(max(0, w.q.effectiveDeadline().Sub(now)), cancel)
	}
}
