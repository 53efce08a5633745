package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/quarantine"
)

// Quarantine knows which contents bring down the replicas that run them, whatever the
// attempt and the instance.
type Quarantine interface {
	// IsQuiet reports whether nothing is known of any content.
	IsQuiet() bool
	// Ask decides whether the content may be sent once more.
	Ask(ctx context.Context, f quarantine.Fingerprint) quarantine.Verdict
	// Tell says what came of an attempt.
	Tell(f quarantine.Fingerprint, e quarantine.AttemptResult)
}

// Prober looks whether a replica that closed a connection has ended.
type Prober interface {
	// HasEnded reports whether the replica takes no connections. It is false where that
	// can't be told.
	HasEnded(ctx context.Context, r *pool.Replica) bool
}

// errQuarantined says that the request's content may not be sent now.
var errQuarantined = errors.New("requests with this content bring down the backend servers that run them")

// probeTimeout bounds the look whether a replica has ended; a dead port answers within a
// round trip.
const probeTimeout = 150 * time.Millisecond

// quarantineCheck is what one request has to do with the quarantine. Its zero value has nothing to
// do with any.
type quarantineCheck struct {
	quarantine  Quarantine
	fingerprint func() quarantine.Fingerprint
	// verdict is the last word on whether it may be sent.
	verdict quarantine.Verdict
	// suspected says that something is known against the content, onTrial that the attempt
	// was allowed as a trial only.
	suspected, onTrial bool
}

// check asks whether the request may be sent to one more replica.
func (w *quarantineCheck) check(ctx context.Context) error {
	w.onTrial = false
	if w.quarantine == nil || w.quarantine.IsQuiet() {
		return nil
	}
	v := w.quarantine.Ask(ctx, w.fingerprint())
	if v.Decision == quarantine.Allow {
		return nil
	}
	w.verdict, w.suspected, w.onTrial = v, true, v.Decision == quarantine.AllowTrial
	if v.IsAllowed() {
		return nil
	}
	return errQuarantined
}

// cancelTrial takes a trial back that could not begin.
func (w *quarantineCheck) cancelTrial() {
	if w.onTrial {
		w.send(quarantine.AttemptResult{Outcome: quarantine.NotRun})
	}
}

// report tells what an attempt came to, where that matters: its replica ended, or the
// content is watched.
func (w *quarantineCheck) report(came quarantine.Outcome, replica string) {
	if w.quarantine == nil {
		return
	}
	ended := came == quarantine.ReplicaCrashed
	w.suspected = w.suspected || ended
	if w.onTrial || ended || w.suspected && came == quarantine.Served {
		w.send(quarantine.AttemptResult{Outcome: came, Replica: replica})
	}
}

func (w *quarantineCheck) send(e quarantine.AttemptResult) {
	e.OnTrial = w.onTrial
	w.quarantine.Tell(w.fingerprint(), e)
}

// checkQuarantine asks whether the opaque request may be sent to one more replica.
func (w *forwarding) checkQuarantine(ctx context.Context) error {
	err := w.quarantineCheck.check(ctx)
	if w.quarantineCheck.suspected {
		w.result.Fingerprint, w.result.Verdict = w.q.Fingerprint().String(), w.quarantineCheck.verdict
	}
	if err != nil {
		w.retryAt = w.quarantineCheck.verdict.RetryAt
	}
	return err
}

// quarantineOutcome says what the attempt shows of the content.
func (a *attempt) quarantineOutcome(err error) quarantine.Outcome {
	switch {
	case a.succeeded && !a.escalated || a.failureComplete:
		return quarantine.Served
	case err != nil && outcome.Of(err) == outcome.NotRun:
		return quarantine.NotRun
	case !a.clientLeft && outcome.IsClosed(err) && a.replicaCrashed():
		return quarantine.ReplicaCrashed
	}
	return quarantine.Inconclusive
}

// drainGrace is for how long a replica that leaves in order serves at least what it still got:
// half of the shortest time that replicas drain for.
const drainGrace = time.Second

// replicaCrashed reports whether the attempt's replica ended without having said that it
// would: one that closes a connection or breaks an answer off lives on, and one that left
// the list ends as it should. But where the list lost it just before, it has ended all the
// same if it got the request a moment ago: on a busy machine one end of five was heard of
// by the list first, and one replica more was lost.
func (a *attempt) replicaCrashed() bool {
	r := a.w.r
	serves := r.view.Get().takesNewRequests(a.w.result.Service, a.replica.ID) || r.clock().Sub(a.sentAt) < drainGrace
	return serves && r.isDown(a.replica)
}

// isDown reports whether the replica, which closed a connection, takes none any more.
func (r *Router) isDown(b *pool.Replica) bool {
	if r.prober == nil || r.drainedInOrder(b.ID) {
		return false
	}
	x, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return r.prober.HasEnded(x, b)
}

// quarantineOutcomeOf says what an attempt at a backend server of the product's own interfaces shows of
// its content.
func (r *Router) quarantineOutcomeOf(b *pool.Replica, err error) quarantine.Outcome {
	switch {
	case err == nil:
		return quarantine.Served
	case outcome.Of(err) == outcome.NotRun:
		return quarantine.NotRun
	case outcome.IsClosed(err) && !errors.Is(err, errCallerGone) && r.isDown(b):
		return quarantine.ReplicaCrashed
	}
	return quarantine.Inconclusive
}

// refusal is the refusal of a request before it is sent.
func (w *quarantineCheck) refusal() error {
	return &Failure{Code: Quarantined, Outcome: outcome.NotRun, RetryAt: w.verdict.RetryAt, Message: errQuarantined.Error(), Cause: errQuarantined}
}

// newQuarantineCheck returns a request's dealings with the quarantine by what it asks.
func (r *Router) newQuarantineCheck(c quarantine.RequestContent) *quarantineCheck {
	return &quarantineCheck{quarantine: r.quarantine, fingerprint: c.Fingerprint}
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
