package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/placement"
)

// errTooLateAlready says that even the best replica would answer after the deadline.
var errTooLateAlready = errors.New("the replicas have more to do than the request has time for")

// retrySpread is the part of the time to come back after by which clients are
// spread: those that were refused in one moment must not return in one.
const retrySpread = 0.5

// missesDeadline reports whether the first event is expected after the request's
// time. Nobody has worked on it yet, so that it can be refused at once instead
// of being held in vain; the client is told when the replicas will have done
// enough for a request with as much time.
func (w *forwarding) missesDeadline(p *assignment) bool {
	if w.result.Sends > 0 || p.firstEventMs == 0 {
		return false
	}
	now := w.r.clock()
	over := w.r.firstEventDelays.Expect(w.result.Service, p.firstEventMs) - w.q.effectiveDeadline().Sub(now)
	if over <= 0 {
		return false
	}
	spread := time.Duration(retrySpread * rand.Float64() * float64(over))
	w.retryAt = now.Add(over + spread)
	return true
}

// releaseAssignment takes the choice of a replica back.
func (w *forwarding) releaseAssignment(p *assignment) {
	w.abandonPrompt(p, placement.NoFault)
	w.r.backends.release(p.replica.ID)
	w.r.quota.Return(p.permit)
}
