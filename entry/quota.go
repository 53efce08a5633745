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

// Quota enforces fleet-wide limits on replicas that advertise a limit, are cold, or may be cold.
// Every request to such a replica needs its permit, whatever path it takes.
type Quota interface {
	// IsUnrestricted reports whether no replica advertises a limit or may be cold.
	IsUnrestricted() bool
	// Bound returns the replica's bound. coldPerSecond is the rate that it bears while cold, 0
	// for any, and isCold whether it reports to be cold.
	Bound(replica string, coldPerSecond float64, isCold bool) quota.Bound
	// IsExhausted reports whether the replica currently gets no permits, according to this
	// instance's last permit request.
	IsExhausted(replica string) bool
	// AcquirePermit requests a permit to send the request to one of its candidates.
	AcquirePermit(ctx context.Context, a quota.PermitRequest) quota.PermitResult
	// ReleasePermit returns an unused permit.
	ReleasePermit(t quota.Ticket)
	// ReportEnd reports the end of the request of the permit; rejected reports whether the replica
	// rejected it for want of room.
	ReportEnd(t quota.Ticket, rejected bool)
	// ReportUnreachable reports that a replica could not be connected to, so that it may be cold again.
	ReportUnreachable(service, replica string)
}

// noQuota is a Quota without limits.
type noQuota struct{}

func (noQuota) IsUnrestricted() bool                    { return true }
func (noQuota) Bound(string, float64, bool) quota.Bound { return quota.Bound{} }
func (noQuota) IsExhausted(string) bool                 { return false }
func (noQuota) AcquirePermit(context.Context, quota.PermitRequest) quota.PermitResult {
	return quota.PermitResult{}
}
func (noQuota) ReleasePermit(quota.Ticket)       {}
func (noQuota) ReportEnd(quota.Ticket, bool)     {}
func (noQuota) ReportUnreachable(string, string) {}

// maxPermitCandidates bounds the replicas in one permit request. Each request names different
// ones: with 100 requests a second and 112 limited replicas, a free permit is found after about
// 0.1 s.
const maxPermitCandidates = 12

// coldPerSecond is the rate of requests that a cold replica of the service may get; 0 for any.
func (w *forwarding) coldPerSecond() float64 {
	if n := w.q.Table.Service(w.result.Service).ColdPerSecond; n > 0 {
		return w.r.coldBound.PerOwner(n)
	}
	return 0
}

// splitByBound separates the unlimited replicas from the bounded ones.
func (w *forwarding) splitByBound(l []*pool.Replica) (free, bounded []*pool.Replica) {
	cold := w.coldPerSecond()
	if cold <= 0 && w.r.quota.IsUnrestricted() {
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

// withPossiblePermit returns the bounded replicas worth a permit request while unlimited ones are
// left: not those that recently had no permit left, and for a request without a prompt not the
// cold ones, which are slow and offer it no cached prefix.
func (w *forwarding) withPossiblePermit(bounded []*pool.Replica) []*pool.Replica {
	now := w.r.clock()
	return slices.DeleteFunc(slices.Clone(bounded), func(r *pool.Replica) bool {
		return w.r.quota.IsExhausted(r.ID) || w.q.Prompt.IsZero() && w.r.quota.Bound(r.ID, w.coldPerSecond(), r.IsCold(now)).ColdPerSecond > 0
	})
}

// assignBounded chooses a replica where some are bounded. A bounded replica is used only with a
// permit; if only bounded ones are left, any of them will do.
func (w *forwarding) assignBounded(ctx context.Context, allowed, free, bounded []*pool.Replica) *assignment {
	onlyBounded := len(w.candidates(free)) == 0
	open := bounded
	if !onlyBounded {
		open = w.withPossiblePermit(bounded)
	}
	p := w.assignIgnoringQuota(ctx, allowed, slices.Concat(free, open))
	if p == nil || !slices.Contains(open, p.replica) {
		return p
	}
	c := []*pool.Replica{p.replica}
	if onlyBounded {
		c = w.addCandidates(c, bounded)
	}
	v := w.r.quota.AcquirePermit(ctx, w.permitRequest(c, onlyBounded))
	if v.Index == 0 {
		p.permit = v.Ticket
		return p
	}
	w.releaseAssignment(p)
	if v.Index > 0 {
		return w.assignWithPermit(ctx, allowed, c[v.Index], v.Ticket)
	}
	w.recordSkipped(c, v)
	if onlyBounded {
		return nil
	}
	return w.assignIgnoringQuota(ctx, allowed, free)
}

// assignWithPermit assigns the request to the replica for which a permit was granted.
func (w *forwarding) assignWithPermit(ctx context.Context, allowed []*pool.Replica, r *pool.Replica, t quota.Ticket) *assignment {
	p := w.assignIgnoringQuota(ctx, allowed, []*pool.Replica{r})
	if p == nil {
		w.r.quota.ReleasePermit(t)
		return nil
	}
	p.permit = t
	return p
}

// addCandidates adds other bounded replicas, starting from a random one.
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

// permitRequest builds the request for a permit at one of the replicas.
func (w *forwarding) permitRequest(l []*pool.Replica, onlyBounded bool) quota.PermitRequest {
	return w.r.permitRequest(w.result.Service, l, w.coldPerSecond(), w.q.priority(), onlyBounded)
}

func (r *Router) permitRequest(service string, l []*pool.Replica, coldPerSecond float64, priority int, onlyBounded bool) quota.PermitRequest {
	now := r.clock()
	a := quota.PermitRequest{Service: service, Priority: priority, OnlyBounded: onlyBounded}
	for _, x := range l {
		isCold := coldPerSecond > 0 && x.IsCold(now)
		a.Candidates = append(a.Candidates, quota.Candidate{Replica: x.ID, Bound: r.quota.Bound(x.ID, coldPerSecond, isCold), ReportsCold: isCold})
	}
	return a
}

// recordSkipped records the replicas without a free permit. The client is asked to retry when
// there will be one, or when the first of the cold replicas is warm.
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

// retryNoLaterThan sets the client's retry time to t unless it is earlier already.
func (w *forwarding) retryNoLaterThan(t time.Time) {
	w.retryAt = earliest(w.retryAt, t)
}

// takeReplica chooses a replica for a request of the product's own interfaces and counts the
// request there; the caller ends it with backends.done. If no replica may be used it returns nil
// and the time to retry.
func (r *Router) takeReplica(ctx context.Context, service string, l []*pool.Replica, a pool.Request, tried []string, priority int) (*pool.Replica, time.Time) {
	var retryAt time.Time
	for {
		b := r.backends.take(l, a, tried, r.clock())
		if b == nil {
			return nil, earliest(retryAt, r.backoffEndsAt(l))
		}
		v := quota.PermitResult{}
		if !r.quota.IsUnrestricted() && r.quota.Bound(b.ID, 0, false).IsBounded() {
			v = r.quota.AcquirePermit(ctx, r.permitRequest(service, []*pool.Replica{b}, 0, priority, false))
		}
		if v.Index == 0 && r.notices.AdmitRequest(b.ID, r.clock()) {
			r.recordReportUse(b, r.clock())
			return b, retryAt
		}
		r.quota.ReleasePermit(v.Ticket)
		r.backends.release(b.ID)
		tried = append(slices.Clip(tried), b.ID)
		retryAt = earliest(retryAt, v.RetryAt)
	}
}

// earliest returns the earlier of two times, ignoring zero ones.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// noReplica is the refusal of a request without a usable replica. retryAt is the time to retry;
// zero if it is unknown.
func (r *Router) noReplica(retryAt time.Time) error {
	if retryAt.IsZero() {
		retryAt = r.clock().Add(time.Second)
	}
	return refused(&admission.Refusal{Reason: admission.NoReplica, RetryAt: retryAt})
}
