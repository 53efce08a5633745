package relay

import (
	"cmp"
	"slices"

	"fieldvale/store"
)

// content is all that the store holds: the items of a whole read, and what has changed
// since. The former are kept packed, a tenth of their size: there are thousands of them,
// and only those that ask for the whole are told of them again.
type content struct {
	packed []byte
	// size is how many items are packed.
	size int
	// changed are the newest items of the keys that changed, those deleted included.
	changed map[string]store.Item
}

// newContent returns what a whole read has shown.
func newContent(items []store.Item) (content, error) {
	b, err := pack(items)
	return packedContent(b, len(items)), err
}

// packedContent returns that of a whole that came packed.
func packedContent(b []byte, size int) content {
	return content{packed: b, size: size, changed: map[string]store.Item{}}
}

func byKey(a, b store.Item) int { return cmp.Compare(a.Key, b.Key) }

// put takes changes in.
func (c *content) put(items []store.Item) error {
	for _, i := range items {
		c.changed[i.Key] = i
	}
	if len(c.changed) <= c.size/2+minChanged {
		return nil
	}
	l, err := c.items()
	if err != nil {
		return err
	}
	n, err := newContent(l)
	if err != nil {
		return err
	}
	*c = n
	return nil
}

// minChanged is how many items may have changed before those of a small whole read
// are put together anew.
const minChanged = 64

// items returns the items that are there, by their keys.
func (c content) items() ([]store.Item, error) {
	base, err := unpack(c.packed)
	if err != nil {
		return nil, err
	}
	l := make([]store.Item, 0, len(base)+len(c.changed))
	for _, i := range base {
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
	return l, nil
}

// pack returns the items that are there, packed.
func (c content) pack() ([]byte, error) {
	if len(c.changed) == 0 {
		return c.packed, nil
	}
	l, err := c.items()
	if err != nil {
		return nil, err
	}
	return pack(l)
}

// len returns at least how many items there are.
func (c content) len() int { return c.size }

// missing returns the keys of the items that are not among the others.
func missing(items, others []store.Item) []string {
	there := make(map[string]bool, len(others))
	for _, i := range others {
		there[i.Key] = true
	}
	var l []string
	for _, i := range items {
		if !there[i.Key] {
			l = append(l, i.Key)
		}
	}
	return l
}
