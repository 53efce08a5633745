package state

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/peer"
	"fieldvale/route"
)

// A request at a starting instance waits for the first configuration, but not
// where the store can't be reached, and never for long.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	cases := []struct {
		name  string
		left  time.Duration
		after time.Duration
		event func(*State)
		want  bool
		took  time.Duration
	}{
		{"it is known soon", 8 * time.Second, 300 * time.Millisecond, known, true, 300 * time.Millisecond},
		{"it is not known soon", 8 * time.Second, time.Second, known, false, startWait},
		{"the request has little time", time.Second, 300 * time.Millisecond, known, false, 250 * time.Millisecond},
		{"it is read, not confirmed", 8 * time.Second, 300 * time.Millisecond, read, false, startWait},
		{"the store is lost", 8 * time.Second, 300 * time.Millisecond, lost, false, 300 * time.Millisecond},
		{"the store is lost before", 8 * time.Second, 0, lost, false, 0},
		{"the store was lost before and is back", 8 * time.Second, 0, func(s *State) { lost(s); s.StoreReconnected(); known(s) }, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(entry.NewCurrentView(), lease.New(time.Second, 2*time.Second, lease.Strict, time.Now()), time.Now, func(string, ...any) {}, func([]peer.Member) {})
				if c.after == 0 {
					c.event(s)
				} else {
					time.AfterFunc(c.after, func() { c.event(s) })
				}
				began := time.Now()
				got := s.AwaitFirstConfig(t.Context(), time.Now().Add(c.left))
				if d := time.Since(began); got != c.want || d != c.took {
					t.Errorf("%t after %s, want %t after %s", got, d, c.want, c.took)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func read(s *State) { s.Apply(Change{Table: route.New(7, nil, nil, nil, route.Limits{})}) }

func known(s *State) {
	read(s)
	s.Confirm(time.Now())
}

func lost(s *State) { s.StoreDisconnected(errors.New("no answer")) }
