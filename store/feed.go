package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted says that the changes asked for are no longer kept: the keys
// have to be read whole.
var ErrCompacted = errors.New("store: history is gone")

// Item is a key as a feed tells of it.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's counter at the key's last change.
	Revision int64
	// Deleted items have no value.
	Deleted bool
	// Lease is what the key goes with; 0 for none. Only the store itself
	// tells it.
	Lease int64
}

// Page is a part of the keys below a prefix, in the order of the keys.
// Revision is the store's at the time of the read; pages are no snapshot.
type Page struct {
	Items    []Item
	Revision int64
	More     bool
	// Age is how old the answer was when it was given; 0 from the store.
	Age time.Duration
}

// Changes are what happened to keys after a revision, oldest first. Revision
// is where to go on from.
type Changes struct {
	Items    []Item
	Revision int64
	// Whole says that Items are all keys there are.
	Whole bool
	// Age is how old the answer was when it was given; 0 from the store.
	Age time.Duration
	// Waited is how long the one who answered waits for a change, if that is
	// less than was asked for.
	Waited time.Duration
}

// Feed tells of keys and of their changes.
type Feed interface {
	// Read returns the keys below the prefix that follow the key after.
	Read(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits until there is a change after the revision, at most for
	// wait, and fails soon after that if there is no answer at all. It fails
	// with ErrCompacted if the store forgot its history.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// Committer changes keys under conditions.
type Committer interface {
	// Get returns the pair, with Version 0 if there is none.
	Get(ctx context.Context, key string) (Pair, error)
	// Commit makes all writes or, if a guard does not hold, none.
	Commit(ctx context.Context, g []Guard, w []Write) (bool, error)
}
