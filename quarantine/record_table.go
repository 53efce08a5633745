package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecords bounds the records of a table: some 2 MB at 500 bytes a record. Only a crash
	// creates a record, so a flood of other contents evicts none.
	maxRecords = 4096
	// maxAttributed bounds the replica incarnations whose crash is attributed to a content.
	maxAttributed = 1024
)

// Change is the update of a record, with the decisions before and after it.
type Change struct {
	Fingerprint Fingerprint
	Record      Record
	Before      Decision
	After       Decision
}

// RecordTable holds records by fingerprint. It is safe for concurrent use.
type RecordTable struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
	// attributed maps replica incarnations whose crash is attributed to a held content to the time
	// at which that entry expires.
	attributed map[string]time.Time
}

// NewRecordTable returns an empty table.
func NewRecordTable() *RecordTable {
	return &RecordTable{records: map[Fingerprint]Record{}, attributed: map[string]time.Time{}}
}

// Get returns the record of the content; the zero record if there is none.
func (t *RecordTable) Get(f Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[f]
}

// Len returns the number of records.
func (t *RecordTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Check decides whether a request with the content may be sent, and counts the trial if one is
// allowed.
func (t *RecordTable) Check(f Fingerprint, now time.Time) (Record, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	d := r.Decide(now)
	if d == AllowTrial {
		r = r.WithTrial(now)
		t.records[f] = r
	}
	return r, d
}

// AddResult updates the record of the content by the result of one attempt.
func (t *RecordTable) AddResult(f Fingerprint, e AttemptResult, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.records[f]
	r := before
	switch e.Outcome {
	case ReplicaCrashed:
		if !t.isAttributed(e.Replica, now) || e.OnTrial || before.Score >= clearScore {
			r = r.WithCrash(e.Replica, e.ReportedBy, e.OnTrial, now)
		}
	case Served:
		r = r.WithServed()
	case NotRun:
		r = r.WithNotRun()
	case Inconclusive:
		r = r.WithInconclusive()
	}
	t.put(f, r, now)
	return Change{Fingerprint: f, Record: r, Before: before.Decide(now), After: r.Decide(now)}
}

// isAttributed reports whether the crash of the replica incarnation is attributed to a held
// content. AddResult ignores such a crash only for contents without an earlier crash, since several
// contents may crash replicas at the same time.
func (t *RecordTable) isAttributed(incarnation string, now time.Time) bool {
	until, ok := t.attributed[incarnation]
	return ok && now.Before(until)
}

// Put replaces the record of the content by one received from another instance, or deletes it if
// the received record has expired.
func (t *RecordTable) Put(f Fingerprint, r Record, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.records[f]
	t.put(f, r, now)
	return Change{Fingerprint: f, Record: r, Before: before.Decide(now), After: r.Decide(now)}
}

// Delete deletes the record of the content.
func (t *RecordTable) Delete(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, f)
}

// put stores the record and, if its content is held, attributes its crashes to the content. The
// caller holds t.mu.
func (t *RecordTable) put(f Fingerprint, r Record, now time.Time) {
	if r.IsExpired(now) {
		delete(t.records, f)
		return
	}
	if _, ok := t.records[f]; !ok && len(t.records) >= maxRecords {
		t.evict()
	}
	t.records[f] = r
	if r.isHeld(now) {
		t.attribute(f, r.Replicas, now)
	}
}

// attribute attributes the crashes of the replicas to the content culprit, and removes them from the
// records of all other contents that are not held. The caller holds t.mu.
func (t *RecordTable) attribute(culprit Fingerprint, replicas []string, now time.Time) {
	fresh := replicas[:0:0]
	for _, x := range replicas {
		if _, ok := t.attributed[x]; !ok && len(t.attributed) < maxAttributed {
			t.attributed[x] = now.Add(suspectFor)
			fresh = append(fresh, x)
		}
	}
	if len(fresh) == 0 {
		return
	}
	for f, r := range t.records {
		if f == culprit || r.isHeld(now) {
			continue
		}
		if r = r.WithoutAttributed(fresh); r.IsExpired(now) {
			delete(t.records, f)
			continue
		}
		t.records[f] = r
	}
}

// evict deletes a quarter of the records: those with the lowest score first, and the oldest of
// these.
func (t *RecordTable) evict() {
	l := make([]Fingerprint, 0, len(t.records))
	for f := range t.records {
		l = append(l, f)
	}
	slices.SortFunc(l, func(x, y Fingerprint) int {
		a, c := t.records[x], t.records[y]
		return cmp.Or(cmp.Compare(a.Score, c.Score), a.LastCrashAt.Compare(c.LastCrashAt))
	})
	for _, f := range l[:len(l)/4+1] {
		delete(t.records, f)
	}
}

// Sweep deletes what has expired.
func (t *RecordTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if r.IsExpired(now) {
			delete(t.records, f)
		}
	}
	for x, until := range t.attributed {
		if !now.Before(until) {
			delete(t.attributed, x)
		}
	}
}

// Suspects returns up to limit contents that may not be sent freely, ordered by descending score,
// then by the most recent crash.
func (t *RecordTable) Suspects(now time.Time, limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Entry
	for f, r := range t.records {
		if r.Decide(now) != Allow {
			l = append(l, Entry{f, r})
		}
	}
	slices.SortFunc(l, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Record.Score, x.Record.Score), y.Record.LastCrashAt.Compare(x.Record.LastCrashAt), x.Fingerprint.compare(y.Fingerprint))
	})
	return l[:min(limit, len(l))]
}

// Entry is a fingerprint with its record.
type Entry struct {
	Fingerprint Fingerprint
	Record      Record
}

// Outcome classifies the end of an attempt.
type Outcome int

// The outcomes.
const (
	// ReplicaCrashed: the replica crashed while it had the request.
	ReplicaCrashed Outcome = iota
	// Served: the replica sent a complete response, even if it reports a failure.
	Served
	// NotRun: the replica was not reached, or refused the request.
	NotRun
	// Inconclusive: the attempt shows nothing, for example because the client disconnected.
	Inconclusive
)

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Outcome Outcome
	// Replica is the incarnation of the replica that crashed.
	Replica string
	// ReportedBy is the instance that made the attempt. OnTrial is true if the attempt was allowed
	// as a trial.
	ReportedBy string
	OnTrial    bool
}
