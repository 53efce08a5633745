package rollout

// before is how long the old release's answers were waited for before the new one had
// requests to speak of. While the old release's replicas have more to do than then, as
// in a burst or after crashes, both releases' waits can't be compared: the new one has
// a tenth of the requests, and a slow one looks like the old one under load. What
// speaks then is whether the new one, with its few requests, is slower than the old one
// was at its usual load.
type before struct {
	total Tally
	// known says that total is complete.
	known bool
}

const (
	// leastBefore is how many waits say what was usual.
	leastBefore = 60
	// unlikeFrom is the level from which the old release's waits are unlike those
	// before; half of what finds a release slow, as it only bars a comparison.
	unlikeFrom = 0.5
)

// take takes the total in as long as the new release has had next to nothing.
func (b *before) take(t Tally) {
	n, _ := t.Totals()
	if b.known {
		return
	}
	if n.Waits.begun() >= minTimed {
		b.known = true
		return
	}
	b.total = t
}

// level is how near the new release's waits are to showing that it is slower than the
// old one was before, where that has turned slower too; and whether slowness can't be
// ruled out by them.
func (b *before) level(t Tally) (level float64, doubt bool) {
	_, o := b.total.Totals()
	if !b.known || o.Waits.begun() < leastBefore {
		return 0, false
	}
	since := t.minus(b.total)
	if compare(Tally{New: since.Old, Old: b.total.Old}).level() < unlikeFrom {
		return 0, false
	}
	c := compare(Tally{New: t.New, Old: b.total.Old})
	return c.level(), !c.rulesSlowOut()
}
