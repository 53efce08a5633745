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
)

// run is a request that is placed on a replica and has not ended.
type run struct {
	replica string
	// pace is the prefill time of a token of its model, in milliseconds.
	pace         float64
	memoryTokens float64
	endsAt       time.Time
}

// remainingMs is the time for which the run is expected to go on, in milliseconds.
func (r *run) remainingMs(now time.Time) float64 {
	return max(minRemainingMs, r.endsAt.Sub(now).Seconds()*1000)
}

// replicaWork is the work of all instances on one replica.
type replicaWork struct {
	runs         []*run
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
	return d.sum * math.Exp(-now.Sub(d.asOf).Seconds()/prefillWindow.Seconds())
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

// completionOn estimates the effect of placing the request on the replica. prefillMs is
// the prefill time there, after a wait of waitMs.
func (w *replicaWork) completionOn(r Request, waitMs, prefillMs float64, now time.Time) completion {
	before, after := stepMs(w.paces), stepMs(w.paces+r.Pace)
	generateMs := r.OutputTokens * after / (1 - w.prefillFraction(now))
	c := completion{finishMs: waitMs + prefillMs + generateMs}
	slowdown := after/before - 1
	for _, x := range w.runs {
		c.othersMs += prefillMs + slowdown*min(x.remainingMs(now), generateMs)
	}
	return c
}

// fits reports whether the replica's memory holds the new run beside the others.
func (w *replicaWork) fits(r Request) bool {
	return r.ReplicaMemoryTokens <= 0 || w.memoryTokens+r.MemoryTokens <= r.ReplicaMemoryTokens
}

// add counts a run and the prefill of its prompt.
func (w *replicaWork) add(x *run, prefillMs float64, now time.Time) {
	w.runs = append(w.runs, x)
	w.paces += x.pace
	w.memoryTokens += x.memoryTokens
	w.prefill = w.prefill.with(prefillMs, now)
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

// startRun counts the run of a placed request.
func (l *LoadTracker) startRun(r Request, c Choice, now time.Time) {
	id := r.Replicas[c.Index]
	w, ok := l.work[id]
	if !ok {
		w = &replicaWork{}
		l.work[id] = w
	}
	x := &run{replica: id, pace: r.Pace, memoryTokens: r.MemoryTokens, endsAt: now.Add(milliseconds(c.FinishMs))}
	w.add(x, c.PrefillMs, now)
	l.runs[c.Ticket] = x
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

// Ended removes the run of a ticket whose request has ended or whose answer was dropped.
func (l *LoadTracker) Ended(ticket uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endRun(ticket)
}
