package relay

import (
	"cmp"
	"slices"

	"fieldvale/store"
)

// content is all that the store holds: the items of a whole read by their keys, and
// what has changed since. It keeps the items of a whole read as they came, since there
// are thousands of them and few change at a time.
type content struct {
	base []store.Item
	// changed are the newest items of the keys that changed, those deleted included.
	changed map[string]store.Item
}

// newContent returns what a whole read has shown.
func newContent(items []store.Item) content {
	b := slices.Clone(items)
	slices.SortFunc(b, byKey)
	return content{base: b, changed: map[string]store.Item{}}
}

func byKey(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) }

// put takes changes in.
func (c *content) put(items []store.Item) {
	for _, i := range items {
		c.changed[i.Key] = i
	}
	if len(c.changed) > len(c.base)/2+minChanged {
		*c = newContent(c.items())
	}
}

// minChanged is how many items may have changed before those of a small whole read
// are put together anew.
const minChanged = 64

// items returns the items that are there, by their keys.
func (c content) items() []store.Item {
	l := make([]store.Item, 0, len(c.base)+len(c.changed))
	for _, i := range c.base {
		if _, newer := c.changed[i.Key]; !newer {
			l = append(l, i)
		}
	}
	for _, i := range c.changed {
		if !i.Deleted {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, byKey)
	return l
}

// len returns at least how many items there are.
func (c content) len() int { return len(c.base) }

// missing returns the keys of those items, which are by their keys, that are not
// there in c.
func (c content) missing(items []store.Item) []string {
	var l []string
	for _, i := range items {
		if !c.has(i.Key) {
			l = append(l, i.Key)
		}
	}
	return l
}

// has reports whether there is such a key.
func (c content) has(key string) bool {
	if i, ok := c.changed[key]; ok {
		return !i.Deleted
	}
	_, ok := slices.BinarySearchFunc(c.base, store.Item{Key: key}, byKey)
	return ok
}
