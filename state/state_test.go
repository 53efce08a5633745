package state

import (
	"fmt"
	"testing"
	"time"

	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/peer"
	"fieldvale/pool"
)

// large returns the state of an instance before so many replicas.
func large(replicas int) *State {
	s := New(entry.NewCurrent(), lease.New(time.Second, time.Now()), time.Now, func(string, ...any) {}, func([]peer.Member) {})
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
