// Package claim decides which instance may send a non-idempotent request.
//
// A claim is a record in the platform's store under the caller's idempotency key.
// It is created only if no record exists. The instance that finds its own nonce in
// the stored record may send the request once; any other instance only gets the
// result that the record proves.
package claim

import (
	"time"
)

// State is what a claim proves about the execution of its request.
type State string

const (
	// Held: the holder may have sent the request.
	Held State = "held"
	// Ran: the request ran; its answer is stored if it is short enough.
	Ran State = "ran"
	// NotRun: the holder proved that the request did not run.
	NotRun State = "free"
)

// MaxStoredAnswer is the maximum size, in bytes, of an answer that a claim stores for
// retries of the caller.
const MaxStoredAnswer = 4096

// RetentionMargin is how long a record is kept after its deadline, so that no second instance
// can send the request while a holder that was paused past the deadline may resume.
const RetentionMargin = time.Hour

// Claim is the record stored under an idempotency key.
type Claim struct {
	Customer string
	Key      string
	// Nonce identifies the attempt that created the claim; each attempt has a new one.
	Nonce  string
	Holder string
	// Deadline is the caller's deadline; the holder sends nothing after it.
	Deadline time.Time
	State    State
	// Status and Answer are the HTTP status and the answer of a request that ran.
	Status int
	Answer []byte
}

// New returns a claim in state Held for the holder to store.
func New(customer, key, nonce, holder string, deadline time.Time) Claim {
	return Claim{Customer: customer, Key: key, Nonce: nonce, Holder: holder, Deadline: deadline, State: Held}
}

// WithAnswer returns the claim of a request that ran. An answer longer than
// MaxStoredAnswer is omitted, so that only state and status are stored.
func (c Claim) WithAnswer(status int, b []byte) Claim {
	c.State = Ran
	c.Status = status
	if len(b) <= MaxStoredAnswer {
		c.Answer = b
	}
	return c
}

// WithNotRun returns the claim of a request that certainly did not run.
func (c Claim) WithNotRun() Claim {
	c.State = NotRun
	return c
}

// Expires returns the time from which the store may delete the record.
func (c Claim) Expires() time.Time { return c.Deadline.Add(RetentionMargin) }

// Verdict is what an instance may do after comparing its claim with the stored one.
type Verdict int

const (
	// Send: the stored claim is the instance's own; it may send the request once.
	Send Verdict = iota
	// MayHaveRun: another attempt holds the claim and there is no proof of a result.
	// The request must not be sent.
	MayHaveRun
	// Replay: the request ran and its answer is stored.
	Replay
	// RanBefore: the request ran, but its answer was too long to be stored.
	RanBefore
	// Reclaimable: the earlier holder proved that the request did not run; the instance
	// may replace exactly this version of the record with its own claim.
	Reclaimable
	// Expired: the deadline of the instance's own claim has passed; it must not send.
	Expired
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"send", "may_have_run", "replay", "ran_before", "takeable", "expired"}[v]
}

// Decide compares the record stored under the key with the instance's own claim.
func Decide(stored, own Claim, now time.Time) Verdict {
	switch {
	case stored.State == Ran && stored.Answer != nil:
		return Replay
	case stored.State == Ran:
		return RanBefore
	case stored.Nonce == own.Nonce && !now.Before(own.Deadline):
		return Expired
	case stored.Nonce == own.Nonce && stored.State == Held:
		return Send
	case stored.State == NotRun && stored.Nonce != own.Nonce:
		return Reclaimable
	}
	return MayHaveRun
}
