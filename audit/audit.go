// Package audit holds the entries of the trail of changes. An entry is
// written in the same transaction as the change that it tells of.
package audit

import "time"

// Action names a kind of change.
type Action string

// The actions that leave an entry.
const (
	Accept     Action = "accept"
	Withdraw   Action = "withdraw"
	Reinstate  Action = "reinstate"
	StartRoll  Action = "rollout-start"
	StepRoll   Action = "rollout-step"
	TripRoll   Action = "rollout-trip"
	HaltRoll   Action = "rollout-halt"
	RotateKeys Action = "keys-rotate"
	Restore    Action = "restore"
)

// Entry tells of one change: who made it, when, from what to what, and why.
type Entry struct {
	Revision uint64
	ChangeID string
	Team     string
	Who      string
	At       time.Time
	Action   Action
	From     string
	To       string
	Why      string
}
