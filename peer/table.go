package peer

import (
	"sort"
	"time"
)

// Table holds the facts that an instance knows, in the order in which it
// learnt them. It is not safe for concurrent use.
type Table struct {
	items map[Key]known
	log   []logEntry
	stamp uint64
}

type known struct {
	item  Item
	stamp uint64
	from  string
}

type logEntry struct {
	stamp uint64
	key   Key
}

// maxFuture is how far ahead an item's expiry may lie, so that a peer with a
// wrong clock can't leave facts behind for ever.
const maxFuture = 24 * time.Hour

// maxItems bounds the table, at some 200 bytes an item.
const maxItems = 100_000

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: map[Key]known{}}
}

// Put adopts the item if it is newer than what is known of its key, and
// reports whether it was. from is the partner it came from, empty for self.
func (t *Table) Put(i Item, from string, now time.Time) bool {
	if !now.Before(i.Expires) || i.Expires.After(now.Add(maxFuture)) {
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
	t.items[i.Key] = known{item: i, stamp: t.stamp, from: from}
	t.log = append(t.log, logEntry{t.stamp, i.Key})
	t.compact()
	return true
}

// compact drops log entries that later ones replaced.
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

// Since returns at most n items learnt after the stamp, but for those that
// the asking partner sent itself, and the stamp to ask from next.
func (t *Table) Since(stamp uint64, partner string, n int, now time.Time) ([]Item, uint64) {
	i := sort.Search(len(t.log), func(i int) bool { return t.log[i].stamp > stamp })
	var r []Item
	for _, e := range t.log[i:] {
		if len(r) >= n {
			return r, stamp
		}
		stamp = e.stamp
		k, ok := t.items[e.key]
		if !ok || k.stamp != e.stamp || k.from == partner || !now.Before(k.item.Expires) {
			continue
		}
		r = append(r, k.item)
	}
	return r, stamp
}

// Get returns the item of that key, if it has not expired.
func (t *Table) Get(k Key, now time.Time) (Item, bool) {
	x, ok := t.items[k]
	if !ok || !now.Before(x.item.Expires) {
		return Item{}, false
	}
	return x.item, true
}

// All returns the items of a kind that have not expired, sorted by name.
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

// Expire forgets the items whose time is over.
func (t *Table) Expire(now time.Time) {
	for k, x := range t.items {
		if !now.Before(x.item.Expires) {
			delete(t.items, k)
		}
	}
}

// Len returns the number of items.
func (t *Table) Len() int { return len(t.items) }

// Stamp returns the stamp of the last item learnt.
func (t *Table) Stamp() uint64 { return t.stamp }
