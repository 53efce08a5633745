package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// hangTargetFactor times the route's target is how long a repeatable request waits for a
	// replica's response before another is tried.
	hangTargetFactor = 2
	// hangDelayFactor times the expected time to the first event, and at least minHangTimeout, is
	// how long a replica may stay silent. The slowest of a hundred healthy replicas take four
	// times the expected time.
	hangDelayFactor = 6
	minHangTimeout  = 1500 * time.Millisecond
)

// errHung marks an attempt whose replica did not respond within the hang timeout.
var errHung = errors.New("no response from the replica within the hang timeout")

// withHangTimeout bounds the wait for the replica's response if another replica can still be
// tried. responded stops the timeout; end cancels the attempt's context.
func (a *attempt) withHangTimeout(ctx context.Context) (x context.Context, responded, end func()) {
	x, cancel := context.WithCancelCause(ctx)
	q := a.w.q
	if !q.Route.AllowsRetry() || a.w.result.Runs+1 >= q.Route.MaxAttempts || q.Route.Target <= 0 {
		return x, func() {}, func() { cancel(nil) }
	}
	t := time.AfterFunc(a.hangTimeout(), func() { cancel(errHung) })
	return x, func() { t.Stop() }, func() {
		t.Stop()
		cancel(nil)
	}
}

// hangTimeout is how long the replica may take to respond: a multiple of its expected delay where
// that is known, and never more than a multiple of the route's target.
func (a *attempt) hangTimeout() time.Duration {
	longest := hangTargetFactor * a.w.q.Route.Target
	if a.assignment == nil || a.assignment.firstEventMs == 0 {
		return longest
	}
	e := a.w.r.firstEventDelays.Expect(a.w.result.Service, a.assignment.firstEventMs)
	return min(longest, max(minHangTimeout, hangDelayFactor*e))
}
