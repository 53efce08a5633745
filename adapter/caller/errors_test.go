package caller

import (
	"testing"

	"fieldvale/entry"
	"fieldvale/outcome"
)

// A failure code that is missing in the table of statuses would give a response with
// status 0.
func TestEachFailureHasAStatus(t *testing.T) {
	for _, c := range []entry.Code{
		entry.NotReady, entry.ModelNotAllowed, entry.ModelNotFound, entry.ServiceNotFound, entry.Refused, entry.DeadlineExceeded, entry.BackendFailed,
		entry.MayHaveRun, entry.AlreadyRan, entry.IdempotencyKeyRequired, entry.ClaimsUnavailable, entry.Quarantined,
	} {
		if e := toAPIError(&entry.Failure{Code: c, Outcome: outcome.NotRun}); e.status < 400 {
			t.Errorf("%s: got status %d, want 400 or above", c, e.status)
		}
	}
}
