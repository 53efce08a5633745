package relay

import (
	"time"

	"fieldvale/mirror"
)

// Tee passes the updates of a mirror to a listener and adds them to the change log, from
// which followers are served.
type Tee struct {
	ChangeLog *ChangeLog
	Listener  mirror.Listener
	// Event logs errors.
	Event func(event string, fields ...any)
}

var _ mirror.Listener = Tee{}

// Changed implements mirror.Listener. The change log is updated first: packing a snapshot
// takes time, and from the moment the listener puts a configuration in force until it is
// confirmed, no keys are honoured.
func (t Tee) Changed(u mirror.Update) {
	update := t.ChangeLog.Add
	if u.Snapshot {
		update = t.ChangeLog.Reset
	}
	if err := update(u.Items, u.Revision); err != nil {
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
	t.ChangeLog.SetDisconnected(true)
	t.Listener.Disconnected(err)
}

// Reconnected implements mirror.Listener.
func (t Tee) Reconnected() {
	t.ChangeLog.SetDisconnected(false)
	t.Listener.Reconnected()
}
