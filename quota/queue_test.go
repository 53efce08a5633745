package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/quota"
	"fieldvale/standin/arrivals"
)

// All replicas of a service are in need at once. The places go to the most urgent requests as
// long as there are some, none is left unused, and those that are turned away are told to return
// at moments that differ, at which there is a place.
func TestScarcePlacesGoToTheMostUrgent(t *testing.T) {
	for _, c := range []struct {
		name string
		// urgentEvery and usualEvery are between two requests of each rank.
		urgentEvery, usualEvery time.Duration
		urgent, usual           float64
	}{
		{"few urgent ones", 2 * time.Second, 50 * time.Millisecond, 0.9, 0},
		{"more urgent ones than places", 100 * time.Millisecond, 50 * time.Millisecond, 0, 0},
		{"no urgent ones", time.Hour, 50 * time.Millisecond, 0, 0},
	} {
		now := noon
		n := alone(&now, true)
		for _, r := range []string{"a", "b"} {
			w, _ := quota.ParseLimitReport([]string{"1.5"}, now, now.Add(time.Millisecond))
			n.Observe("s", r, w)
		}
		served := map[int]int{}
		asked := map[int]int{}
		var told []time.Time
		ask := func(rank int) {
			asked[rank]++
			a := quota.PermitRequest{Service: "s", Priority: rank, OnlyBounded: true}
			for _, r := range []string{"a", "b"} {
				a.Candidates = append(a.Candidates, quota.Candidate{Replica: r, Bound: n.Bound(r, 0, false)})
			}
			v := n.Take(t.Context(), a)
			if v.Index >= 0 {
				served[rank]++
				return
			}
			if !v.RetryAt.After(now) || v.RetryAt.Sub(now) > 12*time.Second {
				t.Fatalf("%s: told to return in %s", c.name, v.RetryAt.Sub(now))
			}
			told = append(told, v.RetryAt)
		}
		began := now
		nextUrgent, nextUsual := now, now
		for now.Sub(began) < 40*time.Second {
			now = now.Add(10 * time.Millisecond)
			n.Tick()
			if !now.Before(nextUrgent) {
				nextUrgent = now.Add(c.urgentEvery)
				ask(0)
			}
			if !now.Before(nextUsual) {
				nextUsual = now.Add(c.usualEvery)
				ask(2)
			}
		}
		all := float64(served[0]+served[2]) / (40 * 3)
		t.Logf("%s: %d of %d urgent ones served, %d of %d usual ones, %.2f of the places used", c.name, served[0], asked[0], served[2], asked[2], all)
		if all < 0.8 {
			t.Errorf("%s: %.2f of the places used", c.name, all)
		}
		if u := float64(served[0]) / float64(asked[0]); u < c.urgent {
			t.Errorf("%s: %.2f of the urgent ones served", c.name, u)
		}
		if c.urgentEvery < time.Second && served[2] > served[0]/10 {
			t.Errorf("%s: %d usual ones were served beside %d urgent ones, of which more wanted a place", c.name, served[2], served[0])
		}
		same := 0
		for i := 1; i < len(told); i++ {
			if told[i].Equal(told[i-1]) {
				same++
			}
		}
		if same > len(told)/10 {
			t.Errorf("%s: %d of %d were told to return with the one before", c.name, same, len(told))
		}
	}
}

// A hundred replicas of a service are in need at once, and each request asks for a place at
// twelve of them: places are found, and no replica gets more than it takes.
func TestManyLimitedReplicasAreUsed(t *testing.T) {
	const replicas, asked, figure = 100, 12, 1.5
	now := noon
	n := alone(&now, true)
	name := func(i int) string { return fmt.Sprint("r", i) }
	for i := range replicas {
		w, _ := quota.ParseLimitReport([]string{fmt.Sprint(figure)}, now, now.Add(time.Millisecond))
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
		a := quota.PermitRequest{Service: "s", Priority: r.IntN(3), OnlyBounded: true}
		first := r.IntN(replicas)
		for i := range asked {
			x := name((first + i) % replicas)
			a.Candidates = append(a.Candidates, quota.Candidate{Replica: x, Bound: n.Bound(x, 0, false)})
		}
		if v := n.Take(t.Context(), a); v.Index >= 0 {
			x := a.Candidates[v.Index].Replica
			got[x] = append(got[x], now)
			served++
		}
	}
	for x, at := range got {
		if m := arrivals.Most(at, 4*time.Second); m > 6 {
			t.Errorf("%s got %d in four seconds, it takes 6", x, m)
		}
	}
	used := float64(served) / (24 * replicas * figure)
	t.Logf("%d served, %.2f of the places used", served, used)
	if used < 0.8 {
		t.Errorf("%.2f of the places used, want 0.8", used)
	}
}
