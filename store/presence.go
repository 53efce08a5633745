package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLapsed says that an announcement is over and has to be made anew.
var ErrLapsed = errors.New("store: the announcement has lapsed")

// Announced is a key that stays as long as it is renewed.
type Announced struct {
	Lease int64
	// RenewBy is when it lapses if it is not renewed.
	RenewBy time.Time
}

// Presence announces a process under a key that goes with it.
type Presence interface {
	Announce(ctx context.Context, key string, value []byte, ttl time.Duration) (Announced, error)
	// Renew prolongs the announcement; ErrLapsed if it is over.
	Renew(ctx context.Context, a Announced, ttl time.Duration) (Announced, error)
	// End takes the key away.
	End(ctx context.Context, a Announced) error
}
