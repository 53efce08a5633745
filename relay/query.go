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
	// maxPacked bounds the packed items of an answer, in bytes: 40 followers get
	// them at once, which takes 0.4 s of a link of 10 Mbit/s, the slowest known.
	// Larger changes are fetched over connections, which lose no piece.
	maxPacked = 12 << 10
)

// Transport sends datagrams to other instances. One may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// ask asks one instance a question about changes and waits so long for its answer.
func (n *Node) ask(ctx context.Context, q question, m peer.Member, patience time.Duration) heard {
	a, ok := n.waiting.Ask(ctx, patience, func(id uint64) error {
		q.ID, q.Unlisted = id, n.unlisted()
		return n.send(m.Addr, id, message{Question: &q}, nil)
	})
	return heard{m, a, ok}
}

// heard is what came of a question; ok is false without an answer.
type heard struct {
	from   peer.Member
	answer answer
	ok     bool
}

// askTogether asks instances at once what they know; the answers come in their own order.
func (n *Node) askTogether(ctx context.Context, m []peer.Member, after int64, patience time.Duration) <-chan heard {
	c := make(chan heard, len(m))
	for _, x := range m {
		go func() { c <- n.ask(ctx, question{After: after, Peek: true}, x, patience) }()
	}
	return c
}

// send sends a message, in pieces if it is large. id tells the pieces of
// messages to one instance apart.
func (n *Node) send(addr string, id uint64, m message, items []byte) error {
	b, err := encode(m, items)
	if err != nil {
		return err
	}
	l, err := split(id, b)
	if err != nil {
		return err
	}
	for _, x := range l {
		if err := n.net.Send(addr, x); err != nil {
			return err
		}
	}
	return nil
}

// Receive takes a datagram in; from is where an answer goes.
func (n *Node) Receive(from string, b []byte) {
	b, err := n.pieces.join(from, b)
	if b == nil && err == nil {
		return
	}
	var m message
	if err == nil {
		m, err = decode(b)
	}
	if err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	if m.Question != nil {
		if m.Question.Unlisted {
			n.followers.saw(from, n.clock())
		}
		if m.Question.Whole {
			n.answerWhole(from, *m.Question)
			return
		}
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
		c, changed, s := n.log.since(q.After, q.maxHops(), n.clock())
		if s != known || len(c.Items) > 0 {
			n.reply(to, q, c, s)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			c, _, s = n.log.since(q.After, q.maxHops(), n.clock())
			n.reply(to, q, c, s)
			return
		}
	}
}

// answerRate is how many bytes of answers an instance sends in a second at most: four
// fifths of a link of 10 Mbit/s, so that none overruns it.
const answerRate = 1e6

// awaitLink waits until the link has room for an answer's items, and returns for how
// long. It reports false at once where the one that asked would not wait so long: an
// answer to nobody only keeps the link from the others.
func (n *Node) awaitLink(bytes int) (time.Duration, bool) {
	if bytes == 0 {
		return 0, true
	}
	now := n.clock()
	n.mu.Lock()
	if n.linkFree.Before(now) {
		n.linkFree = now
	}
	d := n.linkFree.Sub(now)
	if d > n.times.Follow {
		n.mu.Unlock()
		return 0, false
	}
	n.linkFree = n.linkFree.Add(time.Duration(float64(bytes) / answerRate * float64(time.Second)))
	n.mu.Unlock()
	time.Sleep(d)
	return d, true
}

// reply sends what there is to say.
func (n *Node) reply(to string, q question, c store.Changes, s status) {
	var items []byte
	if len(c.Items) > 0 && !q.Peek {
		var err error
		if items, err = n.packs.of(q.After, c); err != nil {
			n.event("answer_unsent", "to", to, "error", err)
			return
		}
	}
	if len(items) > maxPacked {
		items, s = nil, tooLarge
	}
	waited, ok := n.awaitLink(len(items))
	if !ok {
		items, s = nil, busy
	}
	a := newAnswer(q.ID, c, s)
	a.Age += waited.Milliseconds()
	a.Hops, a.Followers = n.log.Hops(), n.followers.count(n.clock())
	if s == tooLarge {
		a.Instead = n.changeTree.parent(to, c.Revision, n.clock())
	}
	if err := n.send(to, q.ID, message{Answer: &a}, items); err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}
