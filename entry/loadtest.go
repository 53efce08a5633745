package entry

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"fieldvale/pool"
	"fieldvale/rollout"
)

const (
	// loadFill times a replica's slots is how many requests a load test sends to
	// it: enough to have half of the slots taken, at which a release that fails
	// only under load does, and some thirty answers from then on. A release that
	// was never loaded so got a third of a day's requests before anyone could
	// know, 852 of 2,585 on average of drawn days.
	loadFill = 2
	// loadWait is the part of a route's target for which the load test may make
	// a request wait at the replica.
	loadWait = 1.0
)

// loadTest is one instance's part of the load test of a release's phase.
type loadTest struct {
	phase int
	// left is how many requests it may still send.
	left float64
}

// loaded returns the replica that is to bear a whole replica's load at once,
// if this request is one for it: the first requests that go to the new release
// in a phase all go to one of its replicas, if that many come in a second or so that
// half of its slots are taken. Spread over all, they would show how it does when
// it is idle; too few for the test show more when they are spread.
func (w *forwarding) loaded(rel rollout.Release, l []*pool.Replica) *pool.Replica {
	if rel.State != rollout.Running || !rel.MovesSessions() || w.f.Sends > 0 {
		return nil
	}
	b := firstFor(rel.Target, w.r.backends.candidates(l, w.tried, w.r.clock()))
	if b == nil || !w.bears(b) {
		return nil
	}
	slots := float64(max(1, b.Slots))
	if w.r.rate(w.f.Service)*float64(rel.Share())/rollout.Whole < loadedPart*slots {
		return nil
	}
	if !w.r.releases.takesLoad(rel, loadFill*slots/float64(w.r.fleet())) {
		return nil
	}
	return b
}

// load is how a load test's replica was loaded when a request was sent to it.
type load int

const (
	notTested load = iota
	idle
	between
	halfTaken
)

// idlePart and loadedPart of the slots are how many are taken at a replica that is
// idle, and at one under load.
const (
	idlePart   = 0.25
	loadedPart = 0.5
)

// loadOf estimates how loaded the replica is, by this instance's own requests
// there: others have as many.
func (r *Router) loadOf(b *pool.Replica) load {
	r.backends.mu.Lock()
	n := float64(r.backends.of(b.ID).running * r.fleet())
	r.backends.mu.Unlock()
	switch s := float64(max(1, b.Slots)); {
	case n >= loadedPart*s:
		return halfTaken
	case n < idlePart*s:
		return idle
	}
	return between
}

// bears reports whether the request has the time to wait at a replica under test.
func (w *forwarding) bears(b *pool.Replica) bool {
	if w.q.Prompt.IsNone() || w.q.Route.Target <= 0 {
		return true
	}
	return w.r.waits(b) <= time.Duration(loadWait*float64(w.q.Route.Target))
}

// firstFor returns the replica that all instances take for the release's test.
func firstFor(release string, l []*pool.Replica) *pool.Replica {
	var best *pool.Replica
	var least uint64
	for _, b := range l {
		h := fnv.New64a()
		_, _ = h.Write([]byte(release + "/" + b.ID))
		if x := h.Sum64(); best == nil || x < least {
			best, least = b, x
		}
	}
	return best
}

// waits estimates how long prompts wait at the replica, by this instance's own:
// others send as much.
func (r *Router) waits(b *pool.Replica) time.Duration {
	r.backends.mu.Lock()
	defer r.backends.mu.Unlock()
	ms := r.backends.of(b.ID).pending * float64(r.fleet())
	return time.Duration(ms * float64(time.Millisecond))
}

// takesLoad takes one of this instance's requests for the load test of the
// release's phase, of which it has share.
func (s *releases) takesLoad(rel rollout.Release, share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(rel)
	if t == nil {
		return false
	}
	if t.load.phase != rel.Phase || !t.loading {
		t.load, t.loading = loadTest{phase: rel.Phase, left: share}, true
	}
	if t.load.left < 1 {
		// Of a part of a request every so many instances send one.
		if t.load.left <= 0 || rand.Float64() >= t.load.left {
			t.load.left = 0
			return false
		}
	}
	t.load.left--
	return true
}
