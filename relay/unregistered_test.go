package relay

import (
	"testing"
	"time"
)

// Of 150 instances 48 are registered: two watch the store for all of them, changes must
// reach all at once, and the state of no instance may be older than is accepted from others.
func TestUnregisteredInstancesFollowMembers(t *testing.T) {
	withRegistered(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		f.wantRevision(t, r, 0)
		for range 30 {
			time.Sleep(500 * time.Millisecond)
			for id, listener := range f.listeners {
				if _, c, _ := listener.state(); time.Since(c) > testTiming.MaxAge+testTiming.PeerWait {
					t.Errorf("%s was confirmed %s ago, want at most MaxAge plus PeerWait", id, time.Since(c))
				}
			}
		}
		// Two watchers make 25 calls each in 15 s, and one more each after the change.
		if n := s.calls - calls; n > 60 {
			t.Errorf("%d calls of the store in 15 s, want at most 60", n)
		}
	})
}

// Estimates of the fleet's size must be such that shares by them add up to one, and shares by
// FleetSize must add up to one at most and be close to it.
func TestFleetSizeSharesAddUp(t *testing.T) {
	for _, registered := range []int{1, 7, 48, 150} {
		withRegistered(t, 150, registered, func(t *testing.T, f *fleet, _ *fakeStore) {
			time.Sleep(10 * time.Second)
			sum, settled := 0.0, 0.0
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			for _, n := range f.net.nodes {
				sum += 1 / float64(n.EstimateFleetSize())
				settled += 1 / float64(n.FleetSize())
				if e := n.EstimateFleetSize(); e < 120 || e > 188 {
					t.Errorf("%s estimates %d instances of 150, %d of them registered, want 120 to 188", n.self.ID, e, registered)
				}
			}
			if settled < 0.8 || settled > 1.05 {
				t.Errorf("the shares of 150 instances, %d of them registered, add up to %.2f by FleetSize, want 0.8 to 1.05", registered, settled)
			}
			if sum < 0.95 || sum > 1.05 {
				t.Errorf("the shares of 150 instances, %d of them registered, add up to %.2f, want 0.95 to 1.05", registered, sum)
			}
		})
	}
}

// Changes must reach the unregistered instances within the bound after the watchers end,
// and few instances may call the store then.
func TestChangesReachUnregisteredInstancesWhenWatchersEnd(t *testing.T) {
	withRegistered(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		ended := f.endWatchers()
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(2 * time.Second)
		f.wantRevision(t, r, len(ended))
		if n := s.calls - calls; n > 20 {
			t.Errorf("%d calls of the store in 2 s after its watchers ended, want at most 20", n)
		}
	})
}

// An unregistered instance whose own sources are all cut off must receive changes from
// other members or from the store.
func TestUnregisteredInstanceWithoutSources(t *testing.T) {
	withRegistered(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		id := "n100"
		f.net.mu.Lock()
		n := f.net.nodes[id]
		f.net.mu.Unlock()
		l, _, _ := n.sources()
		f.net.mu.Lock()
		for _, m := range l {
			f.net.cut[m.ID+">"+id] = true
		}
		f.net.mu.Unlock()
		r := s.put("a", "2")
		time.Sleep(2 * time.Second)
		if got, _, _ := f.listeners[id].state(); got != r {
			t.Errorf("the instance is at revision %d 2 s after the change, want %d", got, r)
		}
	})
}

// Three of the four first ranked members are refused by the store, and the answer of the
// fourth one with a change is lost on the path to each instance: all must query it again,
// and have the change within its bound without calling the store.
func TestLostAnswerIsRequestedAgain(t *testing.T) {
	withRegistered(t, 60, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		l := watchRanking(f.members())
		for _, m := range l[1:4] {
			f.outages[m.ID].set(true)
		}
		time.Sleep(4 * time.Second)
		f.net.mu.Lock()
		for id := range f.listeners {
			f.net.dropNext[l[0].ID+">"+id] = 1
		}
		f.net.mu.Unlock()
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(1500 * time.Millisecond)
		f.wantRevision(t, r, 0)
		if n := s.calls - calls; n > 20 {
			t.Errorf("%d calls of the store in 1.5 s after a change, want at most 20", n)
		}
	})
}

// wantRevision fails if more than except instances are not at the revision.
func (f *fleet) wantRevision(t *testing.T, revision int64, except int) {
	t.Helper()
	behind := 0
	for _, listener := range f.listeners {
		if got, _, _ := listener.state(); got != revision {
			behind++
		}
	}
	if behind > except {
		t.Errorf("%d instances are not at revision %d, want at most %d", behind, revision, except)
	}
}

// While the store is down, unregistered instances must leave it to the members that they
// follow, which are disconnected themselves; all must have its newest state soon after it
// is back.
func TestUnregisteredInstancesMakeFewStoreCalls(t *testing.T) {
	withRegistered(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.setDown(true)
		time.Sleep(8 * time.Second)
		// The 48 members alone make some 145 calls.
		if n := s.calls - calls; n > 180 {
			t.Errorf("%d calls in 8 s of a store that is down, want at most 180", n)
		}
		s.setDown(false)
		r := s.put("a", "2")
		time.Sleep(2500 * time.Millisecond)
		f.wantRevision(t, r, 0)
	})
}
