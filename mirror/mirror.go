// Package mirror keeps an instance's copy of the store's keys up to date: it
// reads them whole once, follows their changes, and reads them whole again
// when the store has forgotten the history in between.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

const (
	// firstRetry and longestRetry bound the pause after a failed call. Each
	// call has a price, but a change must be in force within two seconds of
	// the store's return.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Update is what a mirror hands on.
type Update struct {
	// Items has the newest item of each key.
	Items []store.Item
	// Snapshot says that Items are all keys there are.
	Snapshot bool
	Revision int64
}

// Listener is told what a mirror learns, from one goroutine.
type Listener interface {
	// Changed hands over items; it is not called for empty answers.
	Changed(u Update)
	// Confirmed says that nothing newer existed at the moment asOf.
	Confirmed(asOf time.Time)
	// Disconnected and Regained tell of the way to the store.
	Disconnected(err error)
	Reconnected()
}

// Mirror follows the keys below one prefix.
type Mirror struct {
	feed   store.Feed
	prefix string
	wait   time.Duration
	clock  func() time.Time
	on     Listener

	revision int64
	// confirmed is the last moment of which the mirror knows that nothing newer
	// existed.
	confirmed time.Time
	failed    int
	retry     time.Duration
	// pages is what a whole read has brought so far, begun when it began.
	pages Update
	begun time.Time
}

// New returns a mirror of the keys below prefix. wait is how long one call
// waits for a change, and so how often an idle store confirms.
func New(f store.Feed, prefix string, wait time.Duration, clock func() time.Time, on Listener) *Mirror {
	return &Mirror{feed: f, prefix: prefix, wait: wait, clock: clock, on: on, revision: -1}
}

// Run follows the store until ctx ends.
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
			m.lose(ctx, err)
			continue
		}
		if m.failed > 0 && m.inTouch() {
			m.failed = 0
			m.on.Reconnected()
		}
	}
	return nil
}

// touchWaits is how many waits old knowledge may be that counts as touch: news that reaches one
// who is cut off says nothing of what came after it.
const touchWaits = 2.5

func (m *Mirror) inTouch() bool {
	return m.clock().Sub(m.confirmed) <= time.Duration(touchWaits*float64(m.wait))
}

// step makes the next call, or the calls of a whole read.
func (m *Mirror) step(ctx context.Context) error {
	if m.revision < 0 {
		return m.readAll(ctx)
	}
	return m.follow(ctx)
}

// lose waits before the next call.
func (m *Mirror) lose(ctx context.Context, err error) {
	m.failed++
	if m.failed == 1 {
		m.retry = firstRetry
		m.on.Disconnected(err)
	}
	d := m.retry/2 + rand.N(m.retry)
	m.retry = min(longestRetry, 2*m.retry)
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readAll reads page after page; it goes on at a page that failed. The changes are
// followed from the first page's revision on, so that what changed between two pages
// comes again.
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
	m.on.Changed(u)
	m.confirm(m.begun)
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
		m.pages.Revision, m.begun = p.Revision, sent.Add(-p.Age)
	}
	return p, err
}

// follow takes in what one call for changes brings.
func (m *Mirror) follow(ctx context.Context) error {
	sent := m.clock()
	wait := m.nextWait(sent)
	c, err := m.feed.Changes(ctx, m.prefix, m.revision, wait)
	if err != nil {
		return err
	}
	m.revision = max(m.revision, c.Revision)
	if c.Whole {
		m.on.Changed(Update{Items: c.Items, Snapshot: true, Revision: c.Revision})
	} else if len(c.Items) > 0 {
		m.on.Changed(Update{Items: newest(c.Items), Revision: c.Revision})
	}
	m.confirm(m.asOf(sent, wait, c))
	return nil
}

// confirm hands on that nothing newer existed at the moment asOf.
func (m *Mirror) confirm(asOf time.Time) {
	m.confirmed = asOf
	m.on.Confirmed(asOf)
}

// shortestPart of the longest wait is the least that a call waits.
const shortestPart = 4

// nextWait is how long the next call waits for a change. After an answer that
// brought one late, which proves nothing later than its question, it is less, so
// that what is known is never much older than one wait: with two, those at the end of
// a way over two instances would find it too old and all ask the store.
func (m *Mirror) nextWait(now time.Time) time.Duration {
	return min(m.wait, max(m.wait/shortestPart, m.wait-now.Sub(m.confirmed)))
}

// newest returns the last item of each key, in their order. A key that went and
// came back in one answer is there, not gone.
func newest(l []store.Item) []store.Item {
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

// asOf is the moment for which an answer speaks. One that waited to the end
// in vain speaks for the end of the wait; any other only for its start, since
// the answer may have been long under way.
func (m *Mirror) asOf(sent time.Time, wait time.Duration, c store.Changes) time.Time {
	w := wait
	if c.Waited > 0 {
		w = min(w, c.Waited)
	}
	if e := sent.Add(w); len(c.Items) == 0 && !m.clock().Before(e) {
		return e.Add(-c.Age)
	}
	return sent.Add(-c.Age)
}
