package load

import (
	"math/rand/v2"
	"time"
)

// maxAge is the age from which a report counts for nothing.
const maxAge = time.Second

const (
	// requestsDecay and slownessDecay are the ages at which the two parts of a report count with
	// probability 1/e. All callers react to the same queue, so that it changes within the time of a few
	// requests; the slowness does not depend on choices.
	requestsDecay = 200 * time.Millisecond
	slownessDecay = 400 * time.Millisecond
)

// Age returns the time since the report arrived.
func (s *Sample) Age(now time.Time) time.Duration { return max(0, now.Sub(s.ReceivedAt)) }

// IsCurrent reports whether the report may count.
func (s *Sample) IsCurrent(now time.Time) bool { return s.Age(now) < maxAge }

// drawCounts draws whether a part of a report counts at the age: always on arrival, with a
// probability of 1/e at the decay.
func drawCounts(age, decay time.Duration, r *rand.Rand) bool {
	return r.ExpFloat64()*float64(decay) >= float64(age)
}

// Drawn is a report with the parts of it that count in one choice.
type Drawn struct {
	*Sample
	UsesRequests, UsesSlowness bool
}

// Draw draws whether the parts of a current report count in a choice. If they counted in each choice
// with a lower value instead, all callers would still make the same choice by the same
// old report, and answers would take longer than without reports.
func (s *Sample) Draw(now time.Time, r *rand.Rand) Drawn {
	age := s.Age(now)
	return Drawn{Sample: s, UsesRequests: drawCounts(age, requestsDecay, r), UsesSlowness: drawCounts(age, slownessDecay, r)}
}

// Expected is the load that is expected at a replica from reports.
type Expected struct {
	// OthersPerSlot are the requests of other instances per slot.
	OthersPerSlot float64
	// Slowness is how long work takes, relative to the usual time.
	Slowness float64
	// Slots is 0 if the replica itself reported none.
	Slots int
}

// Mean returns the mean load in the reports. ok is false if no part of any report counts.
func Mean(l []Drawn) (e Expected, ok bool) {
	e.Slowness = 1
	var others, slowness float64
	var requestCount, slownessCount int
	for _, d := range l {
		if d.UsesRequests {
			others += d.OthersPerSlot()
			requestCount++
		}
		if d.UsesSlowness {
			slowness += d.Slowness
			slownessCount++
		}
	}
	if requestCount > 0 {
		e.OthersPerSlot = others / float64(requestCount)
	}
	if slownessCount > 0 {
		e.Slowness = slowness / float64(slownessCount)
	}
	return e, requestCount+slownessCount > 0
}

// WithReport returns e with the parts of the replica's own report that count.
func (e Expected) WithReport(d Drawn) Expected {
	e.Slots = d.Slots
	if d.UsesRequests {
		e.OthersPerSlot = d.OthersPerSlot()
	}
	if d.UsesSlowness {
		e.Slowness = d.Slowness
	}
	return e
}
