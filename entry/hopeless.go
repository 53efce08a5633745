package entry

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/placement"
)

// errHopeless says that even the best replica would answer after the deadline.
var errHopeless = errors.New("the replicas have more to do than the request has time for")

// returnSpread is the part of the time to come back after by which clients are
// spread: those that were refused in one moment must not return in one.
const returnSpread = 0.5

// hopeless reports whether the first event is expected after the request's
// time. Nobody has worked on it yet, so that it can be refused at once instead
// of being held in vain; the client is told when the replicas will have done
// enough for a request with as much time.
func (w *forwarding) hopeless(p *placed) bool {
	if w.f.Sends > 0 || p.ready == 0 {
		return false
	}
	now := w.r.clock()
	over := w.r.delays.Expect(w.f.Service, p.ready) - w.q.until().Sub(now)
	if over <= 0 {
		return false
	}
	spread := time.Duration(returnSpread * rand.Float64() * float64(over))
	w.retryAt = now.Add(over + spread)
	return true
}

// giveBack takes the choice of a replica back.
func (w *forwarding) giveBack(p *placed) {
	w.unplace(p, placement.NoFault)
	w.r.backends.release(p.replica.ID)
	w.r.quota.Return(p.right)
}
