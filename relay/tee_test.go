package relay

import (
	"testing"
	"time"

	"fieldvale/mirror"
	"fieldvale/store"
)

// logObserver is a listener that records the revision of the change log at each update.
type logObserver struct {
	log  *ChangeLog
	seen int64
}

func (o *logObserver) Changed(mirror.Update) { o.seen, _, _ = o.log.newest() }
func (o *logObserver) Confirmed(time.Time)   {}
func (o *logObserver) Disconnected(error)    {}
func (o *logObserver) Reconnected()          {}

// If the snapshot is packed after its configuration is put in force, its confirmation is
// late by the time that packing takes, and keys are refused meanwhile.
func TestSnapshotIsPackedBeforeItIsInForce(t *testing.T) {
	l := NewChangeLog()
	o := &logObserver{log: l}
	k := Tee{ChangeLog: l, Listener: o, Event: func(string, ...any) {}}
	k.Changed(mirror.Update{Items: []store.Item{{Key: "a", Revision: 7}}, Snapshot: true, Revision: 7})
	if o.seen != 7 {
		t.Errorf("the log is at revision %d when the listener is called, want 7", o.seen)
	}
}
