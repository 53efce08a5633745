package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/admission"
)

var noon = time.Unix(1_700_000_000, 0)

// requestsUntilOpen returns the number of requests after which the breaker of a
// backend server with the given failure rate opens; 0 if it stays closed for n
// requests.
func requestsUntilOpen(n int, rate, usualRate float64, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 1))
	var b admission.Breaker
	for i := range n {
		if !b.Allows(noon) {
			return i
		}
		b.RecordAttempt(noon)
		if r.Float64() < rate {
			b.RecordFailure(noon, usualRate)
		} else {
			b.RecordSuccess()
		}
	}
	return 0
}

// A backend server that fails only a part of its requests rarely fails several in
// a row, so the breaker has to detect it by its failure rate, without opening for
// occasional failures.
func TestBreakerDetectsPartialFailures(t *testing.T) {
	for _, c := range []struct {
		name            string
		rate, usualRate float64
		// maxRequests is the most requests that may pass before the breaker opens;
		// 0 if it has to stay closed for 200 requests.
		maxRequests int
	}{
		{"healthy", 0, 0, 0},
		{"occasional failures", 0.02, 0.02, 0},
		{"40 % failures", 0.4, 0.01, 60},
		{"all requests fail", 1, 0, 6},
		{"usual rate of its kind", 0.3, 0.3, 0},
	} {
		for seed := range uint64(20) {
			n := requestsUntilOpen(200, c.rate, c.usualRate, seed)
			if c.maxRequests == 0 && n > 0 && c.rate < 0.3 || c.maxRequests > 0 && (n == 0 || n > c.maxRequests) {
				t.Errorf("%s, seed %d: breaker opened after %d requests, want at most %d (0: never)", c.name, seed, n, c.maxRequests)
			}
		}
	}
}

// A server that fails again soon after its recovery must get a longer open period,
// or it would receive failing requests every second.
func TestOpenPeriodGrowsOnRelapse(t *testing.T) {
	var b admission.Breaker
	b.Open(noon)
	if b.Allows(noon.Add(900*time.Millisecond)) || !b.Allows(noon.Add(time.Second)) {
		t.Error("the first open period is not 1 s")
	}
	b.RecordSuccess()
	b.Open(noon.Add(2 * time.Second))
	if b.Allows(noon.Add(3500 * time.Millisecond)) {
		t.Error("a breaker that reopens 2 s later allows requests after 1.5 s, want a longer open period")
	}
	b.RecordSuccess()
	b.Open(noon.Add(time.Minute))
	if !b.Allows(noon.Add(61 * time.Second)) {
		t.Error("a breaker that reopens a minute later still blocks requests after 1 s, want the initial open period")
	}
}
