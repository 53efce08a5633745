package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"fieldvale/pool"
)

// backoffSpread spreads the retries of clients after replicas' backoffs end: the first request is
// a trial whose result the later ones can use.
const backoffSpread = 500 * time.Millisecond

// acquireReplica returns p, or another assignment, whose replica may be sent to now; nil if there
// is none. It obeys notices that arrived after the replica was chosen.
func (w *forwarding) acquireReplica(ctx context.Context, p *assignment) *assignment {
	for {
		if p == nil {
			p = w.assignReplica(ctx)
		}
		if p == nil {
			w.retryNoLaterThan(w.r.backoffEndsAt(w.r.view.Get().byService[w.result.Service]))
			return nil
		}
		if w.r.notices.AdmitRequest(p.replica.ID, w.r.clock()) {
			return p
		}
		w.releaseAssignment(p)
		w.tried = append(w.tried, p.replica.ID)
		p = nil
	}
}

// backoffEndsAt is when a client should retry if all of the replicas are backing off; zero if
// they are not.
func (r *Router) backoffEndsAt(l []*pool.Replica) time.Time {
	t := r.notices.BackoffEndsAt(pool.IDs(l), r.clock())
	if t.IsZero() {
		return t
	}
	return t.Add(rand.N(backoffSpread))
}

// drainedInOrder reports whether the replica had announced its draining long enough ago, so that
// its exit is not a crash.
func (r *Router) drainedInOrder(id string) bool {
	x := r.notices.States()[id]
	return x.IsDraining() && r.clock().Sub(x.DrainingSince) >= drainGrace
}
