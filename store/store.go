// Package store defines the interfaces to the platform's key-value service, which
// holds all persistent state.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the store's calls, to be matched with errors.Is.
var (
	// ErrUnavailable: the service could not be reached or rejected the call;
	// nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: the call may or may not have taken effect.
	ErrUnknown = errors.New("store: response lost, the write may have taken effect")
)

// Pair is a key with its value. Version is 0 if the key does not exist and
// increases with each write.
type Pair struct {
	Key     string
	Value   []byte
	Version int64
}

// Write sets the value of a key. With a zero Expires the key does not expire.
type Write struct {
	Key     string
	Value   []byte
	Expires time.Time
}

// Guard is a precondition of a commit: the key must have the given version.
type Guard struct {
	Key     string
	Version int64
}

// Store is the platform's key-value service.
type Store interface {
	Committer
	// List returns at most n pairs below the prefix in descending order of their
	// keys.
	List(ctx context.Context, prefix string, n int) ([]Pair, error)
	// CreateAll performs, in one call, each write whose key does not exist yet, and
	// returns the current pair of every key.
	CreateAll(ctx context.Context, w []Write) ([]Pair, error)
	// Wait blocks until the key's version exceeds the given one and returns the
	// pair.
	Wait(ctx context.Context, key string, above int64) (Pair, error)
}

// MaxValue is the maximum size of a value in bytes. It leaves room for the key
// within the platform's size limit.
const MaxValue = 1_000_000
