// Package relay passes the contents of the store and their changes on between instances,
// so that few of them have to read and watch the store.
//
// The members of the fleet are ranked by their links and by hashing. Those of the first
// tier, the watchers, watch the store. Every other instance follows a source: it queries
// another instance as it would query the store. A query waits for a change, and its answer
// has the changes after the queried revision. Each answer states its age, which is how long
// ago the store confirmed it, over all instances on its path: the arrival of an answer does
// not confirm that its state is current. An instance without a current answer is
// disconnected.
//
// Queries and answers are datagrams. Large changes and snapshots, which have all keys of
// the store, are fetched over connections.
package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

// minLogItems and maxLogBytes bound the changes kept for followers; a follower that is
// further behind fetches a snapshot. If the store has more than minLogItems keys, as many
// changes are kept as it has keys: a release to half of the replicas changes thousands of
// keys within seconds.
const (
	minLogItems = 512
	maxLogBytes = 3 << 20
)

// ChangeLog is the copy of the store of one instance: a snapshot and the recent changes.
// It is safe for concurrent use.
type ChangeLog struct {
	mu sync.Mutex
	// recent has the newest change of each key that changed after the revision floor. floor
	// is below 0 as long as there is no snapshot.
	recent   []store.Item
	floor    int64
	revision int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// confirmed is the latest moment at which revision was the newest of the store.
	confirmed time.Time
	// hops is through how many instances the state passed: 0 if it is from the store itself.
	// disconnected is set while the instance reaches neither the store nor a source.
	hops         int
	disconnected bool
	snapshot     snapshot
	// fetched is a packed snapshot from another instance that Reset is about to add.
	fetched fetched
}

// fetched is a packed snapshot at a revision.
type fetched struct {
	packed   []byte
	revision int64
}

// NewChangeLog returns an empty log.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{floor: -1, hops: unknownHops, changed: make(chan struct{}), snapshot: snapshotFromPacked(nil, 0)}
}

// Reset replaces the snapshot by all items of the store. Items that are new in it, and
// keys that are missing from it, count as changes at the revision: followers need not read
// a snapshot when the store has compacted its history. After an error the log is empty.
func (l *ChangeLog) Reset(items []store.Item, revision int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, err := l.snapshot.items()
	if err != nil {
		return l.discard(err)
	}
	if l.snapshot, err = l.buildSnapshot(items, revision); err != nil {
		return l.discard(err)
	}
	if l.floor < 0 {
		l.floor, l.revision = revision, revision
		l.notify()
		return nil
	}
	var changes []store.Item
	for _, i := range items {
		if i.Revision > l.revision {
			changes = append(changes, i)
		}
	}
	for _, k := range missingKeys(previous, items) {
		changes = append(changes, store.Item{Key: k, Revision: revision, Deleted: true})
	}
	l.appendChanges(changes, revision)
	return nil
}

// buildSnapshot returns the items as a snapshot: the packed form in which they were
// fetched from another instance, if they were.
func (l *ChangeLog) buildSnapshot(items []store.Item, revision int64) (snapshot, error) {
	f := l.fetched
	l.fetched = fetched{}
	if f.packed != nil && f.revision == revision {
		return snapshotFromPacked(f.packed, len(items)), nil
	}
	return newSnapshot(items)
}

// setFetched sets a packed snapshot that was fetched from another instance.
func (l *ChangeLog) setFetched(packed []byte, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetched = fetched{packed, revision}
}

// Add appends the changes up to the revision. Only the newest item of each key is kept:
// followers don't need earlier ones. After an error the log is empty.
func (l *ChangeLog) Add(items []store.Item, revision int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.snapshot.put(items); err != nil {
		return l.discard(err)
	}
	l.appendChanges(items, revision)
	return nil
}

// discard empties the log after an error, since its contents may be incomplete.
func (l *ChangeLog) discard(err error) error {
	l.snapshot, l.recent, l.floor = snapshotFromPacked(nil, 0), nil, -1
	l.notify()
	return errors.Wrap(err, "relay.ChangeLog")
}

// appendChanges appends items that changed up to the revision, in place of earlier changes
// of their keys.
func (l *ChangeLog) appendChanges(items []store.Item, revision int64) {
	changed := map[string]bool{}
	for _, i := range items {
		changed[i.Key] = true
	}
	n := make([]store.Item, 0, len(l.recent)+len(items))
	for _, i := range l.recent {
		if !changed[i.Key] {
			n = append(n, i)
		}
	}
	l.recent = append(n, items...)
	l.revision = max(l.revision, revision)
	l.trim()
	l.notify()
}

// trim drops the oldest changes beyond the bounds.
func (l *ChangeLog) trim() {
	n, size := len(l.recent), 0
	maxItems := max(minLogItems, l.snapshot.len())
	for n > 0 && len(l.recent)-n < maxItems && size+len(l.recent[n-1].Value) <= maxLogBytes {
		n--
		size += len(l.recent[n].Value)
	}
	if n > 0 {
		l.floor = max(l.floor, l.recent[n-1].Revision)
		l.recent = append([]store.Item(nil), l.recent[n:]...)
	}
}

// Confirm records that the log held the newest state of the store at asOf.
func (l *ChangeLog) Confirm(asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed.IsZero() {
		l.notify()
	}
	if asOf.After(l.confirmed) {
		l.confirmed = asOf
	}
}

// SetDisconnected records whether the instance reaches neither the store nor a source.
func (l *ChangeLog) SetDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
	l.notify()
}

// SetHops sets through how many instances the state passed.
func (l *ChangeLog) SetHops(hops int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hops == hops {
		return
	}
	l.hops = hops
	l.notify()
}

// Hops returns through how many instances the state passed.
func (l *ChangeLog) Hops() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hops
}

// notify wakes all that wait for a change.
func (l *ChangeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the changes after the revision and their age at now. The status is
// statusFetchSnapshot if the log no longer has all of these changes, and
// statusDisconnected if the log is empty or disconnected, or if its state passed through
// more than maxHops instances. changed is closed at the next change.
func (l *ChangeLog) since(after int64, maxHops int, now time.Time) (c store.Changes, changed <-chan struct{}, s status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Revision = l.revision
	c.Age = now.Sub(l.confirmed)
	switch {
	case l.floor < 0 || l.confirmed.IsZero() || l.disconnected || l.hops > maxHops:
		return c, l.changed, statusDisconnected
	case after < l.floor:
		return c, l.changed, statusFetchSnapshot
	}
	for _, i := range l.recent {
		if i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	return c, l.changed, statusOK
}

// datedSnapshot is a snapshot at a revision; asOf is when that was confirmed as the newest.
type datedSnapshot struct {
	snapshot snapshot
	revision int64
	asOf     time.Time
}

// current returns the snapshot at the current revision; ok is false if there is none yet.
func (l *ChangeLog) current() (w datedSnapshot, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.floor < 0 || l.confirmed.IsZero() {
		return datedSnapshot{}, false
	}
	c := l.snapshot
	c.changed = maps.Clone(c.changed)
	return datedSnapshot{snapshot: c, revision: l.revision, asOf: l.confirmed}, true
}

// newest returns the newest revision and when it was last confirmed as that; ok is false
// if there is none yet.
func (l *ChangeLog) newest() (revision int64, confirmed time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.confirmed, l.floor >= 0 && !l.confirmed.IsZero()
}

// changeSignal returns a channel that is closed at the next change.
func (l *ChangeLog) changeSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// isDisconnected reports whether the instance reaches neither the store nor a source.
func (l *ChangeLog) isDisconnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.disconnected
}
