package relay

import (
	"context"
	"time"

	"fieldvale/peer"
	"fieldvale/store"
)

const (
	// answerSlack is how much longer than the requested wait an answer may take before
	// another instance, or the store, is asked.
	answerSlack = 150 * time.Millisecond
	// maxPackedBytes bounds the packed items of an answer, in bytes: 40 followers receive
	// them at once, which takes 0.4 s on a link of 10 Mbit/s, the slowest in use. Larger
	// changes are fetched over connections, which lose no chunk.
	maxPackedBytes = 12 << 10
)

// Transport sends datagrams to other instances. A datagram may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// ask sends a query to an instance and waits up to the timeout for its answer.
func (n *Node) ask(ctx context.Context, q query, m peer.Member, timeout time.Duration) queryResult {
	askedAt := n.clock()
	a, ok := n.pending.Call(ctx, timeout, func(id uint64) error {
		q.ID, q.Unregistered, q.Followers = id, n.isUnregistered(), n.reportedFollowers()
		return n.send(m.Addr, id, message{Query: &q}, nil)
	})
	return queryResult{source: m, answer: a, askedAt: askedAt, wait: time.Duration(q.WaitMs) * time.Millisecond, ok: ok}
}

// queryResult is the result of a query that was sent at askedAt; ok is false if no answer arrived. wait is how long
// the source waits for a change.
type queryResult struct {
	source  peer.Member
	answer  answer
	askedAt time.Time
	wait    time.Duration
	ok      bool
}

// askAll queries the instances at once for the revisions that they have. The results are
// sent in the order of their arrival.
func (n *Node) askAll(ctx context.Context, m []peer.Member, after int64, timeout time.Duration) <-chan queryResult {
	c := make(chan queryResult, len(m))
	for _, x := range m {
		go func() { c <- n.ask(ctx, query{After: after, Peek: true}, x, timeout) }()
	}
	return c
}

// send sends a message, in chunks if it is large. id distinguishes the chunks of the
// messages to one instance.
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

// Receive handles a datagram; from is the address for an answer.
func (n *Node) Receive(from string, b []byte) {
	b, err := n.reassembler.join(from, b)
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
	if m.Query != nil {
		if m.Query.Unregistered {
			n.followers.record(from, m.Query.WaitMs > 0, n.clock())
		}
		if m.Query.Followers > 0 {
			n.followerReports.record(from, m.Query.Followers-1, n.clock())
		}
		if m.Query.Snapshot {
			n.answerSnapshotQuery(from, *m.Query)
			return
		}
		go n.answerQuery(from, *m.Query)
	}
	if m.Answer != nil {
		n.pending.Deliver(m.Answer.ID, *m.Answer)
	}
}

// answerQuery answers once there is a change after the queried revision or the status is
// not statusOK, at the latest after the wait of the query.
func (n *Node) answerQuery(to string, q query) {
	t := time.NewTimer(min(n.timing.PeerWait, time.Duration(q.WaitMs)*time.Millisecond))
	defer t.Stop()
	for {
		c, changed, s := n.changeLog.since(q.After, q.maxHops(), n.clock())
		if s != statusOK || len(c.Items) > 0 {
			n.reply(to, q, c, s)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			c, _, s = n.changeLog.since(q.After, q.maxHops(), n.clock())
			n.reply(to, q, c, s)
			return
		}
	}
}

// answerBytesPerSecond bounds the bytes of answers that an instance sends in a second:
// four fifths of a link of 10 Mbit/s, so that no link is overrun.
const answerBytesPerSecond = 1e6

// awaitLinkCapacity waits until the link has capacity for an answer's items, and returns
// for how long it waited. It returns false at once if the wait is longer than the sender
// of the query waits: an answer that nobody waits for takes capacity from the others.
func (n *Node) awaitLinkCapacity(bytes int) (time.Duration, bool) {
	if bytes == 0 {
		return 0, true
	}
	now := n.clock()
	n.mu.Lock()
	if n.linkFreeAt.Before(now) {
		n.linkFreeAt = now
	}
	d := n.linkFreeAt.Sub(now)
	if d > n.timing.PeerWait {
		n.mu.Unlock()
		return 0, false
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(bytes) / answerBytesPerSecond * float64(time.Second)))
	n.mu.Unlock()
	time.Sleep(d)
	return d, true
}

// reply sends an answer with the changes, or with a status that says why they are left out.
func (n *Node) reply(to string, q query, c store.Changes, s status) {
	var items []byte
	if len(c.Items) > 0 && !q.Peek {
		var err error
		if items, err = n.cache.packedChanges(q.After, c); err != nil {
			n.event("answer_unsent", "to", to, "error", err)
			return
		}
	}
	if len(items) > maxPackedBytes {
		items, s = nil, statusTooLarge
	}
	waited, ok := n.awaitLinkCapacity(len(items))
	if !ok {
		items, s = nil, statusBusy
	}
	a := newAnswer(q.ID, c, s)
	a.AgeMs += waited.Milliseconds()
	a.Hops, a.Followers = n.changeLog.Hops(), n.followers.count(n.clock())
	a.Estimate, a.FleetSize = n.EstimateFleetSize(), n.FleetSize()
	if s == statusTooLarge {
		a.FetchFrom = n.changeTree.parent(to, c.Revision, n.clock())
	}
	if err := n.send(to, q.ID, message{Answer: &a}, items); err != nil {
		n.event("answer_unsent", "to", to, "error", err)
	}
}
