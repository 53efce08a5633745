package entry

import (
	"context"
	"sync"
	"time"
)

// underway are the requests whose time-outs run. The timers behind them stand still while
// the machine is suspended.
type underway struct {
	mu sync.Mutex
	m  map[*forwarding]context.CancelFunc
}

func newUnderway() *underway { return &underway{m: map[*forwarding]context.CancelFunc{}} }

func (u *underway) add(w *forwarding, cancel context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.m[w] = cancel
}

func (u *underway) remove(w *forwarding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.m, w)
}

// AfterSuspension is to be called after the machine was suspended: requests whose time ran out
// meanwhile end now, the others when it is over.
func (r *Router) AfterSuspension() {
	now := r.clock()
	r.underway.mu.Lock()
	defer r.underway.mu.Unlock()
	for w, cancel := range r.underway.m {
		time.AfterFunc(max(0, w.q.until().Sub(now)), cancel)
	}
}
