package relay

import (
	"time"

	"fieldvale/mirror"
)

// Tee hands what a mirror learns to a listener and keeps it in a log for
// followers.
type Tee struct {
	ChangeLog *ChangeLog
	Listener  mirror.Listener
	// Event logs what went wrong.
	Event func(event string, fields ...any)
}

var _ mirror.Listener = Tee{}

// Changed implements mirror.Listener. The log, which takes its time to pack a whole, is first: between
// a configuration and its confirmation no key is honoured by it.
func (t Tee) Changed(u mirror.Update) {
	keep := t.ChangeLog.Add
	if u.Snapshot {
		keep = t.ChangeLog.Reset
	}
	if err := keep(u.Items, u.Revision); err != nil {
		t.Event("changes_unkept", "revision", u.Revision, "items", len(u.Items), "error", err)
	}
	t.Listener.Changed(u)
}

// Confirmed implements mirror.Listener.
func (t Tee) Confirmed(asOf time.Time) {
	t.ChangeLog.Confirm(asOf)
	t.Listener.Confirmed(asOf)
}

// Disconnected implements mirror.Listener.
func (t Tee) Disconnected(err error) {
	t.ChangeLog.SetLost(true)
	t.Listener.Disconnected(err)
}

// Reconnected implements mirror.Listener.
func (t Tee) Reconnected() {
	t.ChangeLog.SetLost(false)
	t.Listener.Reconnected()
}
