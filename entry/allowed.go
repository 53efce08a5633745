package entry

import (
	"fieldvale/pool"
	"fieldvale/rollout"
)

// ofRelease returns the replicas that the request may go to while its service
// changes its release.
func (w *forwarding) ofRelease(l []*pool.Replica, rel rollout.Release) []*pool.Replica {
	takes := rel.Takes(w.q.sessionKey()) && (w.q.Session == "" || rel.MovesSessions())
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

// trippedHere reports whether this instance found the release bad; it stops
// sending to it before the others know.
func (r *Router) trippedHere(rel rollout.Release) bool {
	return r.releases.tripped(rel)
}
