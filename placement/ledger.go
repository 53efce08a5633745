// Package placement chooses replicas for prompts with the knowledge of the
// whole fleet. Instances that choose by their own work alone meet on the same
// replicas by chance, since each sees a small part of the load. So the
// replicas of a service are put into groups, and one instance, the group's
// keeper, holds the ledger of the work that all instances have sent there and
// not yet seen read. It costs one exchange of datagrams a prompt, whatever the
// size of the fleet. Nothing is lost with a keeper: the next one starts with
// an empty ledger, and an instance that gets no answer chooses by itself.
package placement

import (
	"sync"
	"time"
)

const (
	// keptFor is how long a part of a prompt is taken to be kept by the
	// replica that read it last; engines drop what is unused the longest.
	keptFor = 20 * time.Second
	// forgetFactor times a prompt's cost, and forgetMargin on top, is how
	// long the ledger holds work of which nobody says that it was read.
	forgetFactor = 4
	forgetMargin = 2 * time.Second
	// slotCost times the time that a run holds its slot, for each slot taken of
	// those there are, is what a busier replica counts for: it makes tokens of
	// all its streams more slowly, by some 2% for each.
	slotCost = 0.02
	// latePart of the time that a prompt has is what it may be expected to
	// take without counting as late, lateWeight what each millisecond over
	// that counts for on top: then it is better to read a long shared part
	// again, whatever that takes from others.
	latePart   = 0.3
	lateWeight = 8.0
	// maxKept bounds the parts remembered; at 64 bytes each some 4 MB.
	maxKept = 1 << 16
	// noWork is what sums of floating-point costs leave at a replica that has
	// nothing to read, in milliseconds.
	noWork = 1e-6
	// sweepEvery bounds how often what is over is looked for.
	sweepEvery = 500 * time.Millisecond
)

// work is a prompt that a replica is to read.
type work struct {
	replica  string
	cost     float64
	forgetAt time.Time
	// run is what holds the slot, nil if its time is not known.
	run *run
	// parts are what the replica keeps once it has read the prompt.
	parts []PrefixPart
}

type keptPart struct {
	key     string
	replica string
}

// Ledger is what a keeper knows. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	pending map[string]float64
	open    map[uint64]work
	// runs are expected to hold slots until they end; busy counts them.
	runs runs
	busy map[string]int
	// faults are what instances met with at replicas.
	faults  map[string]fault
	kept    map[keptPart]time.Time
	next    uint64
	sweepAt time.Time
}

// NewLedger returns an empty ledger. start makes its tickets differ from
// those of an earlier run.
func NewLedger(start uint64) *Ledger {
	return &Ledger{
		pending: map[string]float64{}, open: map[uint64]work{}, busy: map[string]int{},
		faults: map[string]fault{}, kept: map[keptPart]time.Time{}, next: start,
	}
}

// Choose places a prompt where it counts for the least time, and notes it there. Its index
// is below 0 if there are no candidates.
func (l *Ledger) Choose(a Request, now time.Time) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	l.endRuns(now)
	c := l.best(a, now)
	if c.Index < 0 {
		return c
	}
	l.next++
	c.Ticket = l.next
	l.note(a, c, now)
	return c
}

// best returns the choice with the least time, as it counts.
func (l *Ledger) best(a Request, now time.Time) Choice {
	best, least := Choice{Index: -1}, 0.0
	for i := range a.Replicas {
		if c, t := l.at(a, i, now); best.Index < 0 || t < least {
			best, least = c, t
		}
	}
	return best
}

// at returns the choice of one candidate and the time that it counts for, in
// milliseconds: its own and what it takes from others, as by reading a shared
// part again.
func (l *Ledger) at(a Request, i int, now time.Time) (Choice, float64) {
	r := a.Replicas[i]
	c := Choice{Index: i, WaitMs: l.pending[r], PrefillMs: a.UnsharedMs}
	t := c.WaitMs + c.PrefillMs + slotCost*a.SlotMs*float64(l.busy[r]) + l.faults[r].cost(now) + a.far(i)
	for _, p := range l.unread(a, r, now) {
		c.PrefillMs += p.PrefillMs
		t += p.PrefillMs + p.ReprefillPenaltyMs
	}
	return c, t + a.late(c.WaitMs+c.PrefillMs)
}

// note counts the prompt at the replica chosen for it.
func (l *Ledger) note(a Request, c Choice, now time.Time) {
	r := a.Replicas[c.Index]
	w := work{replica: r, parts: a.SharedPrefix, cost: c.PrefillMs, forgetAt: now.Add(forgetFactor*span(c.WaitMs+c.PrefillMs) + forgetMargin)}
	if a.SlotMs > 0 {
		w.run = &run{replica: r, endAt: now.Add(span(c.WaitMs + c.PrefillMs + a.SlotMs))}
		l.busy[r]++
		l.runs.push(w.run)
	}
	l.open[c.Ticket] = w
	l.pending[r] += c.PrefillMs
	for _, p := range a.SharedPrefix {
		if len(l.kept) < maxKept {
			l.kept[keptPart{p.Key, r}] = now.Add(keptFor)
		}
	}
}

// unread returns the shared parts that the replica has to read: those from the
// first on that it is not taken to keep.
func (l *Ledger) unread(a Request, replica string, now time.Time) []PrefixPart {
	for i, p := range a.SharedPrefix {
		if !now.Before(l.kept[keptPart{p.Key, replica}]) {
			return a.SharedPrefix[i:]
		}
	}
	return nil
}

// Read says that the work was read.
func (l *Ledger) Read(ticket uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := l.open[ticket]; ok {
		l.faults[w.replica] = l.faults[w.replica].withRead(now)
	}
	l.close(ticket)
}

// Lost says that the work came to nothing. It returns the replica if others are preferred to it
// from now on and were not before, else nothing.
func (l *Ledger) Lost(ticket uint64, why Fault, now time.Time) (avoided string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.open[ticket]
	if !ok {
		return ""
	}
	if why != NoFault {
		for _, p := range w.parts {
			delete(l.kept, keptPart{p.Key, w.replica})
		}
		if l.failed(w.replica, why, now) {
			avoided = w.replica
		}
	}
	l.endRun(w.run)
	l.close(ticket)
	return avoided
}

// failed counts a fault of the replica, and reports whether others are preferred to it from
// now on and were not before.
func (l *Ledger) failed(replica string, why Fault, now time.Time) bool {
	was := l.faults[replica]
	f := was.with(why, now)
	l.faults[replica] = f
	return was.at(now) < avoidedFrom && f.likely >= avoidedFrom
}

// close takes the work off its replica.
func (l *Ledger) close(ticket uint64) {
	w, ok := l.open[ticket]
	if !ok {
		return
	}
	delete(l.open, ticket)
	l.pending[w.replica] -= w.cost
	if l.pending[w.replica] < noWork {
		delete(l.pending, w.replica)
	}
}

// sweep drops what is over.
func (l *Ledger) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(sweepEvery)
	for t, w := range l.open {
		if now.After(w.forgetAt) {
			l.close(t)
		}
	}
	for r, f := range l.faults {
		if f.isOver(now) {
			delete(l.faults, r)
		}
	}
	for k, t := range l.kept {
		if now.After(t) {
			delete(l.kept, k)
		}
	}
}

// span is a number of milliseconds as a duration.
func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
