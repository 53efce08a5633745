package placement

import (
	"math"
	"time"
)

const (
	// baseStepMs is the time in which an engine generates one token for each of its
	// streams if few run there, in milliseconds.
	baseStepMs = 3.5
	// prefillTokensPerStep is what one more stream adds to each step, as a number of
	// prompt tokens of the stream's model that the replica could prefill in that time.
	prefillTokensPerStep = 6.0
	// prefillWindow is the time constant of the average from which the fraction of
	// time that a replica spends on prefill is computed. It spans several prompts of
	// a busy replica and follows a change of load within a few seconds.
	prefillWindow = 4 * time.Second
	// maxPrefillFraction bounds that fraction, as the replica generates tokens
	// between the chunks of its prompts even if prompts are always waiting.
	maxPrefillFraction = 0.85
	// minRemainingMs is the least time for which a running stream is expected to go
	// on. Streams that outlast their expected end still take time of the replica.
	minRemainingMs = 20.0
	// runExpiry is how long after its expected end a run is dropped whose end was
	// not reported, because the datagram or the instance was lost. It is longer than
	// most answers exceed their expected time.
	runExpiry = 10 * time.Second
	// preemptionPenaltyMs is the cost of a replica whose memory would not hold the
	// new run, in milliseconds. The engine would preempt a run there and prefill it
	// again later. It exceeds the usual wait.
	preemptionPenaltyMs = 3000.0
	// fullDelayMs is the time to the end of an answer from which the delay of other
	// streams counts fully; below, it counts in proportion to that time. If it always
	// counted fully, short answers would wait behind long prompts in order to spare
	// streams that are slowed by a small fraction.
	fullDelayMs = 1000.0
	// maxKnownRuns bounds the runs that an owner counts, at some 300 bytes each. It
	// exceeds the slots of 48 replicas with 64 slots twice. Further runs are placed
	// without being counted.
	maxKnownRuns = 8192
)

// run is a request that is placed on a replica and has not ended.
type run struct {
	replica string
	// pace is the prefill time of a token of its model, in milliseconds.
	pace         float64
	memoryTokens float64
	endsAt       time.Time
	// customer is the name of the customer, empty if there is none.
	customer string
	// group is the group of the replica, and estimatedMs the generation time of the answer before it
	// is scaled by what was learned; both are known of runs that this owner placed.
	group       string
	estimatedMs float64
	prefilledAt time.Time
}

// replicaWork is the work of all instances on one replica.
type replicaWork struct {
	runs []*run
	// ends has the expected end of each run, in Unix nanoseconds. Each choice reads
	// the ends at all candidates, which with time.Time takes more than half as long again.
	ends         []int64
	paces        float64
	memoryTokens float64
	prefill      decayingSum
}

// decayingSum is a sum of values, each of which decays exponentially with
// prefillWindow.
type decayingSum struct {
	sum  float64
	asOf time.Time
}

// at returns the sum at the given time.
func (d decayingSum) at(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.asOf))/float64(prefillWindow))
}

// with returns the sum with one more value.
func (d decayingSum) with(x float64, now time.Time) decayingSum {
	return decayingSum{sum: d.at(now) + x, asOf: now}
}

// prefillFraction is the fraction of time that the replica spent on prefill lately.
func (w *replicaWork) prefillFraction(now time.Time) float64 {
	return min(maxPrefillFraction, w.prefill.at(now)/(prefillWindow.Seconds()*1000))
}

// stepMs is the time in which an engine generates one token for each of its streams,
// in milliseconds. paces is the sum of their paces.
func stepMs(paces float64) float64 { return baseStepMs + prefillTokensPerStep*paces }

// completion is the effect of a placement on the time until answers are complete, in
// milliseconds.
type completion struct {
	// finishMs is the time to the end of the answer, othersMs the total delay of the
	// other streams on the replica.
	finishMs, othersMs float64
}

// costMs weighs the time to the end of the answer against the delay of the others.
func (c completion) costMs() float64 {
	return c.finishMs + c.othersMs*min(1, c.finishMs/fullDelayMs)
}

// completionOn estimates the effect of placing the request on the replica. prefillMs is
// the prefill time there, after a wait of waitMs.
func (w *replicaWork) completionOn(r *Request, waitMs, prefillMs float64, now time.Time) completion {
	before, after := stepMs(w.paces), stepMs(w.paces+r.Pace)
	generateMs := r.generationScale * r.OutputTokens * after / (1 - w.prefillFraction(now))
	c := completion{finishMs: waitMs + prefillMs + generateMs}
	c.othersMs = prefillMs*float64(len(w.runs)) + (after/before-1)*w.overlapMs(generateMs, now)
	return c
}

// overlapMs is the sum, over the runs, of the time for which each goes on while a new
// run generates its answer, in milliseconds.
func (w *replicaWork) overlapMs(generateMs float64, now time.Time) float64 {
	sum, nowNs := 0.0, now.UnixNano()
	for _, e := range w.ends {
		ms := float64(e-nowNs) * (1 / float64(time.Millisecond))
		if ms < minRemainingMs {
			ms = minRemainingMs
		}
		if ms > generateMs {
			ms = generateMs
		}
		sum += ms
	}
	return sum
}

// fits reports whether the replica's memory holds the new run beside the others.
func (w *replicaWork) fits(r *Request) bool {
	return r.ReplicaMemoryTokens <= 0 || w.memoryTokens+r.MemoryTokens <= r.ReplicaMemoryTokens
}

// add counts a run and the prefill of its prompt.
func (w *replicaWork) add(x *run, prefillMs float64, now time.Time) {
	w.runs = append(w.runs, x)
	w.ends = append(w.ends, x.endsAt.UnixNano())
	w.paces += x.pace
	w.memoryTokens += x.memoryTokens
	w.prefill = w.prefill.with(prefillMs, now)
}

// withdrawPrefill subtracts the prefill of a prompt that was counted at the given time.
func (w *replicaWork) withdrawPrefill(prefillMs float64, counted, now time.Time) {
	d := decayingSum{sum: prefillMs, asOf: counted}
	w.prefill = decayingSum{sum: max(0, w.prefill.at(now)-d.at(now)), asOf: now}
}

// remove subtracts a run.
func (w *replicaWork) remove(x *run) {
	for i, y := range w.runs {
		if y != x {
			continue
		}
		last := len(w.runs) - 1
		w.runs[i], w.runs[last] = w.runs[last], nil
		w.runs = w.runs[:last]
		w.ends[i] = w.ends[last]
		w.ends = w.ends[:last]
		w.paces -= x.pace
		w.memoryTokens -= x.memoryTokens
		break
	}
	if len(w.runs) == 0 {
		// Sums of floating-point values may leave a rounding error.
		w.paces, w.memoryTokens = 0, 0
	}
}

// isIdle reports whether the replica's work no longer affects any choice.
func (w *replicaWork) isIdle(now time.Time) bool {
	return len(w.runs) == 0 && w.prefillFraction(now) < negligiblePrefillFraction
}

// negligiblePrefillFraction is the fraction of time spent on prefill below which a
// replica without runs is forgotten.
const negligiblePrefillFraction = 0.001

// idleWork is the work of a replica on which nothing was placed.
var idleWork replicaWork

// workOf returns the work of the replica for reading.
func (l *LoadTracker) workOf(replica string) *replicaWork {
	if w, ok := l.work[replica]; ok {
		return w
	}
	return &idleWork
}

// replicaWorkOf returns the work of the replica for writing.
func (l *LoadTracker) replicaWorkOf(replica string) *replicaWork {
	w, ok := l.work[replica]
	if !ok {
		w = &replicaWork{}
		l.work[replica] = w
	}
	return w
}

// startRun counts the run of a placed request.
func (l *LoadTracker) startRun(r Request, c Choice, now time.Time) {
	// A run that another owner placed and that was reported to this one may have the
	// same number.
	l.closeTicket(c.Ticket)
	l.endRun(c.Ticket)
	l.countRun(c.Ticket, &run{
		replica: r.Replicas[c.Index], pace: r.Pace, memoryTokens: r.MemoryTokens, endsAt: r.expectedEnd(c, now), customer: r.Customer,
		group: r.Group, estimatedMs: (c.FinishMs - c.WaitMs - c.PrefillMs) / r.generationScale,
	}, c.PrefillMs, now)
}

// countRun adds the run and its prefill to its replica's work; the prefill alone if too many runs are
// known.
func (l *LoadTracker) countRun(ticket uint64, x *run, prefillMs float64, now time.Time) {
	if len(l.runs) >= maxKnownRuns {
		l.countPrefill(x.replica, prefillMs, now)
		return
	}
	l.replicaWorkOf(x.replica).add(x, prefillMs, now)
	l.runs[ticket] = x
}

// endRun subtracts the run of the ticket, if there is one.
func (l *LoadTracker) endRun(ticket uint64) {
	x, ok := l.runs[ticket]
	if !ok {
		return
	}
	delete(l.runs, ticket)
	l.work[x.replica].remove(x)
}

// countPrefill counts the prefill of a prompt that was not placed by completion.
func (l *LoadTracker) countPrefill(replica string, prefillMs float64, now time.Time) {
	w := l.replicaWorkOf(replica)
	w.prefill = w.prefill.with(prefillMs, now)
}

// withdrawPrefill subtracts the prefill of a prompt that its replica did not prefill.
// Otherwise refused and withdrawn prompts would make the replica look busy.
func (l *LoadTracker) withdrawPrefill(p placedPrompt, now time.Time) {
	if w, ok := l.work[p.replica]; ok {
		w.withdrawPrefill(p.prefillMs, p.placedAt, now)
	}
}

// sweepWork drops runs whose end was not reported, and idle replicas.
func (l *LoadTracker) sweepWork(now time.Time) {
	for t, x := range l.runs {
		if now.After(x.endsAt.Add(runExpiry)) {
			l.endRun(t)
		}
	}
	for id, w := range l.work {
		if w.isIdle(now) {
			delete(l.work, id)
		}
	}
}

// Ended removes the run of a ticket whose request has ended or whose answer was dropped,
// and its pending prefill if the report of its end was lost.
func (l *LoadTracker) Ended(ticket uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentlyEnded.add(ticket)
	l.closeTicket(ticket)
	l.endRun(ticket)
}
