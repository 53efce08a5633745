package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// hangingUntilCancelled holds each request until its context is cancelled.
type hangingUntilCancelled struct{ sent chan struct{} }

func (s hangingUntilCancelled) Send(ctx context.Context, r *pool.Replica, _ Dispatch) (Reply, error) {
	s.sent <- struct{}{}
	<-ctx.Done()
	return nil, outcome.New(outcome.Unknown, "read", r.ID, ctx.Err())
}

// The machine is suspended for two minutes while a request waits for its replica, so that the
// timer of its timeout stops. Unless the timeout is checked after the suspension, the client
// waits longer than it asked for.
func TestTimeoutsAfterSuspension(t *testing.T) {
	var suspended atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	v := NewCurrentView()
	v.Put(NewView(nil, []pool.Replica{{ID: "r", Kind: pool.Service, Service: "s", Slots: 1}}, nil, nil).
		WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), map[string]rollout.Release{}))
	u := hangingUntilCancelled{make(chan struct{}, 1)}
	r := NewRouter(Ports{View: v, Clock: now, Rand: rand.NewPCG(1, 1), Upstream: u, Retries: retryBurst(9)})
	end := now().Add(time.Minute)
	q := &OpaqueRequest{ID: "q", Table: v.Get().Table, Route: &route.Route{Kind: route.Repeatable, MaxAttempts: 2, Split: []route.WeightedService{{Service: "s"}}}, ArrivedAt: now(), Deadline: end, TimeoutAt: end}
	done := make(chan error, 1)
	var f *ForwardResult
	go func() {
		var err error
		f, err = r.Forward(t.Context(), q, &clientSink{})
		done <- err
	}()
	<-u.sent
	suspended.Store(int64(2 * time.Minute))
	r.AfterSuspension()
	select {
	case err := <-done:
		var e *Failure
		if !errors.As(err, &e) || e.Code != DeadlineExceeded || f.StopReason != "out of time" {
			t.Errorf("ended with %v, stop reason %q, want code deadline_exceeded and \"out of time\"", err, f.StopReason)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the request still waits 20 s after its deadline passed")
	}
}
