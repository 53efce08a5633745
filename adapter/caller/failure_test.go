package caller

import (
	"testing"

	"fieldvale/entry"
	"fieldvale/outcome"
)

// A failure without a status of its own would be answered with none.
func TestEachFailureHasAStatus(t *testing.T) {
	for _, c := range []entry.Code{
		entry.NotReady, entry.ModelNotAllowed, entry.ModelNotFound, entry.ServiceNotFound, entry.Refused, entry.DeadlineExceeded, entry.BackendFailed,
		entry.MayHaveRun, entry.AlreadyRan, entry.IdempotencyKeyRequired, entry.ClaimsUnavailable, entry.Quarantined,
	} {
		if e := fromFailure(&entry.Failure{Code: c, Outcome: outcome.NotRun}); e.status < 400 {
			t.Errorf("%s: status %d", c, e.status)
		}
	}
}
