package entry

import "fieldvale/rollout"

// verdicts name what attempts show, for the metrics.
var verdicts = map[outcomeOf]string{showsGood: "good", showsFailed: "failed", showsBroken: "broken", showsNothing: "nothing"}

// judge counts what the attempt shows of its release, if one is under way.
func (a *attempt) judge(bad bool) {
	r := a.w.r
	o := a.shows(bad)
	r.events.judged(a.w.f.Service, a.replica.Release, verdicts[o])
	rel, ok := r.view.Get().Releases[a.w.f.Service]
	if !ok || rel.State != rollout.Running || o == showsNothing {
		return
	}
	v := saw{release: a.replica.Release, kind: rollout.KindOf(a.pace()), outcome: o}
	r.releases.weigh(rel, v, r.clock(), r.events)
}

// shows is what the attempt's end says of its replica's release.
func (a *attempt) shows(bad bool) outcomeOf {
	switch {
	case bad && a.failed:
		return showsFailed
	case bad:
		return showsBroken
	case a.served:
		return showsGood
	}
	return showsNothing
}
