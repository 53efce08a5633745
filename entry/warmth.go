package entry

import "fieldvale/pool"

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
	n := 0
	for _, r := range l {
		if r.IsCold(now) {
			n++
		}
	}
	if n == 0 {
		return l, nil
	}
	warm, cold = make([]*pool.Replica, 0, len(l)-n), make([]*pool.Replica, 0, n)
	for _, r := range l {
		if r.IsCold(now) {
			cold = append(cold, r)
		} else {
			warm = append(warm, r)
		}
	}
	return warm, cold
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
