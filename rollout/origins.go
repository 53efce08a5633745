package rollout

// origins keeps what each instance has told of a release. An instance that is
// started again counts from 0; what it told in its life before still holds, or
// bad answers seen after a restart are not heard until they outnumber those
// before.
type origins struct {
	from  map[string]told
	total Tally
}

// told is what one instance has told.
type told struct {
	// now is what it saw in its present life; past are its earlier ones.
	now  Tally
	past map[int64]bool
}

func newOrigins() *origins { return &origins{from: map[string]told{}} }

// take takes a report in. One of an earlier life, or older than what is known,
// changes nothing. Lives have no order: an instance's clock may be set back between
// two of them.
func (o *origins) take(origin string, t Tally) {
	k := o.from[origin]
	switch {
	case k.past[t.Incarnation] || t.Incarnation == k.now.Incarnation && t.size() <= k.now.size():
		return
	case t.Incarnation != k.now.Incarnation:
		k.past = withLife(k.past, k.now.Incarnation)
		k.now = Tally{Incarnation: t.Incarnation}
	}
	o.total = o.total.Plus(t.minus(k.now))
	k.now = t
	o.from[origin] = k
}

// withLife returns the lives with one more.
func withLife(l map[int64]bool, life int64) map[int64]bool {
	if l == nil {
		l = map[int64]bool{}
	}
	l[life] = true
	return l
}
