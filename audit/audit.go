// Package audit defines the entries of the audit trail. An entry is written in the same
// transaction as the change that it records.
package audit

import "time"

// Action is the kind of a recorded change.
type Action string

// The actions that are recorded.
const (
	Accept       Action = "accept"
	Withdraw     Action = "withdraw"
	Reinstate    Action = "reinstate"
	StartRollout Action = "rollout-start"
	StepRollout  Action = "rollout-step"
	TripRollout  Action = "rollout-trip"
	HaltRollout  Action = "rollout-halt"
	RotateKeys   Action = "keys-rotate"
	Restore      Action = "restore"
)

// Entry records one change: who made it and when, the old and the new value, and the
// reason.
type Entry struct {
	Revision uint64
	ChangeID string
	Team     string
	Actor    string
	At       time.Time
	Action   Action
	From     string
	To       string
	Reason   string
}
