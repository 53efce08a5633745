package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/route"
)

// Clients refused because the replicas are overloaded are asked to retry when these will have
// worked off enough, and not all at the same moment.
func TestRetriesOfLateRequestsAreSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRouter(Ports{View: NewCurrentView(), Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1)})
	q := &OpaqueRequest{Route: &route.Route{}, Deadline: now.Add(5 * time.Second), TimeoutAt: now.Add(5 * time.Second)}
	seen := map[time.Time]bool{}
	for range 20 {
		w := &forwarding{r: r, q: q, result: &ForwardResult{Service: "s"}}
		if !w.missesDeadline(&assignment{firstEventMs: 7000}) {
			t.Fatal("a first event after 7 s does not miss a deadline of 5 s")
		}
		if d := w.retryAt.Sub(now); d < 2*time.Second || d > 3*time.Second {
			t.Errorf("retry after %s, want 2 to 3 s", d)
		}
		seen[w.retryAt] = true
	}
	if len(seen) < 10 {
		t.Errorf("20 clients retry at %d different times, want at least 10", len(seen))
	}
}
