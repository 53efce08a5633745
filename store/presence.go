package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLapsed is returned if the lease of an announcement has expired, so that the
// process has to be announced again.
var ErrLapsed = errors.New("store: the announcement has lapsed")

// LeasedKey is a key under a lease: it exists as long as the lease is renewed.
type LeasedKey struct {
	Lease int64
	// RenewBy is when the lease expires unless it is renewed before.
	RenewBy time.Time
}

// Presence announces a process under a key that is deleted when the process stops
// renewing its lease.
type Presence interface {
	// Announce writes the key under a new lease with the given ttl.
	Announce(ctx context.Context, key string, value []byte, ttl time.Duration) (LeasedKey, error)
	// Renew extends the lease by ttl. It returns ErrLapsed if the lease has expired.
	Renew(ctx context.Context, a LeasedKey, ttl time.Duration) (LeasedKey, error)
	// End deletes the key.
	End(ctx context.Context, a LeasedKey) error
}
