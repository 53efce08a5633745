package quota

import (
	"math"
	"time"
)

// decide decides on the permit as the owner, after merging the records of limits and of rejections of
// the requesting instance. It returns false if this instance is not the owner.
func (n *Node) decide(req PermitRequest, records, rejections map[string]LimitRecord) (wireAnswer, bool) {
	now := n.Clock()
	for r, b := range records {
		n.mergeRecord(r, b.withService(req.Service))
	}
	for r, b := range rejections {
		n.rejections.merge(r, b.withService(req.Service), now)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.service(req.Service, now)
	owns, exclusive := n.isOwner(req.Service, s, now)
	if !owns {
		return wireAnswer{}, false
	}
	return s.decide(req, n.boundsOf(req, exclusive), now), true
}

// boundsOf returns the bounds of the candidates by this instance's records. Above what it can take,
// a cold replica crashes, so a replica that reports being cold gets nothing from an owner that may
// not be the only one.
func (n *Node) boundsOf(req PermitRequest, exclusive bool) []Bound {
	var l []Bound
	for _, x := range req.Candidates {
		b := n.records.get(x.Replica)
		y := Bound{IsLimited: b.IsLimited(), PerSecond: b.PerSecond, ColdPerSecond: x.Bound.ColdPerSecond}
		y.IsFragile, y.Rejections = n.rejectionBound(x.Replica, exclusive)
		if x.ReportsCold && !exclusive {
			y.ColdPerSecond = noColdRequests
		}
		l = append(l, y)
	}
	return l
}

// noColdRequests is a bound of less than one request in any second, so that a cold replica gets
// none.
const noColdRequests = 1e-9

// decide grants a permit for the first candidate that has one, unless the free permits are reserved
// for requests of a higher priority.
func (s *serviceState) decide(req PermitRequest, bounds []Bound, now time.Time) wireAnswer {
	w := wireAnswer{IsOwner: true, Index: -1}
	rate := 0.0
	for _, b := range bounds {
		rate += b.rate()
	}
	rate = max(rate, s.permitRate)
	if req.OnlyBounded {
		s.demand.requested[clampPriority(req.Priority)].add(now)
		if s.demand.isReserved(req.Priority, rate, now) {
			w.Reason, w.RetryMillis = ReasonHigherPriority, s.demand.nextRetry(now.Add(bucketSpan), rate).Sub(now).Milliseconds()
			return w
		}
	}
	var earliest time.Time
	for i, x := range req.Candidates {
		d := s.grants.decideFragile(x.Replica, bounds[i], now)
		if d.Allowed {
			s.grant(req, x.Replica, now)
			if bounds[i].IsFragile {
				s.grants.addOpen(x.Replica, now)
			}
			return wireAnswer{IsOwner: true, Index: i, WaitMillis: w.WaitMillis, Granted: &wirePermit{req.Service, x.Replica}}
		}
		if i == 0 {
			w.Reason = d.Reason
		}
		if earliest.IsZero() || d.NotBefore.Before(earliest) {
			earliest = d.NotBefore
		}
		w.WaitMillis = append(w.WaitMillis, d.NotBefore.Sub(now).Milliseconds())
	}
	if req.OnlyBounded && !earliest.IsZero() {
		w.RetryMillis = s.demand.nextRetry(earliest, rate).Sub(now).Milliseconds()
	}
	return w
}

// grant records a permit for the replica.
func (s *serviceState) grant(req PermitRequest, replica string, now time.Time) {
	s.grants.add(replica, now)
	if req.OnlyBounded {
		s.demand.granted[clampPriority(req.Priority)].add(now)
	}
}

// rate returns approximately how many requests a second the bound allows; 0 if it is no bound.
func (b Bound) rate() float64 {
	r := math.Inf(1)
	if b.IsLimited {
		r = max(b.PerSecond, 1/probeInterval.Seconds())
	}
	if b.ColdPerSecond > 0 {
		r = min(r, b.ColdPerSecond)
	}
	if b.IsFragile {
		r = min(r, b.Rejections/undecidedSpan.Seconds())
	}
	if math.IsInf(r, 1) {
		return 0
	}
	return r
}
