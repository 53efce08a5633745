package relay

import "time"

// Timing are how fresh knowledge has to be.
type Timing struct {
	// StoreWait is how long one call of the store waits for a change, Follow how
	// long a question to another instance does.
	StoreWait time.Duration
	Follow    time.Duration
	// MaxAge is the oldest knowledge that is taken from another instance. One
	// that watches a sound store has none much older than Watch and Gather, and
	// one that follows it none that is older by more than Follow.
	MaxAge time.Duration
	// Gather is how long changes are gathered after one that came from the
	// store: each call has a price, and changes come in bursts.
	Gather time.Duration
}

// TimingFor returns the times with which a change is in force within the bound
// also at an instance whose source loses the store without notice: it asks
// the store itself once MaxAge and one question are over.
func TimingFor(within time.Duration) Timing {
	return Timing{StoreWait: within * 3 / 10, Follow: within * 15 / 100, MaxAge: within * 65 / 100, Gather: within / 10}
}
