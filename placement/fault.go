package placement

import (
	"math"
	"time"
)

// Fault is why a prompt came to nothing at its replica.
type Fault int

// The faults.
const (
	// NoFault: it was taken back, or its client left.
	NoFault Fault = iota
	// Unreachable: the replica could not be connected to.
	Unreachable
	// Rejected: the replica turned it away.
	Rejected
	// Failed: the replica took it and gave no sound answer.
	Failed
)

const (
	// faultCost is what a replica counts for that is sure to fail, in
	// milliseconds: more than the usual wait for a sound one, little enough
	// that it is tried again where all others wait longer.
	faultCost = 1500.0
	// faultHalf is the time in which half of a fault is forgotten: few are
	// tried at a replica that others avoid, so that only time shows it sound.
	faultHalf = time.Second
	// readPart is what is left of a fault by a prompt that was read.
	readPart = 0.7
	// avoidedFrom is how likely a fault must be for a line in the log: the
	// replica then counts for more than most others' waits.
	avoidedFrom = 0.5
	// noFault is what counts as none.
	noFault = 0.01

	// A replica that outFrom prompts in a row could not reach is left out: for
	// firstOut, and twice as long after each further one, up to mostOut. As long
	// as others are sound it must not be tried for their long waits: with 157 of
	// 192 replicas down, waits were above faultCost, so that 69 dead replicas were
	// tried 21 times each in two seconds, and requests ended after eight tries
	// though sound replicas were left. One that is gone for good is off the list
	// some seconds later; one that comes back has another id.
	outFrom  = 2
	firstOut = 250 * time.Millisecond
	mostOut  = 4 * time.Second
	// outCost is what one that is left out counts for, in milliseconds: more than
	// any wait, so that it is chosen only where all are left out.
	outCost = 1e6
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

// weights are what each fault adds, as a part of what is missing to a replica
// that is sure to fail. One that is not reached is gone as a rule; one
// instance may be cut off from it, but others then read there.
var weights = map[Fault]float64{Unreachable: 0.5, Rejected: 0.3, Failed: 0.25}

// fault is how likely a replica is to fail, from 0 to 1, as of a moment. All
// instances tell their keeper of the faults that they meet, so that the fleet
// need not find each faulty replica out once for every instance.
type fault struct {
	likely float64
	asOf   time.Time
	// unreached counts the prompts in a row that could not reach the replica,
	// outUntil is until when it is left out for that.
	unreached int
	outUntil  time.Time
}

// at returns how likely a fault is now.
func (f fault) at(now time.Time) float64 {
	if f.likely == 0 {
		return 0
	}
	return f.likely * math.Exp2(-now.Sub(f.asOf).Seconds()/faultHalf.Seconds())
}

// with returns the fault with another one counted.
func (f fault) with(why Fault, now time.Time) fault {
	x := f.at(now)
	f.likely, f.asOf = x+weights[why]*(1-x), now
	if why != Unreachable {
		return f
	}
	f.unreached++
	if n := f.unreached - outFrom; n >= 0 {
		f.outUntil = now.Add(min(mostOut, firstOut<<min(n, maxDoublings)))
	}
	return f
}

// maxDoublings keeps the time from overflowing; mostOut is reached long before.
const maxDoublings = 8

// cost is what the replica's faults count for now, in milliseconds.
func (f fault) cost(now time.Time) float64 {
	c := faultCost * f.at(now)
	if now.Before(f.outUntil) {
		c += outCost
	}
	return c
}

// isOver reports whether nothing is left of the fault.
func (f fault) isOver(now time.Time) bool {
	return f.at(now) < noFault && !now.Before(f.outUntil.Add(mostOut))
}

// withRead returns the fault with a prompt counted that was read.
func (f fault) withRead(now time.Time) fault {
	return fault{likely: readPart * f.at(now), asOf: now}
}
