package rollout

// reports adds up the tallies that instances report for a release. An instance that
// restarts counts from 0 again, so the tallies of its earlier incarnations are kept:
// otherwise bad answers after a restart would be ignored until they outnumber those
// from before.
type reports struct {
	// from has the reports by instance id.
	from  map[string]instanceReport
	total Tally
}

// instanceReport is what one instance has reported.
type instanceReport struct {
	// latest is the tally of its present incarnation; past has its earlier
	// incarnations.
	latest Tally
	past   map[int64]bool
}

func newReports() *reports { return &reports{from: map[string]instanceReport{}} }

// add adds a tally to the total. A tally of an earlier incarnation, or one that is
// not newer than the latest, is ignored. Incarnations have no order: an instance's
// clock may be set back between two of them.
func (r *reports) add(instance string, t Tally) {
	k := r.from[instance]
	switch {
	case k.past[t.Incarnation] || t.Incarnation == k.latest.Incarnation && t.size() <= k.latest.size():
		return
	case t.Incarnation != k.latest.Incarnation:
		k.past = withIncarnation(k.past, k.latest.Incarnation)
		k.latest = Tally{Incarnation: t.Incarnation}
	}
	r.total = r.total.Plus(t.minus(k.latest))
	k.latest = t
	r.from[instance] = k
}

// withIncarnation adds an incarnation to the set, which may be nil, and returns it.
func withIncarnation(l map[int64]bool, incarnation int64) map[int64]bool {
	if l == nil {
		l = map[int64]bool{}
	}
	l[incarnation] = true
	return l
}
