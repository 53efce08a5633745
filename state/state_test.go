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

// large returns the state of an instance before so many replicas.
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

// What is done each tenth of a second and at each question for readiness costs
// nothing by the number of replicas.
func TestTickIsFree(t *testing.T) {
	s := large(3000)
	if n := testing.AllocsPerRun(20, func() { s.Tick(); s.Ready() }); n > 0 {
		t.Errorf("%.0f allocations, want none", n)
	}
}

func BenchmarkApply(b *testing.B) {
	s := large(3000)
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(Change{Replicas: []pool.Replica{replica(7)}})
	}
}

// One line says that the configuration could not be confirmed for its lease,
// with whether keys are honoured all the same, and one that it is again.
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

// Members whose announcements lapse stay known for as long as they take to
// announce themselves again, and do not count as listed meanwhile.
func TestLapsedMembersStayForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var known []peer.Member
	s := New(entry.NewCurrentView(), lease.New(time.Second, 2*time.Second, lease.Strict, now), func() time.Time { return now }, func(string, ...any) {}, func(m []peer.Member) { known = m })
	a, b, c := peer.Member{ID: "a"}, peer.Member{ID: "b"}, peer.Member{ID: "c"}
	check := func(when string, listed int, want ...peer.Member) {
		t.Helper()
		if d := cmp.Diff(want, known); d != "" || s.RegisteredCount() != listed {
			t.Errorf("%s: %d listed, want %d; %s", when, s.RegisteredCount(), listed, d)
		}
	}
	s.Apply(Change{Members: []peer.Member{a, b}})
	check("announced", 2, a, b)
	s.Apply(Change{LeftMembers: []string{"a", "b"}})
	check("lapsed", 0, a, b)
	now = now.Add(lapsedFor / 2)
	s.Apply(Change{Members: []peer.Member{b}})
	s.Tick()
	check("b is back", 1, a, b)
	s.Apply(Change{AllReplicas: map[string]bool{}, Members: []peer.Member{c}})
	check("the list is read whole", 1, a, b, c)
	now = now.Add(lapsedFor / 2)
	s.Tick()
	check("a is dropped", 1, b, c)
	now = now.Add(lapsedFor / 2)
	s.Tick()
	check("b is dropped", 1, c)
}
