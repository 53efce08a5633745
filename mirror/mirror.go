// Package mirror keeps an instance's copy of the store's keys up to date: it reads a
// snapshot once, follows the changes, and reads a snapshot again when the store has
// compacted the history in between.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

const (
	// minRetryDelay and maxRetryDelay bound the pause after a failed call. Each call has a
	// cost, but a change must be in force within two seconds after the store is back.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// Update is a set of changed keys, or a snapshot.
type Update struct {
	// Items has the newest item of each key.
	Items []store.Item
	// Snapshot is set if Items are all existing keys.
	Snapshot bool
	Revision int64
}

// Listener receives the updates of a mirror. Its methods are called from one goroutine.
type Listener interface {
	// Changed receives an update; it is not called for answers without changes.
	Changed(u Update)
	// Confirmed is called when the updates so far are confirmed as the newest at asOf.
	Confirmed(asOf time.Time)
	// Disconnected and Reconnected are called when the feed fails and when it works again.
	Disconnected(err error)
	Reconnected()
}

// Mirror follows the keys below one prefix.
type Mirror struct {
	feed     store.Feed
	prefix   string
	wait     time.Duration
	clock    func() time.Time
	listener Listener

	revision int64
	// confirmed is the latest moment at which revision was confirmed as the newest.
	confirmed  time.Time
	failures   int
	retryDelay time.Duration
	// pages has the pages of an unfinished read of a snapshot, pagesAsOf the moment as of
	// which its first page was current.
	pages     Update
	pagesAsOf time.Time
}

// New returns a mirror of the keys below prefix. wait is how long one call waits for a
// change, and so the interval of confirmations without changes.
func New(f store.Feed, prefix string, wait time.Duration, clock func() time.Time, listener Listener) *Mirror {
	return &Mirror{feed: f, prefix: prefix, wait: wait, clock: clock, listener: listener, revision: -1}
}

// Run follows the store until ctx ends. It returns nil.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, store.ErrCompacted) {
			m.revision = -1
			continue
		}
		if err != nil {
			m.backOff(ctx, err)
			continue
		}
		if m.failures > 0 && m.isConnected() {
			m.failures = 0
			m.listener.Reconnected()
		}
	}
	return nil
}

// connectedWaits is the age, in units of the wait, up to which the mirror counts as
// connected. Older changes that arrive at an instance that is cut off do not show that
// there are no newer ones.
const connectedWaits = 2.5

func (m *Mirror) isConnected() bool {
	return m.clock().Sub(m.confirmed) <= time.Duration(connectedWaits*float64(m.wait))
}

// step makes the next call for changes, or reads a snapshot.
func (m *Mirror) step(ctx context.Context) error {
	if m.revision < 0 {
		return m.readAll(ctx)
	}
	return m.follow(ctx)
}

// backOff reports the disconnection after the first failed call, and waits before the next
// call.
func (m *Mirror) backOff(ctx context.Context, err error) {
	m.failures++
	if m.failures == 1 {
		m.retryDelay = minRetryDelay
		m.listener.Disconnected(err)
	}
	d := m.retryDelay/2 + rand.N(m.retryDelay)
	m.retryDelay = min(maxRetryDelay, 2*m.retryDelay)
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readAll reads a snapshot page by page; after an error it continues with the page that
// failed. Changes are followed from the first page's revision, so that what changed
// between two pages arrives again.
func (m *Mirror) readAll(ctx context.Context) error {
	for {
		p, err := m.read(ctx)
		if err != nil {
			return err
		}
		m.pages.Items = append(m.pages.Items, p.Items...)
		if !p.More || len(p.Items) == 0 {
			break
		}
	}
	u := m.pages
	u.Snapshot = true
	m.pages = Update{}
	m.revision = u.Revision
	m.listener.Changed(u)
	m.confirm(m.pagesAsOf)
	return nil
}

// read reads the next page.
func (m *Mirror) read(ctx context.Context) (store.Page, error) {
	if n := len(m.pages.Items); n > 0 {
		return m.feed.Read(ctx, m.prefix, m.pages.Items[n-1].Key)
	}
	sent := m.clock()
	p, err := m.feed.Read(ctx, m.prefix, "")
	if err == nil {
		m.pages.Revision, m.pagesAsOf = p.Revision, sent.Add(-p.Age)
	}
	return p, err
}

// follow makes one call for changes and passes them on.
func (m *Mirror) follow(ctx context.Context) error {
	sent := m.clock()
	wait := m.nextWait(sent)
	c, err := m.feed.Changes(ctx, m.prefix, m.revision, wait)
	if err != nil {
		return err
	}
	m.revision = max(m.revision, c.Revision)
	if c.IsSnapshot {
		m.listener.Changed(Update{Items: c.Items, Snapshot: true, Revision: c.Revision})
	} else if len(c.Items) > 0 {
		m.listener.Changed(Update{Items: latestPerKey(c.Items), Revision: c.Revision})
	}
	m.confirm(m.asOf(sent, wait, c))
	return nil
}

// confirm reports that the updates so far were the newest at asOf.
func (m *Mirror) confirm(asOf time.Time) {
	m.confirmed = asOf
	m.listener.Confirmed(asOf)
}

// minWaitDivisor divides the longest wait into the shortest wait of a call.
const minWaitDivisor = 4

// nextWait returns how long the next call waits for a change. An answer with a change at
// the end of the wait confirms only the moment at which the call was sent; the next wait is
// then shorter, so that the state is never much older than one wait. With two full waits,
// instances that follow over two others would find it too old and all ask the store.
func (m *Mirror) nextWait(now time.Time) time.Duration {
	return min(m.wait, max(m.wait/minWaitDivisor, m.wait-now.Sub(m.confirmed)))
}

// latestPerKey returns the last item of each key, in their order. A key that was deleted
// and put again in one answer exists.
func latestPerKey(l []store.Item) []store.Item {
	last := make(map[string]int, len(l))
	for i, x := range l {
		last[x.Key] = i
	}
	if len(last) == len(l) {
		return l
	}
	n := make([]store.Item, 0, len(last))
	for i, x := range l {
		if last[x.Key] == i {
			n = append(n, x)
		}
	}
	return n
}

// asOf returns the moment for which an answer confirms the state. An answer that waited to
// the end without a change confirms the end of the wait; any other only the moment at
// which the call or the peer's query was sent, since the answer may have been long in transit.
func (m *Mirror) asOf(sent time.Time, wait time.Duration, c store.Changes) time.Time {
	if !c.AskedAt.IsZero() {
		sent, wait = c.AskedAt, min(wait, c.PeerWait)
	}
	if e := sent.Add(wait); len(c.Items) == 0 && !m.clock().Before(e) {
		return e.Add(-c.Age)
	}
	return sent.Add(-c.Age)
}
