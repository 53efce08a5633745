package relay

import (
	"time"

	"fieldvale/mirror"
)

// Tee hands what a mirror learns to a listener and keeps it in a log for
// followers.
type Tee struct {
	Log *ChangeLog
	On  mirror.Listener
	// Event logs what went wrong.
	Event func(event string, fields ...any)
}

var _ mirror.Listener = Tee{}

// Changed implements mirror.Listener. The log, which takes its time to pack a whole, is first: between
// a configuration and its confirmation no key is honoured by it.
func (t Tee) Changed(u mirror.Update) {
	keep := t.Log.Add
	if u.Whole {
		keep = t.Log.Reset
	}
	if err := keep(u.Items, u.Revision); err != nil {
		t.Event("changes_unkept", "revision", u.Revision, "items", len(u.Items), "error", err)
	}
	t.On.Changed(u)
}

// Confirmed implements mirror.Listener.
func (t Tee) Confirmed(asOf time.Time) {
	t.Log.Confirm(asOf)
	t.On.Confirmed(asOf)
}

// Lost implements mirror.Listener.
func (t Tee) Lost(err error) {
	t.Log.SetLost(true)
	t.On.Lost(err)
}

// Regained implements mirror.Listener.
func (t Tee) Regained() {
	t.Log.SetLost(false)
	t.On.Regained()
}
