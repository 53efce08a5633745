// Package duty decides which instance performs a duty, a task that only one instance may
// perform at a time. The holder owns a key in the store under a lease. The revision at
// which the key was created is the fencing token, which increases with each holder. There
// is no election protocol: if the key does not exist, the instances try to create it in
// the order of their ranks.
package duty

import (
	"sync"
	"time"
)

const (
	// TTL is the duration of the lease: no other instance can take over the duty of a
	// holder that has failed for that long.
	TTL = 3 * time.Second
	// renewInterval is the time between a holder's lease renewals.
	renewInterval = TTL / 3
	// safetyMargin is how long before the expiry of its lease a holder stops acting,
	// since the calls that it has sent by then are still in transit.
	safetyMargin = 700 * time.Millisecond
	// claimStagger is how much longer each instance waits before it claims a vacant duty
	// than the one ranked before it.
	claimStagger = 300 * time.Millisecond
	// retryDelay is how long an instance that has lost the duty does not claim it again,
	// so that two instances do not take the duty from each other alternately.
	retryDelay = 2 * TTL
)

// Holder is the instance that holds the duty.
type Holder struct {
	ID, Addr string
	// FencingToken is the fencing token; it increases whenever the holder changes.
	FencingToken int64
}

// State is one instance's state of a duty: the holder last reported by the store and
// the instance's own lease. It is safe for concurrent use.
type State struct {
	self string

	mu     sync.Mutex
	holder Holder
	// isReported is set once the store has reported whether there is a holder;
	// vacantSince is when it first reported that there is none.
	isReported  bool
	vacantSince time.Time
	// fence is this instance's own fencing token, 0 if it does not hold the duty;
	// expiresAt is when its lease expires and renewAt when to renew it.
	fence              int64
	expiresAt, renewAt time.Time
	// retryAt is when this instance may claim the duty again.
	retryAt time.Time
}

// New returns the state of the instance with the given id before any report from the
// store.
func New(self string) *State { return &State{self: self} }

// RecordHolder records that the store reports the holder h. A report with a lower fencing token
// than an earlier one is outdated and ignored.
func (t *State) RecordHolder(h Holder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.FencingToken < t.holder.FencingToken {
		return
	}
	t.holder, t.isReported = h, true
	if t.fence != 0 && h.FencingToken > t.fence {
		t.fence, t.retryAt = 0, now.Add(retryDelay)
	}
}

// RecordVacancy records that the store reports no holder.
func (t *State) RecordVacancy(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isReported || t.holder.ID != "" {
		t.vacantSince = now
	}
	t.isReported = true
	t.holder = Holder{FencingToken: t.holder.FencingToken}
}

// Holder returns the holder last reported; ok is false if there is none.
func (t *State) Holder() (Holder, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder, t.holder.ID != ""
}

// ShouldClaim reports whether this instance, with the given rank from 0, should claim the duty
// now.
func (t *State) ShouldClaim(rank int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := t.isReported && t.holder.ID == "" && t.fence == 0
	return free && !now.Before(t.retryAt) && now.Sub(t.vacantSince) >= time.Duration(rank)*claimStagger
}

// RecordAcquired records that this instance has acquired the duty, under a lease that expires at
// the given time.
func (t *State) RecordAcquired(fence int64, now, expiresAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence, t.expiresAt, t.renewAt = fence, expiresAt, now.Add(renewInterval)
}

// NeedsRenewal reports whether the lease has to be renewed now.
func (t *State) NeedsRenewal(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && !now.Before(t.renewAt)
}

// RecordRenewed records that the lease was extended to the given expiry time.
func (t *State) RecordRenewed(now, expiresAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt, t.renewAt = expiresAt, now.Add(renewInterval)
}

// RecordLost records that this instance no longer holds the duty.
func (t *State) RecordLost(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence, t.retryAt = 0, now.Add(retryDelay)
}

// FencingToken returns the fencing token of this instance and until when it may act with it. ok is
// false if the instance must not act: it does not hold the duty, or its lease expires within the safety
// margin.
func (t *State) FencingToken(now time.Time) (fence int64, until time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until = t.expiresAt.Add(-safetyMargin)
	return t.fence, until, t.fence != 0 && now.Before(until)
}

// HasExpired reports whether this instance's lease has expired.
func (t *State) HasExpired(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0 && !now.Before(t.expiresAt)
}

// IsHeld reports whether this instance holds the duty, or may still hold it.
func (t *State) IsHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence != 0
}
