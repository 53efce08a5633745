package entry

import (
	"fieldvale/quarantine"
	"fieldvale/rollout"
)

// verdictNames are the verdicts' names in metrics.
var verdictNames = map[verdict]string{verdictGood: "good", verdictFailed: "failed", verdictBroken: "broken", verdictNone: "nothing"}

// judgeRelease counts the attempt's verdict towards its release if that is being rolled out, or was. One
// that fails only under load may turn bad after it was completed.
func (a *attempt) judgeRelease(bad bool, observed quarantine.Outcome) {
	r := a.w.r
	o := a.releaseVerdict(bad)
	if o == verdictBroken && observed == quarantine.ReplicaCrashed && !r.releases.isFirstCrash(a.replica.ID) {
		// All requests at a replica that crashed count as one observation. Up to 60 requests of a
		// good release broke off at one crash, and a request that crashes replicas would have
		// caused its rollback.
		o = verdictNone
	}
	r.hooks.attemptJudged(a.w.result.Service, a.replica.Release, verdictNames[o])
	rel, ok := r.view.Get().Releases[a.w.result.Service]
	if !ok || rel.State != rollout.Running && rel.State != rollout.Done || o == verdictNone {
		return
	}
	v := observation{release: a.replica.Release, kind: rollout.KindOf(a.requestKind()), verdict: o}
	r.releases.record(rel, v, r.clock(), r.hooks)
}

// releaseVerdict is what the attempt's result shows about its replica's release.
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
