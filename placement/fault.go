package placement

import (
	"math"
	"time"
)

// Fault is the reason why a replica did not serve a prompt.
type Fault int

// The faults.
const (
	// NoFault: the placement was withdrawn or the client disconnected.
	NoFault Fault = iota
	// Unreachable: connecting to the replica failed.
	Unreachable
	// Rejected: the replica refused the prompt because it was full.
	Rejected
	// Failed: the replica accepted the prompt but gave no valid answer.
	Failed
)

const (
	// faultPenaltyMs is the cost, in milliseconds, of a replica that is certain
	// to fail. It exceeds the usual wait for a sound replica, and is low enough
	// for the faulty one to be retried when all others wait longer.
	faultPenaltyMs = 1500.0
	// completionFaultPenaltyMs is that cost for requests that are placed by completion. It
	// exceeds the time of most answers: a replica that fails all its prompts has no runs,
	// so that its whole answer seems to be complete seconds before that of the others.
	completionFaultPenaltyMs = 6000.0
	// faultHalfLife is the time in which the fault probability of a replica
	// halves. A replica that is avoided gets few prompts that could show that it
	// has recovered, so the estimate has to decay by time.
	faultHalfLife = time.Second
	// successFactor multiplies the fault probability when the replica has
	// prefilled a prompt.
	successFactor = 0.7
	// avoidedThreshold is the fault probability from which a replica is logged as
	// avoided: its penalty then exceeds the usual wait at most other replicas.
	avoidedThreshold = 0.5
	// negligibleFault is the fault probability below which a replica counts as
	// sound.
	negligibleFault = 0.01

	// A replica is excluded after exclusionThreshold consecutive prompts could
	// not reach it: for firstExclusion, doubled with each further one up to
	// maxExclusion. As long as sound replicas are left, long waits there must not
	// lead to attempts at an unreachable one. Without the exclusion, when 157 of
	// 192 replicas are down, waits exceed faultPenaltyMs: 69 dead replicas were
	// tried 21 times each within two seconds, and requests failed after eight
	// attempts although sound replicas were left. A replica that is gone for good
	// disappears from the platform's list some seconds later; one that restarts
	// has a new id.
	exclusionThreshold = 2
	firstExclusion     = 250 * time.Millisecond
	maxExclusion       = 4 * time.Second
	// failureExclusionThreshold is the number of consecutive prompts that a replica accepted and
	// failed from which it is excluded in the same way for requests that are placed by
	// completion. It is higher than exclusionThreshold, as a replica that fails a part of
	// its prompts still serves the others.
	failureExclusionThreshold = 3
	// exclusionPenaltyMs is the cost of an excluded replica, in milliseconds. It
	// exceeds any wait, so that such a replica is chosen only if all are
	// excluded.
	exclusionPenaltyMs = 1e6
)

// String returns the fault's name in the log.
func (f Fault) String() string {
	switch f {
	case Unreachable:
		return "not reached"
	case Rejected:
		return "full"
	case Failed:
		return "broken"
	}
	return "none"
}

// faultWeights are the fractions by which a fault of each kind closes the gap
// between a replica's fault probability and 1. An unreachable replica is usually
// gone. If only one instance is cut off from it, the prompts of others are
// prefilled there and lower the estimate again.
var faultWeights = map[Fault]float64{Unreachable: 0.5, Rejected: 0.3, Failed: 0.25}

// faultEstimate is the probability, from 0 to 1, that a replica fails a prompt,
// as of a moment. All instances report faults to the owner of the replica's
// group, so that each instance does not have to discover a faulty replica by
// itself.
type faultEstimate struct {
	probability float64
	asOf        time.Time
	// unreachable counts the consecutive prompts that could not reach the
	// replica, which is excluded until excludedUntil because of them.
	unreachable   int
	excludedUntil time.Time
	// failed counts the consecutive prompts that the replica accepted and failed, which
	// excludes it until failedUntil from requests that are placed by completion.
	failed      int
	failedUntil time.Time
}

// at returns the fault probability at the given time.
func (f faultEstimate) at(now time.Time) float64 {
	if f.probability == 0 {
		return 0
	}
	return f.probability * math.Exp2(-now.Sub(f.asOf).Seconds()/faultHalfLife.Seconds())
}

// withFault returns the estimate after a further fault.
func (f faultEstimate) withFault(why Fault, now time.Time) faultEstimate {
	p := f.at(now)
	f.probability, f.asOf = p+faultWeights[why]*(1-p), now
	switch why {
	case Unreachable:
		f.unreachable++
		f.excludedUntil = later(f.excludedUntil, exclusionEnd(f.unreachable-exclusionThreshold, now))
	case Failed:
		f.failed++
		f.failedUntil = later(f.failedUntil, exclusionEnd(f.failed-failureExclusionThreshold, now))
	}
	return f
}

// exclusionEnd is the end of an exclusion after n faults more than its threshold; zero if n is
// negative.
func exclusionEnd(n int, now time.Time) time.Time {
	if n < 0 {
		return time.Time{}
	}
	return now.Add(min(maxExclusion, firstExclusion<<min(n, maxDoublings)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxDoublings keeps the exclusion time from overflowing; maxExclusion is
// reached long before.
const maxDoublings = 8

// penaltyMs is the cost of the replica for its faults, in milliseconds.
func (f faultEstimate) penaltyMs(now time.Time) float64 { return f.penaltyOf(faultPenaltyMs, now) }

// completionPenaltyMs is that cost for requests that are placed by completion.
func (f faultEstimate) completionPenaltyMs(now time.Time) float64 {
	c := f.penaltyOf(completionFaultPenaltyMs, now)
	if now.Before(f.failedUntil) {
		c += exclusionPenaltyMs
	}
	return c
}

// penaltyOf is the cost of the replica if one that is certain to fail costs certainMs.
func (f faultEstimate) penaltyOf(certainMs float64, now time.Time) float64 {
	c := certainMs * f.at(now)
	if now.Before(f.excludedUntil) {
		c += exclusionPenaltyMs
	}
	return c
}

// isExpired reports whether the estimate no longer affects any choice.
func (f faultEstimate) isExpired(now time.Time) bool {
	return f.at(now) < negligibleFault && !now.Before(later(f.excludedUntil, f.failedUntil).Add(maxExclusion))
}

// withSuccess returns the estimate after the replica has prefilled a prompt. It
// ends an exclusion and resets the count of consecutive failures to connect.
func (f faultEstimate) withSuccess(now time.Time) faultEstimate {
	return faultEstimate{probability: successFactor * f.at(now), asOf: now}
}
