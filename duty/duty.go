// Package duty decides which instance does what only one may do at a time. The right to
// it is a key of the store under a lease; the revision with which the key was made is the
// fencing token, which rises with each holder. Nobody is elected: where the key is gone
// the instances try for it in the order of their ranks.
package duty

import (
	"sync"
	"time"
)

const (
	// TTL is how long a holder that is gone keeps the duty from others.
	TTL = 3 * time.Second
	// renewEvery is between a holder's renewals.
	renewEvery = TTL / 3
	// margin is how long before its lease runs out a holder stops: what it has sent is
	// under way by then.
	margin = 700 * time.Millisecond
	// turn is how much longer each instance waits for a free duty than the one ranked
	// before it.
	turn = 300 * time.Millisecond
	// rest is how long one that has lost a duty leaves it to others: two holders must not
	// act by turns.
	rest = 2 * TTL
)

// Holder is the instance that holds the duty.
type Holder struct {
	ID, Addr string
	// Fence rises whenever the holder changes.
	Fence int64
}

// Tenure is what one instance knows of a duty. It is safe for concurrent use.
type Tenure struct {
	self string

	mu     sync.Mutex
	holder Holder
	// known says that the store has told whether there is a holder, freeAt since when
	// there is none.
	known  bool
	freeAt time.Time
	// fence is this instance's own token, 0 if it does not hold the duty; until is when
	// its lease runs out and renewAt when it is to be renewed.
	fence          int64
	until, renewAt time.Time
	// restsUntil is when this instance may try again.
	restsUntil time.Time
}

// New returns the tenure of the instance with the id, which knows of no holder.
func New(self string) *Tenure { return &Tenure{self: self} }

// Seen takes in that the store names a holder.
func (t *Tenure) Seen(h Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Fence < t.holder.Fence {
		return
	}
	t.holder, t.known = h, true
	if t.fence != 0 && h.Fence > t.fence {
		t.fence, t.restsUntil = 0, now.Add(rest)
	}
}

// Free takes in that the store names none.
func (t *Tenure) Free(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.holder.ID != "" {
		t.freeAt = now
	}
	t.known = true
	t.holder = Holder{Fence: t.holder.Fence}
}

// Holder returns the holder; ok is false if none is known.
func (t *Tenure) Holder() (Holder, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder, t.holder.ID != ""
}

// IsDue reports whether the instance with that rank, from 0, is to try for the duty.
func (t *Tenure) IsDue(rank int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := t.known && t.holder.ID == "" && t.fence == 0
	return free && !now.Before(t.restsUntil) && now.Sub(t.freeAt) >= time.Duration(rank)*turn
}

// Won notes that this instance holds the duty, by a lease that runs out then.
func (t *Tenure) Won(fence int64, now, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence, t.until, t.renewAt = fence, until, now.Add(renewEvery)
}

// Renews reports whether the lease is to be renewed now.
func (t *Tenure) Renews(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && !now.Before(t.renewAt)
}

// Renewed notes that the lease runs on until then.
func (t *Tenure) Renewed(now, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until, t.renewAt = until, now.Add(renewEvery)
}

// Lost notes that this instance holds the duty no longer.
func (t *Tenure) Lost(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence, t.restsUntil = 0, now.Add(rest)
}

// Fence returns the token to act with; ok is false where this instance may not act, also
// since it can't be sure of its lease.
func (t *Tenure) Fence(now time.Time) (fence int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.fence != 0 && now.Before(t.until.Add(-margin))
}

// HasLapsed reports whether this instance's lease has run out.
func (t *Tenure) HasLapsed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && !now.Before(t.until)
}
