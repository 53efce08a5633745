package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// hangFactor times the route's target is how long a request that may be
	// repeated waits for a replica's first word before another is asked.
	hangFactor = 2
	// patienceFactor times the expected time to a prompt's first event, and
	// minPatience at least, is how long a replica may be silent; the slowest
	// of a hundred sound ones take four times as long as expected.
	patienceFactor = 6
	minPatience    = 1500 * time.Millisecond
)

// errHung marks a replica that gave no word in the time in which another can
// still be asked.
var errHung = errors.New("the replica gave no word")

// watch bounds the wait for the replica's first word where another replica
// can still be asked. heard ends the bound; end ends the attempt's context.
func (a *attempt) watch(ctx context.Context) (x context.Context, heard, end func()) {
	x, cancel := context.WithCancelCause(ctx)
	q := a.w.q
	if !q.Route.Repeats() || a.w.f.Runs+1 >= q.Route.MaxAttempts || q.Route.Target <= 0 {
		return x, func() {}, func() { cancel(nil) }
	}
	t := time.AfterFunc(a.patience(), func() { cancel(errHung) })
	return x, func() { t.Stop() }, func() {
		t.Stop()
		cancel(nil)
	}
}

// patience is how long the replica may take to its first word: several times
// what its work before the prompt says, where that is known.
func (a *attempt) patience() time.Duration {
	most := hangFactor * a.w.q.Route.Target
	if a.placed == nil || a.placed.ready == 0 {
		return most
	}
	e := a.w.r.delays.Expect(a.w.f.Service, a.placed.ready)
	return min(most, max(minPatience, patienceFactor*e))
}
