package entry

import (
	"fieldvale/pool"
	"fieldvale/rollout"
)

// replicasByRelease returns the replicas that the request may be sent to while its service is
// being rolled out.
func (w *forwarding) replicasByRelease(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	toTarget := rel.RoutesToTarget(w.q.sessionKey()) && (w.q.Session == "" || rel.IncludesSessions())
	if w.r.isFoundBad(rel) {
		toTarget = false
	}
	var n []*pool.Replica
	for _, b := range l {
		if (b.Release == rel.Target) == toTarget && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	if len(n) == 0 && rel.State != rollout.Tripped && !w.r.isFoundBad(rel) {
		return l
	}
	return n
}

// mayUseOldRelease reports whether a request meant for the new release may be sent to the old one
// if no replica of the new one is usable. It must have no session, which must not change its
// release, and the old replicas must remain for some time. The reverse is not allowed, as it
// would send more than its share to a release that may be bad.
func (w *forwarding) mayUseOldRelease(rel rollout.Release) bool {
	return w.q.Session == "" && rel.State == rollout.Running && rel.SplitsTraffic() && rel.RoutesToTarget(w.q.sessionKey()) && !w.r.isFoundBad(rel)
}

// oldReplicas returns the usable replicas of other releases than the new one.
func oldReplicas(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	var n []*pool.Replica
	for _, b := range l {
		if b.Release != rel.Target && rel.Allows(b.Release) {
			n = append(n, b)
		}
	}
	return n
}

// isFoundBad reports whether this instance found the running release bad. It then stops sending to the
// release before other instances are informed. A completed release has no replicas of the old one beside it.
func (r *Router) isFoundBad(rel rollout.Release) bool {
	return rel.State == rollout.Running && r.releases.isBad(rel)
}
