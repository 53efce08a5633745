package quota

import (
	"context"
	"time"

	"fieldvale/peer"
)

// Candidate is a replica that a request might go to.
type Candidate struct {
	Replica string
	Bound   Bound
	// ReportsCold says that the replica itself says that it is cold; one that only may be
	// has ColdPerSecond without it.
	ReportsCold bool
}

// ranks are those of requests, 0 the most urgent.
const ranks = 10

// PermitRequest is a request's question for one of a service's replicas.
type PermitRequest struct {
	Service string
	// Candidates are the replicas that it might go to, the preferred first.
	Candidates []Candidate
	// Priority is the request's, from 0 for the most urgent to 9.
	Priority int
	// OnlyBounded says that no replica without a bound is left for it.
	OnlyBounded bool
}

// PermitResult is the answer.
type PermitResult struct {
	// Index is of the candidate that the request may be sent to; below 0 there is none.
	Index int
	// Reason says what keeps it from the first one, By who decided.
	Reason    Reason
	DecidedBy string
	// RetryAt is when to come back if there is none; zero if that is not known.
	RetryAt time.Time
	Ticket  Ticket
}

// Ticket is a request that was counted. The zero value is none.
type Ticket struct {
	by, addr         string
	service, replica string
}

// Take asks for the right to send the request to one of the candidates. Where who counts
// can't be asked, this instance allows itself its share.
func (n *Node) Take(ctx context.Context, a PermitRequest) PermitResult {
	now := n.Clock()
	if n.Net != nil {
		if v, ok := n.takeOfFleet(ctx, a); ok {
			n.decided(a.Service)
			return v
		}
		now = n.Clock()
		if !n.isAbandoned(a.Service, now) {
			return PermitResult{Index: -1, Reason: Undecided, RetryAt: now.Add(undecidedRetry)}
		}
	}
	return n.takeShare(a, now)
}

// undecidedRetry is when a request may come back for which nobody could be asked: who counts
// is missed for two seconds at most.
const undecidedRetry = 500 * time.Millisecond

// takeOfFleet asks who counts; false if nobody does.
func (n *Node) takeOfFleet(ctx context.Context, a PermitRequest) (PermitResult, bool) {
	asked := 0
	for _, m := range n.keepers(a.Service) {
		if m.ID == n.Self {
			if v, ok := n.decide(a, n.beliefsOf(a)); ok {
				return n.verdict(v, a, m), true
			}
			continue
		}
		if asked++; asked > mostAsked {
			break
		}
		w, ok := n.ask(ctx, m, a)
		if !ok {
			n.pass(m)
			continue
		}
		if !w.Counts {
			continue
		}
		n.learn(w.Beliefs)
		return n.verdict(w, a, m), true
	}
	return PermitResult{}, false
}

const (
	// answerWithin bounds the wait for who counts: the round trip between data centres of a
	// region and its work, several times over.
	answerWithin = 25 * time.Millisecond
	// askTries is how often one is asked, and mostAsked how many are.
	askTries  = 2
	mostAsked = 2
	// avoidFor is how long one that gave no answer is passed over.
	avoidFor = time.Second
)

func (n *Node) ask(ctx context.Context, m peer.Member, a PermitRequest) (wireAnswer, bool) {
	q := newWireAsk(a, n.beliefsOf(a), n.Clock())
	for range askTries {
		w, ok := n.waiting.Ask(ctx, answerWithin, func(id uint64) error {
			return n.Net.Send(m.Addr, encode(message{Question: id, From: n.Self, Ask: q}))
		})
		if ok {
			return w, true
		}
	}
	return wireAnswer{}, false
}

// beliefsOf returns what is believed of the candidates.
func (n *Node) beliefsOf(a PermitRequest) map[string]Belief {
	l := map[string]Belief{}
	for _, c := range a.Candidates {
		l[c.Replica] = n.beliefs.of(c.Replica)
	}
	return l
}

// keepers are the instances to ask, in their order, without those that were silent.
func (n *Node) keepers(service string) []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock()
	var l []peer.Member
	for _, m := range n.ranked(service) {
		if m.ID == n.Self || !now.Before(n.avoid[m.ID]) {
			l = append(l, m)
		}
	}
	return l
}

// pass leaves a silent instance out for some time.
func (n *Node) pass(m peer.Member) {
	n.mu.Lock()
	n.avoid[m.ID] = n.Clock().Add(avoidFor)
	n.mu.Unlock()
	n.Log("keeper_silent", "keeper", m.ID, "addr", m.Addr, "avoided", avoidFor, "asked", "quota")
}

// verdict turns an answer into a verdict, and keeps which replicas get nothing for a while.
func (n *Node) verdict(w wireAnswer, a PermitRequest, by peer.Member) PermitResult {
	now := n.Clock()
	v := PermitResult{Index: w.Index, Reason: w.Why, DecidedBy: by.ID}
	if w.Index >= len(a.Candidates) {
		v.Index = -1
	}
	if v.Index >= 0 {
		v.Ticket = Ticket{by: by.ID, addr: by.Addr, service: a.Service, replica: a.Candidates[v.Index].Replica}
	} else if w.Come > 0 {
		v.RetryAt = now.Add(millis(w.Come))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, ms := range w.Waits {
		if i < len(a.Candidates) && ms > 0 {
			n.resting[a.Candidates[i].Replica] = now.Add(millis(ms))
		}
	}
	return v
}

// Return takes a request off that was counted and did not reach the replica.
func (n *Node) Return(t Ticket) {
	switch t.by {
	case "":
	case n.Self:
		n.takeBack(t.service, t.replica)
	default:
		// One that is lost is a request less for the replica.
		_ = n.Net.Send(t.addr, encode(message{From: n.Self, Back: &wireBack{t.service, t.replica}}))
	}
}

func (n *Node) takeBack(service, replica string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.charges[service]; ok {
		c.book.takeBack(replica)
	}
}
