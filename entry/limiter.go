package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/admission"
	"fieldvale/config"
	"fieldvale/outcome"
	"fieldvale/pool"
)

// limiter returns the limiter of a version or service; r.mu is held.
func (r *Router) limiter(name string) *admission.Limiter {
	l, ok := r.limiters[name]
	if !ok {
		l = admission.NewLimiter()
		r.limiters[name] = l
	}
	return l
}

func (r *Router) enterLimiter(name string, c config.Caller, p []*pool.Replica, deadline time.Time) *admission.Refusal {
	n := r.clock()
	w := r.backends.queuedPerSlot(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.RecordRequest()
	return r.limiter(name).Admit(c.Customer.Name, c.Customer.Share, w, n, deadline)
}

func (r *Router) leaveLimiter(name string, c config.Caller, start, deadline time.Time, err error) {
	n := r.clock()
	t := 0.0
	if err == nil {
		t = n.Sub(start).Seconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter(name).Release(c.Customer.Name, t, n.After(deadline) || isOverload(err), n)
}

// isOverload reports whether the error shows an overloaded backend server: status 429 or an
// exceeded deadline.
func isOverload(err error) bool {
	o, ok := asOutcome(err)
	return ok && (o.Status == statusTooMany || errors.Is(o.Cause, context.DeadlineExceeded))
}

const statusTooMany = 429

func asOutcome(err error) (*outcome.Error, bool) {
	var o *outcome.Error
	ok := errors.As(err, &o)
	return o, ok
}
