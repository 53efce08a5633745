package peer

import (
	"sort"
	"time"
)

// Table holds an instance's items and a log of the order in which they were
// updated. It is not safe for concurrent use.
type Table struct {
	items map[Key]tableEntry
	// log has the updates in ascending order of their stamps.
	log []logEntry
	// stamp is the sequence number of the last update.
	stamp uint64
}

// tableEntry is an item with the stamp of its last update and the partner from
// which it was received, empty for this instance.
type tableEntry struct {
	item         Item
	stamp        uint64
	receivedFrom string
}

// logEntry is one update of an item.
type logEntry struct {
	stamp uint64
	key   Key
}

// maxExpiryAhead is how far in the future an item may expire, so that a peer with a
// wrong clock can't leave items that never expire.
const maxExpiryAhead = 24 * time.Hour

// maxItems bounds the table, at about 200 bytes an item.
const maxItems = 100_000

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: map[Key]tableEntry{}}
}

// Put stores the item if it is newer than the one under its key, and reports
// whether it did. It refuses expired items, and new keys while the table is full.
// from is the partner that sent the item, empty for this instance.
func (t *Table) Put(i Item, from string, now time.Time) bool {
	if !now.Before(i.Expires) || i.Expires.After(now.Add(maxExpiryAhead)) {
		return false
	}
	k, ok := t.items[i.Key]
	if ok && k.item.Version >= i.Version {
		return false
	}
	if !ok && len(t.items) >= maxItems {
		return false
	}
	t.stamp++
	t.items[i.Key] = tableEntry{item: i, stamp: t.stamp, receivedFrom: from}
	t.log = append(t.log, logEntry{t.stamp, i.Key})
	t.compact()
	return true
}

// compact drops the log entries of items that were updated again later, once they
// make up about half of the log.
func (t *Table) compact() {
	if len(t.log) < 2*len(t.items)+64 {
		return
	}
	n := t.log[:0]
	for _, e := range t.log {
		if t.items[e.key].stamp == e.stamp {
			n = append(n, e)
		}
	}
	t.log = n
}

// ItemsSince returns at most n items that were updated after the stamp, without those
// that the partner itself sent, and the stamp from which to continue.
func (t *Table) ItemsSince(stamp uint64, partner string, n int, now time.Time) ([]Item, uint64) {
	i := sort.Search(len(t.log), func(i int) bool { return t.log[i].stamp > stamp })
	var r []Item
	for _, e := range t.log[i:] {
		if len(r) >= n {
			return r, stamp
		}
		stamp = e.stamp
		k, ok := t.items[e.key]
		if !ok || k.stamp != e.stamp || k.receivedFrom == partner || !now.Before(k.item.Expires) {
			continue
		}
		r = append(r, k.item)
	}
	return r, stamp
}

// Get returns the item with the key, unless it has expired.
func (t *Table) Get(k Key, now time.Time) (Item, bool) {
	x, ok := t.items[k]
	if !ok || !now.Before(x.item.Expires) {
		return Item{}, false
	}
	return x.item, true
}

// All returns the items of the kind that have not expired, sorted by name.
func (t *Table) All(k Kind, now time.Time) []Item {
	var r []Item
	for _, x := range t.items {
		if x.item.Key.Kind == k && now.Before(x.item.Expires) {
			r = append(r, x.item)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key.Name < r[j].Key.Name })
	return r
}

// Expire removes the expired items.
func (t *Table) Expire(now time.Time) {
	for k, x := range t.items {
		if !now.Before(x.item.Expires) {
			delete(t.items, k)
		}
	}
}

// Len returns the number of items, including expired ones that were not removed yet.
func (t *Table) Len() int { return len(t.items) }

// Stamp returns the stamp of the last update.
func (t *Table) Stamp() uint64 { return t.stamp }
