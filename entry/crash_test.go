package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/admission"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// crashedUpstream breaks off each request, like a crashing replica.
type crashedUpstream struct{}

func (crashedUpstream) Send(_ context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	return nil, outcome.New(outcome.Unknown, "read", r.ID, io.ErrUnexpectedEOF)
}

// HasCrashed implements Prober.
func (crashedUpstream) HasCrashed(context.Context, *pool.Replica) bool { return true }

// A request crashes a replica of a good release, and forty others break off there. Counted as
// forty bad answers of the release, they would cause its rollback.
func TestCrashCountsOnceAgainstItsRelease(t *testing.T) {
	v := NewCurrentView()
	rel := rollout.NewRelease("s", "v2", 1, time.Minute)
	rel.Phase = 2
	v.Put(NewView(nil, []pool.Replica{{ID: "new.1", Kind: pool.Service, Service: "s", Release: "v2", Slots: 64}}, nil, nil).
		WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{"s": rel}))
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: crashedUpstream{}, Prober: crashedUpstream{}, Retries: retryBurst(99)})
	x := &route.Route{Kind: route.Once, MaxAttempts: 1, Split: []route.WeightedService{{Service: "s"}}}
	for i := range 40 {
		q := &OpaqueRequest{ID: fmt.Sprint("q", i), Table: v.Get().Table, Route: x, ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second), TimeoutAt: time.Now().Add(time.Second)}
		if _, err := r.Forward(t.Context(), q, &clientSink{}); err == nil {
			t.Fatalf("request %d was answered, want an error", i)
		}
		r.backends.stateOf("new.1").breaker = admission.Breaker{}
	}
	var broken uint64
	for _, y := range r.CollectTallies() {
		n, _ := y.Tally.Totals()
		broken += n.Broken
	}
	if broken != 1 {
		t.Errorf("%d broken answers counted, want 1", broken)
	}
}

// A replica list that removes a crashed replica just before its connections break off makes the
// crash look like a planned shutdown. A request sent to the replica long before its removal is no
// evidence of a crash.
func TestCrashAfterRemovalFromReplicaList(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		listed bool
		sent   time.Time
		want   bool
	}{
		{"listed", true, now.Add(-time.Minute), true},
		{"removed, sent just before", false, now.Add(-40 * time.Millisecond), true},
		{"removed, sent long before", false, now.Add(-3 * time.Second), false},
	} {
		v := NewCurrentView()
		b := pool.Replica{ID: "r", Kind: pool.Service, Service: "s"}
		if c.listed {
			v.Put(NewView(nil, []pool.Replica{b}, nil, nil))
		}
		r := NewRouter(Ports{View: v, Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1), Prober: crashedUpstream{}})
		a := &attempt{w: &forwarding{r: r, result: &ForwardResult{Service: "s"}}, replica: &b, sentAt: c.sent}
		if got := a.replicaCrashed(); got != c.want {
			t.Errorf("%s: crashed %t, want %t", c.name, got, c.want)
		}
	}
}
