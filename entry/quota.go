package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fieldvale/admission"
	"fieldvale/pool"
	"fieldvale/quota"
)

// Quota knows what replicas may get from the whole fleet: those that name a limit, and those
// that are cold, or may be. It is the one place that decides whether such a replica may get
// one more request now, whatever road the request comes by.
type Quota interface {
	// IsQuiet reports whether no replica names a limit or may be cold.
	IsQuiet() bool
	// Bound returns what the replica may get. coldPerSecond is what it bears while it is cold, 0
	// for any number, and isCold whether it says that it is.
	Bound(replica string, coldPerSecond float64, isCold bool) quota.Bound
	// IsResting reports whether the replica gets nothing now, as far as is known here.
	IsResting(replica string) bool
	// Take asks for the right to send the request to one of its candidates.
	Take(ctx context.Context, a quota.PermitRequest) quota.PermitResult
	// Return gives a right back that came to nothing.
	Return(t quota.Ticket)
	// Unreached says that a replica that may be cold again could not be connected to.
	Unreached(service, replica string)
}

// unbounded has no replica bounded.
type noQuota struct{}

func (noQuota) IsQuiet() bool                           { return true }
func (noQuota) Bound(string, float64, bool) quota.Bound { return quota.Bound{} }
func (noQuota) IsResting(string) bool                   { return false }
func (noQuota) Take(context.Context, quota.PermitRequest) quota.PermitResult {
	return quota.PermitResult{}
}
func (noQuota) Return(quota.Ticket)      {}
func (noQuota) Unreached(string, string) {}

// mostAsked bounds the replicas that one question for a place names. Each question names other
// ones: at 100 questions a second before 112 limited replicas a place is found after some 0.1 s.
const maxPermitCandidates = 12

// coldPerSecond is how many requests one of the service's replicas may get in any second
// while it is cold; 0 where they bear all at once.
func (w *forwarding) coldPerSecond() float64 {
	if n := w.q.Table.Service(w.result.Service).ColdPerSecond; n > 0 {
		return w.r.coldBound.PerOwner(n)
	}
	return 0
}

// byBound parts the replicas that may get any number of requests from those that may not.
func (w *forwarding) splitByBound(l []*pool.Replica) (free, bounded []*pool.Replica) {
	cold := w.coldPerSecond()
	if cold <= 0 && w.r.quota.IsQuiet() {
		return l, nil
	}
	now := w.r.clock()
	for i, r := range l {
		switch isBounded := w.r.quota.Bound(r.ID, cold, r.IsCold(now)).IsBounded(); {
		case isBounded && bounded == nil:
			free = append(make([]*pool.Replica, 0, len(l)), l[:i]...)
			bounded = append(bounded, r)
		case isBounded:
			bounded = append(bounded, r)
		case bounded != nil:
			free = append(free, r)
		}
	}
	if bounded == nil {
		return l, nil
	}
	return free, bounded
}

// worthAsking returns the bounded replicas for which a place is worth asking beside free
// ones: not those that were said to have none now. A request without a prompt has nothing
// to find at a cold one, which is slow.
func (w *forwarding) withPossiblePermit(bounded []*pool.Replica) []*pool.Replica {
	now := w.r.clock()
	return slices.DeleteFunc(slices.Clone(bounded), func(r *pool.Replica) bool {
		return w.r.quota.IsResting(r.ID) || w.q.Prompt.IsNone() && w.r.quota.Bound(r.ID, w.coldPerSecond(), r.IsCold(now)).ColdPerSecond > 0
	})
}

// placeBounded chooses a replica where some are bounded: one of those only if the fleet has a
// place there for this request. Where all that are left are bounded, any of them will do.
func (w *forwarding) assignBounded(ctx context.Context, allowed, free, bounded []*pool.Replica) *assignment {
	isLast := len(w.candidates(free)) == 0
	open := bounded
	if !isLast {
		open = w.withPossiblePermit(bounded)
	}
	p := w.assignIgnoringQuota(ctx, allowed, slices.Concat(free, open))
	if p == nil || !slices.Contains(open, p.replica) {
		return p
	}
	c := []*pool.Replica{p.replica}
	if isLast {
		c = w.addCandidates(c, bounded)
	}
	v := w.r.quota.Take(ctx, w.permitRequest(c, isLast))
	if v.Index == 0 {
		p.permit = v.Ticket
		return p
	}
	w.releaseAssignment(p)
	if v.Index > 0 {
		return w.assignWithPermit(ctx, allowed, c[v.Index], v.Ticket)
	}
	w.recordSkipped(c, v)
	if isLast {
		return nil
	}
	return w.assignIgnoringQuota(ctx, allowed, free)
}

// placeWithRight places the request at the replica where it has a place.
func (w *forwarding) assignWithPermit(ctx context.Context, allowed []*pool.Replica, r *pool.Replica, t quota.Ticket) *assignment {
	p := w.assignIgnoringQuota(ctx, allowed, []*pool.Replica{r})
	if p == nil {
		w.r.quota.Return(t)
		return nil
	}
	p.permit = t
	return p
}

// others adds other candidates among the bounded replicas, from any of them on.
func (w *forwarding) addCandidates(c, bounded []*pool.Replica) []*pool.Replica {
	l := w.candidates(bounded)
	if len(l) == 0 {
		return c
	}
	first := rand.IntN(len(l))
	for i := range l {
		r := l[(first+i)%len(l)]
		if len(c) < maxPermitCandidates && !slices.Contains(c, r) {
			c = append(c, r)
		}
	}
	return c
}

// askFor returns the question for a place at one of the replicas.
func (w *forwarding) permitRequest(l []*pool.Replica, isLast bool) quota.PermitRequest {
	return w.r.permitRequest(w.result.Service, l, w.coldPerSecond(), w.q.priority(), isLast)
}

func (r *Router) permitRequest(service string, l []*pool.Replica, coldPerSecond float64, rank int, isLast bool) quota.PermitRequest {
	now := r.clock()
	a := quota.PermitRequest{Service: service, Priority: rank, OnlyBounded: isLast}
	for _, x := range l {
		isCold := coldPerSecond > 0 && x.IsCold(now)
		a.Candidates = append(a.Candidates, quota.Candidate{Replica: x.ID, Bound: r.quota.Bound(x.ID, coldPerSecond, isCold), ReportsCold: isCold})
	}
	return a
}

// passOver notes the replicas that had no place, and has the client come back when there is
// one, or when the first of them is warm.
func (w *forwarding) recordSkipped(l []*pool.Replica, v quota.PermitResult) {
	w.result.SkippedCount += len(l)
	w.result.Skipped = append(w.result.Skipped, SkippedReplica{Replica: l[0].ID, Reason: v.Reason, DecidedBy: v.DecidedBy})
	w.retryNoLaterThan(v.RetryAt)
	now := w.r.clock()
	for _, r := range l {
		if r.IsCold(now) && v.Reason == quota.ReasonCold {
			w.retryNoLaterThan(r.ColdUntil)
		}
	}
}

// retryBy has the client come back at that moment, or earlier.
func (w *forwarding) retryNoLaterThan(t time.Time) {
	w.retryAt = earliest(w.retryAt, t)
}

// takeReplica chooses a replica for a request of the product's own interfaces and counts it
// there; nil if none may get it, with when to come back. It is taken off with backends.done.
func (r *Router) takeReplica(ctx context.Context, service string, l []*pool.Replica, a pool.Request, tried []string, rank int) (*pool.Replica, time.Time) {
	var retryAt time.Time
	for {
		b := r.backends.take(l, a, tried, r.clock())
		if b == nil {
			return nil, earliest(retryAt, r.backoffEndsAt(l))
		}
		v := quota.PermitResult{}
		if !r.quota.IsQuiet() && r.quota.Bound(b.ID, 0, false).IsBounded() {
			v = r.quota.Take(ctx, r.permitRequest(service, []*pool.Replica{b}, 0, rank, false))
		}
		if v.Index == 0 && r.notices.AdmitRequest(b.ID, r.clock()) {
			return b, retryAt
		}
		r.quota.Return(v.Ticket)
		r.backends.release(b.ID)
		tried = append(slices.Clip(tried), b.ID)
		retryAt = earliest(retryAt, v.RetryAt)
	}
}

// earlier returns the earlier moment of those that are known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// noReplica is the refusal of a request for which there is none; retryAt is when there
// will be one, zero if that is not known.
func (r *Router) noReplica(retryAt time.Time) error {
	if retryAt.IsZero() {
		retryAt = r.clock().Add(time.Second)
	}
	return refused(&admission.Refusal{Reason: admission.NoReplica, RetryAt: retryAt})
}
