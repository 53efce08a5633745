package entry

import (
	"slices"
	"time"

	"fieldvale/notice"
	"fieldvale/pool"
)

// affinitySlackMs is how many milliseconds of this instance's pending work a home
// may have above the least busy replica before the next choice takes over.
const affinitySlackMs = 150

// localRequest is an opaque request that is placed by this instance's own work.
type localRequest struct {
	// affinityKey ties it to a home; empty for none.
	affinityKey string
	// costMs is its time at the replica, in milliseconds.
	costMs float64
	// remotePenaltyMs is what another data centre than this one counts for, in
	// milliseconds.
	remotePenaltyMs float64
	dataCentre      string
}

// takeOpaque chooses a replica for an opaque request and counts it there; nil
// if none is left. Breakers have no say when they leave none.
func (b *backends) takeOpaque(r []*pool.Replica, q localRequest, tried []string, now time.Time) *pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gatherHealthy(r, tried, now)
	for i, c := range b.scratch {
		if c.Replica.DataCentre != q.dataCentre {
			b.scratch[i].RemotePenaltyMs = q.remotePenaltyMs
		}
	}
	i := b.prefixChooser.Choose(pool.Request{AffinityKey: q.affinityKey}, b.scratch)
	if i < 0 {
		return nil
	}
	c := b.scratch[i].Replica
	b.countRequest(c, q.costMs, now)
	return c
}

// countRequest counts a request at the replica.
func (b *backends) countRequest(r *pool.Replica, cost float64, now time.Time) {
	b.forgetIdle()
	s := b.stateOf(r.ID)
	s.service = r.Service
	s.running++
	s.pendingMs += cost
	s.breaker.Tried(now)
}

// candidates returns the replicas that may be chosen now. Breakers have no
// say when they leave none.
func (b *backends) candidates(r []*pool.Replica, tried []string, now time.Time) []*pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gatherHealthy(r, tried, now)
	l := make([]*pool.Replica, len(b.scratch))
	for i, c := range b.scratch {
		l[i] = c.Replica
	}
	return l
}

// assign counts a request at a replica that was chosen elsewhere.
func (b *backends) assign(r *pool.Replica, cost float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRequest(r, cost, now)
}

// gatherHealthy makes the candidates anew of those whose breakers allow it, or
// of all if they leave none; of those that leave if there is no other.
func (b *backends) gatherHealthy(r []*pool.Replica, tried []string, now time.Time) {
	b.gather(r, tried, now, func(x *backend, v notice.Availability) bool { return v == notice.Available && x.breaker.Allows(now) })
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		if len(b.scratch) == 0 {
			b.gather(r, tried, now, func(_ *backend, y notice.Availability) bool { return y == v })
		}
	}
}

// unusedBackend is the state of a replica that was not used yet.
var unusedBackend backend

// gather makes the candidates anew. Every road to a replica comes by here.
func (b *backends) gather(r []*pool.Replica, tried []string, now time.Time, allowed func(*backend, notice.Availability) bool) {
	b.scratch = b.scratch[:0]
	for _, x := range r {
		// Nothing is kept of replicas that were never used: there may be
		// thousands.
		s := b.state[x.ID]
		if s == nil {
			s = &unusedBackend
		}
		if allowed(s, b.notices.Availability(x.ID, now)) && !slices.Contains(tried, x.ID) {
			b.scratch = append(b.scratch, pool.Candidate{Replica: x, Local: s.running, PendingMs: s.pendingMs})
		}
	}
}

// promptRead takes a prompt's cost off once the replica has promptRead it.
func (b *backends) promptRead(id string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).pendingMs -= cost
}

// doneOpaque gives the replica back and learns from the result.
func (b *backends) doneOpaque(id string, bad, unreached bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running--
	if unreached {
		s.breaker.Open(now)
		return
	}
	if bad {
		s.breaker.Failed(now, b.serviceFailureRate(s))
		return
	}
	s.breaker.Succeeded()
}

// release takes back a choice that nothing came of.
func (b *backends) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).running--
}
