package entry

import (
	"sync"
	"time"

	"fieldvale/rollout"
)

// releases judges new releases of services by this instance's own answers and by the tallies of
// other instances.
type releases struct {
	mu     sync.Mutex
	trials map[string]*trialState
	// incarnation distinguishes this run of the instance from earlier ones.
	incarnation int64
	// crashed holds the ids of replicas whose crash was counted. An id is unique to one
	// incarnation of a replica.
	crashed map[string]bool
}

// maxCrashed bounds the ids kept; beyond it a crash may be counted twice.
const maxCrashed = 2000

// isFirstCrash reports whether the replica's crash was not counted yet.
func (s *releases) isFirstCrash(replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed[replica] {
		return false
	}
	if len(s.crashed) >= maxCrashed {
		clear(s.crashed)
	}
	s.crashed[replica] = true
	return true
}

// trialState is the state of one release's trial.
type trialState struct {
	rel   rollout.Release
	judge *rollout.Judge
	// ownTally is what this instance observed; changed is set if it changed since it was last
	// collected.
	ownTally rollout.Tally
	changed  bool
	// urgent is set if the changes include a bad answer of the new release.
	urgent bool
	// badAtPeer is set if another instance found the release bad.
	badAtPeer bool
	// peerDoubtAt is when another instance last reported doubt about the release.
	peerDoubtAt time.Time
	// headWaits are the attempts still waiting for the head of their answer.
	headWaits map[*headWait]bool
}

// isBad reports whether the release was found bad here or by another instance.
func (t *trialState) isBad() bool { return t.badAtPeer || t.judge.IsBad() }

// localOrigin identifies this instance's tally in its own judge.
const localOrigin = ""

func newReleases(start time.Time) *releases {
	return &releases{trials: map[string]*trialState{}, crashed: map[string]bool{}, incarnation: start.UnixNano()}
}

// trialOf returns the trial of the release. A later order starts a new trial; for an earlier
// order there is none.
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

// observation is the result of one attempt.
type observation struct {
	release string
	kind    int
	verdict verdict
}

// verdict is what an attempt shows about its replica's release.
type verdict int

const (
	verdictNone verdict = iota
	verdictGood
	verdictFailed
	verdictBroken
)

// addTo returns the counts with the attempt added.
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

// addToTally returns the tally with the attempt added.
func (v observation) addToTally(t rollout.Tally, target string) rollout.Tally {
	if v.release == target {
		t.New[v.kind] = v.addTo(t.New[v.kind])
	} else {
		t.Old[v.kind] = v.addTo(t.Old[v.kind])
	}
	return t
}

// record counts one attempt. After the release was completed each instance judges it by its own answers, and
// only when one is bad.
func (s *releases) record(rel rollout.Release, v observation, now time.Time, hooks *Hooks) {
	s.update(rel, hooks, func(t *trialState) bool {
		t.ownTally = v.addToTally(t.ownTally, rel.Target)
		t.ownTally.Incarnation = s.incarnation
		t.changed = true
		t.urgent = t.urgent || v.release == rel.Target && v.verdict > verdictGood
		if rel.State == rollout.Done && v.verdict == verdictGood {
			return false
		}
		return t.judge.Report(localOrigin, t.ownTally, now)
	})
}

// recordPeerTally replaces another instance's tally.
func (s *releases) recordPeerTally(rel rollout.Release, origin string, t rollout.Tally, now time.Time, hooks *Hooks) {
	s.update(rel, hooks, func(x *trialState) bool { return x.judge.Report(origin, t, now) })
}

// update applies f to the release's trial. It calls the BadReleaseFound hook if f reports that
// the release is now found bad.
func (s *releases) update(rel rollout.Release, hooks *Hooks, f func(*trialState) bool) {
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
		hooks.badReleaseFound(rel, total, finding)
	}
}

// ReleaseTally is what this instance observed of a release during its roll-out.
type ReleaseTally struct {
	Service string
	Order   int64
	Tally   rollout.Tally
}

// CollectTallies returns the tallies of releases that changed since they were last collected.
func (r *Router) CollectTallies() []ReleaseTally {
	return r.collectTallies(func(t *trialState) bool { return t.changed })
}

// CollectUrgentTallies is like CollectTallies, but only for releases with new bad answers.
func (r *Router) CollectUrgentTallies() []ReleaseTally {
	return r.collectTallies(func(t *trialState) bool { return t.urgent })
}

func (r *Router) collectTallies(include func(*trialState) bool) []ReleaseTally {
	var l []ReleaseTally
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		r.releases.update(rel, r.hooks, func(t *trialState) bool {
			found := t.countPassed(r.clock(), r.releases.incarnation)
			if include(t) {
				t.changed, t.urgent = false, false
				l = append(l, ReleaseTally{Service: rel.Service, Order: rel.Order, Tally: t.ownTally})
			}
			return found
		})
	}
	return l
}

// BadReleases returns the running releases that were found bad.
func (r *Router) BadReleases() []rollout.Release {
	var l []rollout.Release
	for _, rel := range r.view.Get().Releases {
		if rel.State == rollout.Running && r.releases.isBad(rel) {
			l = append(l, rel)
		}
	}
	return l
}

// RecordPeerBadRelease records that another instance found a running release bad. It reports
// whether this instance had not found it bad before.
func (r *Router) RecordPeerBadRelease(service string, order int64) bool {
	return r.updateTrial(service, order, func(t *trialState) { t.badAtPeer = true })
}

// attemptsPerRequest is an upper estimate of the attempts for each request, as larger models
// follow smaller ones and failures are retried.
const attemptsPerRequest = 1.5

// SendRate estimates how many requests a second the service's replicas get. It uses the tallies
// of a release that has run for the given time if most instances report; otherwise it
// extrapolates from this instance's own requests, which may be an unusual share.
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

// peerDoubtLasts is how long another instance's report of doubt is valid; two of its reports may
// be lost.
const peerDoubtLasts = 1300 * time.Millisecond

// Concerns returns the concerns about a running release by the answers counted here, and any
// doubt reported by other instances. An instance that does not judge the release ignores its own
// doubt unless most instances report to it, as its own answers are too few. A judging instance
// uses its own doubt even if few report to it.
func (r *Router) Concerns(rel rollout.Release, judges bool) rollout.Concerns {
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

// hasMostReports reports whether most of the fleet reports its tallies of the release to this
// instance. With fewer reports it has too few answers to be in doubt.
func (r *Router) hasMostReports(t *trialState) bool {
	return 2*t.judge.Finding().Reporters > r.fleetSizeOrDefault()
}

// RecordPeerDoubt records that another instance, which judges the release, is in doubt about it.
func (r *Router) RecordPeerDoubt(service string, order int64) {
	r.updateTrial(service, order, func(t *trialState) { t.peerDoubtAt = r.clock() })
}

// updateTrial applies f to the trial of a running release that is not found bad yet, and reports
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

// DoubtfulReleases returns the running releases that this instance's own judgement doubts.
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

// RecordPeerTally records the tally of another instance for a running release.
func (r *Router) RecordPeerTally(origin string, t ReleaseTally) {
	rel, ok := r.view.Get().Releases[t.Service]
	if !ok || rel.Order != t.Order || rel.State != rollout.Running {
		return
	}
	r.releases.recordPeerTally(rel, origin, t.Tally, r.clock(), r.hooks)
}

// ReleaseTrial is the state of a running release's trial, by the answers of this instance and of
// those that report to it.
type ReleaseTrial struct {
	Release rollout.Release
	Seen    rollout.Tally
	Finding rollout.Finding
}

// ReleaseTrials returns the trials of the running releases.
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
