package entry

import (
	"testing"
	"time"

	"fieldvale/budget"
)

// An instance of a large fleet gets few requests, of which by chance seven in ten in a row need a
// larger model, with one in two on average. Its share of the retry budget has to cover them.
func TestRetryBudgetSufficesForEscalations(t *testing.T) {
	const instances, requests = 85, 60
	now := time.Unix(1_700_000_000, 0)
	r := NewRouter(Ports{View: NewCurrentView(), Clock: func() time.Time { return now }, Retries: budget.Limit{Ratio: 0.87, Burst: 147}, FleetSize: func() int { return instances }})
	for i := range requests {
		now = now.Add(10 * time.Second / requests)
		r.retries.RecordRequest("s")
		if i%10 < 7 && !r.retries.TakeRetry("s", budget.LargerModel) && i > 10 {
			t.Errorf("request %d has no retry left for a larger model", i)
		}
	}
}
