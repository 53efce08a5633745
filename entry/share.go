package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/placement"
	"fieldvale/share"
)

// errOverShare reports that replicas are short, that the customer uses more than its share, and
// that the answer would not be complete before the deadline.
var errOverShare = errors.New("the customer is over its share of the replicas, and the answer would be late")

// demotedClasses is by how many classes the engine priority of a demoted request is lower.
const demotedClasses = 1

// ShareOutcome is what follows for a request whose customer is over its share.
type ShareOutcome string

// The outcomes.
const (
	// ShareLowerPriority: the request is served after those of other customers.
	ShareLowerPriority ShareOutcome = "lower priority"
	// ShareNotEscalated: its answer is not replaced by a larger model's.
	ShareNotEscalated ShareOutcome = "not escalated"
	// ShareRefused: it is refused, since its answer would not be complete in time.
	ShareRefused ShareOutcome = "refused"
)

// ShareDecision is a decision on a request whose customer is over its share, for logs and metrics.
type ShareDecision struct {
	Request, Customer, Service string
	// Used is the customer's part of the work placed lately, and Fair the part that it may have,
	// from 0 to 1.
	Used, Fair float64
	// ByOwner reports that the group's owner decided, by the requests of all instances; otherwise
	// this instance did, by its own.
	ByOwner bool
	// Finish is the expected time until the answer is complete, Left the time to the deadline.
	Finish, Left time.Duration
	// RetryIn is the time after which the client is asked to retry, if it was refused.
	RetryIn time.Duration
	Outcome ShareOutcome
}

// shareStatus is the customer's use of the replicas, as far as an assignment depends on it.
type shareStatus struct {
	// over reports that replicas are short and that the customer uses more than its share.
	over       bool
	byOwner    bool
	used, fair float64
	// finish is the expected time until the answer is complete, backlog that until the replica
	// begins with the prompt.
	finish, backlog time.Duration
	// local is the request's work in this instance's own account; nil if none is kept.
	local *share.LocalItem
}

// recordShare records the work of a request that was placed by an owner, and the owner's decision.
func (w *forwarding) recordShare(p *assignment, x placement.Choice, e promptEstimate) {
	if !w.placesByCompletion() {
		return
	}
	p.share = shareStatus{
		over: x.Demoted, byOwner: true, used: x.ShareUsed, fair: x.ShareFair,
		finish:  w.r.finishDelays.Expect(w.slotTimeKey(), x.FinishMs),
		backlog: w.r.firstEventDelays.Expect(w.result.Service, x.WaitMs),
	}
	p.share.local = w.r.localShares.Place(w.result.Service, w.q.Customer.Name, w.localWorkMs(e), w.r.clock())
}

// demoteLocally records the work of a request for which no owner answered, and decides by the
// requests of this instance whether its customer is over its share.
func (w *forwarding) demoteLocally(p *assignment, e promptEstimate) {
	if p == nil || !w.placesByCompletion() {
		return
	}
	now := w.r.clock()
	s, first := w.r.localShares.Standing(w.result.Service, w.q.Customer.Name, now)
	p.share = shareStatus{
		over: s.Over, used: s.Used, fair: s.Fair,
		finish:  first + milliseconds(w.r.slotTimes.ExpectedMs(w.slotTimeKey())),
		backlog: first,
	}
	p.share.local = w.r.localShares.Place(w.result.Service, w.q.Customer.Name, w.localWorkMs(e), now)
}

// localWorkMs is the request's work in milliseconds as this instance estimates it, without its shared prefix, which
// most replicas have cached.
func (w *forwarding) localWorkMs(e promptEstimate) float64 {
	return placement.WorkMs(e.unsharedMs, e.msPerToken, w.expectedOutputTokens())
}

// withdrawShare removes a prompt that was not read from its customer's work.
func (w *forwarding) withdrawShare(p *assignment) {
	if p.promptPending {
		w.r.localShares.Withdraw(p.share.local, w.r.clock())
	}
}

// observeFirstEvent records how long the first event took.
func (w *forwarding) observeFirstEvent(took time.Duration) {
	if w.placesByCompletion() && w.q.Route.Target > 0 {
		w.r.localShares.Observe(w.result.Service, took, took > w.q.Route.Target, w.r.clock())
	}
}

// recordFinish records how long the complete answer took in relation to what was expected, without
// the time for which it waited for its client. One that was ended by its deadline would have taken
// longer, which shows nothing unless that is more than was expected.
func (a *attempt) recordFinish() {
	now, p, d := a.w.r.clock(), a.assignment, a.w.r.finishDelays
	took := now.Sub(a.sentAt) - a.clientWait
	isCutOff := !now.Before(a.w.q.EffectiveDeadline()) && took > d.Expect(a.slotTimeKey, p.finishMs)
	if p.byCompletion && (a.succeeded && !a.escalated || isCutOff) {
		d.Observe(a.slotTimeKey, p.finishMs, took)
	}
}

// dispatchPriority is the engine priority of the attempt.
func (w *forwarding) dispatchPriority(p *assignment) int {
	if !p.share.over {
		return w.q.priority()
	}
	w.reportShare(p, ShareLowerPriority)
	return w.q.priority() + demotedClasses
}

// refusesOverShare reports whether a request that was not sent yet is refused since its customer
// is over its share and the answer is expected to be complete only after the deadline. The client
// is asked to retry when the replicas will have worked off their backlog, and enough for a
// request with the same time limit.
func (w *forwarding) refusesOverShare(p *assignment) bool {
	if !p.share.over || w.result.Sends > 0 {
		return false
	}
	now := w.r.clock()
	excess := p.share.finish - w.q.EffectiveDeadline().Sub(now)
	if excess <= 0 {
		return false
	}
	wait := max(excess, p.share.backlog, refusalRetryDelay)
	w.retryAt = now.Add(wait + time.Duration(retrySpread*rand.Float64()*float64(wait)))
	w.reportShare(p, ShareRefused)
	return true
}

// reportShare reports a decision on the request.
func (w *forwarding) reportShare(p *assignment, o ShareOutcome) {
	now := w.r.clock()
	d := ShareDecision{
		Request: w.q.ID, Customer: w.q.Customer.Name, Service: w.result.Service, Used: p.share.used, Fair: p.share.fair, ByOwner: p.share.byOwner,
		Finish: p.share.finish, Left: w.q.EffectiveDeadline().Sub(now), Outcome: o,
	}
	if o == ShareRefused {
		d.RetryIn = w.retryAt.Sub(now)
	}
	w.result.Share = &d
	w.r.hooks.shareDecided(d)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
