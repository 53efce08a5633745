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
	// beatLives is how many heartbeats may be missed before an instance
	// counts as gone.
	beatLives = 4
	// partnerPause is how long a partner that failed is left alone.
	partnerPause = 3 * time.Second
	// entryLife is how long after its last word an entry counts as alive.
	entryLife = 3 * time.Second
	// storeLife is how long after the last good call the store counts as
	// reached, beside the poll's own interval.
	storeLife = 5 * time.Second
)

// beat tells of this instance.
func (n *Node) beat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beatLocked()
}

func (n *Node) beatLocked() {
	t := n.Clock()
	h := peer.Heartbeat{
		Addr: n.Self.Addr, DataCentre: n.Self.DataCentre, Incarnation: n.Incarnation,
		EntryIncarnation: n.entry.incarnation, Revision: n.doc.Revision, EntryRevision: n.entry.revision,
		StoreOK: n.storeOK(t), EntryOK: n.entryOK(t), Stopping: n.stopping,
		LedgerUpto: n.flushedUpto(), Alarms: n.alarms(t),
	}
	b, err := codec.EncodeHeartbeat(h)
	if err != nil {
		n.log("heartbeat_failed", "error", err)
		return
	}
	n.membersUntil = time.Time{}
	k := peer.Key{Kind: peer.Instance, Name: n.Self.ID}
	n.table.Put(peer.Item{Key: k, Version: uint64(t.UnixNano()), Value: b, Expires: t.Add(beatLives * n.beatEvery())}, "", t)
}

// beatEvery grows with the fleet, so that all heartbeats together cost each
// instance the same at any size.
func (n *Node) beatEvery() time.Duration {
	return max(n.Times.Beat, time.Duration(n.table.Len())*n.Times.BeatPerPeer)
}

func (n *Node) beatIfDue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	n.table.Expire(t)
	n.view++
	k := peer.Key{Kind: peer.Instance, Name: n.Self.ID}
	if i, ok := n.table.Get(k, t); ok && t.Before(nextBeat(i)) {
		return
	}
	n.beatLocked()
}

// nextBeat is when a heartbeat must be followed by the next: it was sent for
// beatLives intervals of the fleet's size at that time, which may have grown.
func nextBeat(i peer.Item) time.Time {
	s := time.Unix(0, int64(i.Version))
	return s.Add(i.Expires.Sub(s) / beatLives)
}

func (n *Node) storeOK(t time.Time) bool {
	return t.Before(n.storeOKAt.Add(n.Times.Poll + storeLife))
}

func (n *Node) entryOK(t time.Time) bool {
	return t.Before(n.entry.heardAt.Add(entryLife))
}

// alarms tells, in words, what is not as it should be.
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
	if n.book.Dropped > 0 {
		a = append(a, "bill records were dropped because the store is out for too long")
	}
	if n.doc.Revision == 0 {
		a = append(a, "no configuration is in force")
	}
	return a
}

func sinceText(t time.Time) string {
	if t.IsZero() {
		return "the start"
	}
	return t.UTC().Format(time.RFC3339)
}

// Heard is one instance as it last told of itself.
type Heard struct {
	ID string
	peer.Heartbeat
	At time.Time
}

// Instances returns what is known of all live instances, this one included.
func (n *Node) Instances() []Heard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instances()
}

func (n *Node) instances() []Heard {
	var r []Heard
	for _, i := range n.table.All(peer.Instance, n.Clock()) {
		h, err := codec.DecodeHeartbeat(i.Value)
		if err != nil {
			n.log("bad_heartbeat", "peer", i.Key.Name, "error", err)
			continue
		}
		r = append(r, Heard{ID: i.Key.Name, Heartbeat: h, At: time.Unix(0, int64(i.Version))})
	}
	return r
}

// Members returns the live instances that are not stopping.
func (n *Node) Members() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members()
}

func (n *Node) members() []peer.Member {
	if t := n.Clock(); t.Before(n.membersUntil) {
		return n.lastMembers
	}
	n.lastMembers, n.membersUntil = n.readMembers(), n.Clock().Add(membersLife)
	return n.lastMembers
}

// membersLife is how long a list of members serves: it is asked for many
// times a second, and reading it costs more the more there are.
const membersLife = 250 * time.Millisecond

func (n *Node) readMembers() []peer.Member {
	var r []peer.Member
	for _, h := range n.instances() {
		if !h.Stopping || h.ID == n.Self.ID {
			r = append(r, peer.Member{ID: h.ID, Addr: h.Addr, DataCentre: h.DataCentre})
		}
	}
	return r
}

// known returns live instances and those that the platform lists, which may
// not have been heard yet.
func (n *Node) known() []peer.Member {
	r := slices.Clone(n.members())
	h := map[string]bool{}
	for _, m := range r {
		h[m.ID] = true
	}
	for _, m := range n.listed {
		if !h[m.ID] {
			r = append(r, m)
		}
	}
	return r
}

// hurry starts the next exchange at once.
func (n *Node) hurry() { n.kick.Offer(struct{}{}) }

// exchangeRounds swaps facts with partners, every interval and whenever there
// is something that can't wait.
func (n *Node) exchangeRounds(ctx context.Context) {
	t := time.NewTicker(n.Times.Exchange)
	defer t.Stop()
	for {
		n.exchange(ctx)
		select {
		case <-t.C:
		case <-n.kick.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// exchange makes one round with all partners at once.
func (n *Node) exchange(ctx context.Context) {
	var g sync.WaitGroup
	for _, m := range n.partners() {
		g.Go(func() { n.exchangeWith(ctx, m) })
	}
	g.Wait()
}

func (n *Node) partners() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	var r []peer.Member
	for _, m := range n.known() {
		if m.ID == n.Self.ID || !t.Before(n.cursors[m.ID].RetryAt) {
			r = append(r, m)
		}
	}
	return peer.Partners(n.Self.ID, r)
}

func (n *Node) exchangeWith(ctx context.Context, m peer.Member) {
	n.mu.Lock()
	c := n.cursors[m.ID]
	q, s := n.table.Ask(n.Self.ID, n.Incarnation, m.ID, c, n.Clock())
	q.Revision = n.doc.Revision
	n.mu.Unlock()
	x, cancel := n.call(ctx)
	defer cancel()
	r, err := n.Peers.Exchange(x, m, q)
	n.mu.Lock()
	if err != nil {
		c.RetryAt = n.Clock().Add(partnerPause)
		n.cursors[m.ID] = c
		n.mu.Unlock()
		n.log("exchange_failed", "peer", m.ID, "error", err)
		return
	}
	c, news := n.table.Learn(m.ID, c, s, r, n.Clock())
	n.cursors[m.ID] = c
	n.mu.Unlock()
	n.learnt(m, r.Revision, news)
}

// Exchange answers a peer's half of an exchange.
func (n *Node) Exchange(m peer.Message) peer.Reply {
	n.mu.Lock()
	r, news := n.table.Answer(n.Incarnation, m, n.Clock())
	r.Revision = n.doc.Revision
	var from peer.Member
	for _, x := range n.known() {
		if x.ID == m.From {
			from = x
		}
	}
	n.mu.Unlock()
	n.learnt(from, m.Revision, news)
	return r
}

// learnt acts on what a peer said: a newer revision is fetched from it, and
// news that can't wait is passed on at once.
func (n *Node) learnt(from peer.Member, revision uint64, news bool) {
	n.mu.Lock()
	newer := revision > n.doc.Revision
	n.mu.Unlock()
	if newer && from.Addr != "" {
		n.fetches.Offer(from)
	}
	if !news {
		return
	}
	n.mu.Lock()
	n.view++
	n.membersUntil = time.Time{}
	n.mu.Unlock()
	if n.applyFacts() {
		n.hurry()
	}
}
