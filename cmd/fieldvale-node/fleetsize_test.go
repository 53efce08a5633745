package main

import (
	"strings"
	"testing"
)

// Guards against a process that divides the fleet's bounds by too small a number after all instances
// were lost: it must know the recorded one as soon as it has read the store. An instance must
// also record the number that it knows.
func TestNodeKnowsFleetSizeFromStore(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.store.Put("fieldvale/fleet-size", 65)
	s.start()
	s.eventually("the recorded size is used", func() bool { return s.node.relay.FleetSize() == 65 })
	n := s.node
	n.writeFleetSize(t.Context(), 80, n.state.RecordedFleetSize().Version)
	s.eventually("a new record is received", func() bool { return n.state.RecordedFleetSize().Size == 80 })
	n.writeFleetSize(t.Context(), 90, 1)
	if l := s.logs.String(); !strings.Contains(l, "won=false") {
		t.Error("a record was replaced by a writer that did not know it")
	}
}

func TestFleetSizeRecordIsReplacedWhenOutdated(t *testing.T) {
	for _, c := range []struct {
		recorded, known int
		want            bool
	}{{0, 0, false}, {0, 1, true}, {65, 0, false}, {65, 70, false}, {65, 100, true}, {100, 85, false}, {100, 65, true}} {
		if got := isOutdated(c.recorded, c.known); got != c.want {
			t.Errorf("recorded %d, known %d: outdated %t, want %t", c.recorded, c.known, got, c.want)
		}
	}
}
