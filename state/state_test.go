package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/route"
)

// large returns a state with so many replicas.
func large(replicas int) *State {
	s := New(entry.NewCurrentView(), lease.New(time.Second, 2*time.Second, lease.Strict, time.Now()), time.Now, func(string, ...any) {}, func([]peer.Member) {})
	var c Change
	for i := range replicas {
		c.Replicas = append(c.Replicas, replica(i))
	}
	s.Apply(c)
	return s
}

func replica(i int) pool.Replica {
	return pool.Replica{ID: fmt.Sprintf("i-%08x", i*7919), Addr: "10.1.1.1:80", Kind: pool.Service, Service: "s", Release: "v1", Slots: 12, DataCentre: "a"}
}

// Tick is called ten times a second, and Ready at each readiness check: their cost must
// not grow with the number of replicas.
func TestTickAndReadyDoNotAllocate(t *testing.T) {
	s := large(3000)
	if n := testing.AllocsPerRun(20, func() { s.Tick(); s.Ready() }); n > 0 {
		t.Errorf("Tick and Ready made %.0f allocations, want none", n)
	}
}

func BenchmarkApply(b *testing.B) {
	s := large(3000)
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(Change{Replicas: []pool.Replica{replica(7)}})
	}
}

// An expired lease of the configuration must be logged once, with whether keys are still
// honoured, and its next confirmation once as well.
func TestUnconfirmedConfigurationIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	var log []string
	note := func(event string, fields ...any) {
		log = append(log, strings.TrimSpace(fmt.Sprintln(append([]any{event}, fields...)...)))
	}
	l := lease.New(time.Second, 2*time.Second, lease.Lenient, now)
	s := New(entry.NewCurrentView(), l, func() time.Time { return now }, note, func([]peer.Member) {})
	s.Apply(Change{Table: route.New(7, nil, nil, nil, route.Limits{})})
	l.Confirm(now)
	log = nil
	for _, step := range []time.Duration{0, time.Second, time.Second, 0} {
		now = now.Add(step)
		s.Tick()
		s.Tick()
	}
	l.Confirm(now)
	s.Tick()
	want := []string{"config_unconfirmed version 7 age 1s keys_honoured true", "config_confirmed version 7 age 0s"}
	if d := cmp.Diff(want, log); d != "" {
		t.Error(d)
	}
}

// Registrations of all members expire while the store is down. Members must be kept for as
// long as they take to register again, and not be counted as registered meanwhile.
func TestExpiredMembersAreKeptForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []peer.Member
	s := New(entry.NewCurrentView(), lease.New(time.Second, 2*time.Second, lease.Strict, now), func() time.Time { return now }, func(string, ...any) {}, func(m []peer.Member) { members = m })
	a, b, c := peer.Member{ID: "a"}, peer.Member{ID: "b"}, peer.Member{ID: "c"}
	check := func(when string, registered int, want ...peer.Member) {
		t.Helper()
		if d := cmp.Diff(want, members); d != "" || s.RegisteredCount() != registered {
			t.Errorf("%s: %d members registered, want %d; members: %s", when, s.RegisteredCount(), registered, d)
		}
	}
	s.Apply(Change{Members: []peer.Member{a, b}})
	check("registered", 2, a, b)
	s.Apply(Change{LeftMembers: []string{"a", "b"}})
	check("expired", 0, a, b)
	now = now.Add(expiredGrace / 2)
	s.Apply(Change{Members: []peer.Member{b}})
	s.Tick()
	check("b registered again", 1, a, b)
	s.Apply(Change{AllReplicas: map[string]bool{}, Members: []peer.Member{c}})
	check("snapshot without a and b", 1, a, b, c)
	now = now.Add(expiredGrace / 2)
	s.Tick()
	check("a is dropped", 1, b, c)
	now = now.Add(expiredGrace / 2)
	s.Tick()
	check("b is dropped", 1, c)
}
