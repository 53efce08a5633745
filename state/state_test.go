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
	s := New(entry.NewCurrent(), lease.New(time.Second, lease.Strict, time.Now()), time.Now, func(string, ...any) {}, func([]peer.Member) {})
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
	l := lease.New(time.Second, lease.Lenient, now)
	s := New(entry.NewCurrent(), l, func() time.Time { return now }, note, func([]peer.Member) {})
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
