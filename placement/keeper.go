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

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
}

// NewNode returns the instance with that id, alone as yet.
func NewNode(self string, start uint64, net Transport, clock func() time.Time, log func(event string, fields ...any)) *Node {
	return &Node{
		self: self, ledger: NewLedger(start), net: net, clock: clock, log: log, avoid: map[string]time.Time{}, waiting: reply.New[Choice](start),
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
// the keeper gives no answer in time, or has no replica for it.
func (n *Node) Choose(ctx context.Context, group string, a Request) (Choice, Ticket, bool) {
	k, ok := n.keeper(group)
	if !ok || k.ID == n.self {
		c := n.ledger.Choose(a, n.clock())
		return c, Ticket{keeper: n.self, id: c.Ticket}, c.Index >= 0
	}
	c, ok := n.ask(ctx, k, a)
	if !ok {
		n.pass(k)
		return Choice{}, Ticket{}, false
	}
	if c.Index < 0 || c.Index >= len(a.Replicas) {
		return Choice{}, Ticket{}, false
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
		if r := n.ledger.Lost(m.Lost, Fault(m.Fault), n.clock()); r != "" {
			n.log("replica_avoided", "replica", r, "reason", Fault(m.Fault))
		}
	}
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
