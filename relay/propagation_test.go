package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func TestChangesReachAllAndAgesAddUp(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		r := s.put("a", "2")
		time.Sleep(100 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 100 ms after revision %d", id, got, r)
			}
		}
		time.Sleep(15 * time.Second)
		// Two watch, 25 calls each in 15 s.
		if n := s.calls - calls; n > 60 {
			t.Errorf("%d calls of the store in 15 s of an idle fleet, want about 50", n)
		}
		for id, on := range f.on {
			if _, c, _ := on.state(); time.Since(c) > 3*time.Second || time.Since(c) < 0 {
				t.Errorf("%s was confirmed %s ago", id, time.Since(c))
			}
		}
	})
}

// An instance never takes knowledge for newer than it is, whatever is cut or
// down meanwhile: a change that was made before the moment of a confirmation
// is in force by then.
func TestConfirmationsAreTrue(t *testing.T) { confirmationsAreTrue(t, 5) }

// What a soak saw: a request ran with a key that had been taken away 3.9 s before it was
// sent, with 3 s allowed. Order of events: an instance starts while others are paused and
// the store refuses; the whole that it fetches is long under way; it passes that on to one
// that has fallen behind. Cause: a fetched whole was taken for known as of its receipt.
// Evidence: this play, with the fail file beside it.
func TestConfirmationsAreTrueBesideStarts(t *testing.T) { confirmationsAreTrue(t, 8) }

// confirmationsAreTrue plays draws of the steps up to most.
func confirmationsAreTrue(t *testing.T, most int) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, most), 5, 25).Draw(rt, "steps")
		waits := rapid.SliceOfN(rapid.IntRange(1, 3000), 25, 25).Draw(rt, "waits")
		who := rapid.SliceOfN(rapid.IntRange(0, 4), 50, 50).Draw(rt, "who")
		listed := rapid.IntRange(1, 5).Draw(rt, "listed")
		synctest.Test(t, func(t *testing.T) { playRelay(t, rt, listed, steps, waits, who) })
	})
}

func playRelay(t *testing.T, rt *rapid.T, listed int, steps, waits, who []int) {
	ctx, cancel := context.WithCancel(t.Context())
	var g sync.WaitGroup
	s := &fakeStore{}
	s.put("a", "0")
	f := start(ctx, &g, 5, listed, s)
	made := map[int64]time.Time{}
	for i, x := range steps {
		time.Sleep(time.Duration(waits[i]) * time.Millisecond)
		f.disturb(x, who[2*i], who[2*i+1], s, made)
		for id, on := range f.on {
			r, c, _ := on.state()
			for v, at := range made {
				if v > r && at.Before(c) {
					rt.Errorf("%s is at revision %d and confirmed for %s after revision %d was made", id, r, c.Sub(at), v)
				}
			}
		}
	}
	cancel()
	g.Wait()
	time.Sleep(3 * time.Second)
}

func (f *fleet) disturb(step, a, b int, s *fakeStore, made map[int64]time.Time) {
	w := fmt.Sprintf("n%d>n%d", a, b)
	switch step {
	case 0, 1:
		r := s.put("a", "x")
		made[r] = time.Now()
	case 2:
		s.mu.Lock()
		s.down = !s.down
		s.mu.Unlock()
	case 3, 4:
		f.net.mu.Lock()
		f.net.cut[w] = !f.net.cut[w]
		f.net.mu.Unlock()
	case 5:
		f.net.mu.Lock()
		f.net.delay = time.Duration(1+100*a) * time.Millisecond
		f.net.mu.Unlock()
	case 6:
		f.net.mu.Lock()
		f.net.transit = time.Duration(400*a) * time.Millisecond
		f.net.mu.Unlock()
	case 7:
		f.restart(f.all[a])
	case 8:
		s.compact()
	}
}

// Changes that come in a burst cost few calls, and the last one is known to
// all soon after it was made.
func TestBurstsOfChangesAreGathered(t *testing.T) {
	withFleet(t, 30, func(t *testing.T, f *fleet, s *fakeStore) {
		calls := s.calls
		var r int64
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			r = s.put("a", "2")
		}
		// Two watch, each 200 ms for 4 s.
		if n := s.calls - calls; n > 44 {
			t.Errorf("%d calls for 200 changes in 4 s, want at most 44", n)
		}
		time.Sleep(300 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 300 ms after revision %d", id, got, r)
			}
		}
	})
}

// A change of a large value reaches all at once.
func TestLargeChangesReachAll(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
		r := s.put("a", random(500_000))
		time.Sleep(100 * time.Millisecond)
		for id, on := range f.on {
			if got, _, _ := on.state(); got != r {
				t.Errorf("%s is at revision %d 100 ms after revision %d", id, got, r)
			}
		}
	})
}

// A configuration of the usual size reaches all without the store; an instance
// that the store turns away gets one of any size from others.
func TestLargeChangesPassBetweenInstances(t *testing.T) {
	for i := range 10 {
		rank, size := []int{0, 1, 2, 3, 6}[i/2], []int{10_000, 300_000}[i%2]
		withFleet(t, 7, func(t *testing.T, f *fleet, s *fakeStore) {
			f.away[ranked(f.members())[rank].ID].set(true)
			time.Sleep(3 * time.Second)
			calls := s.calls
			rev := s.put("a", random(size))
			time.Sleep(time.Second)
			for id, on := range f.on {
				if got, _, _ := on.state(); got != rev {
					t.Errorf("rank %d turned away: %s is at revision %d 1 s after revision %d of %d bytes", rank, id, got, rev, size)
				}
			}
			// Two watch, each 600 ms.
			if n := s.calls - calls; size < maxPacked && n > 6 {
				t.Errorf("%d calls of the store for %d bytes", n, size)
			}
		})
	}
}

// A change that fits many datagrams reaches all in time over slow links.
func TestLargeChangesReachAllOverSlowLinks(t *testing.T) {
	withFleet(t, 80, func(t *testing.T, f *fleet, s *fakeStore) {
		f.net.mu.Lock()
		f.net.rate = 10e6 / 8
		f.net.mu.Unlock()
		for _, size := range []int{9_000, 28_000} {
			r := s.put("a", random(size))
			time.Sleep(time.Second)
			for id, on := range f.on {
				if got, _, _ := on.state(); got != r {
					t.Errorf("%s is at revision %d 1 s after revision %d of %d bytes", id, got, r, size)
				}
			}
		}
	})
}
