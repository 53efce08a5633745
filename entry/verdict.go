package entry

import (
	"fieldvale/quarantine"
	"fieldvale/rollout"
)

// verdicts name what attempts show, for the metrics.
var verdictNames = map[verdict]string{verdictGood: "good", verdictFailed: "failed", verdictBroken: "broken", verdictNone: "nothing"}

// judge counts what the attempt shows of its release, if one is under way.
func (a *attempt) judgeRelease(bad bool, came quarantine.Outcome) {
	r := a.w.r
	o := a.releaseVerdict(bad)
	if o == verdictBroken && came == quarantine.ReplicaCrashed && !r.releases.isFirstCrash(a.replica.ID) {
		// All that was at a replica as it ended is one finding: up to 60 requests of a
		// good release broke off there at once, and a request that brings replicas down
		// would have had it taken back.
		o = verdictNone
	}
	r.hooks.attemptJudged(a.w.result.Service, a.replica.Release, verdictNames[o])
	rel, ok := r.view.Get().Releases[a.w.result.Service]
	if !ok || rel.State != rollout.Running || o == verdictNone {
		return
	}
	v := observation{release: a.replica.Release, kind: rollout.KindOf(a.requestKind()), verdict: o}
	r.releases.record(rel, v, r.clock(), r.hooks)
}

// shows is what the attempt's end says of its replica's release.
func (a *attempt) releaseVerdict(bad bool) verdict {
	switch {
	case bad && a.serverError:
		return verdictFailed
	case bad:
		return verdictBroken
	case a.succeeded:
		return verdictGood
	}
	return verdictNone
}
