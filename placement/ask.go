package placement

import (
	"context"
	"time"

	"fieldvale/peer"
)

// answerWithin bounds the wait for a keeper's answer: the round trip
// between data centres of a region and its work, several times over, and
// little beside the prompts for which it is asked.
const answerWithin = 25 * time.Millisecond

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// ask asks the keeper and waits for its answer.
func (n *Node) ask(ctx context.Context, k peer.Member, a Request) (Choice, bool) {
	return n.waiting.Ask(ctx, answerWithin, func(id uint64) error {
		return n.net.Send(k.Addr, encode(message{Question: id, Ask: newWireAsk(a)}))
	})
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err != nil {
		n.log("datagram_unreadable", "from", from, "error", err)
		return
	}
	switch {
	case m.Ask != nil:
		c := n.ledger.Choose(m.Ask.ask(), n.clock())
		_ = n.net.Send(from, encode(message{Question: m.Question, Choice: (*wireChoice)(&c)}))
	case m.Choice != nil:
		n.deliver(from, m.Question, Choice(*m.Choice))
	default:
		n.ended(m)
	}
}

// deliver hands an answer to who waits for it. One that comes too late is
// given back: the asker has gone elsewhere, and the work with it.
func (n *Node) deliver(from string, question uint64, c Choice) {
	if !n.waiting.Deliver(question, c) && c.Index >= 0 {
		_ = n.net.Send(from, encode(message{Lost: c.Ticket}))
	}
}
