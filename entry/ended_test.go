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

// endedUpstream breaks each request off, as a replica does that ends.
type endedUpstream struct{}

func (endedUpstream) Send(_ context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	return nil, outcome.New(outcome.Unknown, "read", r.ID, io.ErrUnexpectedEOF)
}

// HasEnded implements Prober.
func (endedUpstream) HasEnded(context.Context, *pool.Replica) bool { return true }

// A request brings down a replica of a good release, and forty others break off there. To
// the judges that was forty bad answers of the release, and it was taken back.
func TestAReplicaThatEndsIsOneFinding(t *testing.T) {
	v := NewCurrent()
	rel := rollout.NewRelease("s", "v2", 1, time.Minute)
	rel.Phase = 2
	v.Put(NewView(nil, []pool.Replica{{ID: "new.1", Kind: pool.Service, Service: "s", Release: "v2", Slots: 64}}, nil, nil).
		WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{"s": rel}))
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: endedUpstream{}, Prober: endedUpstream{}, Repeats: admission.Repeats{Burst: 99}})
	x := &route.Route{Kind: route.Once, MaxAttempts: 1, Split: []route.Part{{Service: "s"}}}
	for i := range 40 {
		q := &Opaque{ID: fmt.Sprint("q", i), Table: v.Get().Table, Route: x, Arrived: time.Now(), Deadline: time.Now().Add(time.Second), TimeoutAt: time.Now().Add(time.Second)}
		if _, err := r.Forward(t.Context(), q, &clientSink{}); err == nil {
			t.Fatal("a request was answered")
		}
		r.backends.of("new.1").breaker = admission.Breaker{}
	}
	var broken uint64
	for _, y := range r.Tallies() {
		n, _ := y.Tally.All()
		broken += n.Broken
	}
	if broken != 1 {
		t.Errorf("%d findings, want one", broken)
	}
}
