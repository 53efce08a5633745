package entry

import (
	"sync"
	"time"

	"fieldvale/rollout"
)

// releases judges services' new releases by this instance's own answers, and
// by what other instances tell it of theirs.
type releases struct {
	mu     sync.Mutex
	trials map[string]*trialState
	// life tells this run of the instance from others.
	incarnation int64
	// ended are lives of replicas whose end was counted.
	crashed map[string]bool
}

// mostEnded bounds the lives that are remembered; beyond it an end may count twice.
const maxCrashed = 2000

// firstEnd reports whether the end of the replica's life was not counted yet.
func (s *releases) isFirstCrash(life string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed[life] {
		return false
	}
	if len(s.crashed) >= maxCrashed {
		clear(s.crashed)
	}
	s.crashed[life] = true
	return true
}

// trial is one release's.
type trialState struct {
	rel   rollout.Release
	judge *rollout.Judge
	// own is what this instance saw, changed since it was last told.
	ownTally rollout.Tally
	changed  bool
	// urgent says that a bad answer of the new release is among what changed.
	urgent bool
	// told says that another instance found the release bad.
	badAtPeer bool
	// doubted is when another instance last said that it is in doubt.
	peerDoubtAt time.Time
	// waits are the attempts whose answers are waited for.
	headWaits map[*headWait]bool
}

// isBad reports whether the release was found bad, here or elsewhere.
func (t *trialState) isBad() bool { return t.badAtPeer || t.judge.IsBad() }

// ownOrigin names this instance's tally in its judge.
const localOrigin = ""

func newReleases(start time.Time) *releases {
	return &releases{trials: map[string]*trialState{}, crashed: map[string]bool{}, incarnation: start.UnixNano()}
}

// of returns the trial of the release; a later order starts anew, and an
// earlier one has none.
func (s *releases) trialOf(rel rollout.Release) *trialState {
	t, ok := s.trials[rel.Service]
	if !ok || t.rel.Order < rel.Order {
		t = &trialState{rel: rel, judge: rollout.NewJudge(), headWaits: map[*headWait]bool{}}
		s.trials[rel.Service] = t
	}
	if t.rel.Order != rel.Order {
		return nil
	}
	return t
}

func (s *releases) isBad(rel rollout.Release) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trialOf(rel)
	return t != nil && t.isBad()
}

// saw is what came of one attempt.
type observation struct {
	release string
	kind    int
	verdict verdict
}

// outcomeOf is what an attempt shows of its release.
type verdict int

const (
	verdictNone verdict = iota
	verdictGood
	verdictFailed
	verdictBroken
)

// plus returns the counts with the attempt.
func (v observation) addTo(c rollout.Counts) rollout.Counts {
	switch v.verdict {
	case verdictGood:
		c = c.WithGood()
	case verdictFailed:
		c = c.WithFailed()
	case verdictBroken:
		c = c.WithBroken()
	}
	return c
}

// in returns the tally with the attempt counted.
func (v observation) addToTally(t rollout.Tally, target string) rollout.Tally {
	if v.release == target {
		t.New[v.kind] = v.addTo(t.New[v.kind])
	} else {
		t.Old[v.kind] = v.addTo(t.Old[v.kind])
	}
	return t
}

// weigh counts one answer.
func (s *releases) record(rel rollout.Release, v observation, now time.Time, on *Hooks) {
	s.update(rel, on, func(t *trialState) bool {
		t.ownTally = v.addToTally(t.ownTally, rel.Target)
		t.ownTally.Incarnation = s.incarnation
		t.changed = true
		t.urgent = t.urgent || v.release == rel.Target && v.verdict > verdictGood
		return t.judge.Report(localOrigin, t.ownTally, now)
	})
}

// report takes another instance's tally in.
func (s *releases) recordPeerTally(rel rollout.Release, origin string, t rollout.Tally, now time.Time, on *Hooks) {
	s.update(rel, on, func(x *trialState) bool { return x.judge.Report(origin, t, now) })
}

// update changes the release's trial and tells on if the release shows to be
// bad by it, which f reports.
func (s *releases) update(rel rollout.Release, on *Hooks, f func(*trialState) bool) {
	s.mu.Lock()
	t := s.trialOf(rel)
	if t == nil {
		s.mu.Unlock()
		return
	}
	found := f(t)
	total, finding := t.judge.Total(), t.judge.Finding()
	s.mu.Unlock()
	if found {
		on.badReleaseFound(rel, total, finding)
	}
}

// ReleaseTally is what this instance saw of a release under way.
type ReleaseTally struct {
	Service string
	Order   int64
	Tally   rollout.Tally
}

// CollectTallies returns what this instance saw of releases that has changed since it
// was last asked.
func (r *Router) CollectTallies() []ReleaseTally {
	return r.collectTallies(func(t *trialState) bool { return t.changed })
}

// CollectUrgentTallies is like Tallies for releases of which bad answers came since.
func (r *Router) CollectUrgentTallies() []ReleaseTally {
	return r.collectTallies(func(t *trialState) bool { return t.urgent })
}

func (r *Router) collectTallies(is func(*trialState) bool) []ReleaseTally {
	var l []ReleaseTally
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		r.releases.update(rel, r.hooks, func(t *trialState) bool {
			found := t.countPassed(r.clock(), r.releases.incarnation)
			if is(t) {
				t.changed, t.urgent = false, false
				l = append(l, ReleaseTally{Service: rel.Service, Order: rel.Order, Tally: t.ownTally})
			}
			return found
		})
	}
	return l
}

// BadReleases returns the releases under way that were found bad.
func (r *Router) BadReleases() []rollout.Release {
	var l []rollout.Release
	for _, rel := range r.view.Get().Releases {
		if rel.State == rollout.Running && r.releases.isBad(rel) {
			l = append(l, rel)
		}
	}
	return l
}

// RecordPeerBadRelease takes in that another instance found a release under way to be bad.
// It reports whether that is news here.
func (r *Router) RecordPeerBadRelease(service string, order int64) bool {
	return r.updateTrial(service, order, func(t *trialState) { t.badAtPeer = true })
}

// sendsPerRequest is how often a request is sent, at most some: larger models are
// asked after smaller ones, and failures are tried again.
const attemptsPerRequest = 1.5

// SendRate estimates how many requests a second the service's replicas get, by what
// instances told of a release that has run for so long; where few have, by this
// instance's own requests, of which it may have few or many.
func (r *Router) SendRate(rel rollout.Release, ran time.Duration) float64 {
	s := r.releases
	s.mu.Lock()
	var n uint64
	known := false
	if t := s.trialOf(rel); t != nil {
		n, known = t.judge.Total().AnswerCount(), r.hasMostReports(t)
	}
	s.mu.Unlock()
	if known && ran > 0 {
		return float64(n) / ran.Seconds()
	}
	return attemptsPerRequest * r.fleetRequestRate(rel.Service)
}

// doubtLasts is how long the word of another instance holds that a release is in
// doubt: two of its words may be lost.
const peerDoubtLasts = 1300 * time.Millisecond

// Standing returns what a release under way shows here, and in doubt also what
// others told of it. One that is not to judge it has too few answers of its own to be
// in doubt by; one that is has no others to rely on, also where it hears of few.
func (r *Router) Standing(rel rollout.Release, judges bool) rollout.Concerns {
	s := r.releases
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trialOf(rel)
	if t == nil {
		return rollout.Concerns{}
	}
	x := t.judge.Finding().Concerns()
	x.Inconclusive = x.Inconclusive && (judges || r.hasMostReports(t)) || r.clock().Before(t.peerDoubtAt.Add(peerDoubtLasts))
	return x
}

// hearsMost reports whether most of the fleet tell this instance what they see of the
// release. One that hears few has too few answers to be in doubt by.
func (r *Router) hasMostReports(t *trialState) bool {
	return 2*t.judge.Finding().Reporters > r.fleetSizeOrDefault()
}

// RecordPeerDoubt takes in that another instance, which judges the release, is in doubt
// of it.
func (r *Router) RecordPeerDoubt(service string, order int64) {
	r.updateTrial(service, order, func(t *trialState) { t.peerDoubtAt = r.clock() })
}

// told changes the trial of a release under way that is not found bad yet. It reports
// whether there is one.
func (r *Router) updateTrial(service string, order int64, f func(*trialState)) bool {
	rel, ok := r.view.Get().Releases[service]
	if !ok || rel.Order != order || rel.State != rollout.Running {
		return false
	}
	s := r.releases
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trialOf(rel)
	if t == nil || t.isBad() {
		return false
	}
	f(t)
	return true
}

// DoubtfulReleases returns the releases under way that are in doubt by this
// instance's own judgement.
func (r *Router) DoubtfulReleases() []rollout.Release {
	var l []rollout.Release
	s := r.releases
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		s.mu.Lock()
		if t := s.trialOf(rel); t != nil && t.judge.Finding().Inconclusive && r.hasMostReports(t) {
			l = append(l, rel)
		}
		s.mu.Unlock()
	}
	return l
}

// RecordPeerTally takes in what another instance saw of a release under way.
func (r *Router) RecordPeerTally(origin string, t ReleaseTally) {
	rel, ok := r.view.Get().Releases[t.Service]
	if !ok || rel.Order != t.Order || rel.State != rollout.Running {
		return
	}
	r.releases.recordPeerTally(rel, origin, t.Tally, r.clock(), r.hooks)
}

// ReleaseTrial is what this instance makes of a release under way, by its own answers
// and those that others told it of.
type ReleaseTrial struct {
	Release rollout.Release
	Seen    rollout.Tally
	Finding rollout.Finding
}

// ReleaseTrials returns the trials of the releases under way.
func (r *Router) ReleaseTrials() []ReleaseTrial {
	var l []ReleaseTrial
	s := r.releases
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		s.mu.Lock()
		if t := s.trialOf(rel); t != nil {
			l = append(l, ReleaseTrial{Release: rel, Seen: t.judge.Total(), Finding: t.judge.Finding()})
		}
		s.mu.Unlock()
	}
	return l
}
