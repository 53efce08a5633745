package relay

import (
	"fmt"
	"testing"
	"time"

	"fieldvale/peer"
)

// A whole that another instance has is no newer than what was known: the store has to be read.
func TestHistoryDroppedWhileWatchersAreTurnedAway(t *testing.T) {
	for _, c := range []struct {
		fleet  int
		silent bool
	}{{3, false}, {6, false}, {6, true}, {30, true}, {82, false}} {
		t.Run(fmt.Sprintf("%d silent=%t", c.fleet, c.silent), func(t *testing.T) {
			withFleet(t, c.fleet, func(t *testing.T, f *fleet, s *fakeStore) {
				away := Watchers(f.members())
				f.turnAway(away, c.silent)
				s.compact()
				time.Sleep(2 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.know(t, r, away)
			})
		})
	}
}

// Watching instances ask others where the store turns them away, as they start and as history is gone.
func TestWatchersThatTheStoreTurnsAwayAreTold(t *testing.T) {
	for _, c := range []struct {
		name   string
		befall func(f *fleet, s *fakeStore)
	}{
		{"as they start", func(f *fleet, _ *fakeStore) { f.restart(Watchers(f.members())...) }},
		{"after history", func(_ *fleet, s *fakeStore) { s.compact() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 6, func(t *testing.T, f *fleet, s *fakeStore) {
				f.turnAway(Watchers(f.members()), false)
				c.befall(f, s)
				time.Sleep(5 * time.Second)
				r := s.put("a", "2")
				time.Sleep(2 * time.Second)
				f.know(t, r, nil)
			})
		})
	}
}

// turnAway has the store turn the instances away.
func (f *fleet) turnAway(m []peer.Member, silent bool) {
	for _, x := range m {
		f.away[x.ID].silent = silent
		f.away[x.ID].set(true)
	}
}

// know checks that all instances but those turned away know the revision, and are in touch.
func (f *fleet) know(t *testing.T, revision int64, away []peer.Member) {
	t.Helper()
	out := map[string]bool{}
	for _, m := range away {
		out[m.ID] = true
	}
	for id, on := range f.on {
		if got, confirmed, _ := on.state(); !out[id] && (got < revision || time.Since(confirmed) > times.MaxAge+times.Watch) {
			t.Errorf("%s is at revision %d of %d, confirmed %s ago", id, got, revision, time.Since(confirmed))
		}
	}
}
