package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// hangTargetFactor times the route's target is how long a request that may be
	// repeated waits for a replica's first word before another is asked.
	hangTargetFactor = 2
	// hangDelayFactor times the expected time to a prompt's first event, and
	// minPatience at least, is how long a replica may be silent; the slowest
	// of a hundred sound ones take four times as long as expected.
	hangDelayFactor = 6
	minHangTimeout  = 1500 * time.Millisecond
)

// errHung marks a replica that gave no word in the time in which another can
// still be asked.
var errHung = errors.New("the replica gave no word")

// withHangTimeout bounds the wait for the replica's first word where another replica
// can still be asked. heard ends the bound; end ends the attempt's context.
func (a *attempt) withHangTimeout(ctx context.Context) (x context.Context, heard, end func()) {
	x, cancel := context.WithCancelCause(ctx)
	q := a.w.q
	if !q.Route.Repeats() || a.w.result.Runs+1 >= q.Route.MaxAttempts || q.Route.Target <= 0 {
		return x, func() {}, func() { cancel(nil) }
	}
	t := time.AfterFunc(a.hangTimeout(), func() { cancel(errHung) })
	return x, func() { t.Stop() }, func() {
		t.Stop()
		cancel(nil)
	}
}

// hangTimeout is how long the replica may take to its first word: several times
// what its work before the prompt says, where that is known.
func (a *attempt) hangTimeout() time.Duration {
	most := hangTargetFactor * a.w.q.Route.Target
	if a.assignment == nil || a.assignment.firstEventMs == 0 {
		return most
	}
	e := a.w.r.firstEventDelays.Expect(a.w.result.Service, a.assignment.firstEventMs)
	return min(most, max(minHangTimeout, hangDelayFactor*e))
}
