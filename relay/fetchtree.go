package relay

import (
	"sync"
	"time"
)

const (
	// fanOut is how many instances fetch a snapshot from one instance.
	fanOut = 4
	// treeExpiry is how long the tree is kept after the last query for a snapshot: while a
	// fleet starts, some instances ask in each second.
	treeExpiry = 10 * time.Second
)

// fetchTree arranges the instances that ask for a snapshot in a tree: the first ones fetch
// it from this instance, each later one from an instance that asked before it. Twice as
// many instances then take a few steps more, not twice the time, and no link carries more
// than fanOut copies. It is safe for concurrent use.
type fetchTree struct {
	mu sync.Mutex
	// askers are the addresses in the order of their first query; index has their positions.
	askers    []string
	index     map[string]int
	expiresAt time.Time
}

// parent returns the address from which the asker fetches the snapshot; it is empty for
// this instance. failed, if not empty, is the address from which the fetch failed: the
// asker takes the position of that instance.
func (t *fetchTree) parent(asker, failed string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.expiresAt) {
		t.askers, t.index = nil, map[string]int{}
	}
	t.expiresAt = now.Add(treeExpiry)
	i, exists := t.index[asker]
	if !exists {
		i = len(t.askers)
		t.askers = append(t.askers, asker)
		t.index[asker] = i
	}
	if j, ok := t.index[failed]; ok && j < i {
		t.swap(i, j)
		i = j
	}
	if i < fanOut {
		return ""
	}
	return t.askers[i/fanOut-1]
}

// changeTree is the fetch tree of the newest large change, which all followers fetch at
// the same moment. It is safe for concurrent use.
type changeTree struct {
	mu       sync.Mutex
	revision int64
	tree     *fetchTree
}

// parent returns the address from which the asker fetches the changes up to the revision;
// it is empty for this instance.
func (c *changeTree) parent(asker string, revision int64, now time.Time) string {
	c.mu.Lock()
	if c.tree == nil || c.revision != revision {
		c.revision, c.tree = revision, &fetchTree{}
	}
	t := c.tree
	c.mu.Unlock()
	return t.parent(asker, "", now)
}

// swap exchanges the positions of two askers.
func (t *fetchTree) swap(i, j int) {
	t.askers[i], t.askers[j] = t.askers[j], t.askers[i]
	t.index[t.askers[i]], t.index[t.askers[j]] = i, j
}
