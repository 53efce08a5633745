package entry

import "fieldvale/admission"

// countRequest counts an opaque request towards its service's retry budget.
func (r *Router) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryWindow(service).RecordRequest(r.clock())
}

// fleetRequestRate estimates the fleet's requests a second for the service from this instance's
// own.
func (r *Router) fleetRequestRate(service string) float64 {
	n := r.fleetSizeOrDefault()
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(n) * r.retryWindow(service).RequestRate(r.clock())
}

// defaultFleetSize is the number of instances assumed while it is unknown. It is above the usual
// size of a small fleet.
const defaultFleetSize = 12

// takeOpaqueRetry takes one retry from the service's budget if any is left. reserve is the part
// of the budget kept for retries after failures.
func (r *Router) takeOpaqueRetry(service string, reserve float64) bool {
	n := r.fleetSizeOrDefault()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryWindow(service).TakeRetry(r.clock(), 1/float64(n), reserve)
}

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

// retryWindow returns the service's window of requests and retries; r.mu is held.
func (r *Router) retryWindow(service string) *admission.RetryWindow {
	w, ok := r.retryWindows[service]
	if !ok {
		w = admission.NewRetryWindow(r.retries)
		r.retryWindows[service] = w
	}
	return w
}
