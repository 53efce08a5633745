package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// mostRecords bounds what a book holds: some 2 MB at 500 bytes a record. Nothing but
	// an end makes one, so that other contents, however many, push none out.
	mostRecords = 4096
	// mostExplained bounds the lives of replicas whose end is put down to a content.
	mostExplained = 1024
)

// Change is a record that matters to others, as it stands now.
type Change struct {
	Content Fingerprint
	Record  Record
	Before  Decision
	Now     Decision
}

// Book holds records by content. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
	// explained are lives of replicas that a content is held for, and until when that
	// is known.
	explained map[string]time.Time
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{records: map[Fingerprint]Record{}, explained: map[string]time.Time{}}
}

// Get returns the content's record; the zero one if there is none.
func (b *Book) Get(f Fingerprint) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.records[f]
}

// Len returns how many records there are.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

// Ask decides what the content may do, and counts the trial if it gets one.
func (b *Book) Ask(f Fingerprint, now time.Time) (Record, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[f]
	d := r.Decide(now)
	if d == AllowTrial {
		r = r.WithTrial(now)
		b.records[f] = r
	}
	return r, d
}

// Tell counts what came of one attempt.
func (b *Book) Tell(f Fingerprint, e AttemptResult, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.records[f]
	r := was
	switch e.Outcome {
	case ReplicaCrashed:
		if !b.isExplained(e.Replica, now) || e.OnTrial || was.Score >= clearBelow {
			r = r.WithEnd(e.Replica, e.By, e.OnTrial, now)
		}
	case Served:
		r = r.WithServed()
	case NotRun:
		r = r.WithUnsent()
	case Inconclusive:
		r = r.WithUnclear()
	}
	b.put(f, r, now)
	return Change{Content: f, Record: r, Before: was.Decide(now), Now: r.Decide(now)}
}

// isExplained reports whether the end of the replica's life is put down to a content that
// is held. That excuses contents that were at no other end: several at once may bring replicas
// down.
func (b *Book) isExplained(life string, now time.Time) bool {
	until, ok := b.explained[life]
	return ok && now.Before(until)
}

// Put takes another instance's record in, or drops the content's where that says nothing.
func (b *Book) Put(f Fingerprint, r Record, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.records[f]
	b.put(f, r, now)
	return Change{Content: f, Record: r, Before: was.Decide(now), Now: r.Decide(now)}
}

// Strike forgets the content.
func (b *Book) Strike(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, f)
}

// put holds the record, and puts the ends of one that is held down to it. The caller
// holds the lock.
func (b *Book) put(f Fingerprint, r Record, now time.Time) {
	if r.IsOver(now) {
		delete(b.records, f)
		return
	}
	if _, ok := b.records[f]; !ok && len(b.records) >= mostRecords {
		b.makeRoom()
	}
	b.records[f] = r
	if r.isHeld(now) {
		b.explain(f, r.Replicas, now)
	}
}

// explain takes the ends of the replicas off all other contents that are not held.
func (b *Book) explain(by Fingerprint, replicas []string, now time.Time) {
	fresh := replicas[:0:0]
	for _, x := range replicas {
		if _, ok := b.explained[x]; !ok && len(b.explained) < mostExplained {
			b.explained[x] = now.Add(suspectFor)
			fresh = append(fresh, x)
		}
	}
	if len(fresh) == 0 {
		return
	}
	for f, r := range b.records {
		if f == by || r.isHeld(now) {
			continue
		}
		if r = r.WithExplained(fresh); r.IsOver(now) {
			delete(b.records, f)
			continue
		}
		b.records[f] = r
	}
}

// makeRoom drops a quarter of the records, those with the fewest ends first and of these
// the oldest.
func (b *Book) makeRoom() {
	l := make([]Fingerprint, 0, len(b.records))
	for f := range b.records {
		l = append(l, f)
	}
	slices.SortFunc(l, func(x, y Fingerprint) int {
		a, c := b.records[x], b.records[y]
		return cmp.Or(cmp.Compare(a.Score, c.Score), a.LastCrashAt.Compare(c.LastCrashAt))
	})
	for _, f := range l[:len(l)/4+1] {
		delete(b.records, f)
	}
}

// Sweep drops what is over.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for f, r := range b.records {
		if r.IsOver(now) {
			delete(b.records, f)
		}
	}
	for x, until := range b.explained {
		if !now.Before(until) {
			delete(b.explained, x)
		}
	}
}

// Suspects returns the contents that may not be sent freely, the worst first and the
// latest of these, most at the most.
func (b *Book) Suspects(now time.Time, most int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []Entry
	for f, r := range b.records {
		if r.Decide(now) != Allow {
			l = append(l, Entry{f, r})
		}
	}
	slices.SortFunc(l, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Record.Score, x.Record.Score), y.Record.LastCrashAt.Compare(x.Record.LastCrashAt), x.Fingerprint.compare(y.Fingerprint))
	})
	return l[:min(most, len(l))]
}

// Entry is a content with its record.
type Entry struct {
	Fingerprint Fingerprint
	Record      Record
}

// Outcome says what came of an attempt.
type Outcome int

// What attempts come to.
const (
	// ReplicaCrashed: the replica ended while the request was there.
	ReplicaCrashed Outcome = iota
	// Served: the replica gave a whole answer, be it one of failure.
	Served
	// NotRun: the replica was not reached, or turned it away.
	NotRun
	// Inconclusive: nothing can be told, as when the client left.
	Inconclusive
)

// AttemptResult is what came of one attempt.
type AttemptResult struct {
	Outcome Outcome
	// Replica is the life of the replica that ended.
	Replica string
	// By is the instance that made the attempt, OnTrial says that it was allowed as one.
	By      string
	OnTrial bool
}
