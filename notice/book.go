package notice

import (
	"sync"
	"time"
)

// Log takes one event with its fields, in pairs of name and value.
type Log func(event string, fields ...any)

// Book keeps the beliefs of all replicas by their ids, each of which is one life's. It is
// safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	m     map[string]Belief
	clock func() time.Time
	log   Log
	// complainAt is when the next line on what can't be read may be logged.
	complainAt time.Time
}

// NewBook returns a book in which nothing is believed.
func NewBook(clock func() time.Time, l Log) *Book {
	return &Book{m: map[string]Belief{}, clock: clock, log: l}
}

// Hear counts a notice. Of a replica that says nothing of itself nothing is kept.
func (b *Book) Hear(n Notice) {
	was, is := b.change(n)
	if is.IsLeaving() && !was.IsLeaving() {
		b.log("replica_says_leaving", "replica", n.Replica, "service", n.Service, "request", n.Request)
	}
	if is.IsResting(n.HeardAt) && !was.IsResting(n.HeardAt) {
		b.log("replica_asks_rest", "replica", n.Replica, "service", n.Service, "request", n.Request, "for", is.RestUntil.Sub(n.HeardAt), "again", !was.RestUntil.IsZero())
	}
	if is.RestUntil.IsZero() && !was.RestUntil.IsZero() {
		b.log("replica_rested", "replica", n.Replica, "service", n.Service, "request", n.Request, "ended_ago", n.HeardAt.Sub(was.RestUntil))
	}
}

func (b *Book) change(n Notice) (was, is Belief) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was = b.m[n.Replica]
	is = was.With(n)
	if is.isEmpty() {
		delete(b.m, n.Replica)
		return was, is
	}
	b.m[n.Replica] = is
	return was, is
}

// Of returns what is believed of the replica.
func (b *Book) Of(replica string) Belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.m[replica]
}

// Counts returns how many replicas said that they leave, and how many want no request now.
func (b *Book) Counts() (leaving, resting int) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.m {
		if x.IsLeaving() {
			leaving++
		}
		if x.IsResting(now) {
			resting++
		}
	}
	return leaving, resting
}

// keptFor is how long something is believed of a replica that is not listed: its entry may
// have lapsed while the platform's store was away.
const keptFor = 10 * time.Minute

// Sweep forgets the replicas that are neither listed nor were heard of for long.
func (b *Book) Sweep(isListed func(replica string) bool) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for r, x := range b.m {
		if now.Sub(x.HeardAt) >= keptFor && !isListed(r) {
			delete(b.m, r)
		}
	}
}

// complainEvery is between lines on what can't be read.
const complainEvery = time.Second

// Unreadable says that a header of an answer of the replica has no meaning.
func (b *Book) Unreadable(replica, header string, err error) {
	now := b.clock()
	b.mu.Lock()
	isDue := !now.Before(b.complainAt)
	if isDue {
		b.complainAt = now.Add(complainEvery)
	}
	b.mu.Unlock()
	if isDue {
		b.log("answer_header_unreadable", "replica", replica, "header", header, "error", err)
	}
}
