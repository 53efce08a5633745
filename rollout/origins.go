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
	// ended is what it saw in earlier lives, now what it saw in this one.
	ended, now Tally
}

func newOrigins() *origins { return &origins{from: map[string]told{}} }

// take takes a report in. One of an earlier life, or older than what is known,
// changes nothing.
func (o *origins) take(origin string, t Tally) {
	k := o.from[origin]
	switch {
	case t.Life < k.now.Life || t.Life == k.now.Life && t.size() <= k.now.size():
		return
	case t.Life > k.now.Life:
		k.ended = k.ended.Plus(k.now)
		k.now = Tally{Life: t.Life}
	}
	o.total = o.total.Plus(t.minus(k.now))
	k.now = t
	o.from[origin] = k
}
