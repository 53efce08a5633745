package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/placement"
)

// errTooLateAlready reports that even the best replica would answer after the deadline.
var errTooLateAlready = errors.New("the replicas have more to do than the request has time for")

// retrySpread is the part of the retry delay by which clients are spread at random, so that those
// refused at the same moment don't return at the same moment.
const retrySpread = 0.5

// refusal is the reason for which a request that was not sent yet is refused at once; nil if it
// is sent.
func (w *forwarding) refusal(p *assignment) error {
	switch {
	case w.refusesOverShare(p):
		return errOverShare
	case w.missesDeadline(p):
		return errTooLateAlready
	}
	return nil
}

// missesDeadline reports whether the first event is expected after the deadline of a request that
// was not sent yet. Such a request is refused at once instead of being held in vain. The client
// is asked to retry when the replicas will have worked off enough for a request with the same
// time limit.
func (w *forwarding) missesDeadline(p *assignment) bool {
	if w.result.Sends > 0 || p.firstEventMs == 0 {
		return false
	}
	now := w.r.clock()
	excess := w.r.firstEventDelays.Expect(w.result.Service, p.firstEventMs) - w.q.EffectiveDeadline().Sub(now)
	if excess <= 0 {
		return false
	}
	spread := time.Duration(retrySpread * rand.Float64() * float64(excess))
	w.retryAt = now.Add(excess + spread)
	return true
}

// releaseAssignment undoes an assignment whose request was not sent.
func (w *forwarding) releaseAssignment(p *assignment) {
	w.abandonPrompt(p, placement.NoFault)
	w.r.backends.release(p.replica.ID)
	w.r.quota.ReleasePermit(p.permit)
}
