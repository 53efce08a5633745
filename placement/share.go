package placement

import (
	"math"
	"time"

	"fieldvale/share"
)

const (
	// shareWindow is the window of the customers' work. It spans several requests of a
	// small customer and is shorter than the usual peak of a customer's load.
	shareWindow = 5 * time.Second
	// stallFraction is the average fraction of time spent on prefill from which a group
	// is short: streams then take five times as long as without prefill.
	stallFraction = 0.8
	// minShortWaitMs is the least queued prefill at each replica of a short group, in
	// milliseconds. It is that of several prompts. A request that is late for another
	// reason, as after a failed attempt, doesn't make its group short.
	minShortWaitMs = 500.0
	// lateFinishFraction is the part of a request's time left from which its group is short if
	// the whole answer takes longer. A group may be short of capacity for generation with little
	// prefill queued, and its streams slow down further as others follow.
	lateFinishFraction = 0.75
	// faultyPenaltyMs is the penalty for faults from which a replica doesn't count for
	// whether its group is short, in milliseconds: nothing waits at a failed replica.
	faultyPenaltyMs = faultPenaltyMs * avoidedThreshold
	// minCandidateFraction is the fraction of a group's candidates below which a request
	// doesn't show whether the group is short, as one with a permit for a single replica.
	minCandidateFraction = 0.5
	// begunPrefillMs bounds the time for which a demoted prompt that an engine has begun
	// delays the others, in milliseconds: engines prefill a prompt in chunks of about
	// that time.
	begunPrefillMs = 100.0
)

// groupShares has the work of customers in each group of an owner, of requests that were
// placed by completion.
type groupShares struct {
	groups map[string]*groupShare
	// demotedMs is the part of the prefill work queued at each replica that belongs to
	// demoted requests, in milliseconds.
	demotedMs map[string]float64
}

func newGroupShares() groupShares {
	return groupShares{groups: map[string]*groupShare{}, demotedMs: map[string]float64{}}
}

// groupShare is the account of one group.
type groupShare struct {
	account *share.Account
	// candidates is the largest number of candidates of a request since the given time, and
	// previous that of the shareWindow before.
	candidates, previous int
	since                time.Time
}

// observe records the number of a request's candidates.
func (g *groupShare) observe(candidates int, now time.Time) {
	if now.Sub(g.since) >= shareWindow {
		g.previous, g.candidates, g.since = g.candidates, 0, now
	}
	g.candidates = max(g.candidates, candidates)
}

// represents reports whether so many candidates are enough to judge the group by.
func (g *groupShare) represents(candidates int) bool {
	return float64(candidates) >= minCandidateFraction*float64(max(g.candidates, g.previous))
}

// sharedWork is the work of a placed prompt in the account of its group.
type sharedWork struct {
	account *share.Account
	item    share.Item
	demoted bool
}

// WorkMs is the time of a replica that a request takes, in milliseconds: the prefill of its
// prompt, and by what its tokens delay those of other streams. pace is the prefill time of a
// token of the model.
func WorkMs(prefillMs, pace, outputTokens float64) float64 {
	return prefillMs + prefillTokensPerStep*pace*outputTokens
}

// place records the work of a placed prompt; nil if the request has no group.
func (s groupShares) place(r Request, c Choice, now time.Time) *sharedWork {
	if r.Group == "" {
		return nil
	}
	g, ok := s.groups[r.Group]
	if !ok {
		g = &groupShare{account: share.NewAccount(shareWindow), since: now}
		s.groups[r.Group] = g
	}
	g.observe(len(r.Replicas), now)
	if c.Demoted {
		s.demotedMs[r.Replicas[c.Index]] += c.PrefillMs
	}
	return &sharedWork{account: g.account, item: g.account.Place(r.Customer, WorkMs(c.PrefillMs, r.Pace, r.OutputTokens), now), demoted: c.Demoted}
}

// close removes a prompt that no longer waits from the demoted work of its replica.
func (s groupShares) close(p placedPrompt) {
	if p.shared == nil || !p.shared.demoted {
		return
	}
	s.demotedMs[p.replica] -= p.prefillMs
	if s.demotedMs[p.replica] < pendingEpsilonMs {
		delete(s.demotedMs, p.replica)
	}
}

// withdraw removes the work of a prompt that was not served from its customer's.
func (w *sharedWork) withdraw(now time.Time) {
	if w != nil {
		w.account.Withdraw(w.item, now)
	}
}

// sweep drops the accounts of groups that are no longer used.
func (s groupShares) sweep(now time.Time) {
	for name, g := range s.groups {
		if g.account.IsIdle(now) {
			delete(s.groups, name)
		}
	}
}

// standing returns the use of the group by the request's customer; zero unless the group is
// short of capacity for prefill.
func (l *LoadTracker) standing(r Request, now time.Time) share.Standing {
	if r.Group == "" || !l.isShort(r, now) {
		return share.Standing{}
	}
	return l.groupStanding(r, now)
}

// groupStanding returns the use of the group by the request's customer; zero if nothing is known
// of the group or the request's candidates are too few to judge it by.
func (l *LoadTracker) groupStanding(r Request, now time.Time) share.Standing {
	g := l.shares.groups[r.Group]
	if g == nil || !g.represents(len(r.Replicas)) {
		return share.Standing{}
	}
	return g.account.Standing(r.Customer, now)
}

// finishesLate reports whether the group is short of capacity for generation: on its best
// candidate the answer takes most of the time left. It doesn't show that if it takes as long on an
// idle replica.
func (r Request) finishesLate(c Choice) bool {
	most := lateFinishFraction * r.DeadlineMs
	return r.ByCompletion && r.DeadlineMs > 0 && c.FinishMs > most && c.PrefillMs+r.generationScale*r.OutputTokens*stepMs(r.Pace) <= most
}

// isShort reports whether the group is short of capacity: even its least loaded candidate
// would send the first event too late, or streams stall most of the time.
func (l *LoadTracker) isShort(r Request, now time.Time) bool {
	waitMs, firstMs, fractions, n := math.Inf(1), math.Inf(1), 0.0, 0
	for _, id := range r.Replicas {
		if l.faults[id].penaltyMs(now) >= faultyPenaltyMs {
			continue
		}
		n++
		fractions += l.workOf(id).prefillFraction(now)
		w := l.pendingMs[id]
		waitMs = min(waitMs, w)
		first := w + r.UnsharedMs
		for _, p := range l.uncached(&r, id, now) {
			first += p.PrefillMs
		}
		firstMs = min(firstMs, first)
	}
	if n == 0 {
		return false
	}
	return fractions > stallFraction*float64(n) || r.TimeLeftMs > 0 && waitMs >= minShortWaitMs && firstMs > r.TimeLeftMs
}

// waitMs is the prefill work queued at the replica before the request, in milliseconds.
// Engines prefill demoted prompts after the others.
func (l *LoadTracker) waitMs(r *Request, replica string) float64 {
	w := l.pendingMs[replica]
	if !r.ByCompletion || r.demoted {
		return w
	}
	d := l.shares.demotedMs[replica]
	return max(0, w-d) + min(d, begunPrefillMs)
}

// WorkShares returns each customer's fraction of the work placed lately in the tracker's groups.
// At most share.MaxCustomers are named.
func (l *LoadTracker) WorkShares(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, total := map[string]float64{}, 0.0
	for _, g := range l.shares.groups {
		for c, w := range g.account.ByCustomer(now) {
			if _, ok := m[c]; !ok && len(m) >= share.MaxCustomers {
				c = share.Others
			}
			m[c] += w
			total += w
		}
	}
	for c := range m {
		m[c] /= max(1, total)
	}
	return m
}

// WorkShares returns each customer's fraction of the work placed lately in the groups that this
// instance owns.
func (n *Node) WorkShares() map[string]float64 { return n.tracker.WorkShares(n.clock()) }
