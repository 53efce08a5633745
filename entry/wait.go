package entry

import (
	"time"

	"fieldvale/rollout"
	"fieldvale/route"
)

// wait is one attempt's wait for the head of its answer, for the comparison of two
// releases.
type wait struct {
	release string
	kind    int
	since   time.Time
	ends    [rollout.IntervalCount]time.Duration
	// passed is how many spans are counted as waited to their ends.
	passed int
}

// usualTarget is in which time answers should come on routes that say nothing.
const usualTarget = time.Second

// readSpans times the estimate of a prompt's reading is the wait that is counted at
// most, and leastRead is what the shortest prompt counts for: a step or two of the
// streams that run there.
const (
	readSpans = 32
	leastRead = 20 * time.Millisecond
)

// await begins to count the wait for the attempt's answer, if both releases of its
// service get requests.
func (a *attempt) await() {
	r := a.w.r
	rel, ok := r.view.Get().Releases[a.w.f.Service]
	if !ok || !rel.SplitsTraffic() {
		return
	}
	a.wait = &wait{release: a.replica.Release, kind: rollout.KindOf(a.waitKind()), since: a.sent, ends: rollout.IntervalEnds(a.span())}
	r.releases.await(rel, a.wait)
}

// span is what the wait is measured by: the route's target, or many times what the
// replica needs to read the prompt, where that is known. A replica that has just
// started reads again what others keep: a good release must not be taken back for it.
func (a *attempt) span() time.Duration {
	t := a.w.q.Route.Target
	if a.placed.ready > 0 {
		return readSpans * (leastRead + time.Duration(a.placed.cost*float64(time.Millisecond)))
	}
	if t <= 0 {
		t = usualTarget
	}
	return t
}

// waitKind names what the attempt's wait compares with: where it is measured by the
// prompt's reading, only by the model, as a trial of 30 requests has few of each route.
func (a *attempt) waitKind() string {
	if a.placed.ready > 0 {
		return a.w.modelName()
	}
	return a.pace()
}

// answered counts the end of the wait; came says that it was an answer's head.
func (a *attempt) answered(came bool) {
	if a.wait == nil {
		return
	}
	r := a.w.r
	if rel, ok := r.view.Get().Releases[a.w.f.Service]; ok {
		r.releases.answered(rel, a.wait, came, r.clock())
	}
	a.wait = nil
}

// pace names what the attempt's time compares with.
func (a *attempt) pace() string {
	if a.w.q.Route.Kind != route.Stream {
		return a.w.q.Route.Name
	}
	return a.w.q.Route.Name + "/" + a.w.modelName()
}

func (s *releases) await(rel rollout.Release, w *wait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.of(rel); t != nil {
		t.waits[w] = true
	}
}

func (s *releases) answered(rel rollout.Release, w *wait, came bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(rel)
	if t == nil || !t.waits[w] {
		return
	}
	delete(t.waits, w)
	t.pass(w, now)
	if came && w.passed < rollout.IntervalCount {
		t.count(w, func(c rollout.Counts) rollout.Counts { return c.WithAnswered(w.passed) })
	}
}

// look counts the spans that the waits under way have passed, and reports whether
// the release shows to be bad by them.
func (t *trial) look(now time.Time, life int64) bool {
	for w := range t.waits {
		t.pass(w, now)
	}
	if !t.changed {
		return false
	}
	t.own.Incarnation = life
	return t.judge.Report(ownOrigin, t.own, now)
}

// pass counts the spans that the wait has passed.
func (t *trial) pass(w *wait, now time.Time) {
	for w.passed < rollout.IntervalCount && now.Sub(w.since) >= w.ends[w.passed] {
		t.count(w, func(c rollout.Counts) rollout.Counts { return c.WithOutlasted(w.passed) })
		w.passed++
	}
}

// count changes the counts that the wait belongs to.
func (t *trial) count(w *wait, f func(rollout.Counts) rollout.Counts) {
	c := &t.own.Old[w.kind]
	if w.release == t.rel.Target {
		c = &t.own.New[w.kind]
	}
	*c = f(*c)
	t.changed = true
}
