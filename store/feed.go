package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted is returned if the store has discarded the history of the requested
// changes; the caller has to read all keys again.
var ErrCompacted = errors.New("store: history is gone")

// Item is the state of a key as reported by a feed.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the key's last change.
	Revision int64
	// Deleted reports that the key was deleted; Value is then empty.
	Deleted bool
	// Lease is the lease under which the key exists; 0 for none. Only the store
	// itself reports it, instances that pass items on do not.
	Lease int64
}

// Page is a part of the keys below a prefix, in ascending order. Revision is the
// store's revision at the time of the read. Successive pages are read at different
// revisions, so together they are not a consistent snapshot.
type Page struct {
	Items    []Item
	Revision int64
	More     bool
	// Age is the age of the response when it was sent; 0 if it is from the store
	// itself.
	Age time.Duration
}

// Changes lists the changes of keys after a revision, oldest first. Revision is
// the revision from which to continue.
type Changes struct {
	Items    []Item
	Revision int64
	// IsSnapshot reports that Items is a snapshot of all keys instead of the changes.
	IsSnapshot bool
	// Age is the age of the response when it was sent; 0 if it is from the store
	// itself.
	Age time.Duration
	// AskedAt is when the query was sent that a peer has answered; zero if the response is from the
	// store. PeerWait is how long that peer waited for a change before it answered without one.
	AskedAt  time.Time
	PeerWait time.Duration
}

// Feed reads keys and watches their changes.
type Feed interface {
	// Read returns the keys below the prefix that follow the key after.
	Read(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits for a change after the given revision, at most for the duration
	// of wait. Without any response it returns an error soon after that. It returns
	// ErrCompacted if the store has discarded the history since the revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// Committer reads keys and changes them conditionally.
type Committer interface {
	// Get returns the key's pair, with Version 0 if the key does not exist.
	Get(ctx context.Context, key string) (Pair, error)
	// Commit performs all writes if all guards hold, else none. It reports whether
	// the writes were performed.
	Commit(ctx context.Context, g []Guard, w []Write) (bool, error)
}
