package relay

import "time"

// Times are how fresh knowledge has to be.
type Times struct {
	// Watch is how long one call of the store waits for a change, Follow how
	// long a question to another instance does.
	Watch  time.Duration
	Follow time.Duration
	// MaxAge is the oldest knowledge that is taken from another instance. One
	// that watches a sound store never has older: twice Watch, since an
	// answer that brings a change proves nothing later than its question.
	MaxAge time.Duration
}

// TimesFor returns the times with which a change is in force within the bound
// also at an instance whose source loses the store without notice: it asks
// the store itself once MaxAge and one question are over.
func TimesFor(within time.Duration) Times {
	return Times{Watch: within * 3 / 10, Follow: within * 15 / 100, MaxAge: within * 65 / 100}
}
