package placement

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldvale/peer"
	"fieldvale/reply"
)

// avoidOwnerFor is how long an owner that did not answer is skipped.
const avoidOwnerFor = time.Second

// Node is this instance's part in placement: it sends requests to the owners of
// groups, and answers those for the groups that it owns itself.
type Node struct {
	self    string
	tracker *LoadTracker
	net     Transport
	clock   func() time.Time
	log     func(event string, fields ...any)
	// waiting are the requests that were sent to owners and not yet answered.
	waiting *reply.Pending[Choice]
	// answered are the latest requests that were answered.
	answered answeredRequests

	mu      sync.Mutex
	members []peer.Member
	// avoidUntil has, by id, the owners that did not answer.
	avoidUntil map[string]time.Time

	open     *openRuns
	takeover *takeovers
}

// NewNode returns the node of the instance with the given id, without other
// members. start is the first number for request ids and tickets.
func NewNode(self string, start uint64, net Transport, clock func() time.Time, log func(event string, fields ...any)) *Node {
	return &Node{
		self: self, tracker: NewLoadTracker(start), net: net, clock: clock, log: log, avoidUntil: map[string]time.Time{}, waiting: reply.New[Choice](start),
		open: newOpenRuns(), takeover: newTakeovers(),
	}
}

// SetMembers replaces the list of the fleet's instances, and reports the open runs of
// groups whose owner changes by that.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	old := n.members
	n.members = m
	now := n.clock()
	maps.DeleteFunc(n.avoidUntil, func(_ string, t time.Time) bool { return !now.Before(t) })
	n.mu.Unlock()
	n.followMembers(old, m)
}

// Members returns the fleet's instances.
func (n *Node) Members() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Ticket identifies a placed prompt in the load tracker of its group's owner.
// The zero value refers to none.
type Ticket struct {
	owner string
	addr  string
	id    uint64
	group string
}

// Choose asks the group's owner for a replica for the prompt. It returns false if
// the owner does not answer in time or has no replica for the prompt.
func (n *Node) Choose(ctx context.Context, group string, r Request) (Choice, Ticket, bool) {
	if r.ByCompletion {
		r.Group = group
	}
	o, ok := n.owner(group)
	if !ok || o.ID == n.self {
		c := n.tracker.Choose(r, n.clock())
		return c, n.placed(group, peer.Member{ID: n.self}, r, c), c.Index >= 0
	}
	c, ok := n.ask(ctx, o, r)
	if !ok {
		// A request that ended while it waited says nothing about the owner.
		if ctx.Err() == nil {
			n.avoidOwner(o)
			n.followSilence(group, o, r)
		}
		return Choice{}, Ticket{}, false
	}
	if c.Index < 0 || c.Index >= len(r.Replicas) || !c.isPlausible() {
		return Choice{}, Ticket{}, false
	}
	return c, n.placed(group, o, r, c), true
}

// ReportPrefilled reports that the replica has prefilled the prompt.
func (n *Node) ReportPrefilled(t Ticket) { n.report(t, message{Prefilled: t.id}) }

// ReportAborted reports that the replica did not serve the prompt, and why.
func (n *Node) ReportAborted(t Ticket, why Fault) {
	n.report(t, message{Aborted: t.id, Fault: int(why)})
}

// ReportEnded reports that the run of the prompt has ended.
func (n *Node) ReportEnded(t Ticket) { n.report(t, message{Ended: t.id}) }

// report sends the state of the ticket to the owners that know its run.
func (n *Node) report(t Ticket, m message) {
	if t.owner == "" {
		return
	}
	for _, o := range n.open.update(t, m) {
		if o.ID == n.self {
			n.endTicket(m)
			continue
		}
		// If the datagram is lost, the owner's load tracker drops the work after
		// a timeout.
		_ = n.net.Send(o.Addr, encode(m))
	}
}

// endTicket applies the reported state of a ticket to the load tracker.
func (n *Node) endTicket(m message) {
	if m.Prefilled != 0 {
		n.tracker.Prefilled(m.Prefilled, n.clock())
	}
	if m.Ended != 0 {
		n.tracker.AnswerEnded(m.Ended, n.clock())
	}
	if m.Aborted != 0 {
		if r := n.tracker.Aborted(m.Aborted, Fault(m.Fault), n.clock()); r != "" {
			n.log("replica_avoided", "replica", r, "reason", Fault(m.Fault))
		}
	}
}

// weight is the rendezvous weight of a member for the group. The member with the
// highest weight owns the group.
func weight(group string, m peer.Member) uint64 { return xxhash.Sum64String(group + "/" + m.ID) }

// owner returns the member with the highest weight for the group among those that
// are not avoided. It returns false if there is none.
func (n *Node) owner(group string) (peer.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	best, b, ok := uint64(0), peer.Member{}, false
	for _, m := range n.members {
		if now.Before(n.avoidUntil[m.ID]) {
			continue
		}
		if w := weight(group, m); !ok || w > best {
			best, b, ok = w, m, true
		}
	}
	return b, ok
}

// avoidOwner skips an owner that did not answer for avoidOwnerFor. Its groups are
// owned by the members with the next highest weights meanwhile.
func (n *Node) avoidOwner(o peer.Member) {
	n.mu.Lock()
	first := !n.clock().Before(n.avoidUntil[o.ID])
	n.avoidUntil[o.ID] = n.clock().Add(avoidOwnerFor)
	n.mu.Unlock()
	if first {
		n.log("keeper_silent", "keeper", o.ID, "addr", o.Addr, "avoided", avoidOwnerFor)
	}
}
