package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/quota"
	"fieldvale/standin/arrivals"
)

// Guards against permits that go to normal requests while urgent ones need them, when all replicas
// of a service are limited; against permits that are left unused; and against refused requests that
// are all told to retry at the same time, or at a time without a free permit.
func TestScarcePermitsGoToHighestPriority(t *testing.T) {
	for _, c := range []struct {
		name string
		// urgentEvery and normalEvery are the times between two requests of each priority.
		urgentEvery, normalEvery time.Duration
		minUrgent, minNormal     float64
	}{
		{"few urgent requests", 2 * time.Second, 50 * time.Millisecond, 0.9, 0},
		{"more urgent requests than permits", 100 * time.Millisecond, 50 * time.Millisecond, 0, 0},
		{"no urgent requests", time.Hour, 50 * time.Millisecond, 0, 0},
	} {
		now := noon
		n := singleNode(&now, true)
		for _, r := range []string{"a", "b"} {
			w, _ := quota.ParseLimitReport([]string{"1.5"}, now, now.Add(time.Millisecond))
			n.Observe("s", r, w)
		}
		served := map[int]int{}
		requested := map[int]int{}
		var retries []time.Time
		ask := func(priority int) {
			requested[priority]++
			req := quota.PermitRequest{Service: "s", Priority: priority, OnlyBounded: true}
			for _, r := range []string{"a", "b"} {
				req.Candidates = append(req.Candidates, quota.Candidate{Replica: r, Bound: n.Bound(r, 0, false)})
			}
			v := n.AcquirePermit(t.Context(), req)
			if v.Index >= 0 {
				served[priority]++
				return
			}
			if !v.RetryAt.After(now) || v.RetryAt.Sub(now) > 12*time.Second {
				t.Fatalf("%s: got a retry in %s, want it within 12s", c.name, v.RetryAt.Sub(now))
			}
			retries = append(retries, v.RetryAt)
		}
		began := now
		nextUrgent, nextNormal := now, now
		for now.Sub(began) < 40*time.Second {
			now = now.Add(10 * time.Millisecond)
			n.Tick()
			if !now.Before(nextUrgent) {
				nextUrgent = now.Add(c.urgentEvery)
				ask(0)
			}
			if !now.Before(nextNormal) {
				nextNormal = now.Add(c.normalEvery)
				ask(2)
			}
		}
		used := float64(served[0]+served[2]) / (40 * 3)
		t.Logf("%s: %d of %d urgent requests served, %d of %d normal ones, %.2f of the permits used", c.name, served[0], requested[0], served[2], requested[2], used)
		if used < 0.8 {
			t.Errorf("%s: got %.2f of the permits used, want at least 0.8", c.name, used)
		}
		if u := float64(served[0]) / float64(requested[0]); u < c.minUrgent {
			t.Errorf("%s: got %.2f of the urgent requests served, want at least %.2f", c.name, u, c.minUrgent)
		}
		if c.urgentEvery < time.Second && served[2] > served[0]/10 {
			t.Errorf("%s: got %d normal requests served besides %d urgent ones, of which more asked for a permit; want at most a tenth", c.name, served[2], served[0])
		}
		same := 0
		for i := 1; i < len(retries); i++ {
			if retries[i].Equal(retries[i-1]) {
				same++
			}
		}
		if same > len(retries)/10 {
			t.Errorf("%s: got %d of %d refused requests with the same retry time as the one before, want at most a tenth", c.name, same, len(retries))
		}
	}
}

// Guards against permits that are not found, or limits that are exceeded, when a hundred replicas
// of a service are limited and each request asks for a permit for only twelve of them.
func TestManyLimitedReplicasAreUsed(t *testing.T) {
	const replicas, candidates, limit = 100, 12, 1.5
	now := noon
	n := singleNode(&now, true)
	name := func(i int) string { return fmt.Sprint("r", i) }
	for i := range replicas {
		w, _ := quota.ParseLimitReport([]string{fmt.Sprint(limit)}, now, now.Add(time.Millisecond))
		n.Observe("s", name(i), w)
	}
	r := rand.New(rand.NewPCG(1, 1))
	got := map[string][]time.Time{}
	began := now
	served := 0
	for now.Sub(began) < 24*time.Second {
		now = now.Add(2500 * time.Microsecond)
		if now.Sub(began)%(100*time.Millisecond) == 0 {
			n.Tick()
		}
		req := quota.PermitRequest{Service: "s", Priority: r.IntN(3), OnlyBounded: true}
		first := r.IntN(replicas)
		for i := range candidates {
			x := name((first + i) % replicas)
			req.Candidates = append(req.Candidates, quota.Candidate{Replica: x, Bound: n.Bound(x, 0, false)})
		}
		if v := n.AcquirePermit(t.Context(), req); v.Index >= 0 {
			x := req.Candidates[v.Index].Replica
			got[x] = append(got[x], now)
			served++
		}
	}
	for x, at := range got {
		if m := arrivals.MaxInWindow(at, 4*time.Second); m > 6 {
			t.Errorf("%s: got %d requests in four seconds, want at most 6", x, m)
		}
	}
	used := float64(served) / (24 * replicas * limit)
	t.Logf("%d requests served, %.2f of the permits used", served, used)
	if used < 0.8 {
		t.Errorf("got %.2f of the permits used, want at least 0.8", used)
	}
}
