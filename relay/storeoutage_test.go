package relay

import (
	"testing"
	"time"
)

// The instances that watch are turned away by the store, each on its own way,
// and others are not: all know of a change within its bound.
func TestChangesReachAllWhenWatchersAreTurnedAway(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		for _, w := range Watchers(f.members()) {
			f.away[w.ID].set(true)
		}
		for i := range 12 {
			time.Sleep(time.Duration(150+70*i) * time.Millisecond)
			r := s.put("a", "2")
			time.Sleep(2 * time.Second)
			for id, on := range f.on {
				if got, _, _ := on.state(); got < r {
					t.Errorf("%s is at revision %d 2 s after revision %d", id, got, r)
				}
			}
		}
	})
}

// The store fell silent for a third of 82 instances, both that watch among them, and
// keys were revoked then: 18 to 34 requests were let through by those that did not know
// of it three seconds later. One of the second tier had asked the store 1.3 s after the
// change. All others asked it then, at once: 47 answers of 6 kB, most of which its link
// lost. They waited 0.6 s in vain, asked again together, and lost them again. What each
// asked of whom, and what came, showed it: ok=false of the one that knew, twice, by
// 30 instances in the same 50 ms.
func TestOneThatKnowsTellsAllOverASlowLink(t *testing.T) {
	withFleet(t, 82, func(t *testing.T, f *fleet, s *fakeStore) {
		f.net.mu.Lock()
		f.net.rate = 10e6 / 8
		f.net.mu.Unlock()
		r := ranked(f.members())
		for i, m := range r {
			f.away[m.ID].silent = true
			f.away[m.ID].set(i < 3 || i%3 == 0)
		}
		rev := s.put("a", random(9_000))
		time.Sleep(2 * time.Second)
		for id, on := range f.on {
			if got, _, _ := on.state(); got < rev {
				t.Errorf("%s is at revision %d 2 s after revision %d", id, got, rev)
			}
		}
	})
}

// While the store is away few instances go on asking it, and all are back
// soon after it.
func TestStoreThatIsAwayIsLeftAlone(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.setDown(true)
		time.Sleep(10 * time.Second)
		// Two ask each half second or so, the others the less the further
		// behind they are ranked.
		if n := s.calls - calls; n > 150 {
			t.Errorf("%d calls in 10 s of a store that is away, want at most 150", n)
		}
		s.setDown(false)
		r := s.put("a", "2")
		time.Sleep(2 * time.Second)
		for id, on := range f.on {
			if got, _, lost := on.state(); got != r || lost {
				t.Errorf("%s is at revision %d of %d, lost %t, 2 s after the store's return", id, got, r, lost)
			}
		}
	})
}

// The watching instances end while the store is away: all others know what is
// newest three seconds after its return.
func TestStoreReturnsWithoutItsWatchers(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		s.setDown(true)
		time.Sleep(5 * time.Second)
		ended := f.endWatchers()
		time.Sleep(time.Second)
		s.setDown(false)
		r := s.put("a", "2")
		time.Sleep(3 * time.Second)
		for id, on := range f.on {
			if got, _, lost := on.state(); !ended[id] && (got != r || lost) {
				t.Errorf("%s is at revision %d of %d, lost %t, 3 s after the store's return", id, got, r, lost)
			}
		}
	})
}

// A store that forgets its history is read whole by those that watch it; the
// others are told what is new and what is gone.
func TestForgottenHistoryIsReadByFew(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		reads := s.reads
		s.compact()
		r := s.put("a", "2")
		time.Sleep(1500 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 1.5 s after revision %d", id, got, r)
			}
		}
		if n := s.reads - reads; n > 2 {
			t.Errorf("the store was read whole %d times, want 2 at most", n)
		}
	})
}
