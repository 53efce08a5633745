package entry

import (
	"time"

	"fieldvale/rollout"
	"fieldvale/route"
)

// wait is one attempt's wait for the head of its answer, for the comparison of two
// releases.
type headWait struct {
	release      string
	kind         int
	startedAt    time.Time
	intervalEnds [rollout.IntervalCount]time.Duration
	// passed is how many spans are counted as waited to their ends.
	passedIntervals int
}

// usualTarget is in which time answers should come on routes that say nothing.
const defaultTarget = time.Second

// readSpans times the estimate of a prompt's reading is the wait that is counted at
// most, and leastRead is what the shortest prompt counts for: a step or two of the
// streams that run there.
const (
	prefillWaitFactor = 32
	minPrefill        = 20 * time.Millisecond
)

// await begins to count the wait for the attempt's answer, if both releases of its
// service get requests.
func (a *attempt) startHeadWait() {
	r := a.w.r
	rel, ok := r.view.Get().Releases[a.w.result.Service]
	if !ok || !rel.SplitsTraffic() {
		return
	}
	a.headWait = &headWait{release: a.replica.Release, kind: rollout.KindOf(a.waitKind()), startedAt: a.sentAt, intervalEnds: rollout.IntervalEnds(a.waitUnit())}
	r.releases.startHeadWait(rel, a.headWait)
}

// span is what the wait is measured by: the route's target, or many times what the
// replica needs to read the prompt, where that is known. A replica that has just
// started reads again what others keep: a good release must not be taken back for it.
func (a *attempt) waitUnit() time.Duration {
	t := a.w.q.Route.Target
	if a.assignment.firstEventMs > 0 {
		return prefillWaitFactor * (minPrefill + time.Duration(a.assignment.costMs*float64(time.Millisecond)))
	}
	if t <= 0 {
		t = defaultTarget
	}
	return t
}

// waitKind names what the attempt's wait compares with: where it is measured by the
// prompt's reading, only by the model, as a trial of 30 requests has few of each route.
func (a *attempt) waitKind() string {
	if a.assignment.firstEventMs > 0 {
		return a.w.modelName()
	}
	return a.requestKind()
}

// answered counts the end of the wait; came says that it was an answer's head.
func (a *attempt) endHeadWait(came bool) {
	if a.headWait == nil {
		return
	}
	r := a.w.r
	if rel, ok := r.view.Get().Releases[a.w.result.Service]; ok {
		r.releases.endHeadWait(rel, a.headWait, came, r.clock())
	}
	a.headWait = nil
}

// pace names what the attempt's time compares with.
func (a *attempt) requestKind() string {
	if a.w.q.Route.Kind != route.Stream {
		return a.w.q.Route.Name
	}
	return a.w.q.Route.Name + "/" + a.w.modelName()
}

func (s *releases) startHeadWait(rel rollout.Release, w *headWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.trialOf(rel); t != nil {
		t.headWaits[w] = true
	}
}

func (s *releases) endHeadWait(rel rollout.Release, w *headWait, came bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trialOf(rel)
	if t == nil || !t.headWaits[w] {
		return
	}
	delete(t.headWaits, w)
	t.passIntervals(w, now)
	if came && w.passedIntervals < rollout.IntervalCount {
		t.updateCounts(w, func(c rollout.Counts) rollout.Counts { return c.WithAnswered(w.passedIntervals) })
	}
}

// look counts the spans that the waits under way have passed, and reports whether
// the release shows to be bad by them.
func (t *trialState) countPassed(now time.Time, life int64) bool {
	for w := range t.headWaits {
		t.passIntervals(w, now)
	}
	if !t.changed {
		return false
	}
	t.ownTally.Incarnation = life
	return t.judge.Report(localOrigin, t.ownTally, now)
}

// pass counts the spans that the wait has passed.
func (t *trialState) passIntervals(w *headWait, now time.Time) {
	for w.passedIntervals < rollout.IntervalCount && now.Sub(w.startedAt) >= w.intervalEnds[w.passedIntervals] {
		t.updateCounts(w, func(c rollout.Counts) rollout.Counts { return c.WithOutlasted(w.passedIntervals) })
		w.passedIntervals++
	}
}

// count changes the counts that the wait belongs to.
func (t *trialState) updateCounts(w *headWait, f func(rollout.Counts) rollout.Counts) {
	c := &t.ownTally.Old[w.kind]
	if w.release == t.rel.Target {
		c = &t.ownTally.New[w.kind]
	}
	*c = f(*c)
	t.changed = true
}
