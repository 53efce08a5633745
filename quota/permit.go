package quota

import (
	"context"
	"time"

	"fieldvale/peer"
)

// Candidate is a replica to which a request may be sent.
type Candidate struct {
	Replica string
	Bound   Bound
	// ReportsCold is true if the replica itself reports that it is cold. A replica that only may be
	// cold has ColdPerSecond set without it.
	ReportsCold bool
}

// priorities is the number of request priorities; 0 is the most urgent.
const priorities = 10

// PermitRequest asks for a permit to send a request to one of a service's replicas.
type PermitRequest struct {
	Service string
	// Candidates are the replicas to which the request may be sent, in order of preference.
	Candidates []Candidate
	// Priority is the priority of the request, from 0, the most urgent, to 9.
	Priority int
	// OnlyBounded is true if there is no candidate without a bound left for the request.
	OnlyBounded bool
}

// PermitResult is the answer to a PermitRequest.
type PermitResult struct {
	// Index is the candidate to which the request may be sent; negative if there is none.
	Index int
	// Reason is why the request may not be sent to the first candidate. DecidedBy is the instance
	// that decided.
	Reason    Reason
	DecidedBy string
	// RetryAt is when to retry if no permit was granted; zero if unknown.
	RetryAt time.Time
	Ticket  Ticket
}

// Ticket identifies a granted permit. The zero value identifies none.
type Ticket struct {
	owner, ownerAddr string
	service, replica string
	// fragile is true if the owner counts the requests under way at the replica.
	fragile bool
}

// AcquirePermit asks the owner for a permit to send the request to one of the candidates. If this instance
// is isolated, it uses its share instead.
func (n *Node) AcquirePermit(ctx context.Context, req PermitRequest) PermitResult {
	now := n.Clock()
	if n.Net != nil {
		if v, ok := n.takeFromOwnerSoon(ctx, req); ok {
			n.markDecided(req.Service)
			return v
		}
		now = n.Clock()
		if v, ok := n.decideAlone(req, now); ok {
			return v
		}
		if !n.isIsolated(req.Service, now) {
			return PermitResult{Index: -1, Reason: ReasonNoOwner, RetryAt: now.Add(noOwnerRetry)}
		}
	}
	return n.takeShare(req, now)
}

// noOwnerRetry is the time after which to retry a request for which no owner answered. A service is
// without an owner for two seconds at most.
const noOwnerRetry = 500 * time.Millisecond

// takeFromOwner asks the owner of the service; false if no instance answers as the owner.
func (n *Node) takeFromOwner(ctx context.Context, req PermitRequest) (PermitResult, bool) {
	asked := 0
	for _, m := range n.ownerCandidates(req.Service) {
		if m.ID == n.Self {
			if v, ok := n.decide(req, recordsOf(n.records, req), nil); ok {
				return n.result(v, req, m), true
			}
			continue
		}
		if asked++; asked > maxOwnersAsked {
			break
		}
		w, ok := n.ask(ctx, m, req)
		if !ok {
			n.markSilent(m)
			continue
		}
		if !w.IsOwner {
			continue
		}
		n.mergeRecords(w.Records)
		return n.result(w, req, m), true
	}
	return PermitResult{}, false
}

const (
	// answerTimeout bounds the wait for the owner's answer: several times the round trip between
	// data centres of a region and the owner's work.
	answerTimeout = 25 * time.Millisecond
	// askAttempts is how often one instance is asked, and maxOwnersAsked how many instances are.
	askAttempts    = 2
	maxOwnersAsked = 2
	// avoidFor is how long an instance that sent no answer is skipped.
	avoidFor = time.Second
)

// ask asks one member for a permit; false if it sends no answer.
func (n *Node) ask(ctx context.Context, m peer.Member, req PermitRequest) (wireAnswer, bool) {
	q := newWireRequest(req, recordsOf(n.records, req), recordsOf(n.rejections, req), n.Clock())
	for range askAttempts {
		w, ok := n.pending.Call(ctx, answerTimeout, func(id uint64) error {
			return n.Net.Send(m.Addr, encode(message{QuestionID: id, From: n.Self, Request: q}))
		})
		if ok {
			return w, true
		}
	}
	return wireAnswer{}, false
}

// recordsOf returns the records of the candidates.
func recordsOf(t *recordTable, req PermitRequest) map[string]LimitRecord {
	l := map[string]LimitRecord{}
	for _, c := range req.Candidates {
		l[c.Replica] = t.get(c.Replica)
	}
	return l
}

// ownerCandidates returns the members to ask in the order of their ranking, without those that are
// avoided.
func (n *Node) ownerCandidates(service string) []peer.Member {
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

// markSilent skips an instance that sent no answer for avoidFor.
func (n *Node) markSilent(m peer.Member) {
	n.mu.Lock()
	n.avoid[m.ID] = n.Clock().Add(avoidFor)
	n.mu.Unlock()
	n.Log("keeper_silent", "keeper", m.ID, "addr", m.Addr, "avoided", avoidFor, "asked", "quota")
}

// result converts the answer of the owner, and records which replicas have no permits for a while.
func (n *Node) result(w wireAnswer, req PermitRequest, by peer.Member) PermitResult {
	now := n.Clock()
	res := PermitResult{Index: w.Index, Reason: w.Reason, DecidedBy: by.ID}
	if w.Index >= len(req.Candidates) {
		res.Index = -1
	}
	if res.Index >= 0 {
		res.Ticket = Ticket{owner: by.ID, ownerAddr: by.Addr, service: req.Service, replica: req.Candidates[res.Index].Replica, fragile: req.Candidates[res.Index].Bound.IsFragile}
	} else if w.RetryMillis > 0 {
		res.RetryAt = now.Add(millis(w.RetryMillis))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, ms := range w.WaitMillis {
		if i < len(req.Candidates) && ms > 0 {
			n.exhaustedUntil[req.Candidates[i].Replica] = now.Add(millis(ms))
		}
	}
	return res
}

// ReleasePermit returns a permit whose request did not reach the replica.
func (n *Node) ReleasePermit(t Ticket) {
	switch t.owner {
	case "":
	case n.Self:
		n.returnPermit(t.service, t.replica)
	default:
		// If this datagram is lost, the replica gets one request less than it could.
		_ = n.Net.Send(t.ownerAddr, encode(message{From: n.Self, Returned: &wirePermit{t.service, t.replica}}))
	}
}

// returnPermit takes back a permit that this instance granted as the owner.
func (n *Node) returnPermit(service, replica string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.services[service]; ok {
		s.grants.cancelLast(replica)
	}
}
