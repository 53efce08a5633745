package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"fieldvale/pool"
)

// backoffSpread spreads the clients that come back when replicas have rested: the first to come
// is a trial, and those after it find what it found.
const backoffSpread = 500 * time.Millisecond

// acquireReplica returns the choice, or another one, whose replica may be sent to in this moment; nil if
// none may. What a replica says of itself after it was chosen counts as well.
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

// backoffEndsAt is when a client should come back for whom all of the replicas rest; zero if that is
// not so.
func (r *Router) backoffEndsAt(l []*pool.Replica) time.Time {
	t := r.notices.BackoffEndsAt(pool.IDs(l), r.clock())
	if t.IsZero() {
		return t
	}
	return t.Add(rand.N(backoffSpread))
}

// drainedInOrder reports whether the replica had said for long enough that it leaves: its end is
// no fault.
func (r *Router) drainedInOrder(id string) bool {
	x := r.notices.States()[id]
	return x.IsDraining() && r.clock().Sub(x.DrainingSince) >= drainGrace
}
