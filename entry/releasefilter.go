package entry

import (
	"fieldvale/pool"
	"fieldvale/rollout"
)

// replicasByRelease returns the replicas that the request may go to while its service
// changes its release.
func (w *forwarding) replicasByRelease(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	takes := rel.RoutesToTarget(w.q.sessionKey()) && (w.q.Session == "" || rel.IncludesSessions())
	if rel.State == rollout.Running && w.r.isFoundBad(rel) {
		takes = false
	}
	var n []*pool.Replica
	for _, b := range l {
		if (b.Release == rel.Target) == takes && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	if len(n) == 0 && rel.State != rollout.Tripped && !w.r.isFoundBad(rel) {
		return l
	}
	return n
}

// mayUseOldRelease reports whether a request that is meant for the new release may go to the old one
// if the new one's replicas take no more: it has no session that must not change its release, and
// the old replicas stay for some time. The other way would give a release that may be bad
// more than its share.
func (w *forwarding) mayUseOldRelease(rel rollout.Release) bool {
	return w.q.Session == "" && rel.State == rollout.Running && rel.SplitsTraffic() && rel.RoutesToTarget(w.q.sessionKey()) && !w.r.isFoundBad(rel)
}

// oldReplicas returns the replicas of other releases than the new one that may be used.
func oldReplicas(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	var n []*pool.Replica
	for _, b := range l {
		if b.Release != rel.Target && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	return n
}

// isFoundBad reports whether this instance found the release bad; it stops
// sending to it before the others know.
func (r *Router) isFoundBad(rel rollout.Release) bool {
	return r.releases.isBad(rel)
}
