package quota

import (
	"sync"
	"time"
)

// maxRecords bounds the number of records, at some 200 bytes each. It is far more than a fleet has
// replicas at a time.
const maxRecords = 1 << 13

// Change is the update of a replica's record.
type Change struct {
	Replica       string
	Before, After LimitRecord
}

// LimitChanged reports whether the limit in force changed.
func (c Change) LimitChanged() bool {
	before, after := c.Before.IsLimited(), c.After.IsLimited()
	return before != after || after && c.Before.PerSecond != c.After.PerSecond
}

// recordTable holds the records of all replicas. It is safe for concurrent use.
type recordTable struct {
	mu        sync.Mutex
	byReplica map[string]LimitRecord
}

func newRecordTable() *recordTable { return &recordTable{byReplica: map[string]LimitRecord{}} }

func (t *recordTable) get(replica string) LimitRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byReplica[replica]
}

// len returns the number of records.
func (t *recordTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byReplica)
}

// update replaces the record of the replica by f's result. Empty records are not stored, nor are
// new ones if the table is full.
func (t *recordTable) update(replica string, f func(LimitRecord) LimitRecord) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.byReplica[replica]
	after := f(before)
	if after.isEmpty() || !known && len(t.byReplica) >= maxRecords {
		return Change{Replica: replica}
	}
	t.byReplica[replica] = after
	return Change{Replica: replica, Before: before, After: after}
}

// merge merges the record of another instance for one replica.
func (t *recordTable) merge(replica string, r LimitRecord, now time.Time) Change {
	return t.update(replica, func(x LimitRecord) LimitRecord {
		if x.isEmpty() && r.isStale(now) {
			return x
		}
		return x.Merge(r)
	})
}

// limited returns the records of the replicas that are limited now.
func (t *recordTable) limited() map[string]LimitRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byReplica) == 0 {
		return nil
	}
	l := map[string]LimitRecord{}
	for r, x := range t.byReplica {
		if x.IsLimited() {
			l[r] = x
		}
	}
	return l
}

const (
	// limitedTTL is how long the record of a limited replica is kept after its last report; the
	// replica may be gone. A replica that still gets requests responds at least every
	// probeInterval.
	limitedTTL = 2 * time.Minute
	// unlimitedTTL is how long the record of a replica is kept after its limit ended. An instance
	// that has not learned of the end may still send the old limit.
	unlimitedTTL = time.Minute
	// maxReportAge is the maximum age of a limit from another instance for a replica that has no
	// record here. It is shorter than unlimitedTTL, so that an old limit is not recorded again
	// after the record of its end has expired.
	maxReportAge = 30 * time.Second
)

// isExpired reports whether the record may be deleted.
func (r LimitRecord) isExpired(now time.Time) bool {
	keep := unlimitedTTL
	if r.IsLimited() {
		keep = limitedTTL
	}
	return now.Sub(r.ReceivedAt) >= keep && !now.Before(r.MaybeColdUntil)
}

// isStale reports whether a record from another instance is too old to create a record here.
func (r LimitRecord) isStale(now time.Time) bool {
	return now.Sub(r.ReceivedAt) >= maxReportAge && !now.Before(r.MaybeColdUntil)
}

// sweep deletes the expired records.
func (t *recordTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, x := range t.byReplica {
		if x.isExpired(now) {
			delete(t.byReplica, r)
		}
	}
}
