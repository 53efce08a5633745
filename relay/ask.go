package relay

import (
	"context"
	"time"

	"fieldvale/peer"
	"fieldvale/store"
)

const (
	// answerSlack is how much longer an answer may take before another
	// instance, or the store, is asked.
	answerSlack = 150 * time.Millisecond
	// maxValues bounds the values in an answer, in bytes: they have to fit a
	// datagram, and to be encoded for each follower. Larger changes are read
	// from the store.
	maxValues = 24 << 10
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// ask asks one instance what changed and waits for its answer.
func (n *Node) ask(ctx context.Context, m peer.Member, after int64) (answer, bool) {
	return n.waiting.Ask(ctx, n.times.Follow+answerSlack, func(id uint64) error {
		return n.send(m.Addr, message{Question: &question{ID: id, After: after, Wait: n.times.Follow.Milliseconds()}})
	})
}

// send sends a message as one datagram.
func (n *Node) send(addr string, m message) error {
	b, err := encode(m)
	if err != nil {
		return err
	}
	return n.net.Send(addr, b)
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	if m.Question != nil {
		go n.answer(from, *m.Question)
	}
	if m.Answer != nil {
		n.waiting.Deliver(m.Answer.ID, *m.Answer)
	}
}

// answer waits until there is something to say.
func (n *Node) answer(to string, q question) {
	t := time.NewTimer(min(n.times.Follow, time.Duration(q.Wait)*time.Millisecond))
	defer t.Stop()
	for {
		c, changed, s := n.log.since(q.After, n.clock())
		if s != known || len(c.Items) > 0 {
			n.reply(to, q.ID, c, s)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			c, _, s = n.log.since(q.After, n.clock())
			n.reply(to, q.ID, c, s)
			return
		}
	}
}

// reply sends an answer, without its values if they don't fit.
func (n *Node) reply(to string, id uint64, c store.Changes, s status) {
	if size(c.Items) > maxValues {
		c.Items, s = nil, tooLarge
	}
	a := newAnswer(id, c, s)
	if err := n.send(to, message{Answer: &a}); err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}

// size is the bytes of the items' keys and values.
func size(l []store.Item) int {
	n := 0
	for _, i := range l {
		n += len(i.Value) + len(i.Key)
	}
	return n
}
