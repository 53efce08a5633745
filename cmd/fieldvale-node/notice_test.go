package main

import (
	"context"
	"testing"
	"time"
)

const (
	// drainFor is how long after its notice a draining replica may still get requests.
	drainFor = 2 * time.Second
	// backoffSeconds and backoffDuration are how long the replica requests backoff,
	// backoffDelay is how soon after its answer that must be in force, and
	// maxDuringBackoff is how many requests it may get during a backoff nevertheless.
	backoffSeconds   = "2"
	backoffDuration  = 2 * time.Second
	backoffDelay     = 500 * time.Millisecond
	maxDuringBackoff = 2
	// coldPeriod is how long after their start replicas are cold.
	coldPeriod = 6 * time.Second
)

// requestsDuringBackoff returns the maximum number of requests that were received during one
// backoff, of those that began at the given times.
func requestsDuringBackoff(received []time.Time, backoffs []time.Time) int {
	most := 0
	for _, a := range backoffs {
		n := 0
		for _, t := range received {
			if t.After(a.Add(backoffDelay)) && t.Before(a.Add(backoffDuration)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against requests to a replica that has advertised in its answers that it is
// draining, though the store still lists it as ready: after the drain period it may have
// stopped.
func TestDrainingReplicaGetsNoRequestAfterDrain(t *testing.T) {
	s := newTestEnv(t)
	r, _ := s.startCountedReplica("r0")
	s.startCountedReplica("r1")
	s.startCountedReplica("r2")
	s.start()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := sendLoad(ctx, []*testEnv{s})
	time.Sleep(coldPeriod)
	r.SetDraining(true)
	drainingSince := time.Now()
	time.Sleep(drainFor + 3*time.Second)
	cancel()
	if n := wait(); n > 0 {
		t.Errorf("%d requests failed while two other replicas were available, want 0", n)
	}
	late := 0
	for _, q := range r.Requests() {
		if q.ReceivedAt.After(drainingSince.Add(drainFor)) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests arrived more than %s after the replica advertised that it is draining, want 0", late, drainFor)
	}
}

// Guards against further requests to a replica that refuses them with Retry-After, and
// against a replica that gets none any more after its backoff has ended.
func TestRequestedBackoffIsRespected(t *testing.T) {
	s := newTestEnv(t)
	r, _ := s.startCountedReplica("r0")
	s.startCountedReplica("r1")
	s.startCountedReplica("r2")
	s.start()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := sendLoad(ctx, []*testEnv{s})
	time.Sleep(coldPeriod)
	r.SetBackoff(backoffSeconds)
	time.Sleep(5 * time.Second)
	r.SetBackoff("")
	backoffEnded := time.Now()
	time.Sleep(backoffDuration + 2*time.Second)
	cancel()
	if n := wait(); n > 0 {
		t.Errorf("%d requests failed while two other replicas were available, want 0", n)
	}
	var received, refused []time.Time
	after := 0
	for _, q := range r.Requests() {
		received = append(received, q.ReceivedAt)
		if q.BackoffRequested {
			refused = append(refused, q.ReceivedAt)
		}
		if q.ReceivedAt.After(backoffEnded) {
			after++
		}
	}
	if most := requestsDuringBackoff(received, refused); most > maxDuringBackoff {
		t.Errorf("%d requests arrived during a backoff of %s, want %d at most", most, backoffDuration, maxDuringBackoff)
	}
	if len(refused) == 0 || after < 10 {
		t.Errorf("%d requests refused with a backoff, want at least 1; %d requests after it, want at least 10", len(refused), after)
	}
}
