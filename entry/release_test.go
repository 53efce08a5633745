package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// recordingUpstream answers every request and records the releases used.
type recordingUpstream struct{ ran []string }

func (u *recordingUpstream) Send(_ context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	u.ran = append(u.ran, r.Release)
	return &replyFake{ctx: context.Background(), p: scriptedReply{status: http.StatusOK, events: []string{"body"}}}, nil
}

// Sessions stay on the old release in the first phase, whichever instance served them before, and
// then move once. Requests without a session follow their share.
func TestSessionsMoveFromTheSecondPhaseOn(t *testing.T) {
	v := NewCurrentView()
	view := NewView(nil, []pool.Replica{
		{ID: "old", Kind: pool.Service, Service: "s", Release: "v1"},
		{ID: "new", Kind: pool.Service, Service: "s", Release: "v2"},
	}, nil, nil)
	now := time.Unix(1_700_000_000, 0)
	u := &recordingUpstream{}
	r := NewRouter(Ports{View: v, Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: retryBurst(9)})
	rel := rollout.NewRelease("s", "v2", 1, time.Minute).WithNextPhase()
	send := func(id, session string) string {
		q := &OpaqueRequest{ID: id, Session: session, Route: &route.Route{Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 1}, ArrivedAt: now, Deadline: time.Now().Add(time.Hour), TimeoutAt: time.Now().Add(time.Hour)}
		if _, err := r.Forward(t.Context(), q, &clientSink{}); err != nil {
			t.Fatal(err)
		}
		return u.ran[len(u.ran)-1]
	}
	var share []string
	for i := range 2000 {
		if x := fmt.Sprint("key", i); rel.RoutesToTarget(x) {
			share = append(share, x)
		}
	}
	v.Put(view.WithRoutes(nil, map[string]rollout.Release{"s": rel}))
	for _, x := range share {
		if g := send("q", x); g != "v1" {
			t.Fatalf("a session ran on %s in the first phase, want v1", g)
		}
		if g := send(x, ""); g != "v2" {
			t.Fatalf("a request of the share without a session ran on %s, want v2", g)
		}
	}
	v.Put(view.WithRoutes(nil, map[string]rollout.Release{"s": rel.WithNextPhase()}))
	for _, x := range share {
		if g := send("q", x); g != "v2" {
			t.Fatalf("a session of the share ran on %s in the second phase, want v2", g)
		}
	}
}

// hangingUpstream holds each request until its context ends.
type hangingUpstream struct{ began chan struct{} }

func (u hangingUpstream) Send(ctx context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	u.began <- struct{}{}
	<-ctx.Done()
	return nil, outcome.New(outcome.Unknown, "read", r.ID, ctx.Err())
}

// Requests whose clients disconnect must not count against the replica or its release.
func TestDisconnectedClientsAreNoFailures(t *testing.T) {
	v := NewCurrentView()
	rel := rollout.NewRelease("s", "v2", 1, time.Minute).WithNextPhase()
	v.Put(NewView(nil, []pool.Replica{{ID: "new", Kind: pool.Service, Service: "s", Release: "v2"}}, nil, nil).
		WithRoutes(nil, map[string]rollout.Release{"s": rel.WithNextPhase()}))
	u := hangingUpstream{began: make(chan struct{})}
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: retryBurst(9)})
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-u.began
			cancel()
		}()
		q := &OpaqueRequest{ID: "q", Route: &route.Route{Split: []route.WeightedService{{Service: "s"}}, MaxAttempts: 1}, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Hour), TimeoutAt: time.Now().Add(time.Hour)}
		if f, err := r.Forward(ctx, q, &clientSink{}); err == nil || f.StopReason != "the client left" {
			t.Fatalf("error %v, stop reason %q, want an error and \"the client left\"", err, f.StopReason)
		}
	}
	if l := r.CollectTallies(); len(l) != 0 {
		t.Errorf("tallies %+v, want none", l)
	}
	if !r.backends.stateOf("new").breaker.Allows(time.Now()) {
		t.Error("the replica's breaker is open, want closed")
	}
}
