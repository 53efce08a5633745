package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/budget"
	"fieldvale/pool"
	"fieldvale/route"
)

// retryBurst returns a budget of the given number of retries.
func retryBurst(n float64) *budget.Budget {
	return budget.New(budget.Config{Limit: budget.Limit{Burst: n}, Clock: time.Now})
}

// An instance of a large fleet gets few requests, of which by chance seven in ten in a row need a
// larger model, with one in two on average. Its share of the retry budget has to cover them.
func TestRetryBudgetSufficesForEscalations(t *testing.T) {
	const instances, requests = 85, 60
	now := time.Unix(1_700_000_000, 0)
	b := budget.New(budget.Config{Limit: budget.FleetLimit(0.9, 210), FleetSize: func() int { return instances }, Clock: func() time.Time { return now }})
	for i := range requests {
		now = now.Add(10 * time.Second / requests)
		b.RecordRequest("s")
		if i%10 < 7 && !b.TakeRetry("s", budget.LargerModel) && i > 10 {
			t.Errorf("request %d has no retry left for a larger model", i)
		}
	}
}

// A retry that is granted while no other replica is left reaches none, so that other requests must
// be able to use it; one that reaches a replica must count.
func TestRetryThatReachesNoReplicaIsReturned(t *testing.T) {
	for _, c := range []struct{ replicas, want int }{{1, 0}, {2, 1}} {
		v := NewCurrentView()
		var l []pool.Replica
		for i := range c.replicas {
			l = append(l, pool.Replica{ID: fmt.Sprint("r", i), Kind: pool.Service, Service: "s", Slots: 64})
		}
		v.Put(NewView(nil, l, nil, nil).WithRoutes(route.New(1, nil, nil, nil, route.Limits{}), nil))
		r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Upstream: crashedUpstream{}, Retries: retryBurst(9)})
		x := &route.Route{Kind: route.Repeatable, MaxAttempts: 3, Split: []route.WeightedService{{Service: "s"}}}
		at := time.Now().Add(time.Second)
		if _, err := r.Forward(t.Context(), &OpaqueRequest{ID: "q", Table: v.Get().Table, Route: x, ArrivedAt: time.Now(), Deadline: at, TimeoutAt: at}, &clientSink{}); err == nil {
			t.Fatal("the request was answered, want an error")
		}
		if got := r.RetryAccounts()["s"].Taken[budget.Failure]; got != uint64(c.want) {
			t.Errorf("%d replicas: got %d retries taken, want %d", c.replicas, got, c.want)
		}
	}
}
