// Package relay passes what the store holds, and its changes, on between instances, so
// that few of them have to read and watch the store. An instance that follows another one asks
// it as it would ask the store, and is told how old that instance's own
// knowledge is: ages add up, and arrivals prove nothing.
package relay

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

// leastLog and maxLogBytes bound the changes kept for followers; a follower that is
// further behind fetches the whole. In a store of many keys as many changes are kept
// as there are keys: a release of half of the replicas changes thousands within
// seconds.
const (
	leastLog    = 512
	maxLogBytes = 3 << 20
)

// ChangeLog is what an instance knows of the store: all that it holds, and its recent
// changes. It is safe for concurrent use.
type ChangeLog struct {
	mu    sync.Mutex
	items []store.Item
	// floor is the revision from which on items are complete; below 0 there
	// are none yet.
	floor    int64
	revision int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// confirmed is when the revision was last known to be the newest.
	confirmed time.Time
	// hops is how many instances what is known has come through: none if the
	// store itself told it; lost says that the instance is out of touch.
	hops    int
	lost    bool
	content content
	// fetched is a whole as it came from another instance, at a revision.
	fetched fetched
}

// fetched is a packed whole.
type fetched struct {
	packed   []byte
	revision int64
}

// NewChangeLog returns a log that knows nothing.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{floor: -1, hops: unknownHops, changed: make(chan struct{}), content: packedContent(nil, 0)}
}

// Reset takes all items that the store holds. What is new among them, and what
// is gone, counts as changed at the revision: followers need not read the
// store whole when it has forgotten its history. After an error the log knows nothing.
func (l *ChangeLog) Reset(items []store.Item, revision int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	was, err := l.content.items()
	if err != nil {
		return l.forget(err)
	}
	if l.content, err = l.contentOf(items, revision); err != nil {
		return l.forget(err)
	}
	if l.floor < 0 {
		l.floor, l.revision = revision, revision
		l.wake()
		return nil
	}
	var news []store.Item
	for _, i := range items {
		if i.Revision > l.revision {
			news = append(news, i)
		}
	}
	for _, k := range missing(was, items) {
		news = append(news, store.Item{Key: k, Revision: revision, Deleted: true})
	}
	l.append(news, revision)
	return nil
}

// contentOf returns the items as content: as they came, where another instance has packed
// them.
func (l *ChangeLog) contentOf(items []store.Item, revision int64) (content, error) {
	f := l.fetched
	l.fetched = fetched{}
	if f.packed != nil && f.revision == revision {
		return packedContent(f.packed, len(items)), nil
	}
	return newContent(items)
}

// fetch notes a whole that came packed from another instance.
func (l *ChangeLog) fetch(packed []byte, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetched = fetched{packed, revision}
}

// Add appends changes up to the revision. Of each key the newest item is
// kept: a follower has no use for those before. After an error the log knows nothing.
func (l *ChangeLog) Add(items []store.Item, revision int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.content.put(items); err != nil {
		return l.forget(err)
	}
	l.append(items, revision)
	return nil
}

// forget has the log know nothing, as it can't be told from what it holds.
func (l *ChangeLog) forget(err error) error {
	l.content, l.items, l.floor = packedContent(nil, 0), nil, -1
	l.wake()
	return errors.Wrap(err, "relay.Log")
}

// append puts items that changed up to the revision behind the others.
func (l *ChangeLog) append(items []store.Item, revision int64) {
	changed := map[string]bool{}
	for _, i := range items {
		changed[i.Key] = true
	}
	n := make([]store.Item, 0, len(l.items)+len(items))
	for _, i := range l.items {
		if !changed[i.Key] {
			n = append(n, i)
		}
	}
	l.items = append(n, items...)
	l.revision = max(l.revision, revision)
	l.trim()
	l.wake()
}

// trim drops the oldest items beyond the bounds.
func (l *ChangeLog) trim() {
	n, size := len(l.items), 0
	most := max(leastLog, l.content.len())
	for n > 0 && len(l.items)-n < most && size+len(l.items[n-1].Value) <= maxLogBytes {
		n--
		size += len(l.items[n].Value)
	}
	if n > 0 {
		l.floor = max(l.floor, l.items[n-1].Revision)
		l.items = append([]store.Item(nil), l.items[n:]...)
	}
}

// Confirm says that nothing newer than what was added existed at asOf.
func (l *ChangeLog) Confirm(asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed.IsZero() {
		l.wake()
	}
	if asOf.After(l.confirmed) {
		l.confirmed = asOf
	}
}

// SetLost says whether the instance is out of touch with what it follows.
func (l *ChangeLog) SetLost(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
	l.wake()
}

// SetHops says how many instances what is known has come through.
func (l *ChangeLog) SetHops(hops int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hops == hops {
		return
	}
	l.hops = hops
	l.wake()
}

// Hops returns how many instances what is known has come through.
func (l *ChangeLog) Hops() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hops
}

func (l *ChangeLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns what changed after the revision, how old that knowledge is at
// now, and whether the log can tell, which it can't if it came through more
// than maxHops instances. changed is closed at the next change.
func (l *ChangeLog) since(after int64, maxHops int, now time.Time) (c store.Changes, changed <-chan struct{}, s status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Revision = l.revision
	c.Age = now.Sub(l.confirmed)
	switch {
	case l.floor < 0 || l.confirmed.IsZero() || l.lost || l.hops > maxHops:
		return c, l.changed, lostTouch
	case after < l.floor:
		return c, l.changed, forgotten
	}
	for _, i := range l.items {
		if i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	return c, l.changed, known
}

// whole is all that the store held at a revision, and when that was the newest.
type whole struct {
	content  content
	revision int64
	asOf     time.Time
}

// all returns all that is known; ok is false if that is nothing yet.
func (l *ChangeLog) all() (w whole, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.floor < 0 || l.confirmed.IsZero() {
		return whole{}, false
	}
	c := l.content
	c.changed = maps.Clone(c.changed)
	return whole{content: c, revision: l.revision, asOf: l.confirmed}, true
}

// newest returns the newest revision known, and when it was last known to be that; ok
// is false if nothing is known yet.
func (l *ChangeLog) newest() (revision int64, confirmed time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, l.confirmed, l.floor >= 0 && !l.confirmed.IsZero()
}

// next is closed at the next change.
func (l *ChangeLog) next() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// isLost reports whether the instance is out of touch with what it follows.
func (l *ChangeLog) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// status is how an instance answers a follower.
type status int

const (
	known status = iota
	// forgotten: the follower is too far behind.
	forgotten
	// lostTouch: the instance itself can't tell what is newest.
	lostTouch
	// tooLarge: the changes are more than maxPacked, and are to be fetched.
	tooLarge
	// starting: the instance is about to know the whole.
	starting
	// unheard: no answer came.
	unheard
	// busy: the link has no room for what is known.
	busy
)
