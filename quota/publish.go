package quota

import (
	"slices"
	"time"

	"fieldvale/peer"
)

const (
	// resends is how often a change is sent again, at resendInterval: three datagrams in ten may be
	// lost, and all instances should have the change within a second.
	resends        = 4
	resendInterval = 150 * time.Millisecond
	// refreshInterval is the time between two refreshes of the limits in force by the owner.
	refreshInterval = time.Second
	// minPublishInterval is the minimum time between two updates of one instance about a replica,
	// whose responses may alternate between different limits.
	minPublishInterval = 200 * time.Millisecond
	// maxRecordsPerMessage bounds the records in one datagram, at some 100 bytes each.
	maxRecordsPerMessage = 32
)

// pendingUpdate schedules the updates about a replica.
type pendingUpdate struct {
	nextAt, lastAt time.Time
	remaining      int
}

// updates are the pending updates by replica id.
type updates map[string]pendingUpdate

// publish sends the record of the replica to all other instances, now and resends times more.
func (n *Node) publish(replica string, now time.Time) {
	n.mu.Lock()
	u := n.updates[replica]
	tooSoon := now.Sub(u.lastAt) < minPublishInterval
	u.remaining, u.nextAt = resends, now.Add(resendInterval)
	if tooSoon {
		u.nextAt = u.lastAt.Add(minPublishInterval)
	} else {
		u.lastAt = now
	}
	n.updates[replica] = u
	m := n.members
	n.mu.Unlock()
	if !tooSoon {
		n.sendAll(m, []string{replica}, now)
	}
}

// dueUpdates returns the replicas whose record is to be sent now, because it changed or because
// this instance owns the service and refreshes its limits. The caller holds n.mu.
func (n *Node) dueUpdates(now time.Time) []string {
	var l []string
	for r, u := range n.updates {
		if now.Before(u.nextAt) {
			continue
		}
		l = append(l, r)
		u.nextAt, u.lastAt = now.Add(resendInterval), now
		if u.remaining--; u.remaining <= 0 {
			delete(n.updates, r)
			continue
		}
		n.updates[r] = u
	}
	slices.Sort(l)
	return l
}

// sendAll sends the records to all registered members, which relay them to their followers, and to
// the followers of this instance.
func (n *Node) sendAll(to []peer.Member, replicas []string, now time.Time) {
	if n.Net == nil {
		return
	}
	for len(replicas) > 0 {
		k := min(maxRecordsPerMessage, len(replicas))
		m := message{From: n.Self, Records: n.wireRecords(replicas[:k], now), Rejections: n.wireRejections(replicas[:k], now)}
		replicas = replicas[k:]
		b := encode(m)
		for _, x := range to {
			if x.ID != n.Self {
				// A lost datagram is made up for by the next one.
				_ = n.Net.Send(x.Addr, b)
			}
		}
		n.relayToFollowers(m)
	}
}

func (n *Node) wireRecords(replicas []string, now time.Time) []wireRecord {
	var l []wireRecord
	for _, r := range replicas {
		l = append(l, newWireRecord(r, n.records.get(r), now))
	}
	return l
}

// relayToFollowers sends the message to the followers of this instance.
func (n *Node) relayToFollowers(m message) {
	if n.Followers == nil {
		return
	}
	m.Relayed = true
	b := encode(m)
	for _, a := range n.Followers() {
		_ = n.Net.Send(a, b)
	}
}

// Tick does the periodic work: it detects stalls, deletes what has expired, and sends announcements
// and due updates.
func (n *Node) Tick() {
	now := n.Clock()
	n.mu.Lock()
	if now.Sub(n.lastTick) >= stallThreshold {
		n.recoverFromStall(now)
	}
	n.lastTick = now
	n.sweep(now)
	announcements := n.announceOwnership(now)
	due := n.dueUpdates(now)
	m := n.members
	n.mu.Unlock()
	n.sendAll(m, due, now)
	for _, a := range announcements {
		_ = n.Net.Send(a.addr, a.body)
	}
}

// datagram is a message with the address that it is sent to.
type datagram struct {
	addr string
	body []byte
}

// announceOwnership returns the announcements that are due to the successors, for the services that
// this instance owns or ranks first for, and schedules refreshes of the limits of the services that
// it owns. The caller holds n.mu.
func (n *Node) announceOwnership(now time.Time) []datagram {
	if n.Net == nil {
		return nil
	}
	var l []datagram
	for service, s := range n.services {
		if now.Sub(s.announcedAt) < announceInterval {
			continue
		}
		owns, _ := n.isOwner(service, s, now)
		if r := n.ranked(service); !owns && (len(r) == 0 || r[0].ID != n.Self) {
			continue
		}
		s.announcedAt = now
		b := encode(message{From: n.Self, Service: service, IsOwner: owns})
		for _, m := range n.successorsOf(service) {
			l = append(l, datagram{m.Addr, b})
		}
		if owns {
			n.refreshLimits(service, now)
		}
	}
	return l
}

// refreshLimits schedules an update for each limited replica of the service that has none pending.
func (n *Node) refreshLimits(service string, now time.Time) {
	for _, t := range []*recordTable{n.records, n.rejections} {
		for r, b := range t.limited() {
			if _, ok := n.updates[r]; !ok && b.Service == service {
				n.updates[r] = pendingUpdate{nextAt: now.Add(refreshInterval), remaining: 1}
			}
		}
	}
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = 500 * time.Millisecond

// sweep deletes what has expired, and creates the states of services that have a limited replica.
// The caller holds n.mu.
func (n *Node) sweep(now time.Time) {
	if now.Before(n.nextSweep) {
		return
	}
	n.nextSweep = now.Add(sweepInterval)
	n.records.sweep(now)
	n.rejections.sweep(now)
	fragile := n.rejections.limited()
	for _, b := range fragile {
		n.service(b.Service, now)
	}
	limited := n.records.limited()
	rates := map[string]float64{}
	for _, b := range limited {
		n.service(b.Service, now)
		rates[b.Service] += Bound{IsLimited: true, PerSecond: b.PerSecond}.rate()
	}
	for x, s := range n.services {
		s.permitRate = rates[x]
		if now.Sub(s.usedAt) > serviceStateTTL && s.permitRate == 0 {
			delete(n.services, x)
			continue
		}
		s.grants.sweep(now, func(r string) bool { return limited[r].IsLimited() || fragile[r].IsLimited() })
	}
	for _, m := range []map[string]time.Time{n.avoid, n.exhaustedUntil} {
		for k, t := range m {
			if now.After(t) {
				delete(m, k)
			}
		}
	}
	for k, t := range n.lastReceived {
		if now.Sub(t) > unusedTTL {
			delete(n.lastReceived, k)
		}
	}
	for k, t := range n.nextShare {
		if now.Sub(t) > unusedTTL {
			delete(n.nextShare, k)
		}
	}
}
