package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/route"
)

// Who is refused since the replicas have too much to do is told to come back
// when they will have done enough, and not all in one moment.
func TestHopelessRequestsComeBackSpread(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewRouter(Ports{View: NewCurrentView(), Clock: func() time.Time { return now }, Rand: rand.NewPCG(1, 1)})
	q := &OpaqueRequest{Route: &route.Route{}, Deadline: now.Add(5 * time.Second), TimeoutAt: now.Add(5 * time.Second)}
	seen := map[time.Time]bool{}
	for range 20 {
		w := &forwarding{r: r, q: q, result: &ForwardResult{Service: "s"}}
		if !w.missesDeadline(&assignment{firstEventMs: 7000}) {
			t.Fatal("a first event after 7 s of 5 s is not hopeless")
		}
		if d := w.retryAt.Sub(now); d < 2*time.Second || d > 3*time.Second {
			t.Errorf("come back after %s, want 2 to 3 s", d)
		}
		seen[w.retryAt] = true
	}
	if len(seen) < 10 {
		t.Errorf("20 clients come back at %d moments", len(seen))
	}
}
