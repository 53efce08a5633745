package placement

import (
	"context"
	"sync"
	"time"

	"fieldvale/peer"
)

// answerTimeout bounds the wait for an owner's answer. It is several times the
// round trip between data centres of one region plus the owner's work, and
// short compared with the prefill of the prompts that are placed.
const answerTimeout = 25 * time.Millisecond

// Transport sends datagrams to other instances. Datagrams may be lost.
type Transport interface {
	Send(addr string, b []byte) error
}

// ask sends the request to the group's owner and waits for its choice.
func (n *Node) ask(ctx context.Context, owner peer.Member, r Request) (Choice, bool) {
	return n.waiting.Call(ctx, answerTimeout, func(id uint64) error {
		return n.net.Send(owner.Addr, encode(message{RequestID: id, Request: newWireRequest(r)}))
	})
}

// Receive handles a datagram of another instance; an answer is sent to the
// address from.
func (n *Node) Receive(from string, b []byte) {
	m, err := decode(b)
	if err != nil {
		n.log("datagram_unreadable", "from", from, "error", err)
		return
	}
	switch {
	case m.Request != nil:
		c := n.chooseFor(from, m.Request.request())
		_ = n.net.Send(from, encode(message{RequestID: m.RequestID, Choice: (*wireChoice)(&c)}))
	case m.Choice != nil:
		n.deliver(from, m.RequestID, Choice(*m.Choice))
	case m.Group != "":
		n.receiveRuns(from, m)
	default:
		n.endTicket(m)
	}
}

// chooseFor places the request of another instance. There is no choice for one with implausible
// numbers; that instance then chooses by its own load.
func (n *Node) chooseFor(from string, r Request) Choice {
	if !r.isPlausible() {
		n.log("datagram_unreadable", "from", from, "error", errImplausible)
		return Choice{Index: -1}
	}
	return n.tracker.Choose(r, n.clock())
}

// deliver passes a choice to the caller that waits for it. If the caller has
// timed out, it has placed the prompt elsewhere, so the owner is sent an abort
// of the ticket and stops counting the work.
//
// A datagram may arrive twice. The second copy of an answer is ignored, since the ticket may be in
// use. The answer to a second copy of the request has another ticket, which is aborted.
func (n *Node) deliver(from string, requestID uint64, c Choice) {
	ticket, isRepeated := n.answered.add(requestID, c.Ticket)
	if isRepeated && ticket == c.Ticket {
		return
	}
	if (isRepeated || !n.waiting.Deliver(requestID, c)) && c.Index >= 0 {
		_ = n.net.Send(from, encode(message{Aborted: c.Ticket}))
	}
}

// answeredRequests has the latest requests for which a choice arrived, with its ticket. It is safe
// for concurrent use. The number is that of a second at an instance with 256 requests a second, which
// is far more than second copies are late by.
type answeredRequests struct {
	mu      sync.Mutex
	latest  [256]answeredRequest
	nextPos int
}

type answeredRequest struct{ id, ticket uint64 }

// add records the ticket of the first choice for the request. For further ones it returns that
// ticket and true.
func (a *answeredRequests) add(id, ticket uint64) (first uint64, isRepeated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.latest {
		if x.id == id && id != 0 {
			return x.ticket, true
		}
	}
	a.latest[a.nextPos] = answeredRequest{id, ticket}
	a.nextPos = (a.nextPos + 1) % len(a.latest)
	return ticket, false
}
