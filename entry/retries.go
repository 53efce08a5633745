package entry

import "fieldvale/budget"

// fleetRequestRate estimates the fleet's requests a second for the service from this instance's
// own.
func (r *Router) fleetRequestRate(service string) float64 {
	return float64(r.fleetSizeOrDefault()) * r.retries.RequestRate(service)
}

// defaultFleetSize is the number of instances assumed while it is unknown. It is above the usual
// size of a small fleet.
const defaultFleetSize = 12

// fleetSizeOrDefault is the number of instances, or defaultFleetSize if it is unknown.
func (r *Router) fleetSizeOrDefault() int {
	if r.fleetSize == nil {
		return defaultFleetSize
	}
	if n := r.fleetSize(); n > 0 {
		return n
	}
	return defaultFleetSize
}

// retryGrant is a retry that was taken from the budget for the next attempt.
type retryGrant struct {
	isGranted bool
	purpose   budget.Purpose
}

// takeRetry takes one retry for the purpose from the service's budget, unless one was taken already
// that has not reached a replica.
func (w *forwarding) takeRetry(p budget.Purpose) bool {
	if !w.grant.isGranted && w.r.retries.TakeRetry(w.result.Service, p) {
		w.grant = retryGrant{true, p}
	}
	return w.grant.isGranted
}

// returnGrant returns a retry that did not reach a replica to the budget.
func (w *forwarding) returnGrant() {
	if w.grant.isGranted {
		w.r.retries.ReturnRetry(w.result.Service, w.grant.purpose)
		w.grant = retryGrant{}
	}
}

// RetryAccounts returns the retry budgets of opaque requests by service.
func (r *Router) RetryAccounts() map[string]budget.Account { return r.retries.Accounts() }
