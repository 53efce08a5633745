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

// acquireReplica returns the assignment, or another one, whose replica may be sent to at this
// moment; nil if there is none. This check covers notices that a replica sent after it was
// chosen.
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
