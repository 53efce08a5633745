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
	Tell(f quarantine.Fingerprint, e quarantine.Event)
}

// Prober looks whether a replica that closed a connection has ended.
type Prober interface {
	// HasEnded reports whether the replica takes no connections. It is false where that
	// can't be told.
	HasEnded(ctx context.Context, r *pool.Replica) bool
}

// errQuarantined says that the request's content may not be sent now.
var errQuarantined = errors.New("requests with this content bring down the backend servers that run them")

// probeWithin bounds the look whether a replica has ended; a dead port answers within a
// round trip.
const probeWithin = 150 * time.Millisecond

// allowed asks whether the request may be sent to one more replica.
func (w *forwarding) allowed(ctx context.Context) error {
	q := w.r.quarantine
	w.onTrial = false
	if q == nil || q.IsQuiet() {
		return nil
	}
	v := q.Ask(ctx, w.q.Fingerprint())
	if v.Decision == quarantine.Free {
		return nil
	}
	w.watched, w.onTrial = true, v.Decision == quarantine.Try
	w.f.Content, w.f.Verdict = w.q.Fingerprint().String(), v
	if v.May() {
		return nil
	}
	w.retryAt = v.RetryAt
	return errQuarantined
}

// untried takes a trial back that could not begin.
func (w *forwarding) untried() {
	if w.onTrial {
		w.tell(quarantine.Event{What: quarantine.Unsent})
	}
}

func (w *forwarding) tell(e quarantine.Event) {
	e.OnTrial = w.onTrial
	w.r.quarantine.Tell(w.q.Fingerprint(), e)
}

// report tells the quarantine what the attempt came to, where that matters: its replica
// ended, or the content is watched.
func (a *attempt) report(came quarantine.What) {
	w := a.w
	if w.r.quarantine == nil {
		return
	}
	e := quarantine.Event{What: came, Replica: a.replica.ID}
	if e.What == quarantine.EndedReplica {
		w.watched = true
		w.tell(e)
		return
	}
	if w.onTrial || w.watched && e.What == quarantine.Served {
		w.tell(e)
	}
}

// cameTo says what the attempt shows of the content.
func (a *attempt) cameTo(err error) quarantine.What {
	switch {
	case a.served && !a.escalated || a.refusedWhole:
		return quarantine.Served
	case err != nil && outcome.Of(err) == outcome.NotRun:
		return quarantine.Unsent
	case !a.left && outcome.IsClosed(err) && a.replicaEnded():
		return quarantine.EndedReplica
	}
	return quarantine.Unclear
}

// replicaEnded reports whether the attempt's replica ended without having said that it
// would: one that closes a connection or breaks an answer off lives on, and one that is
// leaving ends as it should.
func (a *attempt) replicaEnded() bool {
	r := a.w.r
	if r.prober == nil || !r.view.Get().has(a.w.f.Service, a.replica.ID) {
		return false
	}
	x, cancel := context.WithTimeout(context.Background(), probeWithin)
	defer cancel()
	return r.prober.HasEnded(x, a.replica)
}

// has reports whether the service's replica takes new requests.
func (v *View) has(service, id string) bool {
	for _, x := range v.byService[service] {
		if x.ID == id {
			return true
		}
	}
	return false
}
