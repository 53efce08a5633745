package rollout

// baseline is the tally from before the new release had enough requests to compare.
// It shows how long the old release's answers were waited for at its usual load.
//
// While the old release's replicas have more load than then, as in a burst or after
// crashes, the waits of the two releases can't be compared with each other: the new
// one has a tenth of the requests, so that a slow new release looks like an old one
// under load. In that case the new release, with its few requests, must not be slower
// than the old one was at its usual load.
type baseline struct {
	total Tally
	// complete is set when total is final.
	complete bool
}

const (
	// minBaselineWaits is how many waits of the old release make a baseline.
	minBaselineWaits = 60
	// changedLevel is the level from which the old release's waits count as slower
	// than in the baseline. It is half of the level at which a release is found
	// slow, as it only rules out a comparison.
	changedLevel = 0.5
)

// update replaces the baseline by the total until the new release has had minWaits
// waits.
func (b *baseline) update(t Tally) {
	n, _ := t.Totals()
	if b.complete {
		return
	}
	if n.Waits.begun() >= minWaits {
		b.complete = true
		return
	}
	b.total = t
}

// level compares the new release's waits with the old one's in the baseline, if the
// old one has become slower since. It returns how near the new release is to being
// found slow, and whether its waits leave open that it is slow.
func (b *baseline) level(t Tally) (level float64, inconclusive bool) {
	_, o := b.total.Totals()
	if !b.complete || o.Waits.begun() < minBaselineWaits {
		return 0, false
	}
	since := t.minus(b.total)
	if compare(Tally{New: since.Old, Old: b.total.Old}).level() < changedLevel {
		return 0, false
	}
	c := compare(Tally{New: t.New, Old: b.total.Old})
	return c.level(), !c.excludesSlowness()
}
