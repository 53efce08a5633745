package quota

import "time"

// maxGrants bounds the grants that are kept for one replica. No overloaded replica has more in the
// longest window.
const maxGrants = 1 << 12

// grantHistory holds the permits for one replica that this instance has granted as the owner.
type grantHistory struct {
	// ownedSince is the time from which this instance counts the permits.
	ownedSince time.Time
	grants     []time.Time
	// rejections are the rejections by the replica that instances reported.
	rejections []rejection
	// room is what is known of the replica's room, if it is fragile.
	room room
}

// grantLog holds the grant histories of the replicas of a service that this instance owns.
type grantLog struct{ byReplica map[string]*grantHistory }

func newGrantLog() *grantLog { return &grantLog{map[string]*grantHistory{}} }

func (g *grantLog) history(replica string, now time.Time) *grantHistory {
	h, ok := g.byReplica[replica]
	if !ok {
		h = &grantHistory{ownedSince: now}
		g.byReplica[replica] = h
	}
	return h
}

// decide decides whether the replica may get one more request.
func (g *grantLog) decide(replica string, x Bound, now time.Time) Decision {
	h := g.history(replica, now)
	return Decide(x, h.grants, h.ownedSince, now)
}

// add records a granted permit.
func (g *grantLog) add(replica string, now time.Time) {
	h := g.history(replica, now)
	for len(h.grants) > 0 && (len(h.grants) >= maxGrants || now.Sub(h.grants[0]) > probeInterval+transitMargin) {
		h.grants = h.grants[1:]
	}
	h.grants = append(h.grants, now)
}

// cancelLast removes the latest permit, in place of one whose request did not reach the replica.
func (g *grantLog) cancelLast(replica string) {
	if h, ok := g.byReplica[replica]; ok && len(h.grants) > 0 {
		h.grants = h.grants[:len(h.grants)-1]
		h.room = h.room.withEnd()
	}
}

// rate returns how many requests a second the replica was granted in the last limitWindow.
func (g *grantLog) rate(replica string, now time.Time) float64 {
	h, ok := g.byReplica[replica]
	if !ok {
		return 0
	}
	n := 0
	for _, t := range h.grants {
		if now.Sub(t) < limitWindow {
			n++
		}
	}
	return float64(n) / limitWindow.Seconds()
}

// sweep deletes the histories of unlimited replicas that were granted nothing for two probe
// intervals.
func (g *grantLog) sweep(now time.Time, isLimited func(string) bool) {
	for r, h := range g.byReplica {
		last := h.ownedSince
		if n := len(h.grants); n > 0 {
			last = h.grants[n-1]
		}
		if now.Sub(last) > 2*probeInterval && !isLimited(r) {
			delete(g.byReplica, r)
		}
	}
}
