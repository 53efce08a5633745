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

// A request at a starting instance must wait for the first configuration, but neither while
// the store can't be reached nor longer than its share of the remaining time.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	cases := []struct {
		name  string
		left  time.Duration
		after time.Duration
		event func(*State)
		want  bool
		took  time.Duration
	}{
		{"it is confirmed soon", 8 * time.Second, 300 * time.Millisecond, confirm, true, 300 * time.Millisecond},
		{"it is confirmed too late", 8 * time.Second, time.Second, confirm, false, maxFirstConfigWait},
		{"the request has little time", time.Second, 300 * time.Millisecond, confirm, false, 250 * time.Millisecond},
		{"it is read but not confirmed", 8 * time.Second, 300 * time.Millisecond, apply, false, maxFirstConfigWait},
		{"the store is lost during the wait", 8 * time.Second, 300 * time.Millisecond, disconnect, false, 300 * time.Millisecond},
		{"the store was lost before", 8 * time.Second, 0, disconnect, false, 0},
		{"the store was lost before and is back", 8 * time.Second, 0, func(s *State) { disconnect(s); s.StoreReconnected(); confirm(s) }, true, 0},
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
					t.Errorf("AwaitFirstConfig returned %t after %s, want %t after %s", got, d, c.want, c.took)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func apply(s *State) { s.Apply(Change{Table: route.New(7, nil, nil, nil, route.Limits{})}) }

func confirm(s *State) {
	apply(s)
	s.Confirm(time.Now())
}

func disconnect(s *State) { s.StoreDisconnected(errors.New("no answer")) }
