package quota

import (
	"context"
	"math"
	"time"
)

// A fragile replica crashes when it has to reject more than a number of requests in a second, from all
// instances together. A request may be rejected as long as its fate is undecided, so the owner permits
// as many undecided requests as the replica may still reject in this second.

const (
	// undecidedSpan is how long after its permit a request may be rejected without the owner knowing,
	// unless its end was reported. A replica without room rejects at once.
	undecidedSpan = 100 * time.Millisecond
	// rejectionWindow is the second in which rejections are counted, with a margin for the time that
	// their reports take.
	rejectionWindow = time.Second + transitMargin
	// rejectionMargin is the part of the allowed rejections that is planned with.
	rejectionMargin = 0.8
	// maxPermitWait bounds the wait for a permit of a fragile replica, and maxPermitWaits the number of
	// waits for one request.
	maxPermitWait  = undecidedSpan
	maxPermitWaits = 3
	// rejectionRepeats is how often a rejection is reported, as datagrams may be lost.
	rejectionRepeats = 2
)

// ObserveRejectionLimit records how many requests the replica of the service may have to reject in a
// second, by one of its responses.
func (n *Node) ObserveRejectionLimit(service, replica string, w LimitReport) {
	c := n.rejections.update(replica, func(r LimitRecord) LimitRecord { return r.WithReport(w, n.Self).withService(service) })
	if !c.LimitChanged() {
		return
	}
	n.Log("replica_fragile", "replica", replica, "service", service, "now", c.After.IsLimited(), "rejections", c.After.PerSecond, "before", c.Before.PerSecond)
	n.publish(replica, n.Clock())
}

// FragileReplicas returns the records of the replicas that are fragile now.
func (n *Node) FragileReplicas() map[string]LimitRecord { return n.rejections.limited() }

// RecentRejections returns how many requests each fragile replica rejected lately, for the services that
// this instance owns.
func (n *Node) RecentRejections() map[string]float64 {
	now := n.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := map[string]float64{}
	for _, s := range n.services {
		for r, h := range s.grants.byReplica {
			for _, x := range h.rejections {
				if now.Sub(x.at) < rejectionWindow {
					l[r]++
				}
			}
		}
	}
	return l
}

// rejectionBound returns how many rejections in a second the owner may plan with for the replica; false
// if it is not fragile. Half of them are left to another owner if there may be one.
func (n *Node) rejectionBound(replica string, exclusive bool) (bool, float64) {
	r := n.rejections.get(replica)
	if !r.IsLimited() {
		return false, 0
	}
	k := r.PerSecond * rejectionMargin
	if !exclusive {
		k /= maxOwners
	}
	return true, max(1, math.Floor(k))
}

// ReportEnd reports that the request of the permit has ended at a fragile replica; rejected reports
// whether the replica rejected it.
func (n *Node) ReportEnd(t Ticket, rejected bool) {
	if !t.fragile {
		return
	}
	w := wirePermit{t.service, t.replica}
	switch {
	case !rejected && t.owner == n.Self:
		n.countEnd(w)
	case !rejected:
		_ = n.Net.Send(t.ownerAddr, encode(message{From: n.Self, Ended: &w}))
	default:
		n.reportRejected(t, w)
	}
}

// reportRejected reports a rejection to the owner.
func (n *Node) reportRejected(t Ticket, w wirePermit) {
	n.mu.Lock()
	n.lastRejection++
	id := n.lastRejection
	n.mu.Unlock()
	if t.owner == n.Self {
		n.countRejection(id, w)
		return
	}
	b := encode(message{From: n.Self, QuestionID: id, Rejected: &w})
	for range rejectionRepeats {
		_ = n.Net.Send(t.ownerAddr, b)
	}
}

// countEnd counts the end of a request as the owner.
func (n *Node) countEnd(w wirePermit) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.services[w.Service]; ok {
		s.grants.end(w.Replica)
	}
}

// countRejection counts a rejection as the owner; repeats of a report have the same id.
func (n *Node) countRejection(id uint64, w wirePermit) {
	now := n.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.services[w.Service]; ok {
		s.grants.reject(w.Replica, id, now)
	}
}

// mergeRejections merges the records of rejections of another instance.
func (n *Node) mergeRejections(l []wireRecord) {
	now := n.Clock()
	for _, w := range l {
		n.rejections.merge(w.Replica, w.record(now), now)
	}
}

// wireRejections returns the records of those of the replicas that have one.
func (n *Node) wireRejections(replicas []string, now time.Time) []wireRecord {
	var l []wireRecord
	for _, r := range replicas {
		if x := n.rejections.get(r); !x.isEmpty() {
			l = append(l, newWireRecord(r, x, now))
		}
	}
	return l
}

// takeFromOwnerSoon asks the owner, and asks again where a fragile replica is about to have a permit.
func (n *Node) takeFromOwnerSoon(ctx context.Context, req PermitRequest) (PermitResult, bool) {
	for i := 0; ; i++ {
		v, ok := n.takeFromOwner(ctx, req)
		wait := v.RetryAt.Sub(n.Clock())
		if !ok || v.Index >= 0 || v.Reason != ReasonFragile || i >= maxPermitWaits || wait > maxPermitWait {
			return v, ok
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return v, ok
		case <-t.C:
		}
	}
}

// decideAlone decides without an owner on replicas that are only fragile; false if there are others
// among the candidates. All instances together then send such a replica no more requests in a second
// than it may reject, as none of them knows what the others' requests met.
func (n *Node) decideAlone(req PermitRequest, now time.Time) (PermitResult, bool) {
	res := PermitResult{Index: -1, Reason: ReasonNoOwner, DecidedBy: n.Self}
	size := float64(max(1, n.FleetSize()))
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range req.Candidates {
		if !x.Bound.isOnlyFragile() {
			return res, false
		}
		interval := time.Duration(size / x.Bound.Rejections * float64(time.Second))
		at := n.shareDue(x.Replica, interval, now)
		if !at.After(now) {
			n.nextShare[x.Replica] = now.Add(interval)
			return PermitResult{Index: i, DecidedBy: n.Self}, true
		}
		res.RetryAt = earlier(res.RetryAt, at)
	}
	return res, true
}

// decideFragile is decide for a bound that may include rejections.
func (g *grantLog) decideFragile(replica string, b Bound, now time.Time) Decision {
	if !b.IsFragile {
		return g.decide(replica, b, now)
	}
	h := g.history(replica, now)
	for len(h.rejections) > 0 && now.Sub(h.rejections[0].at) >= rejectionWindow {
		h.rejections = h.rejections[1:]
	}
	h.room = h.room.at(now, b.Rejections)
	if h.room.isFull() {
		return Decision{NotBefore: now.Add(fullRetry), Reason: ReasonFragile}
	}
	left := int(b.Rejections) - len(h.rejections)
	if left <= 0 {
		return Decision{NotBefore: h.rejections[0].at.Add(rejectionWindow), Reason: ReasonFragile}
	}
	if l := h.room.undecided(now); len(l) >= left {
		return Decision{NotBefore: l[len(l)-left].Add(undecidedSpan), Reason: ReasonFragile}
	}
	return g.decide(replica, b, now)
}

// addOpen counts a request that is sent to a fragile replica.
func (g *grantLog) addOpen(replica string, now time.Time) {
	h := g.history(replica, now)
	h.room.open = append(h.room.open, now)
}

// end counts the end of a request at a fragile replica.
func (g *grantLog) end(replica string) {
	if h, ok := g.byReplica[replica]; ok {
		h.room = h.room.withEnd()
	}
}

// rejection is a reported rejection.
type rejection struct {
	id uint64
	at time.Time
}

// reject counts a rejection by the replica once, in place of the permit of its request.
func (g *grantLog) reject(replica string, id uint64, now time.Time) {
	h, ok := g.byReplica[replica]
	if !ok {
		return
	}
	for _, x := range h.rejections {
		if x.id == id {
			return
		}
	}
	h.room = h.room.withRejection(now)
	g.cancelLast(replica)
	h.rejections = append(h.rejections, rejection{id, now})
}
