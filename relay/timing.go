package relay

import "time"

// Timing has the waits of calls, and how recent state of another instance must be.
type Timing struct {
	// StoreWait is how long one call of the store waits for a change, PeerWait how long a
	// query to another instance does.
	StoreWait time.Duration
	PeerWait  time.Duration
	// MaxAge is the greatest age at which an answer without changes, or fetched state, is
	// accepted from another instance. The state of a watcher of a working store is not much
	// older than StoreWait plus BatchDelay, and that of its follower at most PeerWait older.
	MaxAge time.Duration
	// BatchDelay is the pause between two calls of the store after one that returned
	// changes: each call has a cost, and changes come in bursts.
	BatchDelay time.Duration
}

// TimingFor returns the timing with which a change is in force within the bound, also at
// an instance whose source loses the store without noticing: it asks the store itself
// after MaxAge and one query.
func TimingFor(within time.Duration) Timing {
	return Timing{StoreWait: within * 3 / 10, PeerWait: within * 15 / 100, MaxAge: within * 65 / 100, BatchDelay: within / 10}
}
