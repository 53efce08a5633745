package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"fieldvale/admission"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// anyReplica answers every request and notes the releases that ran.
type anyReplica struct{ ran []string }

func (u *anyReplica) Send(_ context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	u.ran = append(u.ran, r.Release)
	return &scriptReply{ctx: context.Background(), p: scriptedReply{status: http.StatusOK, events: []string{"body"}}}, nil
}

// A session that is under way when a release is ordered stays where it is in
// the release's first phase, and then moves once.
func TestSessionsUnderWayMoveInTheSecondPhase(t *testing.T) {
	v := NewCurrent()
	view := NewView(nil, []pool.Replica{
		{ID: "old", Kind: pool.Service, Service: "s", Release: "v1"},
		{ID: "new", Kind: pool.Service, Service: "s", Release: "v2"},
	}, nil, nil)
	now := time.Unix(1_700_000_000, 0)
	u := &anyReplica{}
	r := NewRouter(Ports{View: v, Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1), Upstream: u, Repeats: admission.Repeats{Burst: 9}})
	rel := rollout.NewRelease("s", "v2", 1, time.Minute)
	send := func(session string) string {
		q := &Opaque{ID: "q", Session: session, Route: &route.Route{Split: []route.Part{{Service: "s"}}, MaxAttempts: 1}, Arrived: now, Deadline: time.Now().Add(time.Hour), TimeoutAt: time.Now().Add(time.Hour)}
		if _, err := r.Forward(t.Context(), q, &clientSink{}); err != nil {
			t.Fatal(err)
		}
		return u.ran[len(u.ran)-1]
	}
	var before, fresh []string
	for i := range 4000 {
		if x := fmt.Sprint("session", i); rel.Takes(x) {
			before = append(before, x)
		}
	}
	before, fresh = before[:len(before)/2], before[len(before)/2:]
	v.Put(view.WithRoutes(nil, map[string]rollout.Release{}))
	for _, x := range before {
		r.recent.ran("s/"+x, "v1", now)
	}
	v.Put(view.WithRoutes(nil, map[string]rollout.Release{"s": rel}))
	for step := range 4 {
		now = now.Add(3 * time.Second)
		for _, x := range before {
			if g := send(x); g != "v1" {
				t.Fatalf("step %d: a session that was under way ran on %s in the first phase", step, g)
			}
		}
		for _, x := range fresh {
			if g := send(x); g != "v2" {
				t.Fatalf("step %d: a new session of the release's share ran on %s", step, g)
			}
		}
	}
	v.Put(view.WithRoutes(nil, map[string]rollout.Release{"s": rel.Next()}))
	for _, x := range before {
		if g := send(x); g != "v2" {
			t.Fatalf("in the second phase a session of the share ran on %s", g)
		}
	}
}
