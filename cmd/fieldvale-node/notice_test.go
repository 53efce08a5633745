package main

import (
	"context"
	"testing"
	"time"
)

const (
	// drainFor is how long after its word a leaving replica may still get requests.
	drainFor = 2 * time.Second
	// restSeconds is how long the resting replica wants no request, restSlack how soon
	// after its word that holds, and restMost what it may get all the same.
	restSeconds = "2"
	restFor     = 2 * time.Second
	restSlack   = 500 * time.Millisecond
	restMost    = 2
	// settled is when replicas no longer count as just started.
	settled = 6 * time.Second
)

// inRest returns the most requests that came in any rest that the replica asked for.
func inRest(l []time.Time, asked []time.Time) int {
	most := 0
	for _, a := range asked {
		n := 0
		for _, t := range l {
			if t.After(a.Add(restSlack)) && t.Before(a.Add(restFor)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestReplicaThatSaysItLeavesGetsNothingAfterItsDrain(t *testing.T) {
	s := newSite(t)
	r, _ := s.counted("r0")
	s.counted("r1")
	s.counted("r2")
	s.start()
	x, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := load(x, []*site{s})
	time.Sleep(settled)
	r.SetDraining(true)
	said := time.Now()
	time.Sleep(drainFor + 3*time.Second)
	cancel()
	if n := wait(); n > 0 {
		t.Errorf("%d requests failed while two replicas were fit", n)
	}
	late := 0
	for _, q := range r.Requests() {
		if q.ReceivedAt.After(said.Add(drainFor)) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests came more than %s after the replica had said in its answers that it leaves", late, drainFor)
	}
}

func TestReplicaThatAsksForRestGetsNone(t *testing.T) {
	s := newSite(t)
	r, _ := s.counted("r0")
	s.counted("r1")
	s.counted("r2")
	s.start()
	x, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := load(x, []*site{s})
	time.Sleep(settled)
	r.SetBackoff(restSeconds)
	time.Sleep(5 * time.Second)
	r.SetBackoff("")
	over := time.Now()
	time.Sleep(restFor + 2*time.Second)
	cancel()
	if n := wait(); n > 0 {
		t.Errorf("%d requests failed while two replicas were fit", n)
	}
	var all, asked []time.Time
	after := 0
	for _, q := range r.Requests() {
		all = append(all, q.ReceivedAt)
		if q.BackoffRequested {
			asked = append(asked, q.ReceivedAt)
		}
		if q.ReceivedAt.After(over) {
			after++
		}
	}
	if most := inRest(all, asked); most > restMost {
		t.Errorf("%d requests came in a rest of %s, %d allowed", most, restFor, restMost)
	}
	if len(asked) == 0 || after < 10 {
		t.Errorf("%d times turned away, %d requests after its rest", len(asked), after)
	}
}
