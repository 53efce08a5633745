package entry

import (
	"fieldvale/pool"
	"fieldvale/rollout"
)

// ofRelease returns the replicas that the request may go to while its service
// changes its release.
func (w *forwarding) ofRelease(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	takes := rel.RoutesToTarget(w.q.sessionKey()) && (w.q.Session == "" || rel.IncludesSessions())
	if rel.State == rollout.Running && w.r.trippedHere(rel) {
		takes = false
	}
	var n []*pool.Replica
	for _, b := range l {
		if (b.Release == rel.Target) == takes && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	if len(n) == 0 && rel.State != rollout.Tripped && !w.r.trippedHere(rel) {
		return l
	}
	return n
}

// mayStay reports whether a request that is meant for the new release may go to the old one
// if the new one's replicas take no more: it has no session that must not change its release, and
// the old replicas stay for some time. The other way would give a release that may be bad
// more than its share.
func (w *forwarding) mayStay(rel rollout.Release) bool {
	return w.q.Session == "" && rel.State == rollout.Running && rel.SplitsTraffic() && rel.RoutesToTarget(w.q.sessionKey()) && !w.r.trippedHere(rel)
}

// ofOld returns the replicas of other releases than the new one that may be used.
func ofOld(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	var n []*pool.Replica
	for _, b := range l {
		if b.Release != rel.Target && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	return n
}

// trippedHere reports whether this instance found the release bad; it stops
// sending to it before the others know.
func (r *Router) trippedHere(rel rollout.Release) bool {
	return r.releases.tripped(rel)
}
