package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"fieldvale/pool"
)

// restedSpread spreads the clients that come back when replicas have rested: the first to come
// is a trial, and those after it find what it found.
const restedSpread = 500 * time.Millisecond

// begun returns the choice, or another one, whose replica may be sent to in this moment; nil if
// none may. What a replica says of itself after it was chosen counts as well.
func (w *forwarding) begun(ctx context.Context, p *placed) *placed {
	for {
		if p == nil {
			p = w.take(ctx)
		}
		if p == nil {
			w.retryBy(w.r.restedAt(w.r.view.Get().byService[w.f.Service]))
			return nil
		}
		if w.r.notices.AdmitRequest(p.replica.ID, w.r.clock()) {
			return p
		}
		w.giveBack(p)
		w.tried = append(w.tried, p.replica.ID)
		p = nil
	}
}

// restedAt is when a client should come back for whom all of the replicas rest; zero if that is
// not so.
func (r *Router) restedAt(l []*pool.Replica) time.Time {
	t := r.notices.BackoffEndsAt(pool.IDs(l), r.clock())
	if t.IsZero() {
		return t
	}
	return t.Add(rand.N(restedSpread))
}

// leftInOrder reports whether the replica had said for long enough that it leaves: its end is
// no fault.
func (r *Router) leftInOrder(id string) bool {
	x := r.notices.States()[id]
	return x.IsDraining() && r.clock().Sub(x.DrainingSince) >= servesOn
}
