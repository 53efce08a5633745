package entry

import (
	"fieldvale/quarantine"
	"fieldvale/rollout"
)

// verdicts name what attempts show, for the metrics.
var verdicts = map[outcomeOf]string{showsGood: "good", showsFailed: "failed", showsBroken: "broken", showsNothing: "nothing"}

// judge counts what the attempt shows of its release, if one is under way.
func (a *attempt) judge(bad bool, came quarantine.Outcome) {
	r := a.w.r
	o := a.shows(bad)
	if o == showsBroken && came == quarantine.ReplicaCrashed && !r.releases.firstEnd(a.replica.ID) {
		// All that was at a replica as it ended is one finding: up to 60 requests of a
		// good release broke off there at once, and a request that brings replicas down
		// would have had it taken back.
		o = showsNothing
	}
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
