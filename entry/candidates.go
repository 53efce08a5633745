package entry

import (
	"slices"
	"time"

	"fieldvale/notice"
	"fieldvale/pool"
)

// affinitySlackMs is by how many milliseconds the pending work of a key's preferred replica may
// exceed that of the least busy replica before the key's next replica is used.
const affinitySlackMs = 150

// localRequest is an opaque request placed by this instance's own load figures.
type localRequest struct {
	// affinityKey ties the request to its preferred replicas; empty for none.
	affinityKey string
	// costMs is the estimated time at the replica, in milliseconds.
	costMs float64
	// remotePenaltyMs is the cost added to replicas in other data centres, in milliseconds.
	remotePenaltyMs float64
	// slotMs is the expected time in a slot, in milliseconds. It is used with load reports only.
	slotMs     float64
	dataCentre string
}

// takeOpaque chooses a replica for an opaque request and counts the request there; nil if none is
// left. Breakers are ignored if they would leave no replica.
func (b *backends) takeOpaque(r []*pool.Replica, q localRequest, tried []string, now time.Time) *pool.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gatherHealthy(r, tried, now)
	for i, c := range b.scratch {
		if c.Replica.DataCentre != q.dataCentre {
			b.scratch[i].RemotePenaltyMs = q.remotePenaltyMs
		}
	}
	a := pool.Request{AffinityKey: q.affinityKey, SlotMs: q.slotMs}
	i := 0
	if b.addReports(now) {
		i = b.reportChooser.Choose(a, b.scratch)
	} else {
		i = b.prefixChooser.Choose(a, b.scratch)
	}
	if i < 0 {
		return nil
	}
	c := b.scratch[i].Replica
	b.countRequest(c, q.costMs, now)
	return c
}

// countRequest counts a request at the replica.
func (b *backends) countRequest(r *pool.Replica, costMs float64, now time.Time) {
	b.forgetIdle()
	s := b.stateOf(r.ID)
	s.service = r.Service
	s.running++
	s.pendingMs += costMs
	s.breaker.RecordAttempt(now)
}

// candidates returns the replicas that may be chosen now. Breakers are ignored if they would
// leave no replica.
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

// assign counts a request at a replica chosen by the placer.
func (b *backends) assign(r *pool.Replica, costMs float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRequest(r, costMs, now)
}

// gatherHealthy collects the replicas whose breakers allow a request; if there is none, all that
// are available; if there is none either, those that are draining but still serve.
func (b *backends) gatherHealthy(r []*pool.Replica, tried []string, now time.Time) {
	b.gather(r, tried, now, func(x *backend, v notice.Availability) bool { return v == notice.Available && x.breaker.Allows(now) })
	for _, v := range []notice.Availability{notice.Available, notice.LastResort} {
		if len(b.scratch) == 0 {
			b.gather(r, tried, now, func(_ *backend, y notice.Availability) bool { return y == v })
		}
	}
}

// unusedBackend is the state of a replica that this instance has not used yet.
var unusedBackend backend

// gather collects candidates in b.scratch. Every choice of a replica goes through it.
func (b *backends) gather(r []*pool.Replica, tried []string, now time.Time, allowed func(*backend, notice.Availability) bool) {
	b.scratch = b.scratch[:0]
	for _, x := range r {
		// No state is kept for replicas that were never used, as there may be thousands.
		s := b.state[x.ID]
		if s == nil {
			s = &unusedBackend
		}
		if allowed(s, b.notices.Availability(x.ID, now)) && !slices.Contains(tried, x.ID) {
			b.scratch = append(b.scratch, pool.Candidate{Replica: x, Local: s.running, PendingMs: s.pendingMs})
		}
	}
}

// promptRead subtracts a prompt's cost once the replica has read the prompt.
func (b *backends) promptRead(id string, costMs float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).pendingMs -= costMs
}

// doneOpaque ends a request at the replica and records its outcome in the breaker.
func (b *backends) doneOpaque(id string, bad, unreachable bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.running--
	if unreachable {
		s.breaker.Open(now)
		return
	}
	if bad {
		s.breaker.RecordFailure(now, b.serviceFailureRate(s))
		return
	}
	s.breaker.RecordSuccess()
}

// release undoes the choice of a replica for a request that was not sent.
func (b *backends) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).running--
}

// withdrawProbe lets another request probe the replica if its breaker is open, in place of one
// that was assigned to the replica and not sent.
func (b *backends) withdrawProbe(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).breaker.WithdrawAttempt(now)
}
