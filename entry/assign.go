package entry

import (
	"context"
	"time"

	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/quota"
)

// assignment is the choice of a replica for an attempt.
type assignment struct {
	replica *pool.Replica
	ticket  placement.Ticket
	// costMs is the estimated time for reading the prompt, in milliseconds; promptPending is set
	// while it counts as pending work of the replica.
	costMs        float64
	promptPending bool
	// idle is set if no other prompt was waiting there, so that the time to the first event
	// measures the prompt reading speed.
	idle   bool
	tokens float64
	// permit is the quota's permit, if the replica is bounded.
	permit quota.Ticket
	// firstEventMs is the estimated time to the first event, in milliseconds; 0 if there is none.
	firstEventMs float64
	// byCompletion is set if the replica was chosen by the time until the whole answer is complete,
	// which is then finishMs, in milliseconds.
	byCompletion bool
	finishMs     float64
	// othersMs is the delay of other streams by this one that the owner expects, in milliseconds.
	othersMs float64
	// share is the customer's use of the replicas.
	share shareStatus
}

// assignAmong chooses one of the replicas for the request; nil if none is left.
func (w *forwarding) assignAmong(ctx context.Context, l []*pool.Replica) *assignment {
	free, bounded := w.splitByBound(l)
	if len(bounded) == 0 {
		return w.assignIgnoringQuota(ctx, l, l)
	}
	return w.assignBounded(ctx, l, free, bounded)
}

// assignIgnoringQuota chooses one of the replicas c without asking the quota. allowed are all
// replicas that the release allows.
func (w *forwarding) assignIgnoringQuota(ctx context.Context, allowed, c []*pool.Replica) *assignment {
	if w.q.Prompt.IsZero() {
		return w.assignLocally(c, "", 1)
	}
	e := w.estimatePrompt()
	c = w.candidates(c)
	if len(c) == 0 {
		return nil
	}
	if p, ok := w.assignByPlacer(ctx, allowed, c, e); ok {
		return p
	}
	p := w.assignLocally(c, e.affinityKey, e.unsharedMs)
	w.demoteLocally(p, e)
	return p
}

// candidates are the replicas that may be chosen now.
func (w *forwarding) candidates(l []*pool.Replica) []*pool.Replica {
	if len(l) == 0 {
		return nil
	}
	return w.r.backends.candidates(l, w.tried, w.r.clock())
}

// assignByPlacer chooses a replica by the fleet-wide state; ok is false if that is unavailable.
// allowed are all replicas that the release allows.
func (w *forwarding) assignByPlacer(ctx context.Context, allowed, c []*pool.Replica, e promptEstimate) (p *assignment, ok bool) {
	if w.r.placer == nil {
		return nil, false
	}
	now := w.r.clock()
	g, c := w.placementGroup(e.affinityKey, allowed, c)
	x, t, ok := w.r.placer.Choose(ctx, g, w.placementRequest(e, c))
	if !ok {
		return nil, false
	}
	p = &assignment{
		replica: c[x.Index], ticket: t, costMs: x.PrefillMs, promptPending: true,
		byCompletion: w.placesByCompletion(), finishMs: x.FinishMs, othersMs: x.OthersMs,
		idle: x.WaitMs < 1, tokens: x.PrefillMs / e.msPerToken, firstEventMs: x.WaitMs + x.PrefillMs,
	}
	w.r.backends.assign(p.replica, p.costMs, now)
	w.recordShare(p, x, e)
	return p, true
}

// placementRequest builds the request for one of the replicas.
func (w *forwarding) placementRequest(e promptEstimate, c []*pool.Replica) placement.Request {
	q := placement.Request{
		Replicas: ids(c), RemoteBits: w.r.remoteBits(c), RemotePenaltyMs: w.remotePenaltyMs(),
		UnsharedMs: max(1, e.unsharedMs), SharedPrefix: e.shared, SlotMs: w.r.slotTimes.ExpectedMs(w.slotTimeKey()),
		TimeLeftMs: w.timeToTargetMs(),
	}
	if !w.placesByCompletion() {
		return q
	}
	q.ByCompletion, q.Pace, q.OutputTokens = true, e.msPerToken, w.expectedOutputTokens()
	q.MemoryTokens, q.ReplicaMemoryTokens = w.memoryTokens(), float64(w.q.Table.Service(w.result.Service).MemoryTokens)
	q.Customer, q.DeadlineMs = w.q.Customer.Name, max(1, w.q.EffectiveDeadline().Sub(w.r.clock()).Seconds()*1000)
	return q
}

// timeToTargetMs is the time left to the route's target, in milliseconds and at least 1; 0 if the
// route has no target.
func (w *forwarding) timeToTargetMs() float64 {
	if w.q.Route.Target <= 0 {
		return 0
	}
	left := w.q.ArrivedAt.Add(w.q.Route.Target).Sub(w.r.clock())
	return max(1, left.Seconds()*1000)
}

// assignLocally chooses a replica by this instance's own load figures.
func (w *forwarding) assignLocally(l []*pool.Replica, key string, cost float64) *assignment {
	q := localRequest{affinityKey: key, costMs: cost, remotePenaltyMs: w.remotePenaltyMs(), slotMs: w.slotMs(), dataCentre: w.r.dataCentre}
	now := w.r.clock()
	b := w.r.backends.takeOpaque(l, q, w.tried, now)
	if b == nil {
		return nil
	}
	w.result.ReportedLoad = w.r.recordReportUse(b, now)
	return &assignment{replica: b, costMs: cost, promptPending: true}
}

// recordPromptRead records that the replica has read the prompt, and how long that took.
func (w *forwarding) recordPromptRead(p *assignment, sent time.Time) {
	if p.idle && p.tokens > 0 {
		w.r.prefillTimes.Observe(w.prefillKey(), w.r.clock().Sub(sent), p.tokens)
	}
	w.r.firstEventDelays.Observe(w.result.Service, p.firstEventMs, w.r.clock().Sub(sent))
	w.observeFirstEvent(w.r.clock().Sub(sent))
	if w.closePrompt(p) {
		w.r.placer.ReportPrefilled(p.ticket)
	}
}

// abandonPrompt removes a prompt that was not read from its replica's pending work, and reports
// the end of the run of one that was read.
func (w *forwarding) abandonPrompt(p *assignment, fault placement.Fault) {
	w.withdrawShare(p)
	switch {
	case w.closePrompt(p):
		w.r.placer.ReportAborted(p.ticket, fault)
	case p.byCompletion && w.r.placer != nil:
		w.r.placer.ReportEnded(p.ticket)
	}
}

// closePrompt removes the prompt from its replica's pending work, once, and reports whether the
// placer has to be informed.
func (w *forwarding) closePrompt(p *assignment) bool {
	if !p.promptPending {
		return false
	}
	p.promptPending = false
	w.r.backends.promptRead(p.replica.ID, p.costMs)
	return w.r.placer != nil
}
