package relay

import (
	"testing"
	"time"
)

// Of 150 instances 48 are listed: two watch the store for all of them, changes
// reach all at once, and nobody's knowledge is older than is taken from others.
func TestUnlistedInstancesFollowListedOnes(t *testing.T) {
	withListed(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		f.wantRevision(t, r, 0)
		for range 30 {
			time.Sleep(500 * time.Millisecond)
			for id, on := range f.on {
				if _, c, _ := on.state(); time.Since(c) > times.MaxAge+times.Follow {
					t.Errorf("%s was confirmed %s ago", id, time.Since(c))
				}
			}
		}
		// Two watch, 25 calls each in 15 s, and one more after the change.
		if n := s.calls - calls; n > 60 {
			t.Errorf("%d calls of the store in 15 s, want about 52", n)
		}
	})
}

// The shares that instances take of what is for the whole fleet add up to one.
func TestSharesOfTheFleetAddUp(t *testing.T) {
	for _, listed := range []int{1, 7, 48, 150} {
		withListed(t, 150, listed, func(t *testing.T, f *fleet, _ *fakeStore) {
			sum := 0.0
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			for _, n := range f.net.nodes {
				sum += 1 / float64(n.FleetSize())
			}
			if sum < 0.95 || sum > 1.05 {
				t.Errorf("the shares of 150 instances, %d of them listed, add up to %.2f", listed, sum)
			}
		})
	}
}

// Changes reach the unlisted instances within the bound when those that watch
// the store end, and few ask the store then.
func TestUnlistedInstancesHearWhenWatchersEnd(t *testing.T) {
	withListed(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
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

// An unlisted instance whose own sources are all cut off is told by others or by
// the store.
func TestUnlistedInstanceWithoutSources(t *testing.T) {
	withListed(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
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
		if got, _, _ := f.on[id].state(); got != r {
			t.Errorf("it is at revision %d 2 s after revision %d", got, r)
		}
	})
}

// Three of the four instances that may watch have lost their way to the store,
// and the answer of the fourth with a change is lost on the way to each instance:
// all ask it again, and know the change within its bound.
func TestALostAnswerIsAskedForAgain(t *testing.T) {
	withListed(t, 60, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		l := ranked(f.members())
		for _, m := range l[1:4] {
			f.away[m.ID].set(true)
		}
		time.Sleep(4 * time.Second)
		f.net.mu.Lock()
		for id := range f.on {
			f.net.lose[l[0].ID+">"+id] = 1
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

// wantRevision fails if more than so many instances are not at the revision.
func (f *fleet) wantRevision(t *testing.T, revision int64, except int) {
	t.Helper()
	behind := 0
	for _, on := range f.on {
		if got, _, _ := on.state(); got != revision {
			behind++
		}
	}
	if behind > except {
		t.Errorf("%d instances are not at revision %d, want at most %d", behind, revision, except)
	}
}

// While the store is away, unlisted instances leave it to the listed ones that
// they follow, which are out of touch themselves; all are back soon after it.
func TestUnlistedInstancesLeaveTheStoreAlone(t *testing.T) {
	withListed(t, 150, 48, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.setDown(true)
		time.Sleep(8 * time.Second)
		// The 48 listed ones alone make some 145.
		if n := s.calls - calls; n > 180 {
			t.Errorf("%d calls in 8 s of a store that is away, want at most 180", n)
		}
		s.setDown(false)
		r := s.put("a", "2")
		time.Sleep(2500 * time.Millisecond)
		f.wantRevision(t, r, 0)
	})
}
