package entry

import (
	"time"

	"fieldvale/rollout"
	"fieldvale/route"
)

// headWait is an attempt's wait for the head of its answer, for the comparison of two releases.
type headWait struct {
	release      string
	kind         int
	startedAt    time.Time
	intervalEnds [rollout.IntervalCount]time.Duration
	// passedIntervals is the number of intervals counted as waited to their ends.
	passedIntervals int
}

// defaultTarget is the expected time to an answer on routes without a target.
const defaultTarget = time.Second

// prefillWaitFactor times the estimated time for reading the prompt is the longest wait that is
// distinguished. minPrefill is added to the estimate, for one or two steps of the streams running
// at the replica.
const (
	prefillWaitFactor = 32
	minPrefill        = 20 * time.Millisecond
)

// startHeadWait starts measuring the wait for the attempt's answer if both releases of its
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

// waitUnit is the unit in which the wait is measured: the route's target, or a multiple of the
// estimated time for reading the prompt. A replica that has just started has to read prompts that
// others have cached; a good release must not be rolled back for that.
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

// waitKind names the kind of requests that the wait is compared within. Where the wait is
// measured by the prompt's reading time, this is only the model, as a trial of 30 requests has
// too few of each route.
func (a *attempt) waitKind() string {
	if a.assignment.firstEventMs > 0 {
		return a.w.modelName()
	}
	return a.requestKind()
}

// endHeadWait ends the wait; arrived reports that the answer's head arrived.
func (a *attempt) endHeadWait(arrived bool) {
	if a.headWait == nil {
		return
	}
	r := a.w.r
	if rel, ok := r.view.Get().Releases[a.w.result.Service]; ok {
		r.releases.endHeadWait(rel, a.headWait, arrived, r.clock())
	}
	a.headWait = nil
}

// requestKind names the kind of requests that the attempt is compared within.
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

func (s *releases) endHeadWait(rel rollout.Release, w *headWait, arrived bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trialOf(rel)
	if t == nil || !t.headWaits[w] {
		return
	}
	delete(t.headWaits, w)
	t.passIntervals(w, now)
	if arrived && w.passedIntervals < rollout.IntervalCount {
		t.updateCounts(w, func(c rollout.Counts) rollout.Counts { return c.WithAnswered(w.passedIntervals) })
	}
}

// countPassed counts the intervals that the current waits have passed, and reports whether the
// release is now found bad.
func (t *trialState) countPassed(now time.Time, incarnation int64) bool {
	for w := range t.headWaits {
		t.passIntervals(w, now)
	}
	if !t.changed {
		return false
	}
	t.ownTally.Incarnation = incarnation
	return t.judge.Report(localOrigin, t.ownTally, now)
}

// passIntervals counts the intervals that the wait has passed.
func (t *trialState) passIntervals(w *headWait, now time.Time) {
	for w.passedIntervals < rollout.IntervalCount && now.Sub(w.startedAt) >= w.intervalEnds[w.passedIntervals] {
		t.updateCounts(w, func(c rollout.Counts) rollout.Counts { return c.WithOutlasted(w.passedIntervals) })
		w.passedIntervals++
	}
}

// updateCounts applies f to the counts of the wait's release and kind.
func (t *trialState) updateCounts(w *headWait, f func(rollout.Counts) rollout.Counts) {
	c := &t.ownTally.Old[w.kind]
	if w.release == t.rel.Target {
		c = &t.ownTally.New[w.kind]
	}
	*c = f(*c)
	t.changed = true
}
