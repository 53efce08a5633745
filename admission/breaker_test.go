package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/admission"
)

var noon = time.Unix(1_700_000_000, 0)

// opens returns after how many requests a breaker opens whose backend server
// fails the given part of them; 0 for never in n.
func opens(n int, rate, usual float64, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 1))
	var b admission.Breaker
	for i := range n {
		if !b.Allows(noon) {
			return i
		}
		b.Tried(noon)
		if r.Float64() < rate {
			b.Failed(noon, usual)
		} else {
			b.Succeeded()
		}
	}
	return 0
}

func TestBreakerFindsGreyServers(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, usual float64
		// within is how many requests it may take; 0 for never in 200.
		within int
	}{
		{"sound", 0, 0, 0},
		{"now and then", 0.02, 0.02, 0},
		{"two in five", 0.4, 0.01, 60},
		{"all", 1, 0, 6},
		{"as bad as its kind", 0.3, 0.3, 0},
	} {
		for seed := range uint64(20) {
			n := opens(200, c.rate, c.usual, seed)
			if c.within == 0 && n > 0 && c.rate < 0.3 || c.within > 0 && (n == 0 || n > c.within) {
				t.Errorf("%s, seed %d: opened after %d requests, want within %d", c.name, seed, n, c.within)
			}
		}
	}
}

func TestBreakerStopsLongerWhenItRelapses(t *testing.T) {
	var b admission.Breaker
	b.Open(noon)
	if b.Allows(noon.Add(900*time.Millisecond)) || !b.Allows(noon.Add(time.Second)) {
		t.Error("the first stop is not one second")
	}
	b.Succeeded()
	b.Open(noon.Add(2 * time.Second))
	if b.Allows(noon.Add(3500 * time.Millisecond)) {
		t.Error("a relapse two seconds later is stopped no longer than the first time")
	}
	b.Succeeded()
	b.Open(noon.Add(time.Minute))
	if !b.Allows(noon.Add(61 * time.Second)) {
		t.Error("a stop a minute later counts as a relapse")
	}
}
