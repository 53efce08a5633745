package entry

import (
	"sync"

	"fieldvale/rollout"
	"fieldvale/version"
)

// releaseRates are what the test of a release tells apart. A release under
// test with a third of its answers bad must be stopped; one in twenty may be
// the replicas' usual trouble, or more if the old release shows more.
var releaseRates = rollout.Rates{Good: 0.05, Bad: 0.3, FalseAlarm: 1e-4}

// maxBaseRate bounds how much trouble of the old release excuses the new one.
const maxBaseRate = 0.25

// minBaseline is how many outcomes of the old release say what is usual.
const minBaseline = 20

// releases finds a service's new release turning bad, from this instance's
// own answers.
type releases struct {
	mu   sync.Mutex
	test map[string]*releaseTest
}

type releaseTest struct {
	order    int64
	detector rollout.Detector
	seen     rollout.Evidence
	old      rollout.Evidence
	bad      bool
}

func newReleases() *releases {
	return &releases{test: map[string]*releaseTest{}}
}

func (s *releases) of(rel rollout.Release) *releaseTest {
	t, ok := s.test[rel.Service]
	if !ok || t.order != rel.Order {
		t = &releaseTest{order: rel.Order, detector: rollout.NewDetector(releaseRates)}
		s.test[rel.Service] = t
	}
	return t
}

func (s *releases) tripped(rel rollout.Release) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(rel).bad
}

// weigh counts one outcome and trips the release if it shows to be bad.
func (s *releases) weigh(rel rollout.Release, release string, bad bool, _ *evidence, on *Events) {
	s.mu.Lock()
	t := s.of(rel)
	if release != rel.Target {
		t.old = count(t.old, bad)
		s.mu.Unlock()
		return
	}
	t.seen = count(t.seen, bad)
	t.detector = t.detector.With(t.seen)
	trip := !t.bad && t.detector.Tripped() && !t.excused()
	t.bad = t.bad || trip
	e, o := t.seen, t.old
	s.mu.Unlock()
	if trip {
		on.badRelease(rel, e, o)
	}
}

func count(e rollout.Evidence, bad bool) rollout.Evidence {
	if bad {
		return e.WithBad(1)
	}
	return e.WithGood(1)
}

// excused reports whether the old release is about as bad: then the trouble
// is not the new one's.
func (t *releaseTest) excused() bool {
	n := t.old.Good + t.old.Bad
	if n < minBaseline {
		return false
	}
	o := min(maxBaseRate, float64(t.old.Bad)/float64(n))
	return float64(t.seen.Bad)/float64(t.seen.Good+t.seen.Bad) < 2*o
}

// of returns the counts of one version.
func (e *evidence) of(v version.ID) rollout.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count[v]
}
