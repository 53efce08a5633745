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
}

// trial is one release's.
type trial struct {
	rel   rollout.Release
	judge *rollout.Judge
	// own is what this instance saw, changed since it was last told.
	own     rollout.Tally
	changed bool
}

// ownOrigin names this instance's tally in its judge.
const ownOrigin = ""

func newReleases() *releases {
	return &releases{trial: map[string]*trial{}}
}

// of returns the trial of the release; a later order starts anew, and an
// earlier one has none.
func (s *releases) of(rel rollout.Release) *trial {
	t, ok := s.trial[rel.Service]
	if !ok || t.rel.Order < rel.Order {
		t = &trial{rel: rel, judge: rollout.NewJudge()}
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
	return t != nil && t.judge.Bad()
}

// verdict is one answer's part in a trial.
type verdict struct {
	release string
	bad     bool
	// paced says that slow tells how the answer's time compares to usual.
	paced bool
	slow  bool
}

// plus returns the tally with the verdict counted.
func (v verdict) plus(t rollout.Tally, target string) rollout.Tally {
	answers, pace := &t.Old, &t.OldPace
	if v.release == target {
		answers, pace = &t.New, &t.NewPace
	}
	*answers = count(*answers, v.bad)
	if v.paced {
		*pace = count(*pace, v.slow)
	}
	return t
}

func count(e rollout.Evidence, bad bool) rollout.Evidence {
	if bad {
		return e.WithBad(1)
	}
	return e.WithGood(1)
}

// weigh counts one answer.
func (s *releases) weigh(rel rollout.Release, v verdict, now time.Time, on *Events) {
	s.update(rel, on, func(t *trial) bool {
		t.own = v.plus(t.own, rel.Target)
		t.changed = true
		return t.judge.Report(ownOrigin, t.own, now)
	})
}

// report takes another instance's tally in.
func (s *releases) report(rel rollout.Release, origin string, t rollout.Tally, now time.Time, on *Events) {
	s.update(rel, on, func(x *trial) bool { return x.judge.Report(origin, t, now) })
}

// update changes the release's trial and tells on if the release shows to be
// bad by it, which f reports.
func (s *releases) update(rel rollout.Release, on *Events, f func(*trial) bool) {
	s.mu.Lock()
	t := s.of(rel)
	if t == nil {
		s.mu.Unlock()
		return
	}
	found := f(t)
	total := t.judge.Total()
	s.mu.Unlock()
	if found {
		on.badRelease(rel, total)
	}
}

// ReleaseTally is what this instance saw of a release under way.
type ReleaseTally struct {
	Service string
	Order   int64
	Tally   rollout.Tally
}

// Tallies returns what this instance saw of releases since it was last asked.
func (r *Router) Tallies() []ReleaseTally {
	running := r.view.Get().Releases
	s := r.releases
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []ReleaseTally
	for service, t := range s.trial {
		if rel := running[service]; !t.changed || rel.Order != t.rel.Order || rel.State != rollout.Running {
			continue
		}
		t.changed = false
		l = append(l, ReleaseTally{Service: service, Order: t.rel.Order, Tally: t.own})
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

// ReportTally takes in what another instance saw of a release under way.
func (r *Router) ReportTally(origin string, t ReleaseTally) {
	rel, ok := r.view.Get().Releases[t.Service]
	if !ok || rel.Order != t.Order || rel.State != rollout.Running {
		return
	}
	r.releases.report(rel, origin, t.Tally, r.clock(), r.events)
}

// Trial is what this instance makes of a release under way, by its own answers
// and those that others told it of.
type Trial struct {
	Release rollout.Release
	Seen    rollout.Tally
	Finding rollout.Finding
}

// Trials returns the trials of the releases under way.
func (r *Router) Trials() []Trial {
	var l []Trial
	s := r.releases
	for _, rel := range r.view.Get().Releases {
		if rel.State != rollout.Running {
			continue
		}
		s.mu.Lock()
		if t := s.of(rel); t != nil {
			l = append(l, Trial{Release: rel, Seen: t.judge.Total(), Finding: t.judge.Finding()})
		}
		s.mu.Unlock()
	}
	return l
}

// Verdicts on an answer, for the metrics. What is uncounted says nothing of its
// replica, as far as the judge goes.
const (
	verdictGood      = "good"
	verdictSlow      = "slow"
	verdictBad       = "bad"
	verdictLeft      = "uncounted: the client left"
	verdictUncounted = "uncounted"
)

// verdict names what an attempt counts as.
func (a *attempt) verdict(bad, slow bool) string {
	switch {
	case bad:
		return verdictBad
	case a.left:
		return verdictLeft
	case !a.served:
		return verdictUncounted
	case slow:
		return verdictSlow
	}
	return verdictGood
}

// judge counts the outcome for the release that ran it, if one is under way.
func (a *attempt) judge(bad bool) {
	slow := a.weigh(bad)
	a.w.r.events.judged(a.w.f.Service, a.replica.Release, a.verdict(bad, slow))
}

// weigh counts the outcome, if it says something, and reports whether it was
// slow.
func (a *attempt) weigh(bad bool) bool {
	if !bad && !a.served {
		return false
	}
	r := a.w.r
	rel, ok := r.view.Get().Releases[a.w.f.Service]
	under := ok && rel.State == rollout.Running
	v := verdict{release: a.replica.Release, bad: bad}
	v.slow, v.paced = a.pace(!under || a.replica.Release != rel.Target)
	if under {
		r.releases.weigh(rel, v, r.clock(), r.events)
	}
	return v.slow
}
