// Package claim decides who may send a request that may not be repeated.
//
// A claim is a record in the platform's store under the caller's key, made
// only if there is none. Whoever finds its own nonce in it may send, once;
// everyone else is told what the record proves and no more.
package claim

import (
	"time"
)

// State is what a claim proves.
type State string

const (
	// Held: the holder may have sent the request.
	Held State = "held"
	// Ran: the request ran; the answer is kept if it was short.
	Ran State = "ran"
	// Free: the holder proved that the request did not run.
	Free State = "free"
)

// MaxAnswer is the longest answer, in bytes, that a claim keeps for a caller
// who asks again.
const MaxAnswer = 4096

// Margin is how long a record outlives its deadline, so that a holder which
// was paused past the deadline still can't be doubled.
const Margin = time.Hour

// Claim is the record kept under a key.
type Claim struct {
	Customer string
	Key      string
	// Nonce tells whose claim it is; it is new for each try.
	Nonce  string
	Holder string
	// Deadline is when the caller gives up; the holder sends nothing after it.
	Deadline time.Time
	State    State
	// Status and Answer are those of a request that ran.
	Status int
	Answer []byte
}

// New returns a claim that the holder wants.
func New(customer, key, nonce, holder string, deadline time.Time) Claim {
	return Claim{Customer: customer, Key: key, Nonce: nonce, Holder: holder, Deadline: deadline, State: Held}
}

// WithAnswer returns the claim of a request that ran. Too long an answer is
// left out; the state alone is kept then.
func (c Claim) WithAnswer(status int, b []byte) Claim {
	c.State = Ran
	c.Status = status
	if len(b) <= MaxAnswer {
		c.Answer = b
	}
	return c
}

// WithFree returns the claim of a request that surely did not run.
func (c Claim) WithFree() Claim {
	c.State = Free
	return c
}

// Expires is when the store may forget the record.
func (c Claim) Expires() time.Time { return c.Deadline.Add(Margin) }

// Verdict is what an asker may do.
type Verdict int

const (
	// Send: the claim is the asker's; it may send once.
	Send Verdict = iota
	// MayHaveRun: someone else holds the claim and there is no proof of a
	// result. The request must not be sent.
	MayHaveRun
	// Replay: the request ran and its answer is kept.
	Replay
	// RanBefore: the request ran, but its answer was too long to keep.
	RanBefore
	// Takeable: the earlier holder proved that it did not run; the asker may
	// replace exactly that record with its own.
	Takeable
	// Expired: the asker's own deadline has passed; it must not send.
	Expired
)

// String returns the verdict as logs name it.
func (v Verdict) String() string {
	return [...]string{"send", "may_have_run", "replay", "ran_before", "takeable", "expired"}[v]
}

// Judge compares the record found under the key with the asker's claim.
func Judge(found, mine Claim, now time.Time) Verdict {
	switch {
	case found.State == Ran && found.Answer != nil:
		return Replay
	case found.State == Ran:
		return RanBefore
	case found.Nonce == mine.Nonce && !now.Before(mine.Deadline):
		return Expired
	case found.Nonce == mine.Nonce && found.State == Held:
		return Send
	case found.State == Free && found.Nonce != mine.Nonce:
		return Takeable
	}
	return MayHaveRun
}
