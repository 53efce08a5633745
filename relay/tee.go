package relay

import (
	"time"

	"fieldvale/mirror"
)

// Tee hands what a mirror learns to a listener and keeps it in a log for
// followers.
type Tee struct {
	Log *Log
	On  mirror.Listener
}

var _ mirror.Listener = Tee{}

// Changed implements mirror.Listener.
func (t Tee) Changed(u mirror.Update) {
	t.On.Changed(u)
	if u.Whole {
		t.Log.Reset(u.Items, u.Revision)
		return
	}
	t.Log.Add(u.Items, u.Revision)
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
