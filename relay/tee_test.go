package relay

import (
	"testing"
	"time"

	"fieldvale/mirror"
	"fieldvale/store"
)

// orderly is a listener that looks what the log has when it is told of a change.
type orderly struct {
	log  *ChangeLog
	seen int64
}

func (o *orderly) Changed(mirror.Update) { o.seen, _, _ = o.log.newest() }
func (o *orderly) Confirmed(time.Time)   {}
func (o *orderly) Disconnected(error)    {}
func (o *orderly) Reconnected()          {}

// Packing stands between no configuration and its confirmation: keys were refused meanwhile.
func TestWholeIsPackedBeforeItsConfigurationIsInForce(t *testing.T) {
	l := NewChangeLog()
	o := &orderly{log: l}
	k := Tee{ChangeLog: l, Listener: o, Event: func(string, ...any) {}}
	k.Changed(mirror.Update{Items: []store.Item{{Key: "a", Revision: 7}}, Snapshot: true, Revision: 7})
	if o.seen != 7 {
		t.Errorf("the log is at %d as the change is in force, want 7", o.seen)
	}
}
