// Package store is the port to the platform's key-value service, which holds
// all that must last.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a call fails. Tell them apart with errors.Is.
var (
	// ErrUnavailable: the service was not reached or refused; nothing changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: the call may or may not have taken effect.
	ErrUnknown = errors.New("store: answer lost, the write may have taken effect")
)

// Pair is a key with its value. Version is 0 if there is no such key; it
// grows with each write.
type Pair struct {
	Key     string
	Value   []byte
	Version int64
}

// Write is one change to a key. A zero Expires keeps it for good.
type Write struct {
	Key     string
	Value   []byte
	Expires time.Time
}

// Guard lets a commit go on only if the key has the version.
type Guard struct {
	Key     string
	Version int64
}

// Store is the platform's key-value service.
type Store interface {
	Committer
	// List returns at most n pairs below the prefix, the last by key first.
	List(ctx context.Context, prefix string, n int) ([]Pair, error)
	// CreateAll makes each write whose key does not exist, in one call, and
	// returns what stands under each key now.
	CreateAll(ctx context.Context, w []Write) ([]Pair, error)
	// Wait returns the pair once its version is above the given one.
	Wait(ctx context.Context, key string, above int64) (Pair, error)
}

// MaxValue is the largest value in bytes that the platform takes, with room
// left for the key.
const MaxValue = 1_000_000
