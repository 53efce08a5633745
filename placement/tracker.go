// Package placement chooses replicas for prompts by the load of the whole fleet.
// Instances that choose by their own load alone send prompts to the same replicas
// by chance, since each sees a small part of the load. So the replicas of a
// service are divided into groups. One instance, the group's owner, tracks the
// prompts that all instances have placed there and that are not yet prefilled.
// Each prompt costs one exchange of datagrams, whatever the size of the fleet.
// The tracked load is not replicated: when an owner is lost, the instances report
// their open runs to the next one, and an instance that gets no answer chooses by
// its own load.
package placement

import (
	"sync"
	"time"
)

const (
	// cacheLifetime is how long a prefix part is assumed to be in the cache of
	// the replica that prefilled it last; engines evict the least recently used
	// entries.
	cacheLifetime = 20 * time.Second
	// A prompt whose end is never reported is dropped after expiryFactor times
	// its expected time to the end of prefill, plus expiryMargin.
	expiryFactor = 4
	expiryMargin = 2 * time.Second
	// slotSlowdown is the cost of each busy slot, as a fraction of the time for
	// which the new prompt will hold its slot: a replica generates the tokens of
	// all its streams more slowly, by some 2% for each slot in use.
	slotSlowdown = 0.02
	// lateFraction is the part of a request's time left that its first event may
	// be expected to take without a penalty. latePenaltyFactor is the penalty for
	// each millisecond above that: then it is better to prefill a long shared
	// part again, even though that takes time from other requests.
	lateFraction      = 0.3
	latePenaltyFactor = 8.0
	// maxCachedParts bounds the entries for cached prefix parts: at 64 bytes each
	// some 4 MB.
	maxCachedParts = 1 << 16
	// pendingEpsilonMs is the rounding error that sums of floating-point prefill
	// times may leave at a replica without pending work, in milliseconds.
	pendingEpsilonMs = 1e-6
	// sweepInterval bounds how often expired entries are searched for.
	sweepInterval = 500 * time.Millisecond
)

// placedPrompt is a prompt that was placed at a replica and is not yet reported
// as prefilled.
type placedPrompt struct {
	replica   string
	prefillMs float64
	placedAt  time.Time
	expiresAt time.Time
	// slot is the slot that the prompt will hold, nil if it is not known for how
	// long.
	slot *slotUse
	// parts are the prefix parts that the replica caches by prefilling the
	// prompt.
	parts []PrefixPart
	// uncachedParts are those of the parts that the replica did not have cached, of a
	// prompt that was placed by completion.
	uncachedParts []PrefixPart
	// shared is the prompt's work in its customer's share; nil if none is kept.
	shared *sharedWork
}

// cachedPart identifies a prefix part in the cache of a replica.
type cachedPart struct {
	key     string
	replica string
}

// LoadTracker is an owner's state for the replicas of its groups: pending
// prefill work, busy slots, faults and cached prefix parts. It is safe for
// concurrent use.
type LoadTracker struct {
	mu sync.Mutex
	// pendingMs is the prefill work queued at each replica, in milliseconds.
	pendingMs map[string]float64
	// open are the placed prompts by ticket.
	open map[uint64]placedPrompt
	// slots are the slots in use, ordered by their expected release; busySlots
	// counts them by replica.
	slots     slotQueue
	busySlots map[string]int
	// faults are the estimates from the faults that instances reported.
	faults map[string]faultEstimate
	// cached has the assumed end of each cache entry.
	cached map[cachedPart]time.Time
	// work is the work by replica, and runs the runs by ticket, of requests that were
	// placed by completion.
	work map[string]*replicaWork
	runs map[uint64]*run
	// shares has the work of customers by group.
	shares groupShares
	// generation is what was learned of the generation times of each group.
	generation map[string]generationTime
	// recentlyEnded has tickets whose run ended lately.
	recentlyEnded endedTickets
	lastTicket    uint64
	nextSweep     time.Time
}

// NewLoadTracker returns an empty tracker. Tickets are numbered from start, so
// that they differ from those of an earlier incarnation of the instance.
func NewLoadTracker(start uint64) *LoadTracker {
	return &LoadTracker{
		pendingMs: map[string]float64{}, open: map[uint64]placedPrompt{}, busySlots: map[string]int{},
		faults: map[string]faultEstimate{}, cached: map[cachedPart]time.Time{}, lastTicket: start,
		work: map[string]*replicaWork{}, runs: map[uint64]*run{}, generation: map[string]generationTime{}, shares: newGroupShares(),
	}
}

// Choose places the prompt at the replica with the lowest cost and counts its
// work there. The choice's index is negative if there are no candidates.
func (l *LoadTracker) Choose(r Request, now time.Time) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	l.releaseEndedSlots(now)
	r.generationScale = l.generation[r.Group].scale()
	s := l.standing(r, now)
	r.demoted = s.Over
	c := l.best(r, now)
	if c.Index < 0 {
		return c
	}
	if !s.Over && r.finishesLate(c) {
		s = l.groupStanding(r, now)
	}
	if s.Over {
		c.Demoted, c.ShareUsed, c.ShareFair = true, s.Used, s.Fair
	}
	l.lastTicket++
	c.Ticket = l.lastTicket
	l.record(r, c, now)
	return c
}

// best returns the choice with the lowest cost.
func (l *LoadTracker) best(r Request, now time.Time) Choice {
	best, least := Choice{Index: -1}, 0.0
	for i := range r.Replicas {
		if c, cost := l.evaluate(&r, i, now); best.Index < 0 || cost < least {
			best, least = c, cost
		}
	}
	return best
}

// evaluate returns the choice of candidate i and its cost in milliseconds. The
// cost is the time to the end of prefill, or to the end of the answer if the request
// is placed by completion, plus what the choice takes from other requests and the
// penalties for faults, distance and lateness.
func (l *LoadTracker) evaluate(r *Request, i int, now time.Time) (Choice, float64) {
	id := r.Replicas[i]
	c := Choice{Index: i, WaitMs: l.waitMs(r, id), PrefillMs: r.UnsharedMs}
	cost := r.remotePenalty(i)
	for _, p := range l.uncached(r, id, now) {
		c.PrefillMs += p.PrefillMs
		cost += p.ReprefillPenaltyMs
	}
	cost += r.latePenalty(c.WaitMs + c.PrefillMs)
	if !r.ByCompletion {
		return c, cost + l.faults[id].penaltyMs(now) + c.WaitMs + c.PrefillMs + slotSlowdown*r.SlotMs*float64(l.busySlots[id])
	}
	w := l.workOf(id)
	x := w.completionOn(r, c.WaitMs, c.PrefillMs, now)
	c.FinishMs, c.OthersMs = x.finishMs, x.othersMs
	if !w.fits(r) {
		cost += preemptionPenaltyMs
	}
	return c, cost + l.faults[id].completionPenaltyMs(now) + x.costMs()
}

// record counts the prompt at the replica chosen for it.
func (l *LoadTracker) record(r Request, c Choice, now time.Time) {
	id := r.Replicas[c.Index]
	p := placedPrompt{replica: id, parts: r.SharedPrefix, prefillMs: c.PrefillMs, placedAt: now, expiresAt: now.Add(expiryFactor*milliseconds(c.WaitMs+c.PrefillMs) + expiryMargin)}
	if r.ByCompletion {
		l.startRun(r, c, now)
		p.shared = l.shares.place(r, c, now)
		p.uncachedParts = l.uncached(&r, id, now)
	} else {
		l.countPrefill(id, c.PrefillMs, now)
	}
	if r.SlotMs > 0 {
		p.slot = &slotUse{replica: id, endsAt: now.Add(milliseconds(c.WaitMs + c.PrefillMs + r.SlotMs))}
		l.busySlots[id]++
		l.slots.push(p.slot)
	}
	l.open[c.Ticket] = p
	l.pendingMs[id] += c.PrefillMs
	for _, part := range r.SharedPrefix {
		if len(l.cached) < maxCachedParts {
			l.cached[cachedPart{part.Key, id}] = now.Add(cacheLifetime)
		}
	}
}

// uncached returns the parts of the shared prefix that the replica has to
// prefill: the first one that is not assumed to be cached there and all after it.
func (l *LoadTracker) uncached(r *Request, replica string, now time.Time) []PrefixPart {
	for i, p := range r.SharedPrefix {
		if !now.Before(l.cached[cachedPart{p.Key, replica}]) {
			return r.SharedPrefix[i:]
		}
	}
	return nil
}

// Prefilled removes the prompt from its replica's pending work and counts a
// success of the replica. The prompt's slot stays in use until its expected end.
func (l *LoadTracker) Prefilled(ticket uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.open[ticket]; ok {
		l.faults[p.replica] = l.faults[p.replica].withSuccess(now)
	}
	l.promptRead(ticket, now)
	l.closeTicket(ticket)
}

// Aborted removes a prompt that its replica did not serve, releases its slot and
// counts the fault, if any. It returns the replica's id if this fault takes its
// fault probability over avoidedThreshold, and an empty string otherwise.
func (l *LoadTracker) Aborted(ticket uint64, why Fault, now time.Time) (avoided string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.open[ticket]
	l.recentlyEnded.add(ticket)
	if !ok {
		l.endRun(ticket)
		return ""
	}
	l.withdrawPrefill(p, now)
	if why == NoFault {
		l.forgetParts(p.replica, p.uncachedParts)
	} else {
		l.forgetParts(p.replica, p.parts)
		if l.recordFault(p.replica, why, now) {
			avoided = p.replica
		}
	}
	l.releaseSlot(p.slot)
	l.endRun(ticket)
	l.closeTicket(ticket)
	p.shared.withdraw(now)
	return avoided
}

// forgetParts drops the cache entries of the parts at the replica.
func (l *LoadTracker) forgetParts(replica string, parts []PrefixPart) {
	for _, p := range parts {
		delete(l.cached, cachedPart{p.Key, replica})
	}
}

// recordFault counts a fault of the replica and reports whether it takes the
// fault probability over avoidedThreshold.
func (l *LoadTracker) recordFault(replica string, why Fault, now time.Time) bool {
	was := l.faults[replica]
	f := was.withFault(why, now)
	l.faults[replica] = f
	return was.at(now) < avoidedThreshold && f.probability >= avoidedThreshold
}

// closeTicket drops the ticket and its prefill time from the replica's pending work.
func (l *LoadTracker) closeTicket(ticket uint64) {
	p, ok := l.open[ticket]
	if !ok {
		return
	}
	delete(l.open, ticket)
	l.shares.close(p)
	l.pendingMs[p.replica] -= p.prefillMs
	if l.pendingMs[p.replica] < pendingEpsilonMs {
		delete(l.pendingMs, p.replica)
	}
}

// sweep drops expired prompts, fault estimates and cache entries, at most once
// per sweepInterval.
func (l *LoadTracker) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for t, p := range l.open {
		if now.After(p.expiresAt) {
			l.closeTicket(t)
		}
	}
	l.sweepWork(now)
	l.shares.sweep(now)
	for r, f := range l.faults {
		if f.isExpired(now) {
			delete(l.faults, r)
		}
	}
	for k, t := range l.cached {
		if now.After(t) {
			delete(l.cached, k)
		}
	}
}

// milliseconds converts a number of milliseconds, of which maxTimeMs count, to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(max(-maxTimeMs, min(ms, maxTimeMs)) * float64(time.Millisecond))
}
