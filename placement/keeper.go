package placement

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldvale/peer"
	"fieldvale/reply"
)

// avoidFor is how long a keeper that gave no answer is passed over.
const avoidFor = time.Second

// Node asks keepers and is one.
type Node struct {
	self   string
	ledger *Ledger
	net    Transport
	clock  func() time.Time
	log    func(event string, fields ...any)
	// waiting are the questions to keepers.
	waiting *reply.Waiters[Choice]

	// settledAt is when an instance that has just started may rely on its list, and
	// has sent nothing that it forgot. isCurrent reports whether the list was
	// confirmed lately.
	settledAt time.Time
	isCurrent func() bool

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
}

// settleMargin is how much longer than a change takes to be known everywhere an
// instance that has started waits before it sends to cold replicas: when all start at
// once, the last ones announce themselves some two seconds after the first.
const settleMargin = 2 * time.Second

// NewNode returns the instance with that id, alone as yet. isCurrent reports whether
// what it knows of the fleet was confirmed lately; a change is known everywhere
// within knownWithin.
func NewNode(self string, start uint64, net Transport, clock func() time.Time, knownWithin time.Duration, isCurrent func() bool, log func(event string, fields ...any)) *Node {
	return &Node{
		self: self, ledger: NewLedger(start), net: net, clock: clock, log: log, avoid: map[string]time.Time{}, waiting: reply.New[Choice](start),
		settledAt: clock().Add(knownWithin + settleMargin), isCurrent: isCurrent,
	}
}

// SetMembers replaces the list of the fleet's instances.
func (n *Node) SetMembers(m []peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = m
}

// Members returns the fleet's instances.
func (n *Node) Members() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Ticket is a place in some keeper's ledger. The zero value is none.
type Ticket struct {
	keeper string
	addr   string
	id     uint64
}

// Choose asks the keeper of the group where the prompt should go. It fails if
// the keeper gives no answer in time; one that has no replica for it is an answer.
func (n *Node) Choose(ctx context.Context, group string, a Ask) (Choice, Ticket, bool) {
	k, ok := n.keeper(group)
	if !ok || k.ID == n.self {
		c := n.choose(group, a)
		return c, Ticket{keeper: n.self, id: c.Ticket}, true
	}
	c, ok := n.ask(ctx, k, group, a)
	if !ok {
		n.pass(k)
		return Choice{}, Ticket{}, false
	}
	if c.Index >= len(a.Replicas) {
		return Choice{}, Ticket{}, false
	}
	if c.Index < 0 {
		return c, Ticket{}, true
	}
	return c, Ticket{keeper: k.ID, addr: k.Addr, id: c.Ticket}, true
}

// Read says that the prompt was read.
func (n *Node) Read(t Ticket) { n.end(t, message{Read: t.id}) }

// Lost says that the prompt came to nothing.
func (n *Node) Lost(t Ticket, why Fault) { n.end(t, message{Lost: t.id, Fault: int(why)}) }

// end tells the ticket's keeper.
func (n *Node) end(t Ticket, m message) {
	switch t.keeper {
	case "":
	case n.self:
		n.ended(m)
	default:
		// If the datagram is lost, the ledger forgets the work after a time.
		_ = n.net.Send(t.addr, encode(m))
	}
}

// ended takes the end of a ticket in.
func (n *Node) ended(m message) {
	if m.Read != 0 {
		n.ledger.Read(m.Read, n.clock())
	}
	if m.Lost != 0 {
		t := n.ledger.Lost(m.Lost, Fault(m.Fault), n.clock())
		if t.Avoided {
			n.log("replica_avoided", "replica", t.Replica, "reason", Fault(m.Fault))
		}
		if t.MayBeCold {
			n.log("replica_may_be_cold", "replica", t.Replica, "reason", Fault(m.Fault), "left", SuspectFor)
		}
	}
}

// choose places a prompt of the group by this instance's own ledger.
func (n *Node) choose(group string, a Ask) Choice {
	return n.ledger.Choose(a, a.Cold != 0 && n.isOnly(group), n.clock())
}

// isOnly reports whether this instance is the one keeper of the group, as far as can
// be known: the first of its list, which is current, and not just started. Others may
// ask an instance that comes after a silent one; that one may be sending still.
func (n *Node) isOnly(group string) bool {
	if n.clock().Before(n.settledAt) || !n.isCurrent() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	best, first := uint64(0), ""
	for _, m := range n.members {
		if w := rank(group, m); first == "" || w > best {
			best, first = w, m.ID
		}
	}
	return first == n.self
}

// rank orders a group's keepers, the highest first.
func rank(group string, m peer.Member) uint64 { return xxhash.Sum64String(group + "/" + m.ID) }

// keeper is the member with the group's highest hash that answers.
func (n *Node) keeper(group string) (peer.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	best, b, ok := uint64(0), peer.Member{}, false
	for _, m := range n.members {
		if now.Before(n.avoid[m.ID]) {
			continue
		}
		if w := rank(group, m); !ok || w > best {
			best, b, ok = w, m, true
		}
	}
	return b, ok
}

// pass leaves a silent keeper out for some time.
func (n *Node) pass(k peer.Member) {
	n.mu.Lock()
	first := !n.clock().Before(n.avoid[k.ID])
	n.avoid[k.ID] = n.clock().Add(avoidFor)
	n.mu.Unlock()
	if first {
		n.log("keeper_silent", "keeper", k.ID, "addr", k.Addr, "avoided", avoidFor)
	}
}
