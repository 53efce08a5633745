package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/peer"
)

const (
	// heartbeatsToExpiry is the number of heartbeat intervals after which an instance
	// that has sent no heartbeat is removed.
	heartbeatsToExpiry = 4
	// partnerRetryDelay is the delay before the next exchange with a partner that
	// failed.
	partnerRetryDelay = 3 * time.Second
	// entryTimeout is how long after its last report the entry counts as alive.
	entryTimeout = 3 * time.Second
	// storeTimeout is how long, in addition to the poll interval, the store counts
	// as reachable after the last successful call.
	storeTimeout = 5 * time.Second
)

// publishHeartbeat publishes a heartbeat of this instance to its peers.
func (n *Node) publishHeartbeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishHeartbeatLocked()
}

// publishHeartbeatLocked is publishHeartbeat for callers that hold the mutex.
func (n *Node) publishHeartbeatLocked() {
	t := n.Clock()
	h := peer.Heartbeat{
		Addr: n.Self.Addr, DataCentre: n.Self.DataCentre, Incarnation: n.Incarnation,
		EntryIncarnation: n.entry.incarnation, Revision: n.doc.Revision, EntryRevision: n.entry.revision,
		StoreOK: n.storeOK(t), EntryOK: n.entryOK(t), Stopping: n.stopping,
		LedgerUpto: n.entryStoredUpto(), Alarms: n.alarms(t),
	}
	b, err := codec.EncodeHeartbeat(h)
	if err != nil {
		n.log("heartbeat_failed", "error", err)
		return
	}
	n.cachedMembersUntil = time.Time{}
	k := peer.Key{Kind: peer.Instance, Name: n.Self.ID}
	n.table.Put(peer.Item{Key: k, Version: uint64(t.UnixNano()), Value: b, Expires: t.Add(heartbeatsToExpiry * n.heartbeatInterval())}, "", t)
}

// heartbeatInterval returns the heartbeat interval. It grows with the number of
// items in the peer table, so that the heartbeats of all instances together cost
// each instance the same at any fleet size.
func (n *Node) heartbeatInterval() time.Duration {
	return max(n.Times.Heartbeat, time.Duration(n.table.Len())*n.Times.HeartbeatPerItem)
}

// publishHeartbeatIfDue removes expired items and publishes a heartbeat if the
// last one is due for renewal.
func (n *Node) publishHeartbeatIfDue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	n.table.Expire(t)
	n.view++
	k := peer.Key{Kind: peer.Instance, Name: n.Self.ID}
	if i, ok := n.table.Get(k, t); ok && t.Before(nextHeartbeatAt(i)) {
		return
	}
	n.publishHeartbeatLocked()
}

// nextHeartbeatAt returns when a heartbeat must be renewed. Its time to live was
// computed from the interval in use when it was sent. The interval may have grown
// with the fleet since, so that the current one would renew it too late.
func nextHeartbeatAt(i peer.Item) time.Time {
	s := time.Unix(0, int64(i.Version))
	return s.Add(i.Expires.Sub(s) / heartbeatsToExpiry)
}

// storeOK reports whether the store counts as reachable at t.
func (n *Node) storeOK(t time.Time) bool {
	return t.Before(n.storeOKAt.Add(n.Times.Poll + storeTimeout))
}

// entryOK reports whether the entry counts as alive at t.
func (n *Node) entryOK(t time.Time) bool {
	return t.Before(n.entry.reportedAt.Add(entryTimeout))
}

// alarms returns a message for an operator for each fault of this instance.
func (n *Node) alarms(t time.Time) []string {
	var a []string
	if !n.storeOK(t) {
		a = append(a, "the store has not been reached since "+sinceText(n.storeOKAt)+"; serving with the configuration held")
	}
	if !n.entryOK(t) {
		a = append(a, "the entry process is not heard")
	}
	if n.fromPeers {
		a = append(a, "the configuration in force came from peers and has not been seen in the store")
	}
	if n.storeOlder {
		a = append(a, "the store held an older configuration than the one in force; it was not taken")
	}
	if n.heldBills.Dropped > 0 {
		a = append(a, "bill records were dropped because the store is out for too long")
	}
	if n.doc.Revision == 0 {
		a = append(a, "no configuration is in force")
	}
	return a
}

// sinceText formats t for an alarm; the zero time means since the node started.
func sinceText(t time.Time) string {
	if t.IsZero() {
		return "the start"
	}
	return t.UTC().Format(time.RFC3339)
}

// InstanceHeartbeat is the last heartbeat of an instance.
type InstanceHeartbeat struct {
	ID string
	peer.Heartbeat
	// SentAt is when the heartbeat was sent, by the sender's clock.
	SentAt time.Time
}

// Instances returns the last heartbeats of all live instances, this one included.
func (n *Node) Instances() []InstanceHeartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instances()
}

// instances is Instances for callers that hold the mutex.
func (n *Node) instances() []InstanceHeartbeat {
	var r []InstanceHeartbeat
	for _, i := range n.table.All(peer.Instance, n.Clock()) {
		h, err := codec.DecodeHeartbeat(i.Value)
		if err != nil {
			n.log("bad_heartbeat", "peer", i.Key.Name, "error", err)
			continue
		}
		r = append(r, InstanceHeartbeat{ID: i.Key.Name, Heartbeat: h, SentAt: time.Unix(0, int64(i.Version))})
	}
	return r
}

// Members returns the live instances that are not stopping, and this instance
// even if it is.
func (n *Node) Members() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members()
}

// members is Members for callers that hold the mutex. The list is cached.
func (n *Node) members() []peer.Member {
	if t := n.Clock(); t.Before(n.cachedMembersUntil) {
		return n.cachedMembers
	}
	n.cachedMembers, n.cachedMembersUntil = n.readMembers(), n.Clock().Add(membersCacheTTL)
	return n.cachedMembers
}

// membersCacheTTL is how long the list of members is cached. It is needed many
// times a second, and building it costs time in proportion to the fleet.
const membersCacheTTL = 250 * time.Millisecond

// readMembers builds the list of members from the heartbeats.
func (n *Node) readMembers() []peer.Member {
	var r []peer.Member
	for _, h := range n.instances() {
		if !h.Stopping || h.ID == n.Self.ID {
			r = append(r, peer.Member{ID: h.ID, Addr: h.Addr, DataCentre: h.DataCentre})
		}
	}
	return r
}

// knownMembers returns the live members and the instances that are registered with
// the platform, which may not have sent a heartbeat yet.
func (n *Node) knownMembers() []peer.Member {
	r := slices.Clone(n.members())
	h := map[string]bool{}
	for _, m := range r {
		h[m.ID] = true
	}
	for _, m := range n.registered {
		if !h[m.ID] {
			r = append(r, m)
		}
	}
	return r
}

// triggerExchange starts the next round of exchanges at once instead of at the next
// interval.
func (n *Node) triggerExchange() { n.exchangeNow.TryPut(struct{}{}) }

// exchangeRounds exchanges items with the partners at every interval, and at once
// after an urgent change, until ctx ends.
func (n *Node) exchangeRounds(ctx context.Context) {
	t := time.NewTicker(n.Times.Exchange)
	defer t.Stop()
	for {
		n.exchange(ctx)
		select {
		case <-t.C:
		case <-n.exchangeNow.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// exchange makes one round of exchanges with all partners in parallel.
func (n *Node) exchange(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range n.partners() {
		g.Go(func() { n.exchangeWith(ctx, m) })
	}
	g.Wait()
}

// partners returns the instances for the next round. Partners that failed
// recently are replaced by others.
func (n *Node) partners() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	var r []peer.Member
	for _, m := range n.knownMembers() {
		if m.ID == n.Self.ID || !t.Before(n.cursors[m.ID].RetryAt) {
			r = append(r, m)
		}
	}
	return peer.Partners(n.Self.ID, r)
}

// exchangeWith sends the partner the items that it lacks and applies its reply.
func (n *Node) exchangeWith(ctx context.Context, m peer.Member) {
	n.mu.Lock()
	c := n.cursors[m.ID]
	q, s := n.table.BuildMessage(n.Self.ID, n.Incarnation, m.ID, c, n.Clock())
	q.Revision = n.doc.Revision
	n.mu.Unlock()
	x, cancel := n.call(ctx)
	defer cancel()
	r, err := n.Peers.Exchange(x, m, q)
	n.mu.Lock()
	if err != nil {
		c.RetryAt = n.Clock().Add(partnerRetryDelay)
		n.cursors[m.ID] = c
		n.mu.Unlock()
		n.log("exchange_failed", "peer", m.ID, "error", err)
		return
	}
	c, changed := n.table.HandleReply(m.ID, c, s, r, n.Clock())
	n.cursors[m.ID] = c
	n.mu.Unlock()
	n.handlePeerUpdate(m, r.Revision, changed)
}

// Exchange handles the message of a peer that started an exchange and returns
// the reply.
func (n *Node) Exchange(m peer.Message) peer.Reply {
	n.mu.Lock()
	r, changed := n.table.HandleMessage(n.Incarnation, m, n.Clock())
	r.Revision = n.doc.Revision
	var from peer.Member
	for _, x := range n.knownMembers() {
		if x.ID == m.From {
			from = x
		}
	}
	n.mu.Unlock()
	n.handlePeerUpdate(from, m.Revision, changed)
	return r
}

// handlePeerUpdate acts on a peer's message or reply: it queues a fetch of the
// peer's configuration if its revision is higher, and applies the items if any has
// changed. Urgent changes are sent on to the partners at once.
func (n *Node) handlePeerUpdate(from peer.Member, revision uint64, changed bool) {
	n.mu.Lock()
	newer := revision > n.doc.Revision
	n.mu.Unlock()
	if newer && from.Addr != "" {
		n.fetches.TryPut(from)
	}
	if !changed {
		return
	}
	n.mu.Lock()
	n.view++
	n.cachedMembersUntil = time.Time{}
	n.mu.Unlock()
	if n.applyItems() {
		n.triggerExchange()
	}
}
