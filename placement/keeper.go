package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldvale/peer"
)

const (
	// answerWithin bounds the wait for a keeper's answer: the round trip
	// between data centres of a region and its work, several times over, and
	// little beside the prompts for which it is asked.
	answerWithin = 25 * time.Millisecond
	// avoidFor is how long a keeper that gave no answer is passed over.
	avoidFor = time.Second
	// groupSize is how many replicas a group should have: enough for a
	// choice, few enough for one instance to keep.
	groupSize = 32
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// Node asks keepers and is one.
type Node struct {
	self   string
	ledger *Ledger
	net    Transport
	clock  func() time.Time
	log    func(event string, fields ...any)

	mu      sync.Mutex
	members []peer.Member
	avoid   map[string]time.Time
	next    uint64
	waiting map[uint64]chan Choice
}

// NewNode returns the instance with that id, alone as yet.
func NewNode(self string, start uint64, net Transport, clock func() time.Time, log func(event string, fields ...any)) *Node {
	return &Node{self: self, ledger: NewLedger(start), net: net, clock: clock, log: log, avoid: map[string]time.Time{}, next: start, waiting: map[uint64]chan Choice{}}
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

// Groups returns how many groups a service with so many replicas has.
func Groups(replicas int) int { return max(1, (replicas+groupSize/2)/groupSize) }

// Choose asks the keeper of the group where the prompt should go. It fails if
// the keeper gives no answer in time.
func (n *Node) Choose(ctx context.Context, group string, a Ask) (Choice, Ticket, bool) {
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

// Read says that the prompt was read, or came to nothing.
func (n *Node) Read(t Ticket) {
	switch t.keeper {
	case "":
	case n.self:
		n.ledger.Read(t.id)
	default:
		// A lost notice costs nothing but the ledger's patience.
		_ = n.net.Send(t.addr, encode(message{Read: t.id}))
	}
}

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
		if w := xxhash.Sum64String(group + "/" + m.ID); !ok || w > best {
			best, b, ok = w, m, true
		}
	}
	return b, ok
}

func (n *Node) pass(k peer.Member) {
	n.mu.Lock()
	first := !n.clock().Before(n.avoid[k.ID])
	n.avoid[k.ID] = n.clock().Add(avoidFor)
	n.mu.Unlock()
	if first {
		n.log("keeper_silent", "keeper", k.ID, "addr", k.Addr, "avoided", avoidFor)
	}
}

func (n *Node) ask(ctx context.Context, k peer.Member, a Ask) (Choice, bool) {
	c := make(chan Choice, 1)
	n.mu.Lock()
	n.next++
	id := n.next
	n.waiting[id] = c
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.waiting, id)
		n.mu.Unlock()
	}()
	if err := n.net.Send(k.Addr, encode(message{Question: id, Ask: &a})); err != nil {
		return Choice{}, false
	}
	t := time.NewTimer(answerWithin)
	defer t.Stop()
	select {
	case x := <-c:
		return x, true
	case <-t.C:
	case <-ctx.Done():
	}
	return Choice{}, false
}

// message is what instances say to each other about placement: a question,
// its answer, or the end of a ticket.
type message struct {
	Question uint64  `json:"q,omitempty"`
	Ask      *Ask    `json:"a,omitempty"`
	Choice   *Choice `json:"c,omitempty"`
	Read     uint64  `json:"r,omitempty"`
}

// encode can't fail: a message has numbers and texts only.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		n.log("datagram_unreadable", "from", from, "error", err)
		return
	}
	switch {
	case m.Ask != nil:
		c := n.ledger.Choose(*m.Ask, n.clock())
		_ = n.net.Send(from, encode(message{Question: m.Question, Choice: &c}))
	case m.Choice != nil:
		n.mu.Lock()
		c := n.waiting[m.Question]
		n.mu.Unlock()
		if c != nil {
			select {
			case c <- *m.Choice:
			default:
			}
			return
		}
		// Too late: the asker has gone elsewhere, and the work with it.
		_ = n.net.Send(from, encode(message{Read: m.Choice.Ticket}))
	case m.Read != 0:
		n.ledger.Read(m.Read)
	}
}
