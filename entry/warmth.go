package entry

import (
	"time"

	"fieldvale/pool"
)

// coldPerSecond is how many requests a keeper may send to one of the service's cold
// replicas in any second; 0 where those bear all at once.
func (w *forwarding) coldPerSecond() float64 {
	if n := w.q.Table.Service(w.f.Service).ColdPerSecond; n > 0 {
		return w.r.coldBound.PerKeeper(n)
	}
	return 0
}

// byWarmth parts the replicas that may get any number of requests from those that have
// just started and may get few.
func (w *forwarding) byWarmth(l []*pool.Replica) (warm, cold []*pool.Replica) {
	if w.coldPerSecond() <= 0 {
		return l, nil
	}
	now := w.r.clock()
	for i, r := range l {
		switch isCold := w.isCold(r, now); {
		case isCold && cold == nil:
			warm = append(make([]*pool.Replica, 0, len(l)), l[:i]...)
			cold = append(cold, r)
		case isCold:
			cold = append(cold, r)
		case cold != nil:
			warm = append(warm, r)
		}
	}
	if cold == nil {
		return l, nil
	}
	return warm, cold
}

// isCold reports whether the replica has just started. A request without a prompt is
// placed without a keeper, who hears of faults: so one that this instance did not reach
// may have started again.
func (w *forwarding) isCold(r *pool.Replica, now time.Time) bool {
	return r.IsCold(now) || w.q.Prompt.IsNone() && w.r.backends.mayBeCold(r.ID, now)
}

// retryWarm has the client come back when the first of the replicas is warm: until then
// they get no more.
func (w *forwarding) retryWarm(l []*pool.Replica) {
	now := w.r.clock()
	for _, r := range l {
		if r.IsCold(now) && (w.retryAt.IsZero() || r.ColdUntil.Before(w.retryAt)) {
			w.retryAt = r.ColdUntil
		}
	}
}
