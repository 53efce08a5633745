package relay

import (
	"sync"
	"time"
)

const (
	// fanOut is how many instances fetch the whole from one.
	fanOut = 4
	// treeFor is for how long those that asked for the whole are remembered after the
	// last of them: while a fleet starts, some ask each second.
	treeFor = 10 * time.Second
)

// tree deals those that ask an instance for the whole among each other: the first ones
// get it from the instance, each of the next ones from one that asked before, so that
// twice as many take some steps more, not twice the time, and no link carries more
// than fanOut copies. It is safe for concurrent use.
type tree struct {
	mu sync.Mutex
	// askers are addresses in the order of their questions; place is where each is.
	askers []string
	place  map[string]int
	until  time.Time
}

// parent returns where the asker fetches the whole; it is empty for the instance itself.
// lost is where it did not get it, if not empty: who asks then takes that one's place.
func (t *tree) parent(asker, lost string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.until) {
		t.askers, t.place = nil, map[string]int{}
	}
	t.until = now.Add(treeFor)
	i, known := t.place[asker]
	if !known {
		i = len(t.askers)
		t.askers = append(t.askers, asker)
		t.place[asker] = i
	}
	if j, ok := t.place[lost]; ok && j < i {
		t.swap(i, j)
		i = j
	}
	if i < fanOut {
		return ""
	}
	return t.askers[i/fanOut-1]
}

// changeTree is the tree of those that are told of one large change: they fetch it in the
// same moment. It is safe for concurrent use.
type changeTree struct {
	mu       sync.Mutex
	revision int64
	tree     *tree
}

// parent returns where the asker fetches the changes up to the revision; it is empty for
// the instance itself.
func (c *changeTree) parent(asker string, revision int64, now time.Time) string {
	c.mu.Lock()
	if c.tree == nil || c.revision != revision {
		c.revision, c.tree = revision, &tree{}
	}
	t := c.tree
	c.mu.Unlock()
	return t.parent(asker, "", now)
}

// swap exchanges two askers' places.
func (t *tree) swap(i, j int) {
	t.askers[i], t.askers[j] = t.askers[j], t.askers[i]
	t.place[t.askers[i]], t.place[t.askers[j]] = i, j
}
