package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/quota"
	"fieldvale/standin/arrivals"
)

// A replica with a limit of 1.5 requests a second gets six in any four seconds.
func ExampleDecide() {
	b := quota.Bound{IsLimited: true, PerSecond: 1.5}
	ownedSince := noon.Add(-time.Minute)
	var granted []time.Time
	for now := noon; now.Before(noon.Add(5 * time.Second)); now = now.Add(500 * time.Millisecond) {
		d := quota.Decide(b, granted, ownedSince, now)
		fmt.Println(now.Sub(noon), d.Allowed, d.Reason, max(0, d.NotBefore.Sub(now)))
		if d.Allowed {
			granted = append(granted, now)
		}
	}
	// Output:
	// 0s true  0s
	// 500ms true  0s
	// 1s true  0s
	// 1.5s true  0s
	// 2s true  0s
	// 2.5s true  0s
	// 3s false limited 1.1s
	// 3.5s false limited 600ms
	// 4s false limited 100ms
	// 4.5s true  0s
}

// A cold replica that also advertises a limit gets what the smaller of the two allows.
func ExampleBound() {
	both := quota.Bound{IsLimited: true, PerSecond: 8, ColdPerSecond: 2}
	granted := []time.Time{noon, noon}
	fmt.Println(quota.Decide(both, granted, noon.Add(-time.Minute), noon))
	both.ColdPerSecond = 50
	fmt.Println(quota.Decide(both, granted, noon.Add(-time.Minute), noon).Allowed)
	// Output:
	// {false 2026-01-16 12:00:01 +0000 UTC cold}
	// true
}

// Guards against more requests in four seconds than the limit allows, except for the probe that
// detects the end of a very small limit, at random limits and request times; and against a limit
// that is not used, as far as whole requests allow, while there is continuous demand.
func TestDecideEnforcesAndUsesLimit(t *testing.T) {
	rapid.Check(t, func(x *rapid.T) {
		limit := rapid.Float64Range(0, 40).Draw(x, "figure")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 400), 50, 400).Draw(x, "gaps")
		b := quota.Bound{IsLimited: true, PerSecond: limit}
		now, ownedSince := noon, noon
		var granted []time.Time
		for _, g := range gaps {
			now = now.Add(time.Duration(g) * time.Millisecond)
			d := quota.Decide(b, granted, ownedSince, now)
			if !d.Allowed && !d.NotBefore.After(now) {
				x.Fatalf("got decision %+v, want NotBefore after now if the request is not allowed", d)
			}
			if d.Allowed {
				granted = append(granted, now)
			} else if e := quota.Decide(b, granted, ownedSince, d.NotBefore); !e.Allowed && e.NotBefore.Sub(d.NotBefore) > 4*time.Second {
				x.Fatalf("got NotBefore in %s, and %s later another one, want at most 4s between the two", d.NotBefore.Sub(now), e.NotBefore.Sub(d.NotBefore))
			}
		}
		if n := arrivals.MaxInWindow(granted, 4*time.Second); float64(n) > max(1, 4*limit+1e-6) {
			x.Fatalf("got %d requests in four seconds, want at most %g", n, 4*limit)
		}
	})
	for _, limit := range []float64{0.25, 0.5, 1, 1.5, 2.1, 8, 40} {
		b := quota.Bound{IsLimited: true, PerSecond: limit}
		n := 0
		var granted []time.Time
		for now := noon; now.Before(noon.Add(40 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if quota.Decide(b, granted, noon.Add(-time.Minute), now).Allowed {
				granted = append(granted, now)
				n++
			}
		}
		if used := float64(n) / (40 * limit); used < 0.9 || used > 1.1 {
			t.Errorf("limit %g: got %.2f of it used with continuous demand, want 0.9 to 1.1", limit, used)
		}
	}
}

// Guards against exceeding the limit when the owner changes: the new owner has to assume that the
// previous one granted the full limit.
func TestDecideAssumesPreviousOwnerUsedLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.25, 1.5, 2.1, 8} {
		b := quota.Bound{IsLimited: true, PerSecond: limit}
		most := int(max(1, 4*limit))
		// The previous owner granted permits, evenly spread, until noon.
		var before []time.Time
		for i := range most {
			before = append(before, noon.Add(-time.Duration(i)*4*time.Second/time.Duration(most)))
		}
		slices.Reverse(before)
		var granted []time.Time
		for now := noon; now.Before(noon.Add(8 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if quota.Decide(b, granted, noon, now).Allowed {
				granted = append(granted, now)
			}
		}
		if n := arrivals.MaxInWindow(append(before, granted...), 4*time.Second); n > most {
			t.Errorf("limit %g: got %d requests in four seconds while the owner changed, want at most %d", limit, n, most)
		}
	}
}
