package placement

import "time"

// ColdBound is how many requests a second a cold replica may get from the whole
// fleet, by what it says that it bears.
type ColdBound struct {
	// Overage times what it bears a second, and Slack on top.
	Overage, Slack float64
}

// keepersAtOnce is how many keepers may send to one cold replica at a time without
// the fleet's bound being broken: those of an old and of a new list of instances, or
// of an old and of a new number of groups. It also covers requests of two seconds that
// arrive within one.
const keepersAtOnce = 2

// PerKeeper is how many requests a keeper may send in any second to a cold replica
// that bears perSecond: no more than that, as it falls over above it.
func (b ColdBound) PerKeeper(perSecond float64) float64 {
	return min(perSecond, (b.Overage*perSecond+b.Slack)/keepersAtOnce)
}

const (
	// coldSpan is the time in which the requests at a cold replica are counted.
	coldSpan = time.Second
	// wordWithin is how long after a replica's start its own word may come that it is
	// cold: the second or so between its writes, and the seconds in which a change of
	// the store is known everywhere.
	wordWithin = 3 * time.Second
)

// SuspectFor is how long a replica counts as cold that could not be reached: it may
// have started again, and be tried again so late for that. One that broke an answer off
// is not meant: where a few in a hundred do, all replicas would be bounded all the time,
// and of a service with 80 requests a second before four replicas nearly all were refused.
const SuspectFor = mostOut + wordWithin

// arrivals are the moments at which a replica was sent its requests of the last span,
// the oldest first.
type arrivals []time.Time

// in returns those of the span that ends now.
func (a arrivals) in(now time.Time) arrivals {
	for len(a) > 0 && now.Sub(a[0]) >= coldSpan {
		a = a[1:]
	}
	return a
}

// mayTake reports whether the candidate may get another request now. One that is cold
// by the asker's word gets none from an instance that may not be the only keeper. One
// that is only suspect is bounded there as well.
func (l *Ledger) mayTake(a Ask, i int, only bool, now time.Time) bool {
	if a.ColdPerSecond <= 0 {
		return true
	}
	r := a.Replicas[i]
	cold := a.isCold(i)
	if cold && !only {
		return false
	}
	if !cold && !now.Before(l.faults[r].suspectUntil) {
		return true
	}
	return float64(len(l.sent[r].in(now))+1) <= a.ColdPerSecond
}

// noteArrival counts a request that is sent to the replica.
func (l *Ledger) noteArrival(a Ask, replica string, now time.Time) {
	if a.ColdPerSecond > 0 {
		l.sent[replica] = append(l.sent[replica].in(now), now)
	}
}

// sweepArrivals drops what is over.
func (l *Ledger) sweepArrivals(now time.Time) {
	for r, a := range l.sent {
		if len(a.in(now)) == 0 {
			delete(l.sent, r)
		}
	}
}
