package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/route"
)

// Prober checks whether a replica that closed a connection is down.
type Prober interface {
	// HasCrashed reports whether the replica refuses connections; false if that is uncertain.
	HasCrashed(ctx context.Context, r *pool.Replica) bool
}

// probeTimeout bounds the probe of a replica; a closed port answers within one round trip.
const probeTimeout = 150 * time.Millisecond

// checkQuarantine decides whether the opaque request may be sent to one more replica.
func (w *forwarding) checkQuarantine(ctx context.Context) error {
	err := w.guard.Check(ctx)
	if w.guard.IsSuspected() {
		w.result.Fingerprint, w.result.Verdict = w.q.Fingerprint().String(), w.guard.Verdict()
	}
	if err != nil {
		w.retryAt = w.guard.Verdict().RetryAt
	}
	return err
}

// quarantineOutcome is what the attempt shows about the content.
func (a *attempt) quarantineOutcome(err error) quarantine.Outcome {
	switch {
	case a.succeeded && !a.escalated || a.failureComplete:
		return quarantine.Served
	case err != nil && outcome.KindOf(err) == outcome.NotRun:
		return quarantine.NotRun
	case !a.clientLeft && outcome.IsConnectionClosed(err) && a.replicaCrashed():
		return quarantine.ReplicaCrashed
	}
	return quarantine.Inconclusive
}

// quarantineResult is what the attempt, with the given outcome, shows about what the request carries.
// Where an answer comes as a whole, its begin can't be seen.
func (a *attempt) quarantineResult(observed quarantine.Outcome) quarantine.RequestResult {
	mayHaveBegun := a.headReceived || a.w.q.Route.Kind != route.Stream
	return quarantine.RequestResult{
		Outcome: observed, Replica: a.replica.ID, SentAt: a.sentAt,
		AnswerBegan: mayHaveBegun && !a.survived, AnswerSurvived: a.survived,
	}
}

// recordSurvival reports once that the answer did not crash its replica as it began: it is complete,
// or has gone on for long enough.
func (a *attempt) recordSurvival() {
	if a.survived || !a.succeeded && a.w.r.clock().Sub(a.headAt) < quarantine.BeginWindow {
		return
	}
	a.survived = true
	a.w.guard.ReportSurvival()
}

// drainGrace is how long a draining replica still serves the requests that reach it, at least:
// half of the shortest drain time of replicas.
const drainGrace = time.Second

// replicaCrashed reports whether the attempt's replica crashed. A replica that merely closes a
// connection or breaks off an answer keeps running, and one that left the replica list has
// normally shut down as planned. A replica that got the request shortly before it left the list
// counts as crashed, though: on a busy machine the list reported one crash in five before the
// broken connection did, and each crash missed cost one more replica.
func (a *attempt) replicaCrashed() bool {
	r := a.w.r
	serves := r.view.Get().takesNewRequests(a.w.result.Service, a.replica.ID) || r.clock().Sub(a.sentAt) < drainGrace
	return serves && r.isDown(a.replica)
}

// isDown reports whether the replica, which closed a connection, refuses new ones.
func (r *Router) isDown(b *pool.Replica) bool {
	if r.prober == nil || r.drainedInOrder(b.ID) {
		return false
	}
	x, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return r.prober.HasCrashed(x, b)
}

// quarantineOutcomeOf is what an attempt at a backend server of the product's own interfaces
// shows about its content.
func (r *Router) quarantineOutcomeOf(b *pool.Replica, err error) quarantine.Outcome {
	switch {
	case err == nil:
		return quarantine.Served
	case outcome.KindOf(err) == outcome.NotRun:
		return quarantine.NotRun
	case outcome.IsConnectionClosed(err) && !errors.Is(err, errCallerGone) && r.isDown(b):
		return quarantine.ReplicaCrashed
	}
	return quarantine.Inconclusive
}

// quarantined is the error for a quarantined request that was not sent.
func quarantined(g *quarantine.Guard) error {
	return &Failure{Code: Quarantined, Outcome: outcome.NotRun, RetryAt: g.Verdict().RetryAt, Message: quarantine.ErrQuarantined.Error(), Cause: quarantine.ErrQuarantined}
}

// newGuard returns the quarantine's guard for a request with the content.
func (r *Router) newGuard(c quarantine.RequestContent) quarantine.Guard {
	return quarantine.NewGuard(r.quarantine, quarantine.Subjects{Content: c.Fingerprint})
}

// takesNewRequests reports whether the service's replica takes new requests.
func (v *View) takesNewRequests(service, id string) bool {
	for _, x := range v.byService[service] {
		if x.ID == id {
			return true
		}
	}
	return false
}
