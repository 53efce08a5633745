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
	// maxAttributed bounds the replica incarnations whose crash is attributed to a content or part.
	maxAttributed = 1024
	// maxCulprits bounds what the crash of one replica is attributed to.
	maxCulprits = 4
)

// Change is the update of a record, with the decisions before and after it.
type Change struct {
	Fingerprint Fingerprint
	Record      Record
	Before      Decision
	After       Decision
	// wasCollecting is set if survivals of the part were being collected before.
	wasCollecting bool
}

// RecordTable holds records by fingerprint. It is safe for concurrent use.
type RecordTable struct {
	mu      sync.Mutex
	records map[Fingerprint]Record
	// attributed maps replica incarnations to what their crash is attributed to.
	attributed map[string]attribution
}

// attribution is what the crash of a replica is attributed to.
type attribution struct {
	// culprits are the held contents and parts that were at the replica, at most maxCulprits.
	culprits []Fingerprint
	expires  time.Time
}

// NewRecordTable returns an empty table.
func NewRecordTable() *RecordTable {
	return &RecordTable{records: map[Fingerprint]Record{}, attributed: map[string]attribution{}}
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

// Check decides whether a request with the content or part may be sent that carries the given
// subjects, and counts the trial if one is allowed. A held part is sent on trial if other subjects, which
// the request does not carry, explain all of its crashes.
func (t *RecordTable) Check(f Fingerprint, carried []Fingerprint, now time.Time) (Record, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	d := r.Decide(now)
	if d == Held && t.isExplained(f, carried, now) {
		d = AllowTrial
		r.DoubtTrials++
	}
	if d == AllowTrial {
		r = r.WithTrial(now)
		t.records[f] = r
	}
	return r, d
}

// AddResult updates the record of the content or part by the result of one attempt.
func (t *RecordTable) AddResult(f Fingerprint, e AttemptResult, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.records[f]
	r := before
	if e.Kind == KindPart {
		r = r.withPart(e.Label)
	}
	if e.Outcome != ReplicaCrashed || !t.isAttributed(e.Replica, now) || e.OnTrial || before.Score >= clearScore {
		r = r.withOutcome(e, now)
	}
	t.put(f, r, now)
	return Change{Fingerprint: f, Record: r, Before: before.Decide(now), After: r.Decide(now), wasCollecting: before.isCollecting(now)}
}

// withOutcome updates the record by the outcome of an attempt.
func (r Record) withOutcome(e AttemptResult, now time.Time) Record {
	if r.Kind == KindPart {
		return r.withPartOutcome(e, now)
	}
	switch e.Outcome {
	case ReplicaCrashed:
		return r.WithCrash(e.Replica, e.ReportedBy, e.OnTrial, now)
	case Served:
		return r.WithServed()
	case NotRun:
		return r.WithNotRun()
	case Inconclusive:
		return r.WithInconclusive()
	}
	return r
}

// withPartOutcome updates the record of a part by the outcome of an attempt, and by the survivals that
// were reported with it.
func (r Record) withPartOutcome(e AttemptResult, now time.Time) Record {
	if e.Outcome == Served && e.OnTrial {
		return r.WithPartServed(now).WithSurvivals(e.Survivals, now)
	}
	r = r.WithSurvivals(e.Survivals, now)
	switch e.Outcome {
	case ReplicaCrashed:
		return r.WithPartCrash(e, now)
	case NotRun:
		return r.WithNotRun()
	case Inconclusive:
		return r.WithInconclusive()
	}
	return r
}

// isAttributed reports whether the crash of the replica incarnation is attributed to a held
// content. AddResult ignores such a crash only for contents without an earlier crash, since several
// contents may crash replicas at the same time.
func (t *RecordTable) isAttributed(incarnation string, now time.Time) bool {
	a, ok := t.attributed[incarnation]
	return ok && now.Before(a.expires)
}

// isExplained reports whether all crashes of the held part are attributed to other subjects, too, that
// are not among the given ones. The caller holds t.mu.
func (t *RecordTable) isExplained(f Fingerprint, carried []Fingerprint, now time.Time) bool {
	r := t.records[f]
	if r.Kind != KindPart || r.DoubtTrials >= maxDoubtTrials {
		return false
	}
	isOther := func(c Fingerprint) bool { return c != f && !slices.Contains(carried, c) }
	crashes := slices.Concat(r.Replicas, r.Bystanders)
	for _, x := range crashes {
		a := t.attributed[x]
		if !now.Before(a.expires) || !slices.ContainsFunc(a.culprits, isOther) {
			return false
		}
	}
	return len(crashes) > 0
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

// attribute attributes the crashes of the replicas to the content or part culprit, and removes them
// from the records of all others that are not held. The caller holds t.mu.
func (t *RecordTable) attribute(culprit Fingerprint, replicas []string, now time.Time) {
	fresh := replicas[:0:0]
	for _, x := range replicas {
		a, ok := t.attributed[x]
		if slices.Contains(a.culprits, culprit) || len(a.culprits) >= maxCulprits || !ok && len(t.attributed) >= maxAttributed {
			continue
		}
		t.attributed[x] = attribution{culprits: append(slices.Clip(a.culprits), culprit), expires: now.Add(heldFor)}
		if !ok {
			fresh = append(fresh, x)
		}
	}
	if len(fresh) > 0 {
		t.excuse(culprit, fresh, now)
	}
}

// excuse removes the crashes of the replicas from the records of all but the culprit and what is held.
// Those of a content are not removed from parts, as a part of its prompt may be the cause. The caller
// holds t.mu.
func (t *RecordTable) excuse(culprit Fingerprint, replicas []string, now time.Time) {
	byContent := t.records[culprit].Kind == KindContent
	for f, r := range t.records {
		if f == culprit || r.isHeld(now) || byContent && r.Kind == KindPart {
			continue
		}
		if r = r.WithoutAttributed(replicas); r.IsExpired(now) {
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
	for x, a := range t.attributed {
		if !now.Before(a.expires) {
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

// partsWithCrashes returns the parts with a score.
func (t *RecordTable) partsWithCrashes() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Entry
	for f, r := range t.records {
		if r.Kind == KindPart && r.Score > 0 {
			l = append(l, Entry{f, r})
		}
	}
	slices.SortFunc(l, func(x, y Entry) int { return x.Fingerprint.compare(y.Fingerprint) })
	return l
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
	// NoAttempt: the result only reports survivals.
	NoAttempt
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

	// Kind and Label are those of the subject. The fields below are for parts only.
	Kind  Kind
	Label string
	// AnswerBegan reports that the answer had begun within BeginWindow before the crash.
	AnswerBegan bool
	// SentAt is when the request was sent to the replica; zero if that is not known.
	SentAt time.Time
	// Survivals is the number of other answers to requests with the part that began and went on
	// without a crash since the last report.
	Survivals int
}
