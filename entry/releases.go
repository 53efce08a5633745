package entry

import (
	"sync"
	"time"

	"fieldvale/rollout"
)

// releases judges services' new releases by this instance's own answers, and
// by what other instances tell it of theirs.
type releases struct {
	mu    sync.Mutex
	trial map[string]*trial
	// life tells this run of the instance from others.
	life int64
	// ended are lives of replicas whose end was counted.
	ended map[string]bool
}

// mostEnded bounds the lives that are remembered; beyond it an end may count twice.
const mostEnded = 2000

// firstEnd reports whether the end of the replica's life was not counted yet.
func (s *releases) firstEnd(life string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[life] {
		return false
	}
	if len(s.ended) >= mostEnded {
		clear(s.ended)
	}
	s.ended[life] = true
	return true
}

// trial is one release's.
type trial struct {
	rel   rollout.Release
	judge *rollout.Judge
	// own is what this instance saw, changed since it was last told.
	own     rollout.Tally
	changed bool
	// urgent says that a bad answer of the new release is among what changed.
	urgent bool
	// told says that another instance found the release bad.
	told bool
	// doubted is when another instance last said that it is in doubt.
	doubted time.Time
	// waits are the attempts whose answers are waited for.
	waits map[*wait]bool
}

// isBad reports whether the release was found bad, here or elsewhere.
func (t *trial) isBad() bool { return t.told || t.judge.IsBad() }

// ownOrigin names this instance's tally in its judge.
const ownOrigin = ""

func newReleases(start time.Time) *releases {
	return &releases{trial: map[string]*trial{}, ended: map[string]bool{}, life: start.UnixNano()}
}

// of returns the trial of the release; a later order starts anew, and an
// earlier one has none.
func (s *releases) of(rel rollout.Release) *trial {
	t, ok := s.trial[rel.Service]
	if !ok || t.rel.Order < rel.Order {
		t = &trial{rel: rel, judge: rollout.NewJudge(), waits: map[*wait]bool{}}
		s.trial[rel.Service] = t
	}
	if t.rel.Order != rel.Order {
		return nil
	}
	return t
}

func (s *releases) tripped(rel rollout.Release) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(rel)
	return t != nil && t.isBad()
}

// saw is what came of one attempt.
type saw struct {
	release string
	kind    int
	outcome outcomeOf
}

// outcomeOf is what an attempt shows of its release.
type outcomeOf int

const (
	showsNothing outcomeOf = iota
	showsGood
	showsFailed
	showsBroken
)

// plus returns the counts with the attempt.
func (v saw) plus(c rollout.Counts) rollout.Counts {
	switch v.outcome {
	case showsGood:
		c = c.WithGood()
	case showsFailed:
		c = c.WithFailed()
	case showsBroken:
		c = c.WithBroken()
	}
	return c
}

// in returns the tally with the attempt counted.
func (v saw) in(t rollout.Tally, target string) rollout.Tally {
	if v.release == target {
		t.New[v.kind] = v.plus(t.New[v.kind])
	} else {
		t.Old[v.kind] = v.plus(t.Old[v.kind])
	}
	return t
}

// weigh counts one answer.
func (s *releases) weigh(rel rollout.Release, v saw, now time.Time, on *Hooks) {
	s.update(rel, on, func(t *trial) bool {
		t.own = v.in(t.own, rel.Target)
		t.own.Incarnation = s.life
		t.changed = true
		t.urgent = t.urgent || v.release == rel.Target && v.outcome > showsGood
		return t.judge.Report(ownOrigin, t.own, now)
	})
}

// report takes another instance's tally in.
func (s *releases) report(rel rollout.Release, origin string, t rollout.Tally, now time.Time, on *Hooks) {
	s.update(rel, on, func(x *trial) bool { return x.judge.Report(origin, t, now) })
}

// update changes the release's trial and tells on if the release shows to be
// bad by it, which f reports.
func (s *releases) update(rel rollout.Release, on *Hooks, f func(*trial) bool) {
	s.mu.Lock()
	t := s.of(rel)
	if t == nil {
		s.mu.Unlock()
		return
	}
	found := f(t)
	total, finding := t.judge.Total(), t.judge.Finding()
	s.mu.Unlock()
	if found {
		on.badRelease(rel, total, finding)
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
	return r.tallies(func(t *trial) bool { return t.changed })
}

// CollectUrgentTallies is like Tallies for releases of which bad answers came since.
func (r *Router) CollectUrgentTallies() []ReleaseTally {
	return r.tallies(func(t *trial) bool { return t.urgent })
}

func (r *Router) tallies(is func(*trial) bool) []ReleaseTally {
	var l []ReleaseTally
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		r.releases.update(rel, r.events, func(t *trial) bool {
			found := t.look(r.clock(), r.releases.life)
			if is(t) {
				t.changed, t.urgent = false, false
				l = append(l, ReleaseTally{Service: rel.Service, Order: rel.Order, Tally: t.own})
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
		if rel.State == rollout.Running && r.releases.tripped(rel) {
			l = append(l, rel)
		}
	}
	return l
}

// RecordPeerBadRelease takes in that another instance found a release under way to be bad.
// It reports whether that is news here.
func (r *Router) RecordPeerBadRelease(service string, order int64) bool {
	return r.told(service, order, func(t *trial) { t.told = true })
}

// sendsPerRequest is how often a request is sent, at most some: larger models are
// asked after smaller ones, and failures are tried again.
const sendsPerRequest = 1.5

// SendRate estimates how many requests a second the service's replicas get, by what
// instances told of a release that has run for so long; where few have, by this
// instance's own requests, of which it may have few or many.
func (r *Router) SendRate(rel rollout.Release, ran time.Duration) float64 {
	s := r.releases
	s.mu.Lock()
	var n uint64
	known := false
	if t := s.of(rel); t != nil {
		n, known = t.judge.Total().AnswerCount(), r.hearsMost(t)
	}
	s.mu.Unlock()
	if known && ran > 0 {
		return float64(n) / ran.Seconds()
	}
	return sendsPerRequest * r.rate(rel.Service)
}

// doubtLasts is how long the word of another instance holds that a release is in
// doubt: two of its words may be lost.
const doubtLasts = 1300 * time.Millisecond

// Standing returns what a release under way shows here, and in doubt also what
// others told of it. One that is not to judge it has too few answers of its own to be
// in doubt by; one that is has no others to rely on, also where it hears of few.
func (r *Router) Standing(rel rollout.Release, judges bool) rollout.Concerns {
	s := r.releases
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(rel)
	if t == nil {
		return rollout.Concerns{}
	}
	x := t.judge.Finding().Concerns()
	x.Inconclusive = x.Inconclusive && (judges || r.hearsMost(t)) || r.clock().Before(t.doubted.Add(doubtLasts))
	return x
}

// hearsMost reports whether most of the fleet tell this instance what they see of the
// release. One that hears few has too few answers to be in doubt by.
func (r *Router) hearsMost(t *trial) bool { return 2*t.judge.Finding().Reporters > r.fleet() }

// RecordPeerDoubt takes in that another instance, which judges the release, is in doubt
// of it.
func (r *Router) RecordPeerDoubt(service string, order int64) {
	r.told(service, order, func(t *trial) { t.doubted = r.clock() })
}

// told changes the trial of a release under way that is not found bad yet. It reports
// whether there is one.
func (r *Router) told(service string, order int64, f func(*trial)) bool {
	rel, ok := r.view.Get().Releases[service]
	if !ok || rel.Order != order || rel.State != rollout.Running {
		return false
	}
	s := r.releases
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(rel)
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
		if t := s.of(rel); t != nil && t.judge.Finding().Inconclusive && r.hearsMost(t) {
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
	r.releases.report(rel, origin, t.Tally, r.clock(), r.events)
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
		if t := s.of(rel); t != nil {
			l = append(l, ReleaseTrial{Release: rel, Seen: t.judge.Total(), Finding: t.judge.Finding()})
		}
		s.mu.Unlock()
	}
	return l
}
